"""Steps for connections to endpoints through other routers."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
from behave import given, then, when

from knapweedarch.control_messages import MemberAddress, Renew
from knapweedarch.endpoint_paths import EndpointPaths
from knapweedarch.leader import Leader
from knapweedarch.metrics import create_metrics
from knapweedarch.outbound_connections import connect_directly
from knapweedarch.timers import Clock
from knapweedarch.tunnel_client import TunnelClient
from knapweedarch.tunnel_messages import OpenTunnel, TunnelEnd, TunnelRefused
from knapweedarch.tunnel_server import TunnelServer

CREDENTIAL = b"credential"
LIMIT_S = 8.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class World:
    """An endpoint, a router between and a router that asks it."""

    def __init__(self, mode: str):
        self.mode = mode
        self.connections = 0
        self.lost = anyio.Event()
        self.sent = anyio.Event()
        self.refusal = ""

    async def serve_endpoint(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection as the scenario says."""
        self.connections += 1
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async with stream:
                if self.mode == "sends without end":
                    while True:
                        await stream.send(b"x" * 65_536)
                if self.mode.startswith("sends"):
                    await stream.send(b"x" * 1000)
                    await anyio.sleep(0.1)
                    self.sent.set()
                if self.mode.endswith("resets"):
                    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                elif not self.mode.endswith("closes"):
                    with contextlib.suppress(anyio.EndOfStream):
                        await stream.receive()
                    self.lost.set()
        self.lost.set()

    @contextlib.asynccontextmanager
    async def open(self, credential: bytes = CREDENTIAL):
        """Opens the servers; yields the client and the endpoint's address."""
        metrics = create_metrics(None, 0, "test")
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.server = TunnelServer(
            *(CREDENTIAL, connect_directly),
            *(lambda address: self.refusal, metrics),
        )

        async def find_peers():
            return (MemberAddress("between", "127.0.0.1", self.server.port),)

        client = TunnelClient(credential, find_peers, Clock(), metrics)
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, self.serve_endpoint)
                async with self.server, client:
                    self.between = anyio.CancelScope()
                    await group.start(self.serve_between)
                    yield client, f"127.0.0.1:{port}"
                    group.cancel_scope.cancel()

    async def serve_between(self, *, task_status) -> None:
        """Runs the router between, until its scope is cancelled."""
        with self.between:
            await self.server.serve("127.0.0.1", 0, task_status=task_status)


@given("an endpoint that {does}")
def given_endpoint(context, does):
    context.mode = does


@when("a router reads from it through another router")
def read_through(context):
    async def run():
        world = World(context.mode)
        context.data, context.end = b"", ""
        async with world.open() as (client, address):
            stream = await client.connect(address)
            async with anyio.create_task_group() as group:
                if context.mode.endswith("router between ends"):
                    group.start_soon(end_between, world)
                try:
                    while True:
                        context.data += await stream.receive()
                except anyio.EndOfStream:
                    context.end = "the end is clean"
                except anyio.BrokenResourceError:
                    context.end = "the end is broken"

    anyio.run(run)


async def end_between(world):
    await world.sent.wait()
    world.between.cancel()


@then("it has read {count:d} bytes and {end}")
def check_read(context, count, end):
    assert len(context.data) == count, len(context.data)
    assert context.end == end, context.end


@when("a router opens a tunnel to it and reads nothing for {seconds:g} s")
def read_nothing(context, seconds):
    async def run():
        world = World(context.mode)
        async with world.open() as (client, address):
            stream = await client.connect(address)
            await anyio.sleep(seconds)
            context.size = 0
            try:
                while True:
                    context.size += len(await stream.receive())
            except anyio.BrokenResourceError:
                context.end = "broken"

    anyio.run(run)


@then("the tunnel is broken, and holds at most {most:d} bytes")
def check_bounded(context, most):
    assert context.end == "broken"
    assert 0 < context.size <= most, context.size


@when("a router closes its tunnel to it")
def close_tunnel(context):
    async def run():
        world = World(context.mode)
        async with world.open() as (client, address):
            stream = await client.connect(address)
            await anyio.sleep(0.05)
            began_at = anyio.current_time()
            await stream.aclose()
            await world.lost.wait()
            context.took_s = anyio.current_time() - began_at

    anyio.run(run)


@then("the endpoint loses its connection within {limit:g} s")
def check_lost(context, limit):
    assert context.took_s <= limit, context.took_s


@when("a router asks for a tunnel {how}")
def ask_refused(context, how):
    async def run():
        world = World(context.mode)
        credential = CREDENTIAL
        if how == "with another credential":
            credential = b"another"
        elif how != "through one that stops":
            world.refusal = how
        async with world.open(credential) as (client, address):
            if how == "through one that stops":
                await world.server.drain(0.1)
            context.refused = False
            try:
                await client.connect(address)
            except ConnectionRefusedError:
                context.refused = True
        context.connections = world.connections

    anyio.run(run)


@then("it is refused and the endpoint has no connection")
def check_refused_tunnel(context):
    assert context.refused
    assert context.connections == 0


class OpeningLink:
    """The link of a router that asks for tunnels."""

    peer = "router-1"

    def __init__(self):
        self.closed = anyio.Event()

    def send(self, message: object) -> None:
        """Drops a message."""


@when(
    "a router is asked for a tunnel and the other one {does} before the"
    " connection is open"
)
def ask_while_opening(context, does):
    async def run():
        world = World(context.mode)
        async with world.open() as (_, address):
            may_connect = anyio.Event()

            async def connect_later(address):
                await may_connect.wait()
                stream = await connect_directly(address)
                if does == "gives it up at the last moment":
                    # The connection is open, and nobody has been told yet.
                    await server._handle(link, TunnelEnd(1, is_reset=True))
                return stream

            server, link = world.server, OpeningLink()
            server._connect = connect_later
            replies = []

            async def ask():
                request = OpenTunnel(1, address)
                replies.append(await server._handle(link, request))

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await anyio.sleep(0.02)
                if does == "gives it up":
                    await server._handle(link, TunnelEnd(1, is_reset=True))
                elif does == "asks again by the same number":
                    group.start_soon(ask)
                await anyio.sleep(0.02)
                may_connect.set()
            await anyio.sleep(0.05)
            context.refused = [
                reply for reply in replies if isinstance(reply, TunnelRefused)
            ]
            context.kept = world.connections - world.lost.is_set()

    anyio.run(run)


@then(
    "{refused:d} of the tunnels is refused, and the endpoint has {kept:d}"
    " connections"
)
def check_while_opening(context, refused, kept):
    assert len(context.refused) == refused, context.refused
    assert context.kept == kept, context.kept


@given("a router with {count:d} endpoints")
def given_paths(context, count):
    context.paths, context.count = EndpointPaths(), count


@when("connections to {failed:d} of them fail, {order}")
def connections_fail(context, failed, order):
    gap_s = 4.0 if order == "4 s apart" else 0.1
    for number in range(failed):
        context.paths.record_failure(f"10.0.0.{number}:80", number * gap_s)
        if order == "with a success in between" and number == 1:
            context.paths.record_success()


@then("its paths are {state}")
def check_paths(context, state):
    assert not context.paths.is_cut
    is_suspect = context.paths.is_suspect(context.count)
    assert is_suspect == (state == "suspect")


@when("{failures:d} connections to one of them fail, {gap:g} s apart")
def one_fails(context, failures, gap):
    for number in range(failures):
        context.now = number * gap
        context.paths.record_failure("10.0.0.1:80", context.now)


@then("other endpoints {tried}, and none counts as cut")
def check_tried(context, tried):
    assert not context.paths.is_suspect(context.count)
    needed = context.paths.needs_check(context.count, context.now)
    assert needed == (tried == "are tried")


@given("a leader of {routers:d} routers, of which {cut:d} lack paths")
def given_leader(context, routers, cut):
    leader = Leader("member-1", None, None, Clock(), lambda: None)
    leader._can_serve = lambda: True
    leader._routers = {
        number: Renew(
            *(f"router-{number}", "1", 0, 0, 0),
            tunnels=MemberAddress(f"router-{number}", "10.0.0.1", number),
            lacks_paths=number < cut,
        )
        for number in range(routers)
    }
    context.leader, context.cut = leader, cut


@when("one that lacks paths asks for others")
def ask_for_peers(context):
    context.peers = context.leader.find_peers("router-0").peers


@then("it is told of {count:d} routers, and none of them lacks paths")
def check_peers(context, count):
    assert len(context.peers) == count, context.peers
    assert all(peer.port >= context.cut for peer in context.peers)
