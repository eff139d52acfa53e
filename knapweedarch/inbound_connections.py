"""Open connections of a listener: how many, and which are ended for others."""

import contextlib
import typing
from collections import Counter
from collections.abc import Iterator

import anyio

from knapweedarch.caller_ends import CallerRefusal
from knapweedarch.caller_memory import HeldBytes
from knapweedarch.inbound_limits import RecentLimits
from knapweedarch.logs import log
from knapweedarch.timers import Clock, ManualClock

# Interval in seconds at which slow connections are looked for.
SWEEP_INTERVAL_S = 0.5
# A victim leaves within a turn or two of the event loop.
ROOM_INTERVAL_S = 0.02
# A body must grow by this rate, in bytes per second, in each interval of
# `BODY_GRACE_S` seconds. The whole body has a limit of its own.
LEAST_BODY_RATE = 256
BODY_GRACE_S = 10.0


class Connection(typing.Protocol):
    """What is known of a connection; see `InboundConnection`."""

    caller: str
    is_idle: bool
    is_lingering: bool
    held: HeldBytes
    body_bytes: int
    body_began_at: float | None
    write_began_at: float | None

    def end(self, cause: CallerRefusal) -> None:
        """Ends the connection."""


class InboundConnections:
    """The connections of a listener.

    Args:
        limits: Limits for callers.
        clock: Time source.
        most: Most connections; None for no limit.
    """

    def __init__(
        self,
        limits: RecentLimits,
        clock: Clock | ManualClock,
        most: int | None,
    ):
        self._limits = limits
        self._clock = clock
        self._most = most
        self._by_caller: Counter[str] = Counter()
        # Start and size of the interval in which a body must grow.
        self._open: dict[Connection, tuple[float, int]] = {}

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._open)

    @property
    def is_full(self) -> bool:
        """Whether no further connection is served before another one ends."""
        return self._most is not None and len(self._open) >= self._most

    @contextlib.contextmanager
    def add(self, connection: Connection) -> Iterator[None]:
        """Counts a connection in the block."""
        caller = connection.caller
        self._open[connection] = (0.0, 0)
        self._by_caller[caller] += 1
        try:
            yield
        finally:
            del self._open[connection]
            self._by_caller[caller] -= 1
            if not self._by_caller[caller]:
                del self._by_caller[caller]

    async def wait_for_room(self) -> None:
        """Waits until a further connection may be served.

        Connections that stand still are ended for it.
        """
        while self.is_full:
            self._end_one()
            await anyio.sleep(ROOM_INTERVAL_S)

    def _end_one(self) -> None:
        """Ends the connection that is missed least, if any stands still."""
        now = self._clock.now()
        still = [c for c in self._open if self._stands_still(c, now)]
        if not still:
            return
        victim = max(still, key=self._rank)
        self._end(victim, CallerRefusal.NO_CONNECTION)

    def _stands_still(self, connection: Connection, now: float) -> bool:
        if connection.is_lingering:
            return True
        held = connection.held
        if held.in_service and connection.write_began_at is None:
            return False
        return held.is_stalled(now)

    def _rank(self, connection: Connection) -> tuple[bool, int, float]:
        """Returns a key; the connection with the largest one is ended."""
        return (
            connection.is_lingering,
            self._by_caller[connection.caller],
            -connection.held.progressed_at,
        )

    def _end(self, connection: Connection, cause: CallerRefusal) -> None:
        log("caller_ended", caller=connection.caller, cause=cause.value)
        connection.end(cause)

    async def run(self) -> None:
        """Ends connections that are too slow, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = self._clock.now()
            for connection in list(self._open):
                if self._is_too_slow(connection, now):
                    self._end(connection, CallerRefusal.TOO_SLOW)

    def _is_too_slow(self, connection: Connection, now: float) -> bool:
        if connection.write_began_at is not None:
            return now - connection.write_began_at > self._limits.get().idle_s
        if connection.body_began_at is None:
            return False
        since, size = self._open[connection]
        if since < connection.body_began_at:
            self._open[connection] = (connection.body_began_at, 0)
            return False
        if now - since < BODY_GRACE_S:
            return False
        self._open[connection] = (now, connection.body_bytes)
        grown = connection.body_bytes - size
        return grown < LEAST_BODY_RATE * BODY_GRACE_S
