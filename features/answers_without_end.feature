@long
Feature: Answers without end

  # A faulty runner may send bytes that are no answer until its caller closes. One
  # such answer is cut at its own limit; guards against many at once that fill a
  # process's memory, which ends the requests of all other callers with it.
  Scenario Outline: Many answers without end leave a proxy its memory
    Given a proxied runner that at times <sends>
    When 48 callers on <kind> routes meet that and <read>, beside 24 sound ones
    Then each sound request was answered
    And the process has held at most 64 MiB more than before

    Examples:
      | sends                              | kind    | read    |
      | sends an endless body              | single  | read    |
      | sends an endless body              | once    | read    |
      | sends an endless body              | many    | read    |
      | sends an endless body of a length  | single  | read    |
      | sends an endless refusal           | single  | read    |
      | sends an endless error             | stream  | read    |
      | sends an endless event             | stream  | read    |
      | sends an endless event             | resume  | read    |
      | sends whole events without end     | stream  | do not read |
      | sends a long answer                | single  | do not read |
      | sends an endless head              | single  | read    |

  Scenario: A length that no answer may have is refused at once
    Guards against reading what is to be cut anyway.
    Given a proxied runner that sends an endless body of a length
    When a caller sends a request that may run once
    Then the caller gets status 502
    And runner 1 could send at most 1 million bytes

  # The same for the calls of members and routers to runners.
  Scenario Outline: A call to a runner reads no more than it needs
    Given a runner whose answers to calls have no end
    When <call> is sent to it
    Then the call fails and at most <bytes> bytes were sent

    Examples:
      | call                  | bytes    |
      | a request of its state | 1000000 |
      | a question who it is   | 1000000 |
      | an order               | 1000000 |
      | a poll of its events   | 4000000 |

  # A list that has an end, of values that take much memory once they are parsed.
  Scenario Outline: The longest list of events leaves a member its memory
    Guards against a member that runs out of memory by one whole answer.
    When the longest list of events that is read holds only <rows>
    Then the process has held at most 64 MiB more than before

    Examples:
      | rows          |
      | events        |
      | short events  |
      | empty lists   |
      | empty objects |
      | numbers       |

  # The product's own gateway.
  Scenario Outline: Many answers without end leave a gateway its memory
    Given a gateway whose endpoint at times <sends>
    When 48 callers of <what> meet that, beside 24 sound ones
    Then each sound request was answered
    And the process has held at most 64 MiB more than before

    Examples:
      | sends                     | what                 |
      | sends an endless body     | a service            |
      | sends a body of a length  | a service            |
      | sends an endless head     | a service            |
      | sends an endless event    | a chat               |
      | sends long events         | a chat               |
      | sends long events         | a chat without a stream |
      | sends an endless refusal  | a chat               |

  # The bound itself.
  Scenario: The longest answer is given up first
    Guards against sound answers that are given up for one without end.
    When answers share a memory in 400 random orders, seed 1
    Then no more than the memory is held, small answers aside
    And whenever one is given up it is the longest that may be, and has freed its bytes

  Scenario: A complete answer that is being sent is not given up
    Given a memory of 100000 bytes with an answer of 90000 that is being sent
    When another one of 40000 bytes is read
    Then that one is given up, and one of 16000 bytes is not
