"""Finds the end of a request's head or trailers in the bytes of a caller.

The bytes are given to h11 only once they are whole. It then sees the same
bytes however they arrived, and what it costs is known before.
"""

import re

from knapweedarch.exceptions import MalformedRequestError

# As in h11, which also takes lines that end without a carriage return.
BLANK_LINE = re.compile(rb"\n\r?\n")
# Bytes beside those of method, path and header fields, which limits count:
# version and blank line.
FRAME_BYTES = 16
# h11 takes some microseconds for each line, however short it is. A head of
# 16 KB has more lines only if they are shorter than 16 bytes on average.
MAX_LINES = 1_000
# A head or trailers with more lines wait for their turn.
CHEAP_LINES = 100


class MessageEnd:
    """Looks for a blank line in a buffer that grows, each byte once."""

    def __init__(self) -> None:
        self._searched = 0

    def find(self, data: bytearray, limit: int) -> int | None:
        """Returns the length of the lines up to and with the blank one.

        The result does not depend on the parts in which the bytes arrive.

        Args:
            data: The bytes so far, from the first line on.
            limit: Largest length, `FRAME_BYTES` included.

        Returns:
            The length; None if more bytes are needed.

        Raises:
            MalformedRequestError: The lines are too long or too many.
        """
        match = BLANK_LINE.search(data, self._searched)
        if match is None:
            self._searched = max(0, len(data) - 2)
            if len(data) >= limit:
                raise _too_large(limit)
            return None
        self._searched = 0
        end = match.end()
        if end > limit:
            raise _too_large(limit)
        if data.count(b"\n", 0, end) > MAX_LINES:
            raise MalformedRequestError(431, f"more than {MAX_LINES} lines")
        return end


def _too_large(limit: int) -> MalformedRequestError:
    return MalformedRequestError(431, f"headers exceed {limit} bytes")
