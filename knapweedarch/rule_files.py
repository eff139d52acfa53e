"""Rule files on an operator's disk, and the versions they are based on.

For a rule file `FILE`, `FILE.base` stores the version of the rules in force
that the file was last compared with or accepted as. An order to apply the file
includes this base version, and the members refuse it if the rules have changed
since. Operators who edit copies of the same version therefore cannot overwrite
each other's changes unnoticed.
"""

import os
import pathlib
import re

from knapweedarch.exceptions import RuleError
from knapweedarch.rules import MAX_FILE_BYTES, parse_rules

BASE_SUFFIX = ".base"
_VERSION = re.compile(r"[0-9]{1,18}")


def read_rules_text(path: str | pathlib.Path) -> str:
    """Reads and validates a rule file; returns its text.

    Raises:
        RuleError: The file cannot be read, is invalid or has no rules.
    """
    text = _read_text(pathlib.Path(path))
    rules = parse_rules(text, str(path))
    if not (rules.customers or rules.models or rules.services):
        # An empty file is usually the result of a full disk or a mistyped
        # redirection; if applied, it would lock out every customer.
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

    Returns 0 if no version is stored. The members accept 0 only while they have
    no rules, so only for the first rule file.

    Raises:
        RuleError: The base file is unreadable or has no valid version.
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
    """Stores the version that a rule file is based on.

    Returns:
        Whether the base file could be written.
    """
    base = _base_path(path)
    temporary = pathlib.Path(f"{base}.new")
    try:
        temporary.write_text(f"{version}\n", "utf-8")
        os.replace(temporary, base)
    except OSError:
        return False
    return True
