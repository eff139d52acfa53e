Feature: Runner choice, caching and repeats under heavy load

  Scenario: Concurrent long prompts of eight routers are spread over runners
    Load: a burst of prompts of 9,000 tokens; each router sees only its own.
    Guards against several routers that choose the same runner.
    Given 8 routers and 9 runners
    When each router sends 4 long prompts and the routers share their loads
    Then no runner has more than 5 long prompts
    And without sharing some runner has more than 5 long prompts

  Scenario: Load reported by other routers is ignored once it is outdated
    Load: the leader fails during a burst. Guards against choices by old loads.
    Given 1 router and 2 runners
    When other routers reported 1.0 s ago that runner 1 is full
    Then a long prompt may go to runner 1
    When other routers reported 0.1 s ago that runner 1 is full
    Then a long prompt goes to runner 2

  Scenario: Long prompts avoid runners with many streams
    Load: long batch prompts beside chats. Guards against pauses in running
    streams.
    Given 1 router and 2 runners
    And runner 1 has 20 short streams
    Then a long prompt goes to runner 2

  Scenario: New weights are preferred while they are rolled out
    Load: new weights every few seconds. Guards against work on old weights.
    Given 1 router and 2 runners
    And only runner 2 has the latest weights
    Then a long prompt goes to runner 2
    And a repeated request goes to runner 2 with 10 streams there
    And after 6.6 s only runner 2 gets requests at any load

  Scenario: A runner that refuses a connection is avoided for a time
    Load: runners crash in turn. Guards against requests that fail one after
    another at the same runner.
    Given 1 router and 2 runners
    When runner 1 refuses a connection
    Then a long prompt goes to runner 2
    And after 2.1 s runner 1 may be chosen again

  Scenario: An address that another instance took over is no longer used
    Load: runners crash and restart. Guards against repeated 421 responses until
    the old instance counts as silent.
    Given 1 router and 2 runners
    When another instance answers for runner 1
    Then after 60.0 s a long prompt goes to runner 2

  Scenario: A runner that fails most requests is avoided
    Load: a runner with a partial failure that passes its health check. Guards
    against requests that fail there.
    Given 1 router and 2 runners
    When runner 1 fails 6 of 8 requests
    Then a long prompt goes to runner 2

  Scenario: Shared parts are fetched from the runner that holds them
    Load: empty caches after new weights. Guards against recomputing the parts.
    Given 1 router and 2 runners
    When cache events report that runner 2 holds the shared parts
    Then runner 1 fetches them from runner 2
    And runner 2 fetches nothing
    When a cache event reports that runner 2 evicted the first part
    Then runner 1 fetches nothing

  Scenario: Cached parts are not fetched from a restarted runner
    Load: the store fails and restarts empty. Guards against fetches from a
    source that no longer holds the parts.
    Given 1 router and 2 runners
    When cache events report that runner 2 holds the shared parts
    And runner 2 restarts and reports no events
    Then runner 1 fetches nothing

  Scenario: Saves to a store are rate-limited and not repeated per document
    Load: many documents at once. Guards against saves that fill the link.
    Given a limit of 2 saves a second
    When 100 prompts for 50 documents arrive within 1 s
    Then 1 to 3 prompts are saved, at most one per document
    And prompts with more than 4000 tokens of their own are not saved

  Scenario Outline: Repeats of all routers stay within the bound in any window
    Load: runners crash under high load, and routers restart.
    Guards against repeats that prolong an overload.
    Given a bound of 0.2 per request plus 56 in 10 s for 8 routers
    When each router gets 5 requests a second and every one fails <restarts>
    Then no window of 10 s has more repeats than the bound allows

    Examples:
      | restarts                      |
      | without a restart             |
      | with a restart of all routers at 20 s |
      | with a restart of one router every 3 s |

  Scenario: Cached parts are looked up by the weights of each runner
    Guards against recomputing cached parts while weights are rolled out.
    Given runner "old" with weights 1 and runner "new" with weights 2
    And runner "new" holds a prompt's shared parts under its weights
    Then the prompt goes to runner "new", whichever is listed first

  Scenario: A process detects that it was paused
    Guards against a process that acts on stale state after a pause.
    Given timers that fire every 0.1 s
    When the process runs for 1.0 s, pauses for 3.0 s and continues
    Then one pause of 3.0 s is detected

  Scenario: Old weights stay usable for a time if no runner has the new ones
    Load: new weights while no leader may give orders. Guards against a service
    that refuses every request because no runner has the new weights.
    Given 1 router and 2 runners
    When new weights are announced that no runner has
    Then after 7.0 s a long prompt goes to some runner
    And after 1.0 s more a long prompt goes to no runner

  Scenario: A request goes to a runner whose memory has room for it
    Load: long prompts fill the memory of some runners. Guards against requests
    that are preempted, or that wait while other runners have room.
    Given 1 router and 2 runners
    When other routers hold 62000 of 70000 tokens at runner 1 with 5 requests
    And other routers hold 40000 of 70000 tokens at runner 2 with 20 requests
    Then a long prompt goes to runner 2
