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
LINES_PER_EVENT_S = 200
WINDOW_S = 1.0
PENDING_BYTES = 256 * 1024


@attrs.define
class LineLimit:
    """Lines of each event in the present second.

    Attributes:
        left_out: Lines left out since they were last told, by event name.
    """

    most: int = LINES_PER_EVENT_S
    left_out: Counter[str] = attrs.field(factory=Counter)
    _since: float = 0.0
    _written: Counter[str] = attrs.field(factory=Counter)

    def allow(self, event: str, now: float) -> bool:
        """Counts a line; tells whether it may be written."""
        if now - self._since >= WINDOW_S:
            self._since = now
            self._written.clear()
        self._written[event] += 1
        if self._written[event] <= self.most:
            return True
        self.left_out[event] += 1
        return False

    def take_left_out(self, now: float) -> dict[str, int]:
        """Returns the lines left out before the present second, once."""
        if not self.left_out or now - self._since < WINDOW_S:
            return {}
        found = dict(self.left_out)
        self.left_out.clear()
        return found


class LineWriter:
    """Writes lines to a stream without ever waiting for its reader.

    Args:
        stream: A file, pipe or terminal; its descriptor becomes non-blocking.
        pending_bytes: Bytes that may wait for the reader.
    """

    def __init__(self, stream: TextIO, pending_bytes: int = PENDING_BYTES):
        self._stream = stream
        self._most = pending_bytes
        self._pending = bytearray()
        self._descriptor = _descriptor(stream)
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
        fits = len(self._pending) + len(data) <= self._most
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


def _descriptor(stream: TextIO) -> int | None:
    try:
        return stream.fileno()
    except (io.UnsupportedOperation, AttributeError):
        return None
