@long @processes
Feature: Long documents of other writers

  A control member reads heartbeats and configurations of any length up to the
  limit for bodies (4 MiB). What one costs is bounded by its length, whatever it
  holds, and a fault in it is told in one line.

  # Each such heartbeat took a member over 296 MB, and the next node got it then.
  Scenario Outline: A long malformed document costs a member three times its bytes
    Guards against members that a document of another writer ends one by one.
    Given a platform site of 3 members, 1 proxies and 1 runners
    When member 1 gets <count> copies of <document>
    Then each is refused with a fault of <field> in at most 1024 bytes
    And member 1 has used at most 3.0 times their bytes for them
    And a heartbeat that follows is confirmed within 1.0 s

    Examples:
      | count | document                                            | field     |
      | 1     | a heartbeat with 500000 models without fields       | models[0] |
      | 1     | a heartbeat with 1390000 models without fields      | models[0] |
      | 12    | a heartbeat with 100000 models without fields       | models[0] |
      | 1     | a heartbeat with 70000 models                       | models    |
      | 1     | a configuration with 1000000 routes without fields  | routes[0] |
      | 1     | a configuration with 30000 routes without a service | routes[0] |
      | 1     | a configuration with 1000000 nested lists           | recursion |
      | 2     | a configuration with 100000 shares of unknown services | r      |

  # Of these, some took 0.9 s, in which a member did nothing else.
  Scenario Outline: A long document is read in short steps
    Guards against a member that is silent while it reads a document, and loses
    its leadership or its confirmation of a heartbeat by that.
    When <document> is read in steps
    Then the long document is <result>
    And no step takes more than a tenth of a leader's lease

    Examples:
      | document                                            | result              |
      | a heartbeat with 500000 models without fields       | refused             |
      | a heartbeat with 63 models                          | a heartbeat         |
      | a heartbeat with 64 models                          | refused             |
      | a heartbeat with 70000 models                       | refused             |
      | a heartbeat with 1390000 entries in a field unknown | a heartbeat         |
      | a heartbeat with 1390000 adapters of its model      | a heartbeat         |
      | a configuration with 1000000 routes without fields  | refused             |
      | a configuration with 10000 routes                   | a configuration     |
      | a configuration with 10000 routes and a last one without fields | refused |
      | a configuration with 45000 customers                | a configuration     |
      | a configuration with 60000 shares in one route      | a configuration     |

  Scenario: A list is split into lists of the same entries
    Guards against entries of a long list that are lost, doubled or cut.
    Then 400 generated lists are the same when they are split, seed 1

  Scenario: Whatever a document holds, it is read or refused
    Guards against an error of the process in place of the answer 400, and
    against an answer that is as long as the document.
    Then 400 generated documents of each kind are read or refused, seed 1
