"""Learns how slow each endpoint is, and how many requests it handles well.

A sample is the time that an endpoint took for a request, as a ratio of the time
that endpoints usually take for such a request. Samples of healthy endpoints
differ widely: requests cause different work, and some wait for others. Waiting
only ever adds time, so that an endpoint is compared with the others of its
group by its quicker answers. Two estimates are made: a settled one, from many
samples, finds small steady differences; a recent one, of the last seconds,
replaces it while it differs by far.

The limit of an endpoint follows from the difference between samples with many
and with few requests under way (the latency gradient): it is cut while the
difference is large, and grows again in steps. Nothing is refused because of it;
it enters the cost of an endpoint.

All times are seconds on the clock of the process.
"""

import collections
import math
import statistics
from collections.abc import Iterable, Sequence

import attrs

from knapweedarch.capacity_messages import (
    EndpointCapacity,
    SpeedSample,
    quantised,
)

# Bounds of the ratio, whatever the samples say: also a wrong report moves the
# cost of an endpoint by no more than this.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
MIN_LOG_RATIO = math.log(MIN_RATIO)
MAX_LOG_RATIO = math.log(MAX_RATIO)
# Endpoints are compared by the time that this share of their samples take at
# most.
QUICK_SHARE = 0.3
# Samples of the settled estimate, their age, and the number without which
# nothing is concluded.
MAX_SETTLED = 96
SETTLED_S = 60.0
MIN_SETTLED = 20
# Standard errors of the settled estimate within which a difference may be
# chance. Moving requests for a chance difference costs cached prompts.
SETTLED_ERRORS = 3.0
# The recent estimate uses the samples of this time, or so many that are not
# older than the second time: a slow endpoint gets few requests.
RECENT_S = 1.0
MIN_RECENT = 4
MAX_RECENT_S = 6.0
MAX_RECENT = 64
# Difference from which on the recent estimate replaces the settled one. Work
# that differs 2.5 times between requests moves a quantile of few samples less.
DEVIATION = math.log(2.5)
# The estimates are renewed at this interval.
ADAPT_INTERVAL_S = 0.5
# The usual number of requests is that of this share of the recent samples.
LEVEL_SHARE = 0.8
# A sample counts as one under load from the first fraction of the limit to the
# second, and as one without load up to the third.
LOADED_FRACTION = 0.7
LOADED_EXCESS = 1.2
UNLOADED_FRACTION = 0.5
# Samples under load that a cut of the limit takes, and samples without load by
# which they are judged; without these, it is done by what is usual in the
# group.
MIN_LOADED = 5
MIN_UNLOADED = 5
MAX_UNLOADED = 32
# Gradients above which a limit is cut, and below which it grows.
CUT_GRADIENT = math.log(1.6)
GROWTH_GRADIENT = math.log(1.3)
CUT_FACTOR = 0.8
# A limit grows by this fraction of itself, by 1 at least. One that is so many
# times the usual number of requests is dropped.
GROWTH = 0.15
MAX_LIMIT_LEVELS = 2.0
# Endpoints without a sample for this long are forgotten.
CAPACITY_TTL_S = 60.0
MAX_ENDPOINTS = 2048
# Smaller changes are not passed on; noise would otherwise fill the messages.
REPORTED_DIFFERENCE = 0.08


@attrs.frozen
class _Sample:
    at: float
    log_ratio: float
    requests: int


class CapacityEstimate:
    """What the samples of one incarnation of an endpoint show.

    Args:
        group: Endpoints that it is compared with.
        now: The time.

    Attributes:
        group: Endpoints that it is compared with.
        sampled_at: When the last sample came.
        limit: Requests that the endpoint handles well at the same time;
            infinite if no limit was found.
    """

    def __init__(self, group: int, now: float):
        self.group = group
        self.sampled_at = now
        self.limit = math.inf
        self._settled: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SETTLED
        )
        self._recent: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_RECENT
        )
        self._unloaded: collections.deque[float] = collections.deque(
            maxlen=MAX_UNLOADED
        )
        self._level = 1.0
        self._cut_at = -math.inf
        self._adapted_at = now
        self._ordered: list[float] = []
        self._deviation: float | None = None

    def add(self, log_ratio: float, requests: int, now: float) -> None:
        """Adds a sample; see `SpeedSample`."""
        value = min(max(log_ratio, MIN_LOG_RATIO), MAX_LOG_RATIO)
        sample = _Sample(now, value, requests)
        self.sampled_at = now
        self._recent.append(sample)
        if self._deviation is None and requests <= self.limit:
            self._settled.append(sample)
        if requests <= UNLOADED_FRACTION * self._level:
            self._unloaded.append(value)

    @property
    def quick(self) -> float | None:
        """Value by which endpoints are compared; None without samples."""
        if len(self._ordered) < MIN_SETTLED:
            return None
        return quantile(self._ordered, QUICK_SHARE)

    def renew(self, reference: float, now: float) -> None:
        """Renews the estimates from the samples, at an interval.

        Args:
            reference: What `quick` usually is in the group.
            now: The time.
        """
        if now - self._adapted_at < ADAPT_INTERVAL_S:
            return
        self._adapted_at = now
        _drop_older(self._settled, now - SETTLED_S)
        _drop_older(self._recent, now - MAX_RECENT_S)
        self._ordered = sorted(s.log_ratio for s in self._settled)
        self._deviation = self._find_deviation(reference, now)
        self._adapt_limit(reference)

    def log_ratio(self, reference: float) -> float:
        """Returns the logarithm of the endpoint's slowness."""
        if self._deviation is not None:
            return self._deviation
        return self._settled_ratio(reference)

    def _settled_ratio(self, reference: float) -> float:
        """Returns the difference to the group that is not chance."""
        if len(self._ordered) < MIN_SETTLED:
            return 0.0
        count = len(self._ordered)
        error = math.sqrt(QUICK_SHARE * (1 - QUICK_SHARE) / count)
        least = quantile(self._ordered, QUICK_SHARE - SETTLED_ERRORS * error)
        most = quantile(self._ordered, QUICK_SHARE + SETTLED_ERRORS * error)
        return min(max(reference, least), most) - reference

    def _find_deviation(self, reference: float, now: float) -> float | None:
        """Returns the recent estimate if it differs by far, or None."""
        settled = self._settled_ratio(reference)
        fresh = sum(s.at >= now - RECENT_S for s in self._recent)
        used = list(self._recent)[-max(fresh, MIN_RECENT) :]
        if len(used) < MIN_RECENT:
            return None
        ordered = sorted([settled, *(s.log_ratio for s in used)])
        least = quantile(ordered, QUICK_SHARE)
        most = quantile(ordered, 1.0 - QUICK_SHARE)
        found = min(max(settled, least), most)
        # No endpoint is taken for a fast one within moments.
        found = max(found, min(settled, 0.0))
        return found if abs(found - settled) > DEVIATION else None

    def _adapt_limit(self, reference: float) -> None:
        """Adapts the limit to the samples of the last seconds."""
        if self._recent:
            requests = sorted(s.requests for s in self._recent)
            self._level = min(self.limit, quantile(requests, LEVEL_SHARE))
        loaded = [s for s in self._recent if self._is_loaded(s)]
        if not loaded:
            self._grow()
        elif len(loaded) >= MIN_LOADED:
            self._follow_gradient(loaded, reference)

    def _is_loaded(self, sample: _Sample) -> bool:
        """Returns whether a sample shows if the limit is too high.

        One sent before the last cut, or with many more requests under way, does
        not.
        """
        least = max(1.0, LOADED_FRACTION * self._level)
        most = LOADED_EXCESS * self.limit + 1
        return sample.at > self._cut_at and least <= sample.requests <= most

    def _follow_gradient(
        self, loaded: Sequence[_Sample], reference: float
    ) -> None:
        ordered = sorted(s.log_ratio for s in loaded)
        usual = reference
        if len(self._unloaded) >= MIN_UNLOADED:
            usual = statistics.median(self._unloaded)
        gradient = quantile(ordered, QUICK_SHARE) - usual
        if gradient > CUT_GRADIENT:
            level = statistics.fmean(s.requests for s in loaded)
            self.limit = max(1.0, CUT_FACTOR * min(self.limit, level))
            self._cut_at = self._adapted_at
        elif gradient < GROWTH_GRADIENT:
            self._grow()

    def _grow(self) -> None:
        if self.limit < math.inf:
            self.limit += max(1.0, GROWTH * self.limit)
            if self.limit > MAX_LIMIT_LEVELS * self._level + 1:
                self.limit = math.inf


class CapacityTable:
    """Estimates of all endpoints, by the digest of their incarnation."""

    def __init__(self) -> None:
        self._estimates: dict[int, CapacityEstimate] = {}
        self._references: dict[int, float] = {}
        self._reported: dict[int, EndpointCapacity] = {}

    def add(self, sample: SpeedSample, now: float) -> None:
        """Adds a sample."""
        estimate = self._estimates.get(sample.endpoint)
        if estimate is None:
            estimate = CapacityEstimate(sample.group, now)
            self._estimates[sample.endpoint] = estimate
            while len(self._estimates) > MAX_ENDPOINTS:
                del self._estimates[next(iter(self._estimates))]
        estimate.add(sample.log_ratio, sample.requests, now)

    def renew(self, now: float) -> None:
        """Renews all estimates, and what is usual in each group."""
        self._estimates = {
            endpoint: estimate
            for endpoint, estimate in self._estimates.items()
            if now - estimate.sampled_at < CAPACITY_TTL_S
        }
        by_group: dict[int, list[float]] = {}
        for estimate in self._estimates.values():
            estimate.renew(self._references.get(estimate.group, 0.0), now)
            if (quick := estimate.quick) is not None:
                by_group.setdefault(estimate.group, []).append(quick)
        self._references = {
            group: statistics.median(found) for group, found in by_group.items()
        }

    def capacity(self, endpoint: int) -> EndpointCapacity:
        """Returns what is known of an endpoint."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return EndpointCapacity(endpoint, 0.0, 0)
        limit = 0 if estimate.limit == math.inf else round(estimate.limit)
        reference = self._references.get(estimate.group, 0.0)
        return EndpointCapacity(
            endpoint, quantised(estimate.log_ratio(reference)), limit
        )

    def changes(self) -> list[EndpointCapacity]:
        """Returns the capacities that differ from those marked as reported.

        Those that differ most come first.
        """
        found = []
        for endpoint in self._estimates.keys() | self._reported.keys():
            capacity = self.capacity(endpoint)
            before = self._reported.get(endpoint) or _unknown(endpoint)
            difference = _difference(capacity, before)
            is_forgotten = endpoint not in self._estimates
            if difference >= REPORTED_DIFFERENCE or is_forgotten:
                found.append((difference, capacity))
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


def quantile(ordered: Sequence[float], share: float) -> float:
    """Returns the value that a share of ordered values is up to."""
    place = math.ceil(share * len(ordered)) - 1
    return ordered[min(max(place, 0), len(ordered) - 1)]


def _drop_older(samples: collections.deque[_Sample], begin: float) -> None:
    while samples and samples[0].at < begin:
        samples.popleft()


def _difference(a: EndpointCapacity, b: EndpointCapacity) -> float:
    difference = abs(a.log_ratio - b.log_ratio)
    if a.limit != b.limit:
        larger, smaller = max(a.limit, b.limit), min(a.limit, b.limit)
        difference += 1.0 if not smaller else math.log(larger / smaller)
    return difference


def _unknown(endpoint: int) -> EndpointCapacity:
    return EndpointCapacity(endpoint, 0.0, 0)
