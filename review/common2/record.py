"""The record of a script: one line for each thing sent, answered or run."""

import json
import pathlib
import time


class Record:
    """Writes `record.txt` in the folder of a case.

    Args:
        folder: The folder.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._lines: list[dict] = []
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, kind: str, **fields: object) -> None:
        """Writes one line.

        Args:
            kind: What happened.
            **fields: Details.
        """
        line = {"at": round(self.now(), 3), "kind": kind, **fields}
        self._lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def lines(self, kind: str) -> list[dict]:
        """Returns the lines of a kind so far."""
        return [line for line in self._lines if line["kind"] == kind]
