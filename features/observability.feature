Feature: Logs, metrics and the explain command

  Scenario: Log lines over the rate limit are dropped and counted
    Guards against a log volume that overloads the log collector under load.
    Given logs that go to memory
    When 1000 lines of one event and 3 of another are logged within a second
    And a line is logged 1.1 s later
    Then 200 lines of the first and 3 of the other were written
    And 800 lines of the first are reported as dropped

  Scenario: A blocked log reader drops lines without delaying requests
    Guards against requests that block on a slow log collector.
    Given logs that go to a pipe that is not read
    And a proxied runner that answers
    When a caller sends 400 requests that each log 4 lines
    Then all of them are answered, none later than 0.25 s
    When the pipe is read again and a line is logged
    Then the pipe contained only complete lines
    And lines are reported as dropped

  Scenario: Metrics are served as a page for scrapers
    Guards against counters that cannot be fetched during an incident.
    Given a metrics server
    When "refused.deadline" is counted 2 times
    And "answer_time.once.answered" took 0.02 s and 3.0 s
    And gauge "lease.left_s" is 2.5
    Then the page at "/metrics" contains
      | line                                                                                         |
      | knapweedarch_refused_total{reason="deadline"} 2.0                                            |
      | knapweedarch_answer_time_seconds_bucket{kind="once",le="0.025",outcome="answered"} 1.0       |
      | knapweedarch_answer_time_seconds_bucket{kind="once",le="+Inf",outcome="answered"} 2.0        |
      | knapweedarch_answer_time_seconds_sum{kind="once",outcome="answered"} 3.02                    |
      | knapweedarch_lease_left_s 2.5                                                                |
    And the page at "/other" is not found

  Scenario Outline: Each kind of request end has its own histogram
    Guards against latency figures that mix answers with refusals.
    Given a proxied runner that <mode>
    When a caller sends a request that <kind>
    Then only the histogram "<name>" has 1 request

    Examples:
      | mode                | kind           | name                          |
      | answers             | may run once   | answer_time.once.answered     |
      | fails               | may run once   | answer_time.once.failed       |
      | is full             | may run once   | answer_time.once.refused      |
      | breaks off          | may run once   | answer_time.once.failed       |
      | streams             | streams        | answer_time.stream.answered   |
      | breaks off within event 3 | streams  | answer_time.stream.broken_off |

  Scenario: A broken attempt is logged with its prompt and its progress
    Guards against crashes of runners that cannot be traced to what their
    requests have in common.
    Given logs that go to memory
    And a proxied runner that breaks off within event 3
    When a caller sends a stream request with the parts "a:10,b:20,c:5"
    Then the log tells that an attempt with parts "a,b" ended after 2 events

  Scenario: A caller that leaves is counted and logged
    Guards against a request whose log lines show no reason for its end.
    Given logs that go to memory
    And a proxied runner that is silent
    When a caller sends a request that may be resumed and leaves
    Then the log contains "caller_left"
    And only the histogram "answer_time.stream.caller_left" has 1 request

  Scenario Outline: A request is explained from the logs of many processes
    Guards against a failed request whose cause an operator cannot find.
    Given the log lines of a request that <end>
    When the tool explains the request
    Then it exits with <code> and the last line is "<conclusion>"

    Examples:
      | end               | code | conclusion |
      | was answered      | 0    | answered at front-1 by i-2 with 200 after 40 ms |
      | found no endpoint | 0    | given up at front-1 with 503: no endpoint of its service was available; it was not sent to any endpoint |
      | has no outcome    | 0    | given up at front-1 with 502: it may have run at an endpoint that did not answer, so it was not retried; endpoint i-1 closed the connection |
      | broke off         | 0    | the stream broke off at front-1 after 94 events; endpoint i-2 closed the connection |
      | came too early    | 0    | refused at front-1 with 503: the router held no lease |
      | lost its router   | 0    | the logs do not show its end: the process ended first, or lines were dropped; it had been sent to endpoint i-1 |
      | nobody saw        | 1    | no line names request r1 |

  Scenario: An explained request shows events of its router and endpoints
    Guards against a manual search through the logs of the members.
    Given the log lines of a request that broke off
    When the tool explains the request
    Then it shows "endpoint_status" of a member and "lease_expired" of its router
    And it shows nothing of other routers and other requests
