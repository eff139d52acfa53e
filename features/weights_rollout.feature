Feature: New weights reach every runner

  Scenario: A roll-out keeps most runners at work
    Guards against a roll-out that takes the capacity or floods the store of
    weights.
    Given a leading member and 9 runners with weights 1
    When weights 2 are named
    Then within 6.0 s every runner is in use with weights 2
    And at most 3 runners loaded and at most 4 were out of use at once

  Scenario: Weights that are named during a load come next
    Guards against a roll-out that waits for a version that it never ordered.
    Given a leading member and 3 runners with weights 1
    When weights 2 are named and weights 3 are named 0.6 s later
    Then within 8.0 s every runner is in use with weights 3

  Scenario: The oldest weights come first
    Guards against a runner that is passed over by each roll-out.
    Given a leading member and 3 runners with weights 2
    And runner 3 has weights 1
    When weights 3 are named
    Then within 8.0 s every runner is in use with weights 3
    And runner 3 was ordered first

  Scenario: A new leader gives no order before the old one's have ended
    Guards against two holders that take turns at a runner.
    Given a member that has just become the leader and 3 runners with weights 1
    And runner 2 was taken out of use by the leader before
    When weights 2 are named
    Then runner 2 is put back into use at once
    And no order is given within 0.4 s
    And within 8.0 s every runner is in use with weights 2

  Scenario: A member that leads no longer gives no order
    Guards against orders of a leader that was frozen.
    Given a leading member and 3 runners with weights 1
    When the member loses the lead and weights 2 are named
    Then no order is given within 0.4 s

  Scenario: An order without an answer does not keep its runner out
    Guards against a runner that is lost to a single lost answer.
    Given a leading member and 3 runners with weights 1
    And runner 1 answers its first order not at all
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And each order names the orders accepted before it

  Scenario: A runner begins what it took before it loads
    Pattern: new weights while runners are full. Guards against requests that
    an order refuses after they waited, and that use up the repeat budget.
    Given a leading member and 3 runners with weights 1
    And runner 1 has requests in its queue for 1.4 s
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And 0 runners were ordered while requests were in their queues

  Scenario: A queue that does not end keeps no runner from its weights
    Guards against a runner that is passed over as long as it is busy.
    Given a leading member and 3 runners with weights 1
    And runner 1 has requests in its queue for 60.0 s
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And 1 runner was ordered while requests were in its queue

  Scenario: Runners end their work while a new leader may give no order
    Pattern: the leader freezes right after weights were named. Guards against
    old weights that are used up before the first new ones are loaded.
    Given a member that has just become the leader and 3 runners with weights 1
    And a new leader may give no order for 2.0 s
    When weights 2 are named
    Then no order is given within 1.9 s
    And the first order is given within 2.2 s

  Scenario Outline: Calm runners load many at a time and none is forgotten
    Guards against a runner that waits for its turn and is never told, and
    against a service that is out of use as a whole.
    Given a leading member and <count> runners with weights 1
    And the runners have no requests
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And at most <loads> runners loaded and at most <out> were out of use at once

    Examples:
      | count | loads | out |
      | 9     | 3     | 6   |
      | 3     | 1     | 2   |
      | 1     | 1     | 1   |
