"""Tells when a process is given more work than its processor time allows.

Each step of a request then waits for a turn of the event loop that has become
long, so every request is late, also those that could be served in time if
others were refused. Timers that fire late show how long a turn is.

All times are seconds on the process's clock.
"""

import math
import random
from collections.abc import Iterable

import attrs

from knapweedarch.deployments import Deployment, Route

# Turns of the event loop from the first byte of a request to that of its
# answer: it is accepted, read, connected, sent, answered and written.
TURNS_PER_REQUEST = 8
# Turns until a request is read: the one in which it arrives, and the one in
# which its connection is accepted.
TURNS_UNTIL_READ = 2
# Only a delay that lasts for this long counts. A single long turn, such as that
# of a new configuration or a pause of the process, passes by itself.
STANDING_S = 0.2
# Less urgent requests are refused from this fraction of the goal of the more
# urgent ones on, so that these are still answered in time.
LESS_URGENT_FRACTION = 0.5
# Time in which the admitted part of the requests falls to 1 / e while it is too
# large, and in which it grows back to all.
FALL_S = 0.2
GROWTH_S = 2.5
# Some are always admitted, which shows when there is processor time again.
LEAST_ADMITTED = 0.05


class LoopDelay:
    """The shortest recent delay of a periodic timer.

    Args:
        period_s: Time between two calls of the timer.

    Attributes:
        standing_s: Delay that each recent call had at least. Recent are those
            of the last `STANDING_S`, and two at least.
    """

    def __init__(self, period_s: float):
        self.standing_s = 0.0
        self._period_s = period_s
        self._calls: list[tuple[float, float]] = []

    def record_call(self, now: float) -> float:
        """Records a call of the timer; returns the time since the last one."""
        since_s = self._period_s
        if self._calls:
            since_s = now - self._calls[-1][0]
        self._calls.append((now, max(0.0, since_s - self._period_s)))
        while len(self._calls) > 2 and self._calls[1][0] < now - STANDING_S:
            del self._calls[0]
        is_recent = now - self._calls[0][0] >= STANDING_S - self._period_s
        self.standing_s = min(d for _, d in self._calls) if is_recent else 0.0
        return since_s


@attrs.define
class _Group:
    """Routes that bear the same delay.

    Attributes:
        limit_s: Longest expected time in the process.
        admitted: Part of their requests that is admitted.
    """

    limit_s: float
    admitted: float = 1.0

    def adapt(self, expected_s: float, since_s: float) -> None:
        if expected_s > self.limit_s:
            fallen = self.admitted * math.exp(-since_s / FALL_S)
            self.admitted = max(LEAST_ADMITTED, fallen)
        else:
            self.admitted = min(1.0, self.admitted + since_s / GROWTH_S)


class OverloadControl:
    """Decides which requests an overloaded process refuses.

    Args:
        period_s: Time between two calls of `tick`.
        rng: Source of the choice of requests.
    """

    def __init__(self, period_s: float, rng: random.Random):
        self._delay = LoopDelay(period_s)
        self._rng = rng
        self._groups: dict[float, _Group] = {}
        self._by_route: dict[str, _Group] = {}

    @property
    def standing_s(self) -> float:
        """Delay of each recent turn of the event loop at least."""
        return self._delay.standing_s

    @property
    def unread_s(self) -> float:
        """Time that a request waits at least until it is read."""
        return TURNS_UNTIL_READ * self._delay.standing_s

    def set_deployment(self, deployment: Deployment) -> None:
        """Derives limits from the goals and priorities of the routes.

        The most urgent requests of a service may take their goal. Less urgent
        ones are refused before that, by the shortest goal of their service.
        """
        routes = [r for r in deployment.routes if r.goal_s > 0]
        limits = {r.name: _limit_s(r, routes) for r in routes}
        self._groups = {
            limit_s: self._groups.get(limit_s) or _Group(limit_s)
            for limit_s in limits.values()
        }
        self._by_route = {n: self._groups[s] for n, s in limits.items()}

    def tick(self, now: float) -> None:
        """Adapts to how late this call of a periodic timer comes."""
        since_s = self._delay.record_call(now)
        expected_s = TURNS_PER_REQUEST * self._delay.standing_s
        for group in self._groups.values():
            group.adapt(expected_s, since_s)

    def refuses(self, route: Route) -> bool:
        """Returns whether a request on a route is refused."""
        group = self._by_route.get(route.name)
        if group is None or group.admitted >= 1.0:
            return False
        return self._rng.random() >= group.admitted


def create_overload_control(period_s: float, seed: int) -> OverloadControl:
    """Creates the overload control of a process.

    Args:
        period_s: Time between two calls of its timer.
        seed: Seed of the choice of requests.
    """
    return OverloadControl(period_s, random.Random(seed))


def _limit_s(route: Route, routes: Iterable[Route]) -> float:
    services = {share.service for share in route.split}
    more_urgent_s = [
        other.goal_s
        for other in routes
        if other.priority < route.priority
        and any(share.service in services for share in other.split)
    ]
    if not more_urgent_s:
        return route.goal_s
    return LESS_URGENT_FRACTION * min(route.goal_s, *more_urgent_s)
