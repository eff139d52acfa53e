"""Opens connections to endpoints through other routers."""

import itertools
import random
from collections.abc import Awaitable, Callable, Sequence

import anyio
import attrs

from knapweedarch import links
from knapweedarch.control_messages import MemberAddress
from knapweedarch.exceptions import CodecError, CredentialError, LinkError
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.task_groups import TaskOwner
from knapweedarch.timers import Clock
from knapweedarch.tunnel_messages import (
    TUNNELS,
    OpenTunnel,
    TunnelData,
    TunnelEnd,
    TunnelOpened,
    TunnelRefused,
)
from knapweedarch.tunnel_stream import TunnelStream

# The other router connects to the endpoint within this time.
OPEN_TIMEOUT_S = 0.5
# Routers that are asked, one after the other, for one connection.
MAX_PEERS_TRIED = 2
# A list of routers is used for this long.
PEERS_MAX_AGE_S = 1.0

FindPeers = Callable[[], Awaitable[Sequence[MemberAddress]]]


@attrs.define(eq=False)
class _Peer:
    """A link to another router and the tunnels on it."""

    link: links.Link
    tunnels: dict[int, TunnelStream] = attrs.field(factory=dict)


class TunnelClient(TaskOwner):
    """Links to other routers, opened when they are needed.

    Use it as an asynchronous context manager.

    Args:
        credential: The shared credential.
        find_peers: Returns routers that reach endpoints.
        clock: Clock of the process.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        credential: bytes,
        find_peers: FindPeers,
        clock: Clock,
        metrics: Metrics,
    ):
        self._credential = credential
        self._find_peers = find_peers
        self._clock = clock
        self._metrics = metrics
        self._peers: dict[tuple[str, int], _Peer] = {}
        self._known: Sequence[MemberAddress] = ()
        self._known_until = 0.0
        self._connecting = anyio.Lock()
        self._numbers = itertools.count(1)
        self._random = random.Random()

    async def connect(self, address: str) -> TunnelStream:
        """Opens a connection to an endpoint through another router.

        Raises:
            ConnectionRefusedError: No router has one; nothing was written.
        """
        reason = "no router that reaches endpoints is known"
        for router in await self._candidates():
            peer = await self._peer(router)
            if peer is None:
                continue
            stream = await self._open(peer, address)
            if isinstance(stream, TunnelStream):
                self._metrics.count("tunnels.opened")
                return stream
            reason = stream
        self._metrics.count("tunnels.refused")
        raise ConnectionRefusedError(reason)

    async def _candidates(self) -> list[MemberAddress]:
        """Returns the routers to ask, in random order."""
        if self._clock.now() >= self._known_until:
            self._known = await self._find_peers()
            self._known_until = self._clock.now() + PEERS_MAX_AGE_S
        routers = self._random.sample(self._known, len(self._known))
        return routers[:MAX_PEERS_TRIED]

    async def _peer(self, router: MemberAddress) -> _Peer | None:
        key = (router.host, router.port)
        async with self._connecting:
            peer = self._peers.get(key)
            if peer is not None and not peer.link.closed.is_set():
                return peer
            try:
                link = await links.connect(
                    *(router.host, router.port, self._credential),
                    *(TUNNELS, self._handle),
                )
            except (LinkError, CodecError, CredentialError) as exc:
                log("tunnel_not_opened", peer=router.name, reason=str(exc))
                self._known_until = 0.0
                return None
            peer = self._peers[key] = _Peer(link)
            self._group.start_soon(self._run, key, peer)
        return peer

    async def _run(self, key: tuple[str, int], peer: _Peer) -> None:
        """Runs a link; its tunnels break with it."""
        try:
            await peer.link.run()
        finally:
            if self._peers.get(key) is peer:
                del self._peers[key]
            for stream in list(peer.tunnels.values()):
                stream.end(is_reset=True)

    async def _open(self, peer: _Peer, address: str) -> TunnelStream | str:
        """Opens a tunnel; returns the reason if it was refused."""
        number = next(self._numbers)

        def send(data: bytes) -> None:
            try:
                peer.link.send(TunnelData(number, bytes(data)))
            except LinkError as exc:
                raise anyio.BrokenResourceError from exc

        def close() -> None:
            if peer.tunnels.pop(number, None) and not peer.link.closed.is_set():
                try:
                    peer.link.send(TunnelEnd(number, is_reset=True))
                except LinkError as exc:
                    log("link_lost", peer=peer.link.peer, reason=str(exc))

        # Registered first: bytes may arrive before this task goes on.
        stream = peer.tunnels[number] = TunnelStream(send, close)
        reply: object = TunnelRefused("cancelled")
        try:
            reply = await peer.link.call(
                OpenTunnel(number, address), OPEN_TIMEOUT_S
            )
        except (LinkError, CodecError) as exc:
            reply = TunnelRefused(str(exc))
        finally:
            if not isinstance(reply, TunnelOpened):
                await stream.aclose()
        return stream if isinstance(reply, TunnelOpened) else reply.reason

    async def _handle(self, link: links.Link, message: object) -> None:
        peer = next((p for p in self._peers.values() if p.link is link), None)
        if peer is None:
            return
        match message:
            case TunnelData(number=number, data=data):
                if stream := peer.tunnels.get(number):
                    stream.add_data(data)
            case TunnelEnd(number=number, is_reset=is_reset):
                if stream := peer.tunnels.get(number):
                    stream.end(is_reset=is_reset)
