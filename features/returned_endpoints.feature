Feature: Endpoints that return under their id

  # An endpoint that starts again keeps its id. Guards against requests of the
  # earlier incarnation that end late and are subtracted from the load of the
  # present one: a negative load cannot be reported and ended the router.
  Scenario Outline: A late result of an earlier incarnation
    Given an endpoint that returns while it has 3 requests, and gets 2 new ones
    When a request of the earlier incarnation ends with <result>
    Then the router reports 2 requests at the endpoint
    And once all requests have ended it reports none, and never fewer

    Examples:
      | result               |
      | no result            |
      | a success            |
      | a failure            |
      | a refused connection |
      | a rejection          |
      | another incarnation  |
      | a claim of room      |

  # Guards against the same where results come in any order.
  Scenario: Late results in any order
    When requests of 4 incarnations end in random order 300 times, seed 1
    Then every report counts the requests of the present incarnation

  # Guards against an endpoint that is taken out of use for good, or used again,
  # by what a router has heard of the other incarnation.
  Scenario: A replaced incarnation does not bar its successor
    Given an endpoint that returns while it has 3 requests, and gets 2 new ones
    When a request of the earlier incarnation ends with another incarnation
    Then only the present incarnation may get requests

  # Guards against a negative load once an endpoint is listed again that was
  # left out for a moment.
  Scenario: An endpoint is missing from one list
    Given an endpoint with 3 requests that is left out of one list
    When 2 of its requests end
    Then the router reports 1 request at the endpoint

  # Guards against state that grows with each incarnation.
  Scenario: Incarnations whose requests have ended
    When an endpoint returns 50 times and each time its requests end
    Then the router keeps the state of one incarnation

  # Guards against the same in the gateway's scheduler.
  Scenario: A late result of an earlier incarnation in the gateway
    Given a scheduler whose runner returns while it has requests
    When the requests of the earlier incarnation end in each way
    Then the load of the present incarnation is as if they had not been
