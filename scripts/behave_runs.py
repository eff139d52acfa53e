"""Runs features with behave and reads what became of their scenarios."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
from collections.abc import Sequence

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Longest time of one run, in seconds.
TIMEOUT_S = 900.0
# Longest text about one failure and about one failed run, in characters.
MAX_FAILURE = 6_000
MAX_OUTPUT = 12_000
REPORTED = frozenset({"passed", "skipped"})


@attrs.frozen
class Scenario:
    """What became of one scenario.

    Attributes:
        feature: Name of its feature.
        name: Its name, with the place of its row if it has one.
        status: The status that behave gives it.
        failure: What behave's report says of it if it has not passed.
    """

    feature: str
    name: str
    status: str
    failure: str = ""


@attrs.frozen
class BehaveRun:
    """What became of one run of behave.

    Attributes:
        label: What was run.
        seconds: How long it took.
        scenarios: Its scenarios, in order.
        exit_code: Exit code of behave; negative if it was killed.
        output: End of its output.
        timed_out_in: Name of the scenario that the time limit ended; empty if
            the limit was kept.
    """

    label: str
    seconds: float
    scenarios: tuple[Scenario, ...]
    exit_code: int
    output: str
    timed_out_in: str = ""


def run_behave(
    label: str, arguments: Sequence[str], timeout_s: float = TIMEOUT_S
) -> BehaveRun:
    """Runs behave, and ends it with its children at the time limit.

    Args:
        label: What is run.
        arguments: Arguments of behave.
        timeout_s: Time limit in seconds.
    """
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        files = _ReportFiles(pathlib.Path(folder))
        with open(files.output, "wb") as output:
            process = subprocess.Popen(
                ["behave", *files.options(), *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        exit_code = _wait(process, timeout_s)
        timed_out_in = ""
        if exit_code is None:
            timed_out_in = files.read(files.current) or "no scenario"
        scenarios = _read_scenarios(
            files.read(files.json), files.read(files.plain)
        )
        return BehaveRun(
            label=label,
            seconds=time.monotonic() - started_at,
            scenarios=scenarios,
            exit_code=process.returncode,
            output=files.read(files.output)[-MAX_OUTPUT:],
            timed_out_in=timed_out_in,
        )


class _ReportFiles:
    """Files that one run of behave writes."""

    def __init__(self, folder: pathlib.Path):
        self.json = folder / "report.json"
        self.plain = folder / "report.txt"
        self.current = folder / "scenario.txt"
        self.output = folder / "output.txt"

    def options(self) -> list[str]:
        """Returns the options by which behave writes the files."""
        return [
            *("--no-capture", "--format", "json", "--outfile", str(self.json)),
            *("--format", "plain", "--outfile", str(self.plain)),
            *("--format", "progress"),
            *("-D", f"current_scenario={self.current}"),
        ]

    def read(self, path: pathlib.Path) -> str:
        """Returns the text of a file; empty if it was not written."""
        if not path.exists():
            return ""
        return path.read_text(errors="replace")


def _wait(process: subprocess.Popen, timeout_s: float) -> int | None:
    """Waits for a process; returns None if its time is up and it was killed."""
    try:
        return process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        return None


def _read_scenarios(report: str, plain: str) -> tuple[Scenario, ...]:
    """Reads the JSON report; a run that was killed leaves none."""
    try:
        features = json.loads(report)
    except json.JSONDecodeError:
        return ()
    return tuple(
        _read_scenario(feature["name"], element, plain)
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    )


def _read_scenario(feature: str, element: dict, plain: str) -> Scenario:
    status = str(element.get("status"))
    failure = ""
    if status not in REPORTED:
        failure = _failure(plain, element["name"])
    # The name of a row of an unnamed table ends with a blank.
    return Scenario(feature, element["name"].strip(), status, failure)


def _failure(plain: str, name: str) -> str:
    """Returns the part of behave's plain report about one scenario.

    It has the traceback of every failed step and hook, which the JSON report
    lacks for errors. A flaky failure may not recur, so CI prints it.
    """
    sections = plain.split("\n  Scenario")
    found = [s for s in sections[1:] if name in s.splitlines()[0]]
    return "\n".join(section[-MAX_FAILURE:] for section in found)
