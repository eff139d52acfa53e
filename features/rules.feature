Feature: Rule files

  DIGEST_A and DIGEST_B are placeholders for 64 hexadecimal digits.

  Scenario: A correct rule file is parsed completely
    Given the rule file
      """
      # Rules of the huts.
      customer counter key=sha256:DIGEST_A class=guest rate=50 concurrent=20 share=2 models=guide  # asked by Almaz: tablets

      model guide version=w7 first_token=0.67  # asked by Tesfaye Bekele
        service booking once=/deposits,/bookings timeout=7.5  # asked by Hirut
      """
    Then the rules are accepted
    And customer "counter" has priority GUEST, rate 50.0, concurrent 20, share 2.0 and models "guide"
    And model "guide" has version "w7", first token 0.67 s and was asked by "Tesfaye Bekele"
    And service "booking" has once "/deposits,/bookings" and timeout 7.5 s
    And formatting the rules gives a file with the same rules

  Scenario: Every fault is reported at once with line and column
    Guards against a parser that stops at the first fault, reports a wrong place,
    or reports faults that only follow from others.
    Given the rule file
      """
      customer a key=sha256:DIGEST_A models=guide,nope  # asked by A
      customer b key=sha256:DIGEST_A rate=-1 rate=3 foo=1  # asked by B
      customer b key=abc
      modle x
      model
      model guide  # wanted by C
       service s once=/a,/a timeout=0 limit  # asked by : nobody
      customer c  # asked by C
      customer d key  # asked by D
      model name=x  # asked by D
      customer e key=sha256:DIGEST_B concurrent=1.5 class=vip  # asked by E
      service t once=/a//b,b  # asked by F
      service u once=/deposits/  # asked by F
      service v once=/deposits,/../x  # asked by F
      """
    Then the rules are refused with exactly
      """
      test.rules:1:101: model 'nope' has no rule in this file
      test.rules:2:16: the customer in line 1 has the same key
      test.rules:2:93: '-1' is not a number from 0 to 1000000
      test.rules:2:96: field 'rate' is given twice
      test.rules:2:103: unknown field 'foo'; known: key, class, rate, concurrent, share, models
      test.rules:3:10: customer 'b' already has a rule in line 2
      test.rules:3:16: the value is not sha256: followed by 64 hexadecimal digits
      test.rules:3:19: '# asked by NAME' is missing
      test.rules:4:1: unknown kind 'modle'; known: customer, model, service
      test.rules:4:8: '# asked by NAME' is missing
      test.rules:5:6: '# asked by NAME' is missing
      test.rules:5:6: the model has no name
      test.rules:6:14: '# asked by NAME' is missing
      test.rules:7:20: '/a' is given twice
      test.rules:7:31: '0' is not a number from 0.01 to 3600
      test.rules:7:33: unknown field 'limit'; known: once, timeout
      test.rules:7:40: '# asked by NAME' is missing
      test.rules:8:1: field 'key' is missing
      test.rules:9:12: field 'key' has no value
      test.rules:10:6: the model has no name
      test.rules:11:99: '1.5' is not an integer from 0 to 100000
      test.rules:11:109: 'vip' is not one of availability, guest, interactive, batch
      test.rules:12:16: '/a//b' is not a path such as /deposits or /shop/orders
      test.rules:13:16: '/deposits/' is not a path such as /deposits or /shop/orders
      test.rules:14:26: '/../x' is not a path such as /deposits or /shop/orders
      """

  Scenario: A plain-text key is not repeated in error messages
    Guards against API keys in terminals and logs.
    Given the rule file
      """
      customer a key=counter-tablet-key  # asked by A
      """
    Then the rules are refused with messages that omit "counter-tablet-key"

  Scenario: Separators other than line breaks do not shift line numbers
    Guards against line numbers that differ from those in editors, which count
    neither form feeds nor U+2028 as line breaks.
    Given a rule file whose comment in line 1 holds U+2028 and U+000C in line 2
    Then the rules are refused with exactly
      """
      test.rules:1:3: character U+2028 is not allowed
      test.rules:2:3: character U+000C is not allowed
      test.rules:3:1: unknown kind 'bad'; known: customer, model, service
      """

  Scenario: Files from Windows editors are accepted
    Guards against CR characters that are refused or become part of a value.
    Given a rule file with CR LF line ends
    Then the rules are accepted

  Scenario Outline: Too long files and lines are refused
    Given a rule file with <what>
    Then the rules are refused with exactly
      """
      test.rules:<fault>
      """

    Examples:
      | what                      | fault                                          |
      | 20001 lines               | 20001:1: more than 20000 lines                 |
      | 2097153 bytes             | 1:1: 2097153 bytes exceed the limit of 2097152 |
      | a line of 4097 characters | 1:4097: more than 4096 characters              |

  Scenario: A file of the largest size is accepted
    Given a rule file with 20000 lines
    Then the rules are accepted

  Scenario: Differences are listed by rule and field
    Given the rule file
      """
      model guide version=w7  # asked by T
      service booking once=/deposits  # asked by H
      customer a key=sha256:DIGEST_A rate=5  # asked by A
      """
    And the newer rule file
      """
      customer a key=sha256:DIGEST_A  # asked by B
      model guide   version=w7  # asked by T: same rule, other spaces
      model scribe  # asked by T
      """
    Then the differences are
      | change  | kind     | name    | fields                              |
      | changed | customer | a       | rate 5 > , asked by A > B           |
      | added   | model    | scribe  | asked by  > T                       |
      | removed | service  | booking | once /deposits > , asked by H >     |

  Scenario: A damaged file is accepted or refused, and never fails otherwise
    Guards against exceptions other than RuleError, and against faults with a
    line or column outside the file.
    Given 3000 damaged rule files from seed 7
    Then each is refused at a place in it, or keeps its rules when formatted

  Scenario: A large file is parsed in short steps
    Guards against a router that stops relaying streams while it parses new
    rules.
    Given a rule file with 2300 customers
    When it is parsed in steps
    Then it takes at least 20 steps and gives the same rules as in one step
