"""Log and snapshot files of one member.

The folder contains:

- `identity`: random identifier, generated once.
- `founding`: seeds of a deployment that starts for the first time; removed once
  there is a group. Earlier builds ignore it.
- `lock`: locked by the process that has the journal open.
- `log-<number>`: records, each in one frame and saved with one sync. Only the
  file with the highest number is valid. Its first record contains the index and
  term of the preceding snapshot, the term, the vote and every entry after that
  snapshot.
- `snapshot-<index>-<term>`: application state, in one frame.
- `*.tmp`: files that were incomplete when the process ended; ignored.

Each new snapshot starts a new log file, so the size of the folder and the
start-up time are bounded by one snapshot and the changes since. The new log
file becomes valid when it is renamed; after a crash before that, the old log
file and the old snapshot remain valid.
"""

import enum
import errno
import struct
from collections.abc import Callable

import attrs
import xxhash

from knapweedarch.codec import create_codec
from knapweedarch.exceptions import (
    CodecError,
    JournalError,
    JournalFullError,
)
from knapweedarch.founding import (
    FOUNDING_FILE,
    Founding,
    load_founding,
    save_founding,
)
from knapweedarch.journal_files import JournalFiles
from knapweedarch.logs import log
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
# No space, no more quota, or a file at the limit of the process.
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
MAGIC = b"KWJ1"
# Magic, frame number, content size, and a checksum of these and the content.
HEADER = struct.Struct("<4sQQQ")


@attrs.frozen
class _Start:
    """Content of the first frame of a log file."""

    snapshot_index: int
    snapshot_term: int
    hard_state: HardState
    entries: tuple[Entry, ...]


@attrs.frozen
class _Change:
    """Content of a later frame: the changes of one `Journal.save` call."""

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[Entry, ...]


class _LogEnd(enum.Enum):
    """State of the log file after its last synced record.

    Attributes:
        CLEAN: Nothing follows.
        TORN: Part of a record may follow; its write failed.
        UNSYNCED: A record follows whose sync failed. What of it is on the disk
            is unknown, and a second sync could succeed without writing it.
    """

    CLEAN = "clean"
    TORN = "torn"
    UNSYNCED = "unsynced"


_FRAME_CODEC = create_codec(_Start, _Change, Snapshot)


def _encode_identity(identity: str) -> bytes:
    checksum = xxhash.xxh64_hexdigest(identity.encode())
    return f"{identity} {checksum}\n".encode()


def _pack_frame(number: int, content: bytes, seed: int) -> bytes:
    head = HEADER.pack(MAGIC, number, len(content), 0)
    checksum = xxhash.xxh64_intdigest(head + content, seed)
    return HEADER.pack(MAGIC, number, len(content), checksum) + content


def _unpack_frame(
    data: bytes, offset: int, seed: int
) -> tuple[int, bytes] | None:
    """Returns the number and content of the frame at `offset` if intact."""
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


def _contains_frame(data: bytes, offset: int, seed: int) -> bool:
    """Returns whether there is an intact frame at or after `offset`."""
    while (offset := data.find(MAGIC, offset)) >= 0:
        if _unpack_frame(data, offset, seed) is not None:
            return True
        offset += 1
    return False


class Journal:
    """Persistent storage of one member.

    A full disk is no failure: the same output can be saved again, until there
    is space. After any other failed operation the state of the disk is unknown,
    so every later call fails too and the process must stop.

    Attributes:
        identity: Identity of the journal.
        restored: Contents of the files when the journal was opened.
        founding: Seeds that form the group, if this member was told to form it
            and knows of no group since.
    """

    def __init__(self, files: JournalFiles, founding: Founding | None = None):
        self._files = files
        self._failure = ""
        self._log_end = _LogEnd.CLEAN
        # Size in bytes of the synced records of the log file.
        self._log_size = 0
        self._snapshot_in_force = ""
        try:
            files.lock()
            files.remove_temporary()
            # Before the identity: a kill between the two would leave a member
            # that does not know any more that it is to form the group.
            self.founding = self._load_founding(founding)
            self.identity = self._load_identity()
            # Callers control the content. A checksum seed that they do not
            # know prevents content that looks like a valid frame.
            self._seed = int(self.identity, 16)
            self.restored = self._load()
            self._holds_entries = not self.restored.blank
        except OSError as exc:
            files.close()
            full = exc.errno in DISK_FULL_ERRNOS
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
            if content != _encode_identity(identity):
                raise JournalError("the file identity is corrupt")
            return identity
        if self._log_numbers() or self._files.matching("snapshot-"):
            raise JournalError("the file identity is missing")
        identity = self._files.random_bytes(IDENTITY_BYTES).hex()
        self._files.write_new("identity", _encode_identity(identity))
        return identity

    def _load_founding(self, founding: Founding | None) -> Founding | None:
        if founding is not None:
            save_founding(self._files, founding)
        return load_founding(self._files) or founding

    def end_founding(self) -> None:
        """Forgets that this member was told to form the group.

        If the file cannot be removed, the next process of this member removes
        it once it knows of the group again.
        """
        self.founding = None
        try:
            if FOUNDING_FILE in self._files.names():
                self._files.remove(FOUNDING_FILE)
                self._files.sync_folder()
        except OSError as exc:
            log("journal_files_kept", reason=str(exc))

    def _log_numbers(self) -> list[int]:
        names = self._files.matching("log-")
        numbers = [name.removeprefix("log-") for name in names]
        if not all(number.isdecimal() for number in numbers):
            raise JournalError(f"unexpected log file names: {names}")
        return sorted(map(int, numbers))

    def _load(self) -> Restored:
        numbers = self._log_numbers()
        if not numbers:
            self._log_number = self._next_frame_number = 0
            self._hard_state = HardState()
            self._remove_obsolete()
            return Restored(self.identity)
        self._log_number = numbers[-1]
        name = f"log-{self._log_number}"
        data = self._files.read(name)
        frames, end = self._read_frames(data)
        if not frames or not isinstance(frames[0], _Start):
            raise JournalError(f"the start of {name} is corrupt")
        if end < len(data) and _contains_frame(data, end, self._seed):
            raise JournalError(
                f"{name} is corrupt at byte {end}, before a synced record"
            )
        self._next_frame_number = len(frames)
        restored = self._replay(frames)
        self._snapshot_in_force = self._snapshot_name(restored.snapshot)
        # If a sync failed before the process ended, the data read may exist
        # only in the page cache, and a second sync of the same file would not
        # report the failure.
        self._write_log_file(data[:end])
        self._remove_obsolete()
        return restored

    def _write_log_file(self, data: bytes) -> None:
        """Writes a new log file, which then replaces the current one."""
        number = self._log_number + 1
        self._files.write_new(f"log-{number}", data)
        self._files.open_log(f"log-{number}")
        self._log_number, self._log_size = number, len(data)
        self._log_end = _LogEnd.CLEAN

    def _read_frames(self, data: bytes) -> tuple[list[object], int]:
        frames, offset = [], 0
        while frame := _unpack_frame(data, offset, self._seed):
            number, content = frame
            if number != len(frames):
                raise JournalError(f"log record {len(frames)} is missing")
            frames.append(self._decode(content))
            offset += HEADER.size + len(content)
        return frames, offset

    def _decode(self, content: bytes) -> object:
        try:
            return _FRAME_CODEC.decode(content)
        except CodecError as exc:
            raise JournalError(f"malformed record: {exc}") from exc

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
            raise JournalError("the log entries are not consecutive")
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
        frame = _unpack_frame(self._files.read(name), 0, self._seed)
        if frame is None:
            raise JournalError(f"the file {name} is corrupt")
        return self._decode(frame[1])

    # Saving.

    @property
    def blank(self) -> bool:
        """Whether nothing has been written yet, not even a term."""
        return self.restored.blank and not self._log_number

    def form(self, members: tuple[Member, ...]) -> None:
        """Writes the first entry of a new group to a journal without entries.

        Raises:
            JournalFullError: The disk is full; nothing has changed.
            JournalError: The journal holds an entry, does not belong to an
                initial voter, or cannot be written.
        """
        if self._holds_entries:
            raise JournalError("the journal is not blank")
        if self.identity not in {m.identity for m in members if m.voter}:
            raise JournalError(
                "this member is not an initial voter of the group"
            )
        entry = initial_members_entry(members)
        # A leader of the other members may have sent a later term already.
        hard_state = max(
            self._hard_state, HardState(entry.term), key=lambda h: h.term
        )
        self._write(lambda: self._save_first_entry(hard_state, entry))
        self.restored = Restored(self.identity, hard_state, None, (entry,))

    def _save_first_entry(self, hard_state: HardState, entry: Entry) -> None:
        self._start_log_file(None, hard_state, (entry,))
        self._hard_state, self._holds_entries = hard_state, True

    def save(self, output: Output) -> None:
        """Persists an output before it returns.

        Changes are appended with one sync. A snapshot, like the first output of
        a blank journal, starts a new log file instead. A snapshot of this
        member's own state is left out if there is space only for the changes.

        Raises:
            JournalFullError: The disk is full. Nothing was lost; only the same
                output may be saved next, once there is space.
            JournalError: A file operation failed, in this or an earlier call.
        """
        self._write(lambda: self._save(output))

    def _write(self, operation: Callable[[], None]) -> None:
        if self._failure:
            raise JournalError(
                f"an earlier journal operation failed: {self._failure}"
            )
        try:
            self._write_or_clean_up(operation)
        except OSError as exc:
            self._failure = str(exc)
            raise JournalError(f"cannot write to the journal: {exc}") from exc

    def _write_or_clean_up(self, operation: Callable[[], None]) -> None:
        try:
            operation()
        except OSError as exc:
            if not self._may_retry(exc):
                raise
            self._remove_unused()
            raise JournalFullError(f"the disk is full: {exc}") from exc

    def _may_retry(self, exc: OSError) -> bool:
        """Returns whether the disk is full and its state is known.

        A new log file that has its name may be on the disk or not, if the sync
        of the folder failed, and a restart would read the newest one.
        """
        return (
            exc.errno in DISK_FULL_ERRNOS
            and f"log-{self._log_number + 1}" not in self._files.names()
        )

    def _save(self, output: Output) -> None:
        if not output.needs_sync:
            return
        hard_state = output.hard_state or self._hard_state
        if output.snapshot is not None:
            snapshot = output.compacted or output.snapshot
            self._start_log_file(snapshot, hard_state, output.tail)
        elif output.compacted is not None:
            self._compact_if_possible(output, hard_state)
        elif not self._log_number:
            self._start_log_file(None, hard_state, output.entries)
        else:
            self._append_change(output)
        self._hard_state = hard_state
        self._holds_entries |= bool(output.entries or output.snapshot)

    def _compact_if_possible(
        self, output: Output, hard_state: HardState
    ) -> None:
        """Saves an output with a snapshot that the log can do without.

        If there is no space for the snapshot, the changes are appended all the
        same. The next snapshot replaces the longer log.
        """
        try:
            self._start_log_file(output.compacted, hard_state, output.tail)
        except OSError as exc:
            if not self._may_retry(exc):
                raise
            self._remove_unused()
            if attrs.evolve(output, compacted=None).needs_sync:
                self._append_change(output)
            log("snapshot_left_out", reason=str(exc))

    def _append_change(self, output: Output) -> None:
        change = _Change(
            output.hard_state, output.truncate_from, output.entries
        )
        frame = _pack_frame(
            *(self._next_frame_number, _FRAME_CODEC.encode(change), self._seed)
        )
        self._repair_log_end()
        self._log_end = _LogEnd.TORN
        self._files.append(frame)
        self._log_end = _LogEnd.UNSYNCED
        self._files.sync_log()
        self._log_end = _LogEnd.CLEAN
        self._log_size += len(frame)
        self._next_frame_number += 1

    def _repair_log_end(self) -> None:
        """Removes what a failed save left after the last synced record."""
        match self._log_end:
            case _LogEnd.TORN:
                self._files.cut_log(self._log_size)
            case _LogEnd.UNSYNCED:
                data = self._files.read(f"log-{self._log_number}")
                self._write_log_file(data[: self._log_size])
                self._remove_unused()

    def _start_log_file(
        self,
        snapshot: Snapshot | None,
        hard_state: HardState,
        entries: tuple[Entry, ...],
    ) -> None:
        index = term = 0
        if snapshot is not None:
            index, term = snapshot.index, snapshot.term
            content = _FRAME_CODEC.encode(snapshot)
            self._files.write_new(
                self._snapshot_name(snapshot),
                _pack_frame(0, content, self._seed),
            )
        start = _Start(index, term, hard_state, entries)
        self._write_log_file(
            _pack_frame(0, _FRAME_CODEC.encode(start), self._seed)
        )
        self._next_frame_number = 1
        self._snapshot_in_force = self._snapshot_name(snapshot)
        self._remove_unused()

    def _remove_unused(self) -> None:
        """Removes unused files; on a full disk, as far as that is possible.

        Some file systems need space to remove a file. The next call removes
        what is left.
        """
        try:
            self._remove_obsolete()
        except OSError as exc:
            if exc.errno not in DISK_FULL_ERRNOS:
                raise
            log("journal_files_kept", reason=str(exc))

    def _remove_obsolete(self) -> None:
        kept = {self._snapshot_in_force, f"log-{self._log_number}"}
        for prefix in ("log-", "snapshot-"):
            for name in self._files.matching(prefix):
                if name not in kept:
                    self._files.remove(name)

    def close(self) -> None:
        """Closes the files."""
        self._failure = self._failure or "closed"
        self._files.close()


def open_journal(
    folder: str,
    files: JournalFiles | None = None,
    founding: Founding | None = None,
) -> Journal:
    """Opens the journal in a folder, which is created if missing.

    Args:
        folder: The folder.
        files: File operations; by default those of the folder.
        founding: Given if the member is told to form the group.

    Raises:
        JournalFullError: The disk is full; no data is lost.
        JournalError: The files are corrupt, in use or unreadable.
    """
    return Journal(files or JournalFiles(folder), founding)
