"""Decodes a request's body in chunks, a bounded number at a time.

h11 takes tens of microseconds for each chunk, so that bodies in chunks of some
bytes would leave no time for other callers. This decoder takes about one. The
grammar is that of h11, which still checks the trailers.
"""

import enum
import re

from knapweedarch.exceptions import MalformedRequestError
from knapweedarch.message_ends import MessageEnd

# About a millisecond of work.
MAX_CHUNKS_PER_TURN = 1_024
# Longest line with the size of a chunk and its extensions, which nobody uses.
MAX_SIZE_LINE_BYTES = 256
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\n]*)?[ \t]*\r\n")
LINE_END = b"\r\n"


class BodyState(enum.Enum):
    """What a decoder needs next."""

    NEEDS_BYTES = enum.auto()
    NEEDS_TURN = enum.auto()
    WHOLE = enum.auto()


class _Part(enum.Enum):
    """What the next bytes belong to."""

    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILERS = enum.auto()


class ChunkedBody:
    """Decodes one body.

    Args:
        body_limit: Largest body in bytes.
        trailer_limit: Largest trailers in bytes.

    Attributes:
        body: The body so far.
        chunks: Number of chunks so far.
        trailers: The lines after the last chunk with the blank one, once the
            body is whole.
    """

    def __init__(self, body_limit: int, trailer_limit: int):
        self.body = bytearray()
        self.chunks = 0
        self.trailers = b""
        self._body_limit = body_limit
        self._trailer_limit = trailer_limit
        self._part = _Part.SIZE
        self._chunk_left = 0
        self._trailer_end = MessageEnd()

    def feed(self, data: bytearray) -> BodyState:
        """Takes bytes from the start of a buffer, up to the end of the body.

        Raises:
            MalformedRequestError: The bytes are malformed, or the body is too
                long; the chunk that makes it so is not read.
        """
        position = 0
        last = self.chunks + MAX_CHUNKS_PER_TURN
        state = BodyState.NEEDS_TURN
        while self.chunks < last and self._part is not _Part.TRAILERS:
            before, part = position, self._part
            position = self._step(data, position)
            if position == before and self._part is part:
                state = BodyState.NEEDS_BYTES
                break
        del data[:position]
        if self._part is _Part.TRAILERS:
            return self._feed_trailers(data)
        return state

    def _step(self, data: bytearray, position: int) -> int:
        """Takes one part; returns the position after it."""
        match self._part:
            case _Part.SIZE:
                return self._take_chunk(data, position)
            case _Part.DATA:
                return self._take_data(data, position)
            case _:
                return self._take_data_end(data, position)

    def _take_chunk(self, data: bytearray, position: int) -> int:
        """Takes a size, and the whole chunk if it has arrived."""
        match = SIZE_LINE.match(data, position, position + MAX_SIZE_LINE_BYTES)
        if match is None:
            self._check_partial_size(data, position)
            return position
        size, start = int(match[1], 16), match.end()
        if not size:
            self._part = _Part.TRAILERS
            return start
        if len(self.body) + size > self._body_limit:
            raise MalformedRequestError(
                413, f"body exceeds {self._body_limit} bytes"
            )
        self.chunks += 1
        end = start + size
        if data[end : end + 2] == LINE_END:
            self.body += data[start:end]
            return end + 2
        self._part, self._chunk_left = _Part.DATA, size
        return start

    def _check_partial_size(self, data: bytearray, position: int) -> None:
        """Rejects a line that can no longer become a size.

        Raises:
            MalformedRequestError: The line is malformed or too long.
        """
        end = position + MAX_SIZE_LINE_BYTES
        if data.find(LINE_END, position, end) >= 0 or len(data) >= end:
            raise MalformedRequestError(400, "illegal chunk header")

    def _take_data(self, data: bytearray, position: int) -> int:
        piece = data[position : position + self._chunk_left]
        self.body += piece
        self._chunk_left -= len(piece)
        if not self._chunk_left:
            self._part = _Part.DATA_END
        return position + len(piece)

    def _take_data_end(self, data: bytearray, position: int) -> int:
        found = data[position : position + 2]
        if found != LINE_END[: len(found)]:
            raise MalformedRequestError(400, "malformed chunk footer")
        if len(found) < 2:
            return position
        self._part = _Part.SIZE
        return position + 2

    def _feed_trailers(self, data: bytearray) -> BodyState:
        end = self._find_trailer_end(data)
        if end is None:
            return BodyState.NEEDS_BYTES
        self.trailers = bytes(data[:end])
        del data[:end]
        return BodyState.WHOLE

    def _find_trailer_end(self, data: bytearray) -> int | None:
        """Returns the length of the trailers; None if bytes are missing."""
        if data.startswith(b"\n"):
            return 1
        if data.startswith(LINE_END):
            return 2
        return self._trailer_end.find(data, self._trailer_limit)
