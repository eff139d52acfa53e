"""Chooses the endpoint of a request by estimated cost.

The cost of an endpoint is the expected time to the first byte in seconds,
plus penalties for its load, its recent failures and the parts of the prompt
that it would have to prefill again. A router decides by its own observations
and, while they are fresh, the loads reported by the other routers.

All times are seconds on the router's clock, whose zero point is arbitrary.
"""

import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs
import xxhash

from knapweedarch.capacity_messages import group_digest
from knapweedarch.endpoint_stats import EndpointStats, EndpointStatsTable
from knapweedarch.held_room import OpenRoom
from knapweedarch.learnt_capacities import PROBE_S, LearntCapacities
from knapweedarch.load_relay import no_load
from knapweedarch.models import Endpoint
from knapweedarch.prefill_rates import PrefillRates
from knapweedarch.prompt_parts import Prompt
from knapweedarch.relay_messages import EndpointLoad
from knapweedarch.runner_roles import RunnerRoles, WorkMix, is_prompt_heavy
from knapweedarch.runner_room import RoomSearch
from knapweedarch.speed_samples import Observation
from knapweedarch.stored_parts import PartsIndex, shared_digests
from knapweedarch.target_weights import TargetWeights

# Plain services of a data centre that are compared for a request.
COMPARED_SERVICES = 2


@attrs.frozen
class ChoiceConfig:
    """Parameters of the cost; durations, delays and penalties in seconds.

    Attributes:
        distance_s: One-way delay to each data centre, by name.
        unlisted_distance_s: One-way delay to a data centre that is not listed.
        local_distance_s: Longest one-way delay within a data centre.
        load_penalty_s: Penalty for an endpoint whose slots or memory are all in
            use.
        full_penalty_s: Penalty for an endpoint without a free slot, or without
            memory for the request, which must wait there until others end.
        failure_penalty_s: Penalty for an endpoint at which every request fails.
        rank_penalty_s: Largest penalty for a low rank in the rendezvous order.
        peer_load_weight: Load that each other router is assumed to cause, as a
            ratio of this router's load, while no fresh loads of the others are
            known.
        peer_loads_max_age_s: Age up to which reported loads of other routers
            are used.
        failure_half_life_s: Half-life of recorded failures, successes and
            lateness.
        refused_backoff_s: How long an endpoint that refused a connection is
            avoided.
        busy_backoff_s: How long an endpoint that was full is avoided.
        role_penalty_s: Penalty for a long prompt at a runner that is preferred
            for answers, and the other way round.
        remote_penalty_s: Penalty for sending a request to another data centre.
        old_weights_penalty_s: Penalty for weights that are not the newest.
        weights_limit_s: Time after newer weights became the target, after
            which no request may start on older ones.
        old_weights_margin_s: Time before that limit from which on a runner with
            older weights gets no more requests, while others can serve them.
        sole_old_weights_margin_s: The same if no others can. It allows for the
            time that a request may be queued at the runner before it starts.
        prefill_slowdown: Relative increase of the prefill time per request at
            the runner.
        claimed_room: Ratio of the slots by which one that has turned a request
            away counts as fuller.
        claim_s: How long it does.
        fetch_cost_ratio: Time to fetch a part that another runner has cached,
            as a ratio of the time to prefill it.
        repeat_old_weights_penalty_s: Penalty for weights that are not the
            newest when another endpoint was already tried for the request.
            Loading new weights may break the request off a second time.
        learnt_capacity: Whether the learnt speeds and limits of endpoints enter
            the cost.
        limit_penalty_s: Penalty for an endpoint at its learnt limit.
        probe_bonus_s: By how much the cost of a slow endpoint is lower while it
            is tried whether it still is; less than the cost of a long cached
            prefix.
    """

    distance_s: dict[str, float] = attrs.field(factory=dict)
    unlisted_distance_s: float = 0.005
    local_distance_s: float = 0.001
    load_penalty_s: float = 0.6
    full_penalty_s: float = 1.0
    failure_penalty_s: float = 2.0
    rank_penalty_s: float = 0.1
    peer_load_weight: float = 0.35
    peer_loads_max_age_s: float = 0.5
    failure_half_life_s: float = 3.0
    refused_backoff_s: float = 2.0
    busy_backoff_s: float = 0.15
    role_penalty_s: float = 0.12
    remote_penalty_s: float = 0.15
    old_weights_penalty_s: float = 0.3
    repeat_old_weights_penalty_s: float = 2.0
    weights_limit_s: float = 8.0
    old_weights_margin_s: float = 1.5
    sole_old_weights_margin_s: float = 0.6
    prefill_slowdown: float = 0.1
    claimed_room: float = 0.05
    claim_s: float = 1.0
    fetch_cost_ratio: float = 0.25
    learnt_capacity: bool = False
    limit_penalty_s: float = 0.3
    probe_bonus_s: float = 0.15


class EndpointChooser:
    """Tracks loads and outcomes of endpoints and chooses among them."""

    def __init__(self, cfg: ChoiceConfig, index: PartsIndex, seed: int = 0):
        self._rng = random.Random(seed)
        self._router_count = 1
        self._cfg = cfg
        self._index = index
        self._stats = EndpointStatsTable(cfg.failure_half_life_s)
        self._silent: set[str] = set()
        self._peer_loads: dict[int, EndpointLoad] = {}
        self._peer_loads_at = -math.inf
        self._peer_loads_fresh = False
        self._peer_factor = 1.0
        self._targets = TargetWeights()
        self._rates = PrefillRates()
        self._work: dict[str, WorkMix] = {}
        self._roles: dict[str, RunnerRoles] = {}
        self.learnt = LearntCapacities(random.Random(seed))
        self._open_room = OpenRoom(self._rng)
        # The latest time that was given; for what ends between two requests.
        self._now = 0.0

    def set_router_count(self, count: int) -> None:
        """Sets how many routers, this one included, share the endpoints."""
        self._router_count = max(1, count)
        self._peer_factor = 1.0 + self._cfg.peer_load_weight * max(0, count - 1)

    def set_target_versions(self, versions: dict[str, int], now: float) -> None:
        """Sets the target weights version of each model."""
        self._targets.set(versions, now)

    def has_newest_weights(self, endpoint: Endpoint, prompt: Prompt) -> bool:
        """Returns whether a runner has the target weights version or newer."""
        return self._targets.has_newest(endpoint, prompt.model)

    def _without_outdated(
        self, endpoints: list[Endpoint], model: str, now: float
    ) -> list[Endpoint]:
        """Excludes runners whose weights have been outdated for too long.

        The shorter margin applies only if no runner is within the longer one.
        """
        cfg = self._cfg
        outdated_for_s = {
            e.id: self._targets.outdated_for_s(e, model, now) for e in endpoints
        }
        for margin_s in (
            cfg.old_weights_margin_s,
            cfg.sole_old_weights_margin_s,
        ):
            limit_s = cfg.weights_limit_s - margin_s
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
        barred: Collection[str] = (),
        cautious: Collection[str] = (),
        needs_room: bool = False,
        kind: str = "",
        room: RoomSearch | None = None,
    ) -> Endpoint | None:
        """Chooses the usable endpoint with the lowest cost, or None.

        Args:
            endpoints: Endpoints that may get the request.
            prompt: The prompt; None for plain services.
            tried: Ids of the endpoints that the request was already sent to.
            now: Seconds on the router's clock.
            salt: Returns the text under which the prompt's parts are cached at
                an endpoint; it depends on the endpoint's weights.
            memory_tokens: Capacity of each runner's memory in tokens; 0 for
                plain services.
            barred: Ids of endpoints that may not get the request now.
            cautious: Ids of endpoints that get it only if they have room.
            needs_room: Whether any endpoint gets it only if it has room, as far
                as loads are known.
            kind: Kind of a request without a prompt; see `start_observation`.
            room: What the request may use of each endpoint, as far as loads are
                known; None if that is not limited.
        """
        self._now = now
        untried = [
            e for e in endpoints if e.id not in tried and e.id not in barred
        ]
        usable = [e for e in untried if self.is_usable(e, now)]
        if prompt is not None:
            usable = self._without_outdated(usable, prompt.model, now)
        self._peer_loads_fresh = (
            now - self._peer_loads_at < self._cfg.peer_loads_max_age_s
        )
        if needs_room:
            usable = [
                e
                for e in usable
                if not _is_full(e, self._known_load(e), prompt, memory_tokens)
                and self._known_load(e).requests < self._stats.get(e).limit
            ]
        if room is not None:
            usable = [
                e for e in usable if room.admits(self._known_load(e), e.slots)
            ]
        if cautious:
            usable = self._with_room(
                *(usable, cautious, prompt, memory_tokens, now)
            )
        if self._cfg.learnt_capacity and prompt is None:
            usable = self._compared(usable)
        if not usable:
            return None
        ranks = _ranks(prompt, usable)
        mismatched = self._mismatched(usable, prompt)
        cached_tokens: dict[str, int] = {}
        if prompt is not None:
            cached_tokens = self._cached_tokens(endpoints, prompt, salt, now)
        max_cached_tokens = _max_by_weights(endpoints, cached_tokens)
        base_s = self._base_s(prompt, kind)
        if room is not None and prompt is not None:
            usable = self._compared_runners(
                *(usable, prompt, cached_tokens, room)
            )
        return min(
            usable,
            key=lambda e: self._cost(
                *(e, prompt, ranks, mismatched, memory_tokens),
                *(bool(tried), cached_tokens.get(e.id, 0)),
                max_cached_tokens.get(e.weights_version, 0),
                base_s,
            ),
        )

    def _base_s(self, prompt: Prompt | None, kind: str) -> float:
        """Returns the usual time of a request apart from its prefill."""
        if not self._cfg.learnt_capacity:
            return 0.0
        if prompt is None:
            return self.learnt.observer.usual_s(_route_kind(kind))
        return self._rates.rate(prompt.model).base_s

    def _with_room(
        self,
        usable: Sequence[Endpoint],
        cautious: Collection[str],
        prompt: Prompt | None,
        memory_tokens: int,
        now: float,
    ) -> list[Endpoint]:
        """Returns the endpoints that a request may go to; see `held_room`.

        Endpoints that have not answered this router yet count as ones that must
        not turn requests away, as others do that serve the same.
        """
        held, free, sturdy = [], [], []
        for endpoint in usable:
            stats = self._stats.get(endpoint)
            room = stats.held
            room.is_cautious = endpoint.id in cautious or not room.is_known
            load = self._total_load(endpoint, stats)
            if not room.is_cautious:
                sturdy.append(endpoint)
            elif room.count(now):
                held.append(endpoint)
            elif not _is_full(endpoint, load, prompt, memory_tokens):
                free.append((endpoint, endpoint.slots - load.requests))
        if held or sturdy:
            return held + sturdy
        total = sum(room for _, room in free)
        if not self._open_room.may_take(total, self._router_count, now):
            return []
        weights = [room for _, room in free]
        return self._rng.choices([e for e, _ in free], weights)

    def _compared(self, usable: Sequence[Endpoint]) -> list[Endpoint]:
        """Returns the plain services that are compared for a request.

        A request may take less time than loads take to be known, and all
        routers would choose the same service. So each compares a few at random
        of each data centre, the more often the more one was learnt to handle.
        """
        by_centre: dict[str, list[Endpoint]] = {}
        for endpoint in usable:
            by_centre.setdefault(endpoint.data_centre, []).append(endpoint)
        found = []
        for group in by_centre.values():
            if len(group) > COMPARED_SERVICES:
                group.sort(key=self._draw, reverse=True)
            found += group[:COMPARED_SERVICES]
        return found

    def _draw(self, endpoint: Endpoint) -> float:
        """Draws a number whose order is a sample weighted by capacity."""
        stats = self._stats.get(endpoint)
        weight = min(endpoint.slots, stats.limit) / stats.slowness
        return self._rng.random() ** (1.0 / weight)

    def _compared_runners(
        self,
        usable: Sequence[Endpoint],
        prompt: Prompt,
        cached_tokens: dict[str, int],
        room: RoomSearch,
    ) -> list[Endpoint]:
        """Returns runners to compare: some of each kind, picked by chance.

        Near ones and those that have most of the prompt cached are kinds of
        their own, so that each is found although few are compared.
        """
        kinds: dict[tuple[bool, bool], list[Endpoint]] = {}
        for endpoint in usable:
            is_near = self._distance_s(endpoint) <= self._cfg.local_distance_s
            is_cached = 2 * cached_tokens.get(endpoint.id, 0) >= prompt.tokens
            kinds.setdefault((is_near, is_cached), []).append(endpoint)
        return [
            endpoint
            for kind in kinds.values()
            for endpoint in self._rng.sample(kind, room.compared(len(kind)))
        ]

    def _distance_s(self, endpoint: Endpoint) -> float:
        """Returns the one-way delay to an endpoint's data centre."""
        cfg = self._cfg
        return cfg.distance_s.get(endpoint.data_centre, cfg.unlisted_distance_s)

    def is_usable(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint is neither silent nor avoided."""
        return (
            endpoint.address not in self._silent
            and self._stats.at(endpoint, now).next_use_at <= now
        )

    def record_activity(self, address: str) -> None:
        """Records that a runner answers."""
        self._silent.discard(address)

    def record_silence(self, address: str) -> None:
        """Records that a runner has stopped answering."""
        self._silent.add(address)

    def record_sent(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        unread_tokens: int,
        now: float,
    ) -> None:
        """Adds a request to the load of its endpoint.

        Args:
            endpoint: Endpoint that the request is sent to.
            prompt: Its prompt; None for plain services.
            unread_tokens: Prompt tokens that the runner has to prefill.
            now: Seconds on the router's clock.
        """
        stats = self._stats.at(endpoint, now)
        stats.requests += 1
        stats.held.record_sent()
        if prompt is not None:
            rate = self._rates.rate(prompt.model)
            self._work.setdefault(prompt.model, WorkMix()).record(
                *(prompt, unread_tokens, rate.tokens_s, endpoint.slots, now)
            )
            stats.unread_tokens += unread_tokens
            stats.held_tokens += prompt.tokens + prompt.max_tokens

    def record_prompt_read(
        self, endpoint: Endpoint, unread_tokens: int
    ) -> None:
        """Records that a runner has prefilled the prompt of a request."""
        stats = self._stats.get(endpoint)
        if stats is not None:
            stats.unread_tokens -= unread_tokens

    def record_ended(self, endpoint: Endpoint, prompt: Prompt | None) -> None:
        """Removes a request from the load of its endpoint.

        Its unread tokens must have been removed by `record_prompt_read`.
        """
        stats = self._stats.get(endpoint)
        if stats is None:
            return
        stats.requests -= 1
        stats.held.record_ended(self._now)
        if prompt is not None:
            stats.held_tokens -= prompt.tokens + prompt.max_tokens

    def own_loads(self) -> tuple[EndpointLoad, ...]:
        """Returns the load of this router's own requests."""
        for stats in self._stats:
            stats.held.count(self._now)
        return self._stats.loads()

    def set_peer_loads(self, loads: Iterable[EndpointLoad], now: float) -> None:
        """Sets the loads reported for all other routers together."""
        self._peer_loads = {load.endpoint: load for load in loads}
        self._peer_loads_at = now
        self._now = max(self._now, now)

    def peer_loads_age_s(self, now: float) -> float:
        """Returns the age in seconds of the other routers' loads.

        It is infinite if none were reported yet.
        """
        return now - self._peer_loads_at

    def record_success(
        self, endpoint: Endpoint, lateness_s: float, now: float
    ) -> None:
        """Records a complete answer, or the first event of a stream.

        Args:
            endpoint: Endpoint that answered.
            lateness_s: Time by which the latency goal was missed; negative if
                it was met.
            now: Seconds on the router's clock.
        """
        stats = self._stats.at(endpoint, now)
        stats.successes += 1.0
        stats.lateness_s += 0.3 * (max(0.0, lateness_s) - stats.lateness_s)

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Records a failed request."""
        self._stats.at(endpoint, now).failures += 1.0

    def record_connection_refused(self, endpoint: Endpoint, now: float) -> None:
        """Records a refused connection and avoids the endpoint for a while."""
        stats = self._stats.at(endpoint, now)
        stats.failures += 1.0
        stats.refused_until = now + self._cfg.refused_backoff_s

    def forget_refused_connections(self) -> None:
        """Uses endpoints again whose connections failed."""
        for stats in self._stats:
            stats.refused_until = -math.inf

    def record_replaced(self, endpoint: Endpoint, now: float) -> None:
        """Records that another instance has taken over the address.

        This incarnation of the endpoint gets no more requests.
        """
        self._stats.at(endpoint, now).avoided_until = math.inf

    def claim_room(self, endpoint: Endpoint, now: float) -> None:
        """Lets an endpoint that had no room look fuller, to all routers.

        They learn of it with the loads, before they are turned away as well.
        """
        stats = self._stats.at(endpoint, now)
        stats.claimed += max(1, round(self._cfg.claimed_room * endpoint.slots))
        stats.claimed_until = now + self._cfg.claim_s

    def record_overload(self, endpoint: Endpoint, now: float) -> None:
        """Records that an endpoint is full and avoids it for a moment."""
        stats = self._stats.at(endpoint, now)
        stats.avoided_until = now + self._cfg.busy_backoff_s
        stats.held.record_rejected(now)
        self._now = max(self._now, now)

    def retain(self, kept: Iterable[Endpoint]) -> None:
        """Discards the state of endpoints that are not used any more."""
        found = list(kept)
        self._stats.retain(found)
        self._silent &= {e.address for e in found}

    def _cost(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        ranks: dict[str, float],
        mismatched: Collection[str],
        memory_tokens: int,
        is_repeat: bool,
        cached_tokens: int,
        max_cached_tokens: int,
        base_s: float,
    ) -> float:
        """Returns the cost of an endpoint in seconds.

        Args:
            endpoint: A usable endpoint.
            prompt: The prompt; None for plain services.
            ranks: Rank of each endpoint, from 0 to below 1.
            mismatched: Ids of the runners preferred for other requests.
            memory_tokens: Capacity of the runner's memory in tokens, or 0.
            is_repeat: Whether another endpoint was already tried.
            cached_tokens: Leading prompt tokens that the endpoint has cached.
            max_cached_tokens: Largest `cached_tokens` of any endpoint with the
                same weights, from which the parts can be fetched.
            base_s: Usual time of the request apart from its prefill.
        """
        cfg, stats = self._cfg, self._stats.get(endpoint)
        distance_s = self._distance_s(endpoint)
        remote_penalty_s = (
            cfg.remote_penalty_s if distance_s > cfg.local_distance_s else 0.0
        )
        load = self._total_load(endpoint, stats)
        slowness, slots = stats.slowness, endpoint.slots
        if stats.limit < slots:
            slots = stats.limit
        utilisation = load.requests / max(1, slots)
        if memory_tokens:
            utilisation = max(utilisation, load.held_tokens / memory_tokens)
        cost_s = (
            2 * distance_s + remote_penalty_s + cfg.load_penalty_s * utilisation
        )
        cost_s += cfg.rank_penalty_s * ranks[endpoint.id]
        if _is_full(endpoint, load, prompt, memory_tokens):
            cost_s += cfg.full_penalty_s
        elif load.requests >= slots:
            cost_s += cfg.limit_penalty_s
        if stats.learnt_slowness != 1.0:
            cost_s += base_s * (slowness - 1.0)
            cost_s -= cfg.probe_bonus_s * stats.is_probed
        if endpoint.id in mismatched:
            cost_s += cfg.role_penalty_s
        cost_s += (
            cfg.failure_penalty_s * stats.failure_rate() + stats.lateness_s
        )
        if prompt is not None:
            tokens_s = self._rates.rate(prompt.model).tokens_s
            cost_s += slowness * load.unread_tokens / tokens_s
            if not self.has_newest_weights(endpoint, prompt):
                cost_s += (
                    cfg.repeat_old_weights_penalty_s
                    if is_repeat
                    else cfg.old_weights_penalty_s
                )
            fetchable_tokens = max(0, max_cached_tokens - cached_tokens)
            uncached_tokens = (
                prompt.tokens
                - cached_tokens
                - (1 - cfg.fetch_cost_ratio) * fetchable_tokens
            )
            prefill_s = slowness * uncached_tokens / tokens_s
            cost_s += prefill_s * (1 + cfg.prefill_slowdown * load.requests)
        return cost_s

    def _mismatched(
        self, usable: Sequence[Endpoint], prompt: Prompt | None
    ) -> Collection[str]:
        """Returns the runners that are preferred for other requests."""
        if prompt is None:
            return ()
        model = prompt.model
        roles = self._roles.setdefault(model, RunnerRoles())
        heavy = is_prompt_heavy(prompt, self._rates.rate(model).tokens_s)
        share = self._work.setdefault(model, WorkMix()).answer_share
        return roles.mismatched(usable, share, heavy)

    def start_observation(
        self,
        endpoint: Endpoint,
        prompt: Prompt | None,
        kind: str,
        unread_tokens: int,
        now: float,
    ) -> Observation | None:
        """Begins to observe a request that is about to be sent.

        Args:
            endpoint: Endpoint that it is sent to.
            prompt: Its prompt; None for plain services.
            kind: Name of its route. Requests with a prompt are told apart by
                their model and the tokens to prefill.
            unread_tokens: Tokens of the prompt that the runner has to prefill.
            now: Seconds on the router's clock.

        Returns:
            What `end_observation` needs; None if capacities are not learnt.
        """
        cfg = self._cfg
        if not cfg.learnt_capacity:
            return None
        stats = self._stats.at(endpoint, now)
        distance_s = cfg.distance_s.get(
            endpoint.data_centre, cfg.unlisted_distance_s
        )
        load = self._total_load(endpoint, stats)
        expected_s, kind = 1.0, _route_kind(kind)
        if prompt is not None:
            kind = _prompt_kind(prompt, unread_tokens)
            tokens = load.unread_tokens + unread_tokens
            expected_s = self.prefill_s(prompt, tokens)
        observation = Observation(
            *(stats.incarnation_digest, group_digest(endpoint.serves), kind),
            *(expected_s, 2 * distance_s),
            *(load.requests, now, load.unread_tokens > unread_tokens),
        )
        self.learnt.observer.start(observation)
        stats.end_probe()
        return observation

    def end_observation(self, observation: Observation, now: float) -> None:
        """Records the first event or byte of an answer."""
        self.learnt.end(observation, now)

    def drop_observation(self, observation: Observation) -> None:
        """Records that a request has ended without an answer."""
        self.learnt.observer.drop(observation)

    def set_listed(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Notes which endpoints are new, or load weights."""
        self.learnt.set_listed(endpoints, now)

    def review_capacities(self, interval_s: float, now: float) -> None:
        """Applies what was learnt to the cost of each endpoint.

        Args:
            interval_s: Seconds between two calls.
            now: Seconds on the router's clock.
        """
        learnt = self.learnt
        for stats in self._stats:
            capacity = learnt.capacity(stats.incarnation_digest)
            stats.learnt_slowness = capacity.slowness
            stats.learnt_limit = capacity.limit
            if learnt.is_probe_due(capacity, interval_s, self._router_count):
                stats.probed_until = now + PROBE_S
            stats.apply_learnt(now)

    def slow_endpoints(self, ratio: float) -> dict[str, float]:
        """Returns the slowness of endpoints that are slower than a ratio."""
        return {
            endpoint_id: stats.learnt_slowness
            for endpoint_id, stats in self._stats.by_id()
            if stats.learnt_slowness >= ratio
        }

    @property
    def limited_endpoint_count(self) -> int:
        """Number of endpoints with a learnt limit."""
        return sum(stats.learnt_limit < math.inf for stats in self._stats)

    def expected_first_event_s(
        self, endpoint: Endpoint, prompt: Prompt, unread_tokens: int
    ) -> float:
        """Returns the expected time to the first event, in seconds.

        Args:
            endpoint: A usable runner.
            prompt: The prompt.
            unread_tokens: Tokens of it that the runner has to prefill.
        """
        ahead = self.tokens_ahead(endpoint)
        return self.prefill_s(prompt, ahead + unread_tokens)

    def prefill_s(self, prompt: Prompt, tokens: int) -> float:
        """Returns the expected time to prefill tokens of a prompt's model."""
        return self._rates.rate(prompt.model).expected_s(tokens)

    def tokens_ahead(self, endpoint: Endpoint) -> int:
        """Returns the tokens that a runner has to prefill at the moment."""
        stats = self._stats.get(endpoint)
        if stats is None:
            return 0
        return self._total_load(endpoint, stats).unread_tokens

    def record_first_event(
        self, prompt: Prompt, tokens: int, seconds: float, now: float
    ) -> None:
        """Records the time to the first event of a request.

        Args:
            prompt: Its prompt.
            tokens: Tokens that its runner had to prefill up to this event.
            seconds: Time since the request was sent.
            now: Seconds on the router's clock.
        """
        self._rates.record(prompt.model, tokens, seconds, now)

    def _cached_tokens(
        self,
        endpoints: Sequence[Endpoint],
        prompt: Prompt,
        salt: Callable[[Endpoint], str],
        now: float,
    ) -> dict[str, int]:
        """Returns the leading prompt tokens that each runner has cached."""
        shared: dict[str, list[tuple[int, int]]] = {}
        found = {}
        for endpoint in endpoints:
            text = salt(endpoint)
            if text not in shared:
                shared[text] = shared_digests(prompt, text)
            cached = self._index.parts_at(endpoint.address)
            found[endpoint.id] = cached.leading_tokens(shared[text], now)
        return found

    def _known_load(self, endpoint: Endpoint) -> EndpointLoad:
        """Returns the load at an endpoint without any that is estimated."""
        stats = self._stats.get(endpoint)
        if self._peer_loads_fresh:
            return self._total_load(endpoint, stats)
        return stats.load()

    def _total_load(
        self, endpoint: Endpoint, stats: EndpointStats
    ) -> EndpointLoad:
        """Returns the load of all routers at an endpoint.

        Without fresh loads of the other routers it is estimated from the load
        of this router.
        """
        if not self._peer_loads_fresh:
            factor = self._peer_factor
            return EndpointLoad(
                stats.digest,
                round(stats.requests * factor),
                round(stats.unread_tokens * factor),
                round(stats.held_tokens * factor),
            )
        peer_load = self._peer_loads.get(stats.digest)
        if peer_load is None:
            peer_load = no_load(stats.digest)
        return EndpointLoad(
            stats.digest,
            stats.requests + stats.claimed + peer_load.requests,
            stats.unread_tokens + peer_load.unread_tokens,
            stats.held_tokens + peer_load.held_tokens,
        )


def _is_full(
    endpoint: Endpoint,
    load: EndpointLoad,
    prompt: Prompt | None,
    memory_tokens: int,
) -> bool:
    """Returns whether a request would have to wait for others to end."""
    if load.requests >= endpoint.slots:
        return True
    if prompt is None or not memory_tokens:
        return False
    needed_tokens = prompt.tokens + prompt.max_tokens
    return load.held_tokens + needed_tokens > memory_tokens


def _max_by_weights(
    endpoints: Iterable[Endpoint], cached_tokens: dict[str, int]
) -> dict[str, int]:
    """Returns the most cached tokens of any endpoint, by weights version."""
    found: dict[str, int] = {}
    for endpoint in endpoints:
        tokens = cached_tokens.get(endpoint.id, 0)
        version = endpoint.weights_version
        found[version] = max(found.get(version, 0), tokens)
    return found


def _ranks(
    prompt: Prompt | None, endpoints: Sequence[Endpoint]
) -> dict[str, float]:
    """Returns each endpoint's rank by rendezvous hashing, from 0 to below 1.

    All routers compute the same order without communication.
    """
    if prompt is None or not prompt.affinity_key:
        return {e.id: 0.0 for e in endpoints}
    key = prompt.affinity_key.encode()
    order = sorted(
        (e.id for e in endpoints),
        key=lambda i: xxhash.xxh3_64_intdigest(key + i.encode()),
        reverse=True,
    )
    return {
        endpoint_id: rank / len(order) for rank, endpoint_id in enumerate(order)
    }


def _route_kind(route: str) -> str:
    """Returns the kind of the requests of a route that have no prompt.

    Routes and models may have the same names.
    """
    return f"route {route}"


def _prompt_kind(prompt: Prompt, unread_tokens: int) -> str:
    """Returns the kind of requests with like prompts."""
    return f"model {prompt.model} {unread_tokens.bit_length() // 2}"
