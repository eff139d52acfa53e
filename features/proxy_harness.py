"""A proxy gateway and scripted runners on loopback in one event loop."""

import contextlib
import random
import re
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc
import attrs

from adapter.headers import PlatformDialect
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.deployments import (
    Customer,
    Deployment,
    Repeatability,
    Route,
    Service,
    SplitShare,
)
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.endpoint_identity import EndpointIdentities
from knapweedarch.endpoint_rates import create_endpoint_limits
from knapweedarch.endpoint_statements import create_endpoint_waits
from knapweedarch.http_inbound import InboundServer
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind, RefusalReason
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_gateway import ProxyGateway
from knapweedarch.repeat_budget import RepeatLimits
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import Clock

HOST = "shop.example"
KEY = "key-1"
MODEL = "m"
# Timeout of one scenario, so that a hang fails instead of blocking the run.
SCENARIO_TIMEOUT_S = 15.0
# Age of the router; more than the window of its repeat budget, whose full
# allowance is then available.
ROUTER_AGE_S = 100.0

# More than half of the requests' time limit of 2 s, so that an attempt which
# must leave time for a retry would time out.
LATE_ANSWER_S = 1.2

# Incarnation of a runner that does not answer when it is asked for it.
SILENT = "silent"

BODY = b'{"seats":2}'
CHUNK = b"10000\r\n" + b"a" * 65_536 + b"\r\n"
# Header of the requests at which a runner is faulty that is so at times.
FAULTY = "X-Faulty: 1\r\n"
LONG_BODY = b"a" * (4 * 1024 * 1024)
WHOLE_EVENTS = b"id: 1\ndata: " + b"a" * 1000 + b"\n\n"
# What a runner does that is silent for some seconds and then goes on.
SILENCE = re.compile(
    r"is silent for ([\d.]+) s"
    r" (before its answer|before event 1|after event 2)"
)
# First line of the event that a broken stream ends with.
LINE = b"id: 3\n"
EVENTS = tuple(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))


@attrs.define
class ReceivedRequest:
    """A request as received by a scripted runner.

    Attributes:
        head: Request line and headers.
        body: Body bytes.
    """

    head: str
    body: bytes

    def header(self, name: str) -> str:
        """Returns the value of a header; empty if it is missing."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""


@attrs.define
class ScriptedRunner:
    """Answers requests according to its mode; see `_answer`.

    Attributes:
        mode: How it answers.
        id: Id of its instance.
        software: Version of its software, as the router knows it.
        born: Its incarnation; the router knows 1. None if it does not say.
        received: Requests that it has read.
        connections: Number of accepted connections.
        closed_connections: Number of connections that have ended.
        port: Port that it listens on.
        endless_bytes: Bytes sent by an answer without end.
        ran: Ids of the requests that it has run, in the modes that repeat a
            refusal.
        rng: Seeded generator of malformed answers.
        changed: Set when any of these has changed.
    """

    mode: str
    id: str
    software: str = ""
    born: str | None = "1"
    received: list[ReceivedRequest] = attrs.field(factory=list)
    connections: int = 0
    closed_connections: int = 0
    port: int = 0
    endless_bytes: int = 0
    ran: list[str] = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=lambda: random.Random(11))
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def address(self) -> str:
        """Address in the list of endpoints."""
        if self.mode.startswith("is at "):
            return self.mode.removeprefix("is at ")
        return f"127.0.0.1:{self.port}"

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        self.connections += 1
        refusals: list[bytes] = []
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            async with stream:
                while True:
                    received = await _read_request(stream)
                    self.received.append(received)
                    self.notify()
                    if self.mode.startswith("repeats a refusal"):
                        await self._answer_with_old_refusal(
                            stream, received, refusals
                        )
                    else:
                        await self._answer(stream, received)
        self.closed_connections += 1
        self.notify()

    def notify(self) -> None:
        """Wakes the tasks in `wait`."""
        self.changed.set()
        self.changed = anyio.Event()

    async def wait(self, probe: Callable[[], bool]) -> None:
        """Waits until `probe()` is true."""
        while not probe():
            await self.changed.wait()

    async def _answer_with_old_refusal(
        self, stream, received: ReceivedRequest, refusals: list[bytes]
    ) -> None:
        """Refuses the first request that it gets, and runs all others.

        On a connection that has refused a request, it writes the same refusal
        once more as it begins to run the next one.

        Args:
            stream: The connection.
            received: The request.
            refusals: Refusals that were written on this connection.
        """
        request_id = received.header("X-Knapweedarch-Request-Id")
        if len(self.received) == 1:
            not_run = "X-Knapweedarch-Not-Executed: 1\r\n"
            refusal = _response(request_id, b"", "503 Full", not_run)
            if self.mode.endswith("without an id"):
                refusal = refusal.replace(b"X-Knapweedarch-Request-Id", b"X-Id")
            refusals.append(refusal)
            await stream.send(refusal)
            return
        self.ran.append(request_id)
        await stream.send(b"".join(refusals))
        await anyio.sleep(0.05)
        if received.head.startswith("POST /stream/"):
            await _stream(stream, received, len(EVENTS))
        else:
            await stream.send(_response(request_id, BODY))

    async def _send_endlessly(
        self, stream, data: bytes, pause_s: float = 0.0
    ) -> None:
        """Sends the same bytes until the connection is closed."""
        while True:
            await stream.send(data)
            self.endless_bytes += len(data)
            await anyio.sleep(pause_s)

    async def _answer(self, stream, received: ReceivedRequest) -> None:
        request_id = received.header("X-Knapweedarch-Request-Id")
        if found := SILENCE.fullmatch(self.mode):
            silent_s, place = float(found[1]), found[2]
            if place == "before its answer":
                await anyio.sleep(silent_s)
                await _stream(stream, received, len(EVENTS))
            else:
                sent = 2 if place == "after event 2" else 0
                await _stream_with_pause(stream, received, sent, silent_s)
            return
        mode = self.mode
        if mode.startswith("at times "):
            is_faulty = FAULTY.strip() in received.head.title()
            mode = mode.removeprefix("at times ") if is_faulty else "answers"
        match mode:
            case "answers":
                await stream.send(_response(request_id, BODY))
            case "names a limit of 1 a second":
                limit = "Server-Limit: 1.0\r\n"
                await stream.send(_response(request_id, BODY, extra=limit))
            case "answers and says that it leaves":
                leaving = "Server-Leaving: 1\r\n"
                await stream.send(_response(request_id, BODY, extra=leaving))
            case "is full and asks for a wait of 1 s":
                wait = "X-Knapweedarch-Not-Executed: 1\r\nRetry-After: 1\r\n"
                await stream.send(_response(request_id, b"", "503 Full", wait))
            case (
                "names an idle limit of 400 digits"
                | "names an idle limit of 5000 digits"
            ):
                digits = "9" * int(self.mode.split()[-2])
                limit = f"Keep-Alive: timeout={digits}\r\n"
                await stream.send(_response(request_id, BODY, extra=limit))
            case "answers late":
                await anyio.sleep(LATE_ANSWER_S)
                await stream.send(_response(request_id, BODY))
            case "answers twice":
                stray = _response("earlier", b"stray")
                await stream.send(_response(request_id, BODY) + stray)
            case "answers another request first":
                await stream.send(_response("earlier", b"stray"))
                await stream.send(_response(request_id, BODY))
            case "answers without a length":
                head = "HTTP/1.1 200 OK\r\nX-Knapweedarch-Response-Stamp: s\r\n"
                await stream.send(f"{head}\r\n".encode() + BODY)
                await stream.aclose()
            case "breaks off":
                await stream.send(_response(request_id, BODY)[:-3])
                await stream.aclose()
            case "ends within its head":
                # One byte more with each request.
                head = _response(request_id, BODY)[: -len(BODY)]
                await stream.send(head[: len(self.received) % len(head)])
                await stream.aclose()
            case "sends garbage":
                await stream.send(b"\x00\xff not an answer\r\n\r\n")
                await stream.aclose()
            case "sends malformed answers":
                data, closes = malformed_answer(self.rng, request_id)
                await stream.send(data)
                if closes:
                    await stream.aclose()
            case "fails":
                await stream.send(_response(request_id, b"oops", "500 Error"))
            case "is full":
                extra_header = "X-Knapweedarch-Not-Executed: 1\r\n"
                await stream.send(
                    _response(request_id, b"", "503 Full", extra_header)
                )
            case "is another instance":
                extra_header = "X-Knapweedarch-Served-By: other\r\n"
                await stream.send(
                    _response(request_id, b"", "421 Other", extra_header)
                )
            case "sends an endless head":
                await stream.send(b"HTTP/1.1 200 OK\r\nX-Filler: ")
                await self._send_endlessly(stream, b"a" * 65_536)
            case "sends endless interim answers":
                interim = b"HTTP/1.1 100 Continue\r\n\r\n"
                await self._send_endlessly(stream, interim * 1_000)
            case "sends an endless body":
                await stream.send(_endless_head(request_id))
                await self._send_endlessly(stream, CHUNK)
            case "sends an endless body of a length":
                length = f"Content-Length: {10**18}"
                head = _endless_head(request_id).decode()
                head = head.replace("Transfer-Encoding: chunked", length)
                await stream.send(head.encode())
                await self._send_endlessly(stream, CHUNK)
            case "sends an endless refusal":
                head = _endless_head(request_id, "503 Full").decode()
                not_run = "\r\nX-Knapweedarch-Not-Executed: 1\r\n\r\n"
                head = head.replace("\r\n\r\n", not_run)
                await stream.send(head.encode())
                await self._send_endlessly(stream, CHUNK)
            case "sends an endless error":
                await stream.send(_endless_head(request_id, "500 Error"))
                await self._send_endlessly(stream, CHUNK)
            case "sends whole events without end":
                await stream.send(_endless_head(request_id))
                size = b"%x\r\n" % (60 * len(WHOLE_EVENTS))
                chunk = size + WHOLE_EVENTS * 60 + b"\r\n"
                await self._send_endlessly(stream, chunk)
            case "sends a long answer":
                await stream.send(_response(request_id, LONG_BODY))
            case "sends an endless answer to another request":
                await stream.send(_endless_head("earlier"))
                await self._send_endlessly(stream, CHUNK)
            case "sends an endless event":
                await stream.send(_endless_head(request_id))
                await self._send_endlessly(stream, CHUNK)
            case "sends bytes without events":
                await _stream(stream, received, 1, rest=b":")
                await self._send_endlessly(stream, b"1\r\n:\r\n", 0.02)
            case "is silent":
                await stream.receive()
            case "streams":
                await _stream(stream, received, len(EVENTS))
            case "pauses after event 1":
                await _stream(stream, received, 1, pause_s=0.3)
            case "streams without a length":
                await _stream_to_close(stream, received, len(EVENTS))
            case "ends within event 3 without a length":
                await _stream_to_close(stream, received, 2, b"id: 3\nda")
            case "ends within event 3 with an end of chunks":
                await _stream(stream, received, 2, b"id: 3\nda")
                await stream.send(b"0\r\n\r\n")
            case "ends within event 3 after a line that ends with CRLF":
                await _stream_to_close(stream, received, 2, LINE, b"\r\n")
            case "ends within event 3 after a line that ends with CR":
                await _stream_to_close(stream, received, 2, LINE, b"\r")
            case "ends within event 3 after a line that ends with LF":
                await _stream_to_close(stream, received, 2, LINE)
            case "streams with CRLF":
                await _stream_to_close(stream, received, 4, line_end=b"\r\n")
            case "ends before event 1 without a length":
                await _stream_to_close(stream, received, 0)
            case 'breaks off after the event id "2 "':
                await _stream(stream, received, 1, b"id: 2 \ndata: x\n\n")
                await stream.aclose()
            case "breaks off within event 3":
                await _stream(stream, received, 2, b"id: 3\ndata: pie")
                await stream.aclose()


def _endless_head(request_id: str, status: str = "200 OK") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nX-Knapweedarch-Request-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def malformed_answer(rng: random.Random, request_id: str) -> tuple[bytes, bool]:
    """Builds an answer that is complete or has an invalid head or framing.

    Returns:
        The bytes, and whether the connection is closed after them.
    """
    whole = _response(request_id, BODY)
    head = whole[: -len(BODY)]
    length = b"Content-Length: %d" % len(BODY)
    match rng.randrange(9):
        case 0:
            return whole, False
        case 1:
            return whole[: rng.randrange(1, len(whole))], True
        case 2:
            return whole + rng.randbytes(rng.randrange(1, 40)), False
        case 3:
            return whole + _response("earlier", b"stray"), False
        case 4:
            longer = length.replace(b"%d" % len(BODY), b"%d" % (len(BODY) + 5))
            return whole.replace(length, longer), True
        case 5:
            chunked = whole.replace(length, b"Transfer-Encoding: chunked")
            return chunked[: -len(BODY)] + b"zz\r\n" + BODY, True
        case 6:
            place = rng.randrange(len(head) - 4)
            return whole[:place] + b"\x00" + whole[place + 1 :], False
        case 7:
            return _response("earlier", b"stray") + whole, False
    return rng.randbytes(rng.randrange(1, 200)), True


async def _stream(
    stream,
    received: ReceivedRequest,
    until: int,
    rest: bytes = b"",
    pause_s: float = 0.0,
) -> None:
    first = int(received.header("Last-Event-Id") or 0)
    request_id = received.header("X-Knapweedarch-Request-Id")
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Knapweedarch-Request-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    await stream.send(head.encode())
    for event in (*EVENTS[first:until], rest):
        if event:
            await stream.send(b"%x\r\n%b\r\n" % (len(event), event))
    await anyio.sleep(pause_s)
    if not rest:
        await stream.send(b"0\r\n\r\n")


async def _stream_with_pause(
    stream, received: ReceivedRequest, until: int, pause_s: float
) -> None:
    """Sends a whole stream and pauses after its first `until` events."""
    request_id = received.header("X-Knapweedarch-Request-Id")
    body = b"".join(EVENTS)
    first = b"".join(EVENTS[:until])
    await stream.send(_response(request_id, body)[: -len(body)] + first)
    await anyio.sleep(pause_s)
    await stream.send(body[len(first) :])


async def _stream_to_close(
    stream,
    received: ReceivedRequest,
    until: int,
    rest: bytes = b"",
    line_end: bytes = b"\n",
) -> None:
    """Sends a stream that ends with its connection."""
    first = int(received.header("Last-Event-Id") or 0)
    request_id = received.header("X-Knapweedarch-Request-Id")
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Knapweedarch-Request-Id: {request_id}\r\n\r\n"
    )
    events = b"".join(EVENTS[first:until]) + rest
    await stream.send(head.encode() + events.replace(b"\n", line_end))
    await stream.aclose()


def _response(
    request_id: str, body: bytes, status: str = "200 OK", extra: str = ""
) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nX-Knapweedarch-Request-Id: {request_id}\r\n"
        f"X-Knapweedarch-Response-Stamp: stamp\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _read_request(stream) -> ReceivedRequest:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    received = ReceivedRequest(head.decode("latin1"), b"")
    while len(body) < int(received.header("Content-Length") or 0):
        body += await stream.receive()
    received.body = body
    return received


@attrs.define
class RawAnswer:
    """Bytes that a caller received until the connection was closed or idle.

    Attributes:
        data: The bytes; may hold several answers.
    """

    data: bytes

    @property
    def status(self) -> int:
        """Status code of the first answer; 0 if there is none."""
        line = self.data.split(b"\r\n", 1)[0].split(b" ")
        return int(line[1]) if len(line) > 1 else 0

    @property
    def head(self) -> str:
        """Head of the first answer."""
        return self.data.partition(b"\r\n\r\n")[0].decode("latin1")

    @property
    def body(self) -> bytes:
        """All bytes after the first head."""
        return self.data.partition(b"\r\n\r\n")[2]


def request(
    route_name: str = "once",
    extra: str = "",
    body: bytes = b"",
    request_id: str = "r1",
    limit_ms: int = 2000,
) -> bytes:
    """Builds a caller's request to the route named `route_name`."""
    head = (
        f"POST /{route_name}/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Knapweedarch-Request-Id: {request_id}\r\n"
        f"Authorization: Token {KEY}\r\n"
        f"X-Knapweedarch-Deadline-Ms: {limit_ms}\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _route(
    name: str, kind: Repeatability, timeout_s: float = 2.0, **options
) -> Route:
    return Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        repeatability=kind,
        timeout_s=timeout_s,
        goal_s=0.1,
        priority=0,
        split=(SplitShare("desk", 1.0),),
        **options,
    )


def deployment() -> Deployment:
    """Builds a configuration with one route of each kind."""
    return Deployment(
        version=1,
        routes=(
            _route("once", Repeatability.ONCE),
            _route("deposit", Repeatability.ONCE, attempts=2, resumable=True),
            _route("many", Repeatability.IDEMPOTENT, attempts=2),
            _route("single", Repeatability.IDEMPOTENT),
            _route("stream", Repeatability.STREAM),
            _route(
                "resume",
                Repeatability.STREAM,
                attempts=2,
                resumable=True,
                event_gap_s=0.1,
            ),
            _route(
                *("patient", Repeatability.STREAM, 6.0),
                attempts=2,
                resumable=True,
                event_gap_s=0.1,
            ),
        ),
        services=(Service("desk"),),
        customers=(Customer("huts", (KEY,)),),
    )


@attrs.define
class KnownOrigins:
    """Origins of streams in the memory of the test.

    Attributes:
        versions: Software versions by the id of the request.
        ever: All software versions ever, by the name of a service or model.
    """

    versions: dict[str, str] = attrs.field(factory=dict)
    ever: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def record(self, request_id: str, version: str, limit_s: float) -> None:
        """Records the version that wrote the first event of a stream."""
        self.versions[request_id] = version

    async def find(self, request_id: str, model: str) -> str | None:
        """Returns the version of a stream, or None if it is unknown."""
        ever = self.ever.get(model, ())
        only = ever[0] if len(ever) == 1 else None
        return self.versions.get(request_id, only)


class ProxyFixture:
    """A gateway with its runners and a caller that sends raw bytes."""

    def __init__(self, group: anyio.abc.TaskGroup, pool: OutboundPool):
        clock = Clock()
        self.group = group
        self.runners: list[ScriptedRunner] = []
        self.refusal: RefusalReason | None = None
        self.metrics = create_metrics(None, 0, "test")
        self.origins = KnownOrigins()
        self.known_age_s = 0.0
        self.asked: list[str] = []
        self.attempts = Attempts(
            clock=clock,
            metrics=self.metrics,
            dialect=PlatformDialect(),
            pool=pool,
            chooser=EndpointChooser(ChoiceConfig(), PartsIndex()),
            index=PartsIndex(),
            guard=create_crash_guard(1),
            endpoint_limits=create_endpoint_limits(1),
            endpoint_waits=create_endpoint_waits(1),
            origins=self.origins,
            identities=EndpointIdentities(
                *(self, clock, self.metrics),
                lambda: clock.now() - self.known_age_s,
            ),
            limits=RepeatLimits(1.0, 100.0, 10.0),
            start_refusal=lambda: self.refusal,
            started_at=clock.now() - ROUTER_AGE_S,
        )
        self.gateway = ProxyGateway(
            *(PlatformDialect(), self.attempts, clock, self.metrics),
            start_refusal=lambda: self.refusal,
        )
        self.gateway.started.set()
        self.gateway.set_deployment(deployment())
        self.server = InboundServer(
            self.gateway.handle, clock, lambda: self.gateway.limits
        )
        self.gateway.is_stopping = lambda: self.server.refusing
        self.port = 0

    async def add_runner(self, mode: str, software: str = "") -> ScriptedRunner:
        """Starts a runner and adds it as an endpoint of the only service."""
        runner = ScriptedRunner(mode, f"i-{len(self.runners)}", software)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        runner.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        if mode == "refuses connections":
            await listener.aclose()
        else:
            self.group.start_soon(listener.serve, runner.handle)
        self.runners.append(runner)
        self.attempts.set_endpoints(self.endpoints())
        return runner

    async def incarnation(self, endpoint: Endpoint) -> str | None:
        """Returns the incarnation of a runner, as the runner says."""
        self.asked.append(endpoint.id)
        born = next(r.born for r in self.runners if r.id == endpoint.id)
        if born == SILENT:
            await anyio.sleep_forever()
        return born

    def endpoints(self) -> list[Endpoint]:
        """Returns the endpoints of all runners."""
        return [
            Endpoint(
                *(r.id, "1", f"http://{r.address}"),
                *(EndpointKind.SERVICE, ("desk", MODEL)),
                # Of endpoints with equal costs the first is chosen. With
                # more slots its cost also grows less under load.
                slots=1000 if r is self.runners[0] else 1,
                data_centre="near" if r is self.runners[0] else "far",
                software_version=r.software,
            )
            for r in self.runners
        ]

    async def send(
        self, data: bytes, idle_s: float = 0.4, parts: int = 1
    ) -> RawAnswer:
        """Sends raw bytes and reads until the connection is closed or idle."""
        stream = await anyio.connect_tcp("127.0.0.1", self.port)
        async with stream:
            size = -(-len(data) // parts)
            for start in range(0, len(data), size):
                await stream.send(data[start : start + size])
                if parts > 1:
                    await anyio.sleep(0.002)
            return RawAnswer(await receive_all(stream, idle_s))


async def receive_all(stream, idle_s: float) -> bytes:
    """Reads until the peer closes or, after the first bytes, is silent.

    Args:
        stream: The connection.
        idle_s: Time without data, in seconds, after which the peer is silent.
    """
    found = b""
    limit_s = SCENARIO_TIMEOUT_S
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            with anyio.move_on_after(limit_s) as scope:
                found += await stream.receive()
            if scope.cancelled_caught:
                break
            limit_s = idle_s
    return found


@contextlib.asynccontextmanager
async def open_proxy() -> AsyncIterator[ProxyFixture]:
    """Opens a gateway on loopback for one scenario."""
    with anyio.fail_after(SCENARIO_TIMEOUT_S):
        async with (
            OutboundPool(Clock()) as pool,
            anyio.create_task_group() as group,
        ):
            fixture = ProxyFixture(group, pool)
            fixture.port = await group.start(
                fixture.server.serve, "127.0.0.1", 0
            )
            yield fixture
            group.cancel_scope.cancel()
