Feature: Journal files

  Scenario Outline: A torn last record is cut and nothing before it is lost
    Given a journal with 20 random saves and an in-memory model
    When the last record is <damage>
    Then the journal opens with all but the last save

    Examples:
      | damage               |
      | cut at every byte    |
      | overwritten by zeros |
      | followed by zeros    |

  Scenario: A journal returns exactly the saved data after random restarts
    Then 60 random journals match their models after every restart

  Scenario Outline: Corruption that a crash cannot cause stops the process
    Given a journal with 20 random saves and an in-memory model
    When <damage>
    Then opening the journal fails with "<reason>"

    Examples:
      | damage                                  | reason                 |
      | a middle record is corrupt              | before a synced record |
      | the first record is corrupt             | the start of log       |
      | the journal's file snapshot- is corrupt | is corrupt             |
      | the journal's file snapshot- is missing | is missing             |
      | the journal's file identity is missing  | identity is missing    |
      | the journal's file identity is corrupt  | identity is corrupt    |
      | another process has the journal open    | cannot open            |

  Scenario: Callers cannot make a torn record look like corruption
    Given a journal with 20 random saves and an in-memory model
    When the last record holds a copy of an earlier record and is torn
    Then the journal opens with all but the last save

  Scenario Outline: After a failed save the journal refuses all later saves
    Given a journal with 20 random saves and an in-memory model
    When the operation <operation> fails with <error> while <what> is saved
    Then the save fails and so does every later one
    And the journal opens with the last save or without it

    Examples:
      | operation   | error  | what                     |
      | write_all   | EIO    | an entry                 |
      | sync        | EIO    | an entry                 |
      | write_all   | EIO    | a snapshot               |
      | sync        | EIO    | a snapshot               |
      | rename      | EIO    | a snapshot               |
      | sync_folder | EIO    | a snapshot               |
      | sync_folder | ENOSPC | the log after a snapshot |

  Scenario Outline: A save on a full disk succeeds once there is space
    Guards against a member that ends by itself because its disk is full, a torn
    record before a whole one, and incomplete files that keep the disk full.
    Given a journal with 20 random saves and an in-memory model
    When the operation <operation> fails with <error> while <what> is saved
    Then the save fails twice as the disk is full and leaves no file behind
    And after a crash the journal opens with the last save or without it
    And the same save succeeds once there is space, and 20 more do
    And the journal opens with all saves

    Examples:
      | operation   | error  | what                              |
      | write_all   | ENOSPC | an entry                          |
      | write_all   | EDQUOT | an entry                          |
      | write_all   | EFBIG  | an entry                          |
      | sync        | ENOSPC | an entry                          |
      | write_all   | ENOSPC | a snapshot                        |
      | sync        | ENOSPC | a snapshot                        |
      | write_all   | ENOSPC | a received snapshot               |
      | rename      | ENOSPC | a received snapshot               |
      | sync_folder | ENOSPC | a received snapshot               |
      | write_all   | ENOSPC | the log after a received snapshot |
      | rename      | ENOSPC | the log after a received snapshot |

  Scenario Outline: A snapshot for which there is no space is left for later
    Guards against members that all wait for space at the same entry, although their
    disks have room for records, because a snapshot does not fit.
    Given a journal with 20 random saves and an in-memory model
    When the operation <operation> fails with ENOSPC while <what> is saved
    Then the save succeeds without the snapshot and leaves no file behind
    And a snapshot alone is left out on a full disk
    And 20 more saves succeed once there is space, with a snapshot
    And the journal opens with all saves

    Examples:
      | operation   | what                     |
      | rename      | a snapshot               |
      | sync_folder | a snapshot               |
      | write_all   | the log after a snapshot |
      | rename      | the log after a snapshot |

  Scenario: A record whose sync found no space is written to a new file
    Guards against a second sync that succeeds without writing the record.
    Given a journal with 20 random saves and an in-memory model
    When the operation sync fails with ENOSPC while an entry is saved
    Then the next save writes the log to a new file and syncs it

  Scenario: Journals on disks that are full again and again lose nothing
    Guards against records that are lost or doubled by an operation that fails
    at any point, while the process is killed before there is space or is not.
    Then 100 random journals on such disks match their models after restarts

  Scenario: A member whose disk is full retries until there is space
    Guards against a process that exits and is restarted until the disk has room.
    Given a journal with 1 random saves and an in-memory model
    And the disk is full for the first 2 write attempts
    When a member opens the journal
    Then it opened at the third attempt with all saved entries
    And the log reports once that the disk is full

  Scenario: A record whose sync failed is rewritten and synced on restart
    Given a journal with 20 random saves and an in-memory model
    When the operation sync fails with EIO while an entry is saved
    Then the next start writes the log to a new file and syncs it

  Scenario: Snapshots bound the number and size of journal files
    Given a journal with 900 changes and a snapshot after every 100
    Then the folder holds 4 files and less than 60000 bytes

  Scenario: Forming a group is refused unless the journal is blank
    Given a journal with 20 random saves and an in-memory model
    Then forming a group is refused

  Scenario: A member that was told to form the group remembers it
    Guards against a deployment that nobody forms, after a kill at any step of the
    first start.
    Given an empty folder in which a member is told to form the group
    When the process is killed at each operation of its first start
    Then it still knows the seeds, or nothing was written

  Scenario Outline: A member whose disk is full forms its group later
    Given a blank member in term <term> whose disk is full
    When it is asked to form a group, again once the disk has space
    Then it refuses first and is formed then

    Examples:
      | term |
      | 0    |
      | 2    |

  Scenario: A new group keeps its entries when all members restart
    Given three blank journals that form a group
    When an entry is committed and all members restart
    Then all members hold the entry again

  Scenario Outline: The restart wait counts from the start of the process
    Guards against an outage prolonged by the time that imports take, and against
    a vote while a lease from before the restart may still hold.
    Given three blank journals that form a group
    When a member is created <age> s after its process started
    Then it <votes> for another candidate at once

    Examples:
      | age | votes         |
      | 0.7 | votes         |
      | 0.5 | does not vote |
