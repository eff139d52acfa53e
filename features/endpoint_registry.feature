Feature: The leader's endpoint registry

  Scenario Outline: A returning runner with outdated weights must load new ones
    Guards against requests to a runner whose weights became outdated while it
    was away.
    Given active runner "a" with weights <others>
    And runner "b" with weights 1 is <before>
    And weights 2 are the target
    When runner "b" sends a heartbeat with weights <reported>
    Then runner "b" is <after>

    Examples:
      | others | before  | reported | after   |
      | 2      | silent  | 1        | loading |
      | 2      | unknown | 1        | loading |
      | 2      | silent  | 2        | active  |
      | 1      | silent  | 1        | active  |
      | 2      | active  | 1        | active  |

  Scenario: A service that is called like a model has no weights of that model
    Guards against a returning runner that is kept out of use for a model that it
    does not have.
    Given an active runner "a" of a service called like the model, with weights 2
    And a runner "b" of the same service with weights 1 is silent
    And weights 2 are the target
    When that runner "b" sends a heartbeat
    Then runner "b" is active

  Scenario: A later start at an address replaces the earlier instance
    Guards against requests to an instance whose address another instance has
    taken over.
    Given active runner "a" with weights 1
    When runner "c" starts later at the address of runner "a"
    Then runner "a" is silent
    And runner "c" is active

  Scenario Outline: A heartbeat that cannot be used replaces no endpoint
    Guards against an endpoint that is out of use, or replaced under its id, for
    a heartbeat of an unknown sender.
    Given active runner "a" with weights 1
    And a configuration whose service "models" has runners
    When a heartbeat of <service> without models arrives as <id>
    Then runner "a" is active and serves its model

    Examples:
      | service | id  |
      | nobody  | "c" |
      | models  | "c" |
      | nobody  | "a" |
      | models  | "a" |

  # The leader's table of heartbeats is not replicated. The first heartbeat that a
  # new leader got took the place of an endpoint that had started later.
  Scenario Outline: A heartbeat of an earlier start replaces none at a new leader
    Guards against a late heartbeat, or one without a start time, after which
    the heartbeats of the endpoint itself are ignored.
    Given active runner "a" with weights 1
    And another member becomes the leader
    When a heartbeat of service "desk" that started at <start> arrives as "a"
    Then runner "a" is active and serves its model

    Examples:
      | start |
      | 0     |
      | 99    |

  Scenario: An endpoint that goes on is used again once a later start is silent
    Guards against an endpoint that stays out of use although it sends heartbeats.
    Given active runner "a" with weights 1
    When runner "c" starts later at the address of runner "a"
    And runner "a" sends heartbeats, and "c" none, until "c" is silent
    Then runner "a" is active
    And runner "c" is silent

  Scenario: A heartbeat at a member that is not the leader is refused
    Guards against a heartbeat that is confirmed by a member that is no longer
    the leader, and is then lost.
    Given active runner "a" with weights 1
    When the member is no longer the leader
    Then a heartbeat of a new runner raises an error and stores nothing

  Scenario: A heartbeat of unknown outcome is not confirmed
    Guards against an endpoint that stops announcing itself after the
    confirmation of a heartbeat that was never committed.
    Given active runner "a" with weights 1
    When the leader changes before the commit
    Then the heartbeat of a new runner is refused as unknown_outcome
    When the leader is known again
    Then the same heartbeat is confirmed and stored
