"""Applies timeouts to the steps of a stream without a timer per token."""

import enum

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

    Attributes:
        expired: The step that exceeded its limit, or None.
    """

    _clock: Clock | ManualClock
    expired: Step | None = None
    _scope: anyio.CancelScope | None = None
    _step: Step = Step.FIRST_EVENT
    _deadline: float = 0.0

    def watch(self, scope: anyio.CancelScope) -> None:
        """Starts to watch a scope; no limit applies until `begin` is called."""
        self._scope, self.expired = scope, None
        self._deadline = float("inf")

    def begin(self, step: Step, limit_s: float) -> None:
        """Starts a step and ends the previous one."""
        self._step = step
        self._deadline = self._clock.now() + limit_s

    def stop(self) -> None:
        """Stops watching."""
        self._scope = None

    async def run(self) -> None:
        """Checks the current step periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._scope and self._clock.now() >= self._deadline:
                self.expired = self._step
                self._scope.cancel()
                self._scope = None
