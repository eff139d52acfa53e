"""Parses, validates, compares and formats rule files.

A rule file has one rule per line: a kind, a name, fields as `key=value`, and a
comment `# asked by NAME` or `# asked by NAME: REMARK` that names who requested
the rule. Names are unique per kind. Blank lines and full-line comments are
allowed.
"""

import enum
import re
from collections.abc import Callable, Generator, Iterator

import attrs

from knapweedarch.exceptions import RuleError
from knapweedarch.models import Rules
from knapweedarch.rule_kinds import (
    KINDS,
    InvalidValueError,
    Kind,
    Rule,
    parse_name,
    shorten,
)

MAX_FILE_BYTES = 2 * 1024 * 1024
# Parsing a line takes about 60 us, and the tokens of a stream are 52 ms apart;
# a step must be short enough not to delay them.
LINES_PER_STEP = 100
MAX_LINES = 20_000
MAX_LINE_CHARACTERS = 4_096

_ASKED_BY = re.compile(r"#[ \t]*asked by[ \t]+(.+)")
_TOKEN = re.compile(r"[^ \t]+")


@attrs.frozen(order=True)
class _Fault:
    line: int
    column: int
    reason: str


@attrs.frozen
class _Token:
    text: str
    column: int


@attrs.frozen
class _ModelReference:
    """A model listed by a customer, checked after the whole file is parsed."""

    model: str
    line: int
    column: int


class _Parser:
    """Parses one file and collects all faults."""

    def __init__(self):
        self.faults: list[_Fault] = []
        self._rules: dict[str, list[Rule]] = {kind: [] for kind in KINDS}
        # Names and keys of invalid rules are registered as well, so that one
        # fault does not cause others on other lines.
        self._names: dict[tuple[str, str], int] = {}
        self._digests: dict[str, int] = {}
        self._model_references: list[_ModelReference] = []

    def add_fault(self, line: int, column: int, reason: str) -> None:
        """Records a fault; columns are counted in characters from 1."""
        self.faults.append(_Fault(line, column, reason))

    def parse(self, text: str) -> Generator[None, None, Rules]:
        """Parses the text in steps; adds all faults to `faults`."""
        for number, line in enumerate(_split_lines(text), 1):
            if self._has_rule(number, line):
                self._parse_line(number, line)
            if number % LINES_PER_STEP == 0:
                yield
        for reference in self._model_references:
            if ("model", reference.model) not in self._names:
                reason = f"model {reference.model!r} has no rule in this file"
                self.add_fault(reference.line, reference.column, reason)
        return Rules(*(tuple(self._rules[kind]) for kind in KINDS))

    def _has_rule(self, number: int, line: str) -> bool:
        """Returns whether a line has a rule; records faults of its text."""
        limit = MAX_LINE_CHARACTERS
        if len(line) > limit:
            self.add_fault(number, limit + 1, f"more than {limit} characters")
            return False
        printable = line.replace("\t", " ")
        if not printable.isprintable():
            column = next(
                i for i, c in enumerate(printable, 1) if not c.isprintable()
            )
            code = f"U+{ord(line[column - 1]):04X}"
            self.add_fault(number, column, f"character {code} is not allowed")
            return False
        content = line.strip(" \t")
        return bool(content) and not content.startswith("#")

    def _parse_line(self, number: int, line: str) -> None:
        body = line.partition("#")[0]
        asked_by = self._read_asked_by(number, line, len(body))
        tokens = [
            _Token(m.group(), m.start() + 1) for m in _TOKEN.finditer(body)
        ]
        kind = KINDS.get(tokens[0].text)
        if kind is None:
            known = ", ".join(KINDS)
            reason = f"unknown kind {shorten(tokens[0].text)}; known: {known}"
            self.add_fault(number, tokens[0].column, reason)
            return
        self._parse_rule(number, tokens, kind, asked_by)

    def _read_asked_by(self, number: int, line: str, start: int) -> str:
        found = _ASKED_BY.fullmatch(line[start:])
        name = found[1].partition(":")[0].strip(" \t") if found else ""
        if name:
            return name
        column = min(start, len(line.rstrip(" \t"))) + 1
        self.add_fault(number, column, "'# asked by NAME' is missing")
        return ""

    def _parse_rule(
        self, number: int, tokens: list[_Token], kind: Kind, asked_by: str
    ) -> None:
        first = tokens[0]
        if len(tokens) < 2 or "=" in tokens[1].text:
            column = first.column + len(first.text)
            self.add_fault(number, column, f"the {first.text} has no name")
            return
        faults_before = len(self.faults)
        name = self._convert(number, tokens[1], tokens[1].text, parse_name)
        self._register_name(number, first.text, tokens[1])
        values = self._read_fields(number, tokens[2:], kind)
        for key, field in kind.fields.items():
            if field.required and not any(
                token.text.partition("=")[0] == key for token in tokens[2:]
            ):
                self.add_fault(
                    number, first.column, f"field {key!r} is missing"
                )
        if len(self.faults) == faults_before:
            rule = kind.rule_class(name=name, asked_by=asked_by, **values)
            self._rules[first.text].append(rule)

    def _register_name(self, number: int, kind: str, token: _Token) -> None:
        line = self._names.setdefault((kind, token.text), number)
        if line != number:
            reason = f"{kind} {token.text!r} already has a rule in line {line}"
            self.add_fault(number, token.column, reason)

    def _read_fields(
        self, number: int, tokens: list[_Token], kind: Kind
    ) -> dict[str, object]:
        values: dict[str, object] = {}
        for token in tokens:
            key, separator, text = token.text.partition("=")
            field = kind.fields.get(key)
            reason = ""
            if field is None:
                known = ", ".join(kind.fields)
                reason = f"unknown field {shorten(key)}; known: {known}"
            elif not separator:
                reason = f"field {key!r} has no value"
            elif field.attribute in values:
                reason = f"field {key!r} is given twice"
            if reason:
                self.add_fault(number, token.column, reason)
                continue
            value_token = _Token(text, token.column + len(key) + 1)
            value = self._convert(number, value_token, text, field.parse)
            values[field.attribute] = value
            if value is not None:
                self._register_value(number, value_token, key, value)
        return values

    def _convert(
        self,
        number: int,
        token: _Token,
        text: str,
        parse_value: Callable[[str], object],
    ) -> object | None:
        try:
            return parse_value(text)
        except InvalidValueError as exc:
            self.add_fault(number, token.column + exc.offset, exc.reason)
            return None

    def _register_value(
        self, number: int, token: _Token, key: str, value: object
    ) -> None:
        if key == "key":
            line = self._digests.setdefault(value, number)
            if line != number:
                reason = f"the customer in line {line} has the same key"
                self.add_fault(number, token.column, reason)
        if key == "models":
            column = token.column
            for model in value:
                self._model_references.append(
                    _ModelReference(model, number, column)
                )
                column += len(model) + 1


def _split_lines(text: str) -> list[str]:
    # str.splitlines also splits at form feeds and Unicode separators, so its
    # line numbers would differ from those in editors.
    return [line.removesuffix("\r") for line in text.split("\n")]


def parse_rules(text: str, name: str = "rules") -> Rules:
    """Parses and validates a rule file.

    Args:
        text: Content of the file.
        name: File name used in error messages.

    Raises:
        RuleError: See `parse_steps`.
    """
    steps = parse_steps(text, name)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def parse_steps(text: str, name: str = "rules") -> Generator[None, None, Rules]:
    """Parses and validates a rule file in steps of `LINES_PER_STEP` lines.

    An event loop can serve streams between two steps.

    Args:
        text: Content of the file.
        name: File name used in error messages.

    Raises:
        RuleError: The file is invalid. Each fault has the form
            `file:line:column: reason`; lines and columns are counted from 1,
            columns in characters.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_FILE_BYTES:
        reason = f"{size} bytes exceed the limit of {MAX_FILE_BYTES}"
        raise RuleError([f"{name}:1:1: {reason}"])
    # A trailing line break does not start another line.
    if text.removesuffix("\n").count("\n") >= MAX_LINES:
        reason = f"more than {MAX_LINES} lines"
        raise RuleError([f"{name}:{MAX_LINES + 1}:1: {reason}"])
    parser = _Parser()
    rules = yield from parser.parse(text)
    if parser.faults:
        raise RuleError(
            [
                f"{name}:{fault.line}:{fault.column}: {fault.reason}"
                for fault in sorted(parser.faults)
            ]
        )
    return rules


class ChangeKind(str, enum.Enum):
    """How a rule differs between two rule files."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class FieldChange:
    """A field whose value differs.

    An empty string means the default, or that one file does not have the rule.
    """

    field: str
    old: str
    new: str


@attrs.frozen
class RuleChange:
    """A difference between two rule files.

    Attributes:
        change: Whether the rule was added, removed or changed.
        kind: Kind of the rule.
        name: Name of the rule.
        fields: Changed fields; for an added or removed rule, all fields that
            differ from their defaults. `asked by` is also one of the fields.
    """

    change: ChangeKind
    kind: str
    name: str
    fields: tuple[FieldChange, ...]


def diff_rules(old: Rules, new: Rules) -> tuple[RuleChange, ...]:
    """Lists the differences by kind and name, regardless of file order."""
    before, after = _index_by_name(old), _index_by_name(new)
    order = list(KINDS)
    names = sorted(
        before.keys() | after.keys(), key=lambda k: (order.index(k[0]), k[1])
    )
    changes = (
        _compare_rules(*key, before.get(key), after.get(key)) for key in names
    )
    return tuple(change for change in changes if change is not None)


def _index_by_name(rules: Rules) -> dict[tuple[str, str], Rule]:
    groups = (rules.customers, rules.models, rules.services)
    return {
        (kind, rule.name): rule
        for kind, group in zip(KINDS, groups, strict=True)
        for rule in group
    }


def _compare_rules(
    kind: str, name: str, old: Rule | None, new: Rule | None
) -> RuleChange | None:
    before, after = _format_fields(kind, old), _format_fields(kind, new)
    fields = tuple(
        FieldChange(key, before.get(key, ""), after.get(key, ""))
        for key in (*KINDS[kind].fields, "asked by")
        if before.get(key) != after.get(key)
    )
    if old is None or new is None:
        change = ChangeKind.ADDED if old is None else ChangeKind.REMOVED
        return RuleChange(change, kind, name, fields)
    return (
        RuleChange(ChangeKind.CHANGED, kind, name, fields) if fields else None
    )


def _format_fields(kind: str, rule: Rule | None) -> dict[str, str]:
    """Formats the fields of a rule that differ from their defaults."""
    if rule is None:
        return {}
    defaults = {a.name: a.default for a in attrs.fields(type(rule))}
    found = {
        key: field.format(getattr(rule, field.attribute))
        for key, field in KINDS[kind].fields.items()
        if getattr(rule, field.attribute) != defaults[field.attribute]
    }
    return {**found, "asked by": rule.asked_by}


def format_rules(rules: Rules) -> str:
    """Formats rules as a rule file that parses to equal rules.

    The file has no remarks and other comments, as `Rules` does not hold them.
    """
    return "".join(f"{line}\n" for line in _format_lines(rules))


def _format_lines(rules: Rules) -> Iterator[str]:
    for (kind, name), rule in _index_by_name(rules).items():
        texts = _format_fields(kind, rule)
        asked_by = texts.pop("asked by")
        fields = (f"{key}={value}" for key, value in texts.items())
        yield f"{' '.join((kind, name, *fields))}  # asked by {asked_by}"
