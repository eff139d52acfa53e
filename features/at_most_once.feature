Feature: Calls that may run at most once

  Scenario: A key runs at most once under faults
    Guards against a call that runs twice, is sent after its outcome was
    recorded as unknown, or gets an answer other than that of its run.
    When 1500 schedules of crashes, lost leases, resends and duplicated commands run
    Then every at-most-once guarantee held
    And at least 1000 calls ran and 300 outcomes were unknown

  Scenario Outline: Fault schedules detect a missing at-most-once rule
    Guards against schedules that pass although a rule is missing.
    When up to 1500 such schedules run in which <fault>
    Then an at-most-once guarantee was violated

    Examples:
      | fault                                   |
      | an unknown outcome frees the key        |
      | the end of a lease frees the key        |
      | a late not-run frees an unknown key     |
      | a holder is a router, not one call      |
      | a call is sent under a later lease      |
      | a call is sent before it is reserved    |

  Scenario: Records are kept for 24 hours
    Guards against records that are dropped too early or never.
    Given a call that ran at 0 h
    Then a resend at 23.9 h gets its answer
    And a resend at 24.1 h is a new call

  Scenario: A full table refuses new keys and keeps old ones
    Guards against evicting a record whose call could then run again.
    Given a table full of records reserved at 1 h
    Then a new key at 24 h is refused and a known key is found
    And a new key at 25.1 h is reserved

  Scenario: A leader whose clock is ahead does not drop records early
    Guards against a call that runs again because the clocks of two leaders
    differ.
    Given a call that ran at 0 h
    When a leader whose clock is 720 h ahead adds a timestamp to the resend 0.1 h later
    Then the resend gets the answer

  Scenario: With unadjusted clock timestamps a resend runs as a new call
    Guards against a check of the timestamps that passes with any clock.
    Given a call that ran at 0 h
    When the timestamp of the resend is taken from a clock that is 720 h ahead
    Then the resend is a new call
