Feature: Connections of callers

  Scenario Outline: A request without a whole answer leaves its cause
    Guards against a request that was read and dropped, and that the log cannot
    tell from a connection on which nothing was sent.
    Given logs that go to memory
    And a server of callers whose handler <does>
    When on a connection the caller <sends>
    Then the log has these lines of dropped requests: <lines>

    Examples:
      | does                   | sends                          | lines                          |
      | waits                  | resets within the answer       | request_dropped caller_reset   |
      | waits                  | is cut by the end of the server | request_dropped stopped       |
      | fails before the answer | sends a request               | request_dropped handler_failed |
      | gives up its answer    | sends a request                | request_dropped given_up       |
      | answers                | sends half a head              | request_incomplete             |
      | answers                | sends half a body              | request_incomplete             |
      | answers                | sends a request                | none                           |
      | answers                | sends a last request           | none                           |
      | answers                | sends nothing                  | none                           |
