"""Applies committed entries of the log in order, long ones in steps.

Decoding a long configuration takes longer than a leader's lease. The member
that drives the replica must tick it and send its messages meanwhile, so such an
entry is decoded a step at a time, and what follows it waits.
"""

from collections import deque
from collections.abc import Callable, Iterable

from knapweedarch import replica
from knapweedarch.codec import LONG_MESSAGE_BYTES
from knapweedarch.state import COMMANDS
from knapweedarch.steps import Steps

# Applies an entry; gets its command if that is decoded already.
Apply = Callable[[replica.Entry, object | None], None]


class CommittedEntries:
    """Entries that are committed and not applied yet.

    Args:
        apply: Applies an entry to the state.
        wake: Called if another step is due.
    """

    def __init__(self, apply: Apply, wake: Callable[[], None]):
        self._apply = apply
        self._wake = wake
        self._entries: deque[replica.Entry] = deque()
        # Decoding of the first entry, once it has begun.
        self._decoding: Steps[object] | None = None

    def __len__(self) -> int:
        """Returns the number of entries that wait."""
        return len(self._entries)

    def clear(self) -> None:
        """Drops all entries, as a snapshot that is installed holds them."""
        self._entries.clear()
        self._decoding = None

    def add(self, entries: Iterable[replica.Entry]) -> None:
        """Adds entries that were committed."""
        self._entries.extend(entries)

    def apply_next(self) -> None:
        """Applies entries up to a long one that is not decoded yet.

        Raises:
            CodecError: An entry cannot be decoded.
        """
        while self._entries:
            entry, command = self._entries[0], None
            if is_long(entry):
                command = self._decode_step(entry)
                if command is None:
                    self._wake()
                    return
            self._entries.popleft()
            self._apply(entry, command)

    def _decode_step(self, entry: replica.Entry) -> object | None:
        """Takes a step; returns the command once it is decoded."""
        if self._decoding is None:
            self._decoding = COMMANDS.decode_in_steps(entry.data)
        try:
            next(self._decoding)
        except StopIteration as exc:
            self._decoding = None
            return exc.value
        return None


def is_long(entry: replica.Entry) -> bool:
    """Returns whether an entry is a command that is decoded in steps."""
    is_command = entry.kind is replica.EntryKind.DATA
    return is_command and len(entry.data) > LONG_MESSAGE_BYTES
