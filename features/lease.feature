Feature: Changes to the control state under faults

  Scenario: No router works under a state older than an answered change
    Guards against a router that still applies rules that an operator was told
    are replaced.
    When 600 schedules of leader changes, partitions, lost replies, frozen processes and delayed grants run
    Then no router started work under an older state
    And every change was answered within 2.3 s unless the leader changed
    And at least 600 changes were answered

  Scenario Outline: Fault schedules detect a missing lease rule
    Guards against schedules that pass although a rule is missing.
    When up to 300 schedules run in which <fault>
    Then a router started work under an older state

    Examples:
      | fault                                                         |
      | a new leader does not wait for earlier grants to expire       |
      | a router counts its lease from the receipt of the grant       |
      | a change is answered as soon as it is committed               |
      | the leader adds no margin for clock drift to a lease of 2.0 s |

  Scenario: Without a limit a router that gets no replies blocks changes
    Guards against schedules that never reach the limit of a lease during a
    pending change.
    When up to 300 schedules run in which routers that receive no replies get new leases
    Then an answer took longer than 4.0 s under one leader

  Scenario: Of concurrent files on one base version only one is accepted
    Guards against an operator who unknowingly overwrites another one's file.
    When 1500 races of operators who resend files after lost answers run
    Then each base version has exactly one accepted file
    And each resend got the first answer
    And no version of the rules was followed by an older text

  Scenario Outline: Races of concurrent operators detect a missing check
    Guards against races that pass although a rule is missing.
    When up to 300 races run in which <fault>
    Then a guarantee to the operators was violated

    Examples:
      | fault                          |
      | the base version is not checked |
      | answers are not stored          |

  Scenario: A late resend of an old file never reverts a newer one
    Guards against applying a resend as a new command after its stored answer
    was dropped.
    Given rule files 1 and 2 were accepted
    And the stored answer to file 1 was dropped from the bounded table
    When file 1 is sent again
    Then it is a conflict and file 2 is in force

  Scenario: A retired endpoint stays retired over its restarts
    Guards against a restart or a delayed announcement that puts a retired
    endpoint back into use.
    When 1000 schedules of announcements, restarts and retirements run
    Then no endpoint came back without an operator

  Scenario: Without a stored retirement a restarted endpoint comes back
    Guards against schedules that pass although retirements are not stored.
    When up to 300 schedules of announcements run in which retirements are not stored
    Then an endpoint came back without an operator

  Scenario: Snapshots do not change the results of commands
    Guards against a part of the state that snapshots omit.
    When 300 command sequences run with and without snapshots
    Then their results and final states are equal

  Scenario: Snapshots without the stored answers change results
    Guards against command sequences that pass although snapshots omit a part.
    When up to 300 command sequences run in which snapshots lack the answers
    Then some results or final states differ
