"""Estimates the cost of each candidate runner for a request.

The cost is the expected time to the first token in seconds, plus charges for
recomputed and evicted blocks, for occupancy and for a late position in the
rendezvous order. `plan_loads` chooses the runners that load new weights.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs
import xxhash

from knapweedarch import loads, models, prefixes

# Depths in blocks at which the arrival rate of a prefix is measured. Sampling
# with growing distance bounds the cost of a long prompt.
SAMPLED_DEPTHS = (0, 1, 2, 3, 5, 8, 13, 21, 34, 55)

# Number of cached rendezvous orders at which the cache is cleared; one entry
# takes about 1 KB.
RENDEZVOUS_CACHE_SIZE = 4096


@attrs.frozen
class PlacementConfig:
    """Parameters of the cost function.

    Durations, delays and charges are in seconds.

    Attributes:
        prefill_tokens_s: Prompt tokens that a runner computes per second.
        service_s: Mean time that a request occupies a slot of the batch.
        distance_s: One-way delay to each data centre.
        far_s: One-way delay to a data centre not listed.
        eviction_weight: Charge for the block that a recomputed block evicts
            from a full cache, as a fraction of the block's prefill time;
            proportional to the fill of the cache.
        recompute_weight: Charge for the delay of other requests by a recomputed
            block, as a multiple of the block's prefill time.
        max_rank_charge_s: Upper bound of the charge for a runner's position in
            the rendezvous order; proportional to the position.
        router_count: Number of routers, including this one, that use the same
            load reports.
        peer_weight: Fraction of the other routers' unreported requests that is
            counted; each router is assumed to have as many as this one.
        occupancy_charge_s: Charge for an occupancy equal to the runner's
            slots; proportional to the occupancy.
        replication_discount: Fraction of a block's prefill time that is
            deducted from the cost of a runner to which a hot prefix is to be
            replicated.
        hot_window_s: Time constant of the measured arrival rates.
        hot_load_target: Load from a prefix on one runner, as a fraction of the
            runner's capacity, above which one more runner gets the prefix.
    """

    prefill_tokens_s: float = 20_000.0
    service_s: float = 3.0
    distance_s: Mapping[str, float] = attrs.field(factory=dict)
    far_s: float = 0.005
    eviction_weight: float = 0.5
    recompute_weight: float = 3.0
    max_rank_charge_s: float = 0.02
    router_count: int = 1
    peer_weight: float = 0.1
    occupancy_charge_s: float = 0.3
    replication_discount: float = 0.8
    hot_window_s: float = 3.0
    hot_load_target: float = 1.0


@attrs.frozen
class Candidate:
    """A runner considered for a request.

    Attributes:
        endpoint: The runner.
        cached_blocks: Number of leading blocks expected in its cache.
        wait_s: Expected wait before prefill starts, in seconds.
        first_token_s: Expected time to the first token, in seconds.
        cost_s: Expected time to the first token plus charges, in seconds.
    """

    endpoint: models.Endpoint
    cached_blocks: int
    wait_s: float
    first_token_s: float
    cost_s: float


class HotPrefixes:
    """Exponentially decayed arrival rates of prompt prefixes.

    Args:
        window_s: Time constant of the decay, in seconds.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._counts: dict[int, tuple[float, float]] = {}
        self._next_prune = 0.0

    def record_arrival(self, block: int, now: float) -> None:
        """Counts one arrival of the prefix that ends with a block."""
        count = self.rate(block, now) * self._window_s + 1.0
        self._counts[block] = (count, now)
        if now >= self._next_prune:
            self._prune(now)

    def rate(self, block: int, now: float) -> float:
        """Returns the arrivals per second."""
        known = self._counts.get(block)
        if known is None:
            return 0.0
        count, at = known
        return count * math.exp((at - now) / self._window_s) / self._window_s

    def rate_lower_bound(self, block: int, now: float) -> float:
        """Returns the rate less one standard deviation of the count.

        The result is in arrivals per second and at least 0.
        """
        count = self.rate(block, now) * self._window_s
        return max(0.0, count - math.sqrt(count)) / self._window_s

    def _prune(self, now: float) -> None:
        """Drops prefixes without an arrival within four windows."""
        horizon = now - 4 * self._window_s
        self._counts = {
            block: known
            for block, known in self._counts.items()
            if known[1] > horizon
        }
        self._next_prune = now + self._window_s


def rendezvous_order(
    block: int, endpoints: Iterable[models.Endpoint]
) -> list[str]:
    """Orders runners by the hash of block and runner, highest first.

    Every router computes the same order without communication. When a runner
    joins or leaves, only the blocks for which it is first get another first
    runner.
    """
    key = block.to_bytes(8, "big")
    return sorted(
        (e.id for e in endpoints),
        key=lambda i: xxhash.xxh3_64_intdigest(key + i.encode()),
        reverse=True,
    )


def common_depth(
    blocks: Sequence[int], depths: Mapping[str, int], candidates: int
) -> int:
    """Returns how many leading blocks at least half the candidates have."""
    order = sorted(depths.values(), reverse=True)
    needed = (candidates + 1) // 2
    if len(order) < needed:
        return 0
    return min(order[needed - 1], len(blocks))


def tie_break_block(blocks: Sequence[int], common: int) -> int | None:
    """Returns the block whose rendezvous order breaks ties.

    It is the first block that fewer than half of the candidates have, so
    that requests with a widely cached prefix are spread over the runners that
    have the prefix. If all blocks are widely cached, it is the last one.
    """
    if not blocks:
        return None
    return blocks[min(common, len(blocks) - 1)]


def plan_loads(
    runners: Sequence[models.Endpoint],
    model: str,
    version: str,
    loading: int,
    limit: int = 3,
) -> list[str]:
    """Chooses the runners that load a new weights version next.

    At most `limit` loads run concurrently, because the throughput of the
    weight store is limited. At most a third of the runners, but at least one,
    may be out of service at the same time.

    Args:
        runners: Runners in the order in which they should load the version;
            those that do not serve the model are ignored.
        model: Model name.
        version: Required version.
        loading: Number of loads of any model in progress.
        limit: Maximum number of concurrent loads.

    Returns:
        Ids of the runners to load, in the order of `runners`.
    """
    serving = [r for r in runners if model in r.serves]
    outdated = [r.id for r in serving if r.weights_version != version]
    max_out_of_service = max(1, len(serving) // 3)
    return outdated[: max(0, min(limit, max_out_of_service) - loading)]


class Placer:
    """Estimates the cost of runners and ranks them.

    Attributes:
        tries: Number of cheapest runners tried before a request has to wait.
            1 because the cost of the cheapest includes the wait for it.
    """

    tries = 1

    def __init__(self, cfg: PlacementConfig):
        self._cfg = cfg
        self.set_router_count(cfg.router_count)
        self._hot = HotPrefixes(cfg.hot_window_s)
        self._rank_cache: dict[tuple[int, tuple[str, ...]], dict[str, int]] = {}

    def set_router_count(self, count: int) -> None:
        """Sets the number of routers that use the same load reports.

        Args:
            count: Number of routers, including this one.
        """
        self._cfg = attrs.evolve(self._cfg, router_count=max(1, count))
        self._pending_weight = 1 + self._cfg.peer_weight * (
            self._cfg.router_count - 1
        )

    def wait_s(
        self,
        endpoint: models.Endpoint,
        load: loads.RunnerLoad,
        priority: models.Priority,
        now: float,
    ) -> float:
        """Estimates the wait in seconds until a new request's prefill starts.

        Requests of the same and higher classes that are queued in routers for
        this runner are estimated as if every router had as many as this one.
        """
        cfg = self._cfg
        tokens = load.tokens_ahead(priority, self._pending_weight)
        queued = tokens / cfg.prefill_tokens_s
        wait = max(0.0, queued - max(0.0, now - load.reported_at))
        ahead = sum(load.waiting_by_class[: priority + 1]) * cfg.router_count
        excess = self.occupancy(load) + ahead + 1 - endpoint.slots
        if excess > 0:
            wait += excess * cfg.service_s / endpoint.slots
        return wait

    def occupancy(self, load: loads.RunnerLoad) -> float:
        """Estimates the requests in the batch and queue of a runner."""
        return (
            load.reported_requests() + len(load.pending) * self._pending_weight
        )

    def record_arrival(self, ticket: models.Ticket, now: float) -> None:
        """Counts an arrival at the sampled prefixes of a request."""
        for depth in SAMPLED_DEPTHS:
            if depth >= len(ticket.blocks):
                break
            self._hot.record_arrival(ticket.blocks[depth], now)

    def candidates(
        self,
        ticket: models.Ticket,
        endpoints: Sequence[models.Endpoint],
        runner_loads: Mapping[str, loads.RunnerLoad],
        depths: Mapping[str, int],
        fill: Mapping[str, float],
        now: float,
    ) -> list[Candidate]:
        """Returns the given runners with their costs, cheapest first.

        Args:
            ticket: The request.
            endpoints: Eligible runners.
            runner_loads: Load by runner id.
            depths: Number of cached leading blocks by runner id.
            fill: Used fraction of the cache by runner id, 0 to 1.
            now: Time of the router's clock in seconds.
        """
        common = common_depth(ticket.blocks, depths, len(endpoints))
        block, copies, hot_depth = self._hot_block(ticket, endpoints, now)
        if copies < 2:
            block = tie_break_block(ticket.blocks, common)
        if block is None:
            block = xxhash.xxh3_64_intdigest(ticket.id.encode())
        ranks = self._ranks(block, endpoints)
        # Urgent requests do not pay the prefill time of a replication.
        may_replicate = not loads.is_urgent(ticket.priority)
        found = []
        for endpoint in endpoints:
            rank = ranks[endpoint.id]
            replicate_blocks = (
                hot_depth if may_replicate and rank < copies else 0
            )
            found.append(
                self._cost(
                    ticket,
                    endpoint,
                    depths.get(endpoint.id, 0),
                    runner_loads[endpoint.id],
                    fill.get(endpoint.id, 1.0),
                    max(0, rank - copies + 1) / len(endpoints),
                    replicate_blocks,
                    now,
                )
            )
        found.sort(key=lambda c: (c.cost_s, c.endpoint.id))
        return found

    def _hot_block(
        self,
        ticket: models.Ticket,
        endpoints: Sequence[models.Endpoint],
        now: float,
    ) -> tuple[int | None, int, int]:
        """Finds the longest prefix that needs several runners.

        Returns:
            Last block of the prefix, number of runners that it needs, and
            its length in blocks; None, 1 and 0 if there is no such prefix.
        """
        cfg = self._cfg
        slots = sum(e.slots for e in endpoints) / len(endpoints)
        per_runner = cfg.hot_load_target * slots / cfg.service_s
        best = (None, 1, 0)
        for depth in SAMPLED_DEPTHS:
            if depth >= len(ticket.blocks):
                break
            block = ticket.blocks[depth]
            rate = self._hot.rate_lower_bound(block, now) * cfg.router_count
            copies = min(len(endpoints), math.ceil(rate / per_runner))
            if copies < 2:
                break
            best = (block, copies, depth + 1)
        return best

    def _ranks(
        self, block: int, endpoints: Sequence[models.Endpoint]
    ) -> dict[str, int]:
        """Returns each runner's rendezvous rank, from a cache if possible."""
        key = (block, tuple(e.id for e in endpoints))
        ranks = self._rank_cache.get(key)
        if ranks is None:
            if len(self._rank_cache) >= RENDEZVOUS_CACHE_SIZE:
                self._rank_cache.clear()
            order = rendezvous_order(block, endpoints)
            ranks = {name: rank for rank, name in enumerate(order)}
            self._rank_cache[key] = ranks
        return ranks

    def _cost(
        self,
        ticket: models.Ticket,
        endpoint: models.Endpoint,
        cached: int,
        load: loads.RunnerLoad,
        fill: float,
        rank_fraction: float,
        replicate_blocks: int,
        now: float,
    ) -> Candidate:
        """Returns a runner with its cost.

        Args:
            ticket: The request.
            endpoint: The runner.
            cached: Number of leading blocks in the runner's cache.
            load: Load of the runner.
            fill: Used fraction of the runner's cache, 0 to 1.
            rank_fraction: Position in the rendezvous order after the runners
                that the prefix needs, as a fraction of all runners.
            replicate_blocks: Length in blocks of the prefix that is to be
                replicated to the runner; 0 for none.
            now: Time of the router's clock in seconds.
        """
        cfg = self._cfg
        wait = self.wait_s(endpoint, load, ticket.priority, now)
        block_s = prefixes.BLOCK_TOKENS / cfg.prefill_tokens_s
        hit = min(cached * prefixes.BLOCK_TOKENS, ticket.prompt_tokens)
        prefill = (ticket.prompt_tokens - hit) / cfg.prefill_tokens_s
        new_blocks = max(0, len(ticket.blocks) - cached)
        distance = cfg.distance_s.get(endpoint.data_centre, cfg.far_s)
        first_token = wait + prefill + 2 * distance
        replicated = max(0, replicate_blocks - cached)
        charge = cfg.recompute_weight + cfg.eviction_weight * fill
        cost = (
            first_token
            + charge * (new_blocks - replicated) * block_s
            - cfg.replication_discount * replicated * block_s
            + cfg.occupancy_charge_s * self.occupancy(load) / endpoint.slots
            + cfg.max_rank_charge_s * rank_fraction
        )
        return Candidate(endpoint, cached, wait, first_token, cost)
