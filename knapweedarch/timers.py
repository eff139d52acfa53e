"""Timer service that parts of a process subscribe to."""

import heapq
import itertools
import time
from collections.abc import Callable, Generator
from typing import TypeVar

import anyio
import anyio.lowlevel
import attrs

_T = TypeVar("_T")


async def run_steps(steps: Generator[None, None, _T]) -> _T:
    """Runs a computation to its end; others use the loop between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value
        await anyio.lowlevel.checkpoint()


class Clock:
    """Seconds since boot; counts through suspends, unlike `monotonic`."""

    def now(self) -> float:
        """Returns the time in seconds; its zero has no meaning."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """Clock for tests; time moves only when told."""

    time: float = 0.0

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.time


@attrs.define(eq=False)
class _Timer:
    callback: Callable[[float], None]
    period: float | None = None
    cancelled: bool = False


class Timers:
    """Calls subscribers at their times.

    A subscriber that raises ends the service: an error in a periodic task
    must stop the process and not disappear.
    """

    def __init__(self, clock: Clock | ManualClock):
        self.clock = clock
        # Tuples compare without a call into Python; the count keeps the order
        # of equal times and spares the entries from being compared.
        self._heap: list[tuple[float, int, _Timer]] = []
        self._sequence = itertools.count()
        self._changed = anyio.Event()

    def after(
        self, delay_s: float, callback: Callable[[float], None]
    ) -> Callable[[], None]:
        """Calls back once after `delay_s` seconds; returns a cancel call."""
        return self._add(delay_s, None, callback)

    def every(
        self, period_s: float, callback: Callable[[float], None]
    ) -> Callable[[], None]:
        """Calls back each `period_s` seconds; returns a cancel call."""
        return self._add(period_s, period_s, callback)

    def _add(self, delay_s, period, callback) -> Callable[[], None]:
        timer = _Timer(callback, period)
        self._push(self.clock.now() + delay_s, timer)

        def cancel() -> None:
            timer.cancelled = True

        return cancel

    def _push(self, due: float, timer: _Timer) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        if self._heap[0][2] is timer:
            self._changed.set()

    def next_due(self) -> float | None:
        """Returns the time of the next call, or None without subscribers."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def fire(self) -> int:
        """Calls every subscriber that is due; returns how many."""
        now = self.clock.now()
        fired = 0
        while (due := self.next_due()) is not None and due <= now:
            _, _, timer = heapq.heappop(self._heap)
            if timer.period is not None:
                # A late timer fires once and not once per missed period.
                due += timer.period
                self._push(due if due > now else now + timer.period, timer)
            timer.callback(now)
            fired += 1
        return fired

    async def run(self) -> None:
        """Fires timers until cancelled."""
        while True:
            if self._changed.is_set():
                self._changed = anyio.Event()
            due = self.next_due()
            delay = 3600.0 if due is None else due - self.clock.now()
            if delay > 0:
                with anyio.move_on_after(delay):
                    await self._changed.wait()
            self.fire()
