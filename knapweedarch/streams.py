"""Validates one token stream and keeps the state that a resume needs.

A runner may close the stream early, repeat, skip or reorder events, or omit the
`[DONE]` marker. The caller must get each token once and in order, so the offset
of every event is checked before the event is relayed.
"""

import contextlib
import json
import sys

import attrs

from knapweedarch.answer_memory import HeldAnswer
from knapweedarch.exceptions import AnswerGivenUpError, KnapweedarchError
from knapweedarch.models import LoadReport, RetryReason

# Longest text kept for a resume, in characters: about 260,000 tokens. A longer
# response is still delivered, but its stream cannot be resumed.
MAX_RESUME_CHARS = 1024 * 1024
# Events in a row that may have no tokens.
MAX_EMPTY_EVENTS = 1000
# Longest event accepted from a runner; typical ones have a few hundred bytes.
MAX_EVENT_BYTES = 256 * 1024
# Largest number in an event. Larger ones are not exact in all parsers of JSON,
# and no float.
MAX_NUMBER = 2**53
# What parsing an event may raise, whatever its bytes are.
PARSE_ERRORS = (
    *(ValueError, KeyError, TypeError, IndexError),
    *(AttributeError, OverflowError, RecursionError),
)
DONE_MARKER = b"[DONE]"
DATA_PREFIX = b"data:"


@attrs.frozen
class Chunk:
    """A run of tokens of the response.

    Attributes:
        request_id: Request that the runner says it answers.
        attempt_id: Attempt that the runner says it answers.
        offset: Offset of the first token, counted from the start of the
            response.
        tokens: Number of tokens.
        text: Text of the tokens.
        data: The event's data as sent by the runner, without internal fields.
        cached_tokens: Prompt tokens found in the cache, if reported.
        load: Load of the runner, if reported.
    """

    request_id: str
    attempt_id: str
    offset: int
    tokens: int
    text: str
    data: bytes
    cached_tokens: int | None = None
    load: LoadReport | None = None


@attrs.frozen
class Finish:
    """The finishing event, with the finish reason and the usage.

    Attributes:
        request_id: Request that the runner says it answers.
        attempt_id: Attempt that the runner says it answers.
        offset: Number of tokens of the complete response.
        reason: Finish reason as sent by the runner.
        data: The event's data as sent by the runner, without internal fields.
        usage: Usage as sent by the runner.
        load: Load of the runner, if reported.
    """

    request_id: str
    attempt_id: str
    offset: int
    reason: str
    data: bytes
    usage: dict[str, object] = attrs.field(factory=dict)
    load: LoadReport | None = None


@attrs.frozen
class Done:
    """The `[DONE]` marker, which ends a stream."""


@attrs.frozen
class Malformed:
    """An event that reports an error of the runner or cannot be parsed."""

    message: str


StreamEvent = Chunk | Finish | Done | Malformed


class StreamProtocolError(KnapweedarchError):
    """An attempt violated the stream protocol; the event is discarded.

    Attributes:
        reason: Reason for a retry, which also selects the counter.
    """

    def __init__(self, reason: RetryReason, message: str):
        self.reason = reason
        super().__init__(message)


class SseDecoder:
    """Extracts the data of server-sent events from a byte stream."""

    def __init__(self):
        self._buffer = b""

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of the line that is not complete."""
        return len(self._buffer)

    def clear(self) -> None:
        """Drops the line that is not complete."""
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the data of the events completed by these bytes.

        Only one `data:` line per event is supported; runners send no more.

        Raises:
            StreamProtocolError: An event is longer than `MAX_EVENT_BYTES`.
        """
        if self._buffer:
            data = self._buffer + data
        lines = data.split(b"\n")
        self._buffer = lines.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamProtocolError(
                RetryReason.ENDPOINT_ERROR,
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
            )
        return [
            line[len(DATA_PREFIX) :].strip()
            for line in lines
            if line.startswith(DATA_PREFIX)
        ]


def parse_event(data: bytes) -> StreamEvent:
    """Parses the data of one event of a runner's stream."""
    if data == DONE_MARKER:
        return Done()
    try:
        # Decoding first avoids the detection of the encoding in json.loads.
        body = json.loads(data.decode())
        if "error" in body:
            return Malformed(f"the runner reported an error: {body['error']!r}")
        return _parse_chunk(body, data)
    except PARSE_ERRORS as exc:
        return Malformed(f"unreadable event: {exc!r}")


def _parse_chunk(body: dict, data: bytes) -> Chunk | Finish:
    request_id, attempt_id = str(body["request_id"]), str(body["attempt_id"])
    offset, tokens = read_number(body["offset"]), read_number(body["tokens"])
    choice = body["choices"][0]
    reason = choice.get("finish_reason")
    load = parse_load(body["load"]) if "load" in body else None
    if load is not None:
        # The load of a runner must not be disclosed to the caller.
        del body["load"]
        data = json.dumps(body, separators=(",", ":")).encode()
    if reason is None:
        text = choice["delta"].get("content") or ""
        if not isinstance(text, str):
            raise ValueError("the content is no text")
        cached = body.get("cached_tokens")
        return Chunk(
            *(request_id, attempt_id, offset, tokens, text, data),
            *(cached if cached is None else read_number(cached), load),
        )
    usage = body.get("usage") or {}
    if tokens or choice.get("delta", {}).get("content"):
        raise ValueError("the finishing event contains text")
    return Finish(
        request_id, attempt_id, offset, str(reason), data, dict(usage), load
    )


def read_number(value: object) -> int:
    """Reads a number of an event.

    Raises:
        ValueError, TypeError, OverflowError: It is none from 0 to `MAX_NUMBER`.
    """
    number = int(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError("a number is out of range")
    return number


def parse_load(
    fields: dict, endpoint_id: str = "", incarnation: str = ""
) -> LoadReport:
    """Parses the load fields of an event.

    Raises:
        One of `PARSE_ERRORS`: A field is missing or not a number.
    """
    urgent_tokens = fields.get("urgent_tokens")
    return LoadReport(
        endpoint_id,
        incarnation,
        read_number(fields["running"]),
        read_number(fields["queued"]),
        read_number(fields["queued_tokens"]),
        read_number(fields.get("acknowledged", 0)),
        None if urgent_tokens is None else read_number(urgent_tokens),
    )


class StreamState:
    """Progress of one stream across its attempts.

    Args:
        request_id: Id of the request.
        max_tokens: Most tokens that a runner may send; None for any number.

    Attributes:
        offset: Number of tokens accepted; offset of the next token.
        finish: The finishing event, set when the `[DONE]` marker arrives.
        attempts: Number of attempts started.
        held: Counts the text; None if its size does not matter.
    """

    def __init__(self, request_id: str, max_tokens: int | None = None):
        self.offset = 0
        self.finish: Finish | None = None
        self.attempts = 0
        self.held: HeldAnswer | None = None
        self._max_tokens = max_tokens
        self._empty_events = 0
        self._request_id = request_id
        self._attempt_id = ""
        self._pending_finish: Finish | None = None
        self._parts: list[str] = []
        self._text_chars = 0
        self._held_bytes = 0
        self._is_forgotten = False

    @property
    def started(self) -> bool:
        """Whether any token was accepted."""
        return self.offset > 0

    @property
    def resumable(self) -> bool:
        """Whether all text so far is kept, so that a runner can continue it."""
        return not self._is_forgotten and self._text_chars <= MAX_RESUME_CHARS

    def forget_text(self) -> None:
        """Drops the text; a complete answer is still delivered."""
        self._is_forgotten = True
        self._parts.clear()
        self._held_bytes = 0

    @property
    def text(self) -> str:
        """The text accepted so far; incomplete if not `resumable`."""
        return "".join(self._parts)

    def begin(self, attempt_id: str) -> None:
        """Starts an attempt that continues at `offset`."""
        self.attempts += 1
        self._attempt_id = attempt_id
        self._pending_finish = None
        self._empty_events = 0

    def accept(self, event: StreamEvent) -> bool:
        """Validates an event of the current attempt and updates the state.

        Returns:
            Whether the event is a chunk to be relayed to the caller.

        Raises:
            StreamProtocolError: The attempt must be abandoned.
        """
        match event:
            case Chunk():
                self._accept_chunk(event)
                return True
            case Finish():
                self._accept_finish(event)
            case Done():
                if self._pending_finish is None:
                    raise StreamProtocolError(
                        RetryReason.STREAM_TRUNCATED,
                        "received [DONE] before the finishing event",
                    )
                self.finish = self._pending_finish
            case Malformed(message=message):
                raise StreamProtocolError(RetryReason.ENDPOINT_ERROR, message)
        return False

    def end(self) -> None:
        """Checks that the attempt was complete when its stream ended.

        Raises:
            StreamProtocolError: The `[DONE]` marker is missing.
        """
        if self.finish is None:
            raise StreamProtocolError(
                RetryReason.STREAM_TRUNCATED,
                f"the stream ended after {self.offset} tokens without [DONE]",
            )

    def _accept_chunk(self, chunk: Chunk) -> None:
        self._check_ids(chunk)
        if self._pending_finish is not None:
            raise StreamProtocolError(
                RetryReason.STREAM_GAP,
                "received tokens after the finishing event",
            )
        if chunk.offset != self.offset:
            raise StreamProtocolError(
                RetryReason.STREAM_GAP,
                f"received offset {chunk.offset}, expected {self.offset}",
            )
        if chunk.tokens < 0 or (chunk.tokens == 0 and chunk.text):
            raise StreamProtocolError(
                RetryReason.STREAM_GAP,
                "an event has text but no tokens, or a negative token count",
            )
        self._check_progress(chunk)
        self.offset += chunk.tokens
        self._append_text(chunk.text)

    def _check_progress(self, chunk: Chunk) -> None:
        """Checks that a runner does not go on without end.

        Raises:
            StreamProtocolError: It sends too many tokens, or events without.
        """
        self._empty_events = 0 if chunk.tokens else self._empty_events + 1
        if self._empty_events > MAX_EMPTY_EVENTS:
            raise StreamProtocolError(
                RetryReason.ENDPOINT_ERROR,
                f"over {MAX_EMPTY_EVENTS} events without tokens",
            )
        offset = self.offset + chunk.tokens
        if self._max_tokens is not None and offset > self._max_tokens:
            raise StreamProtocolError(
                RetryReason.ANSWER_TOO_LONG,
                f"over {self._max_tokens} tokens",
            )

    def _accept_finish(self, finish: Finish) -> None:
        self._check_ids(finish)
        if self._pending_finish is not None:
            raise StreamProtocolError(
                RetryReason.STREAM_GAP, "received a second finishing event"
            )
        reported_tokens = finish.usage.get("completion_tokens", self.offset)
        if finish.offset != self.offset or reported_tokens != self.offset:
            raise StreamProtocolError(
                RetryReason.STREAM_GAP,
                "the finishing event does not match the tokens received: usage "
                f"is {reported_tokens}, received {self.offset}",
            )
        self._pending_finish = finish

    def _check_ids(self, event: Chunk | Finish) -> None:
        if (event.request_id, event.attempt_id) != (
            self._request_id,
            self._attempt_id,
        ):
            raise StreamProtocolError(
                RetryReason.CROSSED_ANSWER,
                "received an event of another request or attempt: "
                f"{event.attempt_id}",
            )

    def _append_text(self, text: str) -> None:
        if not text:
            return
        self._text_chars += len(text)
        if self.resumable:
            self._parts.append(text)
            self._held_bytes += sys.getsizeof(text)
        else:
            self.forget_text()
        if self.held is not None:
            # If it is given up, the stream goes on and cannot be resumed.
            with contextlib.suppress(AnswerGivenUpError):
                self.held.resize(self._held_bytes)
