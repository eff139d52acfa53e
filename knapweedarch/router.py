"""Router daemon: lease, rules, endpoint feeds and the HTTP server."""

import hashlib
import hmac
import json
import logging
import random
import secrets
import signal
import socket
from collections.abc import Sequence

import anyio
import attrs
from hypercorn.asyncio import serve as serve_http
from hypercorn.config import Config

from knapweedarch import (
    admission,
    control,
    gateway,
    placement,
    scheduler,
)
from knapweedarch.adapters import LoadWeights, create_adapter
from knapweedarch.callers import RefusedError, create_call
from knapweedarch.exceptions import ControlError, EndpointError, RuleError
from knapweedarch.leases import RENEW_S, Lease
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import (
    Attempt,
    CacheEvent,
    CustomerRule,
    Dispatch,
    Endpoint,
    EndpointKind,
    EndpointStatus,
    LoadReport,
    RefusalReason,
    Refuse,
    Rules,
    Ticket,
    Wait,
)
from knapweedarch.orders import Entitlement, LoadOrder, Rollout
from knapweedarch.rules import parse_rules
from knapweedarch.settings import RouterSettings
from knapweedarch.state import (
    Announce,
    EndpointEntry,
    OrdersTaken,
    TakeOrders,
)
from knapweedarch.timers import Clock, Timers

COUNTERS_PATH = "/counters"
POLL_S = 0.02
WATCH_S = 0.2
ROLLOUT_S = 0.5
REPORT_S = 1.0
FEED_RETRY_S = 0.2
FEED_RETRY_LIMIT_S = 5.0
RENEW_TIMEOUT_S = 1.0
READY_GRACE_S = 1.0
ANNOUNCE_TIMEOUT_S = 3.0
MAX_HEADER_BYTES = 32 * 1024
SECONDS_OPEN_AFTER_DRAIN = 1.0


class Router:
    """One router; `gateway` serves callers through it."""

    def __init__(
        self, settings: RouterSettings, clock: Clock, metrics: Metrics
    ):
        self.clock = clock
        self.incarnation = secrets.token_hex(8)
        self.rules = Rules()
        self.max_body_bytes = settings.max_body_bytes
        self.endpoint_credential = settings.endpoint_credential
        self.port = 0
        self._settings = settings
        self._metrics = metrics
        self._customers: dict[str, CustomerRule] = {}
        self._rules_version = 0
        self._revision = 0
        self._applied = 0
        self._lease = Lease()
        self._entitlement = Entitlement()
        self._rollout = Rollout()
        self._rolling_out = False
        self._held_lease = False
        self._stopping = False
        self._endpoints: dict[str, Endpoint] = {}
        self._announced: dict[str, Endpoint] = {}
        self._feeds: dict[str, anyio.CancelScope] = {}
        self._waiting: dict[str, _Waiter] = {}
        self._polling = False
        self._renew_now = anyio.Event()
        self._active = 0
        self._idle = anyio.Event()
        self._timers = Timers(clock)
        self._random = random.Random(self.incarnation)
        self.adapter = create_adapter(
            settings.endpoint_credential, clock, self.incarnation
        )
        self.scheduler = scheduler.create_scheduler(
            _scheduler_config(settings),
            seed=int(self.incarnation, 16),
        )
        self._control = control.create_control(
            [
                control.MemberAddress(m.name, m.host, m.port)
                for m in settings.members
            ],
            settings.credential.encode(),
            clock,
            on_changed=self._renew_soon,
        )

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until SIGTERM or SIGINT, then drains and returns."""
        listener = self._listen()
        self.port = listener.getsockname()[1]
        # Routers that restart together would otherwise renew in step for good.
        period = RENEW_S * self._random.uniform(0.8, 1.0)
        self._timers.every(period, lambda now: self._renew_soon())
        self._timers.every(ROLLOUT_S, self._roll_out)
        self._timers.every(WATCH_S, self._watch_lease)
        self._timers.every(REPORT_S, self._report)
        stop = anyio.Event()
        async with anyio.create_task_group() as group, self._control:
            self._group = group
            group.start_soon(self._timers.run)
            group.start_soon(self._keep_lease)
            group.start_soon(self._await_signal, stop)
            task_status.started(self.port)
            await serve_http(
                self._counting(gateway.create_app(self)),
                self._http_config(listener),
                shutdown_trigger=stop.wait,
            )
            group.cancel_scope.cancel()
        await self.adapter.close()

    def _listen(self) -> socket.socket:
        host, port = self._settings.listen.host, self._settings.listen.port
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        gateway.tune_listener(listener)
        listener.bind((host, port))
        listener.setblocking(False)
        return listener

    def _http_config(self, listener: socket.socket) -> Config:
        cfg = Config()
        cfg.bind = [f"fd://{listener.detach()}"]
        cfg.backlog = 1024
        cfg.graceful_timeout = SECONDS_OPEN_AFTER_DRAIN
        cfg.h11_max_incomplete_size = MAX_HEADER_BYTES
        cfg.accesslog = None
        cfg.errorlog = logging.getLogger("hypercorn.error")
        cfg.errorlog.setLevel(logging.WARNING)
        return cfg

    def _counting(self, app):
        """Wraps the application so that a drain knows what still runs."""

        async def counted(scope, receive, send) -> None:
            if scope["type"] != "http":
                return await app(scope, receive, send)
            if scope["path"] == COUNTERS_PATH:
                return await self._show_counters(scope, send)
            if self._active >= self._settings.max_streams:
                return await self._refuse_full(scope, receive, send)
            self._active += 1
            try:
                await app(scope, receive, send)
            finally:
                self._active -= 1
                if self._active == 0:
                    self._idle.set()

        return counted

    async def _refuse_full(self, scope, receive, send) -> None:
        """Refuses before any byte of the body is read."""
        self.count(f"refused.{RefusalReason.QUEUE_FULL.value}")
        await create_call(scope, receive, send).refuse(
            RefusedError(
                RefusalReason.QUEUE_FULL, "too many requests are in progress"
            )
        )

    async def _show_counters(self, scope, send) -> None:
        """Answers an operator who holds the shared credential."""
        want = f"Bearer {self._settings.credential}".encode()
        given = dict(scope["headers"]).get(b"authorization", b"")
        status, content = 200, dict(sorted(self._metrics.counts.items()))
        if not hmac.compare_digest(given, want):
            self.count("credential.refused")
            status, content = 401, {}
        headers = [(b"content-type", b"application/json")]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
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
        """Readiness first, then no new work, then wait for what runs."""
        log("drain_started", active=self._active)
        self._draining = True
        # The balancer still sends requests until it has seen the readiness.
        await anyio.sleep(READY_GRACE_S)
        self._stopping = True
        with anyio.move_on_after(self._settings.drain_s):
            while self._active:
                self._idle = anyio.Event()
                await self._idle.wait()
        log("drain_ended", active=self._active)

    _draining = False

    def ready(self) -> bool:
        """Tells the balancer whether to send callers here."""
        return not self._draining and self.may_start() is None

    def may_start(self) -> RefusalReason | None:
        """Returns why no new work may start now, or None if it may."""
        # The lease comes first: requests accepted before a planned stop are
        # still sent, but never without a lease.
        if not self._lease.holds(self.clock.now()):
            return RefusalReason.LEASE_EXPIRED
        if self._stopping:
            return RefusalReason.STOPPING
        return None

    def lease_epoch(self) -> int:
        """Returns the number of lapses of the lease so far."""
        return self._lease.epoch

    def customer_for(self, api_key: str) -> CustomerRule | None:
        """Returns the customer of an API key."""
        return self._customers.get(hashlib.sha256(api_key.encode()).hexdigest())

    def service_endpoints(self, name: str) -> Sequence[Endpoint]:
        """Returns the active endpoints of a plain service, nearest first."""
        found = [
            e
            for e in self._endpoints.values()
            if e.kind is EndpointKind.SERVICE
            and name in e.serves
            and e.status is EndpointStatus.ACTIVE
        ]
        return sorted(found, key=lambda e: (self._distance(e), e.id))

    def _distance(self, endpoint: Endpoint) -> float:
        if endpoint.data_centre == self._settings.data_centre:
            return 0.0
        return self._settings.distances_ms.get(endpoint.data_centre, 1e3)

    def count(self, name: str) -> None:
        """Adds one to a counter of the metrics catalogue."""
        self._metrics.count(name)

    def log(self, event: str, **fields) -> None:
        """Logs an event of the event catalogue."""
        log(event, **fields)

    async def submit(self, command: object, timeout_s: float) -> object:
        """Submits a command to the control members.

        Raises:
            ControlError: See `control.Control.submit`.
        """
        return await self._control.submit(command, timeout_s)

    async def announce(self, endpoint: Endpoint) -> object | None:
        """Passes an announcement on if it says anything new.

        Raises:
            ControlError: The members did not answer.
        """
        known = self._endpoints.get(endpoint.id)
        if self._announced.get(endpoint.id) == endpoint and known is not None:
            return None
        result = await self._control.submit(
            Announce(endpoint), ANNOUNCE_TIMEOUT_S
        )
        self._announced[endpoint.id] = endpoint
        return result

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Waits for the scheduler's decision on a request."""
        decision = self.scheduler.submit(ticket, self.clock.now())
        return await self._decided(ticket, decision)

    async def place_again(
        self, ticket: Ticket, failed: Attempt
    ) -> Dispatch | Refuse:
        """Waits for the scheduler's decision on a further attempt."""
        decision = self.scheduler.retry(ticket, failed, self.clock.now())
        return await self._decided(ticket, decision)

    async def _decided(self, ticket: Ticket, decision) -> Dispatch | Refuse:
        if not isinstance(decision, Wait):
            return decision
        self._poll_soon()
        waiter = self._waiting[ticket.id] = _Waiter()
        try:
            await waiter.done.wait()
        except BaseException:
            self.scheduler.withdraw(ticket.id, self.clock.now())
            raise
        finally:
            self._waiting.pop(ticket.id, None)
        return waiter.decision

    def _poll_soon(self) -> None:
        if not self._polling:
            self._polling = True
            self._timers.after(POLL_S, self._poll)

    def _poll(self, now: float) -> None:
        """Asks for decisions as long as a request waits for one."""
        self._polling = False
        for ticket_id, decision in self.scheduler.poll(now):
            if waiter := self._waiting.get(ticket_id):
                waiter.decision = decision
                waiter.done.set()
            else:
                self._release(decision, now)
        if self._waiting:
            self._poll_soon()

    def _watch_lease(self, now: float) -> None:
        held = self._lease.holds(now)
        if held == self._held_lease:
            return
        self._held_lease = held
        if held:
            log("lease_granted")
        else:
            self.count("lease.expired")
            log("lease_expired")

    def _report(self, now: float) -> None:
        active = sum(
            e.status is EndpointStatus.ACTIVE for e in self._endpoints.values()
        )
        self._metrics.gauge("lease.held", int(self._lease.holds(now)))
        self._metrics.gauge("rules.version", self._rules_version)
        self._metrics.gauge("endpoints.active", active)
        self._metrics.gauge("requests.running", self._active)
        self._metrics.gauge("requests.waiting", len(self._waiting))

    def _release(self, decision: object, now: float) -> None:
        """Gives back a dispatch whose caller left at the same moment."""
        if isinstance(decision, Dispatch):
            self.scheduler.withdraw(decision.attempt.ticket.id, now)

    def _roll_out(self, now: float) -> None:
        """Starts a step of the roll-out if a runner lacks its weights."""
        endpoints = list(self._endpoints.values())
        if self._rolling_out or not self._rollout.is_needed(
            self.rules, endpoints
        ):
            return
        self._rolling_out = True
        self._group.start_soon(self._give_orders)

    async def _give_orders(self) -> None:
        try:
            if await self._take_orders():
                orders = self._rollout.next_orders(
                    self.rules, list(self._endpoints.values()), self.clock.now()
                )
                async with anyio.create_task_group() as group:
                    for order in orders:
                        group.start_soon(self._order_load, order)
        except ControlError as exc:
            log("orders_not_taken", reason=exc.reason)
        finally:
            self._rolling_out = False

    async def _take_orders(self) -> bool:
        """Becomes the one router that gives orders, unless another is."""
        epoch = self._lease.epoch
        if self._entitlement.is_held(self._lease, self.clock.now()):
            return True
        match await self._control.submit(
            TakeOrders(self.incarnation), ANNOUNCE_TIMEOUT_S
        ):
            case OrdersTaken(fencing_number=number):
                now = self.clock.now()
                self._entitlement.taken(number, epoch, now)
                log("orders_taken", fencing_number=number)
                return self._entitlement.is_held(self._lease, now)
        return False

    async def _order_load(self, order: LoadOrder) -> None:
        if not self._entitlement.may_order(
            order.endpoint, self._lease, self.clock.now()
        ):
            self._rollout.failed(order, self.clock.now())
            return
        log("load_ordered", endpoint=order.endpoint.id, version=order.version)
        try:
            await self.adapter.order(
                order.endpoint,
                LoadWeights(order.model, order.version),
                self._entitlement.fencing_number,
            )
        except EndpointError as exc:
            self.count("orders.failed")
            log("order_failed", endpoint=order.endpoint.id, reason=exc.reason)
            self._rollout.failed(order, self.clock.now())

    def _renew_soon(self) -> None:
        self._renew_now.set()

    async def _keep_lease(self) -> None:
        while True:
            self._renew_now = anyio.Event()
            try:
                changed = await self._renew()
            except ControlError as exc:
                self.count("lease.renewal_failed")
                log("lease_renewal_failed", reason=exc.reason)
                await anyio.sleep(self._random.uniform(0.02, 0.1))
                continue
            if not changed:
                await self._renew_now.wait()

    async def _renew(self) -> bool:
        """Renews the lease; tells whether the grant brought changes."""
        sent_at = self.clock.now()
        grant = await self._control.ask(
            control.Renew(
                self._settings.name,
                self.incarnation,
                self._rules_version,
                self._revision,
                self._applied,
            ),
            RENEW_TIMEOUT_S,
        )
        if grant.applied < self._applied:
            # Only a group that lost its log answers so; its state is older.
            log("grant_older", applied=self._applied, granted=grant.applied)
            return False
        changed = bool(grant.endpoints) or grant.rules_text is not None
        if grant.rules_text is not None:
            self._set_rules(grant.rules_version, grant.rules_text)
        if grant.endpoints:
            self._set_endpoints(grant.endpoints)
        self._revision = grant.revision
        self._applied = grant.applied
        self._lease.granted(sent_at, grant.duration_s, self.clock.now())
        self.count("lease.renewed")
        return changed

    def _set_rules(self, version: int, text: str) -> None:
        try:
            rules = parse_rules(text)
        except RuleError as exc:
            # Without the current rules this router must not serve at all.
            log("rules_unreadable", version=version, faults=exc.faults)
            raise ControlError("refused", str(exc)) from exc
        self.rules, self._rules_version = rules, version
        self._customers = {c.key_digest: c for c in rules.customers}
        self.scheduler.set_limits(rules)
        log("rules_applied", version=version)

    def _set_endpoints(self, entries: Sequence[EndpointEntry]) -> None:
        for entry in entries:
            endpoint = entry.endpoint
            before = self._endpoints.get(endpoint.id)
            self._endpoints[endpoint.id] = endpoint
            if before is None or (before.incarnation, before.url) != (
                endpoint.incarnation,
                endpoint.url,
            ):
                self._restart_feed(endpoint)
        runners = [
            e for e in self._endpoints.values() if e.kind is EndpointKind.RUNNER
        ]
        self.scheduler.set_endpoints(runners, self.clock.now())

    def _restart_feed(self, endpoint: Endpoint) -> None:
        if scope := self._feeds.pop(endpoint.id, None):
            scope.cancel()
        if endpoint.kind is EndpointKind.RUNNER:
            scope = self._feeds[endpoint.id] = anyio.CancelScope()
            self._group.start_soon(self._follow_feed, endpoint, scope)

    async def _follow_feed(
        self, endpoint: Endpoint, scope: anyio.CancelScope
    ) -> None:
        with scope:
            pause = FEED_RETRY_S
            while True:
                try:
                    async for item in self.adapter.follow_feed(endpoint):
                        pause = FEED_RETRY_S
                        self._take_feed_item(item)
                except EndpointError as exc:
                    self.count("feed.lost")
                    log("feed_lost", endpoint=endpoint.id, reason=exc.reason)
                    self.scheduler.endpoint_lost(endpoint.id, self.clock.now())
                # An endpoint that is gone for good costs little to look for.
                await anyio.sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(2 * pause, FEED_RETRY_LIMIT_S)

    def _take_feed_item(self, item: LoadReport | CacheEvent) -> None:
        now = self.clock.now()
        match item:
            case LoadReport():
                self.scheduler.report_load(item, now)
            case CacheEvent():
                self.scheduler.cache_event(item, now)


@attrs.define
class _Waiter:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    decision: Dispatch | Refuse | None = None


def _scheduler_config(settings: RouterSettings) -> scheduler.SchedulerConfig:
    distance_s = {dc: ms / 1000 for dc, ms in settings.distances_ms.items()}
    distance_s[settings.data_centre] = 0.0
    return scheduler.SchedulerConfig(
        placement_cfg=placement.PlacementConfig(distance_s=distance_s),
        admission_cfg=admission.AdmissionConfig(
            queue_limit=settings.queue_limit
        ),
    )


def create_router(
    settings: RouterSettings, clock: Clock, metrics: Metrics
) -> Router:
    """Creates a router."""
    return Router(settings, clock, metrics)
