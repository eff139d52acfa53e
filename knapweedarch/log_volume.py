"""Bounds of a process's log: lines per second, and a reader that is slow.

A line that does not fit is counted and left out. Writing never blocks: what
the reader has not taken waits in memory, up to a limit.
"""

import contextlib
import io
import os
from collections import Counter
from typing import TextIO

import attrs

# Far above what one process logs of one event under load; docs/CAPACITY.md.
MAX_LINES_PER_WINDOW = 200
WINDOW_S = 1.0
MAX_PENDING_BYTES = 256 * 1024


@attrs.define
class LineRateLimiter:
    """Lines of each event in the present second.

    Attributes:
        left_out: Lines left out since they were last told, by event name.
    """

    max_lines: int = MAX_LINES_PER_WINDOW
    dropped: Counter[str] = attrs.field(factory=Counter)
    _window_started_at: float = 0.0
    _window_lines: Counter[str] = attrs.field(factory=Counter)

    def allow(self, event: str, now: float) -> bool:
        """Counts a line; tells whether it may be written."""
        if now - self._window_started_at >= WINDOW_S:
            self._window_started_at = now
            self._window_lines.clear()
        self._window_lines[event] += 1
        if self._window_lines[event] <= self.max_lines:
            return True
        self.dropped[event] += 1
        return False

    def take_dropped(self, now: float) -> dict[str, int]:
        """Returns the lines left out before the present second, once."""
        if not self.dropped or now - self._window_started_at < WINDOW_S:
            return {}
        dropped = dict(self.dropped)
        self.dropped.clear()
        return dropped


class NonBlockingLineWriter:
    """Writes lines to a stream without ever waiting for its reader.

    Args:
        stream: A file, pipe or terminal; its descriptor becomes non-blocking.
        pending_bytes: Bytes that may wait for the reader.
    """

    def __init__(
        self, stream: TextIO, max_pending_bytes: int = MAX_PENDING_BYTES
    ):
        self._stream = stream
        self._max_pending_bytes = max_pending_bytes
        self._pending = bytearray()
        self._descriptor = _get_descriptor(stream)
        if self._descriptor is not None:
            # Not every kind of file can be made non-blocking; those that
            # cannot, such as regular files, have no reader to wait for.
            with contextlib.suppress(OSError):
                os.set_blocking(self._descriptor, False)

    def write(self, line: str) -> bool:
        """Writes a line, or keeps it; tells whether there was room."""
        if self._descriptor is None:
            self._stream.write(line + "\n")
            return True
        data = line.encode() + b"\n"
        # A line that was begun is always finished, so none is cut in two.
        fits = len(self._pending) + len(data) <= self._max_pending_bytes
        if fits:
            self._pending += data
        self.flush()
        return fits

    def flush(self) -> None:
        """Writes what waits, as far as the reader has room."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; the lines are counted as left out.
            written = 0
        del self._pending[:written]


def _get_descriptor(stream: TextIO) -> int | None:
    try:
        return stream.fileno()
    except (io.UnsupportedOperation, AttributeError):
        return None
