"""Steps for settings, logs and metrics."""

import importlib.util
import io
import json
import pathlib
import shutil
import socket
import tempfile

from behave import given, then, when

from knapweedarch import api, logs
from knapweedarch.events import ALL_EVENTS
from knapweedarch.exceptions import SettingsError
from knapweedarch.metrics import METRICS, create_metrics
from knapweedarch.models import RefusalReason, RetryReason
from knapweedarch.rules import parse_rules

ROOT = pathlib.Path(__file__).resolve().parents[2]


def create_folder(context):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
    context.add_cleanup(shutil.rmtree, folder)
    return folder


def collect_faults(path):
    try:
        api.load(path)
    except SettingsError as exc:
        return [fault.removeprefix(f"{path}: ") for fault in exc.faults]
    return []


@given("a copy of the examples with secret files")
def copy_examples(context):
    context.folder = create_folder(context)
    shutil.copytree(ROOT / "examples", context.folder, dirs_exist_ok=True)
    for name in ("control.secret", "endpoint.secret"):
        (context.folder / name).write_text(f"{name}-0123456789\n")


@then("examples/{file} loads as {settings}")
def check_example_settings(context, file, settings):
    assert type(api.load(context.folder / file)).__name__ == settings


@then("examples/{file} is a valid rule file")
def check_example_rules(context, file):
    assert parse_rules((ROOT / "examples" / file).read_text()).customers


@given("the settings file")
def write_settings_file(context):
    context.path = create_folder(context) / "settings.json5"
    context.path.write_text(context.text)


@then("the settings are refused with exactly")
def check_exact_faults(context):
    found = collect_faults(context.path)
    assert found == context.text.split("\n"), "\n".join(found)


@then('the settings are refused with "{fault}"')
def check_fault(context, fault):
    found = collect_faults(context.path)
    assert any(fault in text for text in found), found


@then('no message contains "{text}"')
def check_not_in_messages(context, text):
    assert text not in "".join(collect_faults(context.path))


@then('the settings load and their repr omits "{text}"')
def check_secret_hidden(context, text):
    settings = api.load(context.path)
    assert settings.credential.startswith(text)
    assert text not in repr(settings)


@then("serving with these settings is refused")
def check_serving_refused(context):
    try:
        api.serve(api.load(context.path))
    except SettingsError:
        return
    raise AssertionError("the tool's settings were served")


@given('logging to memory at level "{level}"')
def capture_logs(context, level):
    context.log_stream = io.StringIO()
    logs.setup_logging(level, context.log_stream)


@when('event "{name}" is logged with version {version:d}')
def log_event(context, name, version):
    logs.log(name, version=version)


@then(
    'the only log line has event {number:d}, name "{name}" '
    "and version {version:d}"
)
def check_only_line(context, number, name, version):
    (line,) = map(json.loads, context.log_stream.getvalue().splitlines())
    seen = (line["event"], line["event_name"], line["fields"]["version"])
    assert seen == (number, name, version), line
    assert {"time", "level", "text"} <= line.keys(), line


def check_key_error(call, *arguments):
    try:
        call(*arguments)
    except KeyError:
        return
    raise AssertionError(f"{arguments} did not fail")


@then('logging event "{name}" fails')
def check_logging_fails(context, name):
    check_key_error(logs.log, name)


@then("no two events share a number or a name")
def check_events_distinct(context):
    assert len({e.number for e in ALL_EVENTS}) == len(ALL_EVENTS)
    assert len({e.name for e in ALL_EVENTS}) == len(ALL_EVENTS)


@given('metrics with prefix "{prefix}" and a statsd socket')
def create_metrics_with_socket(context, prefix):
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.statsd.bind(("127.0.0.1", 0))
    context.statsd.settimeout(5)
    context.add_cleanup(context.statsd.close)
    port = context.statsd.getsockname()[1]
    context.metrics = create_metrics("127.0.0.1", port, prefix)
    context.add_cleanup(context.metrics.close)


@given("metrics without a statsd address")
def create_metrics_without_address(context):
    context.metrics = create_metrics(None, 0, "x")


@when('counter "{name}" is incremented by {number:d}')
def increment_counter(context, name, number):
    context.metrics.count(name, number)


@when('gauge "{name}" is set to {value:d}')
def set_gauge(context, name, value):
    context.metrics.gauge(name, value)


@then('the socket receives "{first}" and "{second}"')
def check_received(context, first, second):
    received = {context.statsd.recv(1000).decode() for _ in range(2)}
    assert received == {first, second}, received


@then('the count of "{name}" in process is {number:d}')
def check_count(context, name, number):
    assert context.metrics.counts[name] == number


@then('incrementing counter "{name}" fails')
def check_count_fails(context, name):
    check_key_error(context.metrics.count, name)


@then("each refusal and retry reason has a counter")
def check_reason_counters(context):
    wanted = {f"refused.{reason.value}" for reason in RefusalReason}
    wanted |= {f"retried.{reason.value}" for reason in RetryReason}
    assert wanted <= METRICS.keys()


@given('a package that logs "{event}" and counts "{metric}"')
def create_package(context, event, metric):
    context.package = create_folder(context)
    (context.package / "bad.py").write_text(
        f'log("{event}")\nself._metrics.count("{metric}")\n"x".count("y")\n'
    )


@then("the catalogue check reports both places")
def check_catalogue_faults(context):
    script = ROOT / "scripts" / "check_catalogues.py"
    spec = importlib.util.spec_from_file_location("check_catalogues", script)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.SOURCE_DIRECTORIES = (context.package,)
    faults, unused = module.check_uses()
    places = [fault.split()[0] for fault in faults]
    assert places == ["bad.py:1", "bad.py:2"], faults
    assert "started" in unused
