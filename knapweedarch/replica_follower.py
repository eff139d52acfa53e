"""Handling of entries and snapshots that a follower receives."""

from knapweedarch.replica_log import ReplicaLog
from knapweedarch.replica_messages import (
    AppendRequest,
    Snapshot,
    SnapshotPart,
)


class Follower:
    """Adds entries and snapshots from the current term's leader to the log.

    Attributes:
        installed: Snapshot that replaced the log and has not been returned by
            `take_installed` yet.
    """

    def __init__(self, log: ReplicaLog):
        self.installed: Snapshot | None = None
        self._log = log
        self._buffered_snapshot: tuple[str, int, int] | None = None
        self._buffer = bytearray()

    def append_entries(self, request: AppendRequest) -> tuple[bool, int]:
        """Adds entries if the log matches the leader's before the first one.

        Conflicting entries are removed, and the commit index is advanced.

        Returns:
            True and the last matching index, or False and the index from
            which the leader should retry.

        Raises:
            ReplicaError: An entry conflicts with a committed one.
        """
        previous = request.previous_index
        if previous > self._log.last_index:
            return False, self._log.last_index + 1
        if (
            previous > self._log.commit_index
            and self._log.term_at(previous) != request.previous_term
        ):
            return False, self._log.conflict_start(previous)
        self._log.merge(request.entries)
        last = previous + len(request.entries)
        self._log.commit(min(request.commit_index, last))
        return True, last

    def receive_part(self, part: SnapshotPart) -> tuple[bool, int]:
        """Buffers a part of a snapshot and installs a complete snapshot.

        Returns:
            Whether the log now covers the snapshot, and the offset of the next
            byte needed.
        """
        if self._is_covered(part):
            self._log.commit(part.index)
            return True, part.total
        self._buffer_part(part)
        if len(self._buffer) < part.total:
            return False, len(self._buffer)
        self.installed = Snapshot(
            part.index, part.index_term, part.members, bytes(self._buffer)
        )
        self._log.install(self.installed)
        self._buffered_snapshot, self._buffer = None, bytearray()
        return True, part.total

    def _is_covered(self, part: SnapshotPart) -> bool:
        return (
            part.index <= self._log.commit_index
            or self._log.term_at(part.index) == part.index_term
        )

    def _buffer_part(self, part: SnapshotPart) -> None:
        # Two leaders may encode the same state differently, so parts from
        # different terms are never combined.
        snapshot = (part.identity, part.term, part.index)
        if self._buffered_snapshot != snapshot:
            self._buffered_snapshot, self._buffer = snapshot, bytearray()
        end = part.offset + len(part.data)
        if part.offset == len(self._buffer) and end <= part.total:
            self._buffer += part.data

    def take_installed(self) -> Snapshot | None:
        """Returns the last installed snapshot and clears it."""
        installed, self.installed = self.installed, None
        return installed
