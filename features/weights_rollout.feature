Feature: Roll-out of new weights to every runner

  Scenario: A roll-out keeps most runners in use
    Guards against a roll-out that removes too much capacity or overloads the
    weight store.
    Given a leading member and 9 runners with weights 1
    When weights 2 are named
    Then within 6.0 s every runner is in use with weights 2
    And at most 3 runners loaded and at most 4 were out of use at once

  Scenario: A service that is called like a model loads no weights of that model
    Guards against runners that are taken out of use again and again for weights
    of a model that they do not have.
    Given a leading member and 3 runners with weights 1
    And they are of a service called like the model and have another model
    When weights 2 are named
    Then no runner is out of use and no order is sent within 2.0 s

  Scenario: Weights that are named during a load are loaded next
    Guards against a roll-out that waits for a version that was never ordered.
    Given a leading member and 3 runners with weights 1
    When weights 2 are named and weights 3 are named 0.6 s later
    Then within 8.0 s every runner is in use with weights 3

  Scenario: Runners with the oldest weights are ordered first
    Guards against a runner that no roll-out reaches.
    Given a leading member and 3 runners with weights 2
    And runner 3 has weights 1
    When weights 3 are named
    Then within 8.0 s every runner is in use with weights 3
    And runner 3 was ordered first

  Scenario: A new leader sends no order until earlier orders have ended
    Guards against interleaved orders of two leaders to one runner.
    Given a member that has just become the leader and 3 runners with weights 1
    And runner 2 was taken out of use by the previous leader
    When weights 2 are named
    Then runner 2 is back in use at once
    And no order is sent within 0.4 s
    And within 8.0 s every runner is in use with weights 2

  Scenario: A member that is no longer the leader sends no order
    Guards against orders of a leader that was suspended and lost its lease.
    Given a leading member and 3 runners with weights 1
    When the member loses the lead and weights 2 are named
    Then no order is sent within 0.4 s

  Scenario: A runner returns to use after an unanswered order
    Guards against a runner that stays out of use after one lost answer.
    Given a leading member and 3 runners with weights 1
    And runner 1 does not answer its first order
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And each order contains the number of orders accepted before it

  Scenario: An unexpected error in the update of one runner
    Guards against a member that ends, and each next leader with it, by what a
    faulty runner makes another part raise.
    Given a leading member and 3 runners with weights 1
    And runner 1 makes its first order raise an unexpected error
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2

  Scenario: A runner starts its queued requests before it loads weights
    New weights arrive while runners are fully loaded. Guards against an order
    that makes a runner refuse requests that waited in its queue, and so uses up
    the repeat budget.
    Given a leading member and 3 runners with weights 1
    And runner 1 has queued requests for 1.4 s
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And 0 runners were ordered while they had queued requests

  Scenario: A runner that is always busy still gets new weights
    Guards against a runner that gets no new weights as long as it is busy.
    Given a leading member and 3 runners with weights 1
    And runner 1 has queued requests for 60.0 s
    When weights 2 are named
    Then within 9.0 s every runner is in use with weights 2
    And 1 runner was ordered while it had queued requests

  Scenario: A new leader sends its first order as soon as its wait is over
    The leader is suspended immediately after weights were named. Guards against
    old weights that become unusable before the first new ones are loaded.
    Given a member that has just become the leader and 3 runners with weights 1
    And a new leader may send no order for 2.0 s
    When weights 2 are named
    Then no order is sent within 1.9 s
    And the first order is sent within 2.2 s

  Scenario Outline: Idle runners load several at a time and all get new weights
    Guards against a waiting runner that never gets an order, and against a
    service without any runner in use.
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

  Scenario Outline: A larger fleet has new weights in the same time
    Load: new weights for many busy runners. Guards against a roll-out that
    takes longer the more runners there are, until requests on old weights are
    refused.
    Given a leading member and <count> runners with weights 1
    When weights 2 are named
    Then within 8.0 s every runner is in use with weights 2
    And at most <loads> runners loaded and at most <out> were out of use at once

    Examples:
      | count | loads | out |
      | 45    | 15    | 20  |
      | 60    | 20    | 27  |
