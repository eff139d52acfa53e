Feature: Endpoints that fall silent for a moment

  # A sound endpoint may be silent for a second or two and then go on. Guards
  # against an answer that is given up for another endpoint although none can go
  # on with it: the caller then gets a stream without an end, or a 502 or 504.
  Scenario Outline: A silent endpoint is waited for while no other may go on
    When streams meet an endpoint that <does>, and no other may go on since
      | reason                                    |
      | there is none                             |
      | the repeats are used up                   |
      | the other one leaves                      |
      | the other one has asked for a wait        |
      | the other one was replaced                |
      | the other one is silent                   |
      | the other one has no room                 |
    Then each caller has the whole stream, and the other endpoint got nothing

    Examples:
      | does                                     |
      | is silent for 1.2 s before its answer    |
      | is silent for 2 s before its answer      |
      | is silent for 1.2 s before event 1       |
      | is silent for 2 s after event 2          |

  # Guards against the same where the other endpoints run other software.
  Scenario Outline: A stream stays at the only endpoint of its software
    When streams meet an endpoint that <does>, and no other may go on since
      | reason                                    |
      | the other one has other software          |
    Then each caller has the whole stream, and the other endpoint got nothing

    Examples:
      | does                                     |
      | is silent for 1.2 s after event 2        |
      | is silent for 2 s after event 2          |

  # Guards against a call that is cut at half of its time for a repeat that no
  # endpoint could take.
  Scenario: A late call is waited for while no other endpoint may repeat it
    Given a proxied runner that answers late
    When a caller sends a request that may run many times
    Then the caller gets status 200

  # Guards against a log line for each byte of an endpoint that sends no events.
  Scenario: A long silence is logged once
    When a stream meets an endpoint that trickles, and no other one
    Then its silence is counted once

  # Guards against an endpoint that is asked for once only: another one that is
  # free later would then never get the stream of a dead endpoint.
  Scenario: A silent endpoint is left as soon as another one may go on
    When a stream meets a dead endpoint and another one is free 1 s later
    Then each caller has the whole stream
    And the other endpoint was asked to go on after event 2

  # Guards against waiting that delays the resume of what a dead endpoint held.
  Scenario Outline: A dead endpoint is left at once if another one may go on
    When a stream meets an endpoint that <does>, and another one
    Then each caller has the whole stream
    And it took less than 0.9 s

    Examples:
      | does                                     |
      | is silent for 9 s before its answer      |
      | is silent for 9 s before event 1         |
      | is silent for 9 s after event 2          |

  # Routers know late how full endpoints are. Guards against a stream that is lost
  # since the endpoint for which it was ended turns it away: it was not run there.
  Scenario: A stream finds a third endpoint if the second turns it away
    When a stream meets a dead endpoint, one that turns it away and a third one
    Then each caller has the whole stream

  # Guards against a dead endpoint that is never left by a router that does not know
  # the loads of the others, since it takes each of its own requests for many.
  Scenario Outline: Without the loads of others a router still finds room
    When one of <routers> routers has a request at each of 4 endpoints of 8 slots
    Then it finds one with room while the loads of the others are unknown
    And it finds none once they are known to fill all slots

    Examples:
      | routers |
      | 9       |
      | 195     |

  # Load: a spell in which many endpoints are silent at once, at each router.
  # Guards against silences that use up the repeats of the service, so that
  # requests at endpoints that really end are lost afterwards.
  Scenario Outline: Silence leaves repeats for requests that break off
    Given a bound of 0.1 per request plus 58 in 10 s for <routers> routers
    When each router has had 3 requests a second for 10 s and all fall silent
    Then at most half of the repeats are used, and at least one at each router
    And the repeats that are left can be used for requests that break off

    Examples:
      | routers |
      | 9       |
      | 195     |

  # An event arrives in the very turn of the loop in which its endpoint is left.
  # Guards against an event that counts as relayed but did not reach the caller:
  # the next endpoint then goes on after it.
  Scenario: An event that comes as its runner is left is not lost in the gateway
    When an event comes as the watchdog of a stream ends it
    Then the caller has exactly the events that count as relayed

  # Guards against a request that goes on while its next endpoint stays reserved.
  Scenario: Data that comes as another endpoint is reserved releases it
    When data comes as the watch of an attempt reserves another endpoint
    Then the data is passed on and nothing is reserved
