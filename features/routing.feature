Feature: Configurations, heartbeats and membership of a deployment

  Scenario: The longest prefix of a host selects the route
    Guards against a request that is routed to the service of another route.
    Given routes for "/a/", "/a/b/" and "/" of one host
    Then path "/a/b/c" selects "/a/b/" and path "/a/x" selects "/a/"
    And path "/z" selects "/" and another host selects none

  Scenario: A route's traffic split follows its weights
    Guards against a service that gets more than its share, or requests at
    weight 0.
    Given a route split 90 to 10 to 0
    Then 1000 evenly spaced draws give 900, 100 and 0 requests

  Scenario: The highest configuration number is in force in any order
    Guards against an older configuration that arrives late or repeatedly.
    Given a control state
    When configurations 5, 3, 5 and 9 are submitted
    Then each is accepted and configuration 9 of the first sender is in force
    And a snapshot restores it

  Scenario: Other content under the number in force changes nothing
    Guards against two operators with different content under one number who
    both assume that theirs is in force.
    Given a control state
    When configuration 5 is submitted twice with different routes
    Then each is accepted and configuration 5 of the first sender is in force

  Scenario: A silent endpoint becomes active again and a leaving one does not
    Guards against a late heartbeat that reactivates a leaving endpoint.
    Given a control state
    And an endpoint that announced itself
    When its status becomes silent and it announces itself
    Then its status is active
    When its status becomes leaving and it announces itself
    Then its status is leaving

  Scenario: A loading endpoint becomes active when it has new weights
    Guards against requests to a runner that refuses them while loading weights.
    Given a control state
    And an endpoint that announced itself
    When its status becomes loading and it announces itself
    Then its status is loading
    When it announces itself with new weights
    Then its status is active

  Scenario: A status of an earlier incarnation is ignored
    Guards against a delayed expiry that is applied to the endpoint's next
    incarnation.
    Given a control state
    And an endpoint that announced itself
    When it restarts and a status of its previous incarnation arrives
    Then its status is active

  Scenario Outline: Late and old heartbeats are ignored
    Guards against a ready heartbeat that arrives after a later draining one.
    Given a heartbeat of incarnation 100 with number 5
    When a heartbeat of incarnation <incarnation> with number <number> arrives
    Then it is <result>

    Examples:
      | incarnation | number | result   |
      | 100         | 6      | accepted |
      | 100         | 5      | ignored  |
      | 100         | 4      | ignored  |
      | 99          | 9      | ignored  |
      | 101         | 1      | accepted |

  Scenario: Endpoints without heartbeats become silent, also at a new leader
    Guards against requests to endpoints that are gone, and against a new leader
    that marks all endpoints silent at once.
    Given a heartbeat of incarnation 100 with number 5
    Then it is silent after 4.9 s but not after 4.7 s
    And one without a heartbeat is silent 4.9 s after the table was created

  Scenario: Joining members become voters up to the target number
    Guards against a group that stays too small, or that gains voters beyond the
    number wanted and so needs a larger majority.
    Given a group of 3 voters that wants 5
    When 4 members request to join and all answer
    Then the group has 5 voters and 2 learners

  Scenario: A joining member replaces only a silent voter
    Guards against a voter that is removed without a successor or while alive.
    Given a group of 5 voters that wants 5
    When 1 member requests to join and all answer
    Then the group has 5 voters and 1 learner
    When voter "v2" is silent for 3.0 s
    Then the group has 5 voters and 0 learners
    And "v2" is no member
    When voter "v3" is silent for 60.0 s
    Then the group has 5 voters and 0 learners
    And "v3" is a member

  Scenario: A manually configured group ignores join requests
    Guards against changes to groups that operators configure manually.
    Given a group of 3 voters that wants 0
    When 2 members request to join and all answer
    Then the group has 3 voters and 0 learners
