Feature: Members are replaced by new ones

  Members with other names and empty disks take the place of lost ones, as an
  operator's platform starts them.

  Scenario: A new member is added once, however long its leader has led
    Guards against a leader that takes a member that has not answered yet for one
    that has been silent for as long as the leader has led.
    Given 5 members whose leader has led for 20.0 s
    When a following member is replaced after 0.5 s
    Then all members are voters within 4.0 s
    And the new member was added 1 time

  Scenario: A new member that answers late is added once
    Guards against a leader that takes a member that has not answered yet for one
    that has been silent for as long as the leader has led.
    Given 5 members whose leader has led for 20.0 s
    When a following member is replaced, and the new one first answers 0.3 s after it was added
    Then all members are voters within 4.0 s
    And the new member was added 1 time

  Scenario: A member that is gone is not added again
    Guards against a log that grows without end by a name that nobody bears.
    Given 5 members whose leader has led for 20.0 s
    When a following member is replaced after 0.5 s
    And 30.0 s pass
    Then the list of members has changed 3 times

  Scenario: A lost member keeps no later one from joining
    Load: every 4.5 s two members are lost at a time, the leader among them now and
    then, and new ones come 0.5 s later. Guards against lost voters that nobody
    replaces because an earlier lost member is added again and again.
    Then in 40 runs of 8 rounds all members are voters within 4.0 s of each start

  Scenario: A learner that was cut off for long joins when the cut heals
    Guards against a member that believes itself to be in a group which has given
    it up.
    Given 5 members whose leader has led for 20.0 s
    When a following member is replaced, and the new one is cut off as a learner for 25.0 s
    Then all members are voters within 4.0 s

  Scenario: The leader tells why it changes the members
    Guards against changes of the members that nobody can explain.
    Given 5 members whose leader has led for 20.0 s
    When a following member is replaced after 0.5 s
    Then all members are voters within 4.0 s
    And the changes were joining_added, silent_voter_removed, learner_promoted

  Scenario: A member without a leader tells which voters answer
    Guards against an outage of which no member can say why nobody leads.
    Given 5 members whose leader has led for 20.0 s
    When three of them stop, the leader among them
    And 3.0 s pass
    Then a member that is left tells that 2 of 5 voters answer

  Scenario Outline: A new member becomes a voter under a steady load
    Guards against a learner that never votes, since it always lacks the entries of
    the last round trip.
    Given 5 members whose leader has led for 20.0 s
    And <rate> entries a second
    When a following member is replaced by one that is <delay> s away
    Then all members are voters within 4.0 s

    Examples:
      | rate | delay |
      | 40   | 0.04  |
      | 200  | 0.02  |
      | 500  | 0.04  |

  Scenario: A lost voter is replaced though its next leader is lost as well
    Load: a leader is lost for good, and the next one loses its disk up to 1.9 s after
    its election. Guards against voters that are gone while leaders change, and of
    which a third loss would end the group.
    Then in 40 runs no lost leader votes 4.0 s after the start of the new member

  Scenario: Members that are all far away are not replaced by a spare one
    Guards against a round trip that is taken for a loss, and changes without end.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And all links take 0.4 s
    And 30.0 s pass
    Then the list of members has changed 1 times

  Scenario: A pause of the leader costs no voter its vote
    Guards against a leader that takes its own pause for the silence of others.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And the leader stands still 10 times for 0.3 to 1.1 s
    Then the list of members has changed 1 times

  Scenario Outline: A new member takes a large snapshot under a steady load
    Guards against a member that needs one snapshot after another, since the entries
    after each are gone before it is taken.
    Given 5 members whose leader has led for 20.0 s
    And 12 entries of 900000 bytes, and a snapshot each 12 entries
    And <rate> entries a second
    When a following member is replaced by one that is <delay> s away
    Then all members are voters within 4.0 s

    Examples:
      | rate | delay |
      | 100  | 0.08  |
      | 200  | 0.1   |

  Scenario: The voter that has been gone longest is replaced first
    Guards against a voter that is removed for a short pause while a lost one stays.
    Given 5 members whose leader has led for 20.0 s
    When the last of the following members is removed
    And 3.0 s pass
    And a new member joins as the first of them has paused for 0.7 s
    And 3.0 s pass
    Then the removed member does not vote, and the paused one does
    And the changes were joining_added, silent_voter_removed, learner_promoted

  Scenario: A disk that asks under another name does not stop the leader
    Guards against leaders that stop one after another as they build a list which the
    rules forbid.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And requests to join as it and as a new one name the identity of a voter
    And 3.0 s pass
    Then the list of members has changed 1 times

  Scenario: A second process under the name of a live learner changes nothing
    Guards against a learner that is replaced again and again, an entry of the log for
    each request.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And another process asks to join under its name for 10.0 s
    Then the list of members has changed 1 times

  Scenario: A learner that lost its disk is replaced
    Guards against a learner that is held for alive after its disk is gone.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And it loses its disk and is back after 0.2 s
    And a following member is removed
    Then all members are voters within 4.0 s

  Scenario: Learners that are gone keep no new member out of a full list
    Guards against a lost voter that stays as long as the list is full of members that
    were added and then lost.
    Given 5 members whose leader has led for 20.0 s
    When 11 members that are gone are in the list as learners
    And a following member is replaced after 0.5 s
    Then all members are voters within 4.0 s

  Scenario: Spare members in a full list stay
    Guards against changes without end between members that all answer.
    Given 5 members whose leader has led for 20.0 s
    When 13 spare members join
    And 30.0 s pass
    Then the list of members has changed 11 times

  Scenario: Losses within the budget, one after another and at once, lose nothing
    Load: members are replaced, by plan or not, lose their disks, get them back, pause,
    are cut off, slow or full, two at a time, and all lose power now and then; at the
    end two disks are lost. Guards against lost entries, voters that are gone while they
    still count, a group that is not whole 4 s after the last loss, and a list of members
    that changes more often than the losses explain.
    Then 60 seeded schedules of member faults keep the group whole

  Scenario: A member that has just started knows no group
    Guards against a process that ends because it is asked before its first tick.
    Given 5 members whose leader has led for 20.0 s
    When a following member restarts
    Then it knows no group before it hears from a leader

  Scenario: A member that is stopped by plan leaves its vote to a spare one
    Guards against a group that ends when two members are lost right after a third
    one was stopped by plan, though a spare member had caught up.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And a following member says that it stops
    Then the spare member votes in its place within 0.5 s
    When the member that said so and two others are lost
    Then a replica holds the leader lease within 4.0 s of the last start

  Scenario: A member that is stopped by plan without a spare one keeps its vote
    Guards against a group that a planned restart of its members makes smaller.
    Given 5 members whose leader has led for 20.0 s
    When a following member says that it stops
    And 2.0 s pass
    Then the list of members has changed 0 times

  Scenario: A lost voter is replaced though its leaders hand over each second
    Guards against a wait that starts again with each leader and so never ends.
    Given 5 members whose leader has led for 20.0 s
    When a following member is removed, and a new one starts
    And the leader hands over each 1.0 s for 4.0 s
    Then the removed member does not vote

  Scenario: A voter that was replaced while it was cut off joins again
    Guards against a removed voter that disturbs the group, or stays away.
    Given 5 members whose leader has led for 20.0 s
    When a following member is cut off for 4.0 s and replaced
    And 10.0 s pass
    Then the list of members has changed 4 times
    And the group has 5 voters, and the one that was cut off is a learner

  Scenario: A voter that is cut off together with the spare member keeps its vote
    Guards against a group of four voters whose fifth is removed for a member that
    cannot take its place, so that two more losses end it.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And it is cut off for 3.0 s together with a following member
    Then the list of members has changed 1 times

  Scenario: A voter that is gone is not told as one that answers
    Guards against on-call looking for another cause than a lost majority: a voter
    that answered once in the search for a leader and is gone since.
    Given 5 members whose leader has led for 20.0 s
    When the leader and another member stop, and a third one after it has answered
    And 30.0 s pass
    Then no member that is left tells that the third one answers

  Scenario: A slow voter and a slow spare member are not exchanged for each other
    Load: a voter and a spare member answer each heartbeat 0.7 s late, as slowed
    machines do. Guards against an endless series of changes between members that
    all answer.
    Given 5 members whose leader has led for 20.0 s
    When a spare member joins
    And it and a following member answer 0.66 to 0.72 s late
    And 60.0 s pass
    Then the list of members has changed at most 4 times
