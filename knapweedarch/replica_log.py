"""In-memory log of a replica, with its member lists."""

from collections.abc import Sequence

from knapweedarch.exceptions import ReplicaError
from knapweedarch.replica_messages import (
    Entry,
    EntryKind,
    Member,
    Restored,
    Snapshot,
    decode_members,
)


class ReplicaLog:
    """Entries after a base index, the newest snapshot and unsaved changes.

    The base index may be lower than that of the snapshot, because compaction
    keeps some entries before the snapshot.

    Attributes:
        snapshot: Newest snapshot, if any.
        commit_index: Index of the last entry known to be committed.
        bytes_since_snapshot: Data of the entries after the snapshot, in bytes.
        uncommitted_bytes: Data of the entries not yet committed, in bytes.
    """

    def __init__(self, restored: Restored):
        self.snapshot = restored.snapshot
        self._base_index = self._base_term = 0
        self.bytes_since_snapshot = 0
        self._entries: list[Entry] = []
        self._member_lists: list[tuple[int, tuple[Member, ...]]] = [(0, ())]
        if self.snapshot:
            self._reset_to_snapshot(self.snapshot)
        self.commit_index = self._base_index
        self.uncommitted_bytes = 0
        self._add(restored.entries)
        self._saved_index = self.last_index
        self._truncate_from: int | None = None

    def _reset_to_snapshot(self, snapshot: Snapshot) -> None:
        self._base_index, self._base_term = snapshot.index, snapshot.term
        self._entries = []
        self._member_lists = [(snapshot.index, snapshot.members)]
        self.bytes_since_snapshot = 0

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> tuple[Member, ...]:
        """Newest member list in the log, committed or not."""
        return self._member_lists[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that holds the newest member list."""
        return self._member_lists[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is unknown."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Returns the entries from `first` to `last`, inclusive."""
        start = max(first - self._base_index - 1, 0)
        return tuple(self._entries[start : last - self._base_index])

    def after(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """Returns the entries after a snapshot."""
        return self.between(snapshot.index + 1, self.last_index)

    def batch(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns the entries from `first` on whose data fits `max_bytes`.

        The first entry is returned even if it is larger.
        """
        size, index = 0, first
        while index <= self.last_index:
            size += len(self._entries[index - self._base_index - 1].data)
            if size > max_bytes and index > first:
                break
            index += 1
        return self.between(first, index - 1)

    def _add(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ReplicaError(
                    f"entry {entry.index} does not follow entry"
                    f" {self.last_index}"
                )
            self._entries.append(entry)
            self.bytes_since_snapshot += len(entry.data)
            self.uncommitted_bytes += len(entry.data)
            if entry.kind is EntryKind.MEMBERS:
                self._member_lists.append(
                    (entry.index, decode_members(entry.data))
                )

    def append(self, entries: Sequence[Entry]) -> None:
        """Appends entries.

        Raises:
            ReplicaError: The indexes do not continue the log.
        """
        self._add(entries)

    def merge(self, entries: Sequence[Entry]) -> None:
        """Adds entries from a leader; truncates a conflicting suffix.

        Raises:
            ReplicaError: An entry conflicts with a committed one, so the
                journals do not belong to the same group.
        """
        for position, entry in enumerate(entries):
            held_term = self.term_at(entry.index)
            if held_term == entry.term or (
                held_term is None and entry.index <= self._base_index
            ):
                continue
            if held_term is not None:
                self.truncate(entry.index)
            self._add(entries[position:])
            return

    def commit(self, index: int) -> None:
        """Marks the entries up to `index` as committed."""
        newly_committed = self.between(self.commit_index + 1, index)
        self.uncommitted_bytes -= sum(len(e.data) for e in newly_committed)
        self.commit_index = max(self.commit_index, index)

    def truncate(self, index: int) -> None:
        """Removes the entries from `index` on.

        Raises:
            ReplicaError: The entry is committed.
        """
        if index <= self.commit_index:
            raise ReplicaError(f"cannot replace committed entry {index}")
        dropped = self._entries[index - self._base_index - 1 :]
        del self._entries[index - self._base_index - 1 :]
        size = sum(len(e.data) for e in dropped)
        self.bytes_since_snapshot -= size
        self.uncommitted_bytes -= size
        while self._member_lists[-1][0] >= index:
            self._member_lists.pop()
        if index <= self._saved_index:
            self._truncate_from = min(self._truncate_from or index, index)
            self._saved_index = index - 1

    def conflict_start(self, index: int) -> int:
        """Returns the first uncommitted index of the term at `index`."""
        term = self.term_at(index)
        while index > self.commit_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the whole log with a snapshot."""
        self.snapshot = snapshot
        self._reset_to_snapshot(snapshot)
        self.commit_index = self._saved_index = snapshot.index
        self.uncommitted_bytes = 0
        self._truncate_from = None

    def compact(
        self,
        index: int,
        data: bytes,
        keep_from: int,
        keep_bytes: int,
    ) -> Snapshot:
        """Creates a snapshot after `index` and removes entries up to it.

        Args:
            index: Index of the last entry that the snapshot covers.
            data: Application state after that entry.
            keep_from: First entry to keep in memory.
            keep_bytes: Maximum data of these entries in bytes; fewer entries
                are kept if they exceed it.

        Raises:
            ReplicaError: The entry is uncommitted or no longer in memory.
        """
        term = self.term_at(index)
        if term is None or index > self.commit_index:
            raise ReplicaError(f"cannot compact the log up to entry {index}")
        lists = [m for m in self._member_lists if m[0] <= index]
        self.snapshot = Snapshot(index, term, lists[-1][1], data)
        self._member_lists = self._member_lists[len(lists) - 1 :]
        base = index
        while base > max(keep_from - 1, self._base_index):
            keep_bytes -= len(self._entries[base - self._base_index - 1].data)
            if keep_bytes < 0:
                break
            base -= 1
        self._base_term = self.term_at(base) or 0
        del self._entries[: base - self._base_index]
        self._base_index = base
        self.bytes_since_snapshot = sum(
            len(e.data) for e in self.between(index + 1, self.last_index)
        )
        return self.snapshot

    def take_unsaved(self) -> tuple[int | None, tuple[Entry, ...]]:
        """Returns the first index to remove, if any, and the new entries.

        Each change is returned only once.
        """
        truncate_from, self._truncate_from = self._truncate_from, None
        entries = self.between(self._saved_index + 1, self.last_index)
        self._saved_index = self.last_index
        return truncate_from, entries
