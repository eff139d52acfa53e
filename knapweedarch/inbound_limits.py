"""Limits for callers around a change of the configuration."""

from collections import deque
from collections.abc import Callable

import attrs

from knapweedarch.deployments import CallerLimits
from knapweedarch.timers import Clock, ManualClock

# A change reaches callers and routers up to this much apart, in seconds.
CHANGE_GRACE_S = 2.0


@attrs.frozen
class _Replaced:
    """Limits that were replaced; callers may go by them until `until`."""

    limits: CallerLimits
    until: float


class RecentLimits:
    """The widest of the limits in force and of those just replaced."""

    def __init__(
        self, read: Callable[[], CallerLimits], clock: Clock | ManualClock
    ):
        self._read = read
        self._clock = clock
        self._current = read()
        self._replaced: deque[_Replaced] = deque()

    def get(self) -> CallerLimits:
        """Returns the limits that a caller may go by now."""
        now = self._clock.now()
        current = self._read()
        if current != self._current:
            until = now + CHANGE_GRACE_S
            self._replaced.append(_Replaced(self._current, until))
            self._current = current
        while self._replaced and self._replaced[0].until <= now:
            self._replaced.popleft()
        if not self._replaced:
            return current
        known = [current, *(x.limits for x in self._replaced)]
        return _widest(known)

    def next_change(self) -> float | None:
        """Returns when replaced limits lapse, in seconds on the clock."""
        return self._replaced[0].until if self._replaced else None


def _widest(known: list[CallerLimits]) -> CallerLimits:
    """Returns the largest value of each limit."""
    return CallerLimits(
        **{
            field.name: max(getattr(limits, field.name) for limits in known)
            for field in attrs.fields(CallerLimits)
        }
    )
