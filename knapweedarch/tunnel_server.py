"""Connects other routers, which lack their own paths, to endpoints."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from knapweedarch import links
from knapweedarch.exceptions import CredentialError, LinkError
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.task_groups import TaskOwner, spawn_contained
from knapweedarch.tunnel_messages import (
    TUNNELS,
    OpenTunnel,
    TunnelData,
    TunnelEnd,
    TunnelOpened,
    TunnelRefused,
)
from knapweedarch.unacknowledged import has_unacknowledged

MAX_TUNNELS = 1_024
READ_BYTES = 65_536
# A router that stops waits for tunnels on which bytes were sent so recently.
QUIET_S = 1.0
DRAIN_INTERVAL_S = 0.1
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Connect = Callable[[str], Awaitable[anyio.abc.ByteStream]]


@attrs.define(eq=False)
class _Tunnel:
    """A connection to an endpoint for another router.

    Attributes:
        stream: The connection.
        used_at: When bytes last passed, on the event loop's clock.
        unsent: Bytes for the endpoint.
    """

    stream: anyio.abc.ByteStream
    used_at: float = attrs.field(factory=anyio.current_time)
    unsent: list[bytes] = attrs.field(factory=list)
    wanted: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class TunnelServer(TaskOwner):
    """Serves the links of other routers.

    Use it as an asynchronous context manager.

    Args:
        credential: The shared credential.
        connect: Connects to an endpoint directly; raises OSError or
            TimeoutError.
        refusal: Returns why no tunnel to an address may be opened now; empty
            if it may.
        metrics: Metrics of the process.

    Attributes:
        port: Port that it listens on, once it is started.
    """

    def __init__(
        self,
        credential: bytes,
        connect: Connect,
        refusal: Callable[[str], str],
        metrics: Metrics,
    ):
        self.port = 0
        self._credential = credential
        self._connect = connect
        self._refusal = refusal
        self._metrics = metrics
        self._tunnels: dict[tuple[links.Link, int], _Tunnel] = {}
        # Tunnels whose connection to the endpoint is not open yet.
        self._opening: dict[tuple[links.Link, int], anyio.CancelScope] = {}
        self._draining = False

    async def serve(
        self, host: str, port: int, *, task_status=anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts links until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(self.port)
        await links.serve(
            *(listener, self._credential, TUNNELS, self._handle),
            *(self._on_refused, self._on_closed),
        )

    async def drain(self, limit_s: float) -> None:
        """Refuses new tunnels and waits until the others are quiet."""
        self._draining = True
        with anyio.move_on_after(limit_s):
            while True:
                if not self._are_busy():
                    return
                await anyio.sleep(DRAIN_INTERVAL_S)

    def _are_busy(self) -> bool:
        quiet_since = anyio.current_time() - QUIET_S
        return any(t.used_at > quiet_since for t in self._tunnels.values())

    def _on_refused(self, exc: CredentialError) -> None:
        self._metrics.count("credential.refused")
        log("link_refused", reason=str(exc))

    def _on_closed(self, link: links.Link) -> None:
        for key, tunnel in list(self._tunnels.items()):
            if key[0] is link:
                tunnel.scope.cancel()

    async def _handle(self, link: links.Link, message: object):
        match message:
            case OpenTunnel(number=number, address=address):
                return await self._open(link, number, address)
            case TunnelData(number=number, data=data):
                if tunnel := self._tunnels.get((link, number)):
                    tunnel.used_at = anyio.current_time()
                    tunnel.unsent.append(data)
                    tunnel.wanted.set()
            case TunnelEnd(number=number):
                self._end(link, number)
        return None

    def _end(self, link: links.Link, number: int) -> None:
        """Ends a tunnel that the other router has given up."""
        key = (link, number)
        if scope := self._opening.get(key):
            scope.cancel()
        if tunnel := self._tunnels.get(key):
            tunnel.scope.cancel()

    async def _open(
        self, link: links.Link, number: int, address: str
    ) -> TunnelOpened | TunnelRefused:
        key = (link, number)
        reason = self._refusal(address)
        if self._draining or self._count() >= MAX_TUNNELS:
            reason = "this router takes no more tunnels"
        elif key in self._opening or key in self._tunnels:
            reason = "the number is in use"
        if reason:
            return TunnelRefused(reason)
        try:
            stream = await self._connect_unless_ended(link, number, address)
        except (OSError, TimeoutError) as exc:
            return TunnelRefused(repr(exc))
        tunnel = self._tunnels[key] = _Tunnel(stream)
        self._metrics.count("tunnels.served")
        spawn_contained(self._group, self._run, link, number, tunnel)
        return TunnelOpened()

    def _count(self) -> int:
        return len(self._tunnels) + len(self._opening)

    async def _connect_unless_ended(
        self, link: links.Link, number: int, address: str
    ) -> anyio.abc.ByteStream:
        """Connects to an endpoint, unless the tunnel is given up meanwhile.

        Raises:
            OSError: The connection failed, or the tunnel was given up.
            TimeoutError: Connecting took too long.
        """
        with anyio.CancelScope() as scope:
            self._opening[link, number] = scope
            try:
                stream = await self._connect(address)
            finally:
                del self._opening[link, number]
            if not scope.cancel_called:
                return stream
            # The cancellation came too late to stop the connection attempt.
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
        raise ConnectionAbortedError("the tunnel was given up")

    async def _run(
        self, link: links.Link, number: int, tunnel: _Tunnel
    ) -> None:
        """Forwards bytes in both directions until an end is closed."""
        is_reset = True
        try:
            with tunnel.scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._send, tunnel)
                    is_reset = await self._receive(link, number, tunnel)
                    group.cancel_scope.cancel()
        finally:
            del self._tunnels[link, number]
            self._try_send(link, TunnelEnd(number, is_reset))
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(tunnel.stream)

    async def _send(self, tunnel: _Tunnel) -> None:
        """Sends what the other router sends to the endpoint."""
        try:
            while True:
                await tunnel.wanted.wait()
                tunnel.wanted = anyio.Event()
                while tunnel.unsent:
                    await tunnel.stream.send(tunnel.unsent.pop(0))
        except STREAM_ERRORS as exc:
            # An early answer of the endpoint is still read.
            log("tunnel_not_written", reason=repr(exc))

    async def _receive(
        self, link: links.Link, number: int, tunnel: _Tunnel
    ) -> bool:
        """Forwards the endpoint's bytes; returns whether it was reset."""
        try:
            while True:
                data = await tunnel.stream.receive(READ_BYTES)
                tunnel.used_at = anyio.current_time()
                if not self._try_send(link, TunnelData(number, data)):
                    return True
        except anyio.EndOfStream:
            # An answer without a length is not complete before its request.
            return bool(tunnel.unsent) or has_unacknowledged(tunnel.stream)
        except STREAM_ERRORS:
            return True

    def _try_send(self, link: links.Link, message: object) -> bool:
        if link.closed.is_set():
            return False
        try:
            link.send(message)
        except LinkError as exc:
            log("link_lost", peer=link.peer, reason=str(exc))
            return False
        return True
