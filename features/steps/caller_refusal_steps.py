"""Steps for refusals and victims of the HTTP/1.1 server."""

import contextlib
import json

import anyio
import attrs
from behave import given, then, when
from hypothesis import strategies

from features.steps.caller_byte_steps import run_examples
from knapweedarch.caller_bounds import CallerBounds
from knapweedarch.caller_guard import CallerGuard
from knapweedarch.caller_memory import SMALL_BYTES, STALL_S, CallerMemory
from knapweedarch.deployments import CallerLimits
from knapweedarch.exceptions import CallerEvictedError
from knapweedarch.http_inbound import InboundServer
from knapweedarch.http_messages import Answer
from knapweedarch.metrics import create_metrics
from knapweedarch.timers import Clock
from standins.polling import wait_until

SCENARIO_TIMEOUT_S = 30.0
# An answer of the server comes within this many seconds.
ANSWER_TIMEOUT_S = 5.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
ORDINARY = HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TOO_LONG = HEAD + b"Content-Length: 4194305\r\n"
SENT = {
    "a head that announces 4194305 bytes": TOO_LONG + b"\r\n",
    "the same with an expectation to continue": (
        TOO_LONG + b"Expect: 100-continue\r\n\r\n"
    ),
    "a chunk of 4194305 bytes without its bytes": CHUNKED + b"400001\r\n",
    "17000 bytes of a head": HEAD + b"X: " + b"x" * 17_000,
    "a head of 1100 lines": HEAD + b"a:b\r\n" * 1_100 + b"\r\n",
    "a chunk without a size": CHUNKED + b"\r\n",
    "half a body": HEAD + b"Content-Length: 4\r\n\r\nab",
}


@attrs.define
class Fixture:
    """A server with bounds of the scenario.

    Attributes:
        server: The server.
        port: Its port.
        handled: Number of requests that its handler got.
    """

    server: InboundServer
    port: int = 0
    handled: int = 0

    async def connect(self):
        """Opens a connection of a caller."""
        return await anyio.connect_tcp("127.0.0.1", self.port)


def run_with_server(context, scenario):
    """Runs an async function with a server that has the scenario's bounds."""
    words = context.mode.split()
    body = bytes(int(words[2])) if "with" in words else b"done"
    context.metrics = create_metrics(None, 0, "")
    bounds = CallerBounds(getattr(context, "memory_bytes", 64_000_000))
    limits = getattr(context, "caller_limits", CallerLimits())

    async def run():
        async def handle(req, responder):
            fixture.handled += 1
            await responder.send(Answer(status=200, body=body))

        server = InboundServer(
            handle,
            Clock(),
            lambda: limits,
            guard=CallerGuard(bounds, context.metrics),
            max_connections=getattr(context, "max_connections", None),
        )
        fixture = context.fixture = Fixture(server)
        with anyio.fail_after(SCENARIO_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                fixture.port = await group.start(server.serve, "127.0.0.1", 0)
                await scenario(fixture)
                group.cancel_scope.cancel()

    anyio.run(run)


async def receive_until_end(stream):
    """Returns what the server sends until it closes its side."""
    data = b""
    with (
        anyio.move_on_after(ANSWER_TIMEOUT_S),
        contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
    ):
        while True:
            data += await stream.receive()
    return data


@given("an idle limit of {seconds:f} s")
def idle_limit(context, seconds):
    context.caller_limits = CallerLimits(idle_s=seconds)


@given("callers may hold {size:d} bytes")
def memory_of_callers(context, size):
    context.memory_bytes = size


@given("at most {count:d} connections")
def most_connections(context, count):
    context.max_connections = count


@when("a caller sends {sends} and nothing more")
def sends_part(context, sends):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(SENT[sends])
            context.data = await receive_until_end(stream)

    run_with_server(context, scenario)


@then("the only answer has status {status:d}")
def check_only_answer(context, status):
    assert context.data.count(b"HTTP/1.1 ") == 1, context.data
    assert context.data.startswith(b"HTTP/1.1 %d " % status), context.data


@then("the handler had no request")
def check_not_handled(context):
    assert context.fixture.handled == 0, context.fixture.handled


@then('the counter "{name}" is {count:d}')
def check_counter(context, name, count):
    assert context.metrics.counts[name] == count, context.metrics.counts


@when(
    "a caller sends {first:d} bytes of a body and stops, and another {other:d}"
)
def two_bodies(context, first, other):
    async def scenario(fixture):
        async with (
            await fixture.connect() as stopped,
            await fixture.connect() as arriving,
        ):
            head = HEAD + b"Content-Length: %d\r\n\r\n"
            await stopped.send(head % (first + 1) + bytes(first))
            await anyio.sleep(STALL_S + 0.2)
            await arriving.send(head % other + bytes(other))
            context.data = await arriving.receive()
            context.first_data = await receive_until_end(stopped)

    run_with_server(context, scenario)


@then(
    "the first gets status {refused:d} with Retry-After, the other {status:d}"
)
def check_both(context, refused, status):
    assert context.data.startswith(b"HTTP/1.1 %d " % status), context.data
    first = context.first_data
    assert first.startswith(b"HTTP/1.1 %d " % refused), first
    assert b"retry-after: " in first, first


@when("a caller sends a request and reads nothing")
def reads_nothing(context):
    async def scenario(fixture):
        async with await fixture.connect() as stream:
            await stream.send(ORDINARY)
            await wait_until(
                lambda: fixture.handled and not len(fixture.server.connections)
            )

    run_with_server(context, scenario)


@then('its connection is ended with the cause "{cause}"')
def check_cause(context, cause):
    lines = map(json.loads, context.log_stream.getvalue().splitlines())
    causes = [
        line["fields"]["cause"]
        for line in lines
        if line["event_name"] == "request_dropped"
    ]
    assert causes == [cause], causes


@when("{count:d} callers connect and send nothing, and another sends a request")
def many_connect(context, count):
    async def scenario(fixture):
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(count):
                stream = await fixture.connect()
                await stack.enter_async_context(stream)
            stream = await stack.enter_async_context(await fixture.connect())
            await stream.send(ORDINARY)
            context.most_open = 0
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                while not fixture.handled:
                    open_now = len(fixture.server.connections)
                    context.most_open = max(context.most_open, open_now)
                    await anyio.sleep(0.01)
            context.data = await receive_until_end(stream)

    run_with_server(context, scenario)


@then("this one is answered with status {status:d}")
def check_answered(context, status):
    assert context.data.startswith(b"HTTP/1.1 %d " % status), context.data


@then("at most {count:d} connections were open")
def check_open(context, count):
    assert 0 < context.most_open <= count, context.most_open


ACCOUNT_BYTES = 1_000_000
CALLERS = ("a", "b", "c")
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("resize", "resize", "serve", "leave", "wait")),
        strategies.integers(0, 11),
        strategies.sampled_from(
            (1_000, SMALL_BYTES, SMALL_BYTES + 1, 300_000, 600_000, 600_000)
        ),
    ),
    min_size=15,
    max_size=60,
)


class AccountRun:
    """Entries of callers, and a check of each victim."""

    def __init__(self):
        self.now = 0.0
        self.memory = CallerMemory(ACCOUNT_BYTES, self._check_victim)
        self.entries = {}
        self.grown = None
        self.victims = 0

    def _check_victim(self, victim, held):
        assert held > ACCOUNT_BYTES, held
        self.victims += 1
        if victim is self.grown:
            return
        assert not victim.in_service
        others = [
            e
            for e, _ in self.entries.values()
            if e.size and not e.in_service and e is not self.grown
        ]
        if self.grown.size > SMALL_BYTES:
            assert victim.size > SMALL_BYTES, victim.size
            others = [e for e in others if e.size > SMALL_BYTES]
        if any(e.is_stalled(self.now) for e in others):
            assert victim.is_stalled(self.now)
        if victim.size <= SMALL_BYTES:
            assert victim.is_stalled(self.now)

    def act(self, action, key, size):
        """Does one action of a caller."""
        if action == "wait":
            self.now += STALL_S / 2
            return
        if key not in self.entries:
            stack = contextlib.ExitStack()
            caller = CALLERS[key % len(CALLERS)]
            hold = self.memory.hold(caller, self.now, lambda: None)
            self.entries[key] = (stack.enter_context(hold), stack)
        entry, stack = self.entries[key]
        match action:
            case "resize":
                self.grown = entry
                with contextlib.suppress(CallerEvictedError):
                    entry.resize(size, self.now)
            case "serve":
                entry.in_service = not entry.in_service
            case "leave":
                stack.close()
                del self.entries[key]

    def check(self):
        """Checks the sums."""
        held = sum(e.size for e, _ in self.entries.values())
        assert self.memory.held_bytes == held, (self.memory.held_bytes, held)
        assert held <= ACCOUNT_BYTES, held


@given("generated callers that grow, shrink, stop, are served and leave")
def generated_callers(context):
    context.victims = 0


@then("the account keeps its promises in {count:d} runs")
def check_account(context, count):
    def test(actions):
        run = AccountRun()
        for action in actions:
            run.act(*action)
            run.check()
        context.victims += run.victims
        for _, stack in run.entries.values():
            stack.close()
        assert not run.memory.held_bytes and not len(run.memory)

    run_examples(count, test, ACTIONS)
    assert context.victims > 1_000, context.victims
