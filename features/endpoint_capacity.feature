Feature: Routers learn the capacity of each endpoint

  Endpoints of one service differ in speed, and some slow down before their slots
  are full. Routers learn this from answers and share it through the members. The
  endpoints are modelled, in virtual time; each run is made twice with the same
  requests, with what is learnt and with the present choice. No scenario needs a
  network.

  Scenario: Services with a knee get what they handle well
    Load: 330 requests a second before 8 services, of which every second one slows
    down from 5 of its 12 slots on. Guards against services that are filled up to
    their slots and answer late, while others are refused.
    Given 8 services of 12 slots, every 2nd with a knee at 4
    When 330 requests a second come for 16 s, with and without learning
    Then the mean time is at most 0.9 of that of the present choice
    And no more requests are refused than by the present choice

  Scenario: A knee that moves is followed down and up
    Load: a service that shares its machine with other work which comes and goes.
    Guards against a limit that stays low, and against one that lags behind.
    Given a service whose knee is at 9 for 10 s, at 4 for 10 s and then at 9
    When it gets 50 samples a second with 1 to 12 requests under way
    Then at 9.0 s its limit is at least 8
    And from 13.0 s to 20.0 s its limit is from 2 to 7
    And from 25.0 s on its limit is at least 7

  Scenario: Moving knees cost no more than with the present choice
    Load: as above, at every second of 8 services. Guards against limits that do
    more harm than good while they are out of date.
    Given 8 services of 12 slots, every 2nd with a knee between 3 and 10
    When 330 requests a second come for 16 s, with and without learning
    Then the mean time is at most 1.0 of that of the present choice
    And no more requests are refused than by the present choice

  Scenario: A service whose load is reported falsely gets fewer requests
    Load: a service that also works for others, of which the routers know nothing.
    It refuses nothing. Guards against a choice by reported loads alone.
    Given 6 services of 24 slots, the 1st with 8 requests of others and a knee at 4
    When 250 requests a second come for 16 s, with and without learning
    Then its share of the requests is at most 0.9 of that by the present choice
    And no more requests are refused than by the present choice

  Scenario: Twenty services of fourfold speeds are used by their speed
    Load: 700 requests a second before services of different age. Guards against
    slow services that are full and refuse, while fast ones have room.
    Given 20 services of 12 slots, the slowest 4 times as slow as the fastest
    When 700 requests a second come for 12 s, with and without learning
    Then at most 0.1 as many requests are refused as by the present choice
    And the fastest is known to be faster than the slowest

  Scenario: Equal runners are not told apart, whatever the prompts are
    Load: long and short prompts, whose work differs by a factor of 2.5 within a
    kind. Guards against long prompts and waiting that are mistaken for slow
    runners, and against prompts that are read again elsewhere for it.
    Given 20 equal runners
    When 45 long and 35 short prompts a second come for 24 s, with and without learning
    Then no runner is taken for 1.35 times as slow or fast at the end
    And at most 1.15 times as many shared tokens are moved as by the present choice
    And the mean time is at most 1.08 of that of the present choice

  Scenario: A runner that is slow for some seconds is found, and found again
    Load: a runner is 8 times as slow for 6 s while its health check is good. Guards
    against requests that wait there, and against a runner that is left idle after.
    Given 20 equal runners, the 1st 8 times as slow from 8 s to 14 s
    When 45 long and 35 short prompts a second come for 24 s, with and without learning
    Then it is taken for slow within 5.0 s
    And 5.0 s after its end it is not taken for slow
    And it gets requests in each 4 s

  Scenario: A cold start is no slowness
    Load: a runner starts again and is 6 times as slow for 2.5 s. Guards against a
    healthy runner that is avoided for what it did while it was cold.
    Given 12 equal runners, the 1st 6 times as slow from 10 s to 12.5 s
    When it has started again at 10 s
    And 30 long and 20 short prompts a second come for 20 s, with and without learning
    Then it is never taken for slow

  Scenario: Loading new weights is no slowness
    Load: new weights; the runner finishes what it has while it loads them. Guards
    against a healthy runner that is avoided for it.
    Given 12 equal runners, the 1st 6 times as slow from 10 s to 13.5 s
    When it has loaded weights from 10 s to 11 s
    And 30 long and 20 short prompts a second come for 20 s, with and without learning
    Then it is never taken for slow

  Scenario: A slow link is no slowness
    Load: services in another data centre, 40 ms away. Guards against a delay that is
    counted twice, in the distance and in the speed.
    Given 6 services of 12 slots, the 1st 40 ms away
    When 150 requests a second come for 16 s, with and without learning
    Then it is never taken for slow

  Scenario: One router that reports wrongly does not decide
    Load: a router whose clock or link is broken reports that each endpoint is as
    slow as can be. Guards against a single router that empties an endpoint.
    Given 12 services of 12 slots
    And the 1st of 9 routers reports that the 1st to 4th are as slow as can be
    When 400 requests a second come for 12 s, with and without learning
    Then no service is taken for 1.5 times as slow or fast at the end

  Scenario Outline: Without the members a router learns from its own requests
    Load: the link to the members is cut. Guards against a choice by what was true
    before the cut.
    Given 4 services of 12 slots, the 1st <factor> times as slow
    And no member relays anything
    When 200 requests a second come for 16 s, with and without learning
    Then the 1st is known to be slower than the last

    Examples:
      | factor |
      | 3      |

  Scenario: Reports cost a router no more than 1 KB a second each way
    Load: as many routers and runners as in the larger deployments. Guards against
    messages that grow with routers times endpoints.
    Given 70 equal runners and 87 routers
    When 170 long and 150 short prompts a second come for 5 s, with learning only
    Then no router gets or sends more than 1024 bytes a second for it

  Scenario: Wrong samples stay within the bounds and are forgotten
    Guards against an endpoint that is avoided for ever, or gets everything.
    When any samples are added to an estimate
    Then its ratio stays from 0.25 to 4 and its limit at least 1
    And 61 s after the last one nothing is known of it

  Scenario: Few outliers do not move the estimate
    Guards against an endpoint that is avoided for two slow answers.
    Given an estimate with 40 healthy samples
    When 2 samples of 8 times the time come
    Then its ratio is still from 0.9 to 1.1

  Scenario: Samples and capacities are packed and read again
    Guards against values that no message can carry.
    Then any samples and capacities are read as they were, within a step
    And data that is cut off is refused

  Scenario Outline: Only peers that accept reports get them
    Load: two builds side by side. Guards against a link that an older process closes.
    Given a member with a router and a member that accept <names>
    When another router reports samples of a slow endpoint for 3 s
    Then the router has got <to_router> and the member <to_member>

    Examples:
      | names                       | to_router      | to_member   |
      | SpeedReport, CapacityReport | CapacityReport | SpeedReport |
      | nothing                     | nothing        | nothing     |

  Scenario: A proxy reports its samples and applies what it is told
    Guards against a client that is connected to nothing, and against what one member
    said that still holds at the next one.
    Given a proxy's client of a member that accepts reports
    When the proxy has got 30 answers from an endpoint
    Then a message with samples goes to the member
    When the member says that the endpoint is 3 times as slow
    Then the endpoint is known to be 3 times as slow
    When another member accepts the subscription
    Then the endpoint is known to be 1 times as slow

  Scenario: A route that is called like requests of a model has its own usual time
    Guards against answers of one kind of requests that are compared with the time
    of another one.
    Given a proxy's client of a member that accepts reports
    When requests with 16 tokens of a model and of a route "m/2" are observed
    Then they are of different kinds

  Scenario Outline: The policy of the platform switches it on
    Given a settings file with policies "<policies>"
    Then the proxy learns capacities: <learns>

    Examples:
      | policies          | learns |
      | pressure          | yes    |
      | quotas,pressure   | yes    |
      | quotas            | no     |
      | highpressure      | no     |
