"""Steps for connections of callers, with a handler of the scenario."""

import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator

import anyio
import attrs
from behave import given, then, when

from features.proxy_harness import SCENARIO_TIMEOUT_S, receive_all
from knapweedarch.deployments import CallerLimits
from knapweedarch.http_inbound import InboundServer, Responder
from knapweedarch.http_messages import Answer, Request
from knapweedarch.timers import Clock

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
LAST_REQUEST = REQUEST.replace(b"Host", b"Connection: close\r\nHost")
SILENCE_S = 0.4


@attrs.define
class ScriptedHandler:
    """Handler that does what its mode says.

    Attributes:
        mode: What it does.
        started: Set once it has a request.
        may_answer: Set once it may answer, if it waits.
        ended_at: Times in seconds at which it ended without an answer.
    """

    mode: str
    started: anyio.Event = attrs.field(factory=anyio.Event)
    may_answer: anyio.Event = attrs.field(factory=anyio.Event)
    ended_at: list[float] = attrs.field(factory=list)

    async def handle(self, req: Request, responder: Responder) -> None:
        """Answers one request."""
        self.started.set()
        match self.mode:
            case "waits":
                await self._wait()
            case "fails before the answer":
                raise KeyError("x")
            case "gives up its answer":
                await responder.start(200, (), b"part")
                return responder.abort()
        await responder.send(Answer(status=200, body=b"done"))

    async def _wait(self) -> None:
        try:
            await self.may_answer.wait()
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
    with anyio.fail_after(SCENARIO_TIMEOUT_S):
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
            with anyio.move_on_after(SILENCE_S):
                context.data = await receive_all(stream, SILENCE_S)
        await anyio.sleep(0.05)

    run_with_server(context, scenario)


@then("the log has these lines of dropped requests: {lines}")
def check_dropped(context, lines):
    found = []
    for line in map(json.loads, context.log_stream.getvalue().splitlines()):
        if line["event_name"] in ("request_dropped", "request_incomplete"):
            cause = line["fields"].get("cause", "")
            found.append(f"{line['event_name']} {cause}".strip())
    assert found == ([] if lines == "none" else [lines]), found
