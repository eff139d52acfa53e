"""Turns the times of answers into samples of the speed of endpoints.

The time up to the first event or byte is divided by the time that was expected
for this request, and by the usual ratio of both for such requests. So long
prompts, slow kinds of requests and a busy day do not look like slow endpoints.
All times are seconds on the router's clock.
"""

import math
import statistics
from collections.abc import Iterable

import attrs

from knapweedarch.capacity_messages import SpeedSample, incarnation_digest
from knapweedarch.exponential import decay_factor
from knapweedarch.models import Endpoint, EndpointStatus

# Answers to requests sent within this time after an endpoint started or loaded
# weights are no samples: caches and connections are still cold.
COLD_S = 3.0
# Shortest time that is distinguished from none.
SHORTEST_S = 0.001
# Time after which a request counts half in the usual ratio of its kind.
USUAL_HALF_LIFE_S = 20.0
# A request moves the usual ratio as if it had deviated by no more than this.
USUAL_MAX_SURPRISE = math.log(3.0)
# Requests of a kind that must have been seen before any is a sample.
USUAL_MIN_WEIGHT = 5.0
# A request that is not answered after this many times the usual time shows
# that its endpoint is slow before its answer arrives.
OVERDUE_RATIO = 3.0
# Samples of different endpoints that are kept until they are taken.
MAX_SAMPLED = 256
# Kinds of requests, which a caller cannot add to: models or routes.
MAX_KINDS = 256


@attrs.define(eq=False)
class Observation:
    """A request that was sent and not answered yet.

    Attributes:
        endpoint: Digest of the endpoint's incarnation.
        group: Digest of what it serves.
        kind: Kind of the request; each has its own usual time.
        expected_s: Time expected from what is known of the request.
        delay_s: Time for the way to the endpoint and back.
        requests: Requests of all routers at the endpoint when it was sent.
        sent_at: When it was sent.
        has_queued: Whether it has to wait for much work of other requests, so
            that its time says little of the endpoint's speed.
        was_overdue: Whether it was counted as overdue.
    """

    endpoint: int
    group: int
    kind: str
    expected_s: float
    delay_s: float
    requests: int
    sent_at: float
    has_queued: bool = False
    was_overdue: bool = False

    def log_ratio(self, now: float) -> float:
        """Returns the logarithm of the time taken over the expected time."""
        taken_s = max(SHORTEST_S, now - self.sent_at - self.delay_s)
        return math.log(taken_s / max(SHORTEST_S, self.expected_s))


@attrs.define
class _Usual:
    """Usual logarithm of the ratio of the times of one kind of requests."""

    decayed_at: float
    weight: float = 0.0
    total: float = 0.0

    @property
    def value(self) -> float:
        return self.total / self.weight if self.weight else 0.0

    @property
    def is_known(self) -> bool:
        return self.weight >= USUAL_MIN_WEIGHT

    def add(self, value: float, now: float) -> None:
        if self.is_known:
            least = self.value - USUAL_MAX_SURPRISE
            most = self.value + USUAL_MAX_SURPRISE
            value = min(max(value, least), most)
        factor = decay_factor(now - self.decayed_at, USUAL_HALF_LIFE_S)
        self.weight = self.weight * factor + 1.0
        self.total = self.total * factor + value
        self.decayed_at = now


@attrs.frozen
class _Listed:
    """An incarnation of an endpoint.

    Attributes:
        weights: Version of its weights.
        warm_at: From when on requests sent to it give samples.
    """

    weights: str
    warm_at: float


class SpeedObserver:
    """Observes the requests of one router."""

    def __init__(self) -> None:
        self._usual: dict[str, _Usual] = {}
        # In the order in which they were sent.
        self._pending: dict[Observation, None] = {}
        self._listed: dict[int, _Listed] = {}
        self._samples: dict[int, list[SpeedSample]] = {}

    def set_listed(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Notes which endpoints are new, or load weights."""
        before, self._listed = self._listed, {}
        for endpoint in endpoints:
            key = incarnation_digest(endpoint.id, endpoint.incarnation)
            found = before.get(key)
            if found is None or found.weights != endpoint.weights_version:
                found = _Listed(endpoint.weights_version, now + COLD_S)
            if endpoint.status is EndpointStatus.LOADING:
                found = _Listed(endpoint.weights_version, math.inf)
            elif found.warm_at == math.inf:
                found = _Listed(endpoint.weights_version, now + COLD_S)
            self._listed[key] = found

    def usual_s(self, kind: str) -> float:
        """Returns the usual time of a kind that is expected to take 1 s.

        It is 0 while it is not known.
        """
        usual = self._usual.get(kind)
        return math.exp(usual.value) if usual and usual.is_known else 0.0

    def start(self, observation: Observation) -> None:
        """Records that a request is sent."""
        self._pending[observation] = None

    def drop(self, observation: Observation) -> None:
        """Records that a request has ended without an answer."""
        self._pending.pop(observation, None)

    def end(self, observation: Observation, now: float) -> SpeedSample | None:
        """Records the first event or byte of an answer.

        Returns:
            The sample, unless it would say nothing of the endpoint's speed.
        """
        self._pending.pop(observation, None)
        if observation.has_queued or not self._is_warm(observation):
            return None
        usual = self._usual.get(observation.kind)
        if usual is None:
            usual = self._usual[observation.kind] = _Usual(now)
            while len(self._usual) > MAX_KINDS:
                del self._usual[next(iter(self._usual))]
        was_known = usual.is_known
        difference = observation.log_ratio(now) - usual.value
        usual.add(observation.log_ratio(now), now)
        if not was_known:
            return None
        return self._add(observation, difference)

    def overdue(self, now: float) -> list[SpeedSample]:
        """Returns samples of requests whose answers are long overdue."""
        found = []
        for observation in self._pending:
            usual = self._usual.get(observation.kind)
            if observation.was_overdue or not usual or not usual.is_known:
                continue
            difference = observation.log_ratio(now) - usual.value
            if difference < math.log(OVERDUE_RATIO):
                continue
            observation.was_overdue = True
            if self._is_warm(observation):
                found.append(self._add(observation, difference))
        return found

    def take_samples(self, most: int) -> list[SpeedSample]:
        """Returns one sample for each endpoint with news.

        Args:
            most: Largest number of samples; the others are returned later.
        """
        taken = list(self._samples)[:most]
        return [_median(self._samples.pop(endpoint)) for endpoint in taken]

    def _is_warm(self, observation: Observation) -> bool:
        listed = self._listed.get(observation.endpoint)
        return listed is not None and listed.warm_at <= observation.sent_at

    def _add(self, observation: Observation, log_ratio: float) -> SpeedSample:
        sample = SpeedSample(
            *(observation.endpoint, observation.group),
            *(log_ratio, observation.requests),
        )
        self._samples.setdefault(sample.endpoint, []).append(sample)
        while len(self._samples) > MAX_SAMPLED:
            del self._samples[next(iter(self._samples))]
        return sample


def _median(samples: list[SpeedSample]) -> SpeedSample:
    """Returns one sample for several of one endpoint."""
    return SpeedSample(
        *(samples[0].endpoint, samples[0].group),
        statistics.median(s.log_ratio for s in samples),
        statistics.median_high(s.requests for s in samples),
    )
