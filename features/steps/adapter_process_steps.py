"""Steps for a process that is started as the platform starts it."""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading

from behave import given, then, when

from knapweedarch.founding import Founding
from knapweedarch.journal import open_journal

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SEED = "127.0.0.1:1"
OTHER_SEED = "127.0.0.2:1"
EXIT_TIMEOUT_S = 20.0
EVENT_TIMEOUT_S = 20.0


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def write_settings(context, seed: str) -> None:
    fields = {
        "nodeName": "front-1",
        "bindIp": context.host,
        "zone": "dinsho",
        "zones.dinsho": "bale-highlands",
        "endpoints.front": context.front,
        "endpoints.ready": context.ready,
        "portRange": "7340,7355",
        "seedNodes": seed,
        "bounds.graceS": "3",
    }
    text = "".join(f"{key}={value}\n" for key, value in fields.items())
    context.settings_file.write_text(text)


def prepare_process(context) -> None:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
    context.settings_file = folder / "local.conf"
    # The port of its metrics is fixed; other runs use addresses of their own.
    second, third = random.SystemRandom().sample(range(2, 250), 2)
    context.host = f"127.{second}.{third}.1"
    context.front = f"{context.host}:{free_port(context.host)}"
    context.ready = f"{context.host}:{free_port(context.host)}"


def start_process(context) -> None:
    context.process = subprocess.Popen(
        [sys.executable, "platform", "proxy"],
        cwd=ROOT,
        env={
            "PATH": os.environ["PATH"],
            "KNAPWEEDARCH_NODE_FILE": str(context.settings_file),
        },
        stdout=subprocess.PIPE,
        text=True,
    )
    context.closing.append(context.process.kill)


@given("a proxy process started as on the platform")
def start_proxy_process(context):
    prepare_process(context)
    write_settings(context, SEED)
    start_process(context)
    wait_for_event(context, "started")


@given("a proxy process that waits for its settings as it starts")
def start_waiting_process(context):
    prepare_process(context)
    os.mkfifo(context.settings_file)
    start_process(context)
    # Opens once the process reads its settings.
    context.first_settings = context.settings_file.open("w")
    context.closing.append(context.first_settings.close)


@when("it receives SIGHUP")
def send_hangup(context):
    context.process.send_signal(signal.SIGHUP)


def give_settings(context, later_seed: str) -> None:
    context.settings_file.unlink()
    write_settings(context, SEED)
    text = context.settings_file.read_text()
    write_settings(context, later_seed)
    with context.first_settings as first:
        first.write(text)


@when("it gets its settings")
def give_lasting_settings(context):
    give_settings(context, later_seed=SEED)


@when("it gets its settings, and then the file names another seed")
def give_changing_settings(context):
    give_settings(context, later_seed=OTHER_SEED)


def wait_for_event(context, name: str) -> None:
    """Reads log lines up to an event; fails if the process ends first.

    A process that does not log it in time is killed.
    """
    timer = threading.Timer(EVENT_TIMEOUT_S, context.process.kill)
    timer.start()
    try:
        for line in context.process.stdout:
            if json.loads(line)["event_name"] == name:
                return
    finally:
        timer.cancel()
    raise AssertionError(f"the process ended without the event {name}")


@when("its settings name another seed and it receives SIGHUP")
def change_seed(context):
    write_settings(context, OTHER_SEED)
    context.process.send_signal(signal.SIGHUP)


@when("its settings file is emptied and it receives SIGHUP")
def empty_settings_file(context):
    context.settings_file.write_text("")
    context.process.send_signal(signal.SIGHUP)


@then('it logs the event "{name}"')
def check_event_logged(context, name):
    wait_for_event(context, name)


@then("it exits with code 0 after SIGTERM")
def check_exit(context):
    context.process.send_signal(signal.SIGTERM)
    context.process.communicate(timeout=EXIT_TIMEOUT_S)
    assert context.process.returncode == 0


# Prints what a member's process has imported before its daemon.
FIRST_LINES = """
import json, sys
sys.path[:0] = ["platform", "."]
import knapweedarch.process_start
from adapter.first_start import keep_founding
keep_founding()
print(json.dumps(sorted(sys.modules)))
"""


@given("the settings of a first start")
def write_first_settings(context):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
    context.add_cleanup(shutil.rmtree, folder)
    context.data = folder / "data"
    context.settings_file = folder / "local.conf"
    context.settings_file.write_text(
        "portRange=7340,7355\nbootstrap=true\n"
        f"seedNodes=10.1.0.33:8783,10.2.0.25:8783\ndataDir={context.data}\n"
    )


@when("the first lines of the member's process run")
def run_first_lines(context):
    done = subprocess.run(
        [sys.executable, "-c", FIRST_LINES],
        cwd=ROOT,
        env={
            "PATH": os.environ["PATH"],
            "KNAPWEEDARCH_NODE_FILE": str(context.settings_file),
        },
        capture_output=True,
        check=True,
        timeout=EXIT_TIMEOUT_S,
    )
    context.modules = json.loads(done.stdout)


@then("a journal without bootstrap knows the seeds")
def check_seeds_known(context):
    journal = open_journal(str(context.data))
    context.add_cleanup(journal.close)
    seeds = ("10.1.0.33:7340", "10.2.0.25:7340")
    assert journal.founding == Founding(seeds), journal.founding


@then("no slow module was imported")
def check_imports(context):
    slow = {"anyio", "cattrs", "msgpack", "httpx", "h11", "asyncio"}
    assert not slow & set(context.modules), slow & set(context.modules)
