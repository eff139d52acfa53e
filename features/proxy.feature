@long
Feature: Proxied requests

  Scenario Outline: A call that may run once is sent once
    Guards against a booking that runs twice, and against a 503 for a booking
    that may have run: a 503 promises that it has not.
    Given a proxied runner that <does>
    And a proxied runner that answers
    When a caller sends a request that may run once
    Then the caller gets status <status>
    And runner 2 has received <others> requests

    Examples:
      | does                         | status | others |
      | answers                      | 200    | 0      |
      | answers twice                | 200    | 0      |
      | answers another request first | 200   | 0      |
      | answers without a length     | 200    | 0      |
      | breaks off                   | 502    | 0      |
      | sends garbage                | 502    | 0      |
      | fails                        | 500    | 0      |
      | is full                      | 503    | 0      |
      | is another instance          | 503    | 0      |
      | refuses connections          | 200    | 1      |
      | is silent                    | 504    | 0      |

  Scenario Outline: A call that may run once does so on a resumable route
    Guards against a deposit that is charged twice, as its route allows a second
    endpoint and says of its streams, of which it has none, that they may be
    resumed.
    Given a proxied runner that <does>
    And a proxied runner that answers
    When a caller sends a request that may run once on a resumable route
    Then the caller gets status <status>
    And runner 2 has received <others> requests

    Examples:
      | does                         | status | others |
      | answers                      | 200    | 0      |
      | answers twice                | 200    | 0      |
      | answers another request first | 200   | 0      |
      | answers late                 | 200    | 0      |
      | breaks off                   | 502    | 0      |
      | sends garbage                | 502    | 0      |
      | fails                        | 500    | 0      |
      | is silent                    | 504    | 0      |
      | is full                      | 200    | 1      |
      | is another instance          | 200    | 1      |
      | refuses connections          | 200    | 1      |

  Scenario Outline: What may run more than once follows from the kind of route
    Guards against the same in a configuration that an earlier build has stored.
    Then requests of <kind> routes that say <flag> may <run> and <resume>

    Examples:
      | kind       | flag          | run            | resume        |
      | once       | not resumable | run once       | not resume    |
      | once       | resumable     | run once       | not resume    |
      | idempotent | not resumable | run many times | not resume    |
      | idempotent | resumable     | run many times | not resume    |
      | stream     | not resumable | run once       | not resume    |
      | stream     | resumable     | run many times | resume        |

  Scenario Outline: A call that may be repeated is retried at another runner
    Guards against an error that a retry at a second runner would have avoided.
    Given a proxied runner that <does>
    And a proxied runner that answers
    When a caller sends a request that may run many times
    Then the caller gets status 200
    And the body is the runner's

    Examples:
      | does                |
      | breaks off          |
      | sends garbage       |
      | fails               |
      | is full             |
      | is another instance |
      | refuses connections |
      | is silent           |

  Scenario: A single attempt gets the whole request timeout
    Guards against an attempt that times out early to leave time for a retry
    that the route does not allow.
    Given a proxied runner that answers late
    When a caller sends a request that has a single attempt
    Then the caller gets status 200

  Scenario: A refusal has a Retry-After header
    Guards against refused callers that all resend at the same time.
    Given a proxied runner that is full
    When a caller sends a request that may run once
    Then the caller gets status 503
    And the Retry-After of the answer is at most a third of 2 s

  Scenario: A stream that breaks off within an event resumes at another runner
    Guards against an event that is lost, duplicated or assembled from the
    partial events of two runners.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    When a caller sends a request that may be resumed
    Then the caller gets status 200
    And the relayed stream is complete
    And runner 2 was asked to resume after event 2

  Scenario Outline: A stream that ends within an event has been broken off
    Guards against a truncated stream that is passed on as complete, since its
    runner sent neither a length nor chunks.
    Given a proxied runner that <does>
    And a proxied runner that streams
    When a caller sends a request that may be resumed
    Then the caller gets status 200
    And the relayed stream is complete
    And runner 2 was asked to resume after event <last>

    Examples:
      | does                                      | last |
      | ends within event 3 without a length      | 2    |
      | ends within event 3 with an end of chunks | 2    |
      | ends before event 1 without a length      | 0    |

  Scenario Outline: A line end within an event is not the end of the event
    Guards against a truncated stream that is passed on as complete, and resumed
    after the event within which it ended, since one CRLF was taken for two line
    ends.
    Given a proxied runner that ends within event 3 after a line that ends with <end>
    And a proxied runner that streams
    When a caller sends a request that may be resumed
    Then the caller gets status 200
    And runner 2 was asked to resume after event 2
    And the caller gets events 1 to 4 once each, in order

    Examples:
      | end  |
      | LF   |
      | CR   |
      | CRLF |

  Scenario Outline: Events are found wherever a stream is read and cut
    Guards against an event that is counted before it is complete, or never.
    Given 2000 streams of 5 events with <end>, cut and read at seeded places
    Then the events counted and the last event id are those that are complete

    Examples:
      | end  |
      | LF   |
      | CR   |
      | CRLF |

  Scenario: A stream whose lines end with CRLF is relayed unchanged
    Guards against a stream that is cut or changed for its line ends.
    Given a proxied runner that streams with CRLF
    When a caller sends a request that streams
    Then the caller gets status 200
    And the caller gets events 1 to 4 once each, in order

  Scenario: A caller that cannot get chunks sees a broken stream as broken
    Guards against a truncated stream that looks complete: without chunks its end
    is that of the connection.
    Given a proxied runner that breaks off within event 3
    When a caller that speaks HTTP/1.0 sends a request that streams
    Then its connection is reset after event 2

  Scenario: A stream without a length is whole
    Guards against a stream that is taken for broken off since it ends with its
    connection.
    Given a proxied runner that streams without a length
    And a proxied runner that streams
    When a caller sends a request that may be resumed
    Then the caller gets status 200
    And the relayed stream is complete
    And runner 2 has received 0 requests

  Scenario: A stream that ends within an event and may not be resumed
    Guards against a truncated stream that looks complete to the caller.
    Given a proxied runner that ends within event 3 without a length
    And a proxied runner that streams
    When a caller sends a request that streams
    Then the caller gets status 200
    And the relayed stream has no end
    And runner 2 has received 0 requests

  Scenario Outline: An error in place of the rest of a stream is not passed on
    A stream broke off, and the next runner does not go on with it. Guards against
    the text or the head of an error in the middle of a stream, and against a stream
    that ends as if it were complete.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that <answers>
    When a caller sends a request that may be resumed
    Then the caller gets status 200
    And the relayed stream has no end
    And the caller has events 1 to 2 and nothing else

    Examples:
      | answers                   |
      | fails                     |
      | is full                   |
      | is another instance       |
      | answers                   |
      | answers without a length  |
      | answers another request first |
      | sends garbage             |
      | breaks off                |
      | ends within its head      |
      | refuses connections       |

  Scenario Outline: An answer that ends within its head is none
    The runner closes after one byte of its head, after two, and so on. Guards
    against a success with an empty or short body that is framed as complete.
    Given a proxied runner that ends within its head
    When 150 requests that <kind> are sent one after the other
    Then no answer is a success

    Examples:
      | kind           |
      | may run once   |
      | streams        |

  Scenario: A broken stream that may not be resumed has no end marker
    Guards against a truncated stream that looks complete to the caller.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    When a caller sends a request that streams
    Then the caller gets status 200
    And the relayed stream has no end
    And runner 2 has received 0 requests

  Scenario: A caller that leaves cancels its attempt at the runner
    Guards against runners that go on with requests whose caller has left.
    Given a proxied runner that is silent
    When a caller sends a request that may run once and leaves
    Then runner 1 loses its connection

  Scenario: Callers cannot set the system's own headers
    Guards against callers that set the customer, the cache or a reservation by
    headers.
    Given a proxied runner that answers
    When a caller sends headers that only the system may set
    Then the runner got the customer "huts" and the instance "i-0"
    And the runner got none of the caller's values
    And the runner got no key
    And the runner was given less than 2000 ms

  Scenario Outline: A number of a caller that cannot be read says nothing
    Guards against a caller that gets no answer, since decoding its headers fails on
    what Python takes for a digit, or on more digits than it converts.
    Given a proxied runner that answers
    When a caller sends <value> as its <name>
    Then the caller gets status 200
    And the body is the runner's

    Examples:
      | value         | name        |
      | superscript 2 | deadline    |
      | 400 digits    | deadline    |
      | 5000 digits   | deadline    |
      | superscript 2 | token count |
      | 400 digits    | token count |
      | 5000 digits   | token count |
      | superscript 2 | prefix hash |
      | 5000 digits   | prefix hash |

  Scenario: A request whose Connection header lists Host is served
    Guards against a request that is sent without its host, which has no form in
    HTTP, and whose caller gets no answer.
    Given a proxied runner that answers
    When a caller sends a request with the header "Connection: x-odd, Host"
    Then the caller gets status 200
    And the runner got the customer "huts" and the instance "i-0"

  Scenario Outline: An ambiguous, oversized or unauthorised request is refused
    Guards against request smuggling, and against oversized or unauthorised
    requests that reach a runner.
    Given a proxied runner that answers
    When a caller sends a request with <fault>
    Then the caller gets status <status>
    And runner 1 has received 0 requests

    Examples:
      | fault                      | status |
      | a length and chunks        | 400    |
      | two lengths                | 400    |
      | a space before a colon     | 400    |
      | a head of 20000 bytes      | 431    |
      | a length of 5000000 bytes  | 413    |
      | an unknown key             | 401    |
      | an unknown path            | 404    |

  Scenario: Requests are forwarded unchanged whatever the read boundaries
    Guards against bytes that are lost or duplicated at the boundary between two
    reads.
    Given a proxied runner that answers
    When a caller sends 20 requests in seeded splits and framings
    Then each of them is answered and reached the runner unchanged

  Scenario Outline: A refusal that is written once more refuses nothing
    A faulty runner writes an earlier refusal again, on a connection that is in use
    for the next request, while it runs that one. Guards against a 503 for a request
    that runs, and against a request that may run once and is sent to a second
    runner.
    Given a proxied runner that <repeats>
    When after a refusal a caller sends a request that <kind>
    Then the first answer is a refusal and the second one a success
    And runner 1 has run 1 request

    Examples:
      | repeats                          | kind               |
      | repeats a refusal with its id    | may run once       |
      | repeats a refusal without an id  | may run once       |
      | repeats a refusal without an id  | may run many times |
      | repeats a refusal with its id    | streams            |
      | repeats a refusal without an id  | streams            |

  Scenario: A request is not resent on the connection that refused it
    Guards against a copy of the refusal of its first attempt, which bears its id,
    that is taken for one of its second attempt.
    Given a proxied runner that repeats a refusal with its id
    When after a refusal a caller sends its request under the same id
    Then the first answer is a refusal and the second one a success
    And runner 1 has run 1 request

  Scenario: A connection that the runner closed is not used again
    Guards against a request that is lost on a closed connection of the pool.
    Given a proxied runner that answers twice
    When a caller sends 2 requests one after the other
    Then both are answered by the runner's own answers
    And runner 1 accepted 2 connections

  Scenario Outline: An answer with an odd idle limit is passed on
    Guards against a whole answer that its caller doesn't get, since the limit fails
    to be converted as the connection is put aside.
    Given a proxied runner that names an idle limit of <digits> digits
    When a caller sends 2 requests one after the other
    Then both are answered by the runner's own answers

    Examples:
      | digits |
      | 400    |
      | 5000   |

  Scenario Outline: Idle connections are closed while others use the pool
    Other tasks run while the first connection is closed. Guards against a router
    that ends, and cuts all its requests, as a connection that its sweep of expired
    ones is about to close is gone.
    Given a proxied runner that answers
    And 2 idle connections to it whose time has expired
    When the pool closes expired connections while <other>
    Then the 2 idle connections are closed

    Examples:
      | other                           |
      | a request opens a connection    |
      | it closes all idle connections  |
      | it closes expired ones          |

  Scenario: A server that refuses new work completes its open requests
    Guards against a request that is accepted late in a drain and then cut off.
    Given a proxied runner that answers late
    When the server refuses new work with 1 request and 1 idle connection open
    Then the idle connection is closed at once
    And no new connection is accepted
    And the request gets its complete answer

  Scenario: A connection closes after a stream that began before the stop
    Guards against a new request on a connection that stays open after the
    server has refused new work. The stream's head cannot announce the close, as
    it was sent before.
    Given a proxied runner that pauses after event 1
    When the server refuses new work while a stream is relayed
    Then the stream ends as complete and its connection is closed

  Scenario Outline: Requests wait a short time for the first lease only
    All processes restart at once. Guards against callers that are refused just
    before the router gets its lease, and against requests that wait although no
    lease will come.
    Given a proxied runner that answers
    When a request comes to a router <state>
    Then it ends with <status> after <least> to <most> s

    Examples:
      | state                                   | status | least | most |
      | that gets its first lease 0.2 s later   | 200    | 0.2   | 0.35 |
      | that gets no lease                      | 503    | 0.35  | 0.6  |
      | whose lease has ended                   | 503    | 0.0   | 0.2  |

  Scenario: Malformed answers are never relayed as complete ones
    Guards against answers that are truncated, wrongly framed, garbled or meant
    for another request and reach a caller as a success, and against a
    connection that is reused after such an answer.
    Given a proxied runner that sends malformed answers
    When 150 requests are sent one after the other
    Then each success is the runner's complete answer to its own request
    And some answers succeeded and more than 60 did not

  Scenario Outline: A runner that sends without end is cut off
    A runner in trouble sends bytes that are no answer until the connection is
    closed. Guards against a router that reads on until its memory is full.
    Given a proxied runner that <sends>
    When a caller sends a request that <kind>
    Then the caller gets status <status>
    And runner 1 could send at most 16 million bytes

    Examples:
      | sends                                      | kind         | status |
      | sends an endless head                      | may run once | 502    |
      | sends endless interim answers              | may run once | 502    |
      | sends an endless body                      | may run once | 502    |
      | sends an endless answer to another request | may run once | 502    |
      | sends an endless head                      | streams      | 502    |
      | sends an endless event                     | streams      | 200    |

  Scenario: A request is repeated after an answer without end
    Guards against a caller that gets no answer although another runner has one.
    Given a proxied runner that sends an endless body
    And a proxied runner that answers
    When a caller sends a request that may run many times
    Then the caller gets status 200

  Scenario: A stream of bytes without events is resumed at another runner
    A stalled runner sends a byte now and then. Guards against streams that
    never end.
    Given a proxied runner that sends bytes without events
    And a proxied runner that streams
    When a patient caller sends a request that may be resumed
    Then the caller gets status 200
    And the relayed stream is complete
    And runner 2 was asked to resume after event 1

  Scenario: A runner that names a limit gets no more requests than that
    Load: 20 requests a second for 3 s. Guards against a runner in need that is
    overloaded by requests that others could serve.
    Given a proxied runner that names a limit of 1 a second
    And a proxied runner that answers
    When a caller sends 60 requests that may run many times, 0.05 s apart
    Then every answer has status 200
    And runner 1 has received at most 11 requests

  Scenario: A runner that says that it leaves gets no more requests
    Guards against requests that reach a runner which says in its answers that it
    leaves, while the router is out of touch with the registry that would say so.
    Given a proxied runner that answers and says that it leaves
    And a proxied runner that answers
    When a caller sends 10 requests that may run many times, 0.05 s apart
    Then every answer has status 200
    And runner 1 has received at most 1 requests

  Scenario: The last runner of a service says that it leaves
    Guards against requests that wait, or are sent to a runner that leaves, since
    there is no other.
    Given a proxied runner that answers and says that it leaves
    When a caller sends 10 requests that may run many times, 0.05 s apart
    Then the first answer has status 200 and the others 503
    And runner 1 has received at most 1 requests

  Scenario: A runner that asks for a wait gets no requests meanwhile
    Load: 20 requests a second for 2 s. Guards against a runner in need that each
    request tries again.
    Given a proxied runner that is full and asks for a wait of 1 s
    And a proxied runner that answers
    When a caller sends 40 requests that may run many times, 0.05 s apart
    Then every answer has status 200
    And runner 1 has received at most 3 requests

  Scenario: The only runner asks for a wait
    Guards against a refusal that is late, and against callers that are told to
    return long before a runner takes requests.
    Given a proxied runner that is full and asks for a wait of 1 s
    When a caller sends 4 requests that may run many times, 0.05 s apart
    Then each of them is refused within 0.1 s, with a Retry-After of 0.4 s or more
    And runner 1 has received at most 1 requests

  Scenario: A router resumes a stream at the software version that began it
    Guards against a stream that a router joins from two software versions of a
    runner, where one of its own version serves as well.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v2
    And runner 3 has software v1
    When a caller sends a request that may be resumed
    Then the relayed stream is complete
    And runner 2 has received 0 requests
    And runner 3 was asked to resume after event 2

  Scenario: A stream whose software version is gone ends as broken
    Guards against a stream that is completed by another software version, and
    against one that looks complete without its rest.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v2
    When a caller sends a request that may be resumed
    Then the relayed stream has no end
    And runner 2 has received 0 requests

  Scenario: Before its first event a stream may go to any software version
    Guards against a stream that is lost with the version of a runner that wrote
    nothing of it.
    Given a proxied runner that ends before event 1 without a length
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v2
    When a caller sends a request that may be resumed
    Then the relayed stream is complete

  Scenario: A stream that its caller takes up goes on where it began
    Guards against a caller's retry that joins two software versions.
    Given a proxied runner that streams
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v2
    When a caller takes up after event 2 a stream that began at software v2
    Then the caller gets status 200
    And runner 1 has received 0 requests
    And runner 2 was asked to resume after event 2

  Scenario Outline: A stream that cannot go on is refused, with its reason
    Guards against a guess where a stream began, and against a stream whose
    beginning nobody knows that is taken for one whose version is gone.
    Given a proxied runner that streams
    And runner 1 has software v1
    When a caller takes up after event 2 a stream that began at software <began>
    Then the caller gets status 503
    And the refusal is counted as <reason>
    And runner 1 has received 0 requests

    Examples:
      | began        | reason                 |
      | v2           | stream_version_gone    |
      | nobody knows | stream_version_unknown |

  Scenario: A request that begins anew says nothing of an earlier one
    The first event of the earlier one may have been lost on its way to the caller.
    Guards against a wrong record that comes before the true one.
    Given a proxied runner that streams
    And runner 1 has software v1
    When a caller begins anew and names an earlier request
    Then the relayed stream is complete
    And the origin of r1 is recorded as v1
    And the origin of r0 is recorded as nothing

  Scenario Outline: A stream does not go on at an endpoint that started again
    An endpoint may start again under its id with other software, and takes
    requests before the router hears of it. Guards against a stream that goes on
    there as if it were the version that the router knows.
    Given a proxied runner that streams
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v1
    And runner 1 <says>, which the router has not heard
    When a caller takes up after event 2 a stream that began at software v1
    Then the caller gets status 200
    And runner 1 has received <first> requests
    And runner 2 has received <second> requests

    Examples:
      | says                         | first | second |
      | has started again            | 0     | 1      |
      | does not say when it started | 1     | 0      |

  Scenario: An endpoint that does not answer when asked serves other requests
    Streams that go on ask it when it started. Guards against a sound endpoint,
    silent for a moment, that all requests avoid as if it refused connections, and
    against a question for each of many streams.
    Given a proxied runner that streams
    And runner 1 does not answer when asked, which the router has not heard
    When 20 callers at once take up streams that began at software v1
    Then the caller gets status 200
    And runners were asked at most 4 times when they started

  Scenario: A router does not resume its stream at an endpoint that started again
    Guards against a stream that a router joins from two software versions, as
    one of its endpoints started again while the router was out of step.
    Given a proxied runner that breaks off within event 3
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v1
    And runner 2 has started again, which the router has not heard
    When a caller sends a request that may be resumed
    Then the relayed stream has no end
    And runner 2 has received 0 requests

  Scenario Outline: A stream begins only at an endpoint that is sure to be known
    Guards against a record of the version that a router knows of an endpoint that
    has started again with another, and against calls to endpoints on calm days.
    Given a proxied runner that <first>
    And a proxied runner that streams
    And runner <number> has started again, which the router has not heard
    And the router heard of endpoints <age> s ago
    When callers send <count> requests that may be resumed
    Then the relayed stream is complete
    And runner 1 has received <received> requests
    And runners were asked <asked> times when they started

    Examples:
      | first             | number | age | count | received | asked |
      | streams           | 1      | 1.5 | 1     | 0        | 2     |
      | streams           | 2      | 0.5 | 3     | 3        | 0     |

  Scenario: A router asks an endpoint after its connection broke
    Guards against a record of the version that a router knows of an endpoint that
    has started again with another.
    Given a proxied runner that ends before event 1 without a length
    And runner 1 has started again, which the router has not heard
    When callers send 2 requests that may be resumed
    Then runner 1 has received 1 requests
    And runners were asked 1 times when they started

  Scenario Outline: A router with another configuration keeps to the version too
    Its configuration may be older or newer than that of the router at which the
    stream began. Guards against a stream that goes on at any version there.
    Given a proxied runner that streams
    And a proxied runner that streams
    And runner 1 has software v1
    And runner 2 has software v2
    When a caller takes up a stream of software v2 where its route <is_resumable>
    Then the caller gets status 200
    And runner 1 has received 0 requests
    And runner 2 was asked to resume after event 2

    Examples:
      | is_resumable     |
      | is resumable     |
      | is not resumable |

  Scenario Outline: A stream may have begun at another service of its route
    A route leads to several services, and each configuration to others. Guards
    against a stream that goes on at the only version of the service that it is
    taken up at, though one of another service began it.
    Given a proxied runner that streams
    And runner 1 has software v1
    And software v1 ever wrote streams of the service, and <ever> those of its model
    When a caller takes up a stream of <whose>, whose beginning nobody knows
    Then the caller gets status <status>
    And runner 1 has received <count> requests

    Examples:
      | whose     | ever      | status | count |
      | the model | v1 and v2 | 503    | 0     |
      | no model  | v1 and v2 | 503    | 0     |
      | the model | v1        | 200    | 1     |
      | no model  | v1        | 200    | 1     |

  Scenario Outline: An endpoint with an odd address does not harm the others
    Another writer may have left it in the list of endpoints. Guards against a
    router that ends or stops serving as it connects to such an address.
    Given a proxied runner whose address is <address>
    And a proxied runner that answers
    When a caller sends a request that <kind>
    Then the caller gets status 200
    And runner 2 has received 1 requests

    Examples:
      | address          | kind                |
      | 127.0.0.1:99999  | may run many times  |
      | 127.0.0.1:0      | may run many times  |
      | 127.0.0.1:99999  | may run once        |
      | 127.0.0.1:x      | may run once        |

  Scenario Outline: A request that no header can carry to a runner is refused
    The customer's name has a line end. Long bodies are sent by a task of their own.
    Guards against a caller that gets no answer, against a router that ends with all
    its requests, and against a runner that is avoided for it.
    Given a proxied runner that answers
    When a customer with a line end in its name sends <bytes> bytes, then another one
    Then the first answer is a refusal and the second one a success
    And runner 1 has received 1 requests

    Examples:
      | bytes |
      | 1     |
      | 9000  |

  Scenario Outline: A stream whose last event id no header can carry is cut
    Guards against a router that ends, with all its requests, as it resumes such a
    stream with a long body.
    Given a proxied runner that breaks off after the event id "2 "
    And a proxied runner that streams
    When a caller sends a request with <bytes> bytes that may be resumed
    Then the relayed stream has no end
    And runner 2 has received 0 requests

    Examples:
      | bytes |
      | 1     |
      | 9000  |

  Scenario Outline: A request that is whole only during a stop is refused
    Its caller sends the rest after the router has stopped to take requests.
    Guards against a request that is passed on late in a planned stop and cut at
    its end, which for a call that may run once leaves its outcome open.
    Given a proxied runner that answers
    When the server refuses new work within the <part> of a request
    Then the caller gets status 503
    And the Retry-After of the answer is at most a third of 2 s
    And runner 1 has received 0 requests

    Examples:
      | part |
      | head |
      | body |
