"""Runs all checks of the repository and prints the totals."""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

REQUIRED_CHECKS = (
    ("formatter", ["ruff", "format", "--check", "."]),
    ("linter", ["ruff", "check", "."]),
    ("core modules perform no I/O", [sys.executable, "scripts/check_core.py"]),
)
OPTIONAL_CHECKS = (
    ("catalogues match the registries", "scripts/check_catalogues.py"),
    ("model checking", "spec/check.py"),
)


def run_command(name: str, command: list[str]) -> bool:
    """Runs one command and prints its output if it fails.

    Returns whether it passed.
    """
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    passed_check = done.returncode == 0
    print(f"{'ok  ' if passed_check else 'FAIL'} {name}")
    if not passed_check:
        print(done.stdout[-8000:], done.stderr[-8000:])
    return passed_check


def known_red_names() -> set[str]:
    """Returns the scenario names on the 'test:' lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def scenario_report(plain: str, name: str) -> str:
    """Returns the part of behave's plain report about one scenario.

    It has the traceback of every failed step and hook, which the JSON report
    lacks for errors. A flaky failure may not recur, so CI prints it.
    """
    sections = plain.split("\n  Scenario")
    found = [s for s in sections[1:] if name in s.splitlines()[0]]
    return "\n".join(section[-6000:] for section in found)


def run_scenarios(arguments: list[str]) -> tuple[int, int, int]:
    """Runs behave; returns the numbers passed, failed and known to fail."""
    with (
        tempfile.NamedTemporaryFile(suffix=".json") as report,
        tempfile.NamedTemporaryFile(suffix=".txt") as plain_report,
    ):
        done = subprocess.run(
            [
                *("behave", "--no-capture", "--format", "json"),
                *("--outfile", report.name, "--format", "plain"),
                *("--outfile", plain_report.name, "--format", "progress"),
                *arguments,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        text = pathlib.Path(report.name).read_text()
        plain = pathlib.Path(plain_report.name).read_text()
    try:
        features = json.loads(text)
    except json.JSONDecodeError:
        print(done.stdout[-8000:], done.stderr[-8000:])
        return 0, 1, 0
    known_red_scenarios = known_red_names()
    passed = failed = known_red = 0
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] != "scenario":
                continue
            name = f"{feature['name']}: {element['name']}"
            status = element.get("status")
            if status == "passed":
                passed += 1
            # The name of a row of an unnamed table ends with a blank.
            elif element["name"].strip() in known_red_scenarios:
                known_red += 1
                print(f"KNOWN RED {name}")
                print(scenario_report(plain, element["name"]))
            # Arguments may deselect scenarios, which are then skipped.
            elif status != "skipped" or not arguments:
                failed += 1
                print(f"FAIL {name} ({status})")
                print(scenario_report(plain, element["name"]))
    if failed or (done.returncode != 0 and not (known_red or passed)):
        print(done.stdout[-12000:], done.stderr[-4000:])
        failed = max(failed, 1)
    print(f"scenarios: {passed} passed, {failed} failed, {known_red} known red")
    return passed, failed, known_red


def main() -> int:
    """Runs all checks; returns the exit code."""
    checks = list(REQUIRED_CHECKS)
    for name, script in OPTIONAL_CHECKS:
        if (ROOT / script).exists():
            checks.append((name, [sys.executable, script]))
    results = [run_command(name, command) for name, command in checks]
    passed, failed, _ = run_scenarios(sys.argv[1:])
    passed += results.count(True)
    failed += results.count(False)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
