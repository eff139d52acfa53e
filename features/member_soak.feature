@processes
Feature: Real members are lost and replaced while a site is in use

  Member and proxy processes as the platform starts them, under a seeded schedule
  of kills, lost disks, replacements, pauses and changed seeds that overlap within
  the budget of losses. Longer runs: `python -m standins.member_soak --help`.

  Scenario Outline: A site keeps what it confirmed while members are replaced
    Load: an operator who changes the configuration all the time, readers at every
    member, heartbeats of endpoints and bookings. Guards against a configuration
    that is lost, shown in an older state or not confirmed in a calm moment, a
    booking that runs twice, a member that ends by itself, and changes of members
    without end.
    Then a soak of seed <seed> for <seconds> s breaks no rule

    Examples:
      | seed | seconds |
      | 1    | 12.0    |
      | 2    | 12.0    |

  Scenario: A site starts although its first seed is killed as it starts
    Guards against a group that is never formed.
    Then a soak of seed 5 for 1.0 s breaks no rule, though the first seed is killed at the start

  Scenario: A member that is stopped by plan leaves its vote to its successor
    Guards against a group that ends when two members are lost right after a third
    one was replaced by plan, its successor having had the time to synchronise.
    Then a change is confirmed within 12.0 s after a planned replacement and the loss of two
