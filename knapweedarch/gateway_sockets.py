"""Sockets of the gateway's callers, which hypercorn and asyncio use.

hypercorn has no limit of connections and does not tell how a connection makes
progress. Both are known where its listener accepts and its connections read.
"""

import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable

import anyio

# Bytes that are read from a connection at once; asyncio asks for four times as
# many, which each connection would hold.
READ_BYTES = 65_536
# A close with this option resets the connection and drops unsent bytes.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerSocket(socket.socket):
    """A connection of a caller.

    Attributes:
        on_received: Called with the number of bytes of each read.
        on_closed: Called once the descriptor is closed.
        is_over: Returns whether the end of the input ends the connection.
            hypercorn would keep one without a request for its idle timeout.
    """

    on_received: Callable[[int], None] = staticmethod(lambda size: None)
    on_closed: Callable[[], None] = staticmethod(lambda: None)
    is_over: Callable[[], bool] = staticmethod(lambda: False)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Reads up to `READ_BYTES`.

        Raises:
            ConnectionResetError: The input and the connection have ended;
                asyncio closes the descriptor.
        """
        data = super().recv(min(size, READ_BYTES), flags)
        if not data and self.is_over():
            raise ConnectionResetError("the connection has ended")
        self.on_received(len(data))
        return data

    def close(self) -> None:
        """Closes the descriptor."""
        super().close()
        self.on_closed()

    def has_input(self) -> bool:
        """Returns whether bytes wait to be read."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return bool(super().recv(1, flags))
        except OSError:
            return False

    def reset(self) -> None:
        """Ends both sides, so that the event loop closes the connection."""
        with contextlib.suppress(OSError):
            self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.shutdown(socket.SHUT_RDWR)


class AcceptedSockets(socket.socket):
    """Passes accepted connections to asyncio as if it were a listener.

    asyncio accepts whatever arrives, and has no way to leave connections in the
    kernel's queue for a while. Its own end is one of a pair of sockets; each
    byte that arrives there stands for a connection.

    Args:
        listener: The listener, which is closed with this socket.
    """

    def __init__(self, listener: socket.socket):
        own, self._signal = socket.socketpair()
        super().__init__(own.family, own.type, own.proto, fileno=own.detach())
        self.setblocking(False)
        self._signal.setblocking(False)
        self._listener = listener
        self._accepted: deque[tuple[CallerSocket, tuple]] = deque()

    def listen(self, backlog: int = 0) -> None:
        """Does nothing; the listener itself listens."""

    def add(self, conn: CallerSocket, address: tuple) -> None:
        """Passes a connection on."""
        self._accepted.append((conn, address))
        self._signal.send(b"a")

    def accept(self) -> tuple[CallerSocket, tuple]:
        """Returns the next connection.

        Raises:
            BlockingIOError: There is none.
        """
        self.recv(1)
        return self._accepted.popleft()

    def close(self) -> None:
        """Closes the listener and the connections that were not taken."""
        if self._listener.fileno() >= 0:
            anyio.notify_closing(self._listener)
        self._listener.close()
        while self._accepted:
            self._accepted.popleft()[0].close()
        self._signal.close()
        super().close()


def accept_caller(listener: socket.socket) -> tuple[CallerSocket, tuple]:
    """Accepts a connection of a listener.

    Raises:
        OSError: There is none, or no descriptor for it.
    """
    plain, address = listener.accept()
    conn = CallerSocket(
        *(plain.family, plain.type, plain.proto), fileno=plain.detach()
    )
    return conn, address
