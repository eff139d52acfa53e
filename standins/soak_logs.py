"""Reads what the members of a site logged."""

import collections
import json
import pathlib
from collections.abc import Iterable, Iterator

import attrs

LEADER_EVENTS = ("leader_started",)


def _parse(text: str, names: Iterable[str]) -> Iterator[dict]:
    """Yields the log lines of some events."""
    for line in text.splitlines():
        if not any(name in line for name in names):
            continue
        try:
            event = json.loads(line)
        except json.JSONDecodeError:
            continue
        if event.get("event_name") in names:
            yield event


@attrs.define
class LeaderFinder:
    """Follows the logs of the members, and reads each line once.

    Attributes:
        leader: Member that began to lead last; empty if none did.
    """

    leader: str = ""
    _since: str = ""
    _offsets: dict[str, int] = attrs.field(factory=dict)

    def read(self, logs: dict[str, pathlib.Path]) -> str:
        """Reads what was logged since the last call; returns the leader."""
        for name, path in logs.items():
            for event in _parse(self._read_new(name, path), LEADER_EVENTS):
                if event["time"] > self._since:
                    self._since, self.leader = event["time"], name
        return self.leader

    def _read_new(self, name: str, path: pathlib.Path) -> str:
        """Returns the whole lines that were added."""
        if not path.exists():
            return ""
        offset = self._offsets.get(name, 0)
        with path.open("rb") as file:
            file.seek(offset)
            lines = file.read()
        whole = lines[: lines.rfind(b"\n") + 1]
        self._offsets[name] = offset + len(whole)
        return whole.decode(errors="replace")


def count_events(
    logs: Iterable[pathlib.Path], *names: str
) -> collections.Counter:
    """Counts events by name."""
    texts = [p.read_text(errors="replace") for p in logs if p.exists()]
    return collections.Counter(
        event["event_name"] for text in texts for event in _parse(text, names)
    )
