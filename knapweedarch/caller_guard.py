"""What all listeners of a process share to stay within their bounds."""

from typing import TypeVar

import anyio
import anyio.lowlevel

from knapweedarch.caller_bounds import CallerBounds
from knapweedarch.caller_ends import CallerRefusal
from knapweedarch.caller_memory import CallerMemory, HeldBytes
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.steps import Steps

_T = TypeVar("_T")


class CallerGuard:
    """Memory, turns and counters that concern the callers of a process.

    Attributes:
        bounds: What callers may hold.
        memory: What they hold.
    """

    def __init__(
        self,
        bounds: CallerBounds | None = None,
        metrics: Metrics | None = None,
    ):
        self.bounds = bounds or CallerBounds()
        self.memory = CallerMemory(self.bounds.memory_bytes, self._log_evicted)
        self._metrics = metrics
        self._turns = anyio.Lock(fast_acquire=True)

    def count_refusal(self, cause: CallerRefusal) -> None:
        """Counts a request or connection that was refused or ended."""
        if self._metrics is not None:
            self._metrics.count(f"callers.refused.{cause.value}")

    def update_gauges(self) -> None:
        """Sets the gauges that show how much callers hold."""
        if self._metrics is not None:
            self._metrics.gauge("callers.held_bytes", self.memory.held_bytes)
            self._metrics.gauge("callers.connections", len(self.memory))

    async def take_turn(self) -> None:
        """Waits until a costly piece of work may be done.

        One such piece is done per turn of the event loop, whatever the number
        of callers that cause them, so others are served in between.
        """
        async with self._turns:
            await anyio.lowlevel.checkpoint()

    async def run_in_turns(self, steps: Steps[_T]) -> _T:
        """Runs steps to their end, and takes a turn for each one.

        Returns:
            The result of the steps.
        """
        while True:
            await self.take_turn()
            try:
                next(steps)
            except StopIteration as exc:
                return exc.value

    def _log_evicted(self, entry: HeldBytes, held_bytes: int) -> None:
        log(
            "caller_evicted",
            caller=entry.caller,
            bytes=entry.size,
            held_bytes=held_bytes,
        )
