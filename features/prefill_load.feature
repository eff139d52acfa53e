Feature: Long prompts beside answers, without network

  Scenario Outline: The speed of runners is estimated from their first events
    Load: long prompts at runners of a kind that was not seen before. Guards
    against choices and refusals that fit the runners of one site only.
    Given runners that prefill <tokens> tokens a second
    When 200 requests of 100 to 12000 tokens have got their first event
    Then the estimated speed is within 25 in 100 of <tokens> tokens a second

    Examples:
      | tokens |
      | 8000   |
      | 16000  |
      | 32000  |
      | 64000  |
      | 128000 |

  Scenario: A stalled runner does not change the estimate much
    Load: runners freeze with requests in their queues. Guards against refusals
    after a few requests that took seconds.
    Given runners that prefill 32000 tokens a second
    When 200 requests of 100 to 12000 tokens have got their first event
    And 5 requests of 3000 tokens got theirs after 8.0 s
    Then the estimated speed is within 40 in 100 of 32000 tokens a second

  Scenario: Answers are generated at other runners than long prompts are read
    Load: long batch prompts beside chats. Guards against pauses in answers
    while their runner reads prompts.
    Given 6 runners in 3 data centres that prefill 40000 tokens a second
    When 4 routers send 16 long prompts and 28 chats a second for 20 s
    Then chats run beside less than half as many prompt tokens as without roles

  Scenario Outline: Roles follow the work and leave both kinds a runner
    Guards against a service without a runner for one kind of request.
    Given <runners> runners in one data centre
    Then a share of <share> for answers prefers <count> runners for them

    Examples:
      | runners | share | count |
      | 1       | 0.5   | 0     |
      | 2       | 0.1   | 1     |
      | 2       | 0.9   | 1     |
      | 9       | 0.3   | 3     |
      | 20      | 0.0   | 1     |
      | 20      | 1.0   | 19    |

  Scenario Outline: What would be late is refused at once, the rest is in time
    Load: twice as many long prompts as the runners can read. Guards against a
    queue in which every request becomes late.
    Given 2 runners in 1 data centres that prefill <speed> tokens a second
    And a latency goal of 0.6 s
    When long prompts that need twice that speed arrive for 10 s
    Then at least 95 in 100 of those sent get their first event within 0.8 s
    And at least 80 in 100 of the runners' speed is used
    And each refusal says that the request has not run and when to return

    Examples:
      | speed |
      | 25500 |
      | 51000 |
      | 102000 |
      | 20000 |
      | 40000 |
      | 80000 |

  Scenario: A long prompt at an idle runner is not refused
    Guards against refusals while runners are free.
    Given 2 runners in 1 data centres that prefill 30000 tokens a second
    And a latency goal of 0.05 s
    When one long prompt arrives
    Then it is sent to a runner

  Scenario: Long prompts are refused while runners are slower than expected
    Load: a third of the runners crash, and the memory of the others is full.
    Guards against seconds in which every answer is late.
    Given large prompts that were expected to take 0.2 s
    When 4 of them have waited for 1.2 s
    Then the wait counts as 1.0 s
    When they are read, and 2.0 s pass
    Then the wait counts as 0.0 s

  Scenario Outline: Only prompts that cause most of the work are refused
    Load: a few long prompts beside many chats. Guards against refused chats,
    whose prompts take hardly any time.
    Given recent prompts of <sizes> tokens
    Then a prompt of <tokens> tokens is <kind>

    Examples:
      | sizes                  | tokens | kind  |
      | 800 800 800 9000       | 800    | small |
      | 800 800 800 9000       | 9000   | large |
      | 800 900 700            | 800    | large |
      | 9000 9000 12000        | 9000   | large |
