"""A member's part in learning the capacity of endpoints.

One router sees too few requests at each endpoint to learn quickly. Members pool
the samples of all routers, and tell the routers what follows from them.
"""

import math
from collections.abc import Hashable

from knapweedarch.capacity_messages import (
    MAX_ENTRIES,
    CapacityReport,
    SpeedReport,
    SpeedSample,
    pack_capacities,
    pack_samples,
    unpack_samples,
)
from knapweedarch.endpoint_capacity import CapacityTable

# A router's samples of one endpoint count at most this often, so that a single
# router that reports wrongly does not outweigh the others.
SAMPLE_INTERVAL_S = 0.4
# Interval of messages, and bytes a second to one router and to one member.
REPORT_INTERVAL_S = 0.25
ROUTER_BYTES_S = 900
MEMBER_BYTES_S = 4_000
# Entries of a message to a router. More of them would delay urgent changes.
MAX_CHANGES = 48
# Samples of one router within a message that are read.
MAX_SAMPLES = 64


class CapacityRelay:
    """Pools the samples of this member's routers and of the other members."""

    def __init__(self) -> None:
        self._table = CapacityTable()
        self._sampled_at: dict[Hashable, dict[int, float]] = {}
        self._to_members: list[SpeedSample] = []
        self._members_due_at = -math.inf
        self._routers_due_at = -math.inf

    def receive(
        self,
        sender: Hashable,
        report: SpeedReport,
        is_member: bool,
        now: float,
    ) -> None:
        """Adds the samples of a router, or those of a member's routers.

        Raises:
            ValueError: The report is malformed.
        """
        samples = unpack_samples(report.packed)
        if not is_member:
            samples = self._accepted(sender, samples[:MAX_SAMPLES], now)
            self._to_members.extend(samples)
            del self._to_members[:-MAX_ENTRIES]
        for sample in samples:
            self._table.add(sample, now)

    def remove(self, sender: Hashable) -> None:
        """Forgets a router whose link has closed."""
        self._sampled_at.pop(sender, None)

    def take_member_report(self, now: float) -> SpeedReport | None:
        """Returns the samples of this member's routers, if it is time."""
        if now < self._members_due_at or not self._to_members:
            return None
        report = SpeedReport(pack_samples(self._to_members))
        self._to_members.clear()
        self._members_due_at = now + _interval_s(report.packed, MEMBER_BYTES_S)
        return report

    def take_router_report(self, now: float) -> CapacityReport | None:
        """Returns the capacities that have changed, if it is time."""
        if now < self._routers_due_at:
            return None
        self._table.renew(now)
        changes = self._table.changes()[:MAX_CHANGES]
        self._table.mark_reported(changes)
        report = CapacityReport(pack_capacities(changes))
        self._routers_due_at = now + _interval_s(report.packed, ROUTER_BYTES_S)
        return report if changes else None

    def known(self) -> CapacityReport:
        """Returns what a router that has just subscribed must know."""
        return CapacityReport(
            pack_capacities(self._table.reported()[-MAX_ENTRIES:])
        )

    def _accepted(
        self, sender: Hashable, samples: tuple[SpeedSample, ...], now: float
    ) -> list[SpeedSample]:
        """Keeps one sample of an endpoint at most in each interval."""
        last = self._sampled_at.setdefault(sender, {})
        found = []
        for sample in samples:
            if now - last.get(sample.endpoint, -math.inf) < SAMPLE_INTERVAL_S:
                continue
            last.pop(sample.endpoint, None)
            last[sample.endpoint] = now
            found.append(sample)
        while len(last) > MAX_ENTRIES:
            del last[next(iter(last))]
        return found


def _interval_s(packed: bytes, bytes_s: float) -> float:
    """Returns after how many seconds the next message may follow."""
    return max(REPORT_INTERVAL_S, len(packed) / bytes_s)
