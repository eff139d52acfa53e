"""Connections that wait for a request, and when their waits end."""

import contextlib
import itertools
import math
from collections.abc import Iterator

import anyio

from knapweedarch.inbound_limits import RecentLimits
from knapweedarch.timers import Clock, ManualClock

# A shorter limit or a stop ends this many waits at a time, with a pause in
# seconds in between, so that the requests of other connections are not delayed.
END_AT_ONCE = 64
END_PAUSE_S = 0.01


class IdleConnections:
    """Ends waits for a request at the idle limit, or all of them at a stop.

    Only the wait is cancelled: what its connection has received is still
    served. One task looks after all waits, so that a changed limit holds for
    those that have begun.
    """

    def __init__(self, limits: RecentLimits, clock: Clock | ManualClock):
        self._limits = limits
        self._clock = clock
        # Start times in seconds on the clock, in the order of their starts.
        self._waits: dict[anyio.CancelScope, float] = {}
        self._stopped = False
        self._changed = anyio.Event()

    def __len__(self) -> int:
        """Returns the number of connections that wait."""
        return len(self._waits)

    @contextlib.contextmanager
    def wait(self) -> Iterator[anyio.CancelScope]:
        """Ends the block without an error at the idle limit or at a stop.

        Yields:
            A scope; cancelling it ends the block earlier.
        """
        with anyio.CancelScope() as scope:
            if self._stopped:
                scope.cancel()
            self._waits[scope] = self._clock.now()
            try:
                yield scope
            finally:
                self._waits.pop(scope, None)

    def apply_limits(self) -> None:
        """Makes changed limits take effect on waits that have begun."""
        self._changed.set()

    def stop(self) -> None:
        """Ends all waits, and later ones at once."""
        self._stopped = True
        self._changed.set()

    async def run(self) -> None:
        """Ends waits when they are due, until cancelled."""
        while True:
            self._changed = anyio.Event()
            ended, pause_s = self._end_due()
            if ended == END_AT_ONCE:
                await anyio.sleep(END_PAUSE_S)
                continue
            with anyio.move_on_after(pause_s):
                await self._changed.wait()

    def _end_due(self) -> tuple[int, float]:
        """Ends some of the waits that are due.

        Returns:
            How many it ended, and the seconds until the next one is due.
        """
        now = self._clock.now()
        limit_s = 0.0 if self._stopped else self._limits.get().idle_s
        due = [
            scope
            for scope, since in itertools.islice(
                self._waits.items(), END_AT_ONCE
            )
            if since + limit_s <= now
        ]
        for scope in due:
            del self._waits[scope]
            scope.cancel()
        if self._stopped:
            return len(due), math.inf
        # A wait that begins later is not due before `limit_s` from now.
        first = next(iter(self._waits.values()), now)
        lapse = self._limits.next_change()
        return len(due), min(first + limit_s, lapse or math.inf) - now
