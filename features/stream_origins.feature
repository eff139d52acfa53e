Feature: Software versions at which streams began

  Routers and members run as objects in virtual time; messages between them take
  the time that a report waits and no longer.

  Scenario Outline: Any router finds where a stream began
    Guards against a version that is lost with the routers or members that learnt
    it, and against one that a retry finds wrong.
    Given <routers> routers, 5 members and streams of 3 versions
    When each router has begun 20 streams
    And <lost> lost all memory
    Then each router finds the version of every stream

    Examples:
      | routers | lost                   |
      | 9       | nobody has             |
      | 9       | all routers have       |
      | 9       | all members have       |
      | 9       | one member after another has |
      | 195     | all routers have       |
      | 195     | all members have       |

  Scenario: Streams are unknown, not guessed, once routers and members lost all
    Guards against a version that is made up for a stream that nobody remembers.
    Given 9 routers, 5 members and streams of 3 versions
    When each router has begun 20 streams
    And all routers and members have lost all memory
    Then no router finds the version of any stream

  Scenario: Reports of streams cost a router few messages and bytes
    Guards against control messages that grow with streams or routers: a router
    may spend 9 KB a second on all of them, of which loads, rates and leases leave
    2 KB.
    Given 9 routers, 5 members and streams of 3 versions
    When each router begins 13 streams a second for 10 s
    Then each router sends at most 20 messages and 400 bytes a second

  Scenario: Versions of streams are forgotten some time after the stream
    Guards against a table that grows with time.
    Given a table with room for 100 streams
    When 1000 streams are recorded, each for 30 s
    Then at most 100 of them are kept, the last ones
    And none is kept 36 s later

  Scenario Outline: Malformed reports of streams are refused
    Guards against a message that ends the process which reads it.
    When a member gets a report of streams with <fault>
    Then it is refused and the member's table is empty

    Examples:
      | fault                       |
      | a byte too few              |
      | a version that it does not name |

  Scenario Outline: What nobody remembers began at the only version ever
    Guards against streams that are refused although only one version could have
    begun them, and against a version that is forgotten with its endpoints.
    Given a state in which "chat" was served by software <versions>
    Then a stream of "chat" that nobody remembers began at <found>
    And it is the same after a snapshot is restored

    Examples:
      | versions | found   |
      | v1       | v1      |
      | v1 v1    | v1      |
      | v1 v2    | unknown |
      | v2 v1 v1 | unknown |

  Scenario Outline: Streams of a model may have begun at several services
    Guards against a stream that is taken for one of the only version that a
    service ever had, though another service of its model began it.
    Given a state in which service "chat" served "m" by v1 and "chat-2" served "<model>" by v2
    Then a stream of "m" that nobody remembers began at <of_m>
    And a stream of "" that nobody remembers began at unknown

    Examples:
      | model | of_m    |
      | m     | unknown |
      | n     | v1      |

  Scenario: A service that is called like a model began no streams of that model
    Guards against streams that are refused as two versions could have begun them,
    although one of these is of a plain service.
    Given a state in which service "chat" served "m" by v1 and the plain service "m" was v2
    Then a stream of "m" that nobody remembers began at v1
    And a stream of "" that nobody remembers began at unknown
    And it is the same after a snapshot is restored

  Scenario Outline: A router asks its member, then the leader
    Guards against a version that a router or member concludes which may not have
    heard of a newer one, and against callers that wait for what nobody can say.
    Given a router whose member <member> and whose leader <leader>
    When a stream that the router does not know is looked up
    Then its version is <found> within 0.8 s

    Examples:
      | member                      | leader          | found   |
      | knows v2                    | is not reached  | v2      |
      | knows nothing               | names only v1   | v1      |
      | knows nothing               | names v1 and v2 | unknown |
      | knows nothing               | is not reached  | unknown |
      | is not reached              | names only v1   | unknown |
      | is not reached              | knows v2        | v2      |
      | does not answer             | knows v2        | v2      |
      | does not answer             | is not reached  | unknown |
      | is asked twice and knows v2 | names only v1   | v2      |
      | knows nothing               | knows v2        | v2      |

  Scenario Outline: Routers out of step find the version or none
    Routers are cut off, one way too, frozen or killed, and members cut off from
    the others, while newer versions join. Guards against a version that a router
    concludes from what it knew before, and against look-ups that fail at routers
    in touch because one router or member is not.
    Given <routers> routers and 5 members, seed <seed>
    When they are out of step in turn while newer versions join
    Then no router finds another version than began a stream
    And routers in touch find each stream that began at one in touch

    Examples:
      | routers | seed     |
      | 9       | 7919     |
      | 9       | 104729   |
      | 9       | 15485863 |
      | 195     | 7919     |
