"""Steps for tasks that belong to one request or one connection."""

import contextlib
import io
import json
import logging

import anyio
import anyio.abc
from behave import given, then, when

from knapweedarch import control, links, logs
from knapweedarch.background import BackgroundTasks
from knapweedarch.endpoint_connector import EndpointConnector
from knapweedarch.exceptions import ExchangeError, LinkError
from knapweedarch.http_messages import Request
from knapweedarch.http_server import HttpServer
from knapweedarch.leases import Lease
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind, ModelRule, Rules
from knapweedarch.order_sender import OrderSender
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.settings import Address, RouterSettings
from knapweedarch.timers import Clock
from knapweedarch.tunnel_messages import OpenTunnel, TunnelEnd
from knapweedarch.tunnel_server import TunnelServer
from knapweedarch.tunnel_stream import TunnelStream

STEP_TIMEOUT_S = 5.0
SETTLE_S = 0.05
# Time between the end of an exchange and its close.
PAUSES_S = {"at once": 0.0, "later": SETTLE_S}
SECRET = b"secret"
LONG_BODY = b"x" * 20_000
ANSWER = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"
REQUEST = Request(
    method="POST",
    target="/",
    headers=((b"host", b"h"), (b"content-length", b"20000")),
    body=LONG_BODY,
)


class Connection:
    """A connection to an endpoint that answers once the body has arrived."""

    def __init__(self, state: str):
        self.written = bytearray()
        self._state = state
        self.stream = TunnelStream(self._receive, lambda: None)
        if state == "was reset as it opened":
            self.stream.end(is_reset=True)
        elif state == "has bytes that are no answer":
            self.stream.add_data(b"SSH-2.0-x\r\n\r\n")

    def _receive(self, data: bytes) -> None:
        if self._state == "raises an unexpected error":
            raise KeyError("unexpected")
        self.written += data
        if self.written.endswith(LONG_BODY):
            self.stream.add_data(ANSWER)


def record_log(context) -> None:
    """Records the log of the scenario."""
    logger = logging.getLogger("knapweedarch")
    context.add_cleanup(setattr, logger, "handlers", list(logger.handlers))
    context.log_stream = io.StringIO()
    logs.setup_logging("info", context.log_stream)


@given("a pool whose first connection to an endpoint {state}")
def given_pool(context, state):
    context.first, context.second = Connection(state), Connection("is sound")


async def send_first(context, pool: OutboundPool, pause_s: float) -> None:
    """Sends the request on the first connection and closes the exchange."""
    began_at = anyio.current_time()
    exchange = pool.exchange("e:1", REQUEST, lambda headers: True)
    await exchange.open(lambda: None)
    try:
        await exchange.send_request()
    except ExchangeError as exc:
        context.failure = exc
    context.took_s = anyio.current_time() - began_at
    if pause_s:
        await anyio.sleep(pause_s)
    await exchange.close(None)


async def send_next(context, pool: OutboundPool) -> None:
    """Sends the request on the second connection."""
    exchange = pool.exchange("e:1", REQUEST, lambda headers: True)
    await exchange.open(lambda: None)
    context.next_status = (await exchange.send_request()).status
    await exchange.close(None)


@when("a request with a long body is sent, and closed {moment}")
def send_long_body(context, moment):
    record_log(context)
    context.failure = context.group_error = context.next_status = None
    streams = iter((context.first.stream, context.second.stream))

    async def connect(address):
        return next(streams)

    async def run():
        pool = OutboundPool(Clock())
        pool.connect = connect
        async with pool:
            await send_first(context, pool, PAUSES_S[moment])
            await anyio.sleep(SETTLE_S)
            await send_next(context, pool)

    with contextlib.suppress(TimeoutError):
        anyio.run(run_within_limit, context, run)


async def run_within_limit(context, run) -> None:
    """Runs a function; keeps the error that ends its task groups."""
    with anyio.fail_after(STEP_TIMEOUT_S):
        try:
            await run()
        except BaseExceptionGroup as exc:
            context.group_error = exc


@then("it has failed as one of which nothing was written, and nothing was")
def check_not_written(context):
    assert context.failure is not None and not context.failure.written
    assert not context.first.written, bytes(context.first.written[:80])


@then("it has failed within {limit:g} s as one that may have run")
def check_may_have_run(context, limit):
    assert context.failure is not None and context.failure.written
    assert context.took_s <= limit, context.took_s


@then("the pool sends the next request")
def check_next_request(context):
    assert context.group_error is None, context.group_error
    assert context.next_status == 200, context.next_status


@then("the log names the error of a task")
def check_task_logged(context):
    lines = map(json.loads, context.log_stream.getvalue().splitlines())
    found = [line for line in lines if line["event_name"] == "task_failed"]
    assert found and "unexpected" in found[0]["fields"]["reason"], found


class FailingStream:
    """A stream to an endpoint that raises an unexpected error."""

    async def receive(self, max_bytes: int) -> bytes:
        """Fails."""
        raise KeyError("unexpected")

    async def aclose(self) -> None:
        """Closes nothing."""


class TunnelLink:
    """The link of a router that has asked for a tunnel."""

    peer = "router-1"

    def __init__(self):
        self.closed = anyio.Event()
        self.sent = []

    def send(self, message: object) -> None:
        """Keeps a message."""
        self.sent.append(message)


async def fail_in_tunnel() -> None:
    async def connect(address):
        return FailingStream()

    metrics = create_metrics(None, 0, "test")
    link = TunnelLink()
    server = TunnelServer(SECRET, connect, lambda address: "", metrics)
    async with server:
        await server._handle(link, OpenTunnel(1, "10.0.0.1:80"))
        await anyio.sleep(SETTLE_S)
        assert link.sent == [TunnelEnd(1, is_reset=True)], link.sent


async def fail_in_accept() -> None:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def handle(link, message):
        return control.Description("server", "00", True)

    def refuse(exc):
        raise KeyError("unexpected")

    async def connect(secret):
        return await links.connect(
            *("127.0.0.1", port, secret, control.CONTROL, handle)
        )

    async with anyio.create_task_group() as group:
        group.start_soon(
            *(links.serve, listener, SECRET, control.CONTROL, handle, refuse)
        )
        with contextlib.suppress(LinkError):
            await connect(b"another")
        await anyio.sleep(SETTLE_S)
        link = await connect(SECRET)
        group.start_soon(link.run)
        await link.call(control.Describe(), 1.0)
        group.cancel_scope.cancel()


async def fail_in_unread_body() -> None:
    settings = RouterSettings(
        name="r",
        data_centre="z",
        credential="c",
        endpoint_credential="e",
        members=(),
        listen=Address("127.0.0.1", 0),
    )
    server = HttpServer(settings, create_metrics(None, 0, "test"))

    async def receive():
        raise KeyError("unexpected")

    async def send(message):
        """Takes the answer."""

    async def app(scope, receive, send):
        await send({"type": "http.response.body", "body": b""})

    async with anyio.create_task_group() as group:
        server._group = group
        scope = {"type": "http", "client": ("127.0.0.1", 1), "path": "/"}
        await server._wrap_app(app)(scope, receive, send)
        await anyio.sleep(SETTLE_S)


async def fail_in_background() -> None:
    tasks = BackgroundTasks()
    messages = iter(("lifespan.startup", "lifespan.shutdown"))
    started = anyio.Event()

    async def receive():
        message = {"type": next(messages)}
        if message["type"] == "lifespan.shutdown":
            await tasks.start(fail)
            started.set()
        return message

    async def fail():
        raise KeyError("unexpected")

    async def send(message):
        """Takes the answer."""

    await tasks.lifespan(receive, send)


async def fail_at_paths() -> None:
    connector = EndpointConnector(
        *(None, Clock(), create_metrics(None, 0, "test")),
        *(lambda: ["10.0.0.1:80"], lambda: None),
    )

    async def connect(address):
        raise KeyError("unexpected")

    connector._connect_directly = connect
    connector.paths.is_cut = True
    async with connector:
        connector._probe(0.0)
        await anyio.sleep(SETTLE_S)


TASKS = {
    "a tunnel for another router": fail_in_tunnel,
    "the accept of a link": fail_in_accept,
    "the read of what an upload has left": fail_in_unread_body,
    "a background task that nobody awaits": fail_in_background,
    "the look at a router's own paths": fail_at_paths,
}


@when("{task} raises an unexpected error")
def fail_in_task(context, task):
    record_log(context)
    context.group_error = None
    anyio.run(run_within_limit, context, TASKS[task])


@then("the process still runs")
def check_process_runs(context):
    assert context.group_error is None, context.group_error


class UnwritableStream:
    """A connection whose writes raise an unexpected error."""

    async def send(self, data: bytes) -> None:
        """Fails."""
        raise KeyError("unexpected")

    async def receive(self, max_bytes: int) -> bytes:
        """Waits for ever."""
        await anyio.sleep_forever()

    async def aclose(self) -> None:
        """Closes nothing."""


@given("a link whose connection raises an unexpected error for each write")
def given_unwritable_link(context):
    context.stream = UnwritableStream()


@when("it runs and sends a message")
def run_unwritable_link(context):
    record_log(context)
    context.group_error = None

    async def run():
        link = links.Link(context.stream, control.CONTROL, None)
        link.send(control.Describe())
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await link.closed.wait()
            await anyio.sleep(SETTLE_S)
        context.has_closed = link.closed.is_set()

    anyio.run(run_within_limit, context, run)


@then("it has closed, and what runs it goes on")
def check_link_closed(context):
    assert context.group_error is None, context.group_error
    assert context.has_closed
    lines = map(json.loads, context.log_stream.getvalue().splitlines())
    assert "link_handler_failed" in [line["event_name"] for line in lines]


class HalfFailingAdapter:
    """Takes orders; raises an unexpected error for one runner."""

    def __init__(self):
        self.ordered = []

    async def order(self, endpoint, order, fencing_number) -> None:
        """Takes an order, or fails."""
        if endpoint.id == "r0":
            raise KeyError("unexpected")
        await anyio.sleep(SETTLE_S)
        self.ordered.append(endpoint.id)


class HeldEntitlement:
    """An entitlement that the router holds."""

    fencing_number = 1

    def is_held(self, lease, now) -> bool:
        """Returns that it is held."""
        return True

    def may_order(self, endpoint, lease, now) -> bool:
        """Returns that orders may be sent."""
        return True


@given("orders to two runners, of which the first raises an unexpected error")
def given_orders(context):
    context.runners = [
        Endpoint(
            *(f"r{number}", "1", f"http://10.0.0.{number}:80"),
            *(EndpointKind.RUNNER, ("guide",), "w1"),
        )
        for number in range(6)
    ]
    context.rules = Rules(models=(ModelRule("guide", "w2"),))


@when("a router sends them")
def send_orders(context):
    record_log(context)
    context.group_error = None
    context.adapter = HalfFailingAdapter()
    context.orders = OrderSender(
        *("1", Lease(), None, context.adapter),
        *(Clock(), create_metrics(None, 0, "test")),
    )
    context.orders._entitlement = HeldEntitlement()

    async def run():
        await context.orders.send_due_orders(context.rules, context.runners)

    anyio.run(run_within_limit, context, run)


@then("the router still runs, and the second order was sent")
def check_second_order(context):
    assert context.group_error is None, context.group_error
    assert context.adapter.ordered == ["r1"], context.adapter.ordered


@then("the first one is tried again later")
def check_order_tried_again(context):
    rollout, now = context.orders._rollout, Clock().now()
    runners = context.runners[:1]
    assert not rollout.next_orders(context.rules, runners, now)
    later = rollout.next_orders(context.rules, runners, now + 60.0)
    assert [order.endpoint.id for order in later] == ["r0"]


@given("an endpoint whose host has a label of {count:d} letters outside ASCII")
def given_odd_address(context, count):
    context.address = "\N{LATIN SMALL LETTER E WITH ACUTE}" * count + ":80"


@when("a router that has lost its paths tries it")
def try_odd_address(context):
    record_log(context)
    context.group_error = None

    async def run():
        connector = EndpointConnector(
            *(None, Clock(), create_metrics(None, 0, "test")),
            *(lambda: [context.address], lambda: None),
        )
        connector.paths.is_cut = True
        async with connector:
            connector._probe(0.0)
            await anyio.sleep(SETTLE_S)

    anyio.run(run_within_limit, context, run)


@then("the router still runs and takes it for one that is not there")
def check_odd_address(context):
    assert context.group_error is None, context.group_error
    lines = map(json.loads, context.log_stream.getvalue().splitlines())
    assert "path_not_found" in [line["event_name"] for line in lines]
