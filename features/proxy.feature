Feature: Proxied requests

  Scenario Outline: A call that may run once is sent once
    Guards against a second run of a booking, and against a promise that it
    has not run when nobody knows.
    Given a proxied runner that <does>
    And a proxied runner that answers
    When a caller sends a request that may run once
    Then the caller gets status <status>
    And runner 2 has seen <others> requests

    Examples:
      | does                         | status | others |
      | answers                      | 200    | 0      |
      | answers twice                | 200    | 0      |
      | answers another request first | 200   | 0      |
      | answers without a length     | 200    | 0      |
      | breaks off                   | 502    | 0      |
      | sends garbage                | 502    | 0      |
      | fails                        | 500    | 0      |
      | is full                      | 503    | 0      |
      | is another instance          | 503    | 0      |
      | refuses connections          | 200    | 1      |
      | is silent                    | 504    | 0      |

  Scenario Outline: A call that may be repeated is repeated at another runner
    Guards against a failure that a second runner could have hidden.
    Given a proxied runner that <does>
    And a proxied runner that answers
    When a caller sends a request that may run many times
    Then the caller gets status 200
    And the body is the runner's

    Examples:
      | does                |
      | breaks off          |
      | sends garbage       |
      | fails               |
      | is full             |
      | is another instance |
      | refuses connections |
      | is silent           |

  Scenario: The only attempt gets all the time there is
    Guards against a call that is cut to leave time for one that cannot follow.
    Given a proxied runner that answers late
    When a caller sends a request that has a single attempt
    Then the caller gets status 200

  Scenario: A refusal tells when to come back
    Guards against callers that return at once, all together.
    Given a proxied runner that is full
    When a caller sends a request that may run once
    Then the caller gets status 503
    And the answer names a time to come back within a third of 2 s

  Scenario: A stream that breaks off within an event goes on elsewhere
    Guards against a piece that is missing, comes twice or is joined of two.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    When a caller sends a request that may be resumed
    Then the caller gets status 200
    And the relayed stream is whole
    And runner 2 was asked to go on after event 2

  Scenario: A stream that may not be resumed does not look complete
    Guards against a truncated answer that a caller takes for whole.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    When a caller sends a request that streams
    Then the caller gets status 200
    And the relayed stream has no end
    And runner 2 has seen 0 requests

  Scenario: A caller that leaves frees its runner
    Guards against runners that work on for nobody.
    Given a proxied runner that is silent
    When a caller sends a request that may run once and leaves
    Then runner 1 loses its connection

  Scenario: Headers of the system are its own
    Guards against callers that choose a customer, a cache or a reservation.
    Given a proxied runner that answers
    When a caller sends headers that only the system may set
    Then the runner got the customer "huts" and the instance "i-0"
    And the runner got none of the caller's values
    And the runner got no key
    And the runner was given less than 2000 ms

  Scenario Outline: A request that can be read in two ways is refused
    Guards against a second request that is smuggled inside the first.
    Given a proxied runner that answers
    When a caller sends a request with <fault>
    Then the caller gets status <status>
    And runner 1 has seen 0 requests

    Examples:
      | fault                      | status |
      | a length and chunks        | 400    |
      | two lengths                | 400    |
      | a space before a colon     | 400    |
      | a head of 20000 bytes      | 431    |
      | a length of 5000000 bytes  | 413    |
      | an unknown key             | 401    |
      | an unknown path            | 404    |

  Scenario: Requests in any split are passed on unchanged
    Guards against bytes that a boundary between reads loses or repeats.
    Given a proxied runner that answers
    When a caller sends 20 requests in seeded splits and framings
    Then each of them is answered and reached the runner unchanged

  Scenario: A connection that the runner closed is not used again
    Guards against a call that is lost on a dead connection.
    Given a proxied runner that answers twice
    When a caller sends 2 requests one after the other
    Then both are answered by the runner's own answers
    And runner 1 accepted 2 connections

  Scenario: A server that refuses new work finishes what it has
    Guards against a request that is taken late in a drain and then cut off.
    Given a proxied runner that answers late
    When the server refuses new work with 1 request and 1 idle connection open
    Then the idle connection is closed at once
    And no new connection is taken
    And the request gets its whole answer

  Scenario: A stream that began before the stop is the last of its connection
    Guards against a request on a connection that was kept past the stop.
    Given a proxied runner that pauses after event 1
    When the server refuses new work while a stream is relayed
    Then the stream ends as complete and its connection is closed

  Scenario Outline: Requests before the first lease wait a moment
    Pattern: all processes restart at once. Guards against callers that are
    sent away right before a router serves, and against requests that are held
    without a prospect.
    Given a proxied runner that answers
    When a request comes to a router <state>
    Then it ends with <status> after <least> to <most> s

    Examples:
      | state                                   | status | least | most |
      | that gets its first lease 0.2 s later   | 200    | 0.2   | 0.35 |
      | that gets no lease                      | 503    | 0.35  | 0.6  |
      | whose lease has ended                   | 503    | 0.0   | 0.2  |

  Scenario: Ruined answers are never taken for whole ones
    Guards against an answer that is cut, crossed, unframed or garbled and
    reaches a caller as a success, and against a connection that is used again
    after one.
    Given a proxied runner that sends ruined answers
    When 150 requests are sent one after the other
    Then each success is the runner's whole answer to its own request
    And some answers succeeded and more than 60 did not
