Feature: A router holds room at endpoints that must not turn requests away

  No scenario needs a network.

  Scenario Outline: Room is held for a time after a request has ended
    Load: all routers would send to a slot that has become free. Guards against
    room that is held for ever, and against room that is held where there is none.
    Given an endpoint that must not turn requests away
    When a request ends there <how>
    Then after <seconds> s the router holds <count> slots

    Examples:
      | how                     | seconds | count |
      | with an answer          | 0.4     | 1     |
      | with an answer          | 0.6     | 0     |
      | right after a rejection | 0.1     | 0     |

  Scenario: Held room is reported as taken, and used once
    Guards against two routers that send to one slot.
    Given an endpoint that must not turn requests away
    When a request ends there with an answer
    Then the router reports a load of 1
    When it sends a request there
    Then the router reports a load of 1

  Scenario: Requests are not refused while there is much room
    Load: half of what the endpoints handle. Guards against room that is left idle.
    Given 9 routers that each get 12 requests a second
    When 100 slots are open
    Then at least 0.99 of the requests may take one
