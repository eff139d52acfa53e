Feature: Requests to a router that lacks processor time

  Scenario Outline: Only a delay that lasts counts
    Guards against refusals for a single long turn of the event loop, as for a new
    configuration, and against none while every turn is long.
    When a timer of 0.05 s is late by <delays> s
    Then the standing delay is <standing> s

    Examples:
      | delays                | standing |
      | 0                     | 0        |
      | 0.1, 0.1, 0.1         | 0.1      |
      | 0.1, 0.3, 0.2, 0.3    | 0.2      |
      | 3, 0                  | 0        |
      | 3, 0, 0               | 0        |
      | 0.2, 0.2, 0.2, 0.2, 0 | 0        |
      | 0.01, 0.01            | 0        |
      | 0.01, 0.01, 0.01, 0.01, 0.01 | 0.01 |

  Scenario Outline: Less urgent requests are refused before urgent ones
    Load: long prompts and short ones of one service, of which the short ones are
    more urgent, at a process whose turns take ever longer. Guards against urgent
    requests that are late behind others, and against refusals while all are in
    time.
    Given routes of one service with priority 0 and goal 0.4 s, and 2 and 1.0 s
    When each turn takes <delay> s longer for 2 s
    Then requests of priority 0 are <urgent>, those of priority 2 are <patient>
    When no turn takes longer for 3 s
    Then requests of priority 0 are admitted, those of priority 2 are admitted

    Examples:
      | delay | urgent   | patient  |
      | 0     | admitted | admitted |
      | 0.02  | admitted | admitted |
      | 0.03  | admitted | refused  |
      | 0.06  | refused  | refused  |
      | 0.5   | refused  | refused  |

  Scenario: A request whose caller left while the process was busy is not sent on
    Load: callers give up while the event loop is held for 0.6 s. Guards against
    work at endpoints for callers that have left.
    Given a proxied runner that answers
    When a caller sends a request and leaves while the process is held for 0.6 s
    Then runner 1 has received 0 requests

  Scenario: A caller that only closed its sending side is still served
    Guards against a caller that is taken to have left.
    Given a proxied runner that answers
    When a caller sends a request and closes its sending side while the process is held for 0.6 s
    Then the caller that waits gets status 200
