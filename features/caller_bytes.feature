@long
Feature: Decoders of callers' bytes

  The same bytes are read the same way however they arrive, as h11 reads them
  when it gets all at once. Byte strings are generated with a fixed seed.

  Scenario: Bodies in chunks are decoded as by the reference in any cuts
    Guards against a body that two servers on its way delimit differently.
    Given generated bodies in chunks, sound and malformed
    Then 1500 of them give the same body, rest and fault in any cuts
    And no decoder holds more than its limit and one piece

  Scenario: Requests are read as by the reference in any cuts
    Guards against a request that depends on the segments in which it arrives, and
    against bytes of one request that are taken for another one.
    Given generated requests, sound and malformed
    Then 700 of them give the same requests and refusals in any cuts

  Scenario Outline: A head is bounded however it arrives
    Guards against a limit that holds only for heads in several parts.
    When a head of <size> bytes in <lines> lines arrives in pieces of <piece>
    Then it is <found> once <bytes> bytes have arrived at the most

    Examples: the limit is 16384 bytes and 1000 lines
      | size  | lines | piece | found   | bytes |
      | 16384 | 20    | 1     | whole   | 16384 |
      | 16384 | 20    | 70000 | whole   | 16384 |
      | 16385 | 20    | 1     | refused | 16384 |
      | 16385 | 20    | 70000 | refused | 16385 |
      | 9000  | 1001  | 1     | refused | 9000  |
      | 9000  | 1000  | 1     | whole   | 9000  |
