"""Reads what an application leaves unread of a request body.

hypercorn passes parts of a body through a queue of limited length. If it is
full as the application ends its response, neither the response nor the
connection would ever end: both wait for room in the queue.
"""

from collections.abc import Awaitable, Callable

import attrs

from knapweedarch.callers import Message, Receive, Send


@attrs.define(eq=False)
class RequestChannel:
    """The messages of one request.

    Attributes:
        is_whole: Whether the application has read the body to its end.
        is_released: Whether the rest of the body is read for it.
    """

    _receive: Receive
    _send: Send
    _spawn: Callable[[Callable[[], Awaitable[None]]], object]
    is_whole: bool = False
    is_released: bool = False

    async def receive(self) -> Message:
        """Returns the next message of the caller."""
        message = await self._receive()
        if not message.get("more_body"):
            self.is_whole = True
        return message

    async def send(self, message: Message) -> None:
        """Sends a message to the caller."""
        is_body = message["type"] == "http.response.body"
        if is_body and not message.get("more_body"):
            self.release()
        await self._send(message)

    def release(self) -> None:
        """Reads from now on what the application does not read."""
        if not (self.is_whole or self.is_released):
            self.is_released = True
            self._spawn(self._read_rest)

    async def _read_rest(self) -> None:
        # hypercorn reports a disconnect at the end of each request.
        while (await self._receive())["type"] != "http.disconnect":
            pass
