"""A router's knowledge of the capacity of endpoints.

What the member says, which knows the samples of all routers, comes before what
this router's own samples say. All times are seconds on the router's clock.
"""

import math
import random
from collections.abc import Iterable

import attrs

from knapweedarch.capacity_messages import EndpointCapacity, SpeedSample
from knapweedarch.endpoint_capacity import (
    MAX_LOG_RATIO,
    MIN_LOG_RATIO,
    CapacityTable,
)
from knapweedarch.models import Endpoint
from knapweedarch.speed_samples import Observation, SpeedObserver

# An endpoint that is this much slower than usual gets few requests, so that it
# is tried at this rate by all routers together.
PROBED_LOG_RATIO = math.log(1.4)
PROBES_PER_S = 2.0
# Time for which a router treats an endpoint that it tries as fast.
PROBE_S = 1.0
# Entries that are kept of what the member says.
MAX_SHARED = 2048


@attrs.frozen
class Capacity:
    """What the cost of an endpoint depends on.

    Attributes:
        slowness: Time that it takes as a ratio of the usual time.
        limit: Requests that it handles well at the same time; may be infinite.
    """

    slowness: float = 1.0
    limit: float = math.inf


UNKNOWN = Capacity()


class LearntCapacities:
    """Capacities, as the router knows them.

    Args:
        rng: Source of the choice of endpoints that are tried.

    Attributes:
        observer: Observes this router's requests.
        is_shared: Whether a member shares what all routers learn.
    """

    def __init__(self, rng: random.Random):
        self.observer = SpeedObserver()
        self._rng = rng
        self._own = CapacityTable()
        self._shared: dict[int, EndpointCapacity] = {}
        self.is_shared = False

    def end(self, observation: Observation, now: float) -> None:
        """Records the first event or byte of an answer."""
        sample = self.observer.end(observation, now)
        if sample is not None and not self.is_shared:
            self._own.add(sample, now)

    def review(self, now: float) -> None:
        """Renews the estimates, at an interval."""
        overdue = self.observer.overdue(now)
        if self.is_shared:
            return
        for sample in overdue:
            self._own.add(sample, now)
        self._own.renew(now)

    def take_samples(self, most: int) -> list[SpeedSample]:
        """Returns what is to be reported to the member."""
        return self.observer.take_samples(most)

    def receive(self, capacities: Iterable[EndpointCapacity]) -> None:
        """Applies what the member says."""
        for capacity in capacities:
            self._shared.pop(capacity.endpoint, None)
            if capacity.log_ratio or capacity.limit:
                self._shared[capacity.endpoint] = capacity
        while len(self._shared) > MAX_SHARED:
            del self._shared[next(iter(self._shared))]

    def forget_shared(self) -> None:
        """Forgets what the member said, as the link to it has closed."""
        self._shared.clear()

    def capacity(self, endpoint: int) -> Capacity:
        """Returns what is known of an endpoint, within the bounds.

        Args:
            endpoint: Digest of its incarnation.
        """
        if self.is_shared:
            found = self._shared.get(endpoint)
        else:
            found = self._own.capacity(endpoint)
        if found is None or not (found.log_ratio or found.limit):
            return UNKNOWN
        log_ratio = min(max(found.log_ratio, MIN_LOG_RATIO), MAX_LOG_RATIO)
        limit = max(1.0, found.limit) if found.limit else math.inf
        return Capacity(math.exp(log_ratio), limit)

    def is_probe_due(
        self, capacity: Capacity, interval_s: float, router_count: int
    ) -> bool:
        """Returns whether this router tries a slow endpoint now.

        Args:
            capacity: What is known of the endpoint.
            interval_s: Time between two calls.
            router_count: Number of routers that may try it.
        """
        if capacity.slowness < math.exp(PROBED_LOG_RATIO):
            return False
        chance = PROBES_PER_S * interval_s / max(1, router_count)
        return self._rng.random() < chance

    def set_listed(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Notes which endpoints are new, or load weights."""
        self.observer.set_listed(endpoints, now)
