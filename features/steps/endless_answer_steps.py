"""Steps for endpoints that send without end."""

import contextlib
import json
import random
import tracemalloc

import anyio
import anyio.abc
from behave import given, then, when

from adapter.documents import read_cache_changes
from adapter.runner_calls import MAX_EVENTS_BYTES, RunnerCalls
from features import request_harness
from features.proxy_harness import FAULTY, open_proxy, request
from features.raw_server import RawServer, raw_endpoint
from knapweedarch.answer_memory import (
    SMALL_ANSWER_BYTES,
    AnswerMemory,
)
from knapweedarch.exceptions import AnswerGivenUpError, ExchangeError
from knapweedarch.models import Endpoint, EndpointKind, RetryReason
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.timers import Clock
from knapweedarch.weights_rollout import LoadWeightsOrder

# Time in which the callers of faulty answers fill the memory.
HEAD_START_S = 0.5
GATEWAY_CALLERS = 2
MIB = 1024 * 1024


@contextlib.contextmanager
def traced_memory(context):
    """Notes by how many bytes the process's objects have grown at most."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        yield
        _, peak = tracemalloc.get_traced_memory()
        context.grown = peak - before
    finally:
        tracemalloc.stop()


async def call_faulty(port: int, data: bytes, reads: bool) -> None:
    """Sends a request and reads the answer, or leaves it unread."""
    with contextlib.suppress(
        anyio.EndOfStream, anyio.BrokenResourceError, OSError
    ):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        async with stream:
            await stream.send(data)
            while reads:
                await stream.receive()
            await anyio.sleep_forever()


async def call_beside_faulty(
    port: int, faulty: bytes, callers: int, reads: bool, call_sound
) -> list[int]:
    """Returns the statuses of sound requests beside faulty answers.

    Args:
        port: Port of the proxy or gateway.
        faulty: A request that meets a faulty answer.
        callers: Number of such callers at once.
        reads: Whether they read what they get.
        call_sound: Sends a sound request; returns its status.
    """
    async with anyio.create_task_group() as group:
        for _ in range(callers):
            group.start_soon(call_faulty, port, faulty, reads)
        await anyio.sleep(HEAD_START_S)
        found = [await call_sound() for _ in range(24)]
        await anyio.sleep(HEAD_START_S)
        group.cancel_scope.cancel()
    return found


@when(
    "{count:d} callers on {kind} routes meet that and {read}, beside {sound:d} "
    "sound ones"
)
def meet_in_proxy(context, count, kind, read, sound):
    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])

            async def call_sound() -> int:
                answer = await fixture.send(request("single"), idle_s=0.05)
                return answer.status

            faulty = request(kind, FAULTY)
            return await call_beside_faulty(
                *(fixture.port, faulty, count, read == "read", call_sound)
            )

    with traced_memory(context):
        context.statuses = anyio.run(run)


@then("each sound request was answered")
def check_sound(context):
    assert context.statuses == [200] * 24, context.statuses


@then("the process has held at most {bound:d} MiB more than before")
def check_memory(context, bound):
    assert context.grown <= bound * MIB, f"{context.grown / MIB:.0f} MiB"


@given("a gateway whose endpoint at times {sends}")
def create_faulty_gateway(context, sends):
    context.mode = f"at times {sends}"


@when("{count:d} callers of {what} meet that, beside {sound:d} sound ones")
def meet_in_gateway(context, count, what, sound):
    chat = {
        **request_harness.chat_body(max_tokens=1000),
        "stream": what == "a chat",
    }
    path, body = "/v1/chat/completions", json.dumps(chat)
    if what == "a service":
        path, body = "/services/booking/availability", "{}"
    faulty = json.dumps({**json.loads(body), "user": "faulty"})

    async def run():
        async with request_harness.open_harness() as harness:
            router = await harness.add_router()
            server = RawServer(context.mode)
            url = await harness.add_raw_server(server.handle)
            router.runners.append(raw_endpoint(url, EndpointKind.RUNNER))
            router.desks.append(raw_endpoint(url, EndpointKind.SERVICE))
            port = int(harness.urls[0].rpartition(":")[2])

            async def call_sound() -> int:
                reply = await harness.client.post(
                    harness.urls[0] + path,
                    content=body,
                    headers=request_harness.AUTHORIZATION,
                )
                return reply.status_code

            head = "".join(
                f"{name}: {value}\r\n"
                for name, value in request_harness.AUTHORIZATION.items()
            )
            data = (
                f"POST {path} HTTP/1.1\r\nHost: a\r\n{head}"
                f"Content-Length: {len(faulty)}\r\n\r\n{faulty}"
            ).encode()
            return await call_beside_faulty(
                *(port, data, GATEWAY_CALLERS * count, True, call_sound)
            )

    with traced_memory(context):
        context.statuses = request_harness.run(run)


class EndlessServer:
    """Answers each call with a body without end.

    Attributes:
        sent: Bytes sent.
    """

    def __init__(self):
        self.sent = 0

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, OSError
        ):
            async with stream:
                await stream.receive()
                await stream.send(head)
                while True:
                    await stream.send(b"4000\r\n" + b"[" * 16_384 + b"\r\n")
                    self.sent += 16_384


@given("a runner whose answers to calls have no end")
def create_endless(context):
    context.server = EndlessServer()


@when("{call} is sent to it")
def send_call(context, call):
    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        endpoint = Endpoint(
            *("i-1", "7", f"http://127.0.0.1:{port}", EndpointKind.RUNNER),
            ("guide",),
        )
        async with (
            OutboundPool(Clock()) as pool,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, context.server.handle)
            calls = RunnerCalls(pool)
            try:
                match call:
                    case "a request of its state":
                        await calls.report(endpoint)
                    case "a question who it is":
                        await calls.incarnation(endpoint)
                    case "an order":
                        await calls.load(
                            endpoint, LoadWeightsOrder("guide", 2, "a", 1, 0)
                        )
                    case "a poll of its events":
                        await calls.cache_changes(endpoint.address, 0, 0.2)
            except ExchangeError as exc:
                context.reason = exc.reason
            group.cancel_scope.cancel()

    context.reason = None
    anyio.run(run)


@then("the call fails and at most {count:d} bytes were sent")
def check_call(context, count):
    assert context.reason == RetryReason.ANSWER_TOO_LONG, context.reason
    assert context.server.sent <= count, context.server.sent


@when("the longest list of events that is read holds only {rows}")
def read_longest_list(context, rows):
    row = {
        "events": b'[1,"+","s1","5c1e07a2",800,"daka510000"]',
        "short events": b'[1,"+","",""]',
        "empty lists": b"[]",
        "empty objects": b"{}",
        "numbers": b"1.5",
    }[rows]
    head = b'{"bootEpoch":1,"nextToken":2,"lost":false,"changes":['
    count = (MAX_EVENTS_BYTES - len(head)) // (len(row) + 1)
    body = head + b",".join([row] * count) + b"]}"
    with traced_memory(context):
        changes = read_cache_changes(body)
    assert changes.malformed in (0, count), changes.malformed


class SharingAnswer:
    """An answer of a random length that shares a memory."""

    def __init__(self, memory: AnswerMemory, rng: random.Random):
        self.body = bytearray()
        self.is_given_up = False
        self.wanted = rng.choice((800, 8_000, 40_000, 10**9))
        self.stack = contextlib.ExitStack()
        self.held = self.stack.enter_context(memory.hold(self.body.clear))

    def read(self, size: int) -> None:
        """Reads a part; notes whether the answer is given up."""
        self.body += b"a" * size
        try:
            self.held.resize(len(self.body))
        except AnswerGivenUpError:
            self.body.clear()
            self.is_given_up = True


@when("answers share a memory in {count:d} random orders, seed {seed:d}")
def share_memory(context, count, seed):
    rng = random.Random(seed)
    context.wrong = []
    context.given_up = 0
    for _ in range(count):
        memory = AnswerMemory(200_000)
        answers = [SharingAnswer(memory, rng) for _ in range(12)]
        while answers:
            answer = rng.choice(answers)
            before = {a: len(a.body) for a in answers}
            answer.read(rng.randrange(1, 10_000))
            cleared = [a for a in answers if before[a] and not len(a.body)]
            for gone in cleared:
                others = [before[a] for a in answers if a is not gone]
                if before[gone] + 10_000 < max(others, default=0):
                    context.wrong.append((before[gone], max(others)))
                if before[gone] + 10_000 <= SMALL_ANSWER_BYTES:
                    context.wrong.append((before[gone], "small"))
            context.given_up += len(cleared)
            small = SMALL_ANSWER_BYTES * len(answers)
            held = sum(len(a.body) for a in answers)
            if held > 200_000 + small or held != memory.held_bytes:
                context.wrong.append((held, memory.held_bytes))
            if answer.is_given_up or len(answer.body) >= answer.wanted:
                answer.stack.close()
                answers.remove(answer)
        if memory.held_bytes:
            context.wrong.append(memory.held_bytes)


@then("no more than the memory is held, small answers aside")
def check_held(context):
    assert not context.wrong, context.wrong[:5]


@then(
    "whenever one is given up it is the longest that may be, and has freed its "
    "bytes"
)
def check_longest(context):
    assert context.given_up > 100, context.given_up


@given(
    "a memory of {size:d} bytes with an answer of {held:d} that is being sent"
)
def create_memory(context, size, held):
    context.memory = AnswerMemory(size)
    context.sending = context.memory.keep(held)
    context.sending.__enter__()


@when("another one of {size:d} bytes is read")
def read_another(context, size):
    context.size = size


def is_given_up(memory: AnswerMemory, size: int) -> bool:
    with memory.hold(lambda: None) as held:
        try:
            held.resize(size)
        except AnswerGivenUpError:
            return True
    return False


@then("that one is given up, and one of {size:d} bytes is not")
def check_other(context, size):
    assert is_given_up(context.memory, context.size)
    assert not is_given_up(context.memory, size)
