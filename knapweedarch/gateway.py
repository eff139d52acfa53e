"""ASGI application for callers and endpoints, served by hypercorn."""

import hmac
import itertools
import json
import socket
from collections.abc import Sequence
from typing import Protocol

import anyio
import cattrs

from knapweedarch.adapters import Adapter
from knapweedarch.background import BackgroundTasks
from knapweedarch.caller_ends import CallerRefusal, DropCause
from knapweedarch.caller_guard import CallerGuard
from knapweedarch.caller_memory import CallerMemory, HeldBytes
from knapweedarch.callers import (
    CallerGoneError,
    HttpCall,
    Message,
    Receive,
    RefusedError,
    Send,
    SlowCallerError,
    create_call,
)
from knapweedarch.chats import ChatHandler
from knapweedarch.crash_guard import CrashGuard
from knapweedarch.exceptions import CallerEvictedError, ControlError
from knapweedarch.gateway_connections import (
    GatewayConnection,
    GatewayConnections,
)
from knapweedarch.models import (
    MAX_SERVED_NAMES,
    Attempt,
    AttemptResult,
    CustomerRule,
    Dispatch,
    Endpoint,
    Outcome,
    RefusalReason,
    Refuse,
    Rules,
    Ticket,
)
from knapweedarch.services import ServiceHandler
from knapweedarch.settings_reader import is_text
from knapweedarch.state import TableFull
from knapweedarch.timers import Clock, ManualClock

MAX_ANNOUNCEMENT_BYTES = 64 * 1024
MAX_NAME_CHARS = 128
# The kernel resets a connection whose peer acknowledges no data for this long.
# Without it, hypercorn waits indefinitely for such a peer when it closes.
TCP_USER_TIMEOUT_MS = 15_000
# Kernel send buffer, which holds data that a slow caller has not read; the
# kernel doubles the value. 64 KiB per millisecond of round-trip time is far
# more than a stream needs.
SEND_BUFFER_BYTES = 64 * 1024


class SchedulerPort(Protocol):
    """Scheduler interface that the gateway uses; see the design page, 5.1.

    `now` is the time of the router's clock in seconds.
    """

    def version_for(self, model: str) -> str:
        """Returns the weights version that a prompt is hashed for."""

    def report_load(self, report: object, now: float) -> None:
        """Records a load report."""

    def first_token(self, attempt: Attempt, now: float) -> None:
        """Records that an attempt returned its first token."""

    def finished(
        self, attempt: Attempt, outcome: AttemptResult, now: float
    ) -> None:
        """Records the result of an attempt."""


class RouterPort(Protocol):
    """Router interface that the gateway uses.

    Attributes:
        clock: Clock of the router, in seconds; also the time base of the
            scheduler and of request deadlines.
        rules: Rules in force.
        scheduler: Decides on the placement of requests.
        adapter: Sends requests to endpoints.
        guard: Tells which requests crash endpoints.
        incarnation: Random identifier chosen at each start of the router.
        max_body_bytes: Maximum size of one request body.
        endpoint_credential: Credential that endpoints send in announcements.
    """

    clock: Clock | ManualClock
    rules: Rules
    scheduler: SchedulerPort
    adapter: Adapter
    guard: CrashGuard
    incarnation: str
    max_body_bytes: int
    endpoint_credential: str

    def customer_for(self, api_key: str) -> CustomerRule | None:
        """Returns the customer for an API key, or None if it is unknown."""

    def start_refusal(self) -> RefusalReason | None:
        """Returns why no new request may start now, or None if it may.

        An expired lease takes precedence over `STOPPING`: requests that were
        accepted before a planned stop are still sent.
        """

    def lease_epoch(self) -> int:
        """Returns the number of times the lease was granted after it expired.

        If it is the same at two times at which the lease is held, the lease did
        not expire in between.
        """

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Waits for the placement decision for a request."""

    async def place_retry(
        self, ticket: Ticket, failed: Attempt, is_reserved: bool = False
    ) -> Dispatch | Refuse:
        """Waits for the placement decision for a retry.

        Args:
            ticket: The request.
            failed: Its attempt that failed.
            is_reserved: Whether `reserve_retry` has reserved the retry.
        """

    def reserve_retry(self, ticket: Ticket, silent: Attempt) -> bool:
        """Reserves a retry of an attempt whose runner is silent.

        Returns:
            Whether another runner may go on; if not, nothing has changed.
        """

    def service_endpoints(self, name: str) -> Sequence[Endpoint]:
        """Returns the active endpoints of a service, nearest first."""

    async def submit(self, command: object, timeout_s: float) -> object:
        """Submits a command to the control members.

        Raises:
            ControlError: The command was rejected or its outcome is unknown.
        """

    async def announce(self, endpoint: Endpoint) -> object | None:
        """Forwards an announcement to the control members if it is new.

        Returns:
            The result of the command, or None if nothing was forwarded.

        Raises:
            ControlError: The command was rejected or its outcome is unknown.
        """

    def ready(self) -> bool:
        """Returns whether the load balancer may send requests here."""

    def count(self, name: str, number: int = 1) -> None:
        """Adds `number` to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""

    def log(self, event: str, **fields: object) -> None:
        """Logs an event of the event catalogue."""


class Gateway:
    """The ASGI application; create it with `create_app`."""

    def __init__(
        self,
        router: RouterPort,
        guard: CallerGuard,
        connections: GatewayConnections,
    ):
        self._router = router
        self._guard = guard
        self._connections = connections
        self._background = BackgroundTasks()
        self._request_numbers = itertools.count(1)
        self._chats = ChatHandler(router, self._background)
        self._services = ServiceHandler(router, self._background)

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Handles the lifespan or one HTTP request."""
        if scope["type"] == "lifespan":
            return await self._background.lifespan(receive, send)
        if scope["type"] != "http":
            raise ValueError(
                f"ASGI scope type {scope['type']} is not supported"
            )
        call = create_call(scope, receive, send)
        connection = self._connections.find(scope.get("client"))
        cancel = anyio.CancelScope()
        with self.memory.hold(
            _address(scope), self._router.clock.now(), cancel.cancel
        ) as held:
            self._share_memory(call, held, connection)
            with cancel:
                await self._serve(call)
            if held.is_evicted:
                await self._end_evicted(call, held, connection)
        # Callers of HTTP/1.0 take any end of the connection for that of the
        # answer.
        is_partial = call.started and not call.is_answered
        if is_partial and scope.get("http_version") == "1.0" and connection:
            connection.end()

    @property
    def memory(self) -> CallerMemory:
        """The memory that all callers share."""
        return self._guard.memory

    def _share_memory(
        self,
        call: HttpCall,
        held: HeldBytes,
        connection: GatewayConnection | None,
    ) -> None:
        call.held, call.memory = held, self.memory
        call.now = self._router.clock.now
        call.take_turn = self._guard.take_turn
        if connection is not None:
            connection.held = held

    async def _end_evicted(
        self,
        call: HttpCall,
        held: HeldBytes,
        connection: GatewayConnection | None,
    ) -> None:
        """Refuses a request that was given up, or ends its answer."""
        if connection is not None and connection.is_ending:
            return
        self._guard.count_refusal(CallerRefusal.NO_MEMORY)
        call.held = None
        if held.in_service or call.started:
            if connection is not None:
                connection.end()
            return
        call.lingers = not call.is_whole
        refused = RefusedError(
            RefusalReason.QUEUE_FULL,
            "the memory limit for callers is reached",
        )
        try:
            await self._refuse(call, refused)
        except SlowCallerError as exc:
            self._record_refusal(RefusalReason.SLOW_CALLER, str(exc))

    async def _serve(self, call: HttpCall) -> None:
        """Handles one request and records how it ends."""
        try:
            await self._handle(call)
        except RefusedError as refused:
            await self._refuse(call, refused)
        except CallerGoneError:
            self._router.count("cancelled")
            self._record_dropped(call, DropCause.CALLER_CLOSED)
        except CallerEvictedError:
            # `__call__` refuses it.
            pass
        except anyio.get_cancelled_exc_class():
            if not call.held.is_evicted:
                self._record_dropped(call, DropCause.STOPPED)
            raise
        except SlowCallerError as exc:
            self._record_refusal(RefusalReason.SLOW_CALLER, str(exc))
        except Exception as exc:
            # The server sends status 500, or aborts a started response.
            self._router.log("request_failed", error=repr(exc))
            raise

    def _record_dropped(self, call: HttpCall, cause: DropCause) -> None:
        """Records that a request ends without a whole answer."""
        if not call.is_whole:
            return self._router.log("request_incomplete", has_head=True)
        self._router.count(f"dropped.{cause.value}")
        self._router.log(
            "request_dropped",
            cause=cause.value,
            path=call.path,
            answer_began=call.started,
        )

    async def _handle(self, call: HttpCall) -> None:
        match call.method, call.path:
            case "GET", "/live":
                await call.send_json(200, {"live": True})
            case "GET", "/ready":
                ready = self._router.ready()
                await call.send_json(200 if ready else 503, {"ready": ready})
            case "POST", "/v1/endpoints":
                await self._announce(call)
            case "GET", "/v1/models":
                await self._list_models(call)
            case "POST", "/v1/chat/completions":
                customer = self._customer(call)
                self._router.count("requests.started")
                await self._chats.handle(call, customer, self._request_id())
            case _, path if path.startswith("/services/"):
                customer = self._customer(call)
                self._router.count("requests.started")
                await self._services.handle(call, customer, self._request_id())
            case _:
                raise RefusedError(
                    RefusalReason.UNKNOWN_PATH,
                    f"no route for {call.method} {call.path[:200]}",
                )

    def _request_id(self) -> str:
        return f"{self._router.incarnation}-{next(self._request_numbers)}"

    def _customer(self, call: HttpCall) -> CustomerRule:
        scheme, _, key = call.header("authorization").partition(" ")
        key = key.strip() if scheme.lower() == "bearer" else ""
        customer = self._router.customer_for(key) if key else None
        if customer is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_KEY, "the API key is missing or unknown"
            )
        return customer

    async def _refuse(self, call: HttpCall, refused: RefusedError) -> None:
        self._record_refusal(refused.reason, refused.message)
        if not call.started:
            await call.send_error(refused)

    def _record_refusal(self, reason: RefusalReason, message: str) -> None:
        self._router.count(f"refused.{reason.value}")
        self._router.log(
            "request_refused", reason=reason.value, message=message
        )

    async def _list_models(self, call: HttpCall) -> None:
        customer = self._customer(call)
        names = [
            rule.name
            for rule in self._router.rules.models
            if not customer.models or rule.name in customer.models
        ]
        data = [{"id": name, "object": "model"} for name in names]
        await call.send_json(200, {"object": "list", "data": data})

    async def _announce(self, call: HttpCall) -> None:
        expected = f"Bearer {self._router.endpoint_credential}".encode()
        received = call.header("authorization").encode("latin1")
        if not hmac.compare_digest(expected, received):
            self._router.count("credential.refused")
            raise RefusedError(
                RefusalReason.BAD_CREDENTIAL,
                "the endpoint credential is invalid",
            )
        body = await call.read_body(MAX_ANNOUNCEMENT_BYTES)
        endpoint = parse_endpoint(body)
        self._router.count("endpoints.announced")
        try:
            result = await self._router.announce(endpoint)
        except ControlError as exc:
            raise RefusedError(
                RefusalReason.CONTROL_UNAVAILABLE,
                f"the announcement was not recorded: {exc.reason}",
                Outcome.UNKNOWN,
            ) from exc
        if isinstance(result, TableFull):
            raise RefusedError(
                RefusalReason.TOO_MANY_RECORDS, "the endpoint table is full"
            )
        await call.send_json(200, {"accepted": endpoint.id})


def parse_endpoint(body: bytes) -> Endpoint:
    """Parses and validates an announcement.

    Raises:
        RefusedError: It is malformed or a field is out of range.
    """
    try:
        endpoint = cattrs.structure(json.loads(body), Endpoint)
        _check_endpoint(endpoint)
    except RefusedError:
        raise
    except Exception as exc:
        raise RefusedError(
            RefusalReason.BAD_BODY, f"malformed announcement: {exc!r}"
        ) from exc
    return endpoint


def _check_endpoint(endpoint: Endpoint) -> None:
    names = (
        *(endpoint.id, endpoint.incarnation, endpoint.weights_version),
        *(endpoint.data_centre, endpoint.url, *endpoint.serves),
        endpoint.software_version,
    )
    if not all(is_text(name) for name in names):
        raise ValueError("a name cannot be encoded")
    if any(len(name) > MAX_NAME_CHARS for name in names):
        raise ValueError(f"a name is longer than {MAX_NAME_CHARS} characters")
    if not (endpoint.id and endpoint.incarnation and endpoint.serves):
        raise ValueError("id, incarnation and serves must not be empty")
    if len(endpoint.serves) > MAX_SERVED_NAMES:
        raise ValueError(f"serves has more than {MAX_SERVED_NAMES} names")
    if endpoint.slots < 1 or endpoint.cache_blocks < 0:
        raise ValueError("slots or cache_blocks is out of range")
    scheme, _, rest = endpoint.url.partition("://")
    host, _, port = rest.rpartition(":")
    if scheme != "http" or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("url must have the form http://IP_ADDRESS:PORT")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    # Only IP addresses: resolving a name would need a thread.
    socket.inet_pton(family, host.strip("[]"))


def configure_listener(listener: socket.socket) -> None:
    """Sets socket options that accepted connections inherit."""
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def _address(scope: Message) -> str:
    """Returns the caller's address, without its port."""
    client = scope.get("client") or ("",)
    return str(client[0])


def create_app(
    router: RouterPort,
    guard: CallerGuard | None = None,
    connections: GatewayConnections | None = None,
) -> Gateway:
    """Creates the ASGI application of a router.

    Args:
        router: The router.
        guard: Bounds of what callers hold; the defaults if left out.
        connections: Connections of the listener; if left out, none is ended by
            the application.
    """
    guard = guard or CallerGuard()
    connections = connections or GatewayConnections(guard, router.clock)
    return Gateway(router, guard, connections)
