Feature: Streams are whole and in order, or end in an explicit error

  # Guards against tokens that are lost, repeated or swapped when a runner
  # closes the stream early, repeats, skips or reorders events, in one attempt
  # or in several.
  Scenario Outline: Faults in attempts never change the text a caller gets
    Given an answer of 60 tokens and seeds 1 to 400
    When each seed relays attempts with the faults "<faults>"
    Then every caller has a whole text or an explicit error
    And at least 50 callers have a whole text after a resume

    Examples:
      | faults                                   |
      | break                                    |
      | repeat                                   |
      | gap                                      |
      | swap                                     |
      | no_finish                                |
      | no_done                                  |
      | early_done                               |
      | late_token                               |
      | wrong_usage                              |
      | crossed                                  |
      | error                                    |
      | garbage                                  |
      | break,repeat,gap,swap,no_done,late_token |

  # Guards against an incomplete answer that looks complete when every attempt
  # fails.
  Scenario: Faults in every attempt end in an explicit error
    Given an answer of 60 tokens and seeds 1 to 400
    When each seed relays attempts that all break
    Then no caller has a whole text
    And every caller has a whole text or an explicit error

  # Guards against a finishing event that is relayed before the [DONE] marker,
  # and sent again after a resume.
  Scenario: A break between the last token and the end mark is resumed
    Given an answer of 5 tokens and seeds 1 to 1
    When the first attempt ends without the [DONE] marker
    Then the second attempt starts at offset 5
    And every caller has a whole text or an explicit error

  # Guards against unlimited memory for the text kept for a resume.
  Scenario: A text that is too long to keep is not resumed
    Given a stream whose text exceeds the resume limit
    Then the stream cannot be resumed
    And its kept text is within the resume limit

  Scenario Outline: A stream of a runner that does not stop is ended
    Guards against whole events without end, which no other limit ends.
    Given a stream of at most 20 tokens
    When its runner goes on with <events>
    Then the stream is given up after at most <count> events

    Examples:
      | events                | count |
      | tokens                | 21    |
      | events without tokens | 1001  |
