Feature: Endpoints that name a limit get no more requests than that

  No scenario needs a network; routers and members exchange messages in virtual
  time. A request goes to any endpoint that its router may use.

  Scenario Outline: All routers together keep within the limits
    Load: <demand> requests a second, <runners> runners of which <limited> name
    <limit> requests a second, from the third second on. Guards against a runner
    in need that gets a multiple of its limit from many routers, and against a
    limit that nobody uses since each router waits for the others.
    Given <routers> routers, 5 members and <runners> runners
    When <limited> of them take <limit> requests a second while <demand> come for 25 s
    Then none gets over one and a half times its limit and 5 in 4 s
    And at least <served> of the requests that the limits allow are sent

    Examples:
      | routers | runners | limited | limit | demand | served |
      | 1       | 3       | 3       | 1     | 20     | 0.8    |
      | 9       | 9       | 6       | 1.1   | 40     | 0.8    |
      | 9       | 9       | 9       | 2.6   | 20     | 0.8    |
      | 9       | 9       | 9       | 2.6   | 80     | 0.8    |
      | 9       | 9       | 9       | 0.3   | 40     | 0.6    |
      | 9       | 9       | 9       | 20    | 400    | 0.8    |
      | 195     | 59      | 41      | 1     | 190    | 0.8    |
      | 195     | 59      | 59      | 1     | 190    | 0.7    |
      | 195     | 59      | 59      | 4     | 190    | 0.8    |
      | 195     | 59      | 59      | 0.3   | 190    | 0.5    |

  Scenario: A limit outlives the restart of routers
    Guards against a router that exceeds a limit since it has just started.
    Given 9 routers, 5 members and 9 runners
    When 9 of them take 2 requests a second while 60 come for 10 s
    And all routers restart in turn
    And 9 of them take 2 requests a second while 60 come for 10 s
    Then none gets over one and a half times its limit and 5 in 4 s

  Scenario: Routers without a member use their share of a limit
    Guards against routers that each use a whole limit while members are gone.
    Given 9 routers, 5 members and 9 runners
    And no member answers
    When 9 of them take 2 requests a second while 60 come for 20 s
    Then none gets over one and a half times its limit and 5 in 4 s

  Scenario: A limit that is named no more does not bind
    Guards against a runner that is used too little after it has recovered.
    Given 9 routers, 5 members and 9 runners
    When 9 of them take 1 requests a second while 60 come for 10 s
    And 0 of them take 1 requests a second while 60 come for 20 s
    Then the last 5 s of requests were all sent

  Scenario: What routers tell each other about limits is bounded
    Load: 600 requests a second on 60 limited runners, seen by 200 routers. The
    budget of a router for control is 9 KB a second.
    Given 200 routers, 5 members and 60 runners
    When 60 of them take 10 requests a second while 600 come for 5 s
    Then no router receives more than 4500 bytes a second about limits

  Scenario Outline: A limit that cannot be read is none
    Guards against a process that ends because of one header.
    When an answer names the limit "<text>"
    Then the limit is <limit>

    Examples:
      | text | limit |
      | 2.5  | 2.5   |
      | 0    | none  |
      | -1   | none  |
      | nan  | none  |
      | inf  | none  |
      | many | none  |

  Scenario Outline: Requests to a limited endpoint are not remembered for long
    Guards against a table that grows as long as an endpoint names its limit.
    Given a router that knows of a limited endpoint, <what>
    When a request is counted each 0.1 s for 300 s
    Then at most 25 of them are remembered

    Examples:
      | what                          |
      | of which only others make use |
      | and has no member             |
