"""Byte stream through a tunnel, as its user sees it."""

from collections import deque
from collections.abc import Callable

import anyio
import anyio.abc

# More bytes that were received and not read end the tunnel: an endpoint in
# trouble may send without end.
MAX_UNREAD_BYTES = 4 * 1024 * 1024


class TunnelStream(anyio.abc.ByteStream):
    """One connection to an endpoint through another router.

    Args:
        send: Sends bytes to the other end; raises an error of a broken stream.
        close: Tells the other end that this one wants no more bytes; may be
            called more than once.
    """

    def __init__(
        self, send: Callable[[bytes], None], close: Callable[[], None]
    ):
        self._send = send
        self._close = close
        self._parts: deque[bytes] = deque()
        self._unread_bytes = 0
        self._changed = anyio.Event()
        self._ended = False
        self._is_reset = False
        self._is_closed = False

    @property
    def has_no_input(self) -> bool:
        """Whether neither bytes nor an end has arrived."""
        return not (self._parts or self._ended)

    def add_data(self, data: bytes) -> None:
        """Adds bytes from the endpoint."""
        if self._ended or self._is_closed:
            return
        self._parts.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self.end(is_reset=True)
            self._close()
        self._notify()

    def end(self, *, is_reset: bool) -> None:
        """Ends the stream from the other side."""
        if not self._ended:
            self._ended, self._is_reset = True, is_reset
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receives bytes of the endpoint.

        Raises:
            anyio.EndOfStream: The endpoint has ended the connection.
            anyio.BrokenResourceError: It or the tunnel was reset.
            anyio.ClosedResourceError: This end is closed.
        """
        while not self._parts:
            if self._is_closed:
                raise anyio.ClosedResourceError
            if self._ended:
                if self._is_reset:
                    raise anyio.BrokenResourceError
                raise anyio.EndOfStream
            await self._changed.wait()
        data = self._parts.popleft()
        if len(data) > max_bytes:
            self._parts.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._unread_bytes -= len(data)
        return data

    async def send(self, item: bytes) -> None:
        """Sends bytes to the endpoint."""
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._ended:
            raise anyio.BrokenResourceError
        self._send(item)

    async def send_eof(self) -> None:
        """Is not used: requests have a length."""
        raise NotImplementedError

    async def aclose(self) -> None:
        """Closes the tunnel at both ends."""
        if not self._is_closed:
            self._is_closed = True
            self._notify()
            self._close()
