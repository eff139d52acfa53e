Feature: Changes in force under faults

  Scenario: No router works under a state older than an answered change
    When 600 schedules of leader changes, partitions, lost replies, frozen processes and delayed grants run
    Then no router started work under an older state
    And every change was answered within 2.3 s unless the leader changed
    And at least 600 changes were answered

  Scenario Outline: The schedules find a rule that is left out
    When up to 300 schedules run in which <fault>
    Then a router started work under an older state

    Examples:
      | fault                                           |
      | a new leader does not wait                      |
      | the lease counts from receipt of the grant      |
      | a change is answered as soon as it is committed |
      | the leader counts 2.0 s for a slower clock      |

  Scenario: Without its limit a router that hears no answer blocks changes
    When up to 300 schedules run in which routers that receive no replies get new leases
    Then an answer took longer than 4.0 s under one leader

  Scenario: Operators race with different files under an equal base version
    When 1500 races of operators who retry after lost answers run
    Then each base version has exactly one accepted file
    And each retry got the first answer
    And no version of the rules was followed by an older text

  Scenario Outline: The races find a rule that is left out
    When up to 300 races run in which <fault>
    Then a guarantee to the operators was violated

    Examples:
      | fault                          |
      | the base version is not checked |
      | answers are not stored          |

  Scenario: A late resend of an old file never reverts a newer one
    Given rule files 1 and 2 were accepted
    And the stored answer to file 1 was dropped from the bounded table
    When file 1 is sent again
    Then it is a conflict and file 2 is in force

  Scenario: A retired endpoint stays retired over its restarts
    When 1000 schedules of announcements, restarts and retirements run
    Then no endpoint came back without an operator

  Scenario: Without the retired mark a restarted endpoint comes back
    When up to 300 schedules of announcements run in which retirement is not kept
    Then an endpoint came back without an operator

  Scenario: A snapshot at any point changes nothing
    When 300 command sequences run with and without snapshots
    Then their results and final states are equal

  Scenario: Without the stored answers in it a snapshot changes results
    When up to 300 command sequences run in which snapshots lack the answers
    Then some results or final states differ
