Feature: Calls that may run at most once

  Scenario: A key runs at most once under faults
    When 1500 schedules of crashes, lost leases, resends and repeated commands run
    Then every promise of at-most-once calls was kept
    And at least 1000 calls ran and 300 outcomes were unknown

  Scenario Outline: The schedules find a rule that is left out
    When up to 1500 such schedules run in which <fault>
    Then a promise of at-most-once calls was broken

    Examples:
      | fault                                   |
      | an unknown outcome frees the key        |
      | the end of a lease frees the key        |
      | a late not-run frees an unknown key     |
      | a holder is a router, not one call      |
      | a call is sent under a later lease      |
      | a call is sent before it is reserved    |

  Scenario: Records are kept for 24 hours
    Given a call that ran at 0 h
    Then a resend at 23.9 h gets its answer
    And a resend at 24.1 h is a new call

  Scenario: A full table refuses new keys and keeps old ones
    Given a table full of records reserved at 1 h
    Then a new key at 24 h is refused and a known key is found
    And a new key at 25.1 h is reserved

  Scenario: A leader whose clock is ahead drops no record
    Given a call that ran at 0 h
    When a leader whose clock is 720 h ahead stamps the resend 0.1 h later
    Then the resend gets the answer

  Scenario: With bare clocks as stamps the call would run again
    Given a call that ran at 0 h
    When the resend is stamped with a clock that is 720 h ahead
    Then the resend is a new call
