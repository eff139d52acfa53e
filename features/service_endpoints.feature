Feature: Which endpoints a router uses for a service

  Several endpoints may be registered at one address: one that has crashed and
  its successor, or one that runs and one that an unknown sender registered.

  # One later registration for the address of each endpoint kept a router from
  # serving anything for good, although all endpoints sent their heartbeats.
  Scenario Outline: A registration that cannot be used hides no endpoint
    Guards against an endpoint that gets no requests, though it is there, as
    another registration for its address started later.
    Given a deployment with the model service "chat" and the service "desk"
    And the endpoint "own" of "chat" with the model "m"
    When a later registration at its address is <registration>
    Then the requests for "chat" may go to "own"

    Examples:
      | registration                   |
      | of a service that is not named |
      | of "chat" without models       |
      | of "chat" and silent           |
      | of "chat" and leaving          |
      | of "desk" and silent           |

  Scenario: A later start hides the endpoint that had its address before
    Guards against requests for an endpoint that has crashed, at whose address
    another one has started.
    Given a deployment with the model service "chat" and the service "desk"
    And the endpoint "own" of "chat" with the model "m"
    When a later registration at its address is of "desk" and active
    Then the requests for "chat" may go to nobody
    And the requests for "desk" may go to "other"

  Scenario: An endpoint that is not at its address hides none
    Guards against an endpoint that gets no requests while an unknown sender has
    registered a complete endpoint at its address.
    Given a deployment with the model service "chat" and the service "desk"
    And the endpoint "own" of "chat" with the model "m"
    When a later registration at its address is of "chat" with models
    Then the requests for "chat" may go to "other"
    When the server at the address answers that it is not "other"
    Then the requests for "chat" may go to "own"

  Scenario: A configuration that names a service uses its endpoints at once
    Guards against endpoints that are known before their service and get no
    requests once it is configured.
    Given a deployment with the model service "chat" and the service "desk"
    And the endpoint "own" of "chat" with the model "m"
    When a later registration at its address is of a service that is not named
    And a deployment names that service as well
    Then the requests for "chat" may go to nobody
    And the requests for "later" may go to "other"

  # One table held endpoints by the names of their services and of their models, so
  # a route that moved to a service called like a model kept its old endpoints.
  Scenario: A service that is called like a model has its own endpoints only
    Guards against requests that are run by endpoints of another service.
    Given a deployment with the model service "chat" and the service "desk"
    And the endpoint "own" of "chat" with the model "m"
    When a later registration at another address is of "m" with models
    And a deployment names that service as well
    Then the requests for "chat" may go to "own"
    And the requests for "m" may go to "other"

  Scenario Outline: A service that is called like a model need not have that model
    Guards against a request that is sent to a runner without its model.
    Given a deployment with the model service "chat" and the service "desk"
    And the endpoint "own" of "chat" with the model "<model>"
    Then the requests for "chat" and model "chat" go to <found>

    Examples:
      | model | found  |
      | m     | nobody |
      | chat  | "own"  |
