@processes
Feature: Control client, control state and member

  Scenario: A redirect after an unanswered send leaves the outcome unknown
    Guards against reporting a command as not sent when it was sent.
    Given a member that drops the first command and redirects all later ones
    When a command is submitted
    Then the command ends as unknown_outcome

  Scenario: A request id is bound to one order
    Guards against answering a command with the result of another one.
    Given the rules were replaced under request id "a"
    Then the same command under request id "a" gets the first answer
    And another command under request id "a" is refused as RequestIdReused

  Scenario: A full endpoint table drops endpoints that left for new ones
    Guards against a table full of endpoints that have left, which accepts no
    new ones.
    Given a full endpoint table in which two endpoints left
    When a new endpoint announces itself
    Then it is accepted and the endpoint that left first is gone

  Scenario: A runner whose models need different versions gets one load order
    Guards against a runner that alternates between two versions forever.
    Given a runner that serves two models and rules that set w2 and w3 for them
    Then it gets exactly 1 load order

  Scenario: A member refuses rules that do not parse
    Guards against committing rules that no router can apply.
    Given a deployment of 1 member
    When an operator submits rules that do not parse
    Then the command ends as refused
    And the rules version is still 0

  Scenario: The daemon refuses the settings of the tool
    Guards against a traceback instead of an error message.
    When the daemon is started with settings of the tool
    Then it exits with code 2 and names "role"

  Scenario: Announcements without changes are not forwarded to the members
    Guards against one log entry per endpoint and router each second.
    Given a router that knows an active endpoint
    Then its announcement is not forwarded
    But its announcement with another incarnation is forwarded
    And its announcement as leaving is forwarded until the members have replied

  Scenario: A request whose caller leaves at the decision holds no slot
    Guards against leaking the slots of runners and customers.
    Given a request that waits for its decision
    When its caller leaves at the moment of the decision
    Then the attempt is finished as cancelled

  Scenario: A connection attempt to an unresponsive member times out soon
    Guards against an election that waits for a connection attempt that began
    while the other member's instance had no power.
    Given an address where connection attempts hang
    When a link to it is opened
    Then the attempt fails within 0.6 s

  Scenario: A member sends its messages over a link that another member opened
    Guards against an election that waits until each member has opened its own
    link to every other one, as when instances restart one after the other.
    Given a member that has not connected to member "b" yet
    When member "b" opens a link and identifies itself
    Then messages to member "b" are sent over that link
    When that link closes
    Then messages to member "b" are not sent

  Scenario: A member answers a leader that its member list does not name
    Guards against a member that was down while others were replaced, and whose
    answers a leader among the new ones never gets.
    Given a member that has not connected to member "b" yet
    When member "new" opens a link and identifies itself
    Then messages to member "new" are sent over that link
    When that link closes
    Then messages to member "new" are not sent
