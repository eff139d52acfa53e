"""Splits a `text/event-stream` body into complete events."""

import re

import attrs

from knapweedarch.exceptions import EventTooLongError

# An event ends with an empty line; a line ends with CR, LF or CRLF. The groups
# are atomic, so that a CRLF never matches as two line ends.
MAX_END_BYTES = 4
EVENT_END = re.compile(rb"(?>\r\n|\r|\n)(?>\r\n|\r|\n)")
# Longest event; a runner in trouble may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024
ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)$", re.MULTILINE)


@attrs.frozen
class EventBatch:
    """Complete events.

    Attributes:
        data: Bytes of the events.
        count: Number of events.
        last_id: Id of the last event that has one; empty if none has.
    """

    data: bytes = b""
    count: int = 0
    last_id: str = ""


class EventSplitter:
    """Buffers bytes until events are complete.

    A stream that is interrupted within an event can then be resumed with the
    same event from another runner.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> EventBatch:
        """Adds bytes; returns the events that they complete.

        Raises:
            EventTooLongError: There are over `MAX_EVENT_BYTES` bytes without
                the end of an event.
        """
        # What was searched before has no end, and an end has at most 4 bytes.
        start = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        self._buffer += data
        ends = [m.end() for m in EVENT_END.finditer(self._buffer, start)]
        if not ends:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise EventTooLongError(MAX_EVENT_BYTES)
            return EventBatch()
        complete = bytes(self._buffer[: ends[-1]])
        del self._buffer[: ends[-1]]
        ids = ID_LINE.findall(complete.replace(b"\r", b"\n"))
        last_id = ids[-1].decode("utf-8", "replace") if ids else ""
        return EventBatch(complete, len(ends), last_id)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    def rest(self) -> bytes:
        """Returns the bytes after the last complete event."""
        return bytes(self._buffer)

    def clear(self) -> None:
        """Drops the bytes after the last complete event."""
        self._buffer.clear()
