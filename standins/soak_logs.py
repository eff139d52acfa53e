"""Reads what the members of a site logged."""

import collections
import json
import pathlib
from collections.abc import Iterable, Iterator


def _events(path: pathlib.Path, names: Iterable[str]) -> Iterator[dict]:
    """Yields the log lines of some events."""
    if not path.exists():
        return
    for line in path.read_text(errors="replace").splitlines():
        if not any(name in line for name in names):
            continue
        try:
            event = json.loads(line)
        except json.JSONDecodeError:
            continue
        if event.get("event_name") in names:
            yield event


def find_leader(logs: dict[str, pathlib.Path]) -> str:
    """Returns the member that began to lead last; empty if none did."""
    started = [
        (event["time"], name)
        for name, path in logs.items()
        for event in _events(path, ("leader_started",))
    ]
    return max(started)[1] if started else ""


def count_events(
    logs: Iterable[pathlib.Path], *names: str
) -> collections.Counter:
    """Counts events by name."""
    return collections.Counter(
        event["event_name"] for path in logs for event in _events(path, names)
    )
