"""Chooses the endpoint of a request from what this router has seen itself.

The cost of an endpoint is the expected time to the first byte in seconds,
plus charges for its load, its recent failures and the parts of the prompt
that it would have to read again.
"""

import math
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs
import xxhash

from knapweedarch.control_messages import EndpointLoad, LoadShare, LoadTotals
from knapweedarch.models import Endpoint
from knapweedarch.prompt_parts import Prompt
from knapweedarch.stored_parts import PartsIndex

MAX_VERSION_HISTORY = 16


@attrs.frozen
class ChoiceConfig:
    """Figures that the cost is made of.

    Attributes:
        distance_s: One-way delay to each data centre in seconds.
        unlisted_distance_s: One-way delay to a data centre that is not listed.
        local_distance_s: Longest one-way delay within a data centre.
        prefill_tokens_s: Prompt tokens that a runner reads per second.
        load_penalty_s: Charge for an endpoint whose slots or memory are all in
            use.
        failure_penalty_s: Charge for an endpoint at which every request fails.
        rank_penalty_s: Largest charge for a low rank in the rendezvous order.
        peer_load_weight: Load by another router per own load, where it is not
            known.
        peer_loads_max_age_s: Age up to which the load by other routers counts.
        failure_half_life_s: Half-life of failures in seconds.
        refused_backoff_s: How long an endpoint that refuses connections is
            avoided.
        busy_backoff_s: How long an endpoint that has no room is avoided.
        silence_limit_s: Time without a byte from a runner, whose events are
            followed, after which it is avoided.
        remote_penalty_s: Charge for sending a request to another data centre.
        old_weights_penalty_s: Charge for weights that are not the newest.
        old_weights_limit_s: Time from when newer weights were named up to which
            a runner with older ones gets requests beside others.
        sole_old_weights_limit_s: The same where no runner has newer ones; a
            request may wait a moment at the runner before it begins.
        prefill_slowdown: How much longer, per request at a runner, each prompt
            takes to be read.
        fetch_cost_ratio: Time to fetch a part that another runner holds, as a
            part of the time to read it.
        retry_old_weights_penalty_s: The same charge for a request that is sent
            once more: a load may break it off a second time.
    """

    distance_s: dict[str, float] = attrs.field(factory=dict)
    unlisted_distance_s: float = 0.005
    local_distance_s: float = 0.001
    prefill_tokens_s: float = 32_400.0
    load_penalty_s: float = 0.6
    failure_penalty_s: float = 2.0
    rank_penalty_s: float = 0.1
    peer_load_weight: float = 0.35
    peer_loads_max_age_s: float = 0.5
    failure_half_life_s: float = 3.0
    refused_backoff_s: float = 2.0
    busy_backoff_s: float = 0.15
    silence_limit_s: float = 1.4
    remote_penalty_s: float = 0.15
    old_weights_penalty_s: float = 0.3
    retry_old_weights_penalty_s: float = 2.0
    old_weights_limit_s: float = 6.5
    sole_old_weights_limit_s: float = 7.4
    prefill_slowdown: float = 0.1
    fetch_cost_ratio: float = 0.25


@attrs.define
class _EndpointStats:
    """What this router has seen of one incarnation of an endpoint."""

    incarnation: str
    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0
    failures: float = 0.0
    successes: float = 0.0
    decayed_at: float = 0.0
    avoided_until: float = -math.inf
    lateness_s: float = 0.0

    def decay(self, now: float, half_life_s: float) -> None:
        """Lets old outcomes count less."""
        factor = 0.5 ** ((now - self.decayed_at) / half_life_s)
        self.failures *= factor
        self.successes *= factor
        self.lateness_s *= factor
        self.decayed_at = now

    def failure_rate(self) -> float:
        """Part of the recent requests that failed, one success assumed."""
        return self.failures / (self.failures + self.successes + 1.0)


@attrs.frozen
class _TargetVersion:
    """A weights version and when this router learned of it, in seconds."""

    version: int
    at: float


class EndpointChooser:
    """Remembers sends and outcomes, and chooses endpoints."""

    def __init__(self, cfg: ChoiceConfig, index: PartsIndex):
        self._cfg = cfg
        self._index = index
        self._stats: dict[str, _EndpointStats] = {}
        self._last_activity_at: dict[str, float] = {}
        self._peer_loads: dict[str, EndpointLoad] = {}
        self._peer_loads_at = -math.inf
        self._peer_loads_fresh = False
        self._peer_factor = 1.0
        self._target_versions: dict[str, int] = {}
        self._target_history: dict[str, list[_TargetVersion]] = {}

    def set_peer_routers(self, count: int) -> None:
        """Tells how many routers choose among the same endpoints."""
        self._peer_factor = 1.0 + self._cfg.peer_load_weight * max(0, count - 1)

    def set_weights(self, weights: dict[str, int], now: float) -> None:
        """Takes over the weights versions named, by model."""
        for model, version in weights.items():
            if version != self._target_versions.get(model):
                history = self._target_history.setdefault(model, [])
                history.append(_TargetVersion(version, now))
                del history[:-MAX_VERSION_HISTORY]
        self._target_versions = weights

    def has_newest_weights(self, endpoint: Endpoint, prompt: Prompt) -> bool:
        """Tells whether a runner has the weights named last."""
        target = self._target_versions.get(prompt.model, 0)
        return endpoint.weights_number >= target

    def _outdated_for_s(
        self, endpoint: Endpoint, model: str, now: float
    ) -> float:
        """Seconds since newer weights than a runner's were named, or 0."""
        current = endpoint.weights_number
        newer = [
            t
            for t in self._target_history.get(model, ())
            if t.version > current
        ]
        return now - newer[0].at if newer else 0.0

    def _without_outdated(
        self, endpoints: list[Endpoint], model: str, now: float
    ) -> list[Endpoint]:
        """Leaves out runners whose weights were replaced too long ago."""
        cfg = self._cfg
        outdated_for_s = {
            e.id: self._outdated_for_s(e, model, now) for e in endpoints
        }
        for limit_s in (cfg.old_weights_limit_s, cfg.sole_old_weights_limit_s):
            if kept := [
                e for e in endpoints if outdated_for_s[e.id] <= limit_s
            ]:
                return kept
        return []

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        prompt: Prompt | None,
        tried: Collection[str],
        now: float,
        salt: Callable[[Endpoint], str] = lambda endpoint: "",
        memory_tokens: int = 0,
    ) -> Endpoint | None:
        """Chooses an endpoint; returns None if there is none to try.

        Args:
            endpoints: Endpoints that may get the request.
            prompt: The prompt; None for plain services.
            tried: Endpoints that this request has been sent to.
            now: Seconds on the router's clock.
            salt: Text under which the prompt's parts are cached at an
                endpoint; it differs with the endpoint's weights.
            memory_tokens: Tokens that each runner's memory holds; 0 for
                plain services.
        """
        untried = [e for e in endpoints if e.id not in tried]
        usable = [e for e in untried if self.is_usable(e, now)]
        if prompt is not None:
            usable = self._without_outdated(usable, prompt.model, now)
        if not usable:
            return None
        ranks = _ranks(prompt, usable)
        cached_tokens: dict[str, int] = {}
        if prompt is not None:
            cached_tokens = {
                e.id: self._cached_prefix_tokens(e, prompt, salt(e), now)
                for e in endpoints
            }
        max_cached_tokens = max(cached_tokens.values(), default=0)
        self._peer_loads_fresh = (
            now - self._peer_loads_at < self._cfg.peer_loads_max_age_s
        )
        return min(
            usable,
            key=lambda e: self._cost(
                *(e, prompt, ranks, memory_tokens),
                *(bool(tried), cached_tokens.get(e.id, 0), max_cached_tokens),
            ),
        )

    def is_usable(self, endpoint: Endpoint, now: float) -> bool:
        """Tells whether an endpoint is not avoided now."""
        last_activity_at = self._last_activity_at.get(endpoint.address, now)
        is_silent = now - last_activity_at > self._cfg.silence_limit_s
        return (
            not is_silent and self._stats_of(endpoint, now).avoided_until <= now
        )

    def record_activity(self, address: str, now: float) -> None:
        """Notes that a runner, whose events are followed, sent something."""
        self._last_activity_at[address] = now

    def exclude_pause(self, pause_s: float) -> None:
        """Leaves out a time in which this process did not run.

        Runners were not silent in it; nobody listened.
        """
        for address in self._last_activity_at:
            self._last_activity_at[address] += pause_s

    def record_sent(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        unread_tokens: int,
        now: float,
    ) -> None:
        """Notes that a request is on its way.

        Args:
            endpoint: Where it goes.
            prompt: Its prompt; None for plain services.
            unread_tokens: Prompt tokens that the runner does not hold.
            now: Seconds on the router's clock.
        """
        stats = self._stats_of(endpoint, now)
        stats.requests += 1
        if prompt is not None:
            stats.unread_tokens += unread_tokens
            stats.held_tokens += prompt.tokens + prompt.max_tokens

    def record_prompt_read(
        self, endpoint: Endpoint, unread_tokens: int
    ) -> None:
        """Notes that a runner has read the prompt of a request."""
        stats = self._stats.get(endpoint.id)
        if stats is not None and stats.incarnation == endpoint.incarnation:
            stats.unread_tokens -= unread_tokens

    def record_ended(self, endpoint: Endpoint, prompt: Prompt | None) -> None:
        """Notes that a request, whose prompt was read, left the endpoint."""
        stats = self._stats.get(endpoint.id)
        if stats is None or stats.incarnation != endpoint.incarnation:
            return
        stats.requests -= 1
        if prompt is not None:
            stats.held_tokens -= prompt.tokens + prompt.max_tokens

    def own_loads(self) -> LoadShare:
        """Returns the load that this router causes."""
        return LoadShare(
            tuple(
                EndpointLoad(
                    *(name, stats.requests, stats.unread_tokens),
                    stats.held_tokens,
                )
                for name, stats in self._stats.items()
                if stats.requests
            )
        )

    def set_peer_loads(self, totals: LoadTotals, now: float) -> None:
        """Takes over the load that all other routers cause."""
        self._peer_loads = {load.endpoint_id: load for load in totals.loads}
        self._peer_loads_at = now

    def loads_age_s(self, now: float) -> float:
        """Returns the age in seconds of what is known of others' loads."""
        return now - self._peer_loads_at

    def record_success(
        self, endpoint: Endpoint, lateness_s: float, now: float
    ) -> None:
        """Notes a success and how far behind the goal it began."""
        stats = self._stats_of(endpoint, now)
        stats.successes += 1.0
        stats.lateness_s += 0.3 * (max(0.0, lateness_s) - stats.lateness_s)

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Notes a failure."""
        self._stats_of(endpoint, now).failures += 1.0

    def record_connection_refused(self, endpoint: Endpoint, now: float) -> None:
        """Notes that an endpoint takes no connection."""
        stats = self._stats_of(endpoint, now)
        stats.failures += 1.0
        stats.avoided_until = now + self._cfg.refused_backoff_s

    def record_replaced(self, endpoint: Endpoint, now: float) -> None:
        """Notes that another instance has an endpoint's address now."""
        self._stats_of(endpoint, now).avoided_until = math.inf

    def record_overload(self, endpoint: Endpoint, now: float) -> None:
        """Notes that an endpoint is full for a moment."""
        self._stats_of(endpoint, now).avoided_until = (
            now + self._cfg.busy_backoff_s
        )

    def retain(self, kept: Iterable[Endpoint]) -> None:
        """Forgets every endpoint but those given."""
        found = list(kept)
        ids = {e.id for e in found}
        addresses = {e.address for e in found}
        for gone in self._stats.keys() - ids:
            del self._stats[gone]
        for gone in self._last_activity_at.keys() - addresses:
            del self._last_activity_at[gone]

    def _stats_of(self, endpoint: Endpoint, now: float) -> _EndpointStats:
        stats = self._stats.get(endpoint.id)
        if stats is None or stats.incarnation != endpoint.incarnation:
            stats = _EndpointStats(endpoint.incarnation, decayed_at=now)
            self._stats[endpoint.id] = stats
        stats.decay(now, self._cfg.failure_half_life_s)
        return stats

    def _cost(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        ranks: dict[str, float],
        memory_tokens: int,
        is_retry: bool,
        cached_tokens: int,
        max_cached_tokens: int,
    ) -> float:
        cfg, stats = self._cfg, self._stats[endpoint.id]
        distance = cfg.distance_s.get(
            endpoint.data_centre, cfg.unlisted_distance_s
        )
        remote_penalty_s = (
            cfg.remote_penalty_s if distance > cfg.local_distance_s else 0.0
        )
        load = self._total_load(endpoint, stats)
        utilisation = load.requests / max(1, endpoint.slots)
        if memory_tokens:
            utilisation = max(utilisation, load.held_tokens / memory_tokens)
        cost = (
            2 * distance + remote_penalty_s + cfg.load_penalty_s * utilisation
        )
        cost += cfg.rank_penalty_s * ranks[endpoint.id]
        cost += load.unread_tokens / cfg.prefill_tokens_s
        cost += cfg.failure_penalty_s * stats.failure_rate() + stats.lateness_s
        if prompt is not None:
            if not self.has_newest_weights(endpoint, prompt):
                cost += (
                    cfg.retry_old_weights_penalty_s
                    if is_retry
                    else cfg.old_weights_penalty_s
                )
            fetchable_tokens = max(0, max_cached_tokens - cached_tokens)
            uncached_tokens = (
                prompt.tokens
                - cached_tokens
                - (1 - cfg.fetch_cost_ratio) * fetchable_tokens
            )
            prefill_s = uncached_tokens / cfg.prefill_tokens_s
            cost += prefill_s * (1 + cfg.prefill_slowdown * load.requests)
        return cost

    def _cached_prefix_tokens(
        self, endpoint: Endpoint, prompt: Prompt, salt: str, now: float
    ) -> int:
        """Leading tokens of a prompt that a runner holds."""
        cached = self._index.parts_at(endpoint.address)
        return cached.prefix_tokens(prompt, salt, now)

    def _total_load(
        self, endpoint: Endpoint, stats: _EndpointStats
    ) -> EndpointLoad:
        """Load by all routers, estimated where the others' is not known."""
        peer_load = self._peer_loads.get(endpoint.id)
        if not self._peer_loads_fresh:
            factor = self._peer_factor
            return EndpointLoad(
                endpoint.id,
                round(stats.requests * factor),
                round(stats.unread_tokens * factor),
                round(stats.held_tokens * factor),
            )
        if peer_load is None:
            peer_load = EndpointLoad(endpoint.id, 0, 0, 0)
        return EndpointLoad(
            endpoint.id,
            stats.requests + peer_load.requests,
            stats.unread_tokens + peer_load.unread_tokens,
            stats.held_tokens + peer_load.held_tokens,
        )


def _ranks(
    prompt: Prompt | None, endpoints: Sequence[Endpoint]
) -> dict[str, float]:
    """Rank of each endpoint in the prompt's rendezvous order, 0 to 1.

    Every router gets the same order without communication.
    """
    if prompt is None or not prompt.affinity_key:
        return {e.id: 0.0 for e in endpoints}
    key = prompt.affinity_key.encode()
    order = sorted(
        (e.id for e in endpoints),
        key=lambda i: xxhash.xxh3_64_intdigest(key + i.encode()),
        reverse=True,
    )
    return {name: rank / len(order) for rank, name in enumerate(order)}
