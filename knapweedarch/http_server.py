"""HTTP server of a router: listener, request limit and graceful shutdown."""

import hmac
import json
import logging
import signal
import socket
from collections.abc import Awaitable, Callable

import anyio
from hypercorn.asyncio.run import worker_serve
from hypercorn.config import Config, Sockets
from hypercorn.utils import wrap_app

from knapweedarch import gateway
from knapweedarch.caller_bounds import create_caller_bounds
from knapweedarch.caller_guard import CallerGuard
from knapweedarch.callers import RefusedError, create_call
from knapweedarch.gateway_connections import GatewayConnections
from knapweedarch.gateway_sockets import AcceptedSockets
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import RefusalReason
from knapweedarch.settings import RouterSettings
from knapweedarch.task_groups import spawn_contained
from knapweedarch.timers import Clock, ManualClock
from knapweedarch.unread_bodies import RequestChannel

COUNTERS_PATH = "/counters"
CHAT_PATHS = "/v1/chat/"
# Time for the load balancer to notice that this router is no longer ready.
READY_GRACE_S = 1.0
# Time that connections may stay open after the drain.
SHUTDOWN_TIMEOUT_S = 1.0
# Idle connections stay open longer than load balancers keep them, so that these
# close them: a request that crosses the server's own close gets no answer.
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 32 * 1024
BACKLOG = 1024
# Parts of a body that wait for the application, of up to 64 KiB each. More are
# of no use, as hypercorn and the application take turns.
MAX_WAITING_PARTS = 4
MIB = 1024 * 1024


class HttpServer:
    """Serves one application until SIGTERM or SIGINT.

    Its socket is bound on creation, which raises `OSError` if the address is in
    use.

    Attributes:
        port: Port that the server listens on.
        active: Number of active requests.
        draining: Whether a graceful shutdown is in progress.
        stopping: Whether new requests are refused.
        drain_others: Waits for other work at a graceful shutdown, for at most
            the given time in seconds.
        guard: Bounds what callers hold.
        connections: Open connections of callers.
    """

    def __init__(
        self,
        settings: RouterSettings,
        metrics: Metrics,
        clock: Clock | ManualClock | None = None,
    ):
        self.active = 0
        self.draining = False
        self.stopping = False
        self.drain_others: Callable[[float], Awaitable[None]] = _drain_nothing
        self._settings = settings
        self._metrics = metrics
        ram_mb = settings.memory_mb
        bounds = create_caller_bounds(
            None if ram_mb is None else ram_mb * MIB, settings.max_descriptors
        )
        self.guard = CallerGuard(bounds, metrics)
        self.connections = GatewayConnections(self.guard, clock or Clock())
        self._no_active_requests = anyio.Event()
        self._listener = self._listen()
        self.port = self._listener.getsockname()[1]

    def _listen(self) -> socket.socket:
        host, port = self._settings.listen.host, self._settings.listen.port
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        gateway.configure_listener(listener)
        listener.bind((host, port))
        listener.setblocking(False)
        return listener

    def _config(self) -> Config:
        cfg = Config()
        cfg.max_app_queue_size = MAX_WAITING_PARTS
        cfg.backlog = BACKLOG
        cfg.graceful_timeout = SHUTDOWN_TIMEOUT_S
        cfg.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        cfg.h11_max_incomplete_size = MAX_HEADER_BYTES
        cfg.accesslog = None
        cfg.errorlog = logging.getLogger("hypercorn.error")
        cfg.errorlog.setLevel(logging.WARNING)
        return cfg

    async def run(self, app) -> None:
        """Serves an ASGI application until the graceful shutdown ends."""
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._await_signal, stop)
            group.start_soon(self.connections.run)
            self._listener.listen(BACKLOG)
            accepted = AcceptedSockets(self._listener)
            group.start_soon(
                self.connections.accept_all, self._listener, accepted
            )
            cfg = self._config()
            # As `hypercorn.asyncio.serve` does, which takes no listener.
            await worker_serve(
                wrap_app(self._wrap_app(app), cfg.wsgi_max_body_size, "asgi"),
                cfg,
                sockets=Sockets([], [accepted], []),
                shutdown_trigger=stop.wait,
            )
            group.cancel_scope.cancel()

    def _wrap_app(self, app):
        """Wraps the application.

        Counts active requests for the drain, refuses requests above the limit
        and serves the counters.
        """

        async def wrapped_app(scope, receive, send) -> None:
            if scope["type"] != "http":
                return await app(scope, receive, send)
            channel = RequestChannel(receive, send, self._spawn)
            connection = self.connections.find(scope["client"])
            if connection is not None:
                connection.begin_request()
            try:
                await serve_request(scope, channel.receive, channel.send)
            finally:
                channel.release()
                if connection is not None:
                    connection.end_request()

        async def serve_request(scope, receive, send) -> None:
            if scope["path"] == COUNTERS_PATH:
                return await self._send_counters(scope, send)
            if self._is_full(scope["path"]):
                return await self._refuse_full(scope, receive, send)
            self.active += 1
            try:
                await app(scope, receive, send)
            finally:
                self.active -= 1
                if self.active == 0:
                    self._no_active_requests.set()

        return wrapped_app

    def _spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        spawn_contained(self._group, task)

    def _is_full(self, path: str) -> bool:
        """Returns whether a request exceeds the limit of active requests.

        Only chat requests are refused as not run. A resent service call may
        have run before, and leaving endpoints and the load balancer must
        always get a response.
        """
        at_limit = self.active >= self._settings.max_streams
        return at_limit and path.startswith(CHAT_PATHS)

    async def _refuse_full(self, scope, receive, send) -> None:
        """Refuses a request before any byte of its body is read."""
        self._metrics.count(f"refused.{RefusalReason.QUEUE_FULL.value}")
        await create_call(scope, receive, send).send_error(
            RefusedError(
                RefusalReason.QUEUE_FULL,
                "the limit of active requests is reached",
            )
        )

    async def _send_counters(self, scope, send) -> None:
        """Sends the counters if the request has the shared credential."""
        expected = f"Bearer {self._settings.credential}".encode()
        given = dict(scope["headers"]).get(b"authorization", b"")
        status, content = 200, dict(sorted(self._metrics.counts.items()))
        if not hmac.compare_digest(given, expected):
            self._metrics.count("credential.refused")
            status, content = 401, {}
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"application/json")],
            }
        )
        body = json.dumps(content).encode()
        await send({"type": "http.response.body", "body": body})

    async def _await_signal(self, stop: anyio.Event) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
            await self._drain()
            stop.set()

    async def _drain(self) -> None:
        """Reports not ready, then refuses new work, then awaits active work.

        Active requests are awaited for at most `drain_s` seconds.
        """
        log("drain_started", active=self.active)
        self.draining = True
        await anyio.sleep(READY_GRACE_S)
        self.stopping = True
        async with anyio.create_task_group() as group:
            group.start_soon(self.drain_others, self._settings.drain_s)
            group.start_soon(self._drain_requests)
        log("drain_ended", active=self.active)

    async def _drain_requests(self) -> None:
        with anyio.move_on_after(self._settings.drain_s):
            while self.active:
                self._no_active_requests = anyio.Event()
                await self._no_active_requests.wait()


async def _drain_nothing(limit_s: float) -> None:
    """Is used while there is no other work."""
