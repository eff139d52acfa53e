"""Seeds of a deployment's first start, in a file of the journal's folder.

Imports no slow module: the file is written before a process imports the rest.
"""

import attrs
import xxhash

from knapweedarch.exceptions import JournalError
from knapweedarch.journal_files import JournalFiles

FOUNDING_FILE = "founding"
LOG_PREFIX = "log-"


@attrs.frozen
class Founding:
    """First start of a deployment, as a member's settings told it.

    Attributes:
        seeds: Seeds that form the group as `host:port`; the same for all
            members.
    """

    seeds: tuple[str, ...]


def _encode(founding: Founding) -> bytes:
    text = " ".join(founding.seeds)
    return f"{text} {xxhash.xxh64_hexdigest(text.encode())}\n".encode()


def load_founding(files: JournalFiles) -> Founding | None:
    """Returns what the file holds; None without the file.

    Raises:
        JournalError: The file is corrupt.
        OSError: It cannot be read.
    """
    if FOUNDING_FILE not in files.names():
        return None
    content = files.read(FOUNDING_FILE)
    founding = Founding(tuple(content.decode("ascii", "replace").split()[:-1]))
    if content != _encode(founding):
        raise JournalError(f"the file {FOUNDING_FILE} is corrupt")
    return founding


def save_founding(files: JournalFiles, founding: Founding) -> None:
    """Writes the file, unless it or a log exists.

    Raises:
        OSError: It cannot be written.
    """
    if FOUNDING_FILE not in files.names() and not files.matching(LOG_PREFIX):
        files.write_new(FOUNDING_FILE, _encode(founding))
