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
      | fails within the answer | sends a request               | request_dropped handler_failed |
      | gives up its answer    | sends a request                | request_dropped given_up       |
      | answers                | sends half a head              | request_incomplete             |
      | answers                | sends half a body              | request_incomplete             |
      | answers                | sends a request                | none                           |
      | answers                | sends a last request           | none                           |
      | answers                | sends nothing                  | none                           |

  Scenario Outline: A handler that fails leaves the caller a truthful answer
    Guards against a request that was read whole and whose connection ends with
    no answer, and against a 503 for one that may have run.
    Given logs that go to memory
    And a server of callers whose handler <does>
    When on a connection the caller sends two requests
    Then the answers are <gets>
    And another connection is served

    Examples:
      | does                             | gets                          |
      | fails before the answer          | 500 and 500                   |
      | ends without an answer           | 500 and 500                   |
      | sends a header that is malformed | 500 and 500                   |
      | sends more than its length       | 500 and then the end          |
      | fails within the answer          | 200 that is seen to be broken |
      | answers                          | 200 and 200                   |

  Scenario: An error in one connection does not end the others
    Guards against one connection that ends the process, with every request.
    Given logs that go to memory
    And a server of callers whose handler answers
    When on a connection the server fails before the request is read
    Then another connection is served
    And the log contains "connection_failed"

  Scenario Outline: A gateway that fails leaves the caller a truthful answer
    Guards against the same behind the other HTTP server.
    Given 1 routers
    And a runner "a" that answers at once
    And a desk "d"
    And a gateway whose router fails when <fails>
    When a caller sends it <kind>
    Then it gets <gets>

    Examples:
      | fails                      | kind           | gets                          |
      | it chooses a runner        | a stream       | 500                           |
      | it chooses a runner        | a whole answer | 500                           |
      | it counts the whole answer | a deposit      | 500                           |
      | it counts the whole answer | a stream       | 200 that is seen to be broken |

  Scenario Outline: A header that is no number does not end the request
    Guards against a caller's own header that ends its request with an error.
    Given a proxied runner that answers
    When a caller sends the header <name> with <value>
    Then the caller gets status 200

    Examples:
      | name                       | value                |
      | X-Knapweedarch-Deadline-Ms | a superscript two    |
      | X-Knapweedarch-Deadline-Ms | 400 digits           |
      | X-Knapweedarch-Deadline-Ms | 5000 digits          |
      | X-Knapweedarch-Token-Count | a superscript two    |
      | X-Knapweedarch-Token-Count | 5000 digits          |
      | X-Knapweedarch-Prefix-Hash | a:superscript two    |
      | X-Knapweedarch-Prefix-Hash | a:5000 digits        |

  Scenario Outline: A connection that waits goes by the limits of its caller
    A change reaches callers and servers at different times. Guards against a
    request on a kept connection that ends without an answer, since its wait
    went by a limit that was changed.
    Given a server of callers whose handler answers
    And an idle limit of <before> s, changed after 0.1 s to <after> s
    When on a kept connection the caller sends a request after <idle> s
    Then the answers are <answers>

    Examples: the grace of a change is 0.4 s
      | before | after | idle | answers |
      | 0.3    | 1.0   | 0.6  | 200     |
      | 0.3    | 1.0   | 1.4  | none    |
      | 5.0    | 0.2   | 0.4  | 200     |
      | 5.0    | 0.2   | 0.8  | none    |
      | 0.3    | 0.3   | 0.2  | 200     |
      | 0.3    | 0.3   | 0.6  | none    |

  Scenario: A body may take as long as before a change
    Guards against a request on its way that a shorter limit cuts.
    Given a server of callers whose handler answers
    And an idle limit of 5.0 s, changed after 0.1 s to 0.1 s
    When on a kept connection the caller takes 0.3 s for a body after 0.2 s
    Then the answers are 200

  Scenario: A head may be as long as a changed limit allows
    Guards against a final refusal by a limit that is no longer in force.
    Given a server of callers whose handler answers
    And a head limit of 100 bytes, changed after 0.1 s to 1000 bytes
    When on a kept connection the caller sends a head of 300 bytes in two parts
    Then the answers are 200

  Scenario: A request that was read with a stream of before the stop is answered
    Guards against a request that is read and dropped after the last answer.
    Given a server of callers whose handler streams after 0.2 s
    When on a kept connection the caller sends a second one before the stop
    Then the answers are 200 and 200

  Scenario Outline: A request that crosses the stop is answered
    Guards against a stop that cancels a request that was read, with no answer.
    Given a server of callers whose handler answers
    When on a kept connection the caller sends a request <turns> turns before the stop
    Then the answers are 200

    Examples:
      | turns |
      | 0     |
      | 1     |
      | 2     |
      | 3     |
      | 4     |

  Scenario: A request that crosses the idle limit is answered
    Guards against a limit that drops what has arrived while the loop was held.
    Given a server of callers whose handler answers
    And an idle limit of 0.2 s, changed after 0.1 s to 0.2 s
    When on a kept connection the caller sends a request while the loop is held
    Then the answers are 200

  Scenario: A connection that ended for its idle limit reads no more
    Guards against a whole request that is read and dropped.
    Given logs that go to memory
    And a server of callers whose handler answers
    And an idle limit of 0.2 s, changed after 0.1 s to 0.2 s
    When on a kept connection the caller sends a request after its end
    Then the log has no "late_bytes_dropped"

  Scenario: A shorter limit ends many connections a few at a time
    Guards against a turn of the loop in which thousands of connections end.
    Given a server of callers whose handler answers
    And an idle limit of 5.0 s, changed after 0.1 s to 0.1 s
    When 300 connections wait until the server has ended them
    Then at most 64 of them ended in one turn

  Scenario: A stop soon after a change of limits leaves the processor to requests
    Guards against a loop that never sleeps while a router drains.
    Given a server of callers whose handler answers after 1.0 s
    And an idle limit of 5.0 s, changed after 0.1 s to 1.0 s
    When the server is stopped after the change while a request is under way
    Then the answers are 200
    And at most 0.4 s of processor time were used meanwhile

  Scenario: A request that is half read at the stop is still answered
    Guards against a stop that ends at once, since no request is whole yet.
    Given a server of callers whose handler answers
    When the rest of a request comes 0.2 s after the stop
    Then the answers are 200
    And the server was not drained before

  Scenario Outline: A caller that closes its sending side gets its answer
    Guards against an end of the input that is taken for a caller that has left.
    Given a server of callers whose handler <does>
    When on a connection that is closed for sending the caller waits, by <version>
    Then this caller has <has>

    Examples:
      | does                  | version  | has                              |
      | answers               | HTTP/1.1 | the whole answer                 |
      | answers after 0.3 s   | HTTP/1.1 | the whole answer                 |
      | answers after 2.0 s   | HTTP/1.1 | the whole answer                 |
      | streams after 0.2 s   | HTTP/1.1 | the whole stream                 |
      | streams after 1.0 s   | HTTP/1.1 | a part                           |
      | sends after 1.0 s     | HTTP/1.1 | a part                           |
      | answers after 0.05 s  | HTTP/1.0 | the whole answer                 |
      | answers after 1.0 s   | HTTP/1.0 | nothing, as nothing may be asked |

  Scenario Outline: A caller that has left is noticed soon
    Guards against endpoints that go on with requests whose caller has left.
    Given a server of callers whose handler <does>
    When on a kept connection the caller leaves, by <version>
    Then the handler was cancelled within 0.5 s

    Examples:
      | does                  | version  |
      | answers after 5.0 s   | HTTP/1.1 |
      | streams after 5.0 s   | HTTP/1.1 |
      | sends after 5.0 s     | HTTP/1.1 |
      | answers after 5.0 s   | HTTP/1.0 |
      | streams after 5.0 s   | HTTP/1.0 |

  Scenario Outline: A gateway answers a caller that closed its sending side
    Guards against the same behind the other HTTP server, whose writes do not
    tell that a caller has left: a slow chat is still cancelled.
    Given 1 routers
    And a runner "a" that takes 1 ms per token
    And a desk "d"
    When a caller closes its sending side after the request for <kind>
    Then the gateway sends <sends>

    Examples:
      | kind                    | sends     |
      | a deposit               | an answer |
      | a stream of 20 tokens   | an answer |
      | a whole of 20 tokens    | an answer |
      | a whole of 2000 tokens  | nothing   |

  Scenario: A gateway notices soon that a caller has left
    Guards against runners that go on with a chat whose caller has left.
    Given 1 routers
    And a runner "a" that takes 20 ms per token
    When a caller closes its connection after the request for a whole of 2000 tokens
    Then runner "a" received a cancel request
    And the chat ended within 0.5 s

  Scenario: A gateway keeps idle connections longer than the server's default
    Guards against a request of a load balancer that crosses the close of an
    idle connection: the server reads it, and cannot answer any more.
    Given a gateway with the settings of a router
    When a caller sends a request on a connection that was idle for 5.5 s
    Then the gateway sends an answer
