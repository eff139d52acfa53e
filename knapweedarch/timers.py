"""Timer service of the package: clocks, and timers that run callbacks."""

import heapq
import itertools
import time
from collections.abc import Callable

import anyio
import attrs


class Clock:
    """Seconds since boot; unlike `monotonic`, includes suspended time."""

    def now(self) -> float:
        """Returns the time in seconds; only differences are meaningful."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """Clock for tests, whose time is set by the test."""

    time: float = 0.0

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.time


@attrs.define(eq=False)
class _Timer:
    callback: Callable[[float], None]
    period_s: float | None = None
    cancelled: bool = False


class Timers:
    """Runs callbacks once or periodically.

    A callback gets the current time of `clock` in seconds. An exception of a
    callback propagates out of `run`: an error in a periodic task must stop the
    process instead of being lost.
    """

    def __init__(self, clock: Clock | ManualClock):
        self.clock = clock
        # Tuples are compared without running Python code. The sequence number
        # preserves the order of equal times and avoids comparing timers.
        self._heap: list[tuple[float, int, _Timer]] = []
        self._sequence = itertools.count()
        self._changed = anyio.Event()

    def after(
        self, delay_s: float, callback: Callable[[float], None]
    ) -> Callable[[], None]:
        """Calls `callback` once after `delay_s`; returns a cancel function."""
        return self._add(delay_s, None, callback)

    def every(
        self, period_s: float, callback: Callable[[float], None]
    ) -> Callable[[], None]:
        """Calls `callback` every `period_s`; returns a cancel function."""
        return self._add(period_s, period_s, callback)

    def _add(self, delay_s, period_s, callback) -> Callable[[], None]:
        timer = _Timer(callback, period_s)
        self._push(self.clock.now() + delay_s, timer)

        def cancel() -> None:
            timer.cancelled = True

        return cancel

    def _push(self, due: float, timer: _Timer) -> None:
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        if self._heap[0][2] is timer:
            self._changed.set()

    def next_due(self) -> float | None:
        """Returns the time of the next call, or None if there are no timers."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def fire(self) -> int:
        """Runs every callback that is due; returns the number of calls."""
        now = self.clock.now()
        fired = 0
        while (due := self.next_due()) is not None and due <= now:
            _, _, timer = heapq.heappop(self._heap)
            if timer.period_s is not None:
                # A late timer fires once, not once per missed period.
                due += timer.period_s
                self._push(due if due > now else now + timer.period_s, timer)
            timer.callback(now)
            fired += 1
        return fired

    async def run(self) -> None:
        """Fires timers when they are due, until cancelled."""
        while True:
            if self._changed.is_set():
                self._changed = anyio.Event()
            due = self.next_due()
            delay = 3600.0 if due is None else due - self.clock.now()
            if delay > 0:
                with anyio.move_on_after(delay):
                    await self._changed.wait()
            self.fire()
