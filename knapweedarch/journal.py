"""Log and snapshot files of one member.

The folder holds:

- `identity`: random text, drawn once.
- `log-<number>`: frames, each saved with one sync. Only the file with the
  highest number counts. Its first frame names the snapshot that it follows,
  with the term, the vote and every entry after that snapshot.
- `snapshot-<index>-<term>`: state of the application, in one frame.
- `*.tmp`: files that were not complete when the process ended; ignored.

A new snapshot starts a new log file, so the size of the folder and the time
to start are bounded by one snapshot and the changes since. The new log file
counts from the moment of its rename; a crash before it leaves the old log
file and the old snapshot in force.
"""

import errno
import struct

import attrs
import xxhash

from knapweedarch.codec import create_codec
from knapweedarch.exceptions import (
    CodecError,
    JournalError,
    JournalFullError,
)
from knapweedarch.journal_files import Files
from knapweedarch.replica_messages import (
    Entry,
    HardState,
    Member,
    Output,
    Restored,
    Snapshot,
    initial_members_entry,
)

IDENTITY_BYTES = 8
NO_ROOM = (errno.ENOSPC, errno.EDQUOT)
MAGIC = b"KWJ1"
# Magic, frame number, size of the content, checksum of all that and of the
# content.
HEADER = struct.Struct("<4sQQQ")


@attrs.frozen
class _Start:
    """First frame of a log file."""

    snapshot_index: int
    snapshot_term: int
    hard_state: HardState
    entries: tuple[Entry, ...]


@attrs.frozen
class _Change:
    """Any later frame: what one call of `Journal.save` changed."""

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[Entry, ...]


_FRAMES = create_codec(_Start, _Change, Snapshot)


def _identity_file(identity: str) -> bytes:
    checksum = xxhash.xxh64_hexdigest(identity.encode())
    return f"{identity} {checksum}\n".encode()


def _pack(number: int, content: bytes, seed: int) -> bytes:
    head = HEADER.pack(MAGIC, number, len(content), 0)
    checksum = xxhash.xxh64_intdigest(head + content, seed)
    return HEADER.pack(MAGIC, number, len(content), checksum) + content


def _unpack(data: bytes, offset: int, seed: int) -> tuple[int, bytes] | None:
    """Returns number and content of the frame at `offset` if it is whole."""
    if len(data) - offset < HEADER.size:
        return None
    magic, number, size, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if magic != MAGIC or size > len(data) - start:
        return None
    content = data[start : start + size]
    head = HEADER.pack(MAGIC, number, size, 0)
    if xxhash.xxh64_intdigest(head + content, seed) != checksum:
        return None
    return number, content


def _has_frame(data: bytes, offset: int, seed: int) -> bool:
    """Tells whether a whole frame lies anywhere after `offset`."""
    while (offset := data.find(MAGIC, offset)) >= 0:
        if _unpack(data, offset, seed) is not None:
            return True
        offset += 1
    return False


class Journal:
    """Durable part of one member.

    After a failure nothing is known of what the disk holds, so every later
    call fails too and the process must stop.

    Attributes:
        identity: Identity of the journal.
        restored: What the files held at the start.
    """

    def __init__(self, files: Files):
        self._files = files
        self._failed = ""
        try:
            files.lock()
            files.remove_temporary()
            self.identity = self._load_identity()
            # Content comes from callers. The seed makes it impossible that
            # it contains what looks like a frame.
            self._seed = int(self.identity, 16)
            self.restored = self._load()
        except OSError as exc:
            files.close()
            full = exc.errno in NO_ROOM
            error = JournalFullError if full else JournalError
            raise error(f"cannot open the journal: {exc}") from exc
        except JournalError:
            files.close()
            raise

    # Loading.

    def _load_identity(self) -> str:
        if "identity" in self._files.names():
            content = self._files.read("identity")
            identity = content[: 2 * IDENTITY_BYTES].decode("ascii", "replace")
            if content != _identity_file(identity):
                raise JournalError("the file identity is corrupt")
            return identity
        if self._log_numbers() or self._files.matching("snapshot-"):
            raise JournalError("the file identity is missing")
        identity = self._files.random_bytes(IDENTITY_BYTES).hex()
        self._files.write_new("identity", _identity_file(identity))
        return identity

    def _log_numbers(self) -> list[int]:
        names = self._files.matching("log-")
        numbers = [name.removeprefix("log-") for name in names]
        if not all(number.isdecimal() for number in numbers):
            raise JournalError(f"unknown files in the folder: {names}")
        return sorted(map(int, numbers))

    def _load(self) -> Restored:
        numbers = self._log_numbers()
        if not numbers:
            self._number = self._frame = 0
            self._hard_state = HardState()
            self._remove_old("")
            return Restored(self.identity)
        self._number = numbers[-1]
        name = f"log-{self._number}"
        data = self._files.read(name)
        frames, end = self._read_frames(data)
        if not frames or not isinstance(frames[0], _Start):
            raise JournalError(f"the start of {name} is corrupt")
        if end < len(data) and _has_frame(data, end, self._seed):
            raise JournalError(
                f"{name} is corrupt at byte {end}, before a synced record"
            )
        self._frame = len(frames)
        restored = self._replay(frames)
        self._copy_log(data[:end])
        self._remove_old(self._snapshot_name(restored.snapshot))
        return restored

    def _copy_log(self, data: bytes) -> None:
        """Writes the whole log anew.

        If a sync failed before the process ended, what was read may exist in
        memory only, and a second sync of the same file would not tell.
        """
        self._number += 1
        self._files.write_new(f"log-{self._number}", data)
        self._files.open_log(f"log-{self._number}")

    def _read_frames(self, data: bytes) -> tuple[list[object], int]:
        frames, offset = [], 0
        while frame := _unpack(data, offset, self._seed):
            number, content = frame
            if number != len(frames):
                raise JournalError(f"record {len(frames)} is missing")
            frames.append(self._decode(content))
            offset += HEADER.size + len(content)
        return frames, offset

    def _decode(self, content: bytes) -> object:
        try:
            return _FRAMES.decode(content)
        except CodecError as exc:
            raise JournalError(f"a record is malformed: {exc}") from exc

    def _replay(self, frames: list[object]) -> Restored:
        start = frames[0]
        snapshot = self._load_snapshot(start)
        hard_state, entries = start.hard_state, list(start.entries)
        first = start.snapshot_index + 1
        for change in frames[1:]:
            hard_state = change.hard_state or hard_state
            if change.truncate_from is not None:
                del entries[change.truncate_from - first :]
            entries += change.entries
        if any(e.index != i for i, e in enumerate(entries, first)):
            raise JournalError("the entries of the log are not consecutive")
        self._hard_state = hard_state
        return Restored(self.identity, hard_state, snapshot, tuple(entries))

    @staticmethod
    def _snapshot_name(snapshot: Snapshot | None) -> str:
        if snapshot is None:
            return ""
        return f"snapshot-{snapshot.index}-{snapshot.term}"

    def _load_snapshot(self, start: _Start) -> Snapshot | None:
        if not start.snapshot_index:
            return None
        name = f"snapshot-{start.snapshot_index}-{start.snapshot_term}"
        if name not in self._files.names():
            raise JournalError(f"the file {name} is missing")
        frame = _unpack(self._files.read(name), 0, self._seed)
        if frame is None:
            raise JournalError(f"the file {name} is corrupt")
        return self._decode(frame[1])

    # Saving.

    def form(self, members: tuple[Member, ...]) -> None:
        """Gives a blank journal the first entry of a new group.

        Raises:
            JournalError: The journal is not blank, is not among the members,
                or the files cannot be written.
        """
        if not self.restored.blank or self._number:
            raise JournalError("the journal is not blank")
        if self.identity not in {m.identity for m in members if m.voter}:
            raise JournalError("this member is not among the first voters")
        entry = initial_members_entry(members)
        hard_state = HardState(entry.term)
        self.save(Output(hard_state=hard_state, entries=(entry,)))
        self.restored = Restored(self.identity, hard_state, None, (entry,))

    def save(self, output: Output) -> None:
        """Makes an output durable with one sync.

        Raises:
            JournalError: A file operation failed, now or earlier.
        """
        if self._failed:
            raise JournalError(f"the journal failed earlier: {self._failed}")
        if not output.needs_sync:
            return
        try:
            self._save(output)
        except OSError as exc:
            self._failed = str(exc)
            raise JournalError(f"cannot save: {exc}") from exc

    def _save(self, output: Output) -> None:
        self._hard_state = output.hard_state or self._hard_state
        snapshot = output.compacted or output.snapshot
        if snapshot is not None:
            self._start_log(snapshot, output.tail)
        elif not self._number:
            self._start_log(None, output.entries)
        else:
            change = _Change(
                output.hard_state, output.truncate_from, output.entries
            )
            content = _FRAMES.encode(change)
            self._files.append(_pack(self._frame, content, self._seed))
            self._frame += 1

    def _start_log(
        self, snapshot: Snapshot | None, entries: tuple[Entry, ...]
    ) -> None:
        index = term = 0
        if snapshot is not None:
            index, term = snapshot.index, snapshot.term
            content = _FRAMES.encode(snapshot)
            self._files.write_new(
                self._snapshot_name(snapshot), _pack(0, content, self._seed)
            )
        start = _Start(index, term, self._hard_state, entries)
        name = f"log-{self._number + 1}"
        self._files.write_new(name, _pack(0, _FRAMES.encode(start), self._seed))
        self._number += 1
        self._frame = 1
        self._files.open_log(name)
        self._remove_old(self._snapshot_name(snapshot))

    def _remove_old(self, snapshot_name: str) -> None:
        kept = {snapshot_name, f"log-{self._number}"}
        for prefix in ("log-", "snapshot-"):
            for name in self._files.matching(prefix):
                if name not in kept:
                    self._files.remove(name)

    def close(self) -> None:
        """Closes the files."""
        self._failed = self._failed or "closed"
        self._files.close()


def open_journal(folder: str, files: Files | None = None) -> Journal:
    """Opens the journal in a folder; a missing folder is created.

    Raises:
        JournalFullError: The disk has no room; nothing is lost.
        JournalError: The files are corrupt, in use or cannot be read.
    """
    return Journal(files or Files(folder))
