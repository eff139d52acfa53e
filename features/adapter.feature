@processes
Feature: Decoding of the platform's messages and settings

  Scenario: A configuration is decoded once, into the project's types
    Guards against a key that is decoded into the wrong field: several keys have
    other meanings in other messages.
    Given the platform's example configuration
    Then route "r-27eya6u" splits 90 to 10 and times out after 6 s
    And route "r-6sz9frg" is resumable and sends all traffic to "huvo11a"
    And the store holds 600829 tokens in "sapporo-b"
    And customer "sese880" holds 2 keys and is isolated
    And a configuration with unknown fields is decoded to the same value

  Scenario Outline: An invalid configuration is refused
    Guards against a configuration in force that the proxies cannot apply.
    Given the platform's example configuration
    When <fault>
    Then the configuration is refused

    Examples:
      | fault                                |
      | its last 40 bytes are missing        |
      | a route names an unknown service     |
      | two routes have one host and prefix  |
      | the weights of a route add up to 0   |
      | a timeout is 0                       |
      | two customers share a key            |
      | the version is a string              |
      | the routes are missing               |
      | a weight is negative                 |
      | a prefix has no slash at its end     |
      | the body is a list                   |

  Scenario Outline: A malformed heartbeat is refused
    Guards against requests sent to an endpoint from a malformed heartbeat.
    Given the platform's example heartbeat
    When its <field> is <value>
    Then the heartbeat is refused

    Examples:
      | field       | value      |
      | state       | "asleep"   |
      | state       | ["ready"]  |
      | service     | 7          |
      | address     | "nowhere"  |
      | callSeq     | "4"        |
      | concurrency | -1         |
      | models      | "all"      |
      | born        | 1.5        |
      | callSeq     | 1e999      |
      | concurrency | 1000000000000000000000000000000 |
      | address     | "10.0.0.1:99999" |
      | address     | "10.0.0.1:0" |
      | address     | "10.0.0.300:80" |
      | address     | "\u0661\u0660.0.0.1:80" |
      | service     | "\ud800"  |
      | version     | "\ud800"  |
      | version     | 2          |
      | zone        | "\ud800"  |
      | coldLeftMs  | "soon"     |
      | coldLeftMs  | null       |

  # One such heartbeat for an endpoint's address, of an unknown sender, kept the
  # endpoint from all routers for good, as a missing number of slots counted as one.
  Scenario Outline: A heartbeat that lacks a field is refused
    Guards against a heartbeat of an unknown sender that is taken for an endpoint.
    Given the platform's example heartbeat
    When it has no field <field>
    Then the heartbeat is refused

    Examples:
      | field       |
      | service     |
      | address     |
      | zone        |
      | version     |
      | concurrency |
      | state       |
      | coldLeftMs  |
      | callSeq     |

  Scenario Outline: A heartbeat that is nested deeply is refused
    Guards against a member that ends while it reads or shows a message.
    Given the platform's example heartbeat
    When its <field> nests <depth> lists
    Then the heartbeat is refused

    Examples:
      | field   | depth  |
      | address | 400    |
      | models  | 900    |
      | models  | 990    |
      | address | 100000 |

  Scenario: A heartbeat is decoded into an endpoint
    Guards against a restarted endpoint that is taken for the one before it.
    Given the platform's example heartbeat
    When its born is 1700000000123
    Then the endpoint has incarnation "1700000000123" and weights "1"
    And the endpoint serves "huvo11a" and "daka510000"

  Scenario Outline: A report says which incarnation it is of
    Guards against an endpoint that started again and is taken for the one before
    it, and against one that is refused since it does not say.
    When a runner's report has <born>
    Then it is of <incarnation>

    Examples:
      | born                    | incarnation   |
      | "born": 1700000000123   | 1700000000123 |
      | "busy": false           | unknown       |
      | "born": "1700000000123" | refused       |
      | "born": 1.5             | refused       |

  # A prompt whose parts had more tokens than the prompt ended its router, as the
  # tokens that are left to read were negative in the loads it reports.
  Scenario Outline: The counts of a prompt agree whatever its headers say
    Guards against a caller that ends the process, and all other requests on it.
    When a caller names the token count <count> and the parts <parts>
    Then the prompt has <tokens> tokens, and a runner that has all parts reads <read>
    And the header is <header>

    Examples:
      | count  | parts          | tokens | read | header       |
      | 900,20 | a:500,b:400    | 900    | 400  | not reported |
      | 950,20 | a:500,b:400    | 950    | 450  | not reported |
      | none   | a:500,b:400    | 900    | 400  | reported     |
      | 0,20   | a:500,b:400    | 900    | 400  | reported     |
      | 400,20 | a:500,b:400    | 900    | 400  | reported     |
      | none   | a:999999999999999,b:1 | 1000000000000000 | 1 | reported |
      | none   | none           | 0      | 0    | not reported |

  # One spoiled event ended every member that read it, and kept all other events
  # of its runner from being read.
  Scenario Outline: A cache event that cannot be read is left out
    Guards against malformed events that enter the index of cached parts, and
    against events of a faulty runner that no member can go on with.
    When cache events with the row <row> arrive
    Then the row is left out and counted, and the others are kept
    And each part that is kept has a digest

    Examples:
      | row                                |
      | [1, "*", "s", "p", 5, "m"]         |
      | [1, "+", 7, "p", 5, "m"]           |
      | {"number": 1}                      |
      | ["1", "+", "s", "p", 5, "m"]       |
      | [1, "+", "s", "5c\ud83d7a", 5, "m"] |
      | [1, "+", "\udc00s", "p", 5, "m"]   |
      | [1, "-", "s", "\ud83d", 5, "m"]    |
      | [1, "+", "s"]                      |
      | [true, "+", "s", "p", 5, "m"]      |
      | null                               |
      | []                                 |

  Scenario: Any cache events are either refused or can be used
    Guards against an error other than a refusal, which ended the process.
    Then 3000 random lists of cache events are refused or can be used, seed 1

  Scenario Outline: A list of cache events that cannot be read is refused
    Guards against events that are taken up at the wrong place.
    When a list of cache events with <field> arrives
    Then the list is refused

    Examples:
      | field                         |
      | "changes": {}                 |
      | "changes": "none"             |
      | "bootEpoch": -1               |
      | "nextToken": 1.5              |
      | "nextToken": 1e400            |
      | "lost": "\ud83d"              |

  Scenario: The settings file is checked and unknown fields are ignored
    Guards against a process that starts with missing or invalid settings.
    Given the platform's settings of a core instance
    Then the member has 3 seeds, 5 voters and a lease of 3.5 s
    And a settings file without "portRange" is refused
    And a settings file with "portRange" set to "many" is refused
    And a settings file with "seedNodes" set to "nowhere" is refused
    And a settings file with "faultBudget.machines" set to "two" is refused

  Scenario: SIGHUP reloads changed settings, and invalid ones are refused
    Guards against a SIGHUP that ends the process and aborts its requests.
    Given a proxy process started as on the platform
    When its settings name another seed and it receives SIGHUP
    Then it logs the event "settings_reloaded"
    When its settings file is emptied and it receives SIGHUP
    Then it logs the event "settings_refused"
    And it exits with code 0 after SIGTERM

  Scenario: A process that gets SIGHUP while it starts goes on
    Guards against a change of the settings that ends the processes which are just
    being started.
    Given a proxy process that waits for its settings as it starts
    When it receives SIGHUP
    And it gets its settings
    Then it logs the event "started"
    And it exits with code 0 after SIGTERM

  Scenario: Settings that change while a process starts are applied
    Guards against a process that looks for the group at seeds which are gone.
    Given a proxy process that waits for its settings as it starts
    When it gets its settings, and then the file names another seed
    Then it logs the event "settings_reloaded"
    And it logs the event "started"
    And it exits with code 0 after SIGTERM

  Scenario: Any member can take a leaving runner out of use
    Guards against a confirmed leave that is lost, because the member that gets
    the call lags behind the leader and does not know the endpoint yet.
    Given a member whose own state holds no endpoint
    And the log holds runner "i-1" of incarnation "5"
    When the member handles a DELETE request for instance "i-1"
    Then the call is confirmed and runner "i-1" has status leaving

  Scenario: A member keeps that it forms the group before its slow imports
    Guards against a deployment that nobody forms, after all members were killed
    while they imported their modules and came back with bootstrap false.
    Given the settings of a first start
    When the first lines of the member's process run
    Then a journal without bootstrap knows the seeds
    And no slow module was imported
