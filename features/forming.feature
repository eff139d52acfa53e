@long
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

  Scenario Outline: A group forms although seeds are killed before they form it
    Guards against members that all wait for a first seed which no longer knows
    that it is to form the group.
    When 5 members start, and seeds <seeds> are killed after Describe message <number>
    Then one group forms with all members within 8.0 s

    Examples:
      | seeds | number |
      | 1     | 1      |
      | 1     | 3      |
      | 1,2   | 2      |
      | 1,2,3 | 3      |

  Scenario: A group forms although the first seed lost its disk at the start
    Guards against members that wait for a first seed which was killed before it
    could write anything.
    When 5 members start, and the first seed comes back with an empty disk
    Then one group forms with all members within 8.0 s

  Scenario: A group forms whichever message of the forming is interrupted
    Load: at each of the three Describe and Form messages, before and after it was
    handled, the link is cut, or each seed, two, all seeds or all members are
    killed, or each seed loses its disk. Guards against an order of kills after
    which there is no group, or more than one.
    When 5 members start, and each step of the forming is interrupted once
    Then one group forms with all members within 12.0 s each time

  Scenario: Members that form the group at the same time leave each other time
    Load: the first seed does not form the group, the four others do, and each
    answer takes longer than the time between their attempts. Guards against
    members that spoil each other's attempts for ever.
    When 5 members start, whose answers take 1.0 s and of which the first seed waits
    Then one group forms with all members within 20.0 s in each of 5 starts

  Scenario Outline: A group forms although one seed is lost for good at the start
    Guards against members that wait for ever for a seed whose machine is gone, of
    which the faults that are to be borne allow more than one.
    When 5 members start without seed <seed>
    Then one group forms with the members that started within 12.0 s

    Examples:
      | seed |
      | 1    |
      | 3    |

  Scenario: A returning member forms no second group beside a living one
    Guards against a configuration that is replaced by nothing: a member that was
    away since the first start returns as the three seeds are back with empty disks.
    When 4 of 5 members form a group, and the seeds lose their disks as the fifth returns
    Then no member takes part in another group within 12.0 s
