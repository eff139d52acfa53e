"""Steps for events that a faulty runner has spoiled."""

import collections
import functools
import io
import json
import types

import anyio
import httpx
from behave import given, then, when

from knapweedarch import logs
from knapweedarch.adapters import create_adapter
from knapweedarch.cache_feeds import CacheFeeds
from knapweedarch.endpoint_table import EndpointTable
from knapweedarch.exceptions import ExchangeError
from knapweedarch.exchanges import Exchange
from knapweedarch.metrics import create_metrics
from knapweedarch.models import (
    Endpoint,
    EndpointKind,
    LoadReport,
    RetryReason,
)
from knapweedarch.source_relay import FeedSource
from knapweedarch.state import EndpointEntry
from knapweedarch.stored_parts import CacheChanges
from knapweedarch.streams import Malformed, StreamState, parse_event
from knapweedarch.timers import Clock

RUNNER = "10.0.0.1:80"
STORE = "10.0.0.2:80"
# Some polls of a feed, also after an error.
WATCHED_S = 0.6
NESTED = b"[" * 100_000
SCHEDULER_ERROR = "the scheduler raises an unexpected error"


class CountingFeed:
    """Answers at once; counts the calls.

    Attributes:
        calls: Number of calls, by address.
        error: Raised for the runner.
        malformed: Number of malformed events in the runner's first answer.
    """

    def __init__(self):
        self.calls: collections.Counter[str] = collections.Counter()
        self.error: Exception | None = None
        self.malformed = 0

    async def cache_changes(self, address, since, wait_s) -> CacheChanges:
        """Returns no events."""
        self.calls[address] += 1
        if address == RUNNER and self.error is not None:
            raise self.error
        is_spoiled = address == RUNNER and self.calls[address] == 1
        malformed = self.malformed if is_spoiled else 0
        return CacheChanges(1, 1, False, (), malformed=malformed)


class FailingListener:
    """Fails for the changes of the runner if it has an error.

    Attributes:
        error: Raised for the runner.
        silent: Addresses reported as silent.
    """

    def __init__(self):
        self.error: Exception | None = None
        self.silent: set[str] = set()

    def record_changes(self, address, changes, is_first) -> None:
        """Raises the error for the runner."""
        if address == RUNNER and self.error is not None:
            raise self.error

    def record_silence(self, address) -> None:
        """Records a silent source."""
        self.silent.add(address)


@given("a member that follows a runner and a store")
def create_following(context):
    context.feed, context.listener = CountingFeed(), FailingListener()
    context.metrics = create_metrics(None, 0, "member")


def follow_sources(context, watched_s: float = WATCHED_S, beside=None) -> None:
    """Follows both sources for a time; checks that the group still runs.

    Args:
        context: The scenario.
        watched_s: The time.
        beside: Runs at the same time, if given.
    """

    async def run():
        context.runs = False
        clock = Clock()
        async with anyio.create_task_group() as group:
            feeds = CacheFeeds(
                context.feed, context.listener, clock, context.metrics, group
            )
            feeds.set_sources(
                {FeedSource(address, "z") for address in (RUNNER, STORE)}
            )
            if beside is not None:
                group.start_soon(beside)
            with anyio.move_on_after(watched_s):
                while True:
                    await anyio.sleep(0.05)
                    feeds.check_silence(clock.now())
            context.runs = True
            group.cancel_scope.cancel()

    context.log = io.StringIO()
    logs.setup_logging("info", context.log)
    anyio.run(run)


@when("{part} raises an unexpected error for the runner")
def raise_in_feed(context, part):
    error = UnicodeEncodeError("utf-8", "\ud83d", 0, 1, "surrogates")
    match part:
        case "the decoder of events":
            context.feed.error = error
        case "the index of parts":
            context.listener.error = error
    follow_sources(context)


@then("the member still runs and goes on following the store")
def check_member_runs(context):
    assert context.runs
    assert context.feed.calls[STORE] > 2, context.feed.calls


@then("the runner is asked again, does not count as silent and is counted")
def check_runner_followed(context):
    calls = context.feed.calls[RUNNER]
    assert calls > 1, calls
    assert not context.listener.silent
    failed = context.metrics.counts["feeds.failed"]
    assert failed >= calls - 1, (failed, calls)
    assert "feed_failed" in context.log.getvalue()


@when("{count:d} events of the runner cannot be read")
def spoil_events(context, count):
    context.feed.malformed = count
    follow_sources(context)


@then("{count:d} events are counted and one line is logged")
def check_counted(context, count):
    assert context.metrics.counts["feeds.events_malformed"] == count
    assert context.log.getvalue().count("feed_events_malformed") == 1


class EndlessListFeed(CountingFeed):
    """Fails for the runner with answers that are too long."""

    def __init__(self):
        super().__init__()
        self.error = ExchangeError(
            RetryReason.ANSWER_TOO_LONG, "scripted", written=True
        )


@when("the runner's list of events has no end for {seconds:d} s")
def follow_endless_list(context, seconds):
    context.feed = EndlessListFeed()
    follow_sources(context, seconds)
    context.endless_calls = context.feed.calls[RUNNER]


@then(
    "the runner was asked at most {count:d} times and does not count as silent"
)
def check_asked(context, count):
    assert 1 < context.endless_calls <= count, context.endless_calls
    assert not context.listener.silent


@then("once its list has an end it is followed as before")
def check_followed_again(context):
    context.feed = EndlessListFeed()

    async def mend():
        await anyio.sleep(1.0)
        context.feed.error = None

    follow_sources(context, 3.0, mend)
    assert context.feed.calls[RUNNER] > 10, context.feed.calls


def runner(number: int) -> Endpoint:
    return Endpoint(
        *(f"r{number}", "1", f"http://10.0.0.{number}:80"),
        *(EndpointKind.RUNNER, ("guide",)),
    )


class ScriptedScheduler:
    """Takes items of feeds.

    Attributes:
        fails: Whether it raises an error for an item of the first runner.
        reports: Number of load reports by runner.
        lost: Runners whose feeds were lost.
    """

    def __init__(self, fails: bool):
        self.fails = fails
        self.reports: collections.Counter[str] = collections.Counter()
        self.lost: list[str] = []

    def set_endpoints(self, endpoints, now) -> None:
        """Takes the runners."""

    def report_load(self, report: LoadReport, now) -> None:
        """Takes a report."""
        if self.fails and report.endpoint_id == "r1":
            raise OverflowError("cannot convert float infinity to integer")
        self.reports[report.endpoint_id] += 1

    def feed_lost(self, endpoint_id, now) -> None:
        """Takes the end of a feed."""
        self.lost.append(endpoint_id)


def feed_bytes(endpoint: Endpoint, event: str) -> bytes:
    """Returns a load report and an event; empty for the report alone."""
    base = {"incarnation": endpoint.incarnation}
    load = {"type": "load", "running": 1, "queued": 0, "queued_tokens": 0}
    data = b"data: " + json.dumps(base | load).encode() + b"\n\n"
    match event:
        case "":
            return data
        case "no object":
            spoiled = b"5"
        case "100000 nested lists":
            spoiled = NESTED
        case _:
            fields = json.dumps(base).encode()[:-1]
            spoiled = fields + b"," + event.encode()[1:]
    return data + b"data: " + spoiled + b"\n\n"


def open_feed(context, endpoint: Endpoint):
    """Returns the items of a feed, of which the first runner's is spoiled."""
    context.opened[endpoint.id] += 1
    event = context.event if endpoint.id == "r1" else ""

    async def chunks():
        while True:
            yield feed_bytes(endpoint, event)
            await anyio.sleep(0.05)

    exchange = Exchange(httpx.Request("GET", endpoint.url))
    exchange.response = types.SimpleNamespace(stream=chunks())
    return create_adapter("credential", Clock())._feed_items(exchange, endpoint)


def follow_runners(context, fails: bool) -> None:
    context.opened = collections.Counter()
    context.scheduler = ScriptedScheduler(fails)
    context.metrics = create_metrics(None, 0, "router")
    adapter = types.SimpleNamespace(
        follow_feed=functools.partial(open_feed, context)
    )

    async def run():
        context.runs = False
        table = EndpointTable(
            *(context.scheduler, adapter, Clock(), context.metrics, {}, "seed")
        )
        async with anyio.create_task_group() as group:
            table.start(group)
            table.update([EndpointEntry(runner(n), 1) for n in (1, 2)])
            await anyio.sleep(WATCHED_S)
            context.runs = True
            group.cancel_scope.cancel()

    anyio.run(run)


@when("the feed of a runner has the event {event}")
def spoil_feed(context, event):
    context.event = event
    follow_runners(context, fails=False)


@when(SCHEDULER_ERROR + " for an item of a feed")
def fail_in_scheduler(context):
    context.event = ""
    follow_runners(context, fails=True)


@then("the router gives up this feed and opens it again")
def check_feed(context):
    assert context.runs
    assert context.opened["r1"] > 1, context.opened
    assert context.opened["r2"] == 1, context.opened
    assert set(context.scheduler.lost) == {"r1"}, context.scheduler.lost
    assert context.metrics.counts["feed.lost"] == len(context.scheduler.lost)
    assert context.scheduler.reports["r2"] > 2, context.scheduler.reports


@when("a stream has the event {event}")
def spoil_answer(context, event):
    fields = {
        "request_id": "r",
        "attempt_id": "a",
        "offset": 0,
        "tokens": 1,
        "choices": [{"delta": {"content": "x"}}],
    }
    if event == "100000 nested lists":
        context.data = NESTED
    elif event.startswith('"'):
        name = event.partition(":")[0].strip('"')
        fields.pop(name, None)
        whole = json.dumps(fields).encode()
        context.data = whole[:-1] + b", " + event.encode() + b"}"
    else:
        context.data = event.encode()


@then("the event is malformed")
def check_malformed(context):
    found = parse_event(context.data)
    assert isinstance(found, Malformed), found


@when("a stream has the halves of a character in two events")
def split_character(context):
    context.state = StreamState("r")
    context.state.begin("a")
    context.chunks = []
    for offset, half in enumerate(("\\ud83d", "\\ude00")):
        fields = {
            "request_id": "r",
            "attempt_id": "a",
            "offset": offset,
            "tokens": 1,
            "choices": [{"delta": {"content": "HALF"}}],
        }
        data = json.dumps(fields).replace("HALF", half).encode()
        context.chunks.append(parse_event(data))


@then("both are accepted, and the text of the answer has the character")
def check_character(context):
    assert all(context.state.accept(chunk) for chunk in context.chunks)
    sent = json.loads(json.dumps(context.state.text))
    assert sent == "\U0001f600", sent
