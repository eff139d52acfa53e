Feature: Contention between customers and kinds of request

  Routers divide the runners when they cannot serve everything. The scenarios
  with bursts run a model of routers and runners in virtual time, in which loads
  are known 0.2 s late. A burst begins at 6 s and lasts 4 s.

  Scenario: One customer at twenty times its usual is not served before others
    Load: one customer with a quarter of the requests sends twenty times as
    many. Guards as the next scenario, at an overload that fills every queue.
    Given 8 contending routers and 6 runners
    And 9 customers with 16 long and 12 urgent requests a second
    And customer 0 has a quarter of them
    When customer 0 sends 20 times its usual in the burst
    Then of the others' long requests at least 0.95 are answered
    And of the others' long requests at least 0.15 more are in time than without fairness
    And of the others' urgent requests at least 0.9 are in time

  Scenario: One customer at six times its usual costs the others nothing
    Load: one customer with a quarter of the requests sends six times as many.
    Guards against a division by who asks most: the others' prompts wait behind
    its prompts, or are refused in their place.
    Given 8 contending routers and 6 runners
    And 9 customers with 24 long and 12 urgent requests a second
    And customer 0 has a quarter of them
    When customer 0 sends 6 times its usual in the burst
    Then of the others' long requests at least 0.98 are answered
    And of the others' long requests at least 0.15 more are in time than without fairness
    And of the others' urgent requests at least 0.95 are in time

  Scenario: A class is divided by max-min fairness over routers with uneven demand
    Load: three customers ask for more than there is, each through another
    number of routers; a fourth asks for little. Guards against a division by
    routers, by demand, or by who comes first.
    Given 8 contending routers and 4 runners
    And customer 0 sends 30 long requests a second through 1 router
    And customer 1 sends 30 long requests a second through 2 routers
    And customer 2 sends 30 long requests a second through 5 routers
    And customer 3 sends 2 long requests a second through 8 routers
    When 14 s pass for them
    Then customers 0 to 2 get shares of the runners that differ by less than 0.35
    And of the requests of customer 3 at least 0.9 are answered

  Scenario Outline: Urgent requests are not served worse than less urgent ones
    Load: a burst of one kind. Guards against urgent requests that wait behind
    prefills of long prompts or full batches.
    Given 8 contending routers and 6 runners
    And 9 customers with 16 long and 12 urgent requests a second
    When the <kind> requests come at <factor> times their rate in the burst
    Then of the urgent requests at least 0.99 are answered
    And of the urgent requests at least <in_time> are in time
    And urgent requests are in time as often as long ones, less 0.05

    Examples:
      | kind   | factor | in_time |
      | long   | 2.6    | 0.9     |
      | urgent | 2.6    | 0.95    |
      | urgent | 6.0    | 0.8     |

  Scenario Outline: Less urgent requests still arrive
    Load: a burst of one kind. Guards against patient requests that starve while
    urgent ones fill the runners, and against refusals of what would arrive.
    Given 8 contending routers and 6 runners
    And 9 customers with 16 long and 12 urgent requests a second
    When the <kind> requests come at <factor> times their rate in the burst
    Then of the long requests at least <answered> are answered
    And the largest tenth of the long requests is answered at least half as often
    And each customer gets at least half of the answers that its long requests would

    Examples:
      | kind   | factor | answered |
      | long   | 2.6    | 0.95     |
      | urgent | 2.6    | 0.95     |
      | urgent | 6.0    | 0.6      |

  Scenario: Nothing is refused or held while there is room
    Load: usual. Guards against a feature that costs something when it is not
    needed.
    Given 8 contending routers and 6 runners
    And 9 customers with 8 long and 6 urgent requests a second
    When 14 s pass for them
    Then no request is refused and none has waited at a router
    And of the long requests at least 0.99 are in time

  Scenario: Without the relay each router divides its own requests
    Load: as in the first scenario; the relay is lost. Guards against refusals
    by usage that is not known, and against a router that serves nothing.
    Given 8 contending routers and 6 runners without relay
    And 9 customers with 16 long and 12 urgent requests a second
    And customer 0 has a quarter of them
    When customer 0 sends 6 times its usual in the burst
    Then of the others' long requests at least 0.9 are answered
    And of the others' urgent requests at least 0.95 are answered

  Scenario: A runner is sent no more than its memory holds
    Load: long prompts for which all runners together have too little memory.
    Guards against a penalty in place of a limit: with all runners full, the
    cheapest is overfilled, and preempts or crashes.
    Given 1 contending router and 3 runners with memory for 50000 tokens
    And customer 0 sends 60 long requests a second through 1 router
    When 8 s pass for them
    Then no runner held more than its memory
    And without fairness some runner held more than its memory

  Scenario: A request that would come too late is refused at once
    Load: runners full of requests that take longer than a new one has. Guards
    against callers that are held until their time limit.
    Given a router whose 2 runners are full for 3 s
    When a request with a time limit of 2 s arrives
    Then it is refused at once, with the time after which room is expected
    When a request with a time limit of 12 s arrives
    Then it waits for room

  Scenario: No request is refused while half of the slots are free
    Load: one customer alone asks for more than ever. Guards against refusals by
    shares while runners idle.
    Given a router with 2 runners of which 1 is empty
    And a customer far above its share
    When 50 requests of it are decided about
    Then none of them is refused

  Scenario: A request that exceeds the memory of every runner is refused at once
    Load: a prompt of 200,000 tokens. Guards against a wait that cannot end.
    Given a router with 2 runners of which 1 is empty
    When a request with a prompt of 200000 tokens arrives
    Then it is refused at once

  Scenario: Requests that wait get their turn in order
    Load: long and short prompts wait together. Guards against large requests
    that smaller ones overtake for ever.
    When three requests of a class wait for room, and the first one leaves
    Then the first has its turn when turns are given, and the others follow
    And a waiting request whose caller leaves lets the next one have its turn

  Scenario: Max-min fair levels divide the capacity
    Load: any demands. Guards against a level that wastes or overspends it.
    Then for any demands the capped demands add up to the capacity

  Scenario: The part of customers within their share is a part
    Load: any. Guards against a rounding below 0, of which a root was taken: an
    error in place of a decision.
    Then for any usage the part within any level is from 0 to 1

  Scenario: Reports of usage keep their values
    Load: any. Guards against entries that are lost, doubled or misread on their
    way, and a router that is told its own work.
    Then any usage is read as it was packed, up to half a unit or 1 in 8192
    And malformed reports are refused
    And each router hears of all work but its own

  Scenario Outline: Messages do not grow with routers times customers
    Load: 2,300 customers at <routers> routers. Guards against reports that
    exceed the budget of control traffic at the design size.
    Given <routers> routers of one member that each hear of 2300 customers
    Then a report to a router and one from it take at most 640 bytes each

    Examples:
      | routers |
      | 9       |
      | 350     |

  Scenario Outline: The platform's policy pressure switches it on
    Load: a deployment without pressure. Guards against an effect where it is not
    asked for.
    Given settings of the platform with the policies <policies>
    Then fair admission is <state>

    Examples:
      | policies           | state |
      | none               | off   |
      | pressure           | on    |
      | shared, pressure   | on    |
      | pressures          | off   |

  Scenario Outline: A member relays usage within the budget of control traffic
    Load: 2,300 customers at <routers> routers that report four times a second.
    Guards against reports that grow with the routers, and against an older
    router or member that closes its link on a message it does not know.
    Given a member with <routers> routers, of which one is of an older build
    And a further member that takes reports of usage, and an older one
    When the routers report the usage of 2300 customers for 5 s
    Then each router that takes it receives at most 1800 bytes of usage a second
    And the older router and the older member receive none
    And the other member receives what the routers reported

    Examples:
      | routers |
      | 9       |
      | 70      |

  Scenario: A malformed report of usage closes its link
    Load: any. Guards against a member that relays what it cannot read.
    Given a member with 2 routers, of which one is of an older build
    When a router sends a malformed report of usage
    Then its link is closed

  Scenario: A waiting request is sent once a runner has room
    Load: runners whose memory is full. Guards against requests that are
    forgotten in the queue, or go on waiting when room comes.
    Given a router in front of a runner whose memory is full
    When a request is placed, and later the runner has room
    Then it has waited and is placed at the runner
    And no request is counted as waiting

  Scenario: A waiting request whose caller leaves is forgotten
    Load: callers that give up. Guards against a count of waiting requests that
    only grows, by which others are refused.
    Given a router in front of a runner whose memory is full
    When a request is placed, and its caller leaves
    Then no request is counted as waiting

  Scenario: A waiting request is refused at the end of its time
    Load: a runner that never has room. Guards against callers held for ever.
    Given a router in front of a runner whose memory is full
    When a request with 0.2 s left is placed, and the runner stays full
    Then it is refused as not run, with the time after which to return
    And no request is counted as waiting
