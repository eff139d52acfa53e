"""Reads and validates values of parsed settings, and collects all faults."""

import math
import re
import reprlib
import sys
from collections.abc import Callable

_REQUIRED = object()
_MAX_SHOWN_CHARACTERS = 60
# Formats as much of a value as is shown, however long or deep it is.
_SHORT_REPR = reprlib.Repr()
_SHORT_REPR.maxlist = _SHORT_REPR.maxdict = _MAX_SHOWN_CHARACTERS
_SHORT_REPR.maxstring = _SHORT_REPR.maxlong = 4 * _MAX_SHOWN_CHARACTERS


def is_text(value: object) -> bool:
    """Returns whether a value is a text that can be encoded.

    JSON can hold halves of surrogate pairs, which no message can.
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_flag(value: object) -> bool:
    """Returns whether a value is true or false."""
    return isinstance(value, bool)


class Section:
    """An object of a settings file, whose faults are added to a list.

    Args:
        values: The object as parsed.
        path: Path of the object in the file, used in faults; empty for the
            whole file.
        faults: List to which faults are added.
    """

    def __init__(self, values: dict, path: str, faults: list[str]):
        self._values = values
        self._path = path
        self._faults = faults
        self._known_keys: set[str] = set()

    def has(self, key: str) -> bool:
        """Returns whether the object has a key."""
        return key in self._values

    def list_keys(self) -> list[str]:
        """Returns the keys of the object."""
        return list(self._values)

    def add_fault(self, key: str, seen: str, allowed: str) -> None:
        """Records a fault of a key.

        Args:
            key: The key.
            seen: What was found, such as the value.
            allowed: What is allowed instead.
        """
        self._faults.append(
            f"{self._join_path(key)}: {seen}; allowed: {allowed}"
        )

    def get(
        self,
        key: str,
        allowed: str,
        is_valid: Callable[[object], bool],
        default: object = _REQUIRED,
        secret: bool = False,
    ):
        """Returns a value; if invalid, records a fault and returns None.

        Args:
            key: The key.
            allowed: Description of the allowed values, used in the fault.
            is_valid: Returns whether a value is allowed.
            default: Returned if the key is missing; without a default, a
                missing key is a fault.
            secret: Whether the fault must not show the value.
        """
        self._known_keys.add(key)
        if key not in self._values:
            if default is not _REQUIRED:
                return default
            self.add_fault(key, "missing", allowed)
            return None
        value = self._values[key]
        if is_valid(value):
            return value
        seen = "value not shown" if secret else shorten(value)
        self.add_fault(key, seen, allowed)
        return None

    def text(self, key: str, pattern: re.Pattern, allowed: str, **options):
        """Returns a string that matches a pattern."""
        return self.get(
            key,
            allowed,
            lambda v: is_text(v) and bool(pattern.fullmatch(v)),
            **options,
        )

    def integer(self, key: str, low: int, high: int, **options):
        """Returns an integer within bounds."""
        return self.get(
            key,
            f"an integer from {low} to {high}",
            lambda v: type(v) is int and low <= v <= high,
            **options,
        )

    def number(self, key: str, low: float, high: float, **options):
        """Returns a finite number within bounds."""
        return self.get(
            key,
            f"a number from {low:g} to {high:g}",
            lambda v: _is_number(v) and low <= v <= high,
            **options,
        )

    def section(self, key: str, **options) -> "Section | None":
        """Returns a nested object, or None if it is missing or invalid."""
        value = self.get(
            key, "an object", lambda v: isinstance(v, dict), **options
        )
        if value is None:
            return None
        return Section(value, self._join_path(key), self._faults)

    def sections(self, key: str, allowed: str) -> "list[Section]":
        """Returns the objects of a list, which is empty if it is invalid."""
        values = self.get(
            key,
            allowed,
            lambda v: (
                isinstance(v, list)
                and all(isinstance(item, dict) for item in v)
            ),
        )
        return [
            Section(item, f"{self._join_path(key)}[{i}]", self._faults)
            for i, item in enumerate(values or [])
        ]

    def reject_unknown_keys(self) -> None:
        """Records a fault for each key that was not read."""
        allowed = ", ".join(sorted(self._known_keys))
        for key in sorted(set(self._values) - self._known_keys):
            self.add_fault(key, "unknown key", allowed)

    def _join_path(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key


def _is_number(value: object) -> bool:
    if type(value) is int:
        # `isfinite` fails for integers beyond the range of a float.
        return abs(value) <= sys.float_info.max
    return type(value) is float and math.isfinite(value)


def shorten(value: object) -> str:
    """Formats a value for an error message, truncated to a maximum length."""
    seen = _SHORT_REPR.repr(value)
    if len(seen) <= _MAX_SHOWN_CHARACTERS:
        return seen
    return f"{seen[: _MAX_SHOWN_CHARACTERS - 3]}..."
