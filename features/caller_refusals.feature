Feature: Refusals and victims of the HTTP/1.1 server

  Scenario Outline: A request beyond the limits is refused by what was read of it
    Guards against a body that is read although its head rules it out, and against
    a refusal that a caller may take for a request that has run.
    Given logs that go to memory
    And a server of callers whose handler answers
    When a caller sends <sends> and nothing more
    Then the only answer has status <status>
    And the handler had no request
    And the counter "callers.refused.<cause>" is 1

    Examples:
      | sends                                      | status | cause          |
      | a head that announces 4194305 bytes        | 413    | body_too_large |
      | the same with an expectation to continue   | 413    | body_too_large |
      | a chunk of 4194305 bytes without its bytes | 413    | body_too_large |
      | 17000 bytes of a head                      | 431    | head_too_large |
      | a head of 1100 lines                       | 431    | head_too_large |
      | a chunk without a size                     | 400    | malformed      |

  Scenario: A body that stands still is refused with a status that it has not run
    Given a server of callers whose handler answers
    And an idle limit of 0.3 s
    When a caller sends half a body and nothing more
    Then the only answer has status 408
    And the handler had no request

  Scenario: A body that stands still makes room for one that arrives
    Guards against callers that fill the memory and stay.
    Given logs that go to memory
    And a server of callers whose handler answers
    And callers may hold 2000000 bytes
    When a caller sends 1500000 bytes of a body and stops, and another 900000
    Then the first gets status 503 with Retry-After, the other 200
    And the log contains "caller_evicted"
    And the counter "callers.refused.no_memory" is 1

  Scenario: Callers that read no answers are ended
    Guards against an answer that holds memory and an endpoint without end.
    Given logs that go to memory
    And a server of callers whose handler answers with 30000000 bytes
    And an idle limit of 0.5 s
    When a caller sends a request and reads nothing
    Then its connection is ended with the cause "reads_too_slowly"

  Scenario: Connections that stand still make room for others
    Guards against a listener whose connections are all taken by idle callers.
    Given logs that go to memory
    And a server of callers whose handler answers
    And at most 4 connections
    When 12 callers connect and send nothing, and another sends a request
    Then this one is answered with status 200
    And at most 5 connections were open

  Scenario: The account gives up what the page says, whatever callers do
    Guards against small requests that are given up for large ones, requests that
    progress for ones that stand still, and bytes that are counted for nobody.
    Given generated callers that grow, shrink, stop, are served and leave
    Then the account keeps its promises in 1500 runs
