"""Limits the repeats of requests, per service.

A repeat is any send of a request after its first one, as a retry or to resume a
stream. All routers share one limit over any window. Each router uses its share
of the fixed allowance and the ratio of its own requests, so that the total
stays within the limit without messages between routers.
"""

import math
from collections import deque

import attrs


@attrs.frozen
class RepeatLimits:
    """Limit of the repeats of all routers together.

    Attributes:
        ratio: Repeats allowed per request.
        allowance: Repeats allowed in addition to the ratio.
        window_s: Sliding window over which both are counted, in seconds.
    """

    ratio: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0


# Fraction of its share that a router uses. The rest covers that the windows of
# two routers are never aligned.
USED_FRACTION = 0.9
# Fraction of its budget up to which a router repeats requests whose endpoints
# are silent. Silence of many at once is more often a spell than a crash, and
# requests that broke off have no other endpoint to wait for.
SILENCE_FRACTION = 0.5


class RepeatBudget:
    """One router's share of the limit for one service.

    A router that has just started does not know its repeats before the
    restart, so its share of the allowance grows over the first window.

    Args:
        limits: The limit of all routers.
        started_at: When the router started, in seconds on its clock.
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
        """Counts a repeat if the budget allows it.

        Args:
            router_count: Number of routers that share the limit.
            now: Seconds on the router's clock.

        Returns:
            Whether the budget allows the repeat.
        """
        return self._try_acquire(self._allowed(router_count, now), now)

    def try_acquire_for_silence(self, router_count: int, now: float) -> bool:
        """Counts a repeat of a request whose endpoint is silent.

        It leaves a part of the budget for requests that break off, unless the
        budget is a single repeat.

        Args:
            router_count: Number of routers that share the limit.
            now: Seconds on the router's clock.

        Returns:
            Whether the budget allows the repeat.
        """
        allowed = self._allowed(router_count, now)
        part = max(1, math.floor(SILENCE_FRACTION * allowed))
        return self._try_acquire(min(allowed, part), now)

    def release(self) -> None:
        """Takes back the repeat that was counted last, as it was not sent."""
        if self._repeats:
            self._repeats.pop()

    def _allowed(self, router_count: int, now: float) -> int:
        """Returns how many repeats the budget allows within the window."""
        self._expire(now)
        limits = self._limits
        ramp_up = min(1.0, (now - self._started_at) / limits.window_s)
        own_allowance = ramp_up * limits.allowance / max(1, router_count)
        return math.floor(
            USED_FRACTION * (own_allowance + limits.ratio * len(self._requests))
        )

    def _try_acquire(self, allowed: int, now: float) -> bool:
        if len(self._repeats) >= allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        horizon = now - self._limits.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= horizon:
                times.popleft()
