Feature: Endpoints that fall over when they turn many requests away

  An endpoint may say in its answers that it is brittle: it falls over when it has
  to turn more than a number of requests away in a second for want of room. No
  scenario needs a network.

  Scenario Outline: A brittle endpoint is told from one that is not
    Guards against a header that ends a process, or that is taken for a number.
    When an answer with status 200 says "<headers>"
    Then the endpoint is brittle at <number>
    And <malformed> headers are malformed

    Examples:
      | headers                              | number | malformed |
      | server-brittle: 5                    | 5      | 0         |
      | server-brittle: 0                    | 0      | 0         |
      | server-brittle: 5; server-brittle: 3 | 3      | 0         |
      | server-brittle: many                 | none   | 1         |
      | server-brittle: nan                  | none   | 1         |
      | server-limit: 3                      | none   | 0         |

  Scenario Outline: Routers send a brittle endpoint no more than it has room for
    Load: requests at 1.5 times what the endpoints finish, at all routers alike,
    which know each other's loads 0.25 s late; the endpoints let none wait. Guards
    against routers that together make one endpoint after the other fall over, and
    against endpoints that are left idle for it.
    Given <routers> routers and <endpoints> endpoints with 24 slots and brittle at 5
    When requests come for 12 s
    Then from 3 s on no endpoint turns more than 5 requests away in a second
    And the endpoints use at least 0.8 of their slots

    Examples:
      | routers | endpoints |
      | 9       | 9         |
      | 195     | 60        |
