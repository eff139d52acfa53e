"""Schedulers compared by the bench."""

import bisect
import functools
from collections.abc import Callable, Sequence

import attrs
import xxhash

from bench import runners, workloads, world
from knapweedarch import models, placement, scheduler

# Blocks of the prompt that select the ring position in prefix-consistent
# hashing: system prompt, fleet and the first part of the log or manuscript.
RING_BLOCKS = {"huts": 4, "bindery": 2}

# Load of a runner relative to the mean above which the ring passes it over.
RING_BOUND = 1.25

Candidates = list[placement.Candidate]


@functools.lru_cache
def _ring(names: tuple[str, ...], points: int) -> list[tuple[int, str]]:
    """Points of the given runners in hash order."""
    return sorted(
        (xxhash.xxh3_64_intdigest(f"{name}/{i}".encode()), name)
        for name in names
        for i in range(points)
    )


class RoundRobin(placement.Placer):
    """Runners in turn."""

    tries = world.RUNNERS
    _turn = 0

    def candidates(self, *args) -> Candidates:
        """Starts with the runner after the last one."""
        found = sorted(super().candidates(*args), key=lambda c: c.endpoint.id)
        self._turn += 1
        turn = self._turn % len(found)
        return found[turn:] + found[:turn]


class LeastLoad(placement.Placer):
    """Runners by expected occupancy."""

    tries = world.RUNNERS

    def candidates(self, ticket, endpoints, loads, *rest) -> Candidates:
        """Starts with the least occupied runner."""
        found = super().candidates(ticket, endpoints, loads, *rest)
        return sorted(
            found,
            key=lambda c: (
                self.occupancy(loads[c.endpoint.id]),
                xxhash.xxh3_64_intdigest((ticket.id + c.endpoint.id).encode()),
            ),
        )


class BoundedRing(placement.Placer):
    """Prefix-consistent hashing with bounded load."""

    tries = world.RUNNERS
    ring_blocks = 4
    points = 100

    def candidates(self, ticket, endpoints, loads, *rest) -> Candidates:
        """Follows the ring; runners over the bound come last."""
        found = super().candidates(ticket, endpoints, loads, *rest)
        by_id = {c.endpoint.id: c for c in found}
        key = ticket.blocks[: self.ring_blocks]
        point = key[-1] if key else xxhash.xxh3_64_intdigest(ticket.id.encode())
        ring = _ring(tuple(sorted(by_id)), self.points)
        start = bisect.bisect(ring, (point, ""))
        order = dict.fromkeys(name for _, name in ring[start:] + ring[:start])
        used = {name: self.occupancy(loads[name]) for name in by_id}
        bound = RING_BOUND * (sum(used.values()) + 1) / len(used)
        ranked = sorted(order, key=lambda name: used[name] > max(1.0, bound))
        return [by_id[name] for name in ranked]


@attrs.frozen
class Variant:
    """A kind of scheduler.

    Attributes:
        name: Name in reports.
        placer: Class of the placer.
        change: Changes the configuration, for ablations.
        no_lag: Whether it sees all caches and queues at once.
    """

    name: str
    placer: type[placement.Placer] = placement.Placer
    change: Callable[[scheduler.SchedulerConfig], scheduler.SchedulerConfig] = (
        lambda cfg: cfg
    )
    no_lag: bool = False


OURS = Variant("knapweedarch")
REFERENCE = Variant("reference", no_lag=True)
BASELINES = (
    Variant("round robin", RoundRobin),
    Variant("least load", LeastLoad),
    Variant("bounded ring", BoundedRing),
)
COMPARED = (OURS, REFERENCE, *BASELINES)


def configure(
    deployment: workloads.Deployment, data_centre: str, routers: int
) -> scheduler.SchedulerConfig:
    """Configuration of a deployment's routers."""
    distances = {
        f"dc{i}": deployment.one_way_s for i in range(world.DATA_CENTRES)
    }
    distances[data_centre] = world.SAME_CENTRE_S
    return scheduler.SchedulerConfig(
        placement_cfg=placement.PlacementConfig(
            prefill_tokens_s=runners.PREFILL_TOKENS_S,
            service_s=deployment.service_s,
            distance_s=distances,
            far_s=deployment.one_way_s,
            eviction_weight=deployment.eviction_weight,
            peer_routers=routers,
        )
    )


def maker(
    variant: Variant,
) -> Callable[[str, int, world.World], scheduler.Scheduler]:
    """Makes the function with which a world starts its routers."""

    def make(
        data_centre: str, seed: int, where: world.World
    ) -> scheduler.Scheduler:
        deployment = where.deployment
        cfg = variant.change(
            configure(deployment, data_centre, len(where.routers))
        )
        placer = variant.placer(cfg.placement_cfg)
        if isinstance(placer, BoundedRing):
            placer.ring_blocks = RING_BLOCKS[deployment.name]
        return scheduler.Scheduler(cfg, placer, seed)

    return make


def rules() -> models.Rules:
    """Rules of the eight customers, without limits."""
    return models.Rules(
        customers=tuple(
            models.CustomerRule(f"c{i}", "")
            for i in range(len(workloads.CUSTOMER_SHARES))
        )
    )


def named(variants: Sequence[Variant]) -> dict[str, Variant]:
    """Variants by name."""
    return {v.name: v for v in variants}
