"""Connects a router to endpoints, directly or through other routers."""

import random
from collections.abc import Callable, Sequence

import anyio
import anyio.abc

from knapweedarch.endpoint_paths import EndpointPaths
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.outbound_connections import connect_directly
from knapweedarch.task_groups import TaskOwner, spawn_contained
from knapweedarch.timers import Clock, Timers
from knapweedarch.tunnel_client import TunnelClient

PROBE_INTERVAL_S = 1.0
# Further endpoints that must accept no connection either before the router's
# own links count as cut.
CHECKED_ENDPOINTS = 3


class EndpointConnector(TaskOwner):
    """Opens connections to endpoints.

    Use it as an asynchronous context manager.

    Args:
        tunnels: Connects through other routers.
        clock: Clock of the process.
        metrics: Metrics of the process.
        addresses: Returns the addresses of the endpoints in use.
        on_cut: Called when the router's own links have failed.

    Attributes:
        paths: Whether the router's own links have failed.
    """

    def __init__(
        self,
        tunnels: TunnelClient,
        clock: Clock,
        metrics: Metrics,
        addresses: Callable[[], Sequence[str]],
        on_cut: Callable[[], None],
    ):
        self.paths = EndpointPaths()
        self._tunnels = tunnels
        self._clock = clock
        self._metrics = metrics
        self._addresses = addresses
        self._on_cut = on_cut
        self._is_checking = False
        self._random = random.Random()

    def subscribe(self, timers: Timers) -> None:
        """Starts the periodic probes of a router whose links have failed."""
        timers.every(PROBE_INTERVAL_S, self._probe)

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        """Connects to an endpoint.

        Raises:
            OSError: It was not reached.
            TimeoutError: Connecting took too long.
        """
        if not self.paths.is_cut:
            try:
                return await self._connect_directly(address)
            except (OSError, TimeoutError):
                if not self.paths.is_cut:
                    raise
        return await self._tunnels.connect(address)

    async def _connect_directly(self, address: str) -> anyio.abc.ByteStream:
        try:
            stream = await connect_directly(address)
        except (OSError, TimeoutError):
            self.paths.record_failure(address, self._clock.now())
            self._check_if_suspect()
            raise
        if self.paths.record_success():
            log("paths_back", endpoint=address)
        return stream

    def _check_if_suspect(self) -> None:
        count, now = len(self._addresses()), self._clock.now()
        if not self._is_checking and self.paths.needs_check(count, now):
            self._is_checking = True
            spawn_contained(self._group, self._check)

    async def _check(self) -> None:
        """Decides whether the router's own links have failed."""
        others = [a for a in self._addresses() if not self.paths.has_failed(a)]
        chosen = self._random.sample(
            others, min(CHECKED_ENDPOINTS, len(others))
        )
        try:
            async with anyio.create_task_group() as group:
                for address in chosen:
                    spawn_contained(group, self._try, address)
        finally:
            self._is_checking = False
        if self.paths.is_suspect(len(self._addresses())):
            self.paths.is_cut = True
            self._metrics.count("paths.lost")
            log("paths_lost", endpoints=len(self._addresses()))
            self._on_cut()

    def _probe(self, now: float) -> None:
        addresses = self._addresses()
        if self.paths.is_cut and addresses:
            address = self._random.choice(addresses)
            spawn_contained(self._group, self._try, address)

    async def _try(self, address: str) -> None:
        """Connects directly, to learn whether that works."""
        try:
            stream = await self._connect_directly(address)
        except (OSError, TimeoutError) as exc:
            log("path_not_found", endpoint=address, reason=repr(exc))
            return
        await anyio.aclose_forcefully(stream)
