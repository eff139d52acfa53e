Feature: Truncated answers and invalid statuses

  # Uploads have 2 MB. In the proxy, routes of all kinds are called, by callers of
  # HTTP/1.1 and HTTP/1.0; in the gateway services, at most once and with retries,
  # and chats.

  Scenario Outline: The proxy does not complete an answer that ends in an upload
    Guards against a part of an answer without a length that is passed on as the
    whole, as the end of its connection is taken for its end.
    Given an endpoint that reads <part> an upload, answers with <framing> and <ends>
    When callers send uploads through the proxy to routes of all kinds
    Then no caller takes what it got for a whole answer

    Examples:
      | part                | framing   | ends          |
      | none of             | no length | resets        |
      | none of             | no length | closes        |
      | none of             | no length | ends its side |
      | half of             | no length | resets        |
      | half of             | no length | closes        |
      | half of             | no length | ends its side |
      | most of             | no length | resets        |
      | most of             | no length | closes        |
      | most of             | no length | ends its side |
      | all but one byte of | no length | resets        |
      | none of             | a length  | resets        |
      | most of             | a length  | resets        |
      | none of             | chunks    | resets        |
      | most of             | chunks    | resets        |
      | most of             | chunks    | ends its side |

  Scenario Outline: The gateway does not complete an answer that ends in an upload
    The gateway takes no service's answer without a length, and a chat for whole
    only with its last event. Guards against a change of either.
    Given an endpoint that reads <part> an upload, answers with <framing> and <ends>
    When callers send uploads through the gateway to endpoints of all kinds
    Then no caller takes what it got for a whole answer

    Examples:
      | part                | framing   | ends          |
      | none of             | no length | resets        |
      | none of             | no length | closes        |
      | none of             | no length | ends its side |
      | half of             | no length | resets        |
      | half of             | no length | closes        |
      | half of             | no length | ends its side |
      | most of             | no length | resets        |
      | most of             | no length | closes        |
      | most of             | no length | ends its side |
      | all but one byte of | no length | resets        |
      | none of             | a length  | resets        |
      | most of             | a length  | resets        |
      | none of             | chunks    | resets        |
      | most of             | chunks    | resets        |
      | most of             | chunks    | ends its side |

  Scenario Outline: So it is on a connection that was used before
    Guards against an end that belongs to the second request on a connection and is
    taken for that of its answer.
    Given an endpoint that reads <part> an upload, answers with <framing> and <ends>
    And it has answered another request on the same connection
    When callers send uploads through the proxy to routes of all kinds
    Then no caller takes what it got for a whole answer

    Examples:
      | part    | framing   | ends          |
      | none of | no length | resets        |
      | none of | no length | ends its side |
      | most of | no length | ends its side |
      | most of | chunks    | resets        |

  Scenario Outline: The proxy passes on no invalid status
    Guards against a status that no caller knows, of which it cannot tell whether
    its request has run.
    Given an endpoint that reads <part> an upload and answers with status "<status>"
    When callers send uploads through the proxy to routes of all kinds
    Then no caller takes what it got for a whole answer
    And no caller gets an invalid status

    Examples:
      | part    | status     |
      | none of | 000 None   |
      | none of | 999 High   |
      | most of | 600 High   |
      | most of | 999 High   |
      | all of  | 000 None   |
      | all of  | 099 Low    |
      | all of  | 600 High   |
      | all of  | 1000 High  |
      | all of  | 20 OK      |
      | all of  | OK         |
      | all of  |            |
      | all of  | -200 OK    |
      | all of  | 100 Again  |
      | all of  | 101 Other  |
      | all of  | 103 Hints  |
      | all of  | 199 Other  |

  Scenario Outline: The gateway passes on no invalid status
    Guards against the same in the gateway.
    Given an endpoint that reads <part> an upload and answers with status "<status>"
    When callers send uploads through the gateway to endpoints of all kinds
    Then no caller takes what it got for a whole answer
    And no caller gets an invalid status

    Examples:
      | part    | status     |
      | none of | 000 None   |
      | none of | 999 High   |
      | most of | 600 High   |
      | most of | 999 High   |
      | all of  | 000 None   |
      | all of  | 099 Low    |
      | all of  | 600 High   |
      | all of  | 1000 High  |
      | all of  | 20 OK      |
      | all of  | OK         |
      | all of  |            |
      | all of  | -200 OK    |
      | all of  | 100 Again  |
      | all of  | 101 Other  |
      | all of  | 103 Hints  |
      | all of  | 199 Other  |

  Scenario: A whole answer without a length is passed on after a whole upload
    Guards against a check of uploads that rejects sound endpoints.
    Given an endpoint that reads all of an upload, answers with no length and closes
    When callers send uploads through the proxy to routes of all kinds
    Then each caller got the whole answer
