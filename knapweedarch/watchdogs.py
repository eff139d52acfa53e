"""Applies timeouts to the steps of a stream without a timer per token."""

import enum
import math
from collections.abc import Callable

import anyio
import attrs

from knapweedarch.timers import Clock, ManualClock

# A step may exceed its limit by up to this much. A cancel scope with a deadline
# around each read and write cost a fifth of the CPU time per token.
CHECK_INTERVAL_S = 0.25


class Step(enum.Enum):
    """Operation that a stream is waiting for."""

    FIRST_EVENT = "first_event"
    NEXT_EVENT = "next_event"
    WRITE = "write"


@attrs.define
class Watchdog:
    """Cancels a scope when its current step exceeds its time limit.

    It acts up to `CHECK_INTERVAL_S` after the limit, and only while `run` runs.
    A step may have a second, longer limit; between the two it is cancelled only
    if the runner may be left.

    Attributes:
        expired: The step that exceeded its limit, or None.
    """

    _clock: Clock | ManualClock
    expired: Step | None = None
    _scope: anyio.CancelScope | None = None
    _step: Step = Step.FIRST_EVENT
    _deadline: float = 0.0
    _last_deadline: float = 0.0
    _may_leave: Callable[[], bool] = lambda: True

    def watch(
        self, scope: anyio.CancelScope, may_leave: Callable[[], bool]
    ) -> None:
        """Starts to watch a scope; no limit applies until `begin` is called.

        Args:
            scope: The scope.
            may_leave: Reserves a further attempt at another runner; returns
                whether it did. Called between the two limits of a step.
        """
        self._scope, self.expired = scope, None
        self._may_leave = may_leave
        self._deadline = self._last_deadline = math.inf

    def begin(
        self, step: Step, limit_s: float, longest_s: float | None = None
    ) -> None:
        """Starts a step and ends the previous one.

        Args:
            step: The step.
            limit_s: Time in seconds after which it may be cancelled.
            longest_s: Time in seconds after which it is cancelled in any case;
                the same if it is left out.
        """
        now = self._clock.now()
        self._step = step
        self._deadline = now + limit_s
        self._last_deadline = now + (longest_s or limit_s)

    def stop(self) -> None:
        """Stops watching."""
        self._scope = None

    async def run(self) -> None:
        """Checks the current step periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._scope and self._is_over():
                self.expired = self._step
                self._scope.cancel()
                self._scope = None

    def _is_over(self) -> bool:
        now = self._clock.now()
        if now < self._deadline:
            return False
        return now >= self._last_deadline or self._may_leave()
