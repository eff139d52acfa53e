@processes
Feature: Routers of the product without paths to endpoints
  Three members, two routers, two runners and a desk run as separate processes on
  loopback.

  Scenario Outline: A router without paths to endpoints serves its callers
    Router-1 loses all its links to endpoints, but not those to callers, members or
    router-2. Guards against callers of such a router that are refused although
    others are served, and against a router that stays as it is once the links are
    back.
    Given a running deployment whose routers may lose their paths to endpoints
    When the connections of router-1 to endpoints <fail> for 8.0 s
    Then from 3.0 s on its callers are served like those of router-2
    And its callers are served once the links are back

    Examples:
      | fail                        |
      | hang                        |
      | reset                       |
      | refuse while open ones work |
