"""Writes the response to the caller, as an event stream or as one body."""

import json
import sys
from typing import Protocol

import attrs

from knapweedarch.answer_memory import HeldAnswer
from knapweedarch.callers import HttpCall, RefusedError
from knapweedarch.exceptions import AnswerGivenUpError
from knapweedarch.models import Outcome, RefusalReason
from knapweedarch.streams import Chunk, Finish

MAX_ANSWER_CHARS = 8 * 1024 * 1024


class Sink(Protocol):
    """Receives the tokens of a response and sends it to the caller.

    A write that times out raises `SlowCallerError`; the writes of tokens in
    `deliver` have no timeout of their own.
    """

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Accepts the next tokens.

        Raises:
            RefusedError: The response has become too large.
        """

    async def finish(self, finish: Finish) -> None:
        """Ends a complete response."""

    async def fail(self, refused: RefusedError) -> None:
        """Ends an incomplete response with an error."""


@attrs.define
class EventSink:
    """Streams tokens to the caller as they arrive."""

    call: HttpCall
    request_id: str

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Relays the runner's events in one write."""
        await self._start()
        await self.call.write(
            b"".join([b"data: " + chunk.data + b"\n\n" for chunk in chunks])
        )

    async def finish(self, finish: Finish) -> None:
        """Sends the finishing event and the `[DONE]` marker."""
        await self._start()
        await self.call.finish(
            b"data: " + finish.data + b"\n\ndata: [DONE]\n\n"
        )

    async def fail(self, refused: RefusedError) -> None:
        """Sends an error event without the `[DONE]` marker.

        If the response has not been started, sends an error response instead.
        """
        if not self.call.started:
            return await self.call.send_error(refused)
        await self.call.finish(b"data: " + refused.body() + b"\n\n")

    async def _start(self) -> None:
        if not self.call.started:
            headers = {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": self.request_id,
            }
            await self.call.start(200, headers)


@attrs.define
class BufferedSink:
    """Buffers the text and sends it in one JSON response."""

    call: HttpCall
    request_id: str
    model: str
    held: HeldAnswer | None = None
    _parts: list[str] = attrs.field(factory=list)
    _text_chars: int = 0
    _held_bytes: int = 0

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Buffers the text.

        Raises:
            RefusedError: The text exceeds `MAX_ANSWER_CHARS`, or was given up,
                as all answers took too much memory.
        """
        for chunk in chunks:
            self._parts.append(chunk.text)
            self._text_chars += len(chunk.text)
            self._held_bytes += sys.getsizeof(chunk.text)
        if self._text_chars > MAX_ANSWER_CHARS:
            raise _too_large(f"exceeds {MAX_ANSWER_CHARS} characters")
        if self.held is not None:
            self._resize(self.held)

    def _resize(self, held: HeldAnswer) -> None:
        try:
            held.resize(self._held_bytes)
        except AnswerGivenUpError as exc:
            raise _too_large(f"was {exc}") from exc

    def forget_text(self) -> None:
        """Drops the text, which cannot be sent any more."""
        self._parts.clear()

    async def finish(self, finish: Finish) -> None:
        """Sends the complete response."""
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
            extra_headers={"x-request-id": self.request_id},
        )

    async def fail(self, refused: RefusedError) -> None:
        """Sends an error response."""
        await self.call.send_error(refused)


def _too_large(why: str) -> RefusedError:
    return RefusedError(
        RefusalReason.ANSWER_TOO_LARGE, f"the response {why}", Outcome.RUN
    )
