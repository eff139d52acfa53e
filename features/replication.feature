Feature: Replicated log

  Scenario: All members apply the same entries in the same order
    Given 3 replicas
    When 40 log entries are proposed over 2.0 s
    Then every replica has applied 40 log entries

  Scenario: A new leader takes over after a crash
    Then after a crash another replica leads within 1.8 s in 99 of 100 runs

  Scenario: A leader that stops hands over without an election timeout
    Given 3 replicas
    When 40 log entries are proposed over 2.0 s
    And the leading replica transfers its leadership
    Then another replica holds the leader lease within 0.3 s
    And every replica has applied 40 log entries

  Scenario: A frozen leader's lease has expired when it resumes
    Given 3 replicas
    When the leading replica is frozen for 3 s
    Then another replica holds the leader lease within 2.4 s
    And after 3.0 s only one replica says that it leads

  Scenario: A leader without a majority steps down
    Given 3 replicas
    When the leading replica is isolated
    Then it says that it does not lead the log within 1.3 s

  Scenario: A member that lagged behind a snapshot catches up
    Given 3 replicas that compact every 5 log entries
    When the following replica is isolated
    And 60 log entries are proposed over 2.0 s
    And the replicas' network heals
    Then every replica has applied 60 log entries

  Scenario: A large snapshot is sent in bounded parts over a lossy network
    Given 3 replicas that compact every 4 log entries
    And 20% of the replicas' messages are lost and 10% are duplicated
    When the following replica is isolated
    And 12 log entries of 900000 bytes are proposed over 3.0 s
    And the replicas' network heals
    Then every replica has applied 12 log entries
    And no replica's message was larger than 1200000 bytes

  Scenario: A member that lost synced entries receives them again
    Given 3 replicas
    When 20 log entries are proposed over 1.0 s
    And the following replica loses synced entries
    Then every replica has applied 20 log entries

  Scenario Outline: A member that lost its disk gets a new identity and a vote
    Given 3 replicas that compact every 5 log entries
    When 20 log entries are proposed over 1.0 s
    And the <role> replica loses its disk
    Then all 3 replicas are voters under their current identities within 6.0 s
    And every replica has applied 20 log entries

    Examples:
      | role      |
      | leading   |
      | following |

  Scenario: A member whose first disk is restored becomes a voter again
    Given 3 replicas
    When the following replica runs on another disk until it is a learner
    Then all 3 replicas are voters under their current identities within 5.0 s

  Scenario: A second process under the name of a live member is not admitted
    Given 3 replicas
    When a process with another identity uses the name of a live follower
    Then after 5.0 s the member list is unchanged

  Scenario: A new member starts as a learner and becomes a voter
    Given 3 replicas that compact every 5 log entries
    When 20 log entries are proposed over 1.0 s
    And a fourth replica is proposed
    Then all 4 replicas are voters under their current identities within 3.0 s
    And every replica has applied 20 log entries

  Scenario: A leader that is removed hands over
    Given 3 replicas
    When the leading replica removes itself from the list
    Then another replica holds the leader lease within 2.4 s

  Scenario: Proposals that would break a bound or a majority are refused
    Given 3 replicas
    Then a following replica refuses proposals and names the leading one
    And the leading replica refuses to remove two voters at once
    And the leading replica refuses a new voter that was not a learner
    And the leading replica refuses a second change before the first commits
    And the leading replica refuses an entry of 7340033 bytes
    And the leading replica refuses more than 20000 uncommitted entries

  Scenario: A member with a blank disk neither votes nor stands for election
    Given 3 replicas
    When the following replica loses its disk
    And the leading replica crashes
    Then no replica holds the leader lease for 5.0 s

  Scenario: Members that all restart elect a leader without the restart wait
    Guards against an outage in which restarted voters wait for a lease that no
    process can hold.
    Given 5 replicas
    When all replicas crash and start again within 0.2 s
    Then a replica holds the leader lease within 0.3 s of the last start

  Scenario: Members wait after a restart if one of them did not restart
    Guards against a second leader while the first leader's lease still holds.
    Given 5 replicas
    When all replicas but the leading one crash and start again within 0.2 s
    Then no other replica holds the leader lease within 0.3 s of the last start

  Scenario Outline: Each safety mechanism prevents its failure
    Given the replicas are built <variant>
    When the replicas run the fault schedule: <schedule>
    Then the outcome of the schedule is: <result>

    Examples:
      | variant                        | schedule                                       | result                    |
      | as designed                    | a follower is isolated five times              | one replica led           |
      | without pre-vote               | a follower is isolated five times              | the leader was replaced   |
      | as designed                    | one follower loses only its link to the leader | no invariant is violated  |
      | without lease wait             | one follower loses only its link to the leader | two leader leases         |
      | as designed                    | a voter restarts while the lease holds         | no invariant is violated  |
      | without restart wait           | a voter restarts while the lease holds         | two leader leases         |
      | as designed                    | all voters but the lease holder restart        | no invariant is violated  |
      | to count a majority as all     | all voters but the lease holder restart        | two leader leases         |
      | as designed                    | a member rejoins with part of the log          | no invariant is violated  |
      | to count votes per name        | a member rejoins with part of the log          | a committed entry is lost |
      | as designed                    | a second disk is lost after a repair           | a leader is elected       |
      | without learners               | a second disk is lost after a repair           | no leader is elected      |
      | as designed                    | a member crashes between reply and sync        | no invariant is violated  |
      | to reply before a sync         | a member crashes between reply and sync        | a committed entry is lost |
      | as designed                    | an entry of an old term reaches a majority     | no invariant is violated  |
      | to commit entries of old terms | an entry of an old term reaches a majority     | a committed entry is lost |
      | as designed                    | a member crashes while it waits for space      | no invariant is violated  |
      | to send unsaved output         | a member crashes while it waits for space      | a committed entry is lost |
      | as designed                    | the disk of the leader is full                 | a leader is elected       |
      | to lead on a full disk         | the disk of the leader is full                 | a lease is kept           |

  Scenario Outline: Changes are acknowledged again after disks were full
    Guards against changes that stay unanswered long after the last disk has space,
    against a majority that ends by its own hand, and against lost changes.
    Given 5 replicas
    When their disks are full for some seconds <how> in 2 runs under changes
    Then a change a minute is applied within 1.5 s for 30 minutes in each run
    And every replica has applied all changes in the same order

    Examples:
      | how               |
      | one after another |
      | twice in a row    |
      | three at once     |
      | all at once       |

  Scenario Outline: A majority with space goes on while other disks are full
    Guards against a leader that keeps its lease with a full disk, and against a
    member that ends or stays out after its disk had no space.
    Then in 20 runs with <full> full disks of 5, <which>, a change is applied within <limit> s

    Examples:
      | full | which                     | limit |
      | 1    | the leader's among them   | 1.5   |
      | 2    | the leader's among them   | 2.5   |
      | 2    | the leader's not of them  | 0.5   |
      | 5    | until three of them clear | 2.5   |

  Scenario: Random fault schedules violate no invariant
    Then 2000 seeded fault schedules violate no invariant within 60 s of CPU time

  Scenario: The example of the coordination page runs
    Then the example in "docs/COORDINATION.md" runs
