"""Decides which requests go to runners, wait for room or are refused.

Requests of less urgent classes leave room at the runners for the demand of more
urgent ones, which is learnt from recent requests. One that finds no room waits
at its router, as long as it can still be answered in time to be of value, and
is refused at once otherwise. While a class finds no room, customers get of it
what a max-min fair division gives them; of the requests of a customer that asks
for more, so many are refused that the rest is its share. Which ones is left to
chance, so that neither large prompts nor single sessions are worse off.

All times are seconds on the router's clock.
"""

import collections
import enum
import math
import random

import attrs

from knapweedarch.class_demand import ClassDemand
from knapweedarch.customer_usage import USAGE_HALF_LIFE_S, CustomerUsage
from knapweedarch.runner_room import RoomLimits, RoomSearch
from knapweedarch.usage_messages import usage_digest

# Time until all routers know that a request was sent: loads are reported each
# 0.05 s, batched at up to two members and travel between data centres.
REACTION_S = 0.25
# Interval at which waiting requests look for room.
LOOK_INTERVAL_S = 0.05
# Room for more requests than are expected, in standard deviations of a Poisson
# distribution, of which 2 leave out one case in forty.
SPARE_DEVIATIONS = 2.0
# Part of a more urgent class's latency goal that prompts before it may take.
# The other part is for its own prompt, and for prompts sent since the loads
# were reported.
URGENT_GOAL_PART = 0.5
# Part of what changes at a runner until its load is known that counts. In the
# same time prompts are read and others are sent there, slots are freed and
# others are taken.
BLIND_PART = 0.5
# The same of the own goal while no class is more urgent.
OWN_GOAL_PART = 1.0
# Part of its goal for which the most urgent class may wait for a slot at its
# runner, which takes it first. There it is sooner than after a wait here.
SLOT_WAIT_PART = 0.5
# Part of all slots that are freed which a class gets whose requests have waited
# for long.
AGED_PART = 0.5
# Least requests a second at which a class counts as in use.
LEAST_RATE = 0.01
# Least part of the requests that a router is assumed to have.
LEAST_OWN_PART = 1e-3
# Interval at which fair shares are computed.
LEVEL_INTERVAL_S = 0.1
# Most by which a share grows in this time while requests find no room.
LEVEL_GROWTH = 1.3
# Least part of what is asked for that counts as capacity. Without it a class
# that got nothing for a while would never be sent anything again.
LEAST_CAPACITY_PART = 0.1
# Wait up to which requests beyond the capacity are let in: a part of the time
# that they have for it, and a multiple of their latency goal, after which the
# next ones would be late as well.
WAIT_PART = 0.5
WAIT_GOALS = 2.0
# Work that may be admitted while nothing waits, as a multiple of the estimated
# capacity. It allows for short bursts, which a wait evens out.
FREE_CAPACITY_FACTOR = 1.1


class Outcome(str, enum.Enum):
    """What happens to a request."""

    SEND = "send"
    WAIT = "wait"
    OVER_SHARE = "over_share"
    TOO_LATE = "too_late"
    TOO_LARGE = "too_large"


@attrs.frozen
class Ask:
    """A request that is to be admitted.

    Attributes:
        demand: Its class at its service.
        customer: Hash of the customer's name.
        work: Its work in tokens; see `customer_usage`.
        goal_s: Latency goal of its route, in seconds.
        left_s: Time until its answer is due, in seconds.
        ahead_s: Time for which the chosen runner reads other prompts before, in
            seconds; 0 if none is chosen.
        has_runner: Whether a runner with room was found.
        is_new: Whether it was not looked at before.
        is_repeat: Whether it was sent before. It is sent as soon as it fits.
    """

    demand: ClassDemand
    customer: int
    work: int
    goal_s: float
    left_s: float
    ahead_s: float
    has_runner: bool
    is_new: bool
    is_repeat: bool = False


@attrs.frozen
class Verdict:
    """The decision about a request.

    Attributes:
        outcome: What happens to it.
        retry_after_s: Time after which room is expected, if it is refused.
    """

    outcome: Outcome
    retry_after_s: float = 0.0


_SEND, _WAIT = Verdict(Outcome.SEND), Verdict(Outcome.WAIT)


class LoadTrend:
    """How the load of the runners of a service has grown lately.

    Loads are known some time late. In that time they are assumed to grow on as
    they did before.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, int, int, int]] = (
            collections.deque()
        )
        self.runners = 1

    def record(self, search: RoomSearch, now: float) -> None:
        """Records the load that a search has found."""
        self.runners = max(1, search.runners)
        if self._samples and now - self._samples[-1][0] < LOOK_INTERVAL_S:
            return
        self._samples.append(
            (now, search.requests, search.held_tokens, search.unread_tokens)
        )
        while self._samples[0][0] < now - 2 * REACTION_S:
            self._samples.popleft()

    def growth(self, now: float) -> tuple[float, float, float]:
        """Returns the growth of requests, memory and unread tokens.

        It is that of one runner, on average, and at least 0.
        """
        before = [s for s in self._samples if s[0] <= now - REACTION_S]
        if not before:
            return 0.0, 0.0, 0.0
        first, last = before[-1], self._samples[-1]
        requests, held, unread = (
            max(0, new - old) / self.runners
            for new, old in zip(last[1:], first[1:], strict=True)
        )
        return requests, held, unread


class FairAdmission:
    """Decides by the loads of the runners and the usage of the customers.

    Args:
        usage: Work of the customers.
        rng: Chooses the requests of a customer that are refused.
    """

    def __init__(self, usage: CustomerUsage, rng: random.Random):
        self.usage = usage
        self._rng = rng
        self._services: dict[str, dict[int, ClassDemand]] = {}
        self._trends: dict[str, LoadTrend] = collections.defaultdict(LoadTrend)

    def demand(self, service: str, priority: int) -> ClassDemand:
        """Returns the class of a priority at a service; 0 is most urgent."""
        classes = self._services.setdefault(service, {})
        found = classes.get(priority)
        if found is None:
            pool = usage_digest(service, priority)
            found = classes[priority] = ClassDemand(pool)
        return found

    def limits(
        self,
        service: str,
        priority: int,
        slots: int,
        tokens_s: float,
        waited: float,
        is_over: bool,
        now: float,
    ) -> RoomLimits:
        """Returns what a class may use of each runner.

        Args:
            service: Name of the service.
            priority: Priority of the class.
            slots: Slots of a runner.
            tokens_s: Prompt tokens that a runner reads in a second.
            waited: Part of the time that the request can wait which has passed,
                from 0 to 1. The more it is, the less is kept free.
            is_over: Whether the customer asks for more than its share. Its
                requests leave room for those of the other customers.
            now: The time.
        """
        own = self.demand(service, priority)
        if now - own.limits_at >= LOOK_INTERVAL_S:
            own.limits_at = now
            own.limits = self._class_limits(
                service, priority, slots, tokens_s, now
            )
        found = own.limits
        if is_over and (waited <= 0 or found.kept_slots < 0):
            return found
        kept = found.kept_slots
        return RoomLimits(
            (1.0 - waited) * kept if kept > 0 else kept,
            found.kept_tokens,
            found.yielded_slots if is_over else 0.0,
            *(found.unread_tokens, found.prompt_tokens, found.blind_requests),
            *(found.grown_slots, found.grown_tokens, found.grown_unread),
        )

    def _class_limits(
        self,
        service: str,
        priority: int,
        slots: int,
        tokens_s: float,
        now: float,
    ) -> RoomLimits:
        """Returns the limits of requests that have not waited.

        They are those of customers that ask for more than their share.
        """
        own = self.demand(service, priority)
        urgent = [
            demand
            for other, demand in self._services[service].items()
            if other < priority and demand.rate(now) > LEAST_RATE
        ]
        blind = self._blind_requests(service, now)
        growth = self._trends[service].growth(now)
        prompt_tokens = max(1.0, own.unread_tokens(now))
        yielded = self._kept_slots(service, [own], own.within_part, now)
        if not urgent:
            return RoomLimits(
                *(-_queued(own, slots, now), 0.0, yielded),
                *(_own_unread(own, tokens_s, now), prompt_tokens, blind),
                *(0.0, *growth[1:]),
            )
        goal_s = min(URGENT_GOAL_PART * demand.goal_s for demand in urgent)
        unread_tokens = (goal_s + BLIND_PART * REACTION_S) * tokens_s
        return RoomLimits(
            self._kept_slots(service, urgent, 1.0, now),
            max(demand.needed_tokens(now) for demand in urgent),
            yielded,
            max(unread_tokens, own.unread_tokens(now)),
            *(prompt_tokens, blind, *growth),
        )

    def _kept_slots(
        self,
        service: str,
        urgent: list[ClassDemand],
        part: float,
        now: float,
    ) -> float:
        """Returns the slots of a runner that are kept for other requests.

        Args:
            service: Name of the service.
            urgent: The classes for which they are kept.
            part: Part of the requests of these for which they are kept.
            now: The time.
        """
        rates = [part * self._total_rate(demand, now) for demand in urgent]
        expected = sum(
            rate * demand.hold_s(now)
            for rate, demand in zip(rates, urgent, strict=True)
        )
        spare = BLIND_PART * REACTION_S * sum(rates)
        spare += SPARE_DEVIATIONS * math.sqrt(expected)
        return spare / self._trends[service].runners

    def _blind_requests(self, service: str, now: float) -> float:
        """Returns the requests to a runner that its load does not show yet."""
        rate = sum(
            self._total_rate(demand, now)
            for demand in self._services[service].values()
            if self._own_part(demand, now) < 1.0
        )
        return REACTION_S * rate / self._trends[service].runners

    def sample(self) -> float:
        """Returns a random number from 0 to below 1."""
        return self._rng.random()

    def _total_rate(self, demand: ClassDemand, now: float) -> float:
        """Returns the requests a second of a class at all routers."""
        own, work = demand.rate(now), demand.work(now)
        if not work:
            return own
        return max(own, self.usage.offered_rate(demand.pool, now) / work)

    def _own_part(self, demand: ClassDemand, now: float) -> float:
        """Returns this router's part of the requests of a class."""
        if now - demand.own_part_at >= LOOK_INTERVAL_S:
            demand.own_part_at = now
            part = self.usage.own_part(demand.pool, now)
            demand.own_part = max(LEAST_OWN_PART, part)
        return demand.own_part

    def decide(
        self, service: str, ask: Ask, search: RoomSearch, now: float
    ) -> Verdict:
        """Decides about a request.

        Args:
            service: Name of the service.
            ask: The request.
            search: The search for runners with room for it.
            now: The time.
        """
        demand = ask.demand
        if not search.fits:
            return Verdict(Outcome.TOO_LARGE)
        if ask.is_repeat:
            return _SEND if ask.has_runner else _WAIT
        self._trends[service].record(search, now)
        demand.fullness = search.fullness()
        if ask.is_new:
            demand.record_request(ask.work, ask.goal_s, ask.left_s, now)
            self.usage.record_offered(demand.pool, ask.customer, ask.work, now)
        is_calm = search.has_slack and not demand.waiting
        if not search.room or demand.waiting:
            demand.contended_at = now
        if ask.is_new and not is_calm and self._is_surplus(ask, now):
            return Verdict(Outcome.OVER_SHARE, self._share_wait_s(ask, now))
        if self._may_send(ask, search, now):
            return self._check_wait(ask, ask.ahead_s, is_calm, _SEND, now)
        wait_s = self._wait_s(ask, search, now) if ask.is_new else 0.0
        return self._check_wait(ask, wait_s, is_calm, _WAIT, now)

    def _wait_s(self, ask: Ask, search: RoomSearch, now: float) -> float:
        """Returns the expected wait of a request behind those that wait."""
        demand = ask.demand
        ahead = demand.waiting + 1
        wait_s, hold_s = demand.wait_s(ahead, now), demand.hold_s(now)
        if not hold_s or not search.requests:
            return wait_s
        # Requests that have waited for long get slots of more urgent ones.
        own_part = self._own_part(demand, now)
        turnover_s = search.requests / hold_s * own_part
        wait_s = min(wait_s, ahead / (AGED_PART * turnover_s))
        drain_s = own_part * self.usage.admitted_rate(demand.pool, now)
        if not drain_s:
            return wait_s
        return min(wait_s, (demand.waiting_work + ask.work) / drain_s)

    def _check_wait(
        self,
        ask: Ask,
        wait_s: float,
        is_calm: bool,
        verdict: Verdict,
        now: float,
    ) -> Verdict:
        """Refuses a request that cannot be answered after its wait."""
        if is_calm:
            return verdict
        if wait_s + ask.demand.hold_s(now) <= ask.left_s:
            return verdict
        return Verdict(Outcome.TOO_LATE, wait_s)

    def _is_surplus(self, ask: Ask, now: float) -> bool:
        """Returns whether a request is beyond the share of its customer."""
        demand = ask.demand
        level = demand.refused_level
        if level == math.inf or not demand.is_contended(now):
            return False
        due = self.usage.part_due(demand.pool, ask.customer, level, now)
        return self._rng.random() >= due

    def _share_wait_s(self, ask: Ask, now: float) -> float:
        """Returns when a customer is within its share if it asks no more."""
        demand = ask.demand
        offered = self.usage.offered(demand.pool, ask.customer, now)
        ratio = max(1.0, offered / max(1.0, demand.refused_level))
        queue_s = demand.wait_s(demand.waiting, now)
        return max(queue_s, USAGE_HALF_LIFE_S * math.log2(ratio))

    def _may_send(self, ask: Ask, search: RoomSearch, now: float) -> bool:
        """Returns whether a request that found a runner is sent there.

        All routers see the same room, some time after it came to be. So each
        takes it with the chance that leaves room for all that wait for it.
        """
        demand = ask.demand
        is_over = self.is_over_share(demand, ask.customer, now)
        before = demand.waiting if is_over else demand.waiting_within
        if not ask.has_runner or (ask.is_new and before):
            return False
        own_part = self._own_part(demand, now)
        if own_part >= 1.0:
            return True
        own_room = search.room * own_part
        if ask.is_new:
            expected = REACTION_S * self._total_rate(demand, now)
            chance = search.room / max(expected, 1e-6)
        else:
            # It looks several times until what others have sent is known.
            chance = own_room * LOOK_INTERVAL_S / REACTION_S
        if not is_over:
            # The others leave the room to those within their share.
            chance /= max(demand.within_part, LEAST_CAPACITY_PART)
        return self._rng.random() < chance

    def is_over_share(
        self, demand: ClassDemand, customer: int, now: float
    ) -> bool:
        """Returns whether a customer asks for more than its fair share."""
        if demand.level == math.inf:
            return False
        return self.usage.offered(demand.pool, customer, now) > demand.level

    def refresh(self, now: float) -> None:
        """Computes the fair shares of the classes that find no room."""
        for classes in self._services.values():
            for demand in classes.values():
                self._record_wait(demand, now)
                if now - demand.level_at >= LEVEL_INTERVAL_S:
                    self._set_level(demand, now)

    def _record_wait(self, demand: ClassDemand, now: float) -> None:
        seconds = min(now - demand.waited_until, LEVEL_INTERVAL_S)
        demand.waited_until = now
        if demand.waiting:
            self.usage.record_waiting(
                *(demand.pool, demand.waiting_work, seconds, now)
            )

    def _set_level(self, demand: ClassDemand, now: float) -> None:
        demand.level_at = now
        if not demand.is_contended(now):
            demand.level = demand.refused_level = math.inf
            return
        usage, pool = self.usage, demand.pool
        least = LEAST_CAPACITY_PART * usage.offered_total(pool, now)
        # The load at the runners is in proportion to what was sent there.
        fullness = min(1.0, max(demand.fullness, LEAST_CAPACITY_PART))
        capacity = max(least, usage.admitted(pool, now) / fullness)
        demands = usage.demands(pool, now)
        found = demands.fair_level(capacity)
        # The load changes faster than the usage of the customers.
        demand.level = min(found, LEVEL_GROWTH * demand.level)
        demand.within_part = demands.within_part(demand.level)
        demand.refused_level = math.inf
        # A shorter wait is no sign of too much work: what was asked for within
        # it is not sent yet.
        if usage.wait_s(pool, now) > 2 * LOOK_INTERVAL_S:
            capacity = max(least, capacity * self._waiting_factor(demand, now))
            demand.refused_level = demands.fair_level(capacity)

    def _waiting_factor(self, demand: ClassDemand, now: float) -> float:
        """Returns how much work may be asked for, as a ratio of the capacity.

        It is above 1 until the wait takes a part of the time that requests have
        for it, and below 1 after that.
        """
        wait_s = self.usage.wait_s(demand.pool, now)
        left_s = demand.limit_s - demand.hold_s(now)
        patience_s = min(WAIT_PART * left_s, WAIT_GOALS * demand.goal_s)
        if patience_s <= 0:
            return 1.0
        return FREE_CAPACITY_FACTOR / (1.0 + wait_s / patience_s)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait at this router."""
        return sum(
            demand.waiting
            for classes in self._services.values()
            for demand in classes.values()
        )


def _queued(demand: ClassDemand, slots: int, now: float) -> float:
    """Returns the requests that may wait for a slot at a runner."""
    hold_s = demand.hold_s(now)
    if not hold_s:
        return slots
    return slots * min(1.0, SLOT_WAIT_PART * demand.goal_s / hold_s)


def _own_unread(demand: ClassDemand, tokens_s: float, now: float) -> float:
    """Returns the tokens that may be read before, with none more urgent.

    One prompt may always wait behind another of the same length, since the
    runner would otherwise idle between them.
    """
    unread_tokens = demand.unread_tokens(now)
    goal_tokens = OWN_GOAL_PART * demand.goal_s * tokens_s
    return max(goal_tokens - unread_tokens, unread_tokens)


def create_fair_admission(seed: int) -> FairAdmission:
    """Creates the admission of a router.

    Args:
        seed: Seed of the choice of requests; it must differ from router to
            router.
    """
    return FairAdmission(CustomerUsage(), random.Random(seed))
