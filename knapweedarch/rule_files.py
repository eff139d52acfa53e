"""Rule files on an operator's disk and the versions they are based on.

Beside a rule file `FILE`, `FILE.base` holds the version of the rules in force
that the file was last compared with or accepted as. An order names this base,
and the members refuse it if the rules have changed since: two operators who
edit copies of one version cannot undo each other's change unseen.
"""

import os
import pathlib
import re

from knapweedarch.exceptions import RuleError
from knapweedarch.rules import MAX_FILE_BYTES, parse_rules

BASE_SUFFIX = ".base"
_VERSION = re.compile(r"[0-9]{1,18}")


def read_rules_text(path: str | pathlib.Path) -> str:
    """Reads and checks a rule file; returns its text.

    Raises:
        RuleError: The file is unreadable, faulty or without any rule.
    """
    text = _read_text(pathlib.Path(path))
    rules = parse_rules(text, str(path))
    if not (rules.customers or rules.models or rules.services):
        # An empty file is most often one cut off by a full disk or a mistyped
        # redirection; in force, it would lock out every customer.
        raise RuleError([f"{path}:1:1: the file holds no rule"])
    return text


def _read_text(path: pathlib.Path) -> str:
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise RuleError([f"{path}: {exc.strerror}"]) from exc
    if len(data) > MAX_FILE_BYTES:
        raise RuleError([f"{path}:1:1: more than {MAX_FILE_BYTES} bytes"])
    try:
        return data.decode()
    except UnicodeDecodeError as exc:
        before = data[: exc.start]
        line = before.count(b"\n") + 1
        column = len(before[before.rfind(b"\n") + 1 :].decode()) + 1
        raise RuleError([f"{path}:{line}:{column}: not UTF-8 text"]) from exc


def _base_path(path: str | pathlib.Path) -> pathlib.Path:
    return pathlib.Path(f"{path}{BASE_SUFFIX}")


def read_base_version(path: str | pathlib.Path) -> int:
    """Returns the version that a rule file is based on.

    It is 0 if none is noted, which fits only the first file of a deployment.

    Raises:
        RuleError: The note is unreadable.
    """
    base = _base_path(path)
    try:
        text = base.read_text("utf-8").strip()
    except FileNotFoundError:
        return 0
    except (OSError, UnicodeDecodeError) as exc:
        raise RuleError([f"{base}: cannot be read"]) from exc
    if not _VERSION.fullmatch(text):
        raise RuleError([f"{base}:1:1: not a version number"])
    return int(text)


def write_base_version(path: str | pathlib.Path, version: int) -> bool:
    """Notes the version that a rule file is based on.

    Returns:
        Whether the note could be written.
    """
    base = _base_path(path)
    temporary = pathlib.Path(f"{base}.new")
    try:
        temporary.write_text(f"{version}\n", "utf-8")
        os.replace(temporary, base)
    except OSError:
        return False
    return True
