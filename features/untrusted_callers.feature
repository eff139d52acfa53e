@processes
Feature: Untrusted callers

  Real processes on loopback and a small crowd of hostile callers, whose
  connections stay open while an ordinary request is sent.

  Scenario Outline: A crowd of hostile callers ends neither a process nor service
    Guards against memory and descriptors that grow with what callers send, and
    against work per byte that leaves no time for others.
    Given processes with 88 MiB of memory and 64 descriptors
    When <count> callers of the <listener> send <kind>
    Then every process lives
    And it stays within its memory and descriptors
    And an ordinary request is answered afterwards

    Examples: the proxy
      | count | listener | kind                                   |
      | 48    | proxy    | bodies one byte short at once          |
      | 48    | proxy    | bodies one byte short piece by piece   |
      | 48    | proxy    | large chunks without their end         |
      | 48    | proxy    | chunks of 16 bytes without their end   |
      | 48    | proxy    | chunks of 1 byte without their end     |
      | 48    | proxy    | bodies announced far over the limit    |
      | 48    | proxy    | bodies far over the limit              |
      | 48    | proxy    | header lines without an end            |
      | 48    | proxy    | single bytes                           |
      | 48    | proxy    | pipelined requests and read no answers |
      | 60    | proxy    | nothing                                |
      | 60    | proxy    | half a head                            |

    Examples: the other listeners
      | count | listener | kind                                 |
      | 48    | ready    | bodies one byte short at once        |
      | 48    | control  | bodies one byte short at once        |
      | 48    | control  | chunks of 16 bytes without their end |
      | 60    | control  | half a head                          |
      | 48    | metrics  | bodies one byte short at once        |

  Scenario Outline: Memory alone bounds a crowd where descriptors do not
    Guards against a bound that holds only because few connections are served.
    Given processes with 88 MiB of memory and 1535 descriptors
    When <count> callers of the <listener> send <kind>
    Then every process lives
    And it stays within its memory and descriptors
    And an ordinary request is answered afterwards

    Examples:
      | count | listener | kind                                   |
      | 60    | proxy    | bodies one byte short at once          |
      | 60    | proxy    | bodies one byte short piece by piece   |
      | 60    | proxy    | large chunks without their end         |
      | 60    | proxy    | chunks of 16 bytes without their end   |
      | 60    | proxy    | chunks of 1 byte without their end     |
      | 60    | proxy    | bodies announced far over the limit    |
      | 60    | proxy    | bodies far over the limit              |
      | 60    | proxy    | pipelined requests and read no answers |
      | 60    | control  | bodies one byte short piece by piece   |
