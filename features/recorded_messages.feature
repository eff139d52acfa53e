Feature: Builds read what earlier builds wrote

  Builds of two versions run side by side while instances are replaced. What the
  earlier build wrote is stored in features/recorded; scripts/record_messages.py
  adds another one.

  Scenario Outline: Messages of an earlier build are read with the same values
    Guards against a field that is renamed, moved, removed or put before others.
    Given what build <build> wrote
    Then every message is read, and its fields come first in the same order

    Examples:
      | build   |
      | 8ae812b |
      | b741cbf |

  Scenario Outline: Messages with fields of a later build are read
    Guards against a build that cannot run beside one that sends new fields.
    Given what build <build> wrote
    Then every message is read with another field at its end

    Examples:
      | build   |
      | 8ae812b |
      | b741cbf |

  Scenario Outline: A journal with a snapshot of an earlier build is read
    Guards against a member that loses its state at an update.
    Given what build <build> wrote
    Then its journal holds the snapshot at 4 and entry 5 of term 2
    And the state in its snapshot is whole

    Examples:
      | build   |
      | 8ae812b |
      | b741cbf |
