Feature: A proxy asks members for tokens of quotas

  Members are stand-ins on loopback. The quota is 100 requests a second.

  Scenario: A proxy whose member is silent asks another one
    Load: 5 requests at once. Guards against requests that are refused while one
    member is frozen.
    Given a proxy whose own member is silent
    And another member that grants
    When 5 requests arrive at once
    Then 5 requests are allowed

  Scenario: A request that no member decides is refused in time
    Load: 5 requests at once. Guards against callers that wait until their time
    limit, and against requests that are served without tokens.
    Given a proxy whose own member is silent
    And another member that is silent
    When 5 requests arrive at once
    Then 5 requests are unavailable
    And none waited longer than 1.0 s

  Scenario: A member of an earlier build gets no question about quotas
    Load: 5 requests at once during an update. Guards against the loss of the link
    for loads, which the member closes because of an unknown message.
    Given a proxy whose own member is of an earlier build
    And another member that grants
    When 5 requests arrive at once
    Then 5 requests are allowed
    And the own member got no question

  Scenario: Requests are served without quotas if no member knows them
    Load: 5 requests at once, and 5 more. Guards against an update at which every
    customer with a quota is refused.
    Given a proxy whose own member is of an earlier build
    And another member that is of an earlier build
    When 5 requests arrive at once
    And 5 requests arrive 0.3 s later
    Then the last 5 requests are allowed

  Scenario: A caller that leaves while it waits leaves nothing behind
    Load: 20 callers of which 20 leave. Guards against tokens that are asked for
    or spent for callers that have left.
    Given a proxy whose own member is silent
    And another member that is silent
    When 20 callers leave 0.02 s after their requests
    Then no caller's request is left

  Scenario: Questions are sent at most every 20 ms
    Load: 200 requests within 0.2 s. Guards against a message for each request.
    Given a proxy whose own member grants
    When 200 requests arrive within 0.2 s
    Then 200 requests are allowed
    And the own member got a question at most every 0.019 s
