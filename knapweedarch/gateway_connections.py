"""Open connections of the gateway's callers, and which are ended for others."""

import contextlib
import functools
import socket
from collections import Counter

import anyio
import attrs

from knapweedarch.caller_ends import CallerRefusal
from knapweedarch.caller_guard import CallerGuard
from knapweedarch.caller_memory import STALL_S, HeldBytes
from knapweedarch.gateway_sockets import (
    AcceptedSockets,
    CallerSocket,
    accept_caller,
)
from knapweedarch.logs import log
from knapweedarch.timers import Clock, ManualClock

# Interval in seconds at which unfinished heads are looked for.
SWEEP_INTERVAL_S = 0.5
# Time in seconds from the first byte of a head to its end.
HEAD_TIMEOUT_S = 10.0
# Time in seconds after which a body that still arrives may be given up, if all
# connections are in use and none stands still.
SLOW_S = 2.0
# Connections that are being closed at a time, as a share of the limit.
ENDING_SHARE = 4
# A connection that was ended is closed within some turns of the event loop.
ROOM_INTERVAL_S = 0.01
# Delay in seconds after an error to accept, as for want of descriptors.
FAILED_ACCEPT_DELAY_S = 0.1


@attrs.define(eq=False)
class GatewayConnection:
    """A connection of a caller.

    Attributes:
        caller: Address of the caller, without its port.
        progressed_at: When bytes last arrived or a request ended, in seconds
            of the clock.
        head_began_at: When the first byte of an unfinished head arrived, on the
            same clock; None if there is none.
        running: Requests whose heads were read and that have not ended. The
            next one may begin just before one ends.
        began_at: When the head of its last request was read, on the same clock.
        held: What its request holds; None without one.
        is_ending: Whether it was ended and will be closed.
    """

    caller: str
    _socket: CallerSocket
    _clock: Clock | ManualClock
    progressed_at: float
    head_began_at: float | None = None
    running: int = 0
    began_at: float = 0.0
    held: HeldBytes | None = None
    is_ending: bool = False

    def record_received(self, size: int) -> None:
        """Records that bytes arrived, or the end of the input."""
        if not size:
            return
        self.progressed_at = self._clock.now()
        if not self.running and self.head_began_at is None:
            self.head_began_at = self.progressed_at

    def is_over(self) -> bool:
        """Returns whether the end of its input ends the connection.

        A caller may end its side and wait for its answer.
        """
        return self.is_ending or not self.running

    def begin_request(self) -> None:
        """Records that a head was read."""
        self.running += 1
        self.began_at = self._clock.now()
        self.head_began_at = None

    def end_request(self) -> None:
        """Records that the request has ended."""
        self.running -= 1
        if not self.running:
            self.held = None
        self.progressed_at = self._clock.now()

    def is_stalled(self, now: float) -> bool:
        """Returns whether it may be ended for another connection.

        A request that runs is not ended, unless its caller does not read, and
        no connection is whose bytes wait for this process.
        """
        if not self.running:
            is_old = now - self.progressed_at >= STALL_S
            return is_old and not self._socket.has_input()
        if self.held is None or not self.held.is_stalled(now):
            return False
        if self.held.awaits_caller:
            return True
        return not (self.held.in_service or self._socket.has_input())

    def is_slow(self, now: float) -> bool:
        """Returns whether a body has been arriving for `SLOW_S`.

        One in very small chunks does, without standing still.
        """
        if self.held is None or self.held.in_service:
            return False
        return now - self.began_at >= SLOW_S

    def end(self) -> None:
        """Resets the connection; what it has not sent is dropped."""
        self.is_ending = True
        if self.held is not None and not self.held.is_evicted:
            self.held.evict()
        self._socket.reset()


class GatewayConnections:
    """The connections of the gateway's listener.

    Args:
        guard: Bounds and counters.
        clock: Time source.
    """

    def __init__(self, guard: CallerGuard, clock: Clock | ManualClock):
        self._guard = guard
        self._clock = clock
        self._open: dict[tuple, GatewayConnection] = {}

    def find(self, client: object) -> GatewayConnection | None:
        """Returns the connection of an ASGI scope's `client`, if known."""
        return self._open.get(tuple(client)) if client else None

    async def accept_all(
        self, listener: socket.socket, accepted: AcceptedSockets
    ) -> None:
        """Accepts connections until the listener is closed.

        At the limit, callers wait in the kernel's queue, and connections that
        stand still are ended for them.

        Args:
            listener: The listener.
            accepted: Takes the connections.
        """
        with contextlib.suppress(anyio.ClosedResourceError):
            while listener.fileno() >= 0:
                await anyio.wait_readable(listener)
                await self._wait_for_room()
                if listener.fileno() < 0:
                    return
                await self._accept(listener, accepted)

    async def _accept(
        self, listener: socket.socket, accepted: AcceptedSockets
    ) -> None:
        try:
            conn, address = accept_caller(listener)
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError as exc:
            log("accept_failed", reason=repr(exc))
            await anyio.sleep(FAILED_ACCEPT_DELAY_S)
            return
        self._add(conn, address)
        accepted.add(conn, address)

    async def _wait_for_room(self) -> None:
        while not self._make_room():  # noqa: ASYNC110
            await anyio.sleep(ROOM_INTERVAL_S)

    def _make_room(self) -> bool:
        """Returns whether a further connection may be accepted."""
        most = self._guard.bounds.max_connections
        if most is None or len(self._open) < most:
            return True
        ending = len(self._open) - len(self._serving())
        if ending < max(1, most // ENDING_SHARE):
            self._end_one()
        return False

    def _add(self, conn: CallerSocket, address: tuple) -> None:
        """Takes a connection that was accepted."""
        key = tuple(address[:2])
        connection = GatewayConnection(
            address[0], conn, self._clock, self._clock.now()
        )
        self._open[key] = connection
        conn.on_received = connection.record_received
        conn.is_over = connection.is_over
        conn.on_closed = functools.partial(self._remove, key, connection)

    def _remove(self, key: tuple, connection: GatewayConnection) -> None:
        # The port may already belong to a newer connection.
        if self._open.get(key) is connection:
            del self._open[key]

    def _serving(self) -> list[GatewayConnection]:
        return [c for c in self._open.values() if not c.is_ending]

    def _end_one(self) -> None:
        """Ends a connection that stands still, if there is one.

        It is one of the caller that has most, and of these the one that made
        progress longest ago.
        """
        now = self._clock.now()
        serving = self._serving()
        stalled = [c for c in serving if c.is_stalled(now)]
        stalled = stalled or [c for c in serving if c.is_slow(now)]
        if not stalled:
            return
        counts = Counter(c.caller for c in serving)
        victim = max(
            stalled, key=lambda c: (counts[c.caller], -c.progressed_at)
        )
        self._end(victim, CallerRefusal.NO_CONNECTION)

    def _end(self, connection: GatewayConnection, cause: CallerRefusal) -> None:
        self._guard.count_refusal(cause)
        log("caller_ended", caller=connection.caller, cause=cause.value)
        connection.end()

    async def run(self) -> None:
        """Ends connections with unfinished heads, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self._guard.update_gauges()
            since = self._clock.now() - HEAD_TIMEOUT_S
            for connection in self._serving():
                began_at = connection.head_began_at
                if began_at is not None and began_at < since:
                    self._end(connection, CallerRefusal.TIMED_OUT)
