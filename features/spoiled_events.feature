Feature: Events that a faulty runner has spoiled

  # A runner's list of cache events goes on showing a spoiled one, so each member
  # that followed the runner ended in turn. Guards against an error in one feed
  # that ends the member, whatever raised it.
  Scenario Outline: An error in one feed leaves the member and the other feeds
    Given a member that follows a runner and a store
    When <part> raises an unexpected error for the runner
    Then the member still runs and goes on following the store
    And the runner is asked again, does not count as silent and is counted

    Examples:
      | part                  |
      | the decoder of events |
      | the index of parts    |

  # Guards against spoiled events that no counter and no log line shows.
  Scenario: Events that were left out are counted
    Given a member that follows a runner and a store
    When 3 events of the runner cannot be read
    Then 3 events are counted and one line is logged

  Scenario: Lists of events without end are asked for less and less often
    Guards against a member that is busy with one faulty runner alone. The runner
    answers, so it goes on getting requests.
    Given a member that follows a runner and a store
    When the runner's list of events has no end for 3 s
    Then the runner was asked at most 6 times and does not count as silent
    And once its list has an end it is followed as before

  # The same for the feeds that routers follow themselves.
  Scenario Outline: A spoiled event ends only its feed in the gateway
    Guards against a router that ends, with all its requests.
    When the feed of a runner has the event <event>
    Then the router gives up this feed and opens it again

    Examples:
      | event                                                        |
      | no object                                                    |
      | 100000 nested lists                                          |
      | {"type": "load", "running": 1e400, "queued": 0, "queued_tokens": 0} |
      | {"type": "load", "running": 1, "queued": 0, "queued_tokens": 1e300} |
      | {"type": "load", "running": -1, "queued": 0, "queued_tokens": 0} |
      | {"type": "\ud83d", "number": 1}                              |
      | {"type": "stored", "number": 1e400}                          |
      | {"type": "stored", "number": 1, "blocks": 5}                 |
      | {"type": "stored", "number": 1, "blocks": [1e400]}           |
      | {"type": ["stored"], "number": 1}                            |

  Scenario: An unexpected error in a feed leaves the router and the other feeds
    Guards against the same, whatever raised the error.
    When the scheduler raises an unexpected error for an item of a feed
    Then the router gives up this feed and opens it again

  Scenario: A character may be split between two events of an answer
    Guards against a sound stream that is given up, as a runner divides the two
    halves of a surrogate pair. They are passed on as they are.
    When a stream has the halves of a character in two events
    Then both are accepted, and the text of the answer has the character

  Scenario Outline: A spoiled event of an answer is a malformed event
    Guards against a stream that ends with its runner's fault in place of going
    on at another runner.
    When a stream has the event <event>
    Then the event is malformed

    Examples:
      | event                                          |
      | 5                                              |
      | 100000 nested lists                            |
      | "choices": ["x"]                               |
      | "choices": {}                                  |
      | "choices": [{"delta": {"content": 5}}]         |
      | "choices": [{"delta": "x"}]                    |
      | "offset": 1e400                                |
      | "tokens": 1e300                                |
      | "cached_tokens": 1e400                         |
      | "cached_tokens": -16                           |
      | "load": {"running": 1e400}                     |
      | "load": 5                                      |
