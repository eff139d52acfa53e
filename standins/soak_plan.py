"""The seeded schedule of what happens to members during a soak."""

import enum
import itertools
import random
from collections.abc import Iterator

import attrs

MAX_PAUSE_S = 3.0
MAX_DOWN_S = 3.0
MIN_FREEZE_S = 1.0
# Calm in which the first leader grows older than any time-out of members.
LONG_CALM_S = 16.0


class Kind(enum.Enum):
    """What happens to members."""

    RESTART = "restart"
    LOSE_DISK = "lose_disk"
    REPLACE = "replace"
    REPLACE_PLANNED = "replace_planned"
    FREEZE = "freeze"
    RELOAD = "reload"
    CHANGE_SEEDS = "change_seeds"
    RESTART_ALL = "restart_all"
    SWITCH_BUILD = "switch_build"
    SWITCH_PROXY = "switch_proxy"
    CALM = "calm"


_WEIGHTS = {
    Kind.RESTART: 4,
    Kind.LOSE_DISK: 4,
    Kind.REPLACE: 6,
    Kind.REPLACE_PLANNED: 3,
    Kind.FREEZE: 3,
    Kind.RELOAD: 1,
    Kind.CHANGE_SEEDS: 2,
    Kind.RESTART_ALL: 1,
    Kind.CALM: 4,
}
_SWITCH_WEIGHTS = {Kind.SWITCH_BUILD: 20, Kind.SWITCH_PROXY: 5}
_PAIRED_KINDS = (Kind.RESTART, Kind.LOSE_DISK, Kind.REPLACE)


@attrs.frozen
class Event:
    """One event of the schedule.

    Attributes:
        kind: What happens.
        after_s: Pause after the previous event began; 0 to overlap with it.
        members: Number of members that it happens to.
        prefers_leader: Whether the leader is one of them.
        down_s: How long a member is down, frozen or, if it is replaced by
            plan, stays beside its successor.
        stale_seeds: Whether a new member gets an earlier list of members.
        choice: Seed of the remaining choices.
    """

    kind: Kind
    after_s: float
    members: int
    prefers_leader: bool
    down_s: float
    stale_seeds: bool
    choice: int


def first_calm_s(seed: int) -> float:
    """Returns how long nothing happens after the start."""
    return random.Random(seed).choice((0.0, 2.0, LONG_CALM_S))


def plan_events(seed: int, switches_builds: bool) -> Iterator[Event]:
    """Yields the events of a seed without end.

    Args:
        seed: Seed of all choices.
        switches_builds: Whether members and proxies change their builds.
    """
    choice = random.Random(seed)
    weights = dict(_WEIGHTS)
    if switches_builds:
        weights.update(_SWITCH_WEIGHTS)
    kinds = list(weights)
    for _ in itertools.count():
        kind = choice.choices(kinds, list(weights.values()))[0]
        overlaps = choice.random() < 0.3
        pair = choice.random() < 0.35 and kind in _PAIRED_KINDS
        longest_s = choice.choice((0.3, MAX_DOWN_S))
        down_s = choice.uniform(0.1, longest_s)
        if kind is Kind.FREEZE:
            down_s = choice.uniform(MIN_FREEZE_S, MAX_DOWN_S)
        yield Event(
            kind,
            after_s=0.0 if overlaps else choice.uniform(0.1, MAX_PAUSE_S),
            members=2 if pair else 1,
            prefers_leader=choice.random() < 0.4,
            down_s=down_s,
            stale_seeds=choice.random() < 0.5,
            choice=choice.getrandbits(32),
        )
