Feature: Placement, admission and retries

  Scenario: Prompts of different customers or versions share no block
    Guards against cache hits across customers or weights versions.
    Given a prompt of 40000 bytes
    Then its blocks differ between customers "a" and "b"
    And its blocks differ between versions "v1" and "v2"
    And it has 4 full blocks
    And hashing it in pieces of 5000 bytes gives the same blocks

  Scenario: A gap in a runner's events drops its index entries
    Guards against blocks that count as cached although a missed event evicted
    them.
    Given 3 runners
    And runner r1 has stored the prompt as event 1
    When event 3 of runner r1 arrives
    Then no runner is known to cache the prompt
    And a snapshot of runner r1 is requested

  Scenario: An event of an older incarnation changes nothing
    Guards against late events that add blocks lost in a restart.
    Given 3 runners
    And runner r1 restarts as incarnation "new"
    When incarnation "i1" of runner r1 reports that it stored the prompt
    Then no runner is known to cache the prompt

  Scenario: A snapshot replaces the entries of a runner
    Guards against entries that the snapshot lacks, and against events that it
    already includes.
    Given 3 runners
    And runner r1 has stored the prompt as event 1
    When an empty snapshot of runner r1 after event 5 arrives
    Then no runner is known to cache the prompt
    And event 5 of runner r1 is ignored

  Scenario: A request goes to the runner that has its prefix
    Guards against a prompt that is computed again although it is cached.
    Given 3 runners
    And runner r1 has stored the prompt as event 1
    When a guest request arrives
    Then it is sent to runner r1 with 4 cached blocks

  Scenario: A restarted runner has no cached blocks in the index
    Guards against entries that survive a restart of their runner.
    Given 3 runners
    And runner r1 has stored the prompt as event 1
    And runner r1 restarts as incarnation "new"
    When a guest request arrives
    Then it is sent with 0 cached blocks

  Scenario: A leaving runner gets no new work
    Guards against requests that are sent to a runner because of its cache while
    it shuts down.
    Given 3 runners
    And runner r1 has stored the prompt as event 1
    And runner r1 is leaving
    When 20 guest requests arrive
    Then none of them is sent to runner r1

  Scenario: A resumed stream goes only to runners of its software version
    Guards against a stream that is placed for its cache at a runner whose
    software would write another rest.
    Given 3 runners
    And runner r1 has stored the prompt as event 1
    And runner r0 has software "s2"
    And runner r1 has software "s2"
    And runner r2 has software "s1"
    When a stream that began at software "s1" is resumed
    Then it is sent to runner r2

  Scenario: Requests sent since the last load report count as load
    Guards against a burst that is sent to one runner between two load reports.
    Given 3 runners with 4 slots
    When 12 guest requests arrive
    Then at least 2 runners get work and none gets more than 6

  Scenario: Work that cannot meet its deadline is refused on arrival
    Guards against requests that cannot meet their deadline and delay others
    while they wait.
    Given 3 runners with 4 slots
    And every runner reports 40 requests and 900000 queued tokens
    When a guest request arrives
    Then it is refused with "deadline"
    And nothing waits

  Scenario: A queued request is refused when its deadline has passed
    Guards against requests that stay in the queue after their deadline.
    Given 3 runners with 4 slots
    And every runner reports 4 requests and 0 queued tokens
    When a batch request arrives
    Then it waits
    And at 60.1 s it is refused with "deadline"

  Scenario: A batch request waits for a slot that a guest request may use
    Guards against batch requests that use the slots reserved for guests.
    Given 3 runners with 4 slots
    And every runner reports 3 requests and 0 queued tokens
    When a batch request arrives
    Then it waits
    When a guest request arrives
    Then it is sent

  Scenario: A batch request is promoted to a higher class after a wait
    Guards against starvation of a lower class.
    Given 3 runners with 8 slots
    And every runner reports 3 requests and 0 queued tokens
    When a batch request arrives
    Then it waits
    And polls up to 39.9 s return nothing
    And a poll at 40.2 s sends it

  Scenario: Queued requests are served in proportion to customers' shares
    Guards against a customer that gets more than its share of a class.
    Given a queue in which customer "a" with share 3 and "b" with share 1 have 8 requests each
    Then the first 8 served requests contain 6 of "a"

  Scenario: Requests beyond a customer's limits are refused with a retry delay
    Guards against limits without effect and refusals without a retry delay.
    Given 3 runners
    And customer "a" may send 2 requests per second and 3 at once
    When 5 guest requests arrive
    Then 2 of them are refused with "over_limit"

  Scenario: A failed attempt is retried elsewhere after a back-off
    Guards against an immediate retry on the runner that has just failed.
    Given 3 runners
    When a guest request arrives
    And its attempt fails at 1.0 s
    Then it waits
    And polls up to 1.02 s return nothing
    And a poll at 1.2 s sends it to another runner

  Scenario Outline: A retry is reserved only where another runner may go on
    Guards against a silent attempt that is ended for a retry which then finds no
    runner.
    Given 2 runners with 8 slots
    When a guest request arrives
    And <situation>
    Then no retry of it is reserved, and none is counted

    Examples:
      | situation                                 |
      | the other runner leaves                   |
      | the other runner has other software       |
      | the other runner has no capacity          |
      | the other runner is ejected               |
      | the other runner has lost its feed        |
      | the retries are used up                   |
      | its own retries are used up               |

  Scenario: A reserved retry is sent after all others are used up
    Guards against a silent attempt that is ended for a retry which is then refused.
    Given 2 runners with 8 slots
    When a guest request arrives
    And a retry of it is reserved, and then the retries are used up
    Then its reserved retry is sent to the other runner

  Scenario: Retries stay within the budget
    Guards against retries that multiply the load when all runners fail.
    Given 3 runners
    When 40 guest requests arrive and all attempts fail at once
    Then at most 14 of them are retried

  Scenario: At most a third of the runners is ejected
    Guards against ejections that remove most of the capacity.
    Given 9 runners
    When every runner fails 3 times in a row
    Then 3 runners are ejected

  Scenario: A restarted runner gets few requests at first
    Guards against a restarted runner that is overloaded while its cache is empty.
    Given 3 runners with 8 slots
    And runner r1 restarts as incarnation "new"
    And runner r0 is leaving
    And runner r2 is leaving
    When 20 batch requests arrive
    Then at most 2 of them are sent

  Scenario: Weights load on at most three runners at once
    Guards against loads that take too many runners out of service.
    Given 12 runners
    Then with 1 load in progress the next loads of "v2" are 2 runners
    And with 3 loads in progress the next loads of "v2" are 0 runners

  Scenario: Bench runs with equal seeds give equal results
    Guards against decisions that depend on anything but the seed and the input.
    Then two bench runs of "huts" in scenario "one slow runner" agree

  Scenario: Expected load includes requests of other routers
    Guards against an overloaded runner when each router counts only its own
    requests.
    Given a runner that a router has sent 4 requests since its last report
    Then it expects 4 requests there alone and more with 7 other routers
