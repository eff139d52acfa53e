Feature: Finding the leader

  Members and routers look for the leader at the addresses of their settings, of
  the newest list of members and of redirects.

  Scenario Outline: The seeds or the list name only members that are gone
    Guards against a process that was down or cut off while members were
    replaced, and that never finds the group again.
    Given a client whose seeds are <seeds> and whose list is <members>
    When it sends a request with a timeout of 3.0 s
    Then the request is answered

    Examples:
      | seeds | members |
      | alive | gone    |
      | gone  | alive   |

  Scenario: The list is replaced many times while the seeds stay
    Guards against a process that forgets the seeds once it knows a list.
    Given a client whose seeds are alive and whose list is gone
    When the list is replaced 50 times by members that are gone
    And it sends a request with a timeout of 3.0 s
    Then the request is answered

  Scenario: The known addresses stay few while seeds and members change
    Guards against a search that takes ever longer, at addresses long gone.
    Given a directory with 3 seeds
    When the seeds, the 5 members and the leader change 200 times
    Then it knows at most 15 addresses
    And the newest seeds and members are among them

  Scenario: A call on a connection that falls silent is sent on another one
    Guards against calls that wait for an answer on a connection that no longer
    forwards anything, until their callers give up.
    Given a client with an open link to the leader
    When the link falls silent
    And it sends a request with a timeout of 0.9 s
    Then the request is answered

  Scenario: A redirect of one call leaves the others on its link alone
    Guards against calls that are sent again, or end with an unknown outcome,
    because another call was told to go elsewhere.
    Given a client of a member that answers only the second call, 0.3 s later, and redirects the others
    When it sends 2 requests with a timeout of 0.9 s at once
    Then the second request is answered and was sent once

  Scenario: A call that the leader answers late leaves the others alone
    Guards against calls that are sent again, or fail, because another one on the
    same link has timed out.
    Given a client of a leader that never answers the first call and the second after 0.4 s
    When it sends requests with timeouts of 0.2 s and 0.9 s at once
    Then the leader got each request once
    And only the request with the longer timeout is answered

  Scenario: Calls that wait for a connection end in time
    Load: as many calls at once as a member gets of its runners. Guards against
    answers that come long after their callers have given up, because each call
    waits for the attempts of those before it.
    Given a client that knows 3 members without power
    When it sends 8 requests with a timeout of 0.5 s at once
    Then each request ends as unreachable
    And the last one ended after at most 0.8 s

  Scenario: Members without power keep no call from the leader
    Load: two members have no power, the former leader is one of them, and one of
    the others still names it. Guards against a call that ends unanswered because
    one attempt to connect after the other hangs.
    Given a client that knows a follower of a leader without power, one of the leader, and another member without power
    When each of 12 such clients sends a request with a timeout of 0.9 s
    Then each request is answered

  Scenario: A leader that accepts connections slowly is reached all the same
    Guards against attempts to connect that start anew each time that another
    member names the leader.
    Given a client that knows a follower of a leader that accepts after 0.6 s
    When it sends a request with a timeout of 0.9 s
    Then the request is answered

  Scenario: An address that has failed is tried after the others for a second
    Guards against calls that go to a leader that is gone as long as members
    name it.
    Given a directory with 3 seeds
    When an attempt to connect to the first seed fails
    And a redirect names the first seed as the leader 0.5 s later
    Then the next 4 addresses are others
    When a redirect names the first seed as the leader 1.1 s later
    Then the next address is the first seed

  Scenario: Seeds that change before the settings are watched are used
    Guards against a member that starts while its disk is full, and never learns of
    the seeds that came meanwhile.
    Given settings that changed after they were applied
    When they are watched for 0.5 s
    Then the changed settings are applied once

  Scenario: A new member keeps the list that its request to join brought
    Guards against a member that waits to be added, and loses the group once its
    seeds are replaced.
    Given a new member whose seed answers one request to join, and loses its disk
    When it runs until another member of that list gets its request, or for 3.0 s
    Then that member got its request to join

  Scenario: A call on a link to a leader without power finds the new leader
    Guards against calls that wait for a new connection to a leader that has just
    fallen silent, because its followers still name it.
    Given a client with an open link to the leader
    And a follower that names this leader, and another one 0.7 s later
    When the leader loses power
    And it sends a request with a timeout of 0.9 s
    Then the request is answered

  Scenario: Another program at the address of a member that is gone
    Guards against an error of one attempt to connect that ends the call, or the
    process, while other members answer.
    Given a client that knows the leader and a program that sends other frames
    When each of 12 such clients sends a request with a timeout of 0.9 s
    Then each request is answered
