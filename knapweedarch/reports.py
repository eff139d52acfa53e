"""Output of the command-line tool, as text or as one JSON document.

Results go to standard output; errors and request ids go to standard error.
"""

import datetime
import json
import pathlib
import sys
from collections.abc import Sequence

import attrs

from knapweedarch.control import StatusReply
from knapweedarch.explain import Explanation, LogLine
from knapweedarch.models import Rules
from knapweedarch.rules import ChangeKind, RuleChange
from knapweedarch.state import EndpointEntry

EXIT_DONE = 0
EXIT_REFUSED = 1
_CHANGE_SIGNS = {
    ChangeKind.ADDED: "+",
    ChangeKind.REMOVED: "-",
    ChangeKind.CHANGED: "~",
}


def warn(text: str) -> None:
    """Prints a line on standard error and flushes it."""
    print(text, file=sys.stderr, flush=True)


def _print(as_json: bool, document: dict, lines: Sequence[str]) -> None:
    if as_json:
        print(json.dumps(document))
    else:
        print("\n".join(lines))


def print_faults(as_json: bool, faults: Sequence[str], code: int) -> int:
    """Prints one fault per line; returns the exit code."""
    for fault in faults:
        warn(fault)
    if as_json:
        print(json.dumps({"result": "failed", "code": code, "faults": faults}))
    return code


def print_done(
    as_json: bool, text: str, request_id: str, **fields: object
) -> int:
    """Prints that an order was carried out; returns the exit code."""
    extra = [f"{key} {value}" for key, value in fields.items()]
    document = {"result": "done", "text": text, "request_id": request_id}
    _print(as_json, {**document, **fields}, [", ".join([text, *extra])])
    return EXIT_DONE


def print_refused(
    as_json: bool, text: str, request_id: str, **fields: object
) -> int:
    """Prints that an order was refused; returns the exit code."""
    warn(text)
    if as_json:
        document = {"result": "refused", "text": text}
        print(json.dumps({**document, "request_id": request_id, **fields}))
    return EXIT_REFUSED


def print_checked(file: pathlib.Path, rules: Rules, as_json: bool) -> None:
    """Prints how many rules of each kind a valid rule file has."""
    sizes = {
        "customers": len(rules.customers),
        "models": len(rules.models),
        "services": len(rules.services),
    }
    text = ", ".join(f"{name} {number}" for name, number in sizes.items())
    _print(as_json, {"result": "done", **sizes}, [f"{file}: {text}"])


def print_settings(file: pathlib.Path, role: str, as_json: bool) -> None:
    """Prints that a settings file is valid."""
    document = {"result": "done", "role": role}
    _print(as_json, document, [f"{file}: valid settings of a {role}"])


def print_diff(
    version: int,
    changes: Sequence[RuleChange],
    same_text: bool,
    as_json: bool,
) -> None:
    """Prints the differences from the rules in force."""
    lines = [f"compared with version {version}"]
    if not changes:
        lines.append("no difference" if same_text else "only comments differ")
    for change in changes:
        lines += _format_change(change)
    document = {
        "result": "done",
        "version": version,
        "same_text": same_text,
        "changes": [
            {
                "change": change.change.value,
                "kind": change.kind,
                "name": change.name,
                "fields": {f.field: [f.old, f.new] for f in change.fields},
            }
            for change in changes
        ],
    }
    _print(as_json, document, lines)


def _format_change(change: RuleChange) -> list[str]:
    lines = [f"{_CHANGE_SIGNS[change.change]} {change.kind} {change.name}"]
    for field in change.fields:
        match change.change:
            case ChangeKind.ADDED:
                value = field.new
            case ChangeKind.REMOVED:
                value = field.old
            case _:
                old, new = field.old or "(default)", field.new or "(default)"
                value = f"{old} -> {new}"
        lines.append(f"    {field.field}: {value}")
    return lines


def _describe_endpoint(entry: EndpointEntry) -> dict:
    endpoint = entry.endpoint
    return {
        "id": endpoint.id,
        "kind": endpoint.kind.value,
        "serves": list(endpoint.serves),
        "weights_version": endpoint.weights_version,
        "url": endpoint.url,
        "data_centre": endpoint.data_centre,
        "incarnation": endpoint.incarnation,
        "checks_fencing": endpoint.checks_fencing,
        "status": "retired" if entry.retired else endpoint.status.value,
    }


def print_list(reply: StatusReply, as_json: bool) -> None:
    """Prints the endpoints; the JSON document also has the rule file."""
    entries = sorted(reply.endpoints, key=lambda e: e.endpoint.id)
    endpoints = [_describe_endpoint(entry) for entry in entries]
    document = {
        "rules_version": reply.rules_version,
        "rules_text": reply.rules_text,
        "endpoints": endpoints,
    }
    columns = ("id", "status", "kind", "weights_version", "data_centre", "url")
    lines = [
        "  ".join([*(e[key] or "-" for key in columns), ",".join(e["serves"])])
        for e in endpoints
    ]
    _print(as_json, document, lines or ["no endpoints"])


def print_status(reply: StatusReply, as_json: bool) -> None:
    """Prints the leader, members, routers and table sizes."""
    members = [
        {"name": m.name, "identity": m.identity, "voter": m.voter}
        for m in reply.members
    ]
    document = {
        "leader": reply.leader,
        "term": reply.term,
        "commit_index": reply.commit_index,
        "rules_version": reply.rules_version,
        "endpoints": len(reply.endpoints),
        "members": members,
        "routers": list(reply.routers),
        "records": reply.records,
        "fencing_number": reply.fencing_number,
    }
    described = [
        f"{m['name']} ({'voter' if m['voter'] else 'learner'})" for m in members
    ]
    texts = {
        **document,
        "members": ", ".join(described),
        "routers": ", ".join(reply.routers) or "none",
    }
    _print(
        as_json, document, [f"{key}: {value}" for key, value in texts.items()]
    )


def print_explanation(explanation: Explanation, as_json: bool) -> int:
    """Prints an explanation; returns the exit code, 1 if it has no lines."""
    document = {
        "conclusion": explanation.conclusion,
        "lines": [attrs.asdict(line) for line in explanation.lines],
        "context": [attrs.asdict(line) for line in explanation.context],
    }
    lines = [_format_line(line) for line in explanation.lines]
    if explanation.context:
        lines += ["", "Related events of its process and endpoints:"]
        lines += [_format_line(line) for line in explanation.context]
    _print(as_json, document, [*lines, "", explanation.conclusion])
    return EXIT_DONE if explanation.lines else EXIT_REFUSED


def _format_line(line: LogLine) -> str:
    at = datetime.datetime.fromtimestamp(line.at, datetime.UTC)
    fields = {k: v for k, v in line.fields.items() if k != "request"}
    details = ", ".join(
        f"{k} {v}" for k, v in fields.items() if v not in ("", [])
    )
    return f"{at:%H:%M:%S.%f} {line.source} {line.event}: {details}"
