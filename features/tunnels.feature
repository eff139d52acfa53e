Feature: Connections to endpoints through other routers

  Scenario Outline: A tunnel ends as the connection to the endpoint does
    Guards against an answer without a length that looks complete although it was
    reset on the way, and against bytes without end that fill a router's memory.
    Given an endpoint that <does>
    When a router reads from it through another router
    Then it has read <bytes> bytes and <end>

    Examples:
      | does                                       | bytes   | end               |
      | sends 1000 bytes and closes                | 1000    | the end is clean  |
      | sends 1000 bytes and resets                | 1000    | the end is broken |
      | sends 1000 bytes as the router between ends | 1000   | the end is broken |

  Scenario: Bytes without end that nobody reads end a tunnel
    Guards against a router's memory that an endpoint in trouble fills.
    Given an endpoint that sends without end
    When a router opens a tunnel to it and reads nothing for 1.0 s
    Then the tunnel is broken, and holds at most 5000000 bytes

  Scenario: A caller that leaves closes the endpoint's connection
    Guards against an endpoint that works on for nobody.
    Given an endpoint that waits
    When a router closes its tunnel to it
    Then the endpoint loses its connection within 0.5 s

  Scenario Outline: A tunnel is given up or asked for again while it is opened
    Guards against connections that nobody uses, of the few that an endpoint
    accepts, and against two tunnels of one number.
    Given an endpoint that waits
    When a router is asked for a tunnel and the other one <does> before the connection is open
    Then <refused> of the tunnels is refused, and the endpoint has <kept> connections

    Examples:
      | does                          | refused | kept |
      | gives it up                   | 1       | 0    |
      | gives it up at the last moment | 1      | 0    |
      | asks again by the same number | 1       | 1    |

  Scenario Outline: A tunnel that is refused wrote nothing
    Guards against a router that is used to reach other addresses, and against
    tunnels through a router that reaches no endpoint itself.
    Given an endpoint that waits
    When a router asks for a tunnel <how>
    Then it is refused and the endpoint has no connection

    Examples:
      | how                                       |
      | to an address that is no endpoint         |
      | through one that has lost its paths       |
      | with another credential                   |
      | through one that stops                    |

  Scenario Outline: Few failures are no cut
    Guards against routers that take the faults of some endpoints for their own.
    Given a router with <endpoints> endpoints
    When connections to <failed> of them fail, <order>
    Then its paths are <state>

    Examples:
      | endpoints | failed | order                     | state   |
      | 9         | 1      | one after the other       | fine    |
      | 9         | 2      | one after the other       | fine    |
      | 9         | 3      | one after the other       | suspect |
      | 9         | 3      | with a success in between | fine    |
      | 9         | 3      | 4 s apart                 | fine    |
      | 1         | 1      | one after the other       | suspect |
      | 600       | 3      | one after the other       | suspect |

  Scenario Outline: Failures of one endpoint alone are looked into
    Guards against a router without paths that never finds out, as its open
    connections to the other endpoints go on working.
    Given a router with <endpoints> endpoints
    When <failures> connections to one of them fail, <gap> s apart
    Then other endpoints <are tried>, and none counts as cut

    Examples:
      | endpoints | failures | gap | are tried     |
      | 3         | 2        | 0.1 | are not tried |
      | 3         | 3        | 0.1 | are tried     |
      | 3         | 3        | 4.0 | are not tried |
      | 600       | 3        | 0.1 | are tried     |

  Scenario Outline: The leader names a few routers that reach endpoints
    Guards against a list that grows with the routers, and against routers that
    ask each other while none of them reaches an endpoint.
    Given a leader of <routers> routers, of which <cut> lack paths
    When one that lacks paths asks for others
    Then it is told of <named> routers, and none of them lacks paths

    Examples:
      | routers | cut | named |
      | 9       | 6   | 3     |
      | 9       | 9   | 0     |
      | 195     | 65  | 4     |
