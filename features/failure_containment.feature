Feature: One error ends no more than it must

  Scenario: A member that is removed right after it was added
    Guards against a member that ends because a task of a peer is cancelled
    before its first step.
    Given a member with links to no other member yet
    When another member is added and removed before its link is opened
    Then the member still runs

  Scenario: A group that was formed while this member had not heard of it
    Guards against a member that ends because the leader's first message arrives
    before the request to form the group.
    Given a blank member of a group of 3
    When the leader's message of a later term arrives before the first entry
    And the member is asked to form the group
    Then it answers that the group is formed

  Scenario: A leader ends before it has sent the group's first entry
    Guards against a member that says that it is formed but holds no entry, and
    so grants no votes; the others may have lost the majority without it.
    Given a blank member of a group of 3
    When the leader's message of a later term arrives before the first entry
    And the member is asked to form the group
    Then the member holds the first entry in term 3, also after a restart
    And it grants no vote while that leader may hold its lease

  Scenario: A member is asked to form a group that lists its earlier disk
    Guards against a member that ends by itself, or says that it is formed, when
    it lost its disk between the two messages that form the group.
    Given a blank member of a group of 3
    When the member is asked to form the group with another identity for it
    Then it refuses, and forms the group that lists it

  Scenario: Two processes form the group from different disks of one member
    Guards against members that hold different first entries, when a seed loses its
    disk while two processes form the group.
    Given a blank member of a group of 3
    When two processes ask who it is, one after the other
    Then it refuses the group of the first one and forms that of the second one

  Scenario: A handler of a link raises an unexpected error
    Guards against one message that ends the whole process.
    Given a server whose handler raises an unexpected error for some messages
    When a client sends such a message
    Then only that client's link closes
    And another client still gets answers

  Scenario Outline: A member closes a router's subscription
    Guards against a router that ends, with all requests that it serves, because
    its member is lost, or has given it up while it stood still.
    Given a member that closes the first subscription of a router <when>
    When the router subscribes
    Then the router still runs and has subscribed again

    Examples:
      | when                          |
      | before it answers             |
      | after it answers from far off |
      | after it answers from nearby  |

  Scenario: A handler of a link cannot write to the journal
    Guards against a member that goes on after a write has failed.
    Given a server whose handler raises a journal error for some messages
    When a client sends such a message
    Then the server ends with the journal error

  Scenario Outline: The log names the error that ended a process
    Guards against logs that blame the journal for any error.
    When a process ends with <error>
    Then it logs "<event>" and exits with code <code>

    Examples:
      | error                            | event          | code |
      | a key error in a nested group    | process_failed | 1    |
      | a journal error in a nested group | journal_failed | 3    |
      | a replica error                  | replica_failed | 3    |

  Scenario Outline: A connection fails before a long body is sent on it
    Guards against a router that ends by itself, as the task that sends a body
    takes its first turn after its request has ended; and against a body that is
    sent after the request was said not to have run.
    Given a pool whose first connection to an endpoint <state>
    When a request with a long body is sent, and closed <when>
    Then it has failed as one of which nothing was written, and nothing was
    And the pool sends the next request

    Examples:
      | state                             | when    |
      | was reset as it opened            | at once |
      | was reset as it opened            | later   |
      | has bytes that are no answer      | at once |
      | has bytes that are no answer      | later   |

  Scenario: The send of a long body raises an unexpected error
    Guards against one request that ends its router, and against a request that
    waits for its timeout although it is known that it cannot be served.
    Given a pool whose first connection to an endpoint raises an unexpected error
    When a request with a long body is sent, and closed at once
    Then it has failed within 1.0 s as one that may have run
    And the log names the error of a task
    And the pool sends the next request

  Scenario Outline: A task of one request or connection raises an unexpected error
    Guards against one request that ends the process, and all others with it.
    When <task> raises an unexpected error
    Then the process still runs
    And the log names the error of a task

    Examples:
      | task                                  |
      | a tunnel for another router           |
      | the accept of a link                  |
      | the read of what an upload has left   |
      | a background task that nobody awaits  |
      | the look at a router's own paths      |

  Scenario: The write of a link raises an unexpected error
    Guards against a link that ends whatever has opened it: the tunnels of a router,
    a client of the members or a member.
    Given a link whose connection raises an unexpected error for each write
    When it runs and sends a message
    Then it has closed, and what runs it goes on

  Scenario: An order to one runner raises an unexpected error
    Guards against one runner's answer that ends a router, or the orders to the others.
    Given orders to two runners, of which the first raises an unexpected error
    When a router sends them
    Then the router still runs, and the second order was sent
    And the first one is tried again later

  Scenario: An endpoint's address can be no host name
    Guards against an entry in the list of endpoints that ends the router which
    looks whether its own links are cut.
    Given an endpoint whose host has a label of 70 letters outside ASCII
    When a router that has lost its paths tries it
    Then the router still runs and takes it for one that is not there
