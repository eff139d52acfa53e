"""Steps for running the checks."""

import contextlib
import io
import os
import pathlib
import shutil
import tempfile

import anyio
import behave_runs
import run_checks
from behave import given, then, when
from feature_lanes import FEATURES, find_lanes

from standins.polling import wait_until

HANGING = """
import pathlib, subprocess
from behave import given

@given("a child")
def wait_for_child(context):
    child = subprocess.Popen(["sleep", "600"])
    pathlib.Path({path!r}).write_text(str(child.pid))
    child.wait()
"""
RAISING = """
from behave import given

@given("an error")
def fail(context):
    raise ValueError({text!r})
"""
# An ended process is reaped within this time, in seconds.
REAPED_S = 2.0


def write_feature(context, name, step, code):
    """Writes a feature with one scenario of one step into a folder."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
    context.closing.append(lambda: shutil.rmtree(folder))
    (folder / "steps").mkdir()
    (folder / "steps" / "sample_steps.py").write_text(code)
    shutil.copy(FEATURES / "environment.py", folder)
    context.sample = folder / "sample.feature"
    context.sample.write_text(
        f"Feature: Sample\n  Scenario: {name}\n    Given {step}\n"
    )


@given('a feature whose scenario "{name}" starts a process and waits for it')
def given_hanging(context, name):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
    context.closing.append(lambda: shutil.rmtree(folder))
    context.child = folder / "pid"
    code = HANGING.format(path=str(context.child))
    write_feature(context, name, "a child", code)


@given('a feature whose scenario "{name}" raises "{text}"')
def given_raising(context, name, text):
    write_feature(context, name, "an error", RAISING.format(text=text))


@when("it runs with a time limit of {seconds:g} s")
def run_sample(context, seconds):
    context.run = behave_runs.run_behave(
        "sample", [str(context.sample)], seconds
    )
    context.known_reds = set()


@then('the run names "{name}" and its process has ended')
def check_ended(context, name):
    assert context.run.timed_out_in == name, context.run
    child = int(context.child.read_text())

    async def wait():
        with anyio.fail_after(REAPED_S):
            await wait_until(lambda: not is_running(child))

    anyio.run(wait)


def is_running(pid):
    """Returns whether a process exists and has not ended."""
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    return state.rpartition(")")[2].split()[0] != "Z"


@then('the failure of "{name}" has the text "{text}"')
def check_failure(context, name, text):
    (scenario,) = context.run.scenarios
    assert scenario.name == name, scenario
    assert text in scenario.failure, scenario.failure


@given("a run with a scenario that is {status} and exit code {code:d}")
def given_run(context, status, code):
    scenario = behave_runs.Scenario("Sample", "It runs", status)
    context.run = behave_runs.BehaveRun("sample", 1.0, (scenario,), code, "")


@given("the scenario is {listed}")
def list_scenario(context, listed):
    context.known_reds = {"It runs"} if listed == "listed" else set()


@then(
    "the totals are {passed:d} passed, {failed:d} failed and {known:d} known"
    " red"
)
def check_totals(context, passed, failed, known):
    with contextlib.redirect_stdout(io.StringIO()):
        totals = run_checks.report(
            [context.run], context.known_reds, may_skip=False
        )
    assert totals == run_checks.Totals(passed, failed, known), totals


@then("the lanes hold every feature file once")
def check_lanes(context):
    lanes = find_lanes()
    found = sorted(
        p.name for p in (*lanes.plain, *lanes.processes, *lanes.alone)
    )
    expected = sorted(n for n in os.listdir(FEATURES) if n.endswith(".feature"))
    assert found == expected
