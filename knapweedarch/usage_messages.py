"""Messages about the work that customers ask for, summed over routers."""

import struct
from collections.abc import Iterable

import attrs
import xxhash

# Largest number of entries in a message.
MAX_USAGE_ENTRIES = 64
# Work is packed in units of this many tokens.
WORK_UNIT = 64
# Entries of a pool that are not about one customer.
ADMITTED_TOTAL = 0
OFFERED_TOTAL = 1
WAITING_TOTAL = 2
_TOTALS = (ADMITTED_TOTAL, OFFERED_TOTAL, WAITING_TOTAL)
# A packed entry: hash of the pool, hash of the customer, work.
_ENTRY = struct.Struct(">IIH")
MAX_WORK = 0xFFFF * WORK_UNIT


@attrs.frozen
class UsageEntry:
    """Work since the last message.

    Attributes:
        pool: Hash of a service and a priority; see `usage_digest`.
        customer: Hash of the customer's name; `ADMITTED_TOTAL` for the work of
            all customers that was sent to runners, `OFFERED_TOTAL` for the
            work that all of them asked for; `WAITING_TOTAL` for the work that
            waits at routers, multiplied by the seconds.
        work: The work in tokens, up to `MAX_WORK`.
    """

    pool: int
    customer: int
    work: int


@attrs.frozen
class UsageReport:
    """Work of the heaviest customers since the last message.

    From a router: its own. From a member to another one: that of its routers.
    From a member to a router: that of all others.

    Attributes:
        packed: Entries, packed by `pack_usage`.
    """

    packed: bytes = b""


def usage_digest(*names: object) -> int:
    """Returns the hash that stands for a pool or a customer in messages."""
    text = "\0".join(map(str, names))
    return max(max(_TOTALS) + 1, xxhash.xxh32_intdigest(text.encode()))


def pack_usage(entries: Iterable[UsageEntry]) -> bytes:
    """Packs entries; the work is rounded to a multiple of `WORK_UNIT`."""
    return b"".join(
        _ENTRY.pack(
            entry.pool,
            entry.customer,
            min(round(entry.work / WORK_UNIT), MAX_WORK // WORK_UNIT),
        )
        for entry in entries
    )


def unpack_usage(data: bytes) -> tuple[UsageEntry, ...]:
    """Unpacks entries.

    Raises:
        ValueError: The data is no sequence of entries, or too long.
    """
    if len(data) % _ENTRY.size or len(data) > MAX_USAGE_ENTRIES * _ENTRY.size:
        raise ValueError(f"{len(data)} bytes are no packed usage")
    return tuple(
        UsageEntry(pool, customer, units * WORK_UNIT)
        for pool, customer, units in _ENTRY.iter_unpack(data)
    )


def heaviest(work: dict[tuple[int, int], float]) -> list[tuple[int, int]]:
    """Returns the pools and customers that fit into a message.

    Totals come first, then the customers with the most work.
    """
    keys = sorted(
        (key for key, tokens in work.items() if tokens >= WORK_UNIT / 2),
        key=lambda key: (key[1] not in _TOTALS, -work[key]),
    )
    return keys[:MAX_USAGE_ENTRIES]
