@long
Feature: Request guarantees when endpoints and callers fail

  Background:
    Given 2 routers

  # Guards against a resume that loses, repeats or mixes up tokens.
  Scenario Outline: A faulty runner's request is completed by another runner
    Given a runner "a" with fault "<fault>" at token 5
    And a runner "b"
    When a caller asks for <kind> of 20 tokens
    Then the caller has the whole text of 20 tokens
    And attempts failed once with "<reason>"

    Examples:
      | fault   | kind           | reason             |
      | break   | a stream       | connection_closed  |
      | gap     | a stream       | stream_gap         |
      | repeat  | a stream       | stream_gap         |
      | crossed | a stream       | crossed_answer     |
      | no_done | a stream       | stream_truncated   |
      | silent  | a stream       | stream_silent      |
      | error   | a stream       | endpoint_error     |
      | refuse  | a stream       | wrong_incarnation  |
      | break   | a whole answer | connection_closed  |
      | silent  | a whole answer | stream_silent      |

  # Guards against a time to first token that is measured again after a resume,
  # and against prompt tokens that are not counted.
  Scenario: Time to first token is measured once, prompt tokens per attempt
    Given a runner "a" with fault "break" at token 5
    And a runner "b"
    When a caller asks for a stream of 20 tokens
    Then one time to first token was measured
    And the prompt tokens of 2 attempts were counted

  # Guards against faults that only occur when streams share connections.
  Scenario Outline: Concurrent streams with random faults are not mixed up
    Given runners "a", "b" and "c"
    When 40 callers stream concurrently with random faults from seed <seed>
    Then every stream is whole or ends in an explicit error
    And at least 20 streams are whole

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against an incomplete stream that looks complete to its caller.
  Scenario Outline: Without another runner the caller gets an explicit error
    Given a runner "a" with fault "break" at token 5
    When a caller asks for <kind> of 20 tokens
    Then the answer is an error "no_capacity" with outcome "run"
    And the caller has <tokens> tokens and no [DONE] marker

    Examples:
      | kind           | tokens |
      | a stream       | 5      |
      | a whole answer | 0      |

  # Guards against a text that is continued by other weights.
  Scenario: A stream is not resumed on other weights
    Given a runner "a" with fault "break" at token 5
    And a runner "b" with weights "w2"
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "no_capacity" with outcome "run"
    And runner "b" ran 0 requests

  # Guards against a text joined from two software versions of a runner.
  Scenario: A stream is not resumed at another software version
    Given a runner "a" with fault "break" at token 5
    And a runner "b" with software "s2"
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "no_capacity" with outcome "run"
    And runner "b" ran 0 requests

  # Guards against a queue or buffer that grows with a slow caller.
  Scenario: A stream whose caller reads no data is cancelled
    Given the write timeout is 0.3 s
    And a runner "a" that answers at once
    When a caller asks for 120000 tokens and reads none of them
    Then runner "a" received a cancel request
    And runner "a" sent fewer than 60000 tokens
    And counter "refused.slow_caller" is 1

  # Guards against runners that keep generating for a disconnected caller.
  Scenario: A caller that leaves cancels its attempt
    Given a runner "a" that takes 20 ms per token
    When a caller leaves after 3 tokens of 5000
    Then runner "a" received a cancel request
    And counter "cancelled" is 1
    And the scheduler recorded 1 cancelled attempt

  # Guards against a request that is sent after the lease has expired. The
  # gateway checks for a refusal first when a request arrives and again right
  # before each send.
  Scenario: A lease that expires before the send stops the send
    Given a runner "a"
    And the lease expires after 1 check
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "lease_expired" with outcome "not_run"
    And runner "a" ran 0 requests

  # A sound runner may be silent for a moment. Guards against a stream that ends
  # with an error although its runner would have gone on.
  Scenario Outline: A silent runner is waited for while no other may go on
    Given a runner "a" with fault "pause" at token 5
    And <other>
    When a caller asks for <kind> of 20 tokens
    Then the caller has the whole text of 20 tokens
    And no attempt failed

    Examples:
      | other                           | kind           |
      | no other runner                 | a stream       |
      | no other runner                 | a whole answer |
      | a runner "b" with software "v9" | a stream       |
      | a runner "b" without retries    | a stream       |

  # Guards against a call that is cut at half of its time for a repeat that no
  # desk could take, or that may not be repeated at all.
  Scenario Outline: A late desk is waited for while no other may repeat the call
    Given a desk "d" with fault "delay" at 0.7
    And <other>
    When a caller sends a <method> without a key
    Then the last answer has status 200
    And no attempt failed

    Examples:
      | other                         | method |
      | no other desk                 | GET    |
      | a desk "e"                    | POST   |
      | a desk "e", but no retry left | GET    |

  # Guards against a call that waits for a dead desk although another is there.
  Scenario: A dead desk is left at half of the time if another may repeat the call
    Given a desk "d" with fault "delay" at 9
    And a desk "e"
    When a caller sends a GET without a key
    Then the last answer has status 200
    And attempts failed once with "first_token_timeout"

  # Guards against a stream that waits without end for a runner that is dead.
  Scenario: A dead runner is given up at the time limit of a token
    Given a runner "a" with fault "silent" at token 5
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "no_capacity" with outcome "run"
    And attempts failed once with "stream_silent"

  # Guards against a planned stop that fails requests accepted before it.
  Scenario: A request accepted before a planned stop is resumed during it
    Given a runner "a" with fault "break" at token 5
    And a runner "b"
    And the router stops after 2 check
    When a caller asks for a stream of 20 tokens
    Then the caller has the whole text of 20 tokens

  # Guards against a planned stop during which new requests are accepted.
  Scenario: A request that comes during a planned stop is not run
    Given a runner "a"
    And the router stops after 0 check
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "stopping" with outcome "not_run"

  # Guards against a request that is passed on late in a planned stop and cut at
  # its end.
  Scenario Outline: A request whose body comes during a planned stop is not run
    Given a runner "a"
    And a desk "d"
    When the router stops while a caller sends the body of a <kind>
    Then the caller is told "stopping" and status 503
    And runner "a" ran 0 requests

    Examples:
      | kind    |
      | chat    |
      | deposit |

  # Guards against an outcome "not_run" or "unknown" that is wrong.
  Scenario: A request on a refused connection is reported as not run
    Given a runner on a port that refuses connections
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "no_capacity" with outcome "not_run"

  Scenario Outline: A failure after bytes were sent has an unknown outcome
    Given a runner on a raw server in mode "<mode>"
    When a caller asks for a stream of 20 tokens
    Then the answer is an error "no_capacity" with outcome "unknown"

    Examples:
      | mode             |
      | close_first      |
      | crossed          |
      | head_cut         |
      | refusal_of_other |

  # Guards against an answer to another attempt that is counted as a closed
  # connection.
  Scenario: A runner's answer to another attempt is counted as crossed
    Given a runner on a raw server in mode "crossed"
    When a caller asks for a stream of 20 tokens
    Then attempts failed once with "crossed_answer"
    And counter "crossed.dropped" is 1

  # Guards against a request that fails because an idle connection was closed.
  Scenario: A request on a pooled connection that closes is retried
    Given a desk on a raw server in mode "close_second"
    When the caller checks availability 2 times
    Then each answer has status 200
    And attempts failed once with "connection_closed"

  # Guards against retries that multiply the load of a failing service.
  Scenario: Retries of a service stop when their budget is used up
    Given a desk on a raw server in mode "close_first"
    When the caller checks availability 40 times
    Then each answer is an error "endpoint_failed" with outcome "unknown"
    And the raw server got at most 55 requests

  # Guards against an answer that is delivered to another caller.
  Scenario: A crossed answer is dropped and its connection closed
    Given a desk on a raw server in mode "crossed"
    And a desk "d"
    When the caller checks availability 1 times
    Then each answer is from desk "d"
    And counter "crossed.dropped" is 1
    And the raw server has 1 connections, closed by the router

  Scenario: A late answer is not delivered to the connection's next request
    Given a desk on a raw server in mode "stray"
    When the caller checks availability 3 times
    Then each answer is the raw server's own
    And counter "crossed.dropped" is 2
    And the raw server has 3 connections, 2 of them closed by the router

  Scenario: An answer that ends within its headers is none
    Guards against a success with an empty body that is framed as complete.
    Given a desk on a raw server in mode "head_cut"
    And a desk "d"
    When the caller checks availability 1 times
    Then each answer is from desk "d"

  Scenario: An answer without a length is not treated as complete
    Given a desk on a raw server in mode "no_length"
    And a desk "d"
    When the caller checks availability 1 times
    Then each answer is from desk "d"

  # Guards against a deposit that is run twice or reported wrongly.
  Scenario Outline: A resend gets the first answer
    Given a desk "d"
    And <commands>
    When the caller deposits with key "k" through router 1
    And the caller deposits with key "k" through router <router>
    Then each answer has status 200
    And both answers are equal
    And the desks ran key "k" 1 times

    Examples:
      | router | commands                    |
      | 1      | commands arrive once        |
      | 2      | commands arrive once        |
      | 2      | commands arrive twice       |
      | 2      | the next 2 "Settle" fail    |

  Scenario Outline: A call whose answer is lost is unknown and not sent again
    Given a desk "d" with fault "<fault>" at 1.5
    And a desk "e"
    When the caller deposits with key "k" through router 1
    And the caller deposits with key "k" through router 2
    Then each answer is an error "outcome_unknown" with outcome "unknown"
    And the desks ran key "k" <runs> times

    Examples:
      | fault   | runs |
      | crash   | 1    |
      | delay   | 1    |
      | crossed | 1    |
      | close   | 0    |

  # Guards against a deposit that runs twice since its method may be repeated on
  # other routes.
  Scenario Outline: What may run once is decided by the route, not by the method
    Given a desk "d" with fault "crash" at 1.5
    And a desk "e"
    When the caller deposits by <method> with key "k"
    Then each answer is an error "outcome_unknown" with outcome "unknown"
    And the desks ran key "k" 1 times

    Examples:
      | method |
      | POST   |
      | PUT    |

  Scenario: A call that no desk accepted is not run and releases its key
    Given a desk on a port that refuses connections
    When the caller deposits with key "k" through router 1
    Then the answer is an error "no_capacity" with outcome "not_run"
    When a desk "d" starts
    And the caller deposits with key "k" through router 1
    Then the last answer has status 200
    And the desks ran key "k" 1 times

  Scenario: A deposit goes to the next desk if the first refuses the connection
    Given a desk on a port that refuses connections
    And a desk "d"
    When the caller deposits with key "k" through router 1
    Then each answer has status 200

  # Guards against an unknown outcome: the desk may close a pooled connection
  # while the request is being sent.
  Scenario: A deposit uses no pooled connection
    Given a desk on a raw server in mode "close_second"
    When the caller checks availability 1 times
    And the caller deposits with key "k" through router 1
    Then each answer has status 200

  Scenario: A deposit is not sent after the lease has expired
    Given a desk "d"
    And the lease expires after 1 check
    When the caller deposits with key "k" through router 1
    Then the answer is an error "lease_expired" with outcome "not_run"
    And the desks ran key "k" 0 times
    When the caller deposits with key "k" through router 2
    Then the last answer has status 200

  # Guards against running a call that was reported unknown: the leader may have
  # recorded it as unknown while the lease was expired.
  Scenario: A deposit reserved before a lapse of the lease is not sent after it
    Given a desk "d"
    And the lease of router 1 expires and is renewed while a call is reserved
    When the caller deposits with key "k" through router 1
    Then the answer is an error "lease_expired" with outcome "not_run"
    And the desks ran key "k" 0 times

  # Guards against a false "not_run": the key may belong to a call that has been
  # run through another router.
  Scenario: Without a lease the outcome of a deposit is unknown
    Given a desk "d"
    When the caller deposits with key "k" through router 2
    And the lease of router 1 has expired
    And the caller deposits with key "k" through router 1
    Then the answer is an error "lease_expired" with outcome "unknown"

  Scenario: A deposit that cannot be reserved is not sent
    Given a desk "d"
    And the next 1 "Reserve" fail
    When the caller deposits with key "k" through router 1
    Then the answer is an error "control_unavailable" with outcome "unknown"
    And the desks ran key "k" 0 times

  Scenario: Concurrent deposits with one key run once
    Given a desk "d" with fault "delay" at 0.2
    When 6 deposits with key "k" go through both routers at once
    Then each answer has status 200
    And all answers are equal
    And the desks ran key "k" 1 times

  Scenario: A resend waits no longer than the service timeout
    Given a desk "d"
    And another router has reserved key "k"
    When the caller deposits with key "k" through router 1
    Then the answer is an error "in_progress" with outcome "unknown"
    And the desks ran key "k" 0 times

  Scenario: A deposit whose caller leaves is still recorded
    Given a desk "d" with fault "delay" at 0.3
    When the caller leaves while its deposit with key "k" runs
    And the caller deposits with key "k" through router 2
    Then the last answer has status 200
    And the desks ran key "k" 1 times

  Scenario: A deposit in progress is recorded when its router stops
    Given a desk "d" with fault "delay" at 0.6
    When router 1 stops while its deposit with key "k" runs
    And the caller deposits with key "k" through router 2
    Then the last answer has status 200
    And the desks ran key "k" 1 times

  Scenario: An answer that is too large to record is an explicit outcome
    Given a desk "d" with fault "big" at 100000
    When the caller deposits with key "k" through router 1
    Then the last answer has status 200
    When the caller deposits with key "k" through router 2
    Then the answer is an error "answer_too_large" with outcome "run"
    And the desks ran key "k" 1 times

  Scenario: A key that comes with another body is refused
    Given a desk "d"
    When the caller deposits with key "k" through router 1
    And the caller deposits another body with key "k"
    Then the answer is an error "key_reused" with outcome "not_run"
    And the desks ran key "k" 1 times

  Scenario Outline: Encoded paths cannot bypass the required key
    Given a desk "d"
    When a caller posts to "<path>" without a key
    Then the answer has status <status> and reason "<reason>"
    And the desks ran no call

    Examples:
      | path                           | status | reason       |
      | /services/booking/deposits     | 400    | key_required |
      | /services/booking/%64eposits   | 400    | key_required |
      | /services/booking/deposits/    | 400    | key_required |
      | /services/booking//deposits    | 404    | unknown_path |
      | /services/booking/./deposits   | 404    | unknown_path |
      | /services/booking/a/../deposits| 404    | unknown_path |
      | /services/booking/%2e/deposits | 404    | unknown_path |

  # Guards against requests of unlimited size and errors without a reason.
  Scenario Outline: Malformed and forbidden requests are refused
    Given a runner "a"
    When a caller sends <what>
    Then the answer has status <status> and reason "<reason>"
    And runner "a" ran 0 requests

    Examples:
      | what                       | status | reason          |
      | no API key                 | 401    | unknown_key     |
      | an unknown model           | 404    | unknown_model   |
      | a body that is not JSON    | 400    | bad_body        |
      | a deeply nested body       | 400    | bad_body        |
      | no messages                | 400    | bad_body        |
      | its own prefix_blocks      | 400    | bad_body        |
      | tools                      | 400    | bad_body        |
      | a body over the size limit | 413    | body_too_large  |
      | an oversized chunked body  | 413    | body_too_large  |
      | a class above its own      | 403    | not_allowed     |
      | an unknown class           | 400    | bad_body        |
      | an unknown service         | 404    | unknown_service |
      | a key of 256 characters    | 400    | key_required    |
      | a key outside ASCII        | 400    | key_required    |

  # Guards against memory that grows with the number of waiting requests.
  Scenario: The total size of buffered request bodies is limited
    Given routers that hold at most 400 bytes of bodies
    And a runner "a" that takes 20 ms per token
    When 9 callers ask concurrently for a stream of 50 tokens
    Then at least 4 answers are "queue_full" with outcome "not_run"
    And the other answers are whole
    When a caller asks for a stream of 20 tokens
    Then the caller has the whole text of 20 tokens

  # Guards against headers of unlimited size.
  Scenario: The size of request headers is limited
    When a caller adds a header of 100000 bytes
    Then the last answer has status 431

  # Guards against announcements from unauthorised endpoints.
  Scenario Outline: Announcements are checked
    When an endpoint announces <what>
    Then the last answer has status <status>

    Examples:
      | what                 | status |
      | itself               | 200    |
      | a wrong credential   | 401    |
      | a host name          | 400    |
      | no incarnation       | 400    |

  # Guards against index entries for blocks that a runner no longer caches.
  Scenario: A gap in the event feed ends the feed after the gap is detected
    Given a runner "a"
    When router 1 follows the feed of runner "a", which loses an event
    Then the feed ended with "stream_gap" after events 1, 2, 4

  # Guards against a feed that is followed although it no longer sends events.
  Scenario: A feed that sends no events is ended
    Given a runner on a raw server in mode "silent"
    When router 1 follows the feed of the raw server
    Then the feed ended with "stream_silent" after 1 load report

  # Guards against an old order that replaces the effect of a newer one.
  Scenario: A runner that checks fencing numbers refuses an old order
    Given a runner "a" that checks fencing numbers
    When router 1 orders weights "w2" with fencing number 7
    And router 2 orders weights "w3" with fencing number 6
    Then runner "a" has weights "w2"

  # Guards against a prompt that ends one runner after the other behind the
  # product's own gateway, and against sound ones that are refused with it.
  Scenario: A block of a prompt that crashes runners is held back
    Given 8 runners that crash on prompts that contain "crash"
    When a caller asks for 12 streams with "crash", 0.3 s apart
    Then at most 6 runners have crashed
    And the last answer is a refusal as "part_held" that says "not_run"
    When a caller asks for 2 streams with "sound", 0.3 s apart
    Then the last 2 streams are complete
