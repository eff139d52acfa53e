"""Where the tokens of an answer go: a stream of events or a whole answer."""

import json
from typing import Protocol

import attrs

from knapweedarch.callers import Call, RefusedError
from knapweedarch.models import Outcome, RefusalReason
from knapweedarch.streams import Chunk, Finish

MAX_ANSWER_CHARS = 8 * 1024 * 1024


class Sink(Protocol):
    """Where the tokens of an answer go."""

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Takes over tokens that follow those before."""

    async def finish(self, finish: Finish) -> None:
        """Ends a whole answer."""

    async def fail(self, refused: RefusedError) -> None:
        """Ends an answer that is not whole."""


@attrs.define
class EventSink:
    """Relays tokens to the caller as they come."""

    call: Call
    request_id: str

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Sends the runner's events on, in one write."""
        await self._start()
        await self.call.write(
            b"".join([b"data: " + chunk.data + b"\n\n" for chunk in chunks])
        )

    async def finish(self, finish: Finish) -> None:
        """Sends the finishing event and the end mark."""
        await self._start()
        await self.call.finish(
            b"data: " + finish.data + b"\n\ndata: [DONE]\n\n"
        )

    async def fail(self, refused: RefusedError) -> None:
        """Sends an error event without the end mark."""
        if not self.call.started:
            return await self.call.send_error(refused)
        await self.call.finish(b"data: " + refused.body() + b"\n\n")

    async def _start(self) -> None:
        if not self.call.started:
            fields = {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": self.request_id,
            }
            await self.call.start(200, fields)


@attrs.define
class BufferedSink:
    """Assembles the whole answer."""

    call: Call
    request_id: str
    model: str
    _parts: list[str] = attrs.field(factory=list)
    _size: int = 0

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Keeps the text.

        Raises:
            RefusedError: The answer exceeds `MAX_ANSWER_CHARS`.
        """
        for chunk in chunks:
            self._parts.append(chunk.text)
            self._size += len(chunk.text)
        if self._size > MAX_ANSWER_CHARS:
            raise RefusedError(
                RefusalReason.ANSWER_TOO_LARGE,
                f"the answer exceeds {MAX_ANSWER_CHARS} characters",
                Outcome.RUN,
            )

    async def finish(self, finish: Finish) -> None:
        """Sends the whole answer."""
        message = {"role": "assistant", "content": "".join(self._parts)}
        body = {
            "id": f"chatcmpl-{self.request_id}",
            "object": "chat.completion",
            "model": self.model,
            "choices": [
                {
                    "index": 0,
                    "message": message,
                    "finish_reason": finish.reason,
                }
            ],
            "usage": finish.usage,
        }
        await self.call.send_response(
            200,
            json.dumps(body).encode(),
            fields={"x-request-id": self.request_id},
        )

    async def fail(self, refused: RefusedError) -> None:
        """Sends an error answer."""
        await self.call.send_error(refused)
