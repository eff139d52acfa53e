"""Runs all checks of the repository and prints the totals.

Without arguments the features run side by side. Arguments are passed to one run
of behave.
"""

import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor

import attrs
from behave_runs import ROOT, BehaveRun, run_behave
from feature_lanes import find_lanes, run_lanes
from known_reds import known_red_names

CHECKS = (
    ("formatter", ["ruff", "format", "--check", "."]),
    ("linter", ["ruff", "check", "."]),
    ("core modules perform no I/O", [sys.executable, "scripts/check_core.py"]),
    (
        "catalogues match the registries",
        [sys.executable, "scripts/check_catalogues.py"],
    ),
)
# It takes as long as some features, so it runs beside them.
MODEL_CHECK = ("model checking", [sys.executable, "spec/check.py"])


@attrs.define
class Totals:
    """Numbers of scenarios, and of runs that ended without saying which."""

    passed: int = 0
    failed: int = 0
    known_red: int = 0


def run_command(name: str, command: list[str]) -> bool:
    """Runs one command and prints its output if it fails.

    Returns whether it passed.
    """
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    passed_check = done.returncode == 0
    print(f"{'ok  ' if passed_check else 'FAIL'} {name}", flush=True)
    if not passed_check:
        print(done.stdout[-8000:], done.stderr[-8000:])
    return passed_check


def run_features(arguments: Sequence[str]) -> list[BehaveRun]:
    """Runs all features, or those that the arguments of behave name."""
    if arguments:
        return [run_behave("behave", arguments)]
    return run_lanes(find_lanes(), print_progress)


def print_progress(run: BehaveRun) -> None:
    """Prints a line about a feature that has run."""
    passed = sum(s.status == "passed" for s in run.scenarios)
    counts = f"{passed} of {len(run.scenarios)} scenarios passed"
    print(f"     {run.label}: {run.seconds:.1f} s, {counts}", flush=True)


def report(
    runs: Iterable[BehaveRun], known_reds: set[str], may_skip: bool
) -> Totals:
    """Prints what failed and counts the scenarios.

    Args:
        runs: The runs of behave.
        known_reds: Names of the scenarios that may fail.
        may_skip: Whether scenarios may be deselected by arguments.
    """
    totals = Totals()
    for run in runs:
        failed_before = totals.failed
        _report_scenarios(run, known_reds, may_skip, totals)
        if run.timed_out_in:
            print(f"FAIL {run.label}: time limit, in {run.timed_out_in}")
            totals.failed += 1
        elif run.exit_code and not _has_unpassed(run):
            print(f"FAIL {run.label}: exit code {run.exit_code}")
            totals.failed += 1
        if totals.failed > failed_before:
            print(run.output)
    return totals


def _report_scenarios(
    run: BehaveRun, known_reds: set[str], may_skip: bool, totals: Totals
) -> None:
    for scenario in run.scenarios:
        name = f"{scenario.feature}: {scenario.name}"
        if scenario.status == "passed":
            totals.passed += 1
        elif scenario.status == "skipped" and may_skip:
            continue
        elif scenario.name in known_reds:
            totals.known_red += 1
            print(f"KNOWN RED {name}\n{scenario.failure}")
        else:
            totals.failed += 1
            print(f"FAIL {name} ({scenario.status})\n{scenario.failure}")


def _has_unpassed(run: BehaveRun) -> bool:
    """Returns whether a scenario tells why behave has failed."""
    return any(s.status not in ("passed", "skipped") for s in run.scenarios)


def main() -> int:
    """Runs all checks; returns the exit code."""
    arguments = sys.argv[1:]
    results = [run_command(name, command) for name, command in CHECKS]
    with ThreadPoolExecutor(1) as pool:
        model_check = pool.submit(run_command, *MODEL_CHECK)
        runs = run_features(arguments)
        results.append(model_check.result())
    totals = report(runs, known_red_names(), may_skip=bool(arguments))
    print(
        f"scenarios: {totals.passed} passed, {totals.failed} failed,"
        f" {totals.known_red} known red"
    )
    passed = totals.passed + results.count(True)
    failed = totals.failed + results.count(False)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
