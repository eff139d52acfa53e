Feature: Configurations, heartbeats and membership of a deployment

  Scenario: The longest prefix of a host selects the route
    Guards against a request that is run by another route's service.
    Given routes for "/a/", "/a/b/" and "/" of one host
    Then path "/a/b/c" selects "/a/b/" and path "/a/x" selects "/a/"
    And path "/z" selects "/" and another host selects none

  Scenario: Shares of a split are kept
    Guards against a service that gets more than its share or work at weight 0.
    Given a route split 90 to 10 to 0
    Then 1000 even draws give 900, 100 and 0 requests

  Scenario: The highest number is in force, whatever the order
    Guards against an older configuration that arrives late or again.
    Given a control state
    When configurations 5, 3, 5 and 9 are submitted
    Then each is accepted and configuration 9 of the first sender is in force
    And a snapshot restores it

  Scenario: Other content under the number in force changes nothing
    Guards against two operators that both believe theirs is in force.
    Given a control state
    When configuration 5 is submitted twice with different routes
    Then each is accepted and configuration 5 of the first sender is in force

  Scenario: A leaving endpoint stays out, a silent one comes back
    Guards against a late heartbeat that brings a leaving endpoint back.
    Given a control state
    And an endpoint that announced itself
    When its status becomes silent and it announces itself
    Then its status is active
    When its status becomes leaving and it announces itself
    Then its status is leaving

  Scenario: A loading endpoint is out of use until it has new weights
    Guards against requests to a runner that refuses them while it loads.
    Given a control state
    And an endpoint that announced itself
    When its status becomes loading and it announces itself
    Then its status is loading
    When it announces itself with new weights
    Then its status is active

  Scenario: A change of an earlier incarnation's status changes nothing
    Guards against an expiry that hits the endpoint's next start.
    Given a control state
    And an endpoint that announced itself
    When it restarts and a status of its earlier start arrives
    Then its status is active

  Scenario Outline: Late and old heartbeats are ignored
    Guards against a ready heartbeat that overtakes a draining one.
    Given a heartbeat of incarnation 100 with number 5
    When a heartbeat of incarnation <born> with number <number> arrives
    Then it is <taken>

    Examples:
      | born | number | taken   |
      | 100  | 6      | taken   |
      | 100  | 5      | ignored |
      | 100  | 4      | ignored |
      | 99   | 9      | ignored |
      | 101  | 1      | taken   |

  Scenario: An endpoint that is not heard becomes silent, after a new leader too
    Guards against work for endpoints that are gone, and against a new leader
    that takes all of them out at once.
    Given a heartbeat of incarnation 100 with number 5
    Then it is silent after 4.9 s but not after 4.7 s
    And one that was never heard is silent 4.9 s after the table began

  Scenario: Members that ask to join become voters up to the number wanted
    Guards against a group that stays small, or grows beyond its majority.
    Given a group of 3 voters that wants 5
    When 4 members ask to join and all answer
    Then the group has 5 voters and 2 learners

  Scenario: A joining member takes the place of a silent voter only
    Guards against a voter that is removed without a successor or while alive.
    Given a group of 5 voters that wants 5
    When 1 member asks to join and all answer
    Then the group has 5 voters and 1 learner
    When voter "v2" is silent for 3.0 s
    Then the group has 5 voters and 0 learners
    And "v2" is no member
    When voter "v3" is silent for 60.0 s
    Then the group has 5 voters and 0 learners
    And "v3" is a member

  Scenario: A group that takes in nobody ignores those that ask
    Guards against a change of the groups that operators form by hand.
    Given a group of 3 voters that wants 0
    When 2 members ask to join and all answer
    Then the group has 3 voters and 0 learners
