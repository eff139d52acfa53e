"""Tells when a process is given more work than its processor time allows.

Each step of a request then waits for a turn of the event loop that has become
long, so every request is late, also those that could be served in time if
others were refused. Timers that fire late show how long a turn is.

All times are seconds on the process's clock.
"""

import collections
import math
from collections.abc import Iterable

import attrs

from knapweedarch.deployments import Deployment, Route

# Turns of the event loop from the first byte of a request to that of its
# answer: it is accepted, read, connected, sent, answered and written.
TURNS_PER_REQUEST = 8
# Only a delay that lasts for this long counts. A single long turn, such as that
# of a new configuration or a pause of the process, passes by itself.
STANDING_S = 0.2
# Less urgent requests are refused from this fraction of the goal of the more
# urgent ones on, so that these are still answered in time.
LESS_URGENT_FRACTION = 0.5


class LoopDelay:
    """The shortest delay of a periodic timer within `STANDING_S`.

    Args:
        period_s: Time between two calls of the timer.
    """

    def __init__(self, period_s: float):
        self._period_s = period_s
        self._last_call = -math.inf
        self._delays: collections.deque[float] = collections.deque(
            maxlen=max(2, round(STANDING_S / period_s))
        )

    def record_call(self, now: float) -> None:
        """Records a call of the timer."""
        if self._last_call > -math.inf:
            delay_s = now - self._last_call - self._period_s
            self._delays.append(max(0.0, delay_s))
        self._last_call = now

    @property
    def standing_s(self) -> float:
        """Delay that each of the recent calls had at least."""
        if len(self._delays) < (self._delays.maxlen or 0):
            return 0.0
        return min(self._delays)


@attrs.frozen
class OverloadLimits:
    """Longest expected time in the process, by route.

    Attributes:
        by_route: Times in seconds by the names of the routes.
    """

    by_route: dict[str, float]

    def refuses(self, route: Route, standing_s: float) -> bool:
        """Returns whether a request would take too long in this process.

        Args:
            route: Route of the request.
            standing_s: Standing delay of the event loop.
        """
        limit_s = self.by_route.get(route.name, math.inf)
        return TURNS_PER_REQUEST * standing_s > limit_s


def create_overload_limits(deployment: Deployment) -> OverloadLimits:
    """Derives the limits from the goals and priorities of the routes.

    The most urgent requests of a service may take their goal. Less urgent ones
    are refused before that, by the shortest goal of their service.
    """
    routes = [r for r in deployment.routes if r.goal_s > 0]
    return OverloadLimits({r.name: _limit_s(r, routes) for r in routes})


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
