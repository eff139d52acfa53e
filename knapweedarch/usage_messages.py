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
# A packed entry: hash of the pool, hash of the customer, work. The work is a
# number of units of up to 13 bits, shifted by the number in the other 3 bits:
# that of 600 runners does not fit into 16 bits.
_ENTRY = struct.Struct(">IIH")
_UNIT_BITS = 13
MAX_EXACT_UNITS = (1 << _UNIT_BITS) - 1
_MAX_SHIFT = 7
MAX_WORK = (MAX_EXACT_UNITS << _MAX_SHIFT) * WORK_UNIT


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
    """Packs entries.

    The work is rounded to a multiple of `WORK_UNIT`, or of a larger unit if it
    is more than `MAX_EXACT_UNITS` of these.
    """
    return b"".join(
        _ENTRY.pack(entry.pool, entry.customer, _pack_work(entry.work))
        for entry in entries
    )


def _pack_work(work: float) -> int:
    units = min(work, MAX_WORK) / WORK_UNIT
    shift = 0
    while round(units / (1 << shift)) > MAX_EXACT_UNITS:
        shift += 1
    return shift << _UNIT_BITS | round(units / (1 << shift))


def _unpack_work(packed: int) -> int:
    units = (packed & MAX_EXACT_UNITS) << (packed >> _UNIT_BITS)
    return units * WORK_UNIT


def unpack_usage(data: bytes) -> tuple[UsageEntry, ...]:
    """Unpacks entries.

    Raises:
        ValueError: The data is no sequence of entries, or too long.
    """
    if len(data) % _ENTRY.size or len(data) > MAX_USAGE_ENTRIES * _ENTRY.size:
        raise ValueError(f"{len(data)} bytes are no packed usage")
    return tuple(
        UsageEntry(pool, customer, _unpack_work(work))
        for pool, customer, work in _ENTRY.iter_unpack(data)
    )


def heaviest(work: dict[tuple[int, int], float]) -> list[tuple[int, int]]:
    """Returns the pools and customers that fit into a message.

    Totals come first, then the customers with the most work.
    """
    return by_importance(work)[:MAX_USAGE_ENTRIES]


def by_importance(
    work: dict[tuple[int, int], float],
) -> list[tuple[int, int]]:
    """Returns pools and customers: totals first, then those with most work."""
    return sorted(
        (key for key, tokens in work.items() if tokens >= WORK_UNIT / 2),
        key=lambda key: (key[1] not in _TOTALS, -work[key]),
    )
