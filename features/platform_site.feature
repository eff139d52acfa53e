Feature: The whole path on the users' platform, without their bench

  Real members and proxies as separate processes on loopback, with stand-ins of
  the platform's runners, operator and callers.

  Scenario: A calm site forms itself and serves
    Guards against a group that does not form from its seeds, and against
    answers that are not the runners' own.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When 12 streams of 20 tokens and 12 bookings are asked for
    Then each stream is whole and each booking was run once
    And the configuration is read back as it was sent

  Scenario: Later requests with one prompt find its parts cached
    Guards against prompts that every runner reads again.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When 12 streams of 2 tokens are asked for one after the other
    Then less than half of the prompts' tokens were read

  Scenario: New weights reach every runner while requests go on
    Guards against a roll-out that stops, and against a stream that is lost.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When weights 2 are named while streams go on
    Then every runner has weights 2 within 8.0 s
    And each stream is whole

  Scenario: Every process is killed and nothing confirmed is lost
    Guards against a configuration that a restart forgets, and against an
    outage that is longer than the platform allows.
    Given a platform site of 3 members, 2 proxies and 3 runners
    And configuration 2 with a route more is confirmed
    When every process is killed and started again
    Then a request on the new route is answered within 12.0 s
    And the configuration is read back as it was sent

  Scenario: A runner that leaves gets no new work
    Guards against requests to a runner that is about to go.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When runner 1 leaves and that is confirmed
    Then 2.0 s later runner 1 gets none of 10 streams

  Scenario: A proxy that is stopped finishes its streams
    Guards against streams that planned work cuts.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When proxy 1 gets SIGTERM during a stream of 60 tokens
    Then each stream is whole
    And proxy 1 ends with code 0

  Scenario: A request is explained from the logs of the processes
    Guards against logs and tool that do not fit together.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When 1 streams of 3 tokens and 0 bookings are asked for
    Then the tool tells where request 1 was answered
