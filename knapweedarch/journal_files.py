"""File operations of the journal; tests override them to inject faults."""

import fcntl
import os
import pathlib

TEMPORARY_SUFFIX = ".tmp"


class JournalFiles:
    """Files in one folder.

    Data is on the disk when `write_new` or `sync_log` returns. All methods
    raise `OSError` if an operation fails.
    """

    def __init__(self, folder: str | os.PathLike):
        self.folder = pathlib.Path(folder)
        self._log_fd = -1
        self._lock_fd = -1

    def lock(self) -> None:
        """Creates the folder and takes an exclusive lock on it.

        Raises:
            BlockingIOError: Another process holds the lock.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._lock_fd = os.open(self.folder / "lock", flags, 0o600)
        fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def close(self) -> None:
        """Closes the log file and releases the lock."""
        for descriptor in (self._log_fd, self._lock_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self._log_fd = self._lock_fd = -1

    def names(self) -> set[str]:
        """Returns the names of all files."""
        return set(os.listdir(self.folder))

    def matching(self, prefix: str) -> list[str]:
        """Returns the sorted names of complete files with a prefix."""
        return sorted(
            name
            for name in self.names()
            if name.startswith(prefix) and not name.endswith(TEMPORARY_SUFFIX)
        )

    def random_bytes(self, size: int) -> bytes:
        """Returns random bytes for the identity."""
        return os.urandom(size)

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.folder / name).read_bytes()

    def remove(self, name: str) -> None:
        """Removes a file from the folder."""
        os.unlink(self.folder / name)

    def remove_temporary(self) -> None:
        """Removes files that were incomplete when a process ended."""
        for name in self.names():
            if name.endswith(TEMPORARY_SUFFIX):
                self.remove(name)

    def write_new(self, name: str, data: bytes) -> None:
        """Writes a file atomically: after a crash it is complete or absent.

        An incomplete file is removed if an operation fails, so that it does
        not keep a full disk full.
        """
        temporary = name + TEMPORARY_SUFFIX
        try:
            self._write_temporary(temporary, data)
            self.rename(temporary, name)
        except OSError:
            (self.folder / temporary).unlink(missing_ok=True)
            raise
        self.sync_folder()

    def _write_temporary(self, name: str, data: bytes) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(self.folder / name, flags, 0o600)
        try:
            self.write_all(descriptor, data)
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing an existing file of the new name."""
        os.rename(self.folder / old, self.folder / new)

    def open_log(self, name: str) -> None:
        """Opens the log file that `append` and `cut_log` change."""
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        self._log_fd = os.open(self.folder / name, flags)

    def append(self, data: bytes) -> None:
        """Appends data to the log file; `sync_log` syncs it."""
        self.write_all(self._log_fd, data)

    def sync_log(self) -> None:
        """Syncs the log file."""
        self.sync(self._log_fd)

    def cut_log(self, size: int) -> None:
        """Removes what the log file holds beyond a size in bytes."""
        os.ftruncate(self._log_fd, size)

    def write_all(self, descriptor: int, data: bytes) -> None:
        """Writes all bytes, repeating partial writes."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Syncs the data of a file to the disk."""
        os.fdatasync(descriptor)

    def sync_folder(self) -> None:
        """Syncs the directory entries of the folder to the disk."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
