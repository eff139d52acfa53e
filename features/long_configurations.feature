@alone @processes
Feature: Long configurations of an operator

  A configuration may be as long as the longest body, 4 MiB. Members replicate it
  while they serve heartbeats and leases. Runs alone, as its limits are those of
  the platform, in seconds.

  Scenario Outline: A long valid configuration is taken while leases are kept
    Load: ten requests a second. Guards against a bound by length that refuses
    what an operator may send, and against a leader that is lost to reading it.
    Given a platform site of 3 members, 2 proxies and 1 runners
    When a configuration of <bytes> bytes with <entries> is sent during requests
    Then it is confirmed within 4.0 s and read back as it was sent
    And no leader has been lost and every request has got 200

    Examples:
      | bytes   | entries   |
      | 300000  | customers |
      | 300000  | routes    |
      | 1500000 | customers |
      | 1500000 | routes    |
      | 4194304 | customers |
      | 4194304 | routes    |
