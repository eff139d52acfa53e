"""A router's connections to endpoints: its own ones and those of others."""

import contextlib
from collections.abc import Callable, Sequence

import anyio
import anyio.abc

from knapweedarch.control import ControlClient
from knapweedarch.control_messages import FindPeers, MemberAddress
from knapweedarch.endpoint_connector import EndpointConnector
from knapweedarch.exceptions import ControlError
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.outbound_connections import connect_directly
from knapweedarch.settings import Address
from knapweedarch.timers import Clock, Timers
from knapweedarch.tunnel_client import TunnelClient
from knapweedarch.tunnel_server import TunnelServer

FIND_PEERS_TIMEOUT_S = 0.5


class RouterPaths:
    """Connects to endpoints, through other routers while the own links fail.

    Use it as an asynchronous context manager. It opens connections for other
    routers as well, once `serve` was called.

    Args:
        name: Name of this router.
        credential: The shared credential.
        control: Names routers that reach endpoints.
        clock: Clock of the process.
        metrics: Metrics of the process.
        addresses: Returns the addresses of the endpoints in use.
        on_cut: Called when the router's own links have failed.
    """

    def __init__(
        self,
        name: str,
        credential: bytes,
        control: ControlClient,
        clock: Clock,
        metrics: Metrics,
        addresses: Callable[[], Sequence[str]],
        on_cut: Callable[[], None],
    ):
        self._name = name
        self._control = control
        self._addresses = addresses
        self._client = TunnelClient(
            credential, self._find_peers, clock, metrics
        )
        self._connector = EndpointConnector(
            self._client, clock, metrics, addresses, on_cut
        )
        self._server = TunnelServer(
            credential, connect_directly, self._refusal, metrics
        )
        self._exits = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "RouterPaths":
        for owner in (self._client, self._server, self._connector):
            await self._exits.enter_async_context(owner)
        return self

    async def __aexit__(self, *exc_info) -> bool | None:
        return await self._exits.__aexit__(*exc_info)

    @property
    def is_cut(self) -> bool:
        """Whether the router's own links to endpoints have failed."""
        return self._connector.paths.is_cut

    def subscribe(self, timers: Timers) -> None:
        """Starts the periodic probes of a router whose links have failed."""
        self._connector.subscribe(timers)

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        """Connects to an endpoint.

        Raises:
            OSError: It was not reached.
            TimeoutError: Connecting took too long.
        """
        return await self._connector.connect(address)

    async def serve(
        self, listen: Address, group: anyio.abc.TaskGroup
    ) -> MemberAddress:
        """Starts to connect other routers to endpoints.

        Returns:
            The address at which they ask for it.
        """
        port = await group.start(self._server.serve, listen.host, listen.port)
        return MemberAddress(self._name, listen.host, port)

    async def drain(self, limit_s: float) -> None:
        """Refuses new tunnels and waits until the others are quiet."""
        await self._server.drain(limit_s)

    async def _find_peers(self) -> Sequence[MemberAddress]:
        """Returns some routers that reach endpoints."""
        try:
            reply = await self._control.request(
                FindPeers(self._name), FIND_PEERS_TIMEOUT_S
            )
        except ControlError as exc:
            log("peers_not_found", reason=str(exc))
            return ()
        return reply.peers

    def _refusal(self, address: str) -> str:
        """Returns why no tunnel to an address may be opened, or nothing."""
        if self.is_cut:
            return "this router reaches no endpoint"
        if address not in self._addresses():
            return "not the address of an endpoint in use"
        return ""
