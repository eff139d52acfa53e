"""Bounds the sends beyond the first of each request, per service.

All routers share one bound over any window. Each keeps to its part of the
fixed allowance and to the ratio of its own requests, so that the sum stays
within the bound without a message between routers.
"""

import math
from collections import deque

import attrs


@attrs.frozen
class RepeatLimits:
    """The bound of all routers together.

    Attributes:
        ratio: Repeats allowed per request.
        allowance: Repeats allowed beside the ratio.
        window_s: Window over which both are counted, in seconds.
    """

    ratio: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0


# Part of the bound that is used: windows of two routers never agree exactly.
USED_FRACTION = 0.9


class RetryBudget:
    """One router's part of the bound for one service.

    A router that has just started does not know what it spent before, so its
    part of the allowance grows over the first window.

    Args:
        limits: The bound.
        started_at: When the router started, in seconds.
    """

    def __init__(self, limits: RepeatLimits, started_at: float):
        self._limits = limits
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Counts the first send of a request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, router_count: int, now: float) -> bool:
        """Counts a repeat if the bound allows it.

        Args:
            router_count: Routers that share the bound.
            now: Seconds on the router's clock.
        """
        self._expire(now)
        limits = self._limits
        ramp_up = min(1.0, (now - self._started_at) / limits.window_s)
        own_allowance = ramp_up * limits.allowance / max(1, router_count)
        budget = USED_FRACTION * (
            own_allowance + limits.ratio * len(self._requests)
        )
        if len(self._repeats) + 1 > math.floor(budget):
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        horizon = now - self._limits.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= horizon:
                times.popleft()
