"""Steps for logs, metrics and the explanation of requests."""

import contextlib
import io
import json
import os
import tempfile

import anyio
from behave import given, then, when

from features.proxy_harness import open_proxy, request
from knapweedarch import cli, logs
from knapweedarch.metrics import create_metrics
from knapweedarch.metrics_server import serve_metrics
from knapweedarch.settings import Address
from knapweedarch.timers import Clock, ManualClock

FIRST_EVENT, OTHER_EVENT = "request_sent", "stream_ended"
LONG_TEXT = "x" * 200


def get_handler():
    (found,) = logs._logger.handlers
    return found


@given("logs that go to memory")
def log_to_memory(context):
    context.log_stream = io.StringIO()
    logs.setup_logging("info", context.log_stream)
    context.log_clock = get_handler()._clock = ManualClock(10.0)


def parse_event_names(text: str) -> list[str]:
    return [json.loads(line)["event_name"] for line in text.splitlines()]


@when(
    "{many:d} lines of one event and {few:d} of another are logged within a"
    " second"
)
def log_lines_of_two_events(context, many, few):
    for _ in range(many):
        logs.log(FIRST_EVENT)
    for _ in range(few):
        logs.log(OTHER_EVENT)


@when("a line is logged {later:f} s later")
def log_line_later(context, later):
    context.log_clock.time += later
    logs.log("started")


@then("{first:d} lines of the first and {other:d} of the other were written")
def check_lines_written(context, first, other):
    names = parse_event_names(context.log_stream.getvalue())
    assert (names.count(FIRST_EVENT), names.count(OTHER_EVENT)) == (
        first,
        other,
    )


@then("{count:d} lines of the first are reported as dropped")
def check_dropped_lines(context, count):
    lines = map(json.loads, context.log_stream.getvalue().splitlines())
    (summary,) = [x for x in lines if x["event_name"] == "lines_left_out"]
    assert summary["fields"] == {"lines": {FIRST_EVENT: count}}, summary


@given("logs that go to a pipe that is not read")
def log_to_unread_pipe(context):
    reader, writer = os.pipe()
    context.pipe = reader
    stream = os.fdopen(writer, "w")
    context.add_cleanup(stream.close)
    context.add_cleanup(os.close, reader)
    # This scenario fills the pipe; another one tests the limit per second.
    logs.setup_logging("info", stream)
    get_handler()._rate_limiter.max_lines = 1_000_000
    context.add_cleanup(logs.setup_logging, "info", io.StringIO())


@when("a caller sends {count:d} requests that each log 4 lines")
def send_logged_requests(context, count):
    async def run():
        context.answers, context.slowest_s = [], 0.0
        async with open_proxy() as site:
            await site.add_runner(context.modes[0])
            for _ in range(count):
                began_at = anyio.current_time()
                answer = await site.send(request("once"), idle_s=0.001)
                taken_s = anyio.current_time() - began_at
                context.slowest_s = max(context.slowest_s, taken_s)
                context.answers.append(answer.status)
                for _ in range(2):
                    logs.log(OTHER_EVENT, detail=LONG_TEXT)

    anyio.run(run)


@then("all of them are answered, none later than {limit:f} s")
def check_all_answered(context, limit):
    assert set(context.answers) == {200}, context.answers
    assert context.slowest_s <= limit, context.slowest_s


@when("the pipe is read again and a line is logged")
def read_pipe(context):
    os.set_blocking(context.pipe, False)
    context.pipe_output = b""
    for _ in range(100):
        logs.log("started")
        with contextlib.suppress(BlockingIOError):
            while data := os.read(context.pipe, 65_536):
                context.pipe_output += data
    get_handler()._clock = ManualClock(get_handler()._clock.now() + 2.0)
    logs.log("started")
    with contextlib.suppress(BlockingIOError):
        context.pipe_output += os.read(context.pipe, 65_536)


@then("the pipe contained only complete lines")
def check_complete_lines(context):
    assert context.pipe_output.endswith(b"\n")
    assert len(parse_event_names(context.pipe_output.decode())) > 100


@then("lines are reported as dropped")
def check_pipe_dropped_lines(context):
    assert "lines_left_out" in parse_event_names(context.pipe_output.decode())


@given("a metrics server")
def create_test_metrics(context):
    context.metrics = create_metrics(None, 0, "test")


@when('"{name}" is counted {count:d} times')
def count_metric(context, name, count):
    context.metrics.count(name, count)


@when('"{name}" took {one:f} s and {two:f} s')
def record_timings(context, name, one, two):
    context.metrics.timing(name, one)
    context.metrics.timing(name, two)


@when('gauge "{name}" is {value:f}')
def set_gauge(context, name, value):
    context.metrics.gauge(name, value)


def fetch(context, path: str) -> str:
    """Fetches a path of the metrics server; returns headers and body."""

    async def run():
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                listen = Address("127.0.0.1", 0)
                port = await group.start(
                    serve_metrics, context.metrics, listen, Clock()
                )
                stream = await anyio.connect_tcp("127.0.0.1", port)
                async with stream:
                    head = f"GET {path} HTTP/1.1\r\nHost: m\r\n"
                    await stream.send(
                        f"{head}Connection: close\r\n\r\n".encode()
                    )
                    found = b""
                    with contextlib.suppress(anyio.EndOfStream):
                        while True:
                            found += await stream.receive()
                group.cancel_scope.cancel()
                return found.decode()

    return anyio.run(run)


@then('the page at "{path}" contains')
def check_page(context, path):
    lines = fetch(context, path).splitlines()
    assert lines[0].startswith("HTTP/1.1 200"), lines[0]
    missing = [row["line"] for row in context.table if row["line"] not in lines]
    assert not missing, missing


@then('the page at "{path}" is not found')
def check_page_missing(context, path):
    assert fetch(context, path).startswith("HTTP/1.1 404")


@then('only the histogram "{name}" has 1 request')
def check_histogram(context, name):
    histograms = context.proxy_metrics.histograms
    counts = {k: h.buckets()[-1][1] for k, h in histograms.items()}
    ends = {k: n for k, n in counts.items() if k.startswith("answer_time")}
    assert ends == {name: 1}, ends


@then('the log contains "{name}"')
def check_event_logged(context, name):
    assert name in parse_event_names(context.log_stream.getvalue())


@then(
    'the log tells that an attempt with parts "{parts}" ended after'
    " {count:d} events"
)
def check_attempt_logged(context, parts, count):
    lines = context.log_stream.getvalue().splitlines()
    (fields,) = [
        line["fields"]
        for line in map(json.loads, lines)
        if line["event_name"] == "attempt_ended"
    ]
    assert fields["parts"] == parts.split(","), fields
    assert (fields["head"], fields["events"]) == (True, count), fields


def format_line(second: float, source: str, event: str, **fields) -> str:
    """Formats a log line with the prefix that a log collector adds."""
    document = {
        "event_name": event,
        "time": f"2026-12-04T10:00:{second:06.3f}+00:00",
        "fields": fields,
    }
    return f"{second:.3f} {source} {json.dumps(document)}"


def sent_line(endpoint: str, second: float) -> str:
    return format_line(
        *(second, "front-1", "request_sent"), request="r1", endpoint=endpoint
    )


def closed_line(endpoint: str, second: float) -> str:
    return format_line(
        *(second, "front-1", "attempt_ended"),
        request="r1",
        endpoint=endpoint,
        reason="connection_closed",
    )


def given_up_line(reason: str, status: int) -> str:
    return format_line(
        *(3.0, "front-1", "request_given_up"),
        request="r1",
        reason=reason,
        status=status,
    )


def answered_line(status: int, *tried: str) -> str:
    return format_line(
        *(3.1, "front-1", "request_answered"),
        request="r1",
        status=status,
        tried=tried,
        ms=40,
    )


REQUEST_LINES = {
    "was answered": [
        *(
            sent_line("i-1", 1.0),
            closed_line("i-1", 2.0),
            sent_line("i-2", 2.1),
        ),
        answered_line(200, "i-1", "i-2"),
    ],
    "found no endpoint": [
        given_up_line("no_capacity", 503),
        answered_line(503),
    ],
    "has no outcome": [
        *(sent_line("i-1", 1.0), closed_line("i-1", 2.0)),
        *(given_up_line("outcome_unknown", 502), answered_line(502, "i-1")),
    ],
    "broke off": [
        *(sent_line("i-1", 1.0), closed_line("i-1", 2.0)),
        *(sent_line("i-2", 2.1), closed_line("i-2", 2.5)),
        format_line(
            *(2.6, "front-1", "stream_ended"),
            request="r1",
            outcome="broken_off",
            status=200,
            events=94,
            ms=1600,
            tried=["i-1", "i-2"],
        ),
    ],
    "came too early": [
        format_line(
            *(1.0, "front-1", "request_refused_early"),
            request="r1",
            reason="lease_expired",
            status=503,
        )
    ],
    "lost its router": [sent_line("i-1", 1.0)],
    "nobody saw": [],
}
OTHER_LINES = [
    format_line(
        1.9, "core-1", "endpoint_status", endpoint="i-1", status="silent"
    ),
    format_line(2.2, "front-1", "lease_expired"),
    format_line(2.2, "front-2", "lease_expired"),
    format_line(2.2, "front-2", "endpoint_known", endpoint="i-1"),
    format_line(2.3, "front-1", "request_sent", request="r2", endpoint="i-1"),
    "a line of another program",
    '{"event_name": "cut off',
]


@given("the log lines of a request that {end}")
def write_log_files(context, end):
    lines = [*OTHER_LINES, *REQUEST_LINES[end]]
    context.log_paths = []
    # Each process has its own file; the files are given out of order.
    for number in (1, 0):
        with tempfile.NamedTemporaryFile("w", delete=False) as file:
            file.write("\n".join(lines[number::2]) + "\n")
        context.log_paths.append(file.name)
        context.add_cleanup(os.unlink, file.name)


@when("the tool explains the request")
def run_explain(context):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        context.code = cli.run(["explain", "r1", *context.log_paths])
    context.output = out.getvalue()


@then('it exits with {code:d} and the last line is "{conclusion}"')
def check_conclusion(context, code, conclusion):
    assert context.code == code, context.code
    assert context.output.splitlines()[-1] == conclusion, context.output


@then('it shows "{of_member}" of a member and "{of_router}" of its router')
def check_context(context, of_member, of_router):
    assert f"core-1 {of_member}" in context.output, context.output
    assert f"front-1 {of_router}" in context.output, context.output


@then("it shows nothing of other routers and other requests")
def check_no_other_lines(context):
    assert "front-2" not in context.output, context.output
    assert "r2" not in context.output, context.output
