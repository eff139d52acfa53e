"""Router daemon: creates and connects the components of a router."""

import hashlib
import secrets
from collections.abc import Sequence

import anyio
import anyio.lowlevel
import attrs

from knapweedarch import (
    admission,
    control,
    gateway,
    placement,
    scheduler,
)
from knapweedarch.adapters import create_adapter
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.dispatcher import Dispatcher
from knapweedarch.endpoint_table import EndpointTable
from knapweedarch.exceptions import ControlError, RuleError
from knapweedarch.http_server import HttpServer
from knapweedarch.lease_keeper import LeaseKeeper
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import (
    Attempt,
    CustomerRule,
    Dispatch,
    Endpoint,
    Priority,
    RefusalReason,
    Refuse,
    Rules,
    Ticket,
)
from knapweedarch.order_sender import OrderSender
from knapweedarch.quarantine_client import QuarantineClient
from knapweedarch.relay_client import RelayClient
from knapweedarch.relayed_parts import IgnoredSilence, RelayedParts
from knapweedarch.router_paths import RouterPaths
from knapweedarch.rules import parse_steps
from knapweedarch.settings import RouterSettings
from knapweedarch.state import Announce
from knapweedarch.steps import run_steps
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import Clock, Timers

ROLLOUT_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 3.0


class Router:
    """One router; implements `gateway.RouterPort`.

    Attributes:
        clock: Time source.
        incarnation: Random identifier chosen at each start.
        rules: Rules in force.
        scheduler: Decides on the placement of requests.
        adapter: Sends requests to endpoints.
        guard: Tells which prompts crash runners.
        max_body_bytes: Maximum size of a request body.
        endpoint_credential: Credential that endpoints send in announcements.
    """

    def __init__(
        self, settings: RouterSettings, clock: Clock, metrics: Metrics
    ):
        self.clock = clock
        self.incarnation = secrets.token_hex(8)
        self.rules = Rules()
        self.max_body_bytes = settings.max_body_bytes
        self.endpoint_credential = settings.endpoint_credential
        self._metrics = metrics
        self._customers: dict[str, CustomerRule] = {}
        self._timers = Timers(clock)
        self._control = control.create_control_client(
            settings.members,
            settings.credential.encode(),
            clock,
            on_changed=lambda: self._keeper.renew_soon(),
        )
        self._paths = RouterPaths(
            *(settings.name, settings.credential.encode(), self._control),
            *(clock, metrics, lambda: self._endpoints.active_addresses()),
            self._on_paths_lost,
        )
        self.adapter = create_adapter(
            *(settings.endpoint_credential, clock, self.incarnation),
            self._paths.connect,
        )
        distances_ms = {**settings.distances_ms, settings.data_centre: 0.0}
        self.scheduler = scheduler.create_scheduler(
            _scheduler_config(settings, distances_ms),
            seed=int(self.incarnation, 16),
        )
        self.guard = create_crash_guard(int(self.incarnation, 16))
        # Relays to this router carry no cached parts: it follows the runners
        # itself.
        self._relay = RelayClient(
            *(settings.name, settings.data_centre),
            *(settings.credential.encode(), settings.members),
            RelayedParts(PartsIndex(), IgnoredSilence()),
            on_loads=lambda loads: None,
        )
        self._quarantine = QuarantineClient(
            settings.name, self.guard, self._relay, clock, metrics
        )
        self._keeper = LeaseKeeper(
            *(settings.name, self.incarnation, self._control, clock, metrics)
        )
        self._keeper.on_rules = self._set_rules
        self._keeper.on_routers = self.scheduler.set_router_count
        self._keeper.lacks_paths = lambda: self._paths.is_cut
        self._endpoints = EndpointTable(
            *(self.scheduler, self.adapter, clock, metrics),
            *(distances_ms, self.incarnation),
        )
        self._keeper.on_endpoints = self._endpoints.update
        self._orders = OrderSender(
            *(self.incarnation, self._keeper.lease, self._control),
            *(self.adapter, clock, metrics),
        )
        self._dispatcher = Dispatcher(self.scheduler, self._timers)
        self._server = HttpServer(settings, metrics, clock)
        self._server.drain_others = self._paths.drain
        self._tunnels = settings.tunnels

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until SIGTERM or SIGINT, then drains and returns."""
        self._keeper.subscribe(self._timers)
        self._quarantine.subscribe(self._timers)
        self._paths.subscribe(self._timers)
        self._timers.every(ROLLOUT_INTERVAL_S, self._roll_out)
        self._timers.every(REPORT_INTERVAL_S, self._report)
        async with (
            anyio.create_task_group() as group,
            self._control,
            self._paths,
        ):
            self._group = group
            await self._serve_tunnels(group)
            self._endpoints.start(group)
            group.start_soon(self._timers.run)
            group.start_soon(self._keeper.run)
            group.start_soon(self._relay.run)
            task_status.started(self._server.port)
            server = self._server
            try:
                await server.run(
                    gateway.create_app(self, server.guard, server.connections)
                )
            finally:
                group.cancel_scope.cancel()
                # Tasks that use the control client end before it is closed.
                await anyio.lowlevel.cancel_shielded_checkpoint()
        await self.adapter.close()

    async def _serve_tunnels(self, group: anyio.abc.TaskGroup) -> None:
        """Starts to connect other routers to endpoints, if that is set."""
        if (listen := self._tunnels) is not None:
            self._keeper.tunnels = await self._paths.serve(listen, group)

    def _on_paths_lost(self) -> None:
        """Drops what belongs to the direct paths to endpoints."""
        self._group.start_soon(self.adapter.close_idle)
        self._keeper.renew_soon()

    def ready(self) -> bool:
        """Returns whether the load balancer may send requests here."""
        return not self._server.draining and self.start_refusal() is None

    def start_refusal(self) -> RefusalReason | None:
        """Returns why no new request may start now, or None if it may."""
        # The lease is checked first: requests accepted before a planned stop
        # are still sent, but never without a lease.
        if not self._keeper.lease.holds(self.clock.now()):
            return RefusalReason.LEASE_EXPIRED
        if self._server.stopping:
            return RefusalReason.STOPPING
        return None

    def lease_epoch(self) -> int:
        """Returns the lease epoch, which increases after each expiry."""
        return self._keeper.lease.epoch

    def customer_for(self, api_key: str) -> CustomerRule | None:
        """Returns the customer for an API key, or None if it is unknown."""
        return self._customers.get(hashlib.sha256(api_key.encode()).hexdigest())

    def service_endpoints(self, name: str) -> Sequence[Endpoint]:
        """Returns the active endpoints of a plain service, nearest first."""
        return self._endpoints.service_endpoints(name)

    def count(self, name: str, number: int = 1) -> None:
        """Increments a counter of the metrics catalogue."""
        self._metrics.count(name, number)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration of the metrics catalogue, in seconds."""
        self._metrics.timing(name, seconds)

    def log(self, event: str, **fields) -> None:
        """Logs an event of the event catalogue."""
        log(event, **fields)

    async def submit(self, command: object, timeout_s: float) -> object:
        """Submits a command to the control members.

        Raises:
            ControlError: See `control.ControlClient.submit`.
        """
        return await self._control.submit(command, timeout_s)

    async def announce(self, endpoint: Endpoint) -> object | None:
        """Forwards an announcement to the control members if it is new.

        Returns:
            Result of the command, or None if it was not forwarded.

        Raises:
            ControlError: The command was rejected or its outcome is unknown.
        """
        if not self._endpoints.needs_announcement(endpoint):
            return None
        result = await self._control.submit(
            Announce(endpoint), ANNOUNCE_TIMEOUT_S
        )
        self._endpoints.mark_announced(endpoint)
        return result

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Waits for the placement decision for a request."""
        return await self._dispatcher.place(ticket)

    async def place_retry(
        self, ticket: Ticket, failed: Attempt, is_reserved: bool = False
    ) -> Dispatch | Refuse:
        """Waits for the placement decision for a retry."""
        return await self._dispatcher.place_retry(ticket, failed, is_reserved)

    def reserve_retry(self, ticket: Ticket, silent: Attempt) -> bool:
        """Reserves a retry of an attempt whose runner is silent."""
        return self.scheduler.reserve_retry(ticket, silent, self.clock.now())

    async def _set_rules(self, version: int, text: str) -> None:
        try:
            rules = await run_steps(parse_steps(text))
        except RuleError as exc:
            # A router without the current rules must not serve requests: the
            # error fails the renewal, so the lease expires.
            log("rules_unreadable", version=version, faults=exc.faults)
            raise ControlError("refused", str(exc)) from exc
        self.rules = rules
        self._customers = {c.key_digest: c for c in rules.customers}
        self.scheduler.set_limits(rules)
        log("rules_applied", version=version)

    def _roll_out(self, now: float) -> None:
        endpoints = self._endpoints.all()
        if self._orders.is_due(self.rules, endpoints):
            self._group.start_soon(
                self._orders.send_due_orders, self.rules, endpoints
            )

    def _report(self, now: float) -> None:
        gauge = self._metrics.gauge
        gauge("lease.held", int(self._keeper.lease.holds(now)))
        gauge("rules.version", self._keeper.rules_version)
        gauge("endpoints.active", self._endpoints.active_count())
        gauge("requests.running", self._server.active)
        gauge("requests.waiting", self._dispatcher.waiting)


def _scheduler_config(
    settings: RouterSettings, distances_ms: dict[str, float]
) -> scheduler.SchedulerConfig:
    fill = {
        Priority[name.upper()]: share
        for name, share in settings.class_fill.items()
    }
    defaults = admission.AdmissionConfig()
    return scheduler.SchedulerConfig(
        placement_cfg=placement.PlacementConfig(
            distance_s={dc: ms / 1000 for dc, ms in distances_ms.items()},
            prefill_tokens_s=settings.prefill_tokens_s,
            service_s=settings.request_s,
        ),
        admission_cfg=attrs.evolve(
            defaults,
            fill={**defaults.fill, **fill},
            queue_limit=settings.queue_limit,
        ),
    )


def create_router(
    settings: RouterSettings, clock: Clock, metrics: Metrics
) -> Router:
    """Creates a router."""
    return Router(settings, clock, metrics)
