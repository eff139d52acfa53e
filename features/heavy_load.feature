Feature: Where work goes on the heaviest days

  Scenario: Long prompts that arrive at eight routers at once spread out
    Pattern: a burst of prompts of 9,000 tokens, each router sees its own only.
    Guards against several routers that send them to one runner.
    Given 8 routers and 9 runners
    When each router sends 4 long prompts and the loads are shared between
    Then no runner has more than 5 long prompts
    And without sharing some runner has more than 5

  Scenario: The load of others counts only while it is fresh
    Pattern: the leader is lost in a burst. Guards against choices by old loads.
    Given 1 router and 2 runners
    When others told 1.0 s ago that runner 1 is full
    Then a long prompt may go to runner 1
    When others told 0.1 s ago that runner 1 is full
    Then a long prompt goes to runner 2

  Scenario: Long prompts keep away from runners with many streams
    Pattern: digests beside chats. Guards against pauses in running streams.
    Given 1 router and 2 runners
    And runner 1 has 20 short streams
    Then a long prompt goes to runner 2

  Scenario: New weights are preferred while they are rolled out
    Pattern: weights named every few seconds. Guards against work on old ones.
    Given 1 router and 2 runners
    And runner 2 alone has the weights named last
    Then a long prompt goes to runner 2
    And a request that is sent once more goes to runner 2 with 10 streams there
    And after 6.6 s runner 2 alone gets requests, however busy

  Scenario: A runner that refuses connections is left alone
    Pattern: runners crash in turn. Guards against requests lost one by one.
    Given 1 router and 2 runners
    When runner 1 refuses a connection
    Then a long prompt goes to runner 2
    And after 2.1 s runner 1 may be chosen again

  Scenario: An address that another instance took over is not used again
    Pattern: runners that crash and start anew. Guards against 421 again and
    again until the old one is known to be silent.
    Given 1 router and 2 runners
    When another instance answers for runner 1
    Then after 60.0 s a long prompt goes to runner 2

  Scenario: A runner that fails most requests gets few
    Pattern: a grey runner whose health check is good.
    Given 1 router and 2 runners
    When runner 1 fails 6 of 8 requests
    Then a long prompt goes to runner 2

  Scenario: Shared parts are fetched from the runner that holds them
    Pattern: empty caches after new weights. Guards against reading them again.
    Given 1 router and 2 runners
    When the events tell that runner 2 holds the shared parts
    Then runner 1 fetches them from runner 2
    And runner 2 fetches nothing
    When the events tell that runner 2 has dropped the first part
    Then runner 1 fetches nothing

  Scenario: A restarted source holds nothing
    Pattern: the store is down and returns empty.
    Given 1 router and 2 runners
    When the events tell that runner 2 holds the shared parts
    And runner 2 starts anew and tells no events
    Then runner 1 fetches nothing

  Scenario: Saves in a store are few, and none twice
    Pattern: many documents at once. Guards against a link full of saves.
    Given a limit of 2 saves a second
    When 100 prompts of 50 documents come within 1 s
    Then 1 to 3 prompts are saved, none of one document twice
    And prompts with more than 4000 tokens of their own are not saved

  Scenario Outline: Repeats of all routers stay within the bound of any window
    Pattern: runners crash while clients press, and routers restart.
    Guards against repeats that make an overload last.
    Given a bound of 0.2 per request and 56 in 10 s for 8 routers
    When each router gets 5 requests a second and every one fails <restarts>
    Then in no 10 s more repeats are sent than the bound allows

    Examples:
      | restarts                      |
      | without a restart             |
      | with a restart of all at 20 s |
      | with a restart each 3 s       |

  Scenario: A router that was stopped takes no runner for silent
    Guards against a thawed router that refuses everything for want of runners.
    Given 3 runners that were all heard 0.2 s ago
    When the router is stopped for 5 s
    Then all 3 runners may be chosen
    And none of them may be chosen after 2 s without a byte

  Scenario: Parts are looked for under the weights of each runner
    Guards against parts that are read again while weights are rolled out.
    Given runner "old" with weights 1 and runner "new" with weights 2
    And runner "new" holds a prompt's shared parts under its weights
    Then the prompt goes to runner "new", whichever is listed first

  Scenario: A process notices that it was stopped
    Guards against a process that acts on what it believed before.
    Given timers that call each 0.1 s
    When the process runs for 1.0 s, stops for 3.0 s and runs again
    Then one stop of 3.0 s is noticed

  Scenario: Old weights serve a little longer where there are no newer ones
    Pattern: weights named while no leader may give orders. Guards against a
    service that refuses everything for want of new weights.
    Given 1 router and 2 runners
    When weights are named that no runner has
    Then after 7.0 s a long prompt goes to some runner
    And after 1.0 s more a long prompt goes to no runner
