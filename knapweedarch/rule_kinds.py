"""Kinds of rules and their fields, with the limits of each value."""

import re
from collections.abc import Callable

import attrs

from knapweedarch.models import (
    CustomerRule,
    ModelRule,
    Priority,
    ServiceRule,
)

MAX_ITEMS = 64
MAX_RATE = 1_000_000.0
MAX_CONCURRENT = 100_000
MIN_SHARE, MAX_SHARE = 0.01, 1_000.0
MIN_TIME_S, MAX_TIME_S = 0.01, 3_600.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_NAME_ALLOWED = "1 to 64 of A-Z a-z 0-9 . _ -, starting with a letter or digit"
_VERSION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_KEY = re.compile(r"sha256:([0-9a-fA-F]{64})")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")
# Callers' paths are compared without empty or dotted segments, so a prefix
# with one would never match, and /deposits/ would not cover /deposits itself;
# calls that the operator meant to protect could then run twice.
_PATH = re.compile(r"/|(?=.{1,256}$)(/(?!\.{1,2}(/|$))[A-Za-z0-9._~-]+)+")
Rule = CustomerRule | ModelRule | ServiceRule


class InvalidValueError(Exception):
    """A value is refused; `offset` is where in the value, from 0."""

    def __init__(self, reason: str, offset: int = 0):
        self.reason = reason
        self.offset = offset
        super().__init__(reason)


@attrs.frozen
class Field:
    """A field that a kind of rule accepts.

    Attributes:
        attribute: Attribute of the rule class.
        read: Converts the text; raises `InvalidValueError`.
        write: Converts back.
        required: Whether a rule without it is refused.
    """

    attribute: str
    read: Callable[[str], object]
    write: Callable[[object], str]
    required: bool = False


@attrs.frozen
class Kind:
    """A kind of rule: how to create one and its fields by key."""

    create: type
    fields: dict[str, Field]


def shorten(text: str) -> str:
    """Quotes a text of the file for a message."""
    return repr(text if len(text) <= 40 else f"{text[:37]}...")


def _number(low: float, high: float) -> Callable[[str], float]:
    bounds = f"{_format_number(low)} to {_format_number(high)}"

    def read(text: str) -> float:
        if not _NUMBER.fullmatch(text) or not low <= float(text) <= high:
            raise InvalidValueError(
                f"{shorten(text)} is not a number from {bounds}"
            )
        return float(text)

    return read


def _integer(low: int, high: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,12}", text) or not (
            low <= int(text) <= high
        ):
            raise InvalidValueError(
                f"{shorten(text)} is not a whole number from {low} to {high}"
            )
        return int(text)

    return read


def _matching(pattern: re.Pattern, allowed: str) -> Callable[[str], str]:
    def read(text: str) -> str:
        if not pattern.fullmatch(text):
            raise InvalidValueError(f"{shorten(text)} is not {allowed}")
        return text

    return read


def _list_of(read_item: Callable[[str], str]) -> Callable[[str], tuple]:
    def read(text: str) -> tuple[str, ...]:
        found: list[str] = []
        offset = 0
        for item in text.split(","):
            if item in found:
                raise InvalidValueError(
                    f"{shorten(item)} is given twice", offset
                )
            try:
                found.append(read_item(item))
            except InvalidValueError as exc:
                raise InvalidValueError(exc.reason, offset) from exc
            offset += len(item) + 1
        if len(found) > MAX_ITEMS:
            raise InvalidValueError(f"more than {MAX_ITEMS} items")
        return tuple(found)

    return read


def _key_digest(text: str) -> str:
    found = _KEY.fullmatch(text)
    if not found:
        # The value is not repeated: it may be an API key pasted in the clear.
        raise InvalidValueError(
            "the value is not sha256: and 64 hexadecimal digits"
        )
    return found[1].lower()


def _priority(text: str) -> Priority:
    names = {p.name.lower(): p for p in Priority}
    if text not in names:
        raise InvalidValueError(
            f"{shorten(text)} is not one of {', '.join(names)}"
        )
    return names[text]


read_name = _matching(_NAME, _NAME_ALLOWED)
_path = _matching(_PATH, "a path such as /deposits or /shop/orders")


def _format_number(value: float) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".")


KINDS = {
    "customer": Kind(
        CustomerRule,
        {
            "key": Field(
                "key_digest", _key_digest, lambda v: f"sha256:{v}", True
            ),
            "class": Field("priority", _priority, lambda v: v.name.lower()),
            "rate": Field("rate", _number(0, MAX_RATE), _format_number),
            "concurrent": Field("concurrent", _integer(0, MAX_CONCURRENT), str),
            "share": Field(
                "share", _number(MIN_SHARE, MAX_SHARE), _format_number
            ),
            "models": Field("models", _list_of(read_name), ",".join),
        },
    ),
    "model": Kind(
        ModelRule,
        {
            "version": Field(
                "version", _matching(_VERSION, "a version name"), str
            ),
            "first_token": Field(
                "first_token_s",
                _number(MIN_TIME_S, MAX_TIME_S),
                _format_number,
            ),
        },
    ),
    "service": Kind(
        ServiceRule,
        {
            "once": Field("once", _list_of(_path), ",".join),
            "timeout": Field(
                "timeout_s", _number(MIN_TIME_S, MAX_TIME_S), _format_number
            ),
        },
    ),
}
