@long @processes
Feature: Guarantees of a deployment of real processes
  Three members, two routers, two runners and a desk run as separate processes
  on loopback. Scenarios inject failures of processes and links.

  Background:
    Given a running deployment

  Scenario: A router frozen during a rule change never applies the older rules
    Guards against a change that is reported as in force while a router that
    cannot be reached may still apply the previous rules.
    Given router-2 is frozen
    When an operator applies rules without the customer
    Then the change is in force within 4.0 s
    When 20 requests are sent to router-2 before it continues
    Then none of them is served for the removed customer
    And router-2 has applied the new rules within 4.0 s

  Scenario: A leader that resumes after a freeze does not act on old rules
    Guards against two members that both act as the leader.
    Given the leader is frozen
    When an operator applies rules without the customer
    Then the change is in force within 4.0 s
    When the frozen leader continues
    Then the status shows the new rules and no request is served for the customer

  Scenario: Deposits run at most once when the leader is killed
    Guards against a reservation that is lost or duplicated by a leader change.
    When 20 deposits are sent, each through both routers, while the leader is killed
    Then the desk ran no deposit twice
    And every answered deposit was run exactly once

  Scenario: Every process restarts at once
    Guards against a cold start that takes too long, and against lost records or
    rules.
    Given a deposit was taken through router-1
    When every member and router is killed and started again
    Then router-1 serves a chat request within 5.0 s of its start
    And a resend of the deposit through router-2 returns the first answer

  Scenario: A member loses its disk, and another one is lost after the repair
    Guards against a blank member that votes as if it still had its log.
    Given a deposit was taken through router-1
    When a follower loses its disk and is replaced
    And the other follower is killed
    Then a resend of the deposit through router-2 returns the first answer

  Scenario Outline: A member lives on while its disk is full
    Guards against a member that ends by itself on a full disk, so that members
    whose disks fill together lose their majority, and against a leader that goes on
    leading without a disk.
    Given a deposit was taken through router-1
    When the disk of <member> is full
    And an operator applies rules without the customer
    Then the change is in force within 4.0 s
    And 1 member runs on and waits for space
    When the disk has space and another member is killed
    Then the log told once of the full disk and once of the space
    And an operator gives the customer back within 4.5 s
    And a resend of the deposit through router-2 returns the first answer

    Examples:
      | member     |
      | the leader |
      | a follower |

  Scenario: Members whose disks fill together serve again once there is space
    The third member has nothing to write and does not notice.
    Given a deposit was taken through router-1
    When the disks of all members are full
    Then a change has an unknown outcome
    And 2 members run on and wait for space
    When the disks of two members have space
    Then an operator gives the customer back within 4.5 s
    And a resend of the deposit through router-2 returns the first answer

  Scenario: A planned stop of a router cuts no stream
    Guards against streams that are cut by a restart of their router.
    Given a stream of 150 tokens runs through router-1
    When router-1 is stopped gracefully
    Then the stream is complete
    And router-1 exited with code 0

  Scenario: A retired endpoint gets no new work on any router
    Guards against a router that uses an outdated endpoint list.
    Given a router whose control links pass through a relay
    When the relay blocks all traffic
    And an operator retires runner-1
    Then 20 requests to that router are refused as lease_expired
    And 5 more requests through each router run on the other runner

  Scenario: A stream is complete after its runner is killed
    Guards against truncated or duplicated text.
    Given a stream of 150 tokens runs through router-1
    When the runner that serves the stream is killed
    Then the stream is complete

  Scenario: A router recovers when its open control links stop forwarding
    Guards against a router that waits forever on a connection that a middlebox
    no longer forwards.
    Given a router whose control links pass through a relay
    When the relay stops forwarding on open connections
    Then that router is ready again within 4.0 s

  Scenario: A router behind a silent partition stops serving
    Guards against an isolated router that keeps serving with outdated rules.
    Given a router whose control links pass through a relay
    When the relay blocks all traffic
    And an operator applies rules without the customer
    Then the change is in force within 4.0 s
    And 20 requests to that router are refused as lease_expired
    When the relay forwards all traffic again
    Then that router is ready again within 4.0 s

  Scenario: New weights are rolled out while requests go on
    Guards against a roll-out that leaves no capacity for requests.
    When the rules name version w2 and requests go on through both routers
    Then every request was answered
    And every runner announces w2 within 20.0 s

  Scenario: A router takes no more requests at once than its settings allow
    Guards against a router that runs out of memory under overload.
    Given a router with a limit of 2 concurrent requests
    When 6 concurrent streams are started through it
    Then 2 of them are complete and 4 are refused as queue_full
    And it answered each readiness check and deposit meanwhile

  Scenario: A rolling restart of all members and routers fails no request
    Guards against graceful restarts that make requests of callers fail.
    When every member and router is stopped and started in turn while requests go on
    Then every request was answered

  Scenario: A router holds back a block that crashed runners at other routers
    Guards against routers that each find out for themselves which prompts crash
    runners.
    Given the runners are replaced by 5 that crash on prompts with "crash"
    When prompts with "crash" are sent through router-1 until one is held back
    Then router-2 holds a prompt with "crash" back at the first request
    And router-2 answers a prompt with "sound"

  Scenario: A router holds back a call that crashed services at other routers
    Each call has a key of its own, so none is a resend of another. Guards against
    one call of a caller that ends all servers of a plain service, and against
    sound calls that are refused with it.
    Given the desk is replaced by 6 that crash on calls with "crash"
    When calls with "crash" are sent through router-1 until one is held back
    Then at most 4 desks have ended
    And router-2 holds a call with "crash" back at the first request
    And router-2 answers a call with "sound"

  Scenario: Every process serves its metrics and logs to standard output
    Guards against metrics or logs that are not available in an incident.
    When the metrics of member-1 and router-1 are fetched
    Then they hold "knapweedarch_member_term" and "knapweedarch_lease_held"
    And the log of router-1 holds JSON lines with "started"
