@long @processes
Feature: Untrusted callers of the gateway

  Real processes on loopback (one member, one router, one desk) and a small crowd of
  hostile callers, whose connections stay open while an ordinary request is sent.

  Scenario Outline: A crowd of hostile callers ends neither the gateway nor service
    Guards against memory and descriptors that grow with what callers send or leave
    unread, and against work per byte that leaves no time for others.
    Given a gateway with 128 MiB of memory and 64 descriptors
    When <count> hostile clients of the gateway send <kind>
    Then every process lives
    And it stays within its memory and descriptors
    And an ordinary request is answered afterwards

    Examples:
      | count | kind                                    |
      | 48    | bodies one byte short at once           |
      | 48    | bodies one byte short piece by piece    |
      | 48    | large chunks without their end          |
      | 48    | chunks of 16 bytes without their end    |
      | 48    | chunks of 1 byte without their end      |
      | 48    | bodies announced far over the limit     |
      | 48    | bodies far over the limit               |
      | 48    | header lines without an end             |
      | 48    | single bytes                            |
      | 48    | pipelined requests and read no answers  |
      | 24    | whole chats of many values              |
      | 48    | requests for long answers and read none |
      | 60    | nothing                                 |
      | 60    | half a head                             |
