"""How much work customers ask for, and the fair share of each.

Work is counted in tokens: those of a prompt that must be prefilled, plus ten
times those of its answer. It is counted by pool, a service and a priority, over
all routers as far as their reports arrive, and else for this router alone.
Recent work counts most. All times are seconds on the router's clock.
"""

import math
from collections.abc import Iterable

import attrs

from knapweedarch import usage_messages
from knapweedarch.exponential import decay_factor
from knapweedarch.usage_messages import (
    ADMITTED_TOTAL,
    MAX_USAGE_ENTRIES,
    MAX_WORK,
    OFFERED_TOTAL,
    WAITING_TOTAL,
    UsageEntry,
    UsageReport,
    heaviest,
    pack_usage,
    unpack_usage,
)

# Work of a token of an answer in tokens of a prompt: it takes one step of the
# runner, in which others are generated beside it.
ANSWER_TOKEN_WORK = 10
# Time after which work counts half.
USAGE_HALF_LIFE_S = 1.0
# Reports of the other routers count while the last one is no older than this.
# Members send one at least each 0.5 s while any router has work to report.
PEERS_MAX_AGE_S = 1.5
# Most by which a customer's part is raised if little of its work was sent.
MAX_CORRECTION = 2.0
# Customers of a pool that are remembered; beyond it the lightest are forgotten.
MAX_CUSTOMERS = 2 * MAX_USAGE_ENTRIES
# Least level of a fair division, as a part of an equal share of the capacity.
LEAST_LEVEL_PART = 0.1


def work_of(unread_tokens: int, answer_tokens: int) -> int:
    """Returns the work of a request in tokens."""
    return unread_tokens + ANSWER_TOKEN_WORK * answer_tokens


@attrs.define
class DecayedSum:
    """A sum in which recent values count most.

    Attributes:
        half_life_s: Time after which a value counts half.
    """

    half_life_s: float = USAGE_HALF_LIFE_S
    _sum: float = 0.0
    _at: float = 0.0

    def add(self, value: float, now: float) -> None:
        """Adds a value."""
        self._sum = self.at(now) + value
        self._at = now

    def at(self, now: float) -> float:
        """Returns the sum."""
        if not self._sum or now == self._at:
            return self._sum
        return self._sum * decay_factor(now - self._at, self.half_life_s)

    def rate(self, now: float) -> float:
        """Returns the values a second, once they were added for a while."""
        return self.at(now) * math.log(2) / self.half_life_s


@attrs.define
class _Shares:
    """Work of one part of the routers in one pool.

    Attributes:
        offered: Work asked for, by customer.
        offered_total: The same of all customers, those that are not listed
            included.
        admitted: Work sent to runners.
        waiting: Work that waited at routers, multiplied by the seconds.
    """

    offered: dict[int, DecayedSum] = attrs.field(factory=dict)
    offered_total: DecayedSum = attrs.field(factory=DecayedSum)
    admitted: DecayedSum = attrs.field(factory=DecayedSum)
    waiting: DecayedSum = attrs.field(factory=DecayedSum)

    def add(self, customer: int, work: float, now: float) -> None:
        """Adds an entry of a report."""
        match customer:
            case usage_messages.ADMITTED_TOTAL:
                self.admitted.add(work, now)
            case usage_messages.OFFERED_TOTAL:
                self.offered_total.add(work, now)
            case usage_messages.WAITING_TOTAL:
                self.waiting.add(work, now)
            case _:
                _sum_of(self.offered, customer).add(work, now)

    def offered_by(self, customer: int, now: float) -> float:
        """Returns the work that a customer asked for."""
        found = self.offered.get(customer)
        return found.at(now) if found else 0.0


class CustomerUsage:
    """Work of the customers by pool, as one router knows it."""

    def __init__(self) -> None:
        self._own: dict[int, _Shares] = {}
        self._peers: dict[int, _Shares] = {}
        self._peers_at = -math.inf
        # Work that this router has sent to runners, by pool and customer.
        self._served: dict[int, dict[int, DecayedSum]] = {}
        self._unreported: dict[tuple[int, int], float] = {}

    def record_offered(
        self, pool: int, customer: int, work: float, now: float
    ) -> None:
        """Records that a customer asks this router for work."""
        self._record(pool, customer, work, now)
        self._record(pool, OFFERED_TOTAL, work, now)

    def record_admitted(
        self, pool: int, customer: int, work: float, now: float
    ) -> None:
        """Records that this router sends a customer's work to a runner."""
        self._record(pool, ADMITTED_TOTAL, work, now)
        served = self._served.setdefault(pool, {})
        _sum_of(served, customer).add(work, now)

    def part_due(
        self, pool: int, customer: int, level: float, now: float
    ) -> float:
        """Returns which part of a customer's work should be sent to runners.

        It is what its fair share allows, corrected by what this router has sent
        lately: a router that has many requests at the runners learns first when
        one ends, and would otherwise serve its customers better.

        Args:
            pool: The pool.
            customer: The customer.
            level: Most recent work within its share, in tokens.
            now: The time.
        """
        offered = self.offered(pool, customer, now)
        if offered <= level:
            return 1.0
        due = level / offered
        own = self._own.get(pool)
        served = self._served.get(pool, {}).get(customer)
        if own is None or served is None:
            return due
        due_work = due * own.offered_by(customer, now)
        ratio = due_work / max(1.0, served.at(now))
        return min(1.0, due * min(MAX_CORRECTION, max(ratio, 0.0)))

    def record_waiting(
        self, pool: int, work: float, seconds: float, now: float
    ) -> None:
        """Records that work has waited at this router for a time."""
        self._record(pool, WAITING_TOTAL, work * seconds, now)

    def wait_s(self, pool: int, now: float) -> float:
        """Returns how long recent work has waited on average, in seconds."""
        parts = self._parts(pool, now)
        waited = sum(shares.waiting.at(now) for shares in parts)
        return waited / max(1.0, self.admitted(pool, now))

    def _record(
        self, pool: int, customer: int, work: float, now: float
    ) -> None:
        shares = self._own.get(pool)
        if shares is None:
            shares = self._own[pool] = _Shares()
        shares.add(customer, work, now)
        key = (pool, customer)
        self._unreported[key] = self._unreported.get(key, 0.0) + work

    def receive(self, report: UsageReport, now: float) -> None:
        """Counts the work of the other routers.

        Raises:
            ValueError: The report is malformed.
        """
        for entry in unpack_usage(report.packed):
            shares = self._peers.setdefault(entry.pool, _Shares())
            shares.add(entry.customer, entry.work, now)
        self._peers_at = now

    def take_report(self) -> UsageReport | None:
        """Returns what is to be reported to the member, if anything is.

        Work beyond the heaviest customers is not reported; it is part of the
        total.
        """
        entries = [
            UsageEntry(*key, min(round(self._unreported[key]), MAX_WORK))
            for key in heaviest(self._unreported)
        ]
        self._unreported.clear()
        return UsageReport(pack_usage(entries)) if entries else None

    def is_shared(self, now: float) -> bool:
        """Returns whether the work of the other routers is known."""
        return now - self._peers_at <= PEERS_MAX_AGE_S

    def offered(self, pool: int, customer: int, now: float) -> float:
        """Returns the recent work that a customer asked for, in tokens."""
        return sum(s.offered_by(customer, now) for s in self._parts(pool, now))

    def offered_total(self, pool: int, now: float) -> float:
        """Returns the recent work that all customers asked for, in tokens."""
        return sum(s.offered_total.at(now) for s in self._parts(pool, now))

    def admitted(self, pool: int, now: float) -> float:
        """Returns the recent work that was sent to runners, in tokens."""
        return sum(s.admitted.at(now) for s in self._parts(pool, now))

    def offered_rate(self, pool: int, now: float) -> float:
        """Returns the work that all customers ask for in a second."""
        return sum(s.offered_total.rate(now) for s in self._parts(pool, now))

    def admitted_rate(self, pool: int, now: float) -> float:
        """Returns the work that is sent to runners in a second, in tokens."""
        return sum(s.admitted.rate(now) for s in self._parts(pool, now))

    def own_part(self, pool: int, now: float) -> float:
        """Returns this router's part of the work asked for, from 0 to 1."""
        own = self._own.get(pool)
        total = self.offered_total(pool, now)
        if own is None or total <= 0:
            return 1.0
        return min(1.0, own.offered_total.at(now) / total)

    def demands(self, pool: int, now: float) -> "Demands":
        """Returns what the customers of a pool asked for lately.

        This loops over the listed customers and is not called for each request.
        """
        if pool in self._served:
            self._served[pool] = _heaviest(self._served[pool], now)
        work: dict[int, float] = {}
        for shares in self._parts(pool, now):
            shares.offered = _heaviest(shares.offered, now)
            for customer, found in shares.offered.items():
                work[customer] = work.get(customer, 0.0) + found.at(now)
        listed = sum(work.values())
        total = max(self.offered_total(pool, now), listed)
        return Demands(sorted(work.values()), total, total - listed)

    def _parts(self, pool: int, now: float) -> list[_Shares]:
        own = self._own.get(pool)
        parts = [] if own is None else [own]
        if self.is_shared(now):
            peers = self._peers.get(pool)
            if peers is not None:
                parts.append(peers)
        return parts


def _sum_of(sums: dict[int, DecayedSum], customer: int) -> DecayedSum:
    found = sums.get(customer)
    if found is None:
        found = sums[customer] = DecayedSum()
    return found


def _heaviest(work: dict[int, DecayedSum], now: float) -> dict[int, DecayedSum]:
    """Leaves out the lightest customers if there are too many."""
    if len(work) <= MAX_CUSTOMERS:
        return work
    kept = sorted(work, key=lambda c: work[c].at(now), reverse=True)
    return {customer: work[customer] for customer in kept[:MAX_CUSTOMERS]}


@attrs.frozen
class Demands:
    """Recent work that customers asked for, in tokens.

    Attributes:
        listed: That of each listed customer, in ascending order.
        total: That of all customers.
        unlisted: That of the others. They are light, and keep what they ask
            for.
    """

    listed: list[float]
    total: float
    unlisted: float

    def fair_level(self, capacity: float) -> float:
        """Returns the most work of one customer in a max-min fair division.

        It is infinite if there is enough for all, and never 0: from 0 it could
        not grow again while the work of customers that are not listed is more
        than the capacity.
        """
        level = max_min_level(self.listed, capacity - self.unlisted)
        if not self.listed:
            return level
        return max(level, LEAST_LEVEL_PART * capacity / len(self.listed))

    def within_part(self, level: float) -> float:
        """Returns the part that customers up to a level ask for."""
        over = sum(work for work in self.listed if work > level)
        # The rounding of the sum must not make it negative.
        return max(0.0, 1.0 - over / self.total) if self.total else 1.0


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the level at which capped demands add up to the capacity.

    It is infinite if the demands do not exceed the capacity, and at least 0.
    """
    left = max(0.0, capacity)
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf
