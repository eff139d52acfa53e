Feature: Control client, control state and member

  Scenario: A redirect after an unanswered order does not make it "not sent"
    Guards against telling an operator that nothing was sent when it was.
    Given a member that drops the first order and redirects all later ones
    When an order is given
    Then the order ends as unknown_outcome

  Scenario: A request id is bound to one order
    Guards against answering an order with the result of another one.
    Given the rules were replaced under request id "a"
    Then the same order under request id "a" gets the first answer
    And another order under request id "a" is refused as RequestIdReused

  Scenario: A full endpoint table makes place for new endpoints
    Guards against a table that fills up with endpoints that left for good.
    Given a full endpoint table in which two endpoints left
    When a new endpoint announces itself
    Then it is accepted and the endpoint that left first is gone

  Scenario: A runner whose models want different versions is not reloaded again
    Guards against a runner that loads two versions in turn for ever.
    Given a runner that serves two models and rules that name w2 and w3 for them
    Then it gets no more than 1 load order

  Scenario: A member refuses rules that do not parse
    Guards against rules that every router would stop at.
    Given a deployment of 1 member
    When an operator submits rules that do not parse
    Then the order ends as refused
    And the rules version is still 0

  Scenario: The daemon refuses the settings of the tool
    Guards against a traceback instead of a message.
    When the daemon is started with settings of the tool
    Then it exits with code 2 and names "role"

  Scenario: Announcements that say nothing new do not go to the members
    Guards against a log entry for each endpoint and router, each second.
    Given a router that knows an active endpoint
    Then its announcement is no news
    But its announcement with another incarnation is news
    And its announcement as leaving is news until the members have it

  Scenario: A request whose caller leaves as it is decided holds no slot
    Guards against slots of runners and customers that leak away.
    Given a request that waits for its decision
    When its caller leaves at the moment of the decision
    Then the attempt is finished as cancelled

  Scenario: A member that does not answer is asked anew soon
    Guards against an election that waits for a connection to a member that
    had no power when the connection was begun.
    Given an address where connections hang
    When a link to it is opened
    Then it ends as not connected within 0.6 s

  Scenario: A member answers on the link that another one opened
    Pattern: machines come back one after the other. Guards against an election
    that waits until each member has reached each other one itself.
    Given a member that has not reached member "b" yet
    When member "b" opens a link and says who it is
    Then messages to member "b" go over that link
    When that link closes
    Then messages to member "b" go nowhere
