@processes
Feature: Running the checks

  Scenario: A feature that does not end is ended and named
    Guards against checks that never end, and against children of a feature that
    outlive it.
    Given a feature whose scenario "It hangs" starts a process and waits for it
    When it runs with a time limit of 4 s
    Then the run names "It hangs" and its process has ended
    And the totals are 0 passed, 1 failed and 0 known red

  Scenario: A scenario that fails tells why
    Guards against a flaky failure whose traceback is lost.
    Given a feature whose scenario "It fails" raises "no quorum"
    When it runs with a time limit of 60 s
    Then the failure of "It fails" has the text "no quorum"
    And the totals are 0 passed, 1 failed and 0 known red

  Scenario Outline: Nothing but a known red is passed over
    Guards against checks that pass though a scenario or a run has failed.
    Given a run with a scenario that is <status> and exit code <code>
    And the scenario is <listed>
    Then the totals are <passed> passed, <failed> failed and <known> known red

    Examples:
      | status    | code | listed     | passed | failed | known |
      | passed    | 0    | not listed | 1      | 0      | 0     |
      | passed    | 1    | not listed | 1      | 1      | 0     |
      | passed    | -9   | listed     | 1      | 1      | 0     |
      | failed    | 1    | not listed | 0      | 1      | 0     |
      | failed    | 1    | listed     | 0      | 0      | 1     |
      | error     | 1    | listed     | 0      | 0      | 1     |
      | skipped   | 0    | not listed | 0      | 1      | 0     |
      | undefined | 1    | not listed | 0      | 1      | 0     |

  Scenario: Every feature runs once
    Guards against a feature that no lane runs.
    Then the lanes hold every feature file once
