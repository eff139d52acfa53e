"""Limits on a process's log: lines per second of each event, buffered bytes.

A line beyond a limit is dropped and counted. Writing never blocks: lines that
the stream does not accept yet are buffered in memory, up to a limit.
"""

import contextlib
import io
import os
from collections import Counter
from typing import TextIO

import attrs

# Far above the rate of any event under load; see docs/CAPACITY.md.
MAX_LINES_PER_WINDOW = 200
WINDOW_S = 1.0
MAX_PENDING_BYTES = 256 * 1024


@attrs.define
class LineRateLimiter:
    """Limits the lines of each event per window of `WINDOW_S`.

    Times are in seconds of `timers.Clock`.

    Attributes:
        max_lines: Maximum number of lines of one event per window.
        dropped: Lines dropped since the last report, by event name.
    """

    max_lines: int = MAX_LINES_PER_WINDOW
    dropped: Counter[str] = attrs.field(factory=Counter)
    _window_started_at: float = 0.0
    _window_lines: Counter[str] = attrs.field(factory=Counter)

    def allow(self, event: str, now: float) -> bool:
        """Returns whether a line may be written, and counts it."""
        if now - self._window_started_at >= WINDOW_S:
            self._window_started_at = now
            self._window_lines.clear()
        self._window_lines[event] += 1
        if self._window_lines[event] <= self.max_lines:
            return True
        self.dropped[event] += 1
        return False

    def take_dropped(self, now: float) -> dict[str, int]:
        """Returns and resets the drop counts; empty until the window ends."""
        if not self.dropped or now - self._window_started_at < WINDOW_S:
            return {}
        dropped = dict(self.dropped)
        self.dropped.clear()
        return dropped


class NonBlockingLineWriter:
    """Writes lines to a stream without blocking on its reader.

    Args:
        stream: A file, pipe or terminal, whose descriptor becomes non-blocking,
            or a stream without a descriptor, such as `io.StringIO`.
        max_pending_bytes: Limit of the buffer for lines that the stream does
            not accept yet.
    """

    def __init__(
        self, stream: TextIO, max_pending_bytes: int = MAX_PENDING_BYTES
    ):
        self._stream = stream
        self._max_pending_bytes = max_pending_bytes
        self._pending = bytearray()
        self._descriptor = _get_descriptor(stream)
        if self._descriptor is not None:
            # Some kinds of file, such as regular files, cannot be made
            # non-blocking, but they have no reader to wait for either.
            with contextlib.suppress(OSError):
                os.set_blocking(self._descriptor, False)

    def write(self, line: str) -> bool:
        """Writes or buffers a line; returns False if it was dropped."""
        if self._descriptor is None:
            self._stream.write(line + "\n")
            return True
        data = line.encode() + b"\n"
        # Whole lines are buffered, so a partly written line is completed later.
        fits = len(self._pending) + len(data) <= self._max_pending_bytes
        if fits:
            self._pending += data
        self.flush()
        return fits

    def flush(self) -> None:
        """Writes as many buffered bytes as the stream accepts."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone. New lines are counted as dropped once the
            # buffer is full.
            written = 0
        del self._pending[:written]


def _get_descriptor(stream: TextIO) -> int | None:
    try:
        return stream.fileno()
    except (io.UnsupportedOperation, AttributeError):
        return None
