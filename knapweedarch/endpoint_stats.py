"""What a router has observed of each incarnation of its endpoints.

An endpoint that starts again keeps its id, and requests of its earlier
incarnation may end after that. So observations are held by id and incarnation,
and a late result never changes those of another incarnation.

All times are seconds on the router's clock.
"""

import math
from collections.abc import Iterable, Iterator

import attrs

from knapweedarch.capacity_messages import incarnation_digest
from knapweedarch.exponential import decay_factor
from knapweedarch.held_room import HeldRoom
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.relay_messages import EndpointLoad, endpoint_digest

# Runners whose speeds differ by less are used alike: the loads balance this.
# All routers avoid alike what they take for slow, and know loads late, so that
# others would get several prompts at a time, and prompts leave their caches.
TOLERATED_RATIO = 1.5


@attrs.define
class EndpointStats:
    """Observations of one incarnation of an endpoint by this router.

    Attributes:
        digest: Hash of the endpoint's id in messages of loads.
        requests: Requests that have not ended.
        unread_tokens: Their prompt tokens that are still to be prefilled.
        held_tokens: Their prompt tokens and maximum answer tokens.
        failures: Decayed number of failures.
        successes: Decayed number of successes.
        decayed_at: Time up to which outcomes are decayed.
        claimed: Requests that count as under way since the endpoint had less
            room than was known.
        claimed_until: Time until which they count.
        held: Room that this router holds there.
        avoided_until: Time until which the endpoint gets no requests.
        refused_until: The same after a connection that failed.
        lateness_s: Decayed moving average of the time by which answers missed
            the latency goal.
        incarnation_digest: Hash of the incarnation in messages of capacities.
        learnt_slowness: Time of answers as a ratio of the usual time.
        learnt_limit: Number of requests that it handles well at the same time;
            infinite if none was found.
        tolerated: Ratio of speeds up to which an endpoint is used as if it were
            a usual one.
        probed_until: Time until which the next request tries whether it is
            still slow.
        is_probed: Whether the next request tries it.
        slowness: The slowness that counts at present: that of a usual endpoint
            while it is tried.
        limit: The same for the limit.
    """

    digest: int
    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0
    failures: float = 0.0
    successes: float = 0.0
    decayed_at: float = 0.0
    claimed: int = 0
    claimed_until: float = -math.inf
    held: HeldRoom = attrs.field(factory=HeldRoom)
    avoided_until: float = -math.inf
    refused_until: float = -math.inf
    lateness_s: float = 0.0
    incarnation_digest: int = 0
    learnt_slowness: float = 1.0
    learnt_limit: float = math.inf
    tolerated: float = 1.0
    probed_until: float = -math.inf
    is_probed: bool = False
    slowness: float = 1.0
    limit: float = math.inf

    @property
    def next_use_at(self) -> float:
        """Time from which the endpoint gets requests."""
        return max(self.avoided_until, self.refused_until)

    def decay(self, now: float, half_life_s: float) -> None:
        """Decays the outcomes for the time since the last decay."""
        if self.claimed_until <= now:
            self.claimed = 0
        factor = decay_factor(now - self.decayed_at, half_life_s)
        self.failures *= factor
        self.successes *= factor
        self.lateness_s *= factor
        self.decayed_at = now

    def apply_learnt(self, now: float) -> None:
        """Applies what was learnt, unless the endpoint is tried."""
        self.is_probed = now < self.probed_until
        self.slowness = 1.0 if self.is_probed else self._weighed_slowness()
        self.limit = math.inf if self.is_probed else self.learnt_limit

    def end_probe(self) -> None:
        """Records that a request was sent that tries the endpoint."""
        self.probed_until = -math.inf
        self.is_probed = False
        self.slowness = self._weighed_slowness()
        self.limit = self.learnt_limit

    def _weighed_slowness(self) -> float:
        """Returns the slowness beyond what is tolerated."""
        above = max(1.0, self.learnt_slowness / self.tolerated)
        return min(above, self.learnt_slowness * self.tolerated)

    def failure_rate(self) -> float:
        """Returns the ratio of recent failures, with one success assumed."""
        return self.failures / (self.failures + self.successes + 1.0)

    def load(self) -> EndpointLoad:
        """Returns the load that this router causes, or holds room for."""
        held = len(self.held.freed_at)
        return EndpointLoad(
            *(self.digest, self.requests + self.claimed + held),
            *(self.unread_tokens, self.held_tokens),
        )


class EndpointStatsTable:
    """Observations of each incarnation of each endpoint.

    Those of an incarnation that is not listed any more are kept until its
    requests have ended, since it may be listed again.

    Args:
        half_life_s: Half-life of recorded outcomes.
    """

    def __init__(self, half_life_s: float):
        self._half_life_s = half_life_s
        self._stats: dict[tuple[str, str], EndpointStats] = {}
        # The incarnation of each listed endpoint, by its id.
        self._listed: dict[str, str] = {}

    def __iter__(self) -> Iterator[EndpointStats]:
        return iter(self._stats.values())

    def __len__(self) -> int:
        return len(self._stats)

    def get(self, endpoint: Endpoint) -> EndpointStats | None:
        """Returns the observations of an incarnation, or None."""
        return self._stats.get((endpoint.id, endpoint.incarnation))

    def at(self, endpoint: Endpoint, now: float) -> EndpointStats:
        """Returns those of an incarnation, decayed up to now."""
        key = (endpoint.id, endpoint.incarnation)
        stats = self._stats.get(key)
        if stats is None:
            stats = self._stats[key] = EndpointStats(
                endpoint_digest(endpoint.id),
                decayed_at=now,
                incarnation_digest=incarnation_digest(*key),
                tolerated=(
                    TOLERATED_RATIO
                    if endpoint.kind is EndpointKind.RUNNER
                    else 1.0
                ),
            )
        stats.decay(now, self._half_life_s)
        return stats

    def by_id(self) -> Iterator[tuple[str, EndpointStats]]:
        """Returns the observations with the ids of their endpoints."""
        return (
            (endpoint_id, stats)
            for (endpoint_id, _), stats in self._stats.items()
        )

    def loads(self) -> tuple[EndpointLoad, ...]:
        """Returns the load that this router causes at each endpoint.

        Of an endpoint with several incarnations it is that of the listed one.
        """
        return tuple(
            stats.load()
            for (endpoint_id, incarnation), stats in self._stats.items()
            if stats.requests + stats.claimed + len(stats.held.freed_at)
            and self._listed.get(endpoint_id, incarnation) == incarnation
        )

    def retain(self, listed: Iterable[Endpoint]) -> None:
        """Discards all but the listed incarnations and those with requests."""
        self._listed = {e.id: e.incarnation for e in listed}
        self._stats = {
            (endpoint_id, incarnation): stats
            for (endpoint_id, incarnation), stats in self._stats.items()
            if stats.requests or self._listed.get(endpoint_id) == incarnation
        }
