Feature: Load orders to runners

  Scenario: A router may not send orders after a lapse of its lease
    Guards against orders of a previous holder after another router took over.
    Given a router whose lease runs until 12.0 s and that has been entitled to order since 10.0 s
    Then it may order a runner that checks fencing numbers at 11.0 s
    When the lease lapses and is granted again at 13.0 s
    Then it may not order any runner at 13.1 s

  Scenario: A runner that ignores fencing numbers is ordered only after a wait
    Guards against a delayed order of the previous holder that arrives second.
    Given a router whose lease runs until 12.0 s and that has been entitled to order since 10.0 s
    Then it may not order a runner that ignores fencing numbers at 11.0 s
    When the lease is renewed without a lapse until 17.0 s
    Then it may order a runner that ignores fencing numbers at 15.5 s

  Scenario Outline: A roll-out keeps two thirds of the runners in use
    Guards against a roll-out that removes too much capacity or overloads the
    weight store.
    Given <runners> runners on w1 and rules that name w2
    Then the roll-out ends with at most <loading> runners loading at once

    Examples:
      | runners | loading |
      | 1       | 1       |
      | 4       | 1       |
      | 9       | 3       |
      | 30      | 3       |
