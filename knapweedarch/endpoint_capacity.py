"""Learns how slow each endpoint is, and how many requests it handles well.

A sample is the time that an endpoint took for a request, as a ratio of the time
that endpoints usually take for such a request. Samples of healthy endpoints
differ widely, as requests cause different work. Two estimates are made of them:
a settled one, over many seconds, finds small steady differences; a recent one,
the median of the last seconds, replaces it while it differs by far.

The limit of an endpoint follows from the difference between samples with many
and with few requests under way (the latency gradient): it is cut while the
difference is large, and grows again in steps. Nothing is refused because of it;
it enters the cost of an endpoint.

All times are seconds on the clock of the process.
"""

import collections
import math
from collections.abc import Iterable

import attrs

from knapweedarch.capacity_messages import (
    EndpointCapacity,
    SpeedSample,
    quantised,
)
from knapweedarch.exponential import decay_factor

# Bounds of the ratio, whatever the samples say: also a wrong report moves the
# cost of an endpoint by no more than this.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
MIN_LOG_RATIO = math.log(MIN_RATIO)
MAX_LOG_RATIO = math.log(MAX_RATIO)
# Time after which a sample of the settled estimate counts half.
SETTLED_HALF_LIFE_S = 15.0
# Samples without effect that the settled estimate starts with.
SETTLED_PRIOR = 4.0
# A sample moves the settled estimate by at most this difference.
SETTLED_MAX_SURPRISE = math.log(2.0)
# The same for the recent estimate, and the age up to which samples are used.
RECENT_HALF_LIFE_S = 1.0
RECENT_S = 4.0
RECENT_PRIOR = 1.0
# Samples kept for it.
MAX_RECENT = 32
# Difference from which on the recent estimate replaces the settled one. Work
# that differs 2.5 times between requests moves the median of few samples less.
DEVIATION = math.log(1.8)
# The limit is adapted at this interval.
ADAPT_INTERVAL_S = 0.5
# A sample counts as one under load from this fraction of the limit on, and as
# one without load up to the second fraction.
LOADED_FRACTION = 0.7
UNLOADED_FRACTION = 0.5
# Half-life of the averages of samples under load and without.
LOADED_HALF_LIFE_S = 1.0
UNLOADED_HALF_LIFE_S = 5.0
# Weight of samples under load without which a limit is not cut.
MIN_LOADED_WEIGHT = 2.0
UNLOADED_PRIOR = 1.0
# Gradients above which a limit is cut, and below which it grows.
CUT_GRADIENT = math.log(1.6)
GROWTH_GRADIENT = math.log(1.3)
CUT_FACTOR = 0.8
# A limit grows by this fraction of itself, by 1 at least.
GROWTH = 0.15
# Time without samples under load after which a limit grows as well.
LIMIT_UNUSED_S = 3.0
# Capacities without a sample for this long are forgotten.
CAPACITY_TTL_S = 60.0
MAX_ENDPOINTS = 2048


@attrs.define
class _Average:
    """Average that decays towards its assumed value, 0.

    Attributes:
        half_life_s: Time after which a sample counts half.
        prior: Weight of the assumed value.
        weight: Decayed number of samples.
        total: Their decayed sum.
        decayed_at: Time up to which they are decayed.
    """

    half_life_s: float
    prior: float
    decayed_at: float
    weight: float = 0.0
    total: float = 0.0

    def decay(self, now: float) -> None:
        """Lets earlier samples count less."""
        if now > self.decayed_at:
            factor = decay_factor(now - self.decayed_at, self.half_life_s)
            self.weight *= factor
            self.total *= factor
            self.decayed_at = now

    def add(self, value: float, now: float) -> None:
        """Adds a sample."""
        self.decay(now)
        self.weight += 1.0
        self.total += value

    @property
    def value(self) -> float:
        """The average."""
        return self.total / (self.weight + self.prior or 1.0)


@attrs.define
class _Recent:
    at: float
    log_ratio: float


class CapacityEstimate:
    """What the samples of one incarnation of an endpoint show.

    Args:
        now: The time.

    Attributes:
        sampled_at: When the last sample came.
        limit: Requests that the endpoint handles well at the same time;
            infinite if no limit was found.
    """

    def __init__(self, now: float):
        self.sampled_at = now
        self.limit = math.inf
        self._settled = _Average(SETTLED_HALF_LIFE_S, SETTLED_PRIOR, now)
        self._recent: collections.deque[_Recent] = collections.deque(
            maxlen=MAX_RECENT
        )
        self._loaded = _Average(LOADED_HALF_LIFE_S, 0.0, now)
        self._loaded_requests = _Average(LOADED_HALF_LIFE_S, 0.0, now)
        self._unloaded = _Average(UNLOADED_HALF_LIFE_S, UNLOADED_PRIOR, now)
        self._loaded_at = now
        self._adapted_at = now
        self._most_requests = 0.0

    def add(self, log_ratio: float, requests: int, now: float) -> None:
        """Adds a sample; see `SpeedSample`."""
        value = min(max(log_ratio, MIN_LOG_RATIO), MAX_LOG_RATIO)
        self.sampled_at = now
        self._recent.append(_Recent(now, value))
        if self._deviation(now) is None:
            self._add_settled(value, now)
        self._add_to_limit(value, requests, now)

    def log_ratio(self, now: float) -> float:
        """Returns the logarithm of the endpoint's slowness."""
        found = self._deviation(now)
        if found is None:
            self._settled.decay(now)
            found = self._settled.value
        return found

    def _add_settled(self, value: float, now: float) -> None:
        known = self._settled.value
        least = known - SETTLED_MAX_SURPRISE
        most = known + SETTLED_MAX_SURPRISE
        self._settled.add(min(max(value, least), most), now)

    def _deviation(self, now: float) -> float | None:
        """Returns the recent estimate if it differs by far, or None."""
        while self._recent and self._recent[0].at < now - RECENT_S:
            self._recent.popleft()
        settled = self._settled.value
        weighted = [(settled, RECENT_PRIOR)]
        for sample in self._recent:
            weight = decay_factor(now - sample.at, RECENT_HALF_LIFE_S)
            weighted.append((sample.log_ratio, weight))
        found = weighted_median(weighted)
        return found if abs(found - settled) > DEVIATION else None

    def _add_to_limit(self, value: float, requests: int, now: float) -> None:
        self._most_requests = max(self._most_requests, requests)
        level = min(self.limit, self._most_requests)
        if requests >= LOADED_FRACTION * level:
            self._loaded.add(value, now)
            self._loaded_requests.add(float(requests), now)
            self._loaded_at = now
        elif requests <= UNLOADED_FRACTION * level:
            self._unloaded.add(value, now)
        self.adapt(now)

    def adapt(self, now: float) -> None:
        """Adapts the limit to the samples of the last seconds."""
        if now - self._adapted_at < ADAPT_INTERVAL_S:
            return
        self._adapted_at = now
        self._loaded.decay(now)
        self._unloaded.decay(now)
        if now - self._loaded_at > LIMIT_UNUSED_S:
            self._grow()
        elif self._loaded.weight >= MIN_LOADED_WEIGHT:
            self._follow_gradient()

    def _follow_gradient(self) -> None:
        gradient = self._loaded.value - self._unloaded.value
        if gradient > CUT_GRADIENT:
            level = min(self.limit, self._loaded_requests.value)
            self.limit = max(1.0, CUT_FACTOR * level)
        elif gradient < GROWTH_GRADIENT:
            self._grow()

    def _grow(self) -> None:
        if self.limit < math.inf:
            self.limit += max(1.0, GROWTH * self.limit)
            if self.limit > self._most_requests:
                self.limit = math.inf


class CapacityTable:
    """Estimates of all endpoints, by the digest of their incarnation."""

    def __init__(self) -> None:
        self._estimates: dict[int, CapacityEstimate] = {}
        self._reported: dict[int, EndpointCapacity] = {}

    def add(self, sample: SpeedSample, now: float) -> None:
        """Adds a sample."""
        estimate = self._estimates.get(sample.endpoint)
        if estimate is None:
            estimate = self._estimates[sample.endpoint] = CapacityEstimate(now)
            while len(self._estimates) > MAX_ENDPOINTS:
                del self._estimates[next(iter(self._estimates))]
        estimate.add(sample.log_ratio, sample.requests, now)

    def capacity(self, endpoint: int, now: float) -> EndpointCapacity:
        """Returns what is known of an endpoint."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return EndpointCapacity(endpoint, 0.0, 0)
        estimate.adapt(now)
        limit = 0 if estimate.limit == math.inf else round(estimate.limit)
        log_ratio = quantised(estimate.log_ratio(now))
        return EndpointCapacity(endpoint, log_ratio, limit)

    def changes(self, now: float) -> list[EndpointCapacity]:
        """Returns the capacities that differ from those last returned.

        Those that differ most come first. Those not used must be given to
        `restore`.
        """
        self._forget_unsampled(now)
        found = []
        for endpoint in self._estimates.keys() | self._reported.keys():
            capacity = self.capacity(endpoint, now)
            before = self._reported.get(endpoint) or _unknown(endpoint)
            if _differs(capacity, before):
                found.append((_difference(capacity, before), capacity))
        found.sort(key=lambda entry: -entry[0])
        return [capacity for _, capacity in found]

    def mark_reported(self, capacities: Iterable[EndpointCapacity]) -> None:
        """Records which changes were passed on."""
        for capacity in capacities:
            if capacity == _unknown(capacity.endpoint):
                self._reported.pop(capacity.endpoint, None)
            else:
                self._reported[capacity.endpoint] = capacity

    def reported(self) -> list[EndpointCapacity]:
        """Returns all capacities that were passed on and still hold."""
        return list(self._reported.values())

    def _forget_unsampled(self, now: float) -> None:
        self._estimates = {
            endpoint: estimate
            for endpoint, estimate in self._estimates.items()
            if now - estimate.sampled_at < CAPACITY_TTL_S
        }


def weighted_median(weighted: list[tuple[float, float]]) -> float:
    """Returns the value with half of the weight on each side.

    Args:
        weighted: Values and their weights; at least one.
    """
    ordered = sorted(weighted)
    half = sum(weight for _, weight in ordered) / 2
    passed = 0.0
    for value, weight in ordered:
        passed += weight
        if passed >= half:
            return value
    return ordered[-1][0]


# Smaller changes are not passed on; noise would otherwise fill the messages.
REPORTED_DIFFERENCE = 0.08


def _differs(a: EndpointCapacity, b: EndpointCapacity) -> bool:
    return _difference(a, b) >= REPORTED_DIFFERENCE


def _difference(a: EndpointCapacity, b: EndpointCapacity) -> float:
    difference = abs(a.log_ratio - b.log_ratio)
    if a.limit != b.limit:
        larger, smaller = max(a.limit, b.limit), min(a.limit, b.limit)
        difference += 1.0 if not smaller else math.log(larger / smaller)
    return difference


def _unknown(endpoint: int) -> EndpointCapacity:
    return EndpointCapacity(endpoint, 0.0, 0)
