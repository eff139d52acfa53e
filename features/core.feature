Feature: Router leases

  Scenario: A new leader waits until its predecessor's leases have expired
    Guards against a change that is in force while a router still holds a lease
    granted by the previous leader.
    Given a lease table of a leader elected at 10.0 s
    Then index 5 is not in force at 12.0 s
    And index 5 is in force at 12.2 s

  Scenario: A delayed grant does not extend the lease past its bound
    Guards against a lease that starts when its grant arrives, not when the
    renewal was sent.
    Given a router that sent a renewal at 10.0 s
    When the grant of 2.0 s arrives at 11.9 s
    Then the router holds its lease at 11.95 s
    And the router does not hold its lease at 12.0 s
