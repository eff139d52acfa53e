"""Tells a caller that has left from one that only sends no more.

Both look the same until bytes are written: a connection that the caller has
closed then answers with a reset.
"""

import math
import select
import socket
from collections.abc import Awaitable, Callable

import anyio

# Answers within this time after the end of the input need no probe, in seconds.
HALF_CLOSE_GRACE_S = 0.1
# Seconds after each probe until the next one. Some callers refuse more interim
# responses than these and a `100 Continue`.
PROBE_INTERVALS_S = (0.4, 0.8, 1.6, math.inf)
# A reset is looked for at intervals that double, in seconds.
FIRST_CHECK_S = 0.02
LAST_CHECK_S = 0.32
# A caller that has left answers a probe with a reset before this interval, as a
# round trip is shorter.
ALIVE_CHECK_S = 0.08
# State `CLOSE` of a TCP connection in the first byte of `TCP_INFO`.
TCP_CLOSE = 7


async def wait_until_left(
    probe: Callable[[], Awaitable[bool]],
    sock: socket.socket,
    on_alive: Callable[[], None] = lambda: None,
) -> None:
    """Returns once a caller that closed its sending side has left.

    Args:
        probe: Writes something that the caller ignores; returns False if it
            cannot, and the caller is taken to have left.
        sock: Socket of the connection.
        on_alive: Called once a probe has brought no reset for a moment.
    """
    await anyio.sleep(HALF_CLOSE_GRACE_S)
    for interval_s in PROBE_INTERVALS_S:
        if not await probe():
            return
        with anyio.move_on_after(interval_s):
            await _wait_for_reset(sock, on_alive)
            return


def has_input_ended(sock: socket.socket) -> bool:
    """Returns whether the caller has closed its sending side.

    Unlike a read, it shows an end that the event loop has not got to yet.
    """
    if sock.fileno() < 0:
        # The event loop has closed the socket after a failed write.
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def _wait_for_reset(
    sock: socket.socket, on_alive: Callable[[], None]
) -> None:
    delay_s = FIRST_CHECK_S
    while not _is_reset(sock):
        if delay_s >= ALIVE_CHECK_S:
            on_alive()
        await anyio.sleep(delay_s)
        delay_s = min(2 * delay_s, LAST_CHECK_S)


def _is_reset(sock: socket.socket) -> bool:
    """Returns whether the connection has been reset or closed."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        # The event loop has closed the socket after a failed write.
        return True
    return info[0] == TCP_CLOSE
