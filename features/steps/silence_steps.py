"""Steps for endpoints that are silent for a moment."""

import contextlib
import functools
import re

import anyio
import attrs
from behave import then, when

from features.proxy_harness import (
    EVENTS,
    ProxyFixture,
    RawAnswer,
    ReceivedRequest,
    open_proxy,
    request,
)
from knapweedarch.chats import _AttemptRelay
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.exceptions import EndpointError
from knapweedarch.http_outbound import AnswerHead
from knapweedarch.models import (
    Attempt,
    Endpoint,
    EndpointKind,
    EndpointStatus,
    Priority,
    RetryReason,
    Ticket,
)
from knapweedarch.relay_messages import EndpointLoad, endpoint_digest
from knapweedarch.repeat_budget import RepeatBudget
from knapweedarch.request_digests import RequestDigests
from knapweedarch.silence_watch import SilenceWatch
from knapweedarch.state import ControlState
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.streams import Chunk, StreamState
from knapweedarch.timers import ManualClock
from knapweedarch.watchdogs import Watchdog
from standins.fake_router import FakeRouter

SILENT_FOR_GOOD = "is silent for 9 s after event 2"
TICKET = ("r", "a", "guide", Priority.GUEST, (), 10, 20, 9.0)
# So many that the share of each in the repeats is less than one.
MANY_ROUTERS = 1_000_000
# Longer than any silence, after which the rest of the stream comes.
WHOLE_ANSWER_S = 3.5
RELEASED_AFTER_S = 1.0


def hold_back(fixture: ProxyFixture, reason: str) -> None:
    """Lets the second endpoint take no request for a reason."""
    attempts, now = fixture.attempts, fixture.attempts.now()
    other = fixture.endpoints()[-1]
    match reason:
        case "the repeats are used up":
            attempts.set_router_count(MANY_ROUTERS)
        case "the other one leaves":
            leaving = attrs.evolve(other, status=EndpointStatus.LEAVING)
            attempts.set_endpoints([*fixture.endpoints()[:-1], leaving])
        case "the other one has asked for a wait":
            head = AnswerHead(503, ((b"retry-after", b"9"),))
            attempts.record_head(other, head)
        case "the other one was replaced":
            attempts.chooser.record_replaced(other, now)
        case "the other one is silent":
            attempts.chooser.record_silence(other.address)
        case "the other one has no room":
            attempts.chooser.record_sent(other, None, 0, now)


@attrs.frozen
class Met:
    """What a caller got, in which time, and what the other endpoint got.

    The silences that were counted as borne are noted as well.
    """

    data: bytes
    took_s: float
    received: list[ReceivedRequest]
    borne: int


async def read_stream(port: int) -> tuple[bytes, float]:
    """Sends a request that may be resumed; returns the answer and its time."""
    began_at, data = anyio.current_time(), b""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream:
        await stream.send(request("patient", limit_ms=5000))
        with (
            anyio.move_on_after(WHOLE_ANSWER_S),
            contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
        ):
            while not is_whole(data):
                data += await stream.receive()
    return data, anyio.current_time() - began_at


def is_whole(data: bytes) -> bool:
    """Returns whether an answer has each event once and its end."""
    answer = RawAnswer(data)
    found = re.findall(rb"data: piece (\d)\n\n", answer.body)
    has_end = data.endswith((b"0\r\n\r\n", EVENTS[-1]))
    return [int(n) for n in found] == [1, 2, 3, 4] and has_end


async def meet(context, mode: str, reason: str) -> None:
    """Plays one stream; notes what its caller and the other endpoint got."""
    async with open_proxy() as fixture:
        await fixture.add_runner(mode, "v1")
        if reason != "there is none":
            software = "v2" if "software" in reason else "v1"
            if reason == "the other one turns it away":
                await fixture.add_runner("is full", software)
            await fixture.add_runner("streams", software)
        hold_back(fixture, reason)
        if reason == "it is free later":
            fixture.group.start_soon(release_later, fixture)
        data, took_s = await read_stream(fixture.port)
        received = [part for r in fixture.runners[1:] for part in r.received]
        borne = fixture.metrics.counts["silences.borne"]
        context.met[reason] = Met(data, took_s, received, borne)


async def release_later(fixture: ProxyFixture) -> None:
    other = fixture.endpoints()[-1].address
    fixture.attempts.chooser.record_silence(other)
    await anyio.sleep(RELEASED_AFTER_S)
    fixture.attempts.record_activity(other)


def meet_all(context, mode: str, reasons: list[str]) -> None:
    async def run():
        async with anyio.create_task_group() as group:
            for reason in reasons:
                group.start_soon(meet, context, mode, reason)

    context.met = {}
    anyio.run(run)


@when("streams meet an endpoint that {does}, and no other may go on since")
def meet_alone(context, does):
    meet_all(context, does, [row["reason"] for row in context.table])


@when("a stream meets an endpoint that {does}, and another one")
def meet_with_other(context, does):
    meet_all(context, does, ["another one is free"])


@when("a stream meets an endpoint that trickles, and no other one")
def meet_trickle(context):
    meet_all(context, "sends bytes without events", ["there is none"])


@then("its silence is counted once")
def check_counted_once(context):
    (met,) = context.met.values()
    assert met.borne == 1, met.borne


@when("a stream meets a dead endpoint and another one is free 1 s later")
def meet_released(context):
    meet_all(context, SILENT_FOR_GOOD, ["it is free later"])


@when("a stream meets a dead endpoint, one that turns it away and a third one")
def meet_full(context):
    meet_all(context, SILENT_FOR_GOOD, ["the other one turns it away"])


@then("each caller has the whole stream, and the other endpoint got nothing")
def check_stayed(context):
    check_whole(context)
    left = {why: met.received for why, met in context.met.items()}
    assert not any(left.values()), left
    borne = {why: met.borne for why, met in context.met.items()}
    assert set(borne.values()) == {1}, borne


@then("each caller has the whole stream")
def check_whole(context):
    cut = {w: m.data for w, m in context.met.items() if not is_whole(m.data)}
    assert not cut, f"cut: {cut}"


@then("the other endpoint was asked to go on after event {number:d}")
def check_asked(context, number):
    (met,) = context.met.values()
    asked = [r.header("Last-Event-Id") for r in met.received]
    assert asked == [str(number)], asked


@then("it took less than {limit:g} s")
def check_time(context, limit):
    (met,) = context.met.values()
    assert met.took_s < limit, met.took_s


@when("each router has had 3 requests a second for 10 s and all fall silent")
def all_silent(context):
    budgets = [
        RepeatBudget(context.limits, -context.limits.window_s)
        for _ in range(context.router_count)
    ]
    for budget in budgets:
        for number in range(30):
            budget.record_request(number / 3)
    acquire = functools.partial(spend, budgets, context.router_count)
    context.silent = acquire(lambda b, *at: b.try_acquire_for_silence(*at))
    context.broken = acquire(RepeatBudget.try_acquire)


def spend(budgets, count: int, try_acquire) -> list[int]:
    """Repeats 30 requests at each router; returns how many each could."""
    return [
        sum(try_acquire(budget, count, 10.0) for _ in range(30))
        for budget in budgets
    ]


@then("at most half of the repeats are used, and at least one at each router")
def check_half(context):
    for silent, broken in zip(context.silent, context.broken, strict=True):
        assert 1 <= silent <= max(1, (silent + broken) / 2), (silent, broken)


@then("the repeats that are left can be used for requests that break off")
def check_left(context):
    limits, count = context.limits, context.router_count
    used = sum(context.silent) + sum(context.broken)
    bound = limits.ratio * 30 * count + limits.allowance
    assert bound / 2 <= used <= bound, (used, bound)
    assert sum(context.broken) >= sum(context.silent), context.broken


@when(
    "one of {count:d} routers has a request at each of 4 endpoints of 8 slots"
)
def request_at_each(context, count):
    context.chooser = EndpointChooser(ChoiceConfig(), PartsIndex())
    context.chooser.set_router_count(count)
    context.endpoints = [
        Endpoint(
            *(f"i-{n}", "1", f"http://10.0.0.{n}:80", EndpointKind.SERVICE),
            *(("desk",),),
            slots=8,
        )
        for n in range(4)
    ]
    for endpoint in context.endpoints:
        context.chooser.record_sent(endpoint, None, 0, 0.0)


def endpoint_with_room(context) -> Endpoint | None:
    return context.chooser.choose(
        context.endpoints, None, (), 0.0, needs_room=True
    )


@then("it finds one with room while the loads of the others are unknown")
def check_room(context):
    assert endpoint_with_room(context) is not None


@then("it finds none once they are known to fill all slots")
def check_no_room(context):
    digests = [endpoint_digest(e.id) for e in context.endpoints]
    loads = [EndpointLoad(digest, 7, 0, 0) for digest in digests]
    context.chooser.set_peer_loads(loads, 0.0)
    assert endpoint_with_room(context) is None


class LateStream:
    """Brings its second event as its runner is left."""

    first_event_s = 1.0

    def __init__(self, clock: ManualClock):
        self._clock = clock
        self._offset = 0
        self.is_left = anyio.Event()

    async def read(self) -> list[Chunk]:
        """Returns the next event."""
        if self._offset == 1:
            self._clock.time += 3.0
            await self.is_left.wait()
        self._offset += 1
        return [Chunk("r", "a", self._offset - 1, 1, "x", b"x")]

    def create_error(self, reason: RetryReason, message: str):
        """Builds the error for the end of the attempt."""
        return EndpointError(reason.value, message, True)

    def leave(self) -> bool:
        """Lets the second event come, and the runner be left."""
        self.is_left.set()
        return True


class NotingSink:
    """Notes the events whose write has ended."""

    def __init__(self):
        self.offsets: list[int] = []

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Notes events, unless their write is cancelled."""
        await anyio.lowlevel.checkpoint()
        self.offsets += [chunk.offset for chunk in chunks]


@when("an event comes as the watchdog of a stream ends it")
def event_as_left(context):
    async def run():
        router, clock = FakeRouter("r-1", ControlState()), ManualClock(0.0)
        stream, watchdog = LateStream(clock), Watchdog(clock)
        context.sink, context.state = NotingSink(), StreamState("r")
        context.state.begin("a")
        attempt = Attempt(1, Ticket(*TICKET), None)
        relay = _AttemptRelay(
            *(router, context.state, context.sink, attempt, watchdog),
            *(RequestDigests(1), stream.leave, 9.0),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watchdog.run)
            with contextlib.suppress(EndpointError):
                await relay.run(stream)
            group.cancel_scope.cancel()

    anyio.run(run)


@then("the caller has exactly the events that count as relayed")
def check_relayed(context):
    relayed = [*range(context.state.offset)]
    assert context.sink.offsets == relayed, (context.sink.offsets, relayed)


@when("data comes as the watch of an attempt reserves another endpoint")
def data_as_reserved(context):
    async def run():
        async with open_proxy() as fixture:
            attempts, arrived = fixture.attempts, anyio.Event()
            context.reserved = []
            attempts.release_reserved = context.reserved.remove

            def reserve(call) -> bool:
                arrived.set()
                context.reserved.append(call)
                return True

            async def step() -> bytes:
                await arrived.wait()
                return b"data"

            attempts.reserve_repeat = reserve
            with SilenceWatch(attempts, "the call") as watch:
                due, reason = attempts.now(), RetryReason.STREAM_SILENT
                context.data = await watch.wait(step, due, reason)

    anyio.run(run)


@then("the data is passed on and nothing is reserved")
def check_released(context):
    assert (context.data, context.reserved) == (b"data", [])
