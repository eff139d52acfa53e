Feature: What endpoints say of themselves is obeyed

  No scenario needs a network. An endpoint says in its answers that it leaves, or
  that it wants no requests for a time; see proxy.feature for requests.

  Scenario Outline: Each way to say it has a defined meaning
    Guards against a process that ends because of one header, and against an
    endpoint that is left out for ever by a malformed one.
    When an answer with status <status> says "<headers>"
    Then the endpoint <leaves> and wants nothing for <wait> s
    And <malformed> headers are malformed

    Examples:
      | status | headers                           | leaves       | wait | malformed |
      | 200    | server-leaving: 1                 | leaves       | 0    | 0         |
      | 503    | server-leaving: 1; retry-after: 2 | leaves       | 2    | 0         |
      | 200    | server-leaving: 0                 | does not leave | 0  | 0         |
      | 200    | server-leaving: soon              | does not leave | 0  | 1         |
      | 200    | server-leaving: 0; server-leaving: 1 | leaves    | 0    | 0         |
      | 503    | retry-after: 2.5                  | does not leave | 2.5 | 0        |
      | 503    | retry-after: 0                    | does not leave | 0  | 0         |
      | 503    | retry-after: -1                   | does not leave | 0  | 1         |
      | 503    | retry-after: nan                  | does not leave | 0  | 1         |
      | 503    | retry-after: inf                  | does not leave | 0  | 1         |
      | 503    | retry-after: 1e300                | does not leave | 0  | 1         |
      | 503    | retry-after: Sat, 05 Dec 2026 00:00:00 GMT | does not leave | 0 | 1 |
      | 503    | retry-after: 1; retry-after: 3    | does not leave | 3  | 0         |
      | 503    | retry-after: x; retry-after: 3    | does not leave | 3  | 1         |
      | 200    | retry-after: 3                    | does not leave | 0  | 0         |
      | 503    |                                   | does not leave | 0  | 0         |

  Scenario: Any bytes are decoded
    Guards against a process that ends because of one header.
    Given 5000 seeded answers with odd values in these headers
    Then each is decoded, to a finite wait and a positive limit or none

  Scenario Outline: A wait is kept by each router and ends at different times
    Load: at one moment an endpoint asks <routers> routers for a wait of 2 s, while
    each has a request for it each 0.05 s. Guards against requests within the wait
    or from all routers at the moment when it ends.
    Given <routers> routers that an endpoint asks for a wait of 2 s
    Then none sends a request in the next 2 s
    And all of them send one within 2.5 s
    And at most <most> of them send their first within one 0.05 s

    Examples:
      | routers | most |
      | 1       | 1    |
      | 9       | 4    |
      | 195     | 40   |

  Scenario: A new incarnation starts free
    Guards against a new endpoint that is left out for what the one before it at
    its address has said, and against an old answer that says it of the new one.
    Given a router to which incarnation "1" of an endpoint says that it leaves
    Then incarnation "2" takes requests, and incarnation "1" does not
    When incarnation "1" says once more that it leaves
    Then incarnation "2" takes requests, and incarnation "1" does not

  Scenario: An endpoint that leaves does not come back
    Guards against an answer that began before the endpoint decided to leave, and
    that comes after one that says so.
    Given a router to which incarnation "1" of an endpoint says that it leaves
    When incarnation "1" answers and says nothing
    Then incarnation "2" takes requests, and incarnation "1" does not

  Scenario: A shorter wait does not end a longer one
    Guards against requests within a wait, since answers may overtake each other.
    Given 1 routers that an endpoint asks for a wait of 2 s
    When the endpoint asks for a wait of 0.1 s
    Then none sends a request in the next 2 s

  Scenario: Statements are forgotten with their endpoints, and bounded
    Guards against a table that grows with incarnations.
    Given a router to which 5000 endpoints say that they leave
    Then it remembers at most 1024 of them
    When none of them is known any more
    Then it remembers at most 0 of them
