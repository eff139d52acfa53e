"""Reads the event stream of one attempt at a runner."""

import contextlib

import anyio
import httpx

from knapweedarch.answer_memory import HeldAnswer
from knapweedarch.exceptions import EndpointError
from knapweedarch.exchanges import Exchange, resize_answer
from knapweedarch.models import RetryReason
from knapweedarch.streams import SseDecoder, StreamEvent, parse_event

STREAM_IDLE_TIMEOUT_S = 2.0
# Time to wait for the end of the body after the `[DONE]` marker, so that the
# connection can be reused. The caller's response does not wait for it.
END_OF_BODY_TIMEOUT_S = 0.05


class ChatStream:
    """Events of one attempt.

    `read` has no timeout of its own; the code that reads applies one (see
    `watchdogs`).

    Args:
        exchange: The exchange.
        first_event_s: See the attribute.
        decoder: Decodes the body.
        held: Counts the bytes that the decoder holds.

    Attributes:
        first_event_s: Timeout for the first event in seconds.
    """

    def __init__(
        self,
        exchange: Exchange,
        first_event_s: float,
        decoder: SseDecoder,
        held: HeldAnswer,
    ):
        self.first_event_s = first_event_s
        self._exchange = exchange
        self._body = exchange.response.stream
        self._decoder = decoder
        self._held = held

    async def read(self) -> list[StreamEvent]:
        """Reads the next batch of events; empty at the end of the stream.

        Raises:
            EndpointError: The connection failed, or the answer was given up.
            StreamProtocolError: An event is too long.
        """
        try:
            async for data in self._body:
                items = self._decoder.feed(data)
                pending_bytes = self._decoder.pending_bytes
                resize_answer(self._exchange, self._held, pending_bytes)
                if items:
                    return [parse_event(item) for item in items]
        except httpx.HTTPError as exc:
            raise self.create_error(
                RetryReason.CONNECTION_CLOSED, repr(exc)
            ) from exc
        return []

    def create_error(self, reason: RetryReason, message: str) -> EndpointError:
        """Builds the error for a failure of this attempt."""
        return self._exchange.create_error(reason, message)

    async def drain_body(self) -> None:
        """Reads the end of the body, so that the connection can be reused."""
        with (
            contextlib.suppress(httpx.HTTPError),
            anyio.move_on_after(END_OF_BODY_TIMEOUT_S),
        ):
            await anext(self._body, None)
