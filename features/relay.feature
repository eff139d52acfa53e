Feature: Members relay cached parts and loads to the routers

  No scenario needs a network; messages between members and routers are
  delivered in the test's order.

  Scenario Outline: Each source is followed once, in its own data centre
    Load: hundreds of routers before many runners. Guards against events that
    every router reads from every runner.
    Given <members> members in <centres> data centres
    And <sources> sources spread over the data centres
    Then each source is followed by one member of its data centre
    And no member follows more than <most> sources

    Examples:
      | members | centres | sources | most |
      | 5       | 3       | 10      | 4    |
      | 5       | 5       | 60      | 12   |
      | 7       | 6       | 600     | 100  |

  Scenario: A source is followed by another member when its follower is lost
    Load: a member is killed on a busy day. Guards against routers that choose
    by outdated knowledge until the member is back.
    Given 5 members in 3 data centres
    And 60 sources spread over the data centres
    When member 1 is lost
    Then each source is followed by one member

  Scenario: A source that its follower cannot reach is followed by another
    Load: a link between a member and a runner fails. Guards against a healthy
    runner that gets no requests because one member cannot reach it.
    Given 5 members in 3 data centres
    And 1 sources spread over the data centres
    And a router that subscribes to member 2
    And the source stores part "a"
    When the follower of the source gets no answers
    Then the router does not use the source
    When the other members poll the sources they follow
    Then the router uses the source and knows its part "a"
    When the first follower reaches the source again
    Then each source is followed by one member
    And the router uses the source and knows its part "a"

  Scenario Outline: Routers learn what the sources hold, whatever fails
    Load: parts come and go while members are lost and come back and runners
    restart. Guards against cached parts that a router assumes for ever, and
    against parts that it never learns of.
    Given 5 members in 3 data centres
    And 12 sources spread over the data centres
    And a router that subscribes to member 1
    When parts, members and sources change at random with seed <seed>
    Then the router knows the parts of every source

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: Each router learns the load of all the others
    Load: requests start and end at all routers while messages are under way.
    Guards against a router that counts its own requests as those of others.
    Given <routers> routers that report their loads to 3 members
    When requests start and end at random with seed <seed>
    Then each router knows the load of the others

    Examples:
      | routers | seed |
      | 2       | 1    |
      | 9       | 2    |
      | 60      | 3    |

  Scenario: The load of a router that is lost is not counted any more
    Load: routers are restarted in turn. Guards against a drain that waits for
    requests of a router that is gone.
    Given 9 routers that report their loads to 3 members
    When requests start and end at random with seed 4
    And router 1 is lost
    Then no member counts its requests

  Scenario Outline: Messages to a router do not grow with the number of routers
    Load: <rate> requests a second on <runners> runners. The budget is 9 KB a
    second for each router.
    Given <routers> subscribed routers, 5 members and <runners> runners
    When <rate> requests a second are served for 5 s
    Then no router receives more than 9000 bytes a second
    And no router receives more than 25 messages a second

    Examples:
      | routers | runners | rate |
      | 9       | 9       | 50   |
      | 60      | 45      | 250  |
      | 200     | 60      | 250  |

  Scenario: A paused member does not report runners as silent
    Guards against routers that refuse every request because a member takes all
    runners for silent after a pause.
    Given a member that follows 3 runners which answered 0.2 s ago
    When the member is paused for 5 s
    Then no runner counts as silent
    And all 3 runners count as silent after 2 s without an answer

  Scenario: A crashed runner counts as silent after two refused connections
    Load: runners crash on a busy day. Guards against requests that are sent to
    a crashed runner until its heartbeats are missed.
    Given a member that follows 3 runners which answered 0.2 s ago
    When runner 1 refuses 2 connections
    Then only runner 1 counts as silent

  Scenario: A runner that answers with an error is not silent
    Guards against a runner that gets no requests because it serves no events.
    Given a member that follows 3 runners which answered 0.2 s ago
    When runner 1 answers only with errors for 5 s
    Then runner 1 does not count as silent

  Scenario Outline: A malformed message of another member is refused
    Guards against a member that stops because of one message.
    Given 5 members in 3 data centres
    And 3 sources spread over the data centres
    When member 1 receives <message> from member 2
    Then the message is refused

    Examples:
      | message                       |
      | digests of 7 bytes            |
      | changes of an unknown source  |
