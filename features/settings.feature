Feature: Settings, logs and metrics

  Scenario Outline: The example settings load
    Given a copy of the examples with secret files
    Then examples/<file> loads as <settings>

    Examples:
      | file         | settings       |
      | member.json5 | MemberSettings |
      | router.json5 | RouterSettings |
      | tool.json5   | ToolSettings   |

  Scenario: The example rule file is accepted
    Then examples/huts.rules is a valid rule file

  Scenario: Every fault is reported at once with value and allowed values
    Guards against a check that stops at the first fault, and against misspelled
    keys that are ignored.
    Given the settings file
      """
      {
        role: "router", // a comment
        name: "a b",
        credential: "short-secret",
        endpoint_credential_file: "none",
        members: [
          {name: "x", host: "localhost", port: 0, zone: 1},
          {name: "x", host: "::1"},
        ],
        listen: {host: "::1", port: -1},
        distances_ms: {a: -1, "b c": 2},
        class_fill: {guest: 0, nobody: 1},
        drain_s: "x",
        que_limit: 3,
        log_level: ["x"],
        max_streams: true,
      }
      """
    Then the settings are refused with exactly
      """
      name: 'a b'; allowed: 1 to 64 of A-Z a-z 0-9 _ -, starting with a letter or digit
      data_centre: missing; allowed: 1 to 64 of A-Z a-z 0-9 _ -, starting with a letter or digit
      credential: value not shown; allowed: 16 to 1024 characters without spaces
      members: 2 objects; allowed: a list of 1, 3 or 5 objects with name, host and port
      members[0].host: 'localhost'; allowed: an IP address
      members[0].port: 0; allowed: an integer from 1 to 65535
      members[0].zone: unknown key; allowed: host, name, port
      members[1].port: missing; allowed: an integer from 1 to 65535
      members: duplicate name; allowed: no duplicates
      log_level: ['x']; allowed: debug, info, warning, error
      listen.port: -1; allowed: an integer from 0 to 65535
      endpoint_credential_file: 'none' (No such file or directory); allowed: a readable file
      distances_ms.a: -1; allowed: a number from 0 to 10000
      distances_ms.b c: invalid data centre name; allowed: 1 to 64 of A-Z a-z 0-9 _ -, starting with a letter or digit
      class_fill.guest: 0; allowed: a number from 0.05 to 10
      class_fill.nobody: unknown key; allowed: availability, batch, guest, interactive
      drain_s: 'x'; allowed: a number from 0 to 3600
      max_streams: True; allowed: an integer from 1 to 100000
      que_limit: unknown key; allowed: class_fill, credential, data_centre, distances_ms, drain_s, endpoint_credential_file, listen, log_level, max_body_bytes, max_descriptors, max_streams, members, memory_mb, metrics, name, prefill_tokens_s, queue_limit, request_s, role, statsd, tunnels
      """

  Scenario Outline: Files that are no settings are refused
    Given the settings file
      """
      <text>
      """
    Then the settings are refused with "<fault>"

    Examples:
      | text                       | fault                          |
      | {                          | Unexpected end of input        |
      | []                         | not an object                  |
      | {role: "member", role: 1}  | Duplicate key "role"           |
      | {listen: 1}                | role: missing                  |
      | {role: "boss"}             | allowed: member, router, tool  |

  Scenario: A secret never appears in messages or in printed settings
    Given the settings file
      """
      {
        role: "router", name: "r", data_centre: "d", listen: {host: "::1", port: 0},
        credential: "very-secret-0123456789", endpoint_credential: "very-secret-0123456789",
        members: [{name: "a", host: "::1", port: 1}],
      }
      """
    Then the settings are refused with "endpoint_credential: equal to credential"
    And no message contains "very-secret"
    Given the settings file
      """
      {credential: "very-secret-0123456789", members: [{name: "a", host: "::1", port: 1}]}
      """
    Then the settings load and their repr omits "very-secret"

  Scenario: Serving with the tool's settings is refused
    Guards against a daemon that starts without a role.
    Given the settings file
      """
      {credential: "very-secret-0123456789", members: [{name: "a", host: "::1", port: 1}]}
      """
    Then serving with these settings is refused

  Scenario: Events are logged as JSON with their number
    Given logging to memory at level "info"
    When event "rules_applied" is logged with version 7
    And event "request_refused" is logged with version 8
    Then the only log line has event 304, name "rules_applied" and version 7

  Scenario: Logging an event that is not registered fails
    Guards against misspelled event names.
    Given logging to memory at level "error"
    Then logging event "rule_applied" fails
    And no two events share a number or a name

  Scenario: Counters reach statsd and are kept in process
    Given metrics with prefix "router-1" and a statsd socket
    When counter "refused.deadline" is incremented by 2
    And gauge "lease.held" is set to 1
    Then the socket receives "router-1.refused.deadline:2|c" and "router-1.lease.held:1|g"
    And the count of "refused.deadline" in process is 2

  Scenario: Without a statsd address counts stay in process
    Given metrics without a statsd address
    When counter "crossed.dropped" is incremented by 1
    Then the count of "crossed.dropped" in process is 1

  Scenario: Unknown metrics fail, and every reason has its counter
    Guards against misspelled metric names, and against a gauge that is used as
    a counter.
    Given metrics without a statsd address
    Then incrementing counter "refused.typo" fails
    And incrementing counter "lease.held" fails
    And each refusal and retry reason has a counter

  Scenario: The check of catalogues finds names that are not registered
    Given a package that logs "no_such_event" and counts "no.such"
    Then the catalogue check reports both places
