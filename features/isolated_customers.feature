Feature: Customers that share no cached parts

  # A customer that became isolated got a text of its own for its cached parts, but
  # those that it had cached before stayed under the text that all others use.
  Scenario Outline: A customer that becomes isolated shares nothing from before
    Guards against requests that are prefilled from parts which an isolated customer
    made before it was isolated, or the other way round.
    Given two routers, and the customers a, b and c who have sent one prompt
    When <changes>
    And <event>, and all send it
    Then no customer uses a part of another one, if one of the two is isolated

    Examples:
      | changes                                       | event                                  |
      | a is isolated                                 | nothing else happens                   |
      | a is isolated                                 | the routers restart                    |
      | a is isolated                                 | the members restore a snapshot         |
      | a is isolated                                 | a member of the build before leads     |
      | a is isolated                                 | one of two routers hears that b is isolated as well |
      | a is isolated, then a and b                   | nothing else happens                   |
      | a is isolated, then b                         | the routers restart                    |
      | a is isolated, then nobody, then a            | nothing else happens                   |
      | a is isolated, then nobody, then a            | the members restore a snapshot         |
      | a is isolated, then nobody, then a            | a member of the build before leads     |
      | a is isolated, then b, then a                 | nothing else happens                   |
      | a is removed, then back and isolated          | nothing else happens                   |
      | a is isolated, then removed, then back and isolated | the routers restart              |

  Scenario: A request waits while its customer becomes isolated
    Guards against a request that was read under the configuration before and is sent
    with what others have cached.
    Given two routers, and the customers a, b and c who have sent one prompt
    When a request of b is read, and b is isolated before it is sent
    Then the request uses no part of another customer

  # Endpoints keep parts that come without a salt under one text for all callers.
  Scenario: An isolated customer's request names no model
    Guards against parts that a runner caches for everyone, as a request without a
    model was sent without a salt.
    Given two routers, and the customers a, b and c who have sent one prompt
    When a is isolated and sends nothing
    Then requests without a model have a salt at a runner, that of a its own
    And they have none at a plain service

  Scenario Outline: What is cached is used after a change that isolates nobody
    Guards against a change of the configuration, or a restart, after which all prompts
    are read anew.
    Given two routers, and the customers a, b and c who have sent one prompt
    When <changes>, and all have sent it again
    And <event>
    Then each customer finds what it found before

    Examples:
      | changes                   | event                          |
      | nothing is changed        | a priority is changed          |
      | nothing is changed        | a customer is added            |
      | nothing is changed        | the routers restart            |
      | nothing is changed        | the members restore a snapshot |
      | a is isolated             | a priority is changed          |
      | a is isolated             | a customer is added            |
      | a is isolated             | a is isolated no more          |
      | a is isolated             | a is removed                   |
      | a is isolated             | the routers restart            |
      | a is isolated             | the members restore a snapshot |

  Scenario: A change that isolates a customer costs the others their cache once
    Guards against a text that changes again with each restart or each router.
    Given two routers, and the customers a, b and c who have sent one prompt
    When a is isolated and sends nothing
    Then the first request of b misses, and no other one of b or c at any router

  # The build before knows one text for all customers that are not isolated.
  Scenario: A router of the build before is told of no customer that shares
    Guards against a router that has not been updated yet and goes on using what was
    cached before the change.
    Given two routers, and the customers a, b and c who have sent one prompt
    And one of the routers is of the build before
    When a is isolated
    And nothing else happens, and all send it
    Then no customer uses a part of another one, if one of the two is isolated

  Scenario: No order of changes, restarts and builds lets an isolated customer share
    Guards against an order of events that nobody thought of.
    When 300 seeded runs of 80 random events are played
    Then cached parts were used, by other customers too
    And no customer used a part of another one, if one of the two was isolated
