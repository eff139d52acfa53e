Feature: Members are replaced by new ones

  Members with other names and empty disks take the place of lost ones, as an
  operator's platform starts them.

  Scenario: A member without a leader tells which voters answer
    Guards against an outage of which no member can say why nobody leads.
    Given 5 members whose leader has led for 20.0 s
    When three of them stop, the leader among them
    And 3.0 s pass
    Then a member that is left tells that 2 of 5 voters answer
