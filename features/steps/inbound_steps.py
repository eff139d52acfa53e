"""Steps for connections of callers, with a handler of the scenario."""

import contextlib
import json
import os
import re
import signal
import socket
import struct
import time
import types
from collections.abc import AsyncIterator
from unittest import mock

import anyio
import anyio.lowlevel
import attrs
import httpx
from behave import given, then, when

from features.proxy_harness import (
    EVENTS,
    MODEL,
    SCENARIO_TIMEOUT_S,
    open_proxy,
    receive_all,
    request,
)
from features.request_harness import chat_body
from knapweedarch import inbound_limits
from knapweedarch.deployments import CallerLimits
from knapweedarch.http_inbound import InboundServer, Responder
from knapweedarch.http_messages import Answer, Request
from knapweedarch.http_server import HttpServer
from knapweedarch.metrics import create_metrics
from knapweedarch.settings import Address
from knapweedarch.timers import Clock
from standins import serving
from standins.fake_router import AUTHORIZATION

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
LAST_REQUEST = REQUEST.replace(b"Host", b"Connection: close\r\nHost")
SILENCE_S = 0.4


def seconds_of(mode: str) -> float:
    """Returns the seconds in a text that ends with `N s`."""
    return float(mode.split()[-2])


@attrs.define
class ScriptedHandler:
    """Handler that does what its mode says.

    Attributes:
        mode: What it does.
        started: Set once it has a request.
        ended_at: Times in seconds at which it ended without an answer.
    """

    mode: str
    started: anyio.Event = attrs.field(factory=anyio.Event)
    ended_at: list[float] = attrs.field(factory=list)

    async def handle(self, req: Request, responder: Responder) -> None:
        """Answers one request."""
        self.started.set()
        match self.mode:
            case "waits":
                await self._wait()
            case mode if mode.startswith("answers after"):
                await self._wait(seconds_of(mode))
            case mode if "after" in mode:
                return await self._stream(responder, seconds_of(mode))
            case "fails before the answer":
                raise KeyError("x")
            case "fails within the answer":
                await responder.start(200, (), b"part")
                raise KeyError("x")
            case "ends without an answer":
                return
            case "sends a header that is malformed":
                return await responder.start(200, ((b"a", b"1\n2"),))
            case "sends more than its length":
                length = (b"content-length", b"1")
                return await responder.start(200, (length,), b"two")
            case "gives up its answer":
                await responder.start(200, (), b"part")
                return responder.abort()
        await responder.send(Answer(status=200, body=b"done"))

    async def _stream(self, responder: Responder, pause_s: float) -> None:
        kind = b"text/event-stream" if "streams" in self.mode else b"text/plain"
        await responder.start(200, ((b"content-type", kind),), EVENTS[0])
        await self._wait(pause_s)
        await responder.write(EVENTS[1])
        await responder.end()

    async def _wait(self, seconds: float = SCENARIO_TIMEOUT_S) -> None:
        try:
            await anyio.sleep(seconds)
        except BaseException:
            self.ended_at.append(anyio.current_time())
            raise


@attrs.define
class CallersServer:
    """A server of callers on loopback.

    Attributes:
        handler: Its handler.
        limits: Its limits for callers.
        port: Its port.
        stop: Ends it at once.
    """

    handler: ScriptedHandler
    limits: CallerLimits
    server: InboundServer = None
    port: int = 0
    stop: anyio.CancelScope = None

    async def connect(self):
        """Opens a connection of a caller."""
        return await anyio.connect_tcp("127.0.0.1", self.port)


@contextlib.asynccontextmanager
async def open_server(context) -> AsyncIterator[CallersServer]:
    """Opens a server with the handler and the limits of the scenario."""
    limits = getattr(context, "limits", CallerLimits())
    fixture = CallersServer(ScriptedHandler(context.mode), limits)
    fixture.server = InboundServer(
        fixture.handler.handle, Clock(), lambda: fixture.limits
    )
    with (
        anyio.fail_after(SCENARIO_TIMEOUT_S),
        mock.patch.object(inbound_limits, "CHANGE_GRACE_S", GRACE_S),
    ):
        async with anyio.create_task_group() as group:
            fixture.stop = group.cancel_scope
            fixture.port = await group.start(
                fixture.server.serve, "127.0.0.1", 0
            )
            yield fixture
            group.cancel_scope.cancel()


def reset(stream) -> None:
    """Makes the close of a connection a reset."""
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@given("a server of callers whose handler {mode}")
def server_of_callers(context, mode):
    context.mode = mode


def run_with_server(context, scenario) -> None:
    """Runs an async function with a server of the scenario."""

    async def run():
        async with open_server(context) as fixture:
            await scenario(fixture)

    anyio.run(run)


@when("on a connection the caller resets within the answer")
def resets(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(REQUEST)
            await fixture.handler.started.wait()
            reset(stream)
        await fixture.server.drain(1.0)

    run_with_server(context, scenario)


@when("on a connection the caller is cut by the end of the server")
def is_cut(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(REQUEST)
            await fixture.handler.started.wait()
            fixture.stop.cancel()

    run_with_server(context, scenario)


SENT = {
    "sends a request": REQUEST,
    "sends two requests": REQUEST * 2,
    "sends a last request": LAST_REQUEST,
    "sends half a head": REQUEST[:20],
    "sends half a body": REQUEST[:-2],
    "sends nothing": b"",
}


@when("on a connection the caller {sends}")
def sends_and_reads(context, sends):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            if SENT[sends]:
                await stream.send(SENT[sends])
            context.data = b""
            with anyio.move_on_after(2 * SILENCE_S):
                context.data = await receive_all(stream, SILENCE_S)
        fixture.handler.mode = "answers"
        async with await fixture.connect() as stream:
            await stream.send(LAST_REQUEST)
            context.next_data = await receive_all(stream, SILENCE_S)

    run_with_server(context, scenario)


@when("on a connection the server fails before the request is read")
def fails_before_request(context):
    async def scenario(fixture):
        limits = fixture.server.limits
        async with await fixture.connect() as stream:
            await stream.send(REQUEST)
            fixture.server.limits = None
            await receive_all(stream, SILENCE_S)
        fixture.server.limits = limits
        async with await fixture.connect() as stream:
            await stream.send(LAST_REQUEST)
            context.next_data = await receive_all(stream, SILENCE_S)

    run_with_server(context, scenario)


@then("the log has these lines of dropped requests: {lines}")
def check_dropped(context, lines):
    found = []
    for line in map(json.loads, context.log_stream.getvalue().splitlines()):
        if line["event_name"] in ("request_dropped", "request_incomplete"):
            cause = line["fields"].get("cause", "")
            found.append(f"{line['event_name']} {cause}".strip())
    assert found == ([] if lines == "none" else [lines]), found


STATUS_LINE = re.compile(rb"HTTP/1.1 (\d+)")


@then("the answers are none")
def check_no_answer(context):
    assert not context.data, context.data


@then("the answers are {gets}")
def check_gets(context, gets):
    statuses = [int(x) for x in STATUS_LINE.findall(context.data)]
    match gets:
        case "500 and then the end":
            assert statuses == [500], context.data
            assert b"connection: close" in context.data, context.data
        case "200 that is seen to be broken":
            assert statuses == [200], context.data
            assert not context.data.endswith(b"0\r\n\r\n"), context.data
        case _:
            expected = [int(x) for x in gets.split(" and ")]
            assert statuses == expected, context.data


@then("another connection is served")
def check_next(context):
    assert context.next_data.startswith(b"HTTP/1.1 200"), context.next_data


@given("a gateway whose router fails when {fails}")
def gateway_fails(context, fails):
    (router,) = context.harness.routers
    method = "place" if fails == "it chooses a runner" else "count"
    whole = getattr(router, method)

    def fail(*arguments):
        if method == "place" or arguments[0] == "requests.finished":
            raise KeyError("x")
        return whole(*arguments)

    setattr(router, method, fail)


@when("a caller sends it {kind}")
def sends_gateway(context, kind):
    async def send():
        if kind == "a deposit":
            return await context.harness.call_service("booking/deposits", "k")
        return await context.harness.chat(stream=kind == "a stream")

    context.gets = "200 that is seen to be broken"
    with contextlib.suppress(httpx.RemoteProtocolError):
        context.gets = str(context.portal.call(send).code)


@then("it gets {gets}")
def check_gateway_gets(context, gets):
    assert context.gets == gets, context.gets


@when("a caller sends the header {name} with {value}")
def sends_header(context, name, value):
    number = (
        b"\xb2"
        if "two" in value
        else b"9" * int(value.split()[0].removeprefix("a:"))
    )
    number = b"a:" * value.startswith("a:") + number
    line = f"\r\nX-Knapweedarch-Model: {MODEL}\r\n{name}: ".encode() + number
    data = request("stream").replace(b"\r\n", line + b"\r\n", 1)

    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            context.answer = await fixture.send(data, SILENCE_S)

    anyio.run(run)


# Replaces the grace of a change of limits, which is longer than a test.
GRACE_S = 0.4


@given("an idle limit of {before:f} s, changed after {at:f} s to {after:f} s")
def changed_limit(context, before, at, after):
    context.limits = CallerLimits(idle_s=before)
    context.change = (at, CallerLimits(idle_s=after))


async def change_limits(context, fixture) -> None:
    """Changes the limits as the scenario says; returns after the change."""
    at, limits = context.change
    await anyio.sleep(at)
    fixture.limits = limits
    fixture.server.apply_limits()


async def exchange(stream, *parts: bytes, pause_s: float = 0.0) -> bytes:
    """Sends the parts of a request; returns what comes, if anything."""
    try:
        for part in parts:
            await stream.send(part)
            await anyio.sleep(pause_s)
        return await receive_all(stream, SILENCE_S)
    except anyio.BrokenResourceError:
        return b""


@when("on a kept connection the caller sends a request after {idle:f} s")
def sends_after(context, idle):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await change_limits(context, fixture)
            await anyio.sleep(idle - context.change[0])
            context.data = await exchange(stream, REQUEST)

    run_with_server(context, scenario)


@when(
    "on a kept connection the caller takes {taken:f} s for a body after"
    " {idle:f} s"
)
def sends_slow_body(context, taken, idle):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await change_limits(context, fixture)
            await anyio.sleep(idle - context.change[0])
            parts = REQUEST[:-2], REQUEST[-2:]
            context.data = await exchange(stream, *parts, pause_s=taken)

    run_with_server(context, scenario)


@when(
    "on a kept connection the caller sends a request {turns:d} turns before"
    " the stop"
)
def sends_before_stop(context, turns):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await anyio.sleep(0.05)
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            os.write(sock.fileno(), REQUEST)
            for _ in range(turns):
                await anyio.lowlevel.checkpoint()
            fixture.server.stop_accepting()
            context.data = await receive_all(stream, SILENCE_S)

    run_with_server(context, scenario)


def hold_loop(seconds: float) -> None:
    """Holds the loop as a long computation does."""
    time.sleep(seconds)


@when("on a kept connection the caller sends a request while the loop is held")
def sends_while_held(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await anyio.sleep(0.05)
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            os.write(sock.fileno(), REQUEST)
            hold_loop(context.limits.idle_s)
            context.data = await receive_all(stream, SILENCE_S)

    run_with_server(context, scenario)


@when("on a kept connection the caller sends a request after its end")
def sends_after_end(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await receive_all(stream, SILENCE_S)
            await exchange(stream, REQUEST)
        await anyio.sleep(0.05)

    run_with_server(context, scenario)


@then('the log has no "{name}"')
def check_not_logged(context, name):
    assert name not in context.log_stream.getvalue()


@when("the server is stopped after the change while a request is under way")
def stops_after_change(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await change_limits(context, fixture)
            await stream.send(REQUEST)
            await fixture.handler.started.wait()
            fixture.server.stop_accepting()
            began_s = time.process_time()
            await fixture.server.drain(3.0)
            context.used_s = time.process_time() - began_s
            context.data = await receive_all(stream, SILENCE_S)

    run_with_server(context, scenario)


@then("at most {most:f} s of processor time were used meanwhile")
def check_used(context, most):
    assert context.used_s <= most, context.used_s


@when("the rest of a request comes {after:f} s after the stop")
def comes_after_stop(context, after):
    drained = anyio.Event()

    async def drain(fixture):
        await fixture.server.drain(3.0)
        drained.set()

    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(REQUEST[:-2])
            await anyio.sleep(0.1)
            fixture.server.stop_accepting()
            async with anyio.create_task_group() as group:
                group.start_soon(drain, fixture)
                await anyio.sleep(after)
                context.drained_first = drained.is_set()
                context.data = await exchange(stream, REQUEST[-2:])

    run_with_server(context, scenario)


@then("the server was not drained before")
def check_not_drained(context):
    assert not context.drained_first


@when("{count:d} connections wait until the server has ended them")
def many_wait(context, count):
    context.ended_in_turn = []

    async def scenario(fixture):
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(count):
                await stack.enter_async_context(await fixture.connect())
            while len(fixture.server.idle) < count:
                await anyio.lowlevel.checkpoint()
            await change_limits(context, fixture)
            while left := len(fixture.server.idle):
                await anyio.lowlevel.checkpoint()
                ended = left - len(fixture.server.idle)
                context.ended_in_turn.append(ended)

    run_with_server(context, scenario)


@then("at most {most:d} of them ended in one turn")
def check_few_in_turn(context, most):
    assert 0 < max(context.ended_in_turn) <= most, max(context.ended_in_turn)


@when(
    "on a connection that is closed for sending the caller waits, by {version}"
)
def waits_half_closed(context, version):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(REQUEST.replace(b"HTTP/1.1", version.encode()))
            await stream.send_eof()
            context.data = await receive_all(stream, 3.0)

    run_with_server(context, scenario)


@then("this caller has {has}")
def check_has(context, has):
    data = re.sub(rb"HTTP/1.1 100 \r\n\r\n", b"", context.data)
    match has:
        case "the whole answer":
            assert data.startswith(b"HTTP/1.1 200"), context.data
            assert data.endswith(b"\r\ndone"), context.data
        case "the whole stream":
            assert EVENTS[0] in data, context.data
            assert EVENTS[1] in data, context.data
            assert data.endswith(b"0\r\n\r\n"), context.data
            assert b"\n:" not in data, context.data
        case "a part":
            assert EVENTS[0] in data, context.data
            assert not data.endswith(b"0\r\n\r\n"), context.data
        case _:
            assert not data, context.data


@when("on a kept connection the caller leaves, by {version}")
def leaves(context, version):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(REQUEST.replace(b"HTTP/1.1", version.encode()))
            await fixture.handler.started.wait()
            if not fixture.handler.mode.startswith("answers"):
                # Unread bytes would make the close a reset.
                await stream.receive()
        left_at = anyio.current_time()
        await fixture.server.drain(3.0)
        (ended_at,) = fixture.handler.ended_at
        context.noticed_s = ended_at - left_at

    run_with_server(context, scenario)


@then("the handler was cancelled within {limit:f} s")
def check_noticed(context, limit):
    assert context.noticed_s <= limit, context.noticed_s


def gateway_request(kind: str) -> bytes:
    """Builds a request to a gateway: a deposit, or a chat of `N tokens`."""
    path, body, key = "/services/booking/deposits", b"{}", "k"
    if "tokens" in kind:
        path, key = "/v1/chat/completions", ""
        fields = chat_body(
            stream="stream" in kind, max_tokens=int(kind.split()[-2])
        )
        body = json.dumps(fields).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {key}\r\n"
        f"Authorization: {AUTHORIZATION['authorization']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@contextlib.asynccontextmanager
async def gateway_connection(context, kind: str):
    """Opens a connection to the gateway and sends a request."""
    host, port = context.harness.urls[0].removeprefix("http://").split(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(gateway_request(kind))
        yield stream


@when("a caller closes its sending side after the request for {kind}")
def half_closes_gateway(context, kind):
    async def scenario():
        async with gateway_connection(context, kind) as stream:
            await stream.send_eof()
            context.data = await receive_all(stream, SILENCE_S)

    context.portal.call(scenario)


@then("the gateway sends {sends}")
def check_gateway_sends(context, sends):
    begins, ends = b"HTTP/1.1 200", (b"}", b"0\r\n\r\n")
    if sends == "nothing":
        assert not context.data, context.data
    else:
        assert context.data.startswith(begins), context.data
        assert context.data.endswith(ends), context.data


@when("a caller closes its connection after the request for {kind}")
def leaves_gateway(context, kind):
    (runner,) = context.runners.values()

    async def scenario():
        async with gateway_connection(context, kind):
            while not runner.load("")["running"]:
                await anyio.lowlevel.checkpoint()
        context.left_at = time.monotonic()
        while runner.load("")["running"]:
            await anyio.lowlevel.checkpoint()
        context.ended_s = time.monotonic() - context.left_at

    context.portal.call(scenario)


@then("the chat ended within {limit:f} s")
def check_chat_ended(context, limit):
    assert context.ended_s <= limit, context.ended_s


@given(
    "a head limit of {before:d} bytes, changed after {at:f} s to {after:d}"
    " bytes"
)
def changed_head_limit(context, before, at, after):
    context.limits = CallerLimits(header_bytes=before)
    context.change = (at, CallerLimits(header_bytes=after))


@when(
    "on a kept connection the caller sends a head of {size:d} bytes in two"
    " parts"
)
def sends_long_head(context, size):
    long = REQUEST.replace(b"Host", b"X: " + b"x" * size + b"\r\nHost")

    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await change_limits(context, fixture)
            context.data = await exchange(
                stream, long[:size], long[size:], pause_s=0.05
            )

    run_with_server(context, scenario)


@when("on a kept connection the caller sends a second one before the stop")
def sends_second(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(REQUEST)
            context.data = await stream.receive()
            await stream.send(REQUEST)
            await anyio.sleep(0.05)
            fixture.server.stop_accepting()
            context.data += await receive_all(stream, SILENCE_S)

    run_with_server(context, scenario)


@given("a gateway with the settings of a router")
def gateway_with_settings(context):
    context.settings = types.SimpleNamespace(
        listen=Address("127.0.0.1", 0),
        max_streams=10,
        drain_s=0.1,
        memory_mb=None,
        max_descriptors=None,
    )


async def answer_asgi(scope, receive, send):
    """Answers as an application behind the gateway's server."""
    if scope["type"] == "lifespan":
        return await serving.handle_lifespan(receive, send)
    await serving.answer(send, 200, {})


@when("a caller sends a request on a connection that was idle for {idle:f} s")
def sends_after_idle(context, idle):
    async def run():
        server = HttpServer(context.settings, create_metrics(None, 0, "test"))
        async with anyio.create_task_group() as group:
            group.start_soon(server.run, answer_asgi)
            await anyio.sleep(0.1)
            async with await anyio.connect_tcp(
                "127.0.0.1", server.port
            ) as stream:
                await anyio.sleep(idle)
                context.data = await exchange(stream, REQUEST)
            # Only a signal ends the server without errors of its own.
            signal.raise_signal(signal.SIGTERM)

    anyio.run(run)
