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

KEPT_VERSIONS = 16


@attrs.frozen
class ChoiceConfig:
    """Figures that the cost is made of.

    Attributes:
        distance_s: One-way delay to each data centre in seconds.
        far_s: One-way delay to a data centre that is not listed.
        near_s: Longest one-way delay within a data centre.
        prefill_tokens_s: Prompt tokens that a runner reads per second.
        full_s: Charge for an endpoint whose slots or memory are all in use.
        failing_s: Charge for an endpoint at which every request fails.
        rank_s: Largest charge for a low rank in the rendezvous order.
        peer_weight: Load by another router per own load, where it is not
            known.
        loads_fresh_s: Age up to which the load by other routers counts.
        memory_s: Half-life of failures in seconds.
        refused_s: How long an endpoint that refuses connections is avoided.
        busy_s: How long an endpoint that has no room is avoided.
        quiet_s: Time without a byte from a runner, whose events are followed,
            after which it is avoided.
        zone_s: Charge for sending a request to another data centre.
        old_weights_s: Charge for weights that are not the newest.
        old_weights_limit_s: Time from when newer weights were named up to
            which a runner with older ones gets requests beside others.
        old_weights_end_s: The same where no runner has newer ones; a request
            may wait a moment at the runner before it begins.
        delay_weight: How much longer, per request at a runner, each prompt
            takes to be read.
        fetch_part: Time to fetch a part that another runner holds, as a part
            of the time to read it.
        broken_off_s: The same charge for a request that is sent once more: a
            load may break it off a second time.
    """

    distance_s: dict[str, float] = attrs.field(factory=dict)
    far_s: float = 0.005
    near_s: float = 0.001
    prefill_tokens_s: float = 32_400.0
    full_s: float = 0.6
    failing_s: float = 2.0
    rank_s: float = 0.1
    peer_weight: float = 0.35
    loads_fresh_s: float = 0.5
    memory_s: float = 3.0
    refused_s: float = 2.0
    busy_s: float = 0.15
    quiet_s: float = 1.4
    zone_s: float = 0.15
    old_weights_s: float = 0.3
    broken_off_s: float = 2.0
    old_weights_limit_s: float = 6.5
    old_weights_end_s: float = 7.4
    delay_weight: float = 0.1
    fetch_part: float = 0.25


@attrs.define
class _Seen:
    """What this router has seen of one incarnation of an endpoint."""

    incarnation: str
    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0
    failures: float = 0.0
    successes: float = 0.0
    decayed_at: float = 0.0
    avoided_until: float = -math.inf
    late_s: float = 0.0

    def decay(self, now: float, half_life_s: float) -> None:
        """Lets old outcomes count less."""
        factor = 0.5 ** ((now - self.decayed_at) / half_life_s)
        self.failures *= factor
        self.successes *= factor
        self.late_s *= factor
        self.decayed_at = now

    def failing(self) -> float:
        """Part of the recent requests that failed, one success assumed."""
        return self.failures / (self.failures + self.successes + 1.0)


@attrs.frozen
class _NamedWeights:
    """A weights version and when this router learned of it, in seconds."""

    version: int
    at: float


class EndpointChooser:
    """Remembers sends and outcomes, and chooses endpoints."""

    def __init__(self, cfg: ChoiceConfig, index: PartsIndex):
        self._cfg = cfg
        self._index = index
        self._seen: dict[str, _Seen] = {}
        self._heard_at: dict[str, float] = {}
        self._others: dict[str, EndpointLoad] = {}
        self._others_at = -math.inf
        self._knows_others = False
        self._peers = 1.0
        self._weights: dict[str, int] = {}
        self._named: dict[str, list[_NamedWeights]] = {}

    def set_peer_routers(self, count: int) -> None:
        """Tells how many routers choose among the same endpoints."""
        self._peers = 1.0 + self._cfg.peer_weight * max(0, count - 1)

    def set_weights(self, weights: dict[str, int], now: float) -> None:
        """Takes over the weights versions named, by model."""
        for model, version in weights.items():
            if version != self._weights.get(model):
                known = self._named.setdefault(model, [])
                known.append(_NamedWeights(version, now))
                del known[:-KEPT_VERSIONS]
        self._weights = weights

    def has_newest_weights(self, endpoint: Endpoint, prompt: Prompt) -> bool:
        """Tells whether a runner has the weights named last."""
        named = self._weights.get(prompt.model, 0)
        return endpoint.weights_number >= named

    def _replaced_s(self, endpoint: Endpoint, model: str, now: float) -> float:
        """Seconds since newer weights than a runner's were named, or 0."""
        held = endpoint.weights_number
        newer = [n for n in self._named.get(model, ()) if n.version > held]
        return now - newer[0].at if newer else 0.0

    def _without_outdated(
        self, endpoints: list[Endpoint], model: str, now: float
    ) -> list[Endpoint]:
        """Leaves out runners whose weights were replaced too long ago."""
        cfg = self._cfg
        replaced_s = {e.id: self._replaced_s(e, model, now) for e in endpoints}
        for limit_s in (cfg.old_weights_limit_s, cfg.old_weights_end_s):
            if kept := [e for e in endpoints if replaced_s[e.id] <= limit_s]:
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
        fresh = [e for e in endpoints if e.id not in tried]
        able = [e for e in fresh if self.is_usable(e, now)]
        if prompt is not None:
            able = self._without_outdated(able, prompt.model, now)
        if not able:
            return None
        ranks = _ranks(prompt, able)
        held: dict[str, int] = {}
        if prompt is not None:
            held = {
                e.id: self._held(e, prompt, salt(e), now) for e in endpoints
            }
        fetchable = max(held.values(), default=0)
        self._knows_others = now - self._others_at < self._cfg.loads_fresh_s
        return min(
            able,
            key=lambda e: self._cost(
                *(e, prompt, ranks, memory_tokens),
                *(bool(tried), held.get(e.id, 0), fetchable),
            ),
        )

    def is_usable(self, endpoint: Endpoint, now: float) -> bool:
        """Tells whether an endpoint is not avoided now."""
        heard_at = self._heard_at.get(endpoint.address, now)
        is_quiet = now - heard_at > self._cfg.quiet_s
        return not is_quiet and self._of(endpoint, now).avoided_until <= now

    def note_alive(self, address: str, now: float) -> None:
        """Notes that a runner, whose events are followed, sent something."""
        self._heard_at[address] = now

    def skip(self, pause_s: float) -> None:
        """Leaves out a time in which this process did not run.

        Runners were not silent in it; nobody listened.
        """
        for address in self._heard_at:
            self._heard_at[address] += pause_s

    def sent(
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
        seen = self._of(endpoint, now)
        seen.requests += 1
        if prompt is not None:
            seen.unread_tokens += unread_tokens
            seen.held_tokens += prompt.tokens + prompt.max_tokens

    def was_read(self, endpoint: Endpoint, unread_tokens: int) -> None:
        """Notes that a runner has read the prompt of a request."""
        seen = self._seen.get(endpoint.id)
        if seen is not None and seen.incarnation == endpoint.incarnation:
            seen.unread_tokens -= unread_tokens

    def ended(self, endpoint: Endpoint, prompt: Prompt | None) -> None:
        """Notes that a request, whose prompt was read, left the endpoint."""
        seen = self._seen.get(endpoint.id)
        if seen is None or seen.incarnation != endpoint.incarnation:
            return
        seen.requests -= 1
        if prompt is not None:
            seen.held_tokens -= prompt.tokens + prompt.max_tokens

    def own_loads(self) -> LoadShare:
        """Returns the load that this router causes."""
        return LoadShare(
            tuple(
                EndpointLoad(
                    *(name, seen.requests, seen.unread_tokens),
                    seen.held_tokens,
                )
                for name, seen in self._seen.items()
                if seen.requests
            )
        )

    def set_other_loads(self, totals: LoadTotals, now: float) -> None:
        """Takes over the load that all other routers cause."""
        self._others = {load.endpoint_id: load for load in totals.loads}
        self._others_at = now

    def loads_age_s(self, now: float) -> float:
        """Returns the age in seconds of what is known of others' loads."""
        return now - self._others_at

    def succeeded(self, endpoint: Endpoint, late_s: float, now: float) -> None:
        """Notes a success and how far behind the goal it began."""
        seen = self._of(endpoint, now)
        seen.successes += 1.0
        seen.late_s += 0.3 * (max(0.0, late_s) - seen.late_s)

    def failed(self, endpoint: Endpoint, now: float) -> None:
        """Notes a failure."""
        self._of(endpoint, now).failures += 1.0

    def refused(self, endpoint: Endpoint, now: float) -> None:
        """Notes that an endpoint takes no connection."""
        seen = self._of(endpoint, now)
        seen.failures += 1.0
        seen.avoided_until = now + self._cfg.refused_s

    def ended_for_good(self, endpoint: Endpoint, now: float) -> None:
        """Notes that another instance has an endpoint's address now."""
        self._of(endpoint, now).avoided_until = math.inf

    def had_no_room(self, endpoint: Endpoint, now: float) -> None:
        """Notes that an endpoint is full for a moment."""
        self._of(endpoint, now).avoided_until = now + self._cfg.busy_s

    def forget(self, kept: Iterable[Endpoint]) -> None:
        """Forgets every endpoint but those given."""
        found = list(kept)
        ids = {e.id for e in found}
        addresses = {e.address for e in found}
        for gone in self._seen.keys() - ids:
            del self._seen[gone]
        for gone in self._heard_at.keys() - addresses:
            del self._heard_at[gone]

    def _of(self, endpoint: Endpoint, now: float) -> _Seen:
        seen = self._seen.get(endpoint.id)
        if seen is None or seen.incarnation != endpoint.incarnation:
            seen = _Seen(endpoint.incarnation, decayed_at=now)
            self._seen[endpoint.id] = seen
        seen.decay(now, self._cfg.memory_s)
        return seen

    def _cost(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        ranks: dict[str, float],
        memory_tokens: int,
        again: bool,
        held: int,
        fetchable: int,
    ) -> float:
        cfg, seen = self._cfg, self._seen[endpoint.id]
        distance = cfg.distance_s.get(endpoint.data_centre, cfg.far_s)
        zone_s = cfg.zone_s if distance > cfg.near_s else 0.0
        load = self._load(endpoint, seen)
        full = load.requests / max(1, endpoint.slots)
        if memory_tokens:
            full = max(full, load.held_tokens / memory_tokens)
        cost = 2 * distance + zone_s + cfg.full_s * full
        cost += cfg.rank_s * ranks[endpoint.id]
        cost += load.unread_tokens / cfg.prefill_tokens_s
        cost += cfg.failing_s * seen.failing() + seen.late_s
        if prompt is not None:
            if not self.has_newest_weights(endpoint, prompt):
                cost += cfg.broken_off_s if again else cfg.old_weights_s
            fetched = max(0, fetchable - held)
            missing = prompt.tokens - held - (1 - cfg.fetch_part) * fetched
            prefill_s = missing / cfg.prefill_tokens_s
            cost += prefill_s * (1 + cfg.delay_weight * load.requests)
        return cost

    def _held(
        self, endpoint: Endpoint, prompt: Prompt, salt: str, now: float
    ) -> int:
        """Leading tokens of a prompt that a runner holds."""
        held = self._index.of(endpoint.address)
        return held.prefix_tokens(prompt, salt, now)

    def _load(self, endpoint: Endpoint, seen: _Seen) -> EndpointLoad:
        """Load by all routers, estimated where the others' is not known."""
        others = self._others.get(endpoint.id)
        if not self._knows_others:
            part = self._peers
            return EndpointLoad(
                endpoint.id,
                round(seen.requests * part),
                round(seen.unread_tokens * part),
                round(seen.held_tokens * part),
            )
        if others is None:
            others = EndpointLoad(endpoint.id, 0, 0, 0)
        return EndpointLoad(
            endpoint.id,
            seen.requests + others.requests,
            seen.unread_tokens + others.unread_tokens,
            seen.held_tokens + others.held_tokens,
        )


def _ranks(
    prompt: Prompt | None, endpoints: Sequence[Endpoint]
) -> dict[str, float]:
    """Rank of each endpoint in the prompt's rendezvous order, 0 to 1.

    Every router gets the same order without communication.
    """
    if prompt is None or not prompt.home:
        return {e.id: 0.0 for e in endpoints}
    key = prompt.home.encode()
    order = sorted(
        (e.id for e in endpoints),
        key=lambda i: xxhash.xxh3_64_intdigest(key + i.encode()),
        reverse=True,
    )
    return {name: rank / len(order) for rank, name in enumerate(order)}
