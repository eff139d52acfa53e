@long @processes
Feature: End-to-end requests with stand-ins for the platform

  Members and proxies run as separate processes on loopback; stand-ins replace
  the platform's runners, operator and callers.

  Scenario: A site without faults forms a group and serves requests
    Guards against a group that does not form from its seeds, and against
    responses that do not come from the runners.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When 12 streams of 20 tokens and 12 bookings are requested
    Then each stream is complete and each booking was executed once
    And the configuration is read back as it was sent

  Scenario: Later requests with one prompt find its parts cached
    Guards against cached prompt prefixes that are computed again.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When 12 streams of 2 tokens are requested one after the other
    Then less than half of the prompt tokens were computed

  Scenario: New weights reach every runner while requests go on
    Guards against a roll-out that stalls, and against a stream that is lost.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When weights 2 are named while streams are running
    Then every runner has weights 2 within 8.0 s
    And each stream is complete

  Scenario: Confirmed configurations survive a restart of every process
    Guards against a configuration that is lost by a restart, and against an
    outage that is longer than the platform allows.
    Given a platform site of 3 members, 2 proxies and 3 runners
    And configuration 2 with an additional route is confirmed
    When every process is killed and started again
    Then a request on the new route is answered within 12.0 s
    And the configuration is read back as it was sent

  Scenario: A runner that leaves gets no new work
    Guards against new requests to a draining runner.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When runner 1 leaves and the leave is confirmed
    Then 2.0 s later runner 1 receives none of 10 streams

  Scenario: A proxy that is stopped finishes its streams
    Guards against streams that a planned shutdown truncates.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When proxy 1 gets SIGTERM during a stream of 60 tokens
    Then each stream is complete
    And proxy 1 exits with code 0

  Scenario: A request is explained from the logs of the processes
    Guards against log lines that `explain` cannot interpret.
    Given a platform site of 3 members, 2 proxies and 3 runners
    When 1 streams of 3 tokens and 0 bookings are requested
    Then the tool explains where request 1 was answered

  Scenario: A part of prompts that crashes runners stops reaching them
    Load: four requests a second at all proxies share a part on which each runner
    crashes as it begins to answer, beside sound ones of the same customer with
    the same other parts. Guards against a part of prompts that ends one runner
    after the other, and against sound requests that are refused with it.
    Given a platform site of 3 members, 3 proxies and 6 runners
    When requests for 8.0 s share a part that crashes runners
    Then at most 3 of them start later than 3.0 s after the fifth crash
    And at least half of the sound requests after that are answered

  Scenario: A request that crashes servers stops reaching them
    Load: four times a second a caller repeats one request, at any proxy, on which
    each server of a plain service crashes before it answers, beside sound ones.
    Guards against one request without a prompt that ends server after server, and
    against sound requests that are refused with it.
    Given a platform site of 3 members, 3 proxies and 1 runners
    When a request that crashes servers is repeated for 9.0 s
    Then at most 3 copies of it start later than 3.0 s after the third crash
    And at least half of the other requests after that are answered

  Scenario: Streams go on at their software version after all routers were killed
    Runners of two software versions serve side by side. Guards against a stream
    that its caller takes up and gets from two versions, and against streams that
    nobody goes on with although their version serves.
    Given a platform site of 3 members, 3 proxies and 2 runners
    And 2 runners with software v2
    When all proxies are killed while 24 streams of 120 tokens run
    Then no stream has events of two software versions
    And at least 12 of the streams taken up are complete

  Scenario: Streams whose software version is gone are refused
    The runners of the old version leave, then all routers are killed. Guards
    against a stream that the new version goes on with.
    Given a platform site of 3 members, 3 proxies and 2 runners
    And 2 runners with software v2 come as the others leave
    When all proxies are killed while 12 streams of 120 tokens run
    Then no stream has events of two software versions
    And callers of streams whose version is gone are told so

  Scenario Outline: Routers without paths to endpoints serve their callers
    Two of three routers lose all their links to endpoints, but not those to
    callers, members or the third router. Guards against callers of such routers
    that are refused although others are served, and against routers that stay as
    they are once the links are back.
    Given a platform site of 3 members, 3 proxies and 3 runners
    When the connections of proxies 1 and 2 to endpoints <fail> for 9.0 s
    Then from 3.0 s on their callers' first tries are served like the others'
    And so are those after the end

    Examples:
      | fail                       |
      | hang                       |
      | reset                      |
      | refuse while open ones work |

  Scenario: Requests over a customer's quota get 429 until there are tokens
    Load: 60 bookings at once at two proxies of a customer that may make 6 a
    second and 6 more at once. Guards against a quota that each proxy applies
    alone, a refusal without a time, and a customer that stays refused.
    Given a platform site of 3 members, 2 proxies and 3 runners
    And the customer may make 6 requests a second and 6 at once
    When 60 bookings are requested at once
    Then at least 3 and at most 17 bookings were executed, and no others ran
    And the others got 429 with a Retry-After of at most 5.0 s
    And a booking after that time is executed

  Scenario: A frozen member refuses nothing below a customer's quota
    Load: 20 bookings a second at two proxies of a customer that may make 60 a
    second, while each member in turn, the leader and the proxies' own among
    them, is frozen for 2 s. Guards against callers that notice a frozen member.
    Given a platform site of 3 members, 2 proxies and 3 runners
    And the customer may make 60 requests a second and 60 at once
    When bookings are made while each member in turn is frozen for 2.0 s
    Then none of them got 429 or 503
