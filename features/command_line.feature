Feature: Command-line tool

  A fake control client with an in-memory state replaces the members.

  Background:
    Given members with the rules "model guide  # asked by T" in version 1
    And a rule file with "model scribe  # asked by S"

  Scenario: A correct rule file is checked without the members
    Given the members cannot be reached
    When the tool runs "check FILE"
    Then it exits with 0 and prints "customers 0, models 1, services 0"

  Scenario: All faults of a rule file are printed and nothing is sent
    Given a rule file with "model a # x" and "modle b  # asked by S"
    When the tool runs "apply FILE --base 1"
    Then it exits with 2 and warns "FILE:1:9: '# asked by NAME' is missing"
    And it warns "FILE:2:1: unknown kind 'modle'"
    And the members hold version 1

  Scenario: An empty rule file is not sent
    # In force, a file truncated by a full disk would lock out every customer.
    Given a rule file with "# nothing left"
    When the tool runs "apply FILE --base 1"
    Then it exits with 2 and warns "the file holds no rule"
    And the members hold version 1

  Scenario Outline: Wrong usage and faulty settings exit with 2
    When the tool runs "<command>"
    Then it exits with 2 and warns "<text>"

    Examples:
      | command                          | text                      |
      | check                            | required                  |
      | frobnicate                       | invalid choice            |
      | status --settings /nonexistent   | No such file              |
      | check-settings FILE              | FILE:                     |
      | apply FILE --base x              | argument --base           |
      | apply FILE --base -1             | --base: -1                |
      | apply FILE --base 9223372036854775808 | --base: 9223          |
      | retire a\udcffb                  | printable characters      |

  Scenario: Settings are checked
    When the tool runs "check-settings SETTINGS"
    Then it exits with 0 and prints "valid settings of a tool"

  Scenario: The differences are shown and their version is the base to apply
    When the tool runs "diff FILE"
    Then it exits with 0 and prints "compared with version 1"
    And it prints "+ model scribe"
    And it prints "- model guide"
    When the tool runs "apply FILE"
    Then it exits with 0 and prints "accepted, version 2"
    And it warns "request id "

  Scenario: A file that was not compared first cannot replace rules in force
    When the tool runs "apply FILE"
    Then it exits with 1 and warns "based on version 0, but version 1 is in force"
    And the members hold version 1

  Scenario: A change by another operator after the diff is not overwritten
    When the tool runs "diff FILE"
    And another operator applies "model other  # asked by O"
    And the tool runs "apply FILE"
    Then it exits with 1 and warns "based on version 1, but version 2 is in force"

  Scenario: A file may be edited and applied again after it was accepted
    When the tool runs "apply FILE --base 1"
    And the rule file is replaced by "model third  # asked by S"
    And the tool runs "apply FILE"
    Then it exits with 0 and prints "accepted, version 3"

  Scenario: A resend after a lost answer has the effect of one order
    Given the next answer is lost
    When the tool runs "apply FILE --base 1"
    Then it exits with 4 and warns "resend with the same request id"
    And the members hold version 2
    When the tool runs "apply FILE --base 1 --request-id LAST"
    Then it exits with 0 and prints "accepted, version 2"
    And the members hold version 2

  Scenario: A request id of another order is refused before it is sent
    # The members would return the result of the other order.
    When the tool runs "apply FILE --base 1"
    And the rule file is replaced by "model third  # asked by S"
    And the tool runs "apply FILE --base 1 --request-id LAST"
    Then it exits with 2 and warns "was not created for this order"

  Scenario Outline: Members that cannot be reached
    Given the members cannot be reached
    When the tool runs "<command>"
    Then it exits with 3 and warns "no control member answered"

    Examples:
      | command             |
      | status              |
      | list                |
      | diff FILE           |
      | apply FILE --base 1 |
      | retire runner-1     |
      | announce runner-1   |
      | form                |

  Scenario Outline: A lost status answer is not reported as unknown outcome
    Given the next answer is lost
    When the tool runs "<command>"
    Then it exits with 3 and warns "no control member answered"

    Examples:
      | command           |
      | status            |
      | announce runner-1 |

  Scenario: An exception after a send is reported as unknown outcome
    # An unhandled exception would exit with code 1, which means that nothing was
    # done.
    Given the next answer is lost by a fault in the tool
    When the tool runs "apply FILE --base 1"
    Then it exits with 4 and warns "resend with the same request id"

  Scenario: An endpoint is retired and announced again
    Given the members know endpoint "runner-1"
    When the tool runs "retire runner-1"
    Then it exits with 0 and prints "runner-1 is leaving"
    When the tool runs "list"
    Then it exits with 0 and prints "runner-1  retired  runner  w1"
    When the tool runs "announce runner-1"
    Then it exits with 0 and prints "runner-1 is active"
    When the tool runs "list"
    Then it exits with 0 and prints "runner-1  active  runner  w1"

  Scenario Outline: Endpoints that are not known
    When the tool runs "<command>"
    Then it exits with <code> and warns "<text>"

    Examples:
      | command                                   | code | text         |
      | retire nobody                             | 1    | is not known |
      | announce nobody                           | 1    | is not known |
      | announce x --url http://desk.example:80   | 2    | --url        |
      | announce x --url ftp://10.0.0.1:80        | 2    | --url        |

  Scenario: The rule file in force is printed unchanged
    When the tool runs "list --rules"
    Then its output is the rule file of version 1

  Scenario Outline: Output as one JSON document
    When the tool runs "<command> --json"
    Then it exits with <code> and its output is JSON with "<key>"

    Examples:
      | command             | code | key           |
      | check FILE          | 0    | models        |
      | check SETTINGS      | 2    | faults        |
      | diff FILE           | 0    | changes       |
      | apply FILE --base 1 | 0    | request_id    |
      | apply FILE --base 5 | 1    | version       |
      | list                | 0    | rules_text    |
      | status              | 0    | commit_index  |
      | retire nobody       | 1    | text          |
