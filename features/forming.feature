Feature: Forming of the group

  The seeds of a new deployment form the group by several messages. Any member may
  be killed between two of them; it comes back 0.3 s later with bootstrap false.

  Scenario Outline: A group that only some seeds were told of is completed
    Guards against seeds that wait for ever for a coordinator that was killed
    between two of them.
    When 5 members start, and seeds <seeds> are killed after Form message <number>
    Then one group forms with all members within 8.0 s

    Examples:
      | seeds | number |
      | 1     | 1      |
      | 1     | 2      |
      | 1,2   | 1      |
      | 1,2   | 2      |
      | 1,2,3 | 1      |
      | 1,2,3 | 2      |
