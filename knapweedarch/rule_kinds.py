"""Kinds of rules, their fields, and the range of each value."""

import re
from collections.abc import Callable

import attrs

from knapweedarch.models import (
    CustomerRule,
    ModelRule,
    Priority,
    ServiceRule,
)

MAX_LIST_ITEMS = 64
MAX_REQUESTS_PER_S = 1_000_000.0
MAX_CONCURRENT_REQUESTS = 100_000
MIN_SHARE, MAX_SHARE = 0.01, 1_000.0
MIN_TIME_S, MAX_TIME_S = 0.01, 3_600.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_NAME_ALLOWED = "1 to 64 of A-Z a-z 0-9 . _ -, starting with a letter or digit"
_VERSION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_KEY = re.compile(r"sha256:([0-9a-fA-F]{64})")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")
# Request paths are matched without empty or dot segments. A prefix with such a
# segment would never match, and /deposits/ would not match /deposits itself, so
# calls that the operator meant to protect could run twice.
_PATH = re.compile(r"/|(?=.{1,256}$)(/(?!\.{1,2}(/|$))[A-Za-z0-9._~-]+)+")
Rule = CustomerRule | ModelRule | ServiceRule


class InvalidValueError(Exception):
    """A value is invalid.

    Attributes:
        reason: Description of the fault.
        offset: Number of characters of the value before the fault.
    """

    def __init__(self, reason: str, offset: int = 0):
        self.reason = reason
        self.offset = offset
        super().__init__(reason)


@attrs.frozen
class Field:
    """A field of a kind of rule.

    Attributes:
        attribute: Name of the attribute in the rule class.
        parse: Converts text to a value; raises `InvalidValueError`.
        format: Converts a value to text.
        required: Whether every rule of this kind must set the field.
    """

    attribute: str
    parse: Callable[[str], object]
    format: Callable[[object], str]
    required: bool = False


@attrs.frozen
class Kind:
    """A kind of rule: its class, and its fields by key."""

    rule_class: type
    fields: dict[str, Field]


def shorten(text: str) -> str:
    """Quotes a text for an error message, truncated to 40 characters."""
    return repr(text if len(text) <= 40 else f"{text[:37]}...")


def _number_parser(low: float, high: float) -> Callable[[str], float]:
    bounds = f"{_format_number(low)} to {_format_number(high)}"

    def parse(text: str) -> float:
        if not _NUMBER.fullmatch(text) or not low <= float(text) <= high:
            raise InvalidValueError(
                f"{shorten(text)} is not a number from {bounds}"
            )
        return float(text)

    return parse


def _integer_parser(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,12}", text) or not (
            low <= int(text) <= high
        ):
            raise InvalidValueError(
                f"{shorten(text)} is not an integer from {low} to {high}"
            )
        return int(text)

    return parse


def _pattern_parser(pattern: re.Pattern, allowed: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if not pattern.fullmatch(text):
            raise InvalidValueError(f"{shorten(text)} is not {allowed}")
        return text

    return parse


def _list_parser(parse_item: Callable[[str], str]) -> Callable[[str], tuple]:
    def parse(text: str) -> tuple[str, ...]:
        found: list[str] = []
        offset = 0
        for item in text.split(","):
            if item in found:
                raise InvalidValueError(
                    f"{shorten(item)} is given twice", offset
                )
            try:
                found.append(parse_item(item))
            except InvalidValueError as exc:
                raise InvalidValueError(exc.reason, offset) from exc
            offset += len(item) + 1
        if len(found) > MAX_LIST_ITEMS:
            raise InvalidValueError(f"more than {MAX_LIST_ITEMS} items")
        return tuple(found)

    return parse


def _parse_key_digest(text: str) -> str:
    found = _KEY.fullmatch(text)
    if not found:
        # The message omits the value: it may be an API key in plain text.
        raise InvalidValueError(
            "the value is not sha256: followed by 64 hexadecimal digits"
        )
    return found[1].lower()


def _parse_priority(text: str) -> Priority:
    names = {p.name.lower(): p for p in Priority}
    if text not in names:
        raise InvalidValueError(
            f"{shorten(text)} is not one of {', '.join(names)}"
        )
    return names[text]


parse_name = _pattern_parser(_NAME, _NAME_ALLOWED)
_parse_path = _pattern_parser(_PATH, "a path such as /deposits or /shop/orders")


def _format_number(value: float) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".")


KINDS = {
    "customer": Kind(
        CustomerRule,
        {
            "key": Field(
                "key_digest", _parse_key_digest, lambda v: f"sha256:{v}", True
            ),
            "class": Field(
                "priority", _parse_priority, lambda v: v.name.lower()
            ),
            "rate": Field(
                "rate", _number_parser(0, MAX_REQUESTS_PER_S), _format_number
            ),
            "concurrent": Field(
                "concurrent", _integer_parser(0, MAX_CONCURRENT_REQUESTS), str
            ),
            "share": Field(
                "share", _number_parser(MIN_SHARE, MAX_SHARE), _format_number
            ),
            "models": Field("models", _list_parser(parse_name), ",".join),
        },
    ),
    "model": Kind(
        ModelRule,
        {
            "version": Field(
                "version", _pattern_parser(_VERSION, "a version name"), str
            ),
            "first_token": Field(
                "first_token_s",
                _number_parser(MIN_TIME_S, MAX_TIME_S),
                _format_number,
            ),
        },
    ),
    "service": Kind(
        ServiceRule,
        {
            "once": Field("once", _list_parser(_parse_path), ",".join),
            "timeout": Field(
                "timeout_s",
                _number_parser(MIN_TIME_S, MAX_TIME_S),
                _format_number,
            ),
        },
    ),
}
