Feature: Streams are whole and in order, or end in an explicit error

  # Guards against tokens that are lost, doubled or swapped when a runner
  # breaks off, repeats, skips, reorders or ends early, alone or in turn.
  Scenario Outline: Faulty attempts never show in the caller's text
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

  # Guards against an answer that passes for whole when every attempt fails.
  Scenario: Faults in every attempt end in an explicit error
    Given an answer of 60 tokens and seeds 1 to 400
    When each seed relays attempts that all break
    Then no caller has a whole text
    And every caller has a whole text or an explicit error

  # Guards against a finishing event that is shown and then resumed again.
  Scenario: A break between the last token and the end mark is resumed
    Given an answer of 5 tokens and seeds 1 to 1
    When the first attempt ends without the end mark
    Then the second attempt starts at offset 5
    And every caller has a whole text or an explicit error

  # Guards against memory without bound for the text kept for a resume.
  Scenario: A text that is too long to keep is not resumed
    Given a stream whose text exceeds what is kept
    Then the stream cannot be resumed
    And its kept text is within the bound
