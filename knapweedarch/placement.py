"""Cost of each candidate runner for a request, and the choice.

The cost is the expected time to the first token in seconds, plus a charge
for the cached blocks that the choice is expected to push out.
"""

import collections
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs
import xxhash

from knapweedarch import models, prefixes


@attrs.frozen
class PlacementConfig:
    """Figures that the cost is made of.

    Attributes:
        prefill_tokens_s: Prompt tokens that a runner computes per second.
        service_s: Mean time that a request occupies a place in the batch.
        distance_s: One-way delay to each data centre in seconds.
        far_s: One-way delay to a data centre not listed.
        eviction_weight: Charge for a block computed anew, as a part of its
            prefill time, when the runner's cache is full.
        spread_s: Largest charge for a low rank in the rendezvous order.
        peer_routers: Routers that choose from the same load reports.
        peer_weight: Part of the peers' expected sends that is counted.
        hot_window_s: Time over which the rate of a prefix is measured.
        hot_target: Load of one runner, as a part of its capacity, at which a
            prefix gets one more runner.
    """

    prefill_tokens_s: float = 20_000.0
    service_s: float = 3.0
    distance_s: Mapping[str, float] = attrs.field(factory=dict)
    far_s: float = 0.005
    eviction_weight: float = 0.5
    spread_s: float = 0.02
    peer_routers: int = 1
    peer_weight: float = 0.3
    hot_window_s: float = 3.0
    hot_target: float = 0.5


@attrs.define
class RunnerLoad:
    """What this router knows about the load of one runner.

    Attributes:
        running: Reported requests in the batch.
        queued: Reported requests waiting.
        queued_tokens: Reported prompt tokens not yet computed.
        reported_at: Arrival of the report on this router's clock.
        finished: Own attempts that the report includes and that ended since.
        pending: Own attempts the report does not include, with the tokens
            that each has to compute.
        ramp_from: When slow start began; minus infinity if it did not.
    """

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    reported_at: float = 0.0
    finished: int = 0
    pending: dict[int, int] = attrs.field(factory=dict)
    ramp_from: float = -math.inf


@attrs.frozen
class Candidate:
    """A runner considered for a request.

    Attributes:
        endpoint: The runner.
        cached_blocks: Leading blocks expected in its cache.
        wait_s: Expected wait before prefill starts, in seconds.
        first_token_s: Expected time to the first token, in seconds.
        cost_s: First-token time plus the charges, in seconds.
    """

    endpoint: models.Endpoint
    cached_blocks: int
    wait_s: float
    first_token_s: float
    cost_s: float


class HotPrefixes:
    """Arrival rates of block chains, decayed over a few seconds."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._rates: dict[int, tuple[float, float]] = {}
        self._next_prune = 0.0

    def note(self, block: int, weight: float, now: float) -> float:
        """Adds one arrival; returns the decayed weight per second."""
        value, at = self._rates.get(block, (0.0, now))
        value = value * math.exp((at - now) / self._window_s) + weight
        self._rates[block] = (value, now)
        if now >= self._next_prune:
            self._prune(now)
        return value / self._window_s

    def _prune(self, now: float) -> None:
        """Drops chains without an arrival for some windows."""
        horizon = now - 4 * self._window_s
        self._rates = {k: v for k, v in self._rates.items() if v[1] > horizon}
        self._next_prune = now + self._window_s


def rendezvous_order(
    block: int, endpoints: Iterable[models.Endpoint]
) -> list[str]:
    """Orders runners by the hash of block and runner, highest first.

    Every router gets the same order without communication, and a runner that
    joins or leaves moves only its own part of the blocks.
    """
    key = block.to_bytes(8, "big")
    return sorted(
        (e.id for e in endpoints),
        key=lambda i: xxhash.xxh3_64_intdigest(key + i.encode()),
        reverse=True,
    )


def spread_block(
    blocks: Sequence[int], depths: Mapping[str, int], candidates: int
) -> int | None:
    """Picks the block whose rendezvous order breaks ties.

    It is the first block that fewer than half of the candidates have, so
    that requests under one widely held prefix spread over its holders.
    """
    if not blocks:
        return None
    counts = collections.Counter(depths.values())
    holders = sum(counts.values())
    for depth in range(len(blocks)):
        holders -= counts.get(depth, 0)
        if holders * 2 < candidates:
            return blocks[depth]
    return blocks[-1]


def plan_loads(
    runners: Sequence[models.Endpoint],
    model: str,
    version: str,
    loading: int,
    limit: int = 3,
) -> list[str]:
    """Chooses the runners that load a new weights version next.

    At most `limit` loads run at once, because the weight store is limited;
    a third of the runners, but at least one, may be away at the same time.

    Args:
        runners: Runners of the model, in the order of least use by guests.
        model: Model name.
        version: Version wanted.
        loading: Loads under way now, of any model.
        limit: Most loads at once.

    Returns:
        Ids of the runners to order, in order.
    """
    serving = [r for r in runners if model in r.serves]
    old = [r.id for r in serving if r.weights_version != version]
    away = max(1, len(serving) // 3)
    return old[: max(0, min(limit, away) - loading)]


class Placer:
    """Estimates costs and chooses a runner."""

    def __init__(self, cfg: PlacementConfig):
        self._cfg = cfg
        self._hot = HotPrefixes(cfg.hot_window_s)

    def wait_s(
        self, endpoint: models.Endpoint, load: RunnerLoad, now: float
    ) -> float:
        """Expected wait before a new request's prefill starts."""
        cfg = self._cfg
        own = sum(load.pending.values())
        hidden = own * (1 + cfg.peer_weight * (cfg.peer_routers - 1))
        queued = (load.queued_tokens + hidden) / cfg.prefill_tokens_s
        wait = max(0.0, queued - max(0.0, now - load.reported_at))
        excess = self.occupancy(load) + 1 - endpoint.slots
        if excess > 0:
            wait += excess * cfg.service_s / endpoint.slots
        return wait

    def occupancy(self, load: RunnerLoad) -> float:
        """Requests expected in the batch and the queue of a runner."""
        cfg = self._cfg
        peers = 1 + cfg.peer_weight * (cfg.peer_routers - 1)
        reported = max(0, load.running + load.queued - load.finished)
        return reported + len(load.pending) * peers

    def queue_wait_s(self, ahead: int, slots: int) -> float:
        """Expected wait behind requests in this router's queue."""
        cfg = self._cfg
        return ahead * cfg.peer_routers * cfg.service_s / max(1, slots)

    def arrived(self, ticket: models.Ticket, now: float) -> None:
        """Notes an arrival for the rates of its prefixes."""

    def candidates(
        self,
        ticket: models.Ticket,
        endpoints: Sequence[models.Endpoint],
        loads: Mapping[str, RunnerLoad],
        depths: Mapping[str, int],
        fill: Mapping[str, float],
        now: float,
    ) -> list[Candidate]:
        """Costs the given runners, cheapest first.

        Args:
            ticket: The request.
            endpoints: Runners that may take it.
            loads: Load by runner.
            depths: Cached leading blocks by runner.
            fill: Used part of each runner's cache, 0 to 1.
            now: Seconds on the router's clock.
        """
        ranks = self._ranks(ticket, endpoints, depths)
        found = [
            self._cost(
                ticket,
                endpoint,
                depths.get(endpoint.id, 0),
                self.wait_s(endpoint, loads[endpoint.id], now),
                fill.get(endpoint.id, 1.0),
                ranks.get(endpoint.id, 0.0),
            )
            for endpoint in endpoints
        ]
        found.sort(key=lambda c: (c.cost_s, c.endpoint.id))
        return found

    def _ranks(
        self,
        ticket: models.Ticket,
        endpoints: Sequence[models.Endpoint],
        depths: Mapping[str, int],
    ) -> dict[str, float]:
        """Relative rank of each runner, 0 for the first and under 1."""
        block = spread_block(ticket.blocks, depths, len(endpoints))
        if block is None:
            block = xxhash.xxh3_64_intdigest(ticket.id.encode())
        order = rendezvous_order(block, endpoints)
        return {name: rank / len(order) for rank, name in enumerate(order)}

    def _cost(
        self,
        ticket: models.Ticket,
        endpoint: models.Endpoint,
        cached: int,
        wait: float,
        fill: float,
        rank: float,
    ) -> Candidate:
        cfg = self._cfg
        hit = min(cached * prefixes.BLOCK_TOKENS, ticket.prompt_tokens)
        prefill = (ticket.prompt_tokens - hit) / cfg.prefill_tokens_s
        distance = cfg.distance_s.get(endpoint.data_centre, cfg.far_s)
        first_token = wait + prefill + 2 * distance
        new_blocks = max(0, len(ticket.blocks) - cached)
        evicted = new_blocks * prefixes.BLOCK_TOKENS / cfg.prefill_tokens_s
        cost = (
            first_token
            + cfg.eviction_weight * fill * evicted
            + cfg.spread_s * rank
        )
        return Candidate(endpoint, cached, wait, first_token, cost)
