"""Proxy daemon: routes callers' requests to registered endpoints."""

import secrets
import signal
from collections.abc import Sequence

import anyio
import anyio.abc
import attrs

from knapweedarch import control
from knapweedarch.caller_bounds import CallerBounds
from knapweedarch.caller_ends import DropCause
from knapweedarch.caller_guard import CallerGuard
from knapweedarch.capacity_client import CapacityClient
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.deployments import Deployment
from knapweedarch.dialects import Dialect
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.endpoint_identity import EndpointIdentities, IdentityPort
from knapweedarch.endpoint_rates import create_endpoint_limits
from knapweedarch.endpoint_statements import create_endpoint_waits
from knapweedarch.fair_admission import LOOK_INTERVAL_S, create_fair_admission
from knapweedarch.fair_placement import FairPlacement
from knapweedarch.http_inbound import CHECK_LIMITS, InboundServer, Responder
from knapweedarch.http_messages import Answer, Request
from knapweedarch.lease_keeper import LeaseKeeper
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import Endpoint, RefusalReason
from knapweedarch.origin_client import OriginClient
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.overload import create_overload_control
from knapweedarch.process_pauses import PauseDetector
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_gateway import ProxyGateway
from knapweedarch.quarantine_client import QuarantineClient
from knapweedarch.quota_client import QuotaClient
from knapweedarch.quotas import QuotaBounds
from knapweedarch.rate_messages import EndpointRates
from knapweedarch.relay_client import RelayClient
from knapweedarch.relay_messages import EndpointLoad
from knapweedarch.relayed_parts import RelayedParts
from knapweedarch.repeat_budget import RepeatLimits
from knapweedarch.router_paths import RouterPaths
from knapweedarch.settings import Address, seed_addresses
from knapweedarch.state import EndpointEntry
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import Clock, Timers
from knapweedarch.usage_messages import UsageReport

CLOSE_EXPIRED_INTERVAL_S = 0.5
LOADS_INTERVAL_S = 0.05
USAGE_INTERVAL_S = 0.25
GAUGES_INTERVAL_S = 1.0
# A router that has just started is not ready without an endpoint for this long.
FIRST_ENDPOINT_WAIT_S = 4.0


@attrs.frozen(kw_only=True)
class ProxySettings:
    """Settings of a proxy.

    Attributes:
        name: Name of this proxy.
        data_centre: Data centre of the instance.
        credential: Secret shared by the system's own processes.
        seeds: Members of the control group to contact first.
        listen: Address for callers.
        ready: Address of the load balancer's readiness checks.
        ready_path: Path of the readiness check.
        metrics: Address from which metrics are scraped.
        distances_s: One-way delay to each data centre in seconds.
        repeats: Limit of repeats for all proxies together.
        stop_s: Time in seconds from the stop signal until the process is
            killed.
        tunnels: Address at which other routers ask for connections to
            endpoints; None if it opens none.
        weights_limit_s: Time in seconds after new weights were named, after
            which no request may start on older ones.
        ready_lag_s: Time in seconds from a failed readiness check until the
            load balancer sends no more callers here.
        refuses_overload: Whether requests are refused that would be late as
            this process lacks processor time.
        quota_bounds: Bound of what customers with quotas may use.
        caller_bounds: What callers may hold together.
        learnt_capacity: Whether the speeds and limits of endpoints that are
            learnt from answers enter the choice among them.
        fair_admission: Whether the runners are divided between customers and
            priorities when they cannot serve everything.
    """

    name: str
    data_centre: str
    credential: str = attrs.field(repr=False)
    seeds: tuple[Address, ...]
    listen: Address
    ready: Address
    ready_path: str
    metrics: Address
    distances_s: dict[str, float] = attrs.field(factory=dict)
    repeats: RepeatLimits = attrs.field(factory=RepeatLimits)
    stop_s: float = 8.0
    tunnels: Address | None = None
    weights_limit_s: float = 8.0
    ready_lag_s: float = 2.5
    refuses_overload: bool = False
    quota_bounds: QuotaBounds = attrs.field(factory=QuotaBounds)
    caller_bounds: CallerBounds = attrs.field(factory=CallerBounds)
    learnt_capacity: bool = False
    fair_admission: bool = False


class Proxy:
    """Proxy process: listeners, lease, endpoints and relayed loads and parts.

    Attributes:
        stopped: Set when the proxy has drained after a stop signal.
        guard: What the listeners of the process share.
    """

    def __init__(
        self,
        settings: ProxySettings,
        dialect: Dialect,
        pool: OutboundPool,
        identity_port: IdentityPort,
        clock: Clock,
        metrics: Metrics,
    ):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._timers = Timers(clock)
        self._endpoints: dict[str, Endpoint] = {}
        self._draining = False
        self._knew_endpoint = False
        self._started_at = clock.now()
        self.stopped = anyio.Event()
        incarnation = secrets.token_hex(8)
        self._control = control.create_control_client(
            seed_addresses(settings.seeds),
            settings.credential.encode(),
            clock,
            on_changed=lambda: self._keeper.renew_soon(),
        )
        self._keeper = LeaseKeeper(
            *(settings.name, incarnation, self._control, clock, metrics)
        )
        self._keeper.on_endpoints = self._set_endpoints
        self._keeper.on_deployment = self._set_deployment
        self._keeper.on_routers = self._set_routers
        self._keeper.on_members = self._set_members
        self._keeper.on_weights = self._set_weights
        self._keeper.on_granted = self._on_lease_granted
        self._paths = RouterPaths(
            *(settings.name, settings.credential.encode(), self._control),
            *(clock, metrics, lambda: self._attempts.active_addresses),
            self._on_paths_lost,
        )
        pool.connect = self._paths.connect
        self._keeper.lacks_paths = lambda: self._paths.is_cut
        self._endpoint_limits = create_endpoint_limits(int(incarnation, 16))
        self._guard = create_crash_guard(int(incarnation, 16))
        self._pool = pool
        self._index = PartsIndex()
        chooser = EndpointChooser(
            ChoiceConfig(
                distance_s=settings.distances_s,
                weights_limit_s=settings.weights_limit_s,
                learnt_capacity=settings.learnt_capacity,
            ),
            *(self._index, int(incarnation, 16)),
        )
        self._relay = RelayClient(
            *(settings.name, settings.data_centre),
            *(settings.credential.encode(), seed_addresses(settings.seeds)),
            RelayedParts(self._index, chooser),
            self._receive_loads,
        )
        self._origins = OriginClient(
            *(self._relay, self._control, clock, metrics)
        )
        identities = EndpointIdentities(
            *(identity_port, clock, metrics, lambda: self._keeper.heard_at)
        )
        self._fair: FairPlacement | None = None
        if settings.fair_admission:
            self._fair = FairPlacement(
                *(create_fair_admission(int(incarnation, 16)), chooser),
                *(clock, metrics),
            )
        self._attempts = Attempts(
            clock=clock,
            metrics=metrics,
            dialect=dialect,
            pool=self._pool,
            chooser=chooser,
            index=self._index,
            guard=self._guard,
            endpoint_limits=self._endpoint_limits,
            endpoint_waits=create_endpoint_waits(int(incarnation, 16)),
            origins=self._origins,
            identities=identities,
            limits=settings.repeats,
            start_refusal=self._start_refusal,
            started_at=clock.now(),
            fair=self._fair,
        )
        self._relay.on_usage = self._receive_usage
        self._relay.on_rates = self._receive_rates
        self._quarantine = QuarantineClient(
            settings.name, self._guard, self._relay, clock, metrics
        )
        self._capacities = CapacityClient(chooser, self._relay, clock, metrics)
        self._gateway = ProxyGateway(
            *(dialect, self._attempts, clock, metrics, self._start_refusal)
        )
        self._gateway.quotas = self._quotas = QuotaClient(
            *(settings.quota_bounds, self._relay),
            *(settings.credential.encode(), clock, metrics),
        )
        self._quotas.set_members(seed_addresses(settings.seeds))
        self.guard = CallerGuard(settings.caller_bounds, metrics)
        self._server = InboundServer(
            *(self._gateway.handle, clock, lambda: self._gateway.limits),
            on_dropped=self._count_dropped,
            guard=self.guard,
            max_connections=settings.caller_bounds.max_connections,
        )
        self._gateway.is_stopping = lambda: self._server.refusing
        self._overload = create_overload_control(
            LOADS_INTERVAL_S, int(incarnation, 16)
        )
        if settings.refuses_overload:
            self._gateway.is_overloaded = self._overload.refuses
            self._gateway.unread_s = lambda: self._overload.unread_s
        self._ready_server = InboundServer(
            *(self._answer_ready, clock, lambda: CHECK_LIMITS),
            guard=self.guard,
            max_connections=settings.caller_bounds.max_side_connections,
        )

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until SIGTERM or SIGINT, then drains and returns."""
        self._keeper.subscribe(self._timers)
        self._timers.every(
            CLOSE_EXPIRED_INTERVAL_S, self._close_expired_connections
        )
        PauseDetector(self._timers)
        self._timers.every(LOADS_INTERVAL_S, self._report_loads)
        if self._fair is not None:
            self._timers.every(LOOK_INTERVAL_S, self._fair.refresh)
            self._timers.every(USAGE_INTERVAL_S, self._report_usage)
        self._quarantine.subscribe(self._timers)
        if self._settings.learnt_capacity:
            self._capacities.subscribe(self._timers)
        self._paths.subscribe(self._timers)
        self._timers.every(GAUGES_INTERVAL_S, self._update_gauges)
        settings = self._settings
        listen, ready = settings.listen, settings.ready
        async with (
            anyio.create_task_group() as group,
            self._control,
            self._pool,
            self._paths,
        ):
            self._group = group
            group.start_soon(self._timers.run)
            group.start_soon(self._keeper.run)
            group.start_soon(self._relay.run)
            group.start_soon(self._origins.run)
            group.start_soon(self._quotas.run)
            await group.start(self._server.serve, listen.host, listen.port)
            await group.start(self._ready_server.serve, ready.host, ready.port)
            if settings.tunnels is not None:
                self._keeper.tunnels = await self._paths.serve(
                    settings.tunnels, group
                )
            task_status.started(listen.port)
            await self._drain_on_signal()
            group.cancel_scope.cancel()
        self.stopped.set()

    def _on_paths_lost(self) -> None:
        """Drops what belongs to the direct paths to endpoints."""
        self._attempts.chooser.forget_refused_connections()
        self._group.start_soon(self._pool.close_idle)
        self._keeper.renew_soon()

    def add_seeds(self, seeds: Sequence[Address]) -> None:
        """Adds the seeds of changed settings to the known members."""
        self._control.add_members(seed_addresses(seeds))

    async def _drain_on_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
            self._draining = True
            self._server.closing = True
            log("drain_started", active=self._server.active)
            await anyio.sleep(self._settings.ready_lag_s)
            # A request accepted later than this could not be finished in time.
            self._server.stop_accepting()
            limit_s = self._settings.stop_s - self._settings.ready_lag_s - 0.5
            async with anyio.create_task_group() as group:
                group.start_soon(self._server.drain, limit_s)
                group.start_soon(self._paths.drain, limit_s)
            log("drain_ended", active=self._server.active)

    def _count_dropped(self, cause: DropCause) -> None:
        self._metrics.count(f"dropped.{cause.value}")

    def _close_expired_connections(self, now: float) -> None:
        self._group.start_soon(self._pool.close_expired)

    def _set_members(self, members: Sequence[control.MemberAddress]) -> None:
        self._control.set_members(members)
        self._relay.set_members(members)
        self._quotas.set_members(members)

    def _set_routers(self, count: int) -> None:
        self._attempts.set_router_count(count)

    def _set_endpoints(self, entries: Sequence[EndpointEntry]) -> None:
        for entry in entries:
            endpoint = entry.endpoint
            self._endpoints[endpoint.id] = endpoint
            log(
                "endpoint_known",
                endpoint=endpoint.id,
                status=endpoint.status.value,
                weights=endpoint.weights_version,
                software=endpoint.software_version,
                revision=entry.revision,
            )
        self._attempts.set_endpoints(list(self._endpoints.values()))

    def _set_deployment(self, deployment: Deployment) -> None:
        self._gateway.set_deployment(deployment)
        self._overload.set_deployment(deployment)
        self._quotas.set_customers(deployment.customers)
        self._server.apply_limits()
        self._attempts.set_deployment(deployment)
        log("deployment_applied", version=deployment.version)

    def _report_loads(self, now: float) -> None:
        self._overload.tick(now)
        self._relay.report_loads(self._attempts.chooser.own_loads())
        self._origins.report()
        self._endpoint_limits.is_shared = self._relay.is_subscribed
        if self._endpoint_limits.is_shared and (
            rates := self._endpoint_limits.take_rates()
        ):
            self._relay.send_reports(rates)

    def _receive_loads(self, loads: Sequence[EndpointLoad]) -> None:
        self._attempts.chooser.set_peer_loads(loads, self._clock.now())

    def _receive_rates(self, rates: EndpointRates) -> None:
        self._endpoint_limits.receive(rates, self._clock.now())

    def _report_usage(self, now: float) -> None:
        report = self._fair.admission.usage.take_report()
        if report is not None and self._relay.member_accepts(UsageReport):
            self._relay.send_reports(report)

    def _receive_usage(self, report: UsageReport) -> None:
        if self._fair is not None:
            self._fair.admission.usage.receive(report, self._clock.now())

    def _update_gauges(self, now: float) -> None:
        """Sets the gauges that show how current this proxy's state is."""
        gauge = self._metrics.gauge
        left_s = self._keeper.lease.left_s(now)
        gauge("lease.left_s", left_s)
        gauge("lease.held", int(left_s > 0))
        gauge("deployment.version", self._gateway.deployment.version)
        gauge("endpoints.active", self._attempts.active_endpoint_count)
        gauge("requests.running", self._server.active)
        gauge("loop.delay_s", self._overload.standing_s)
        self.guard.update_gauges()
        gauge("loads.age_s", self._attempts.chooser.peer_loads_age_s(now))
        gauge("relay.subscribed", int(self._relay.is_subscribed))
        self._quotas.update_gauges()

    def _set_weights(self, weights: dict[str, int]) -> None:
        self._attempts.chooser.set_target_versions(weights, self._clock.now())
        log("weights_wanted", weights=weights)

    def _on_lease_granted(self) -> None:
        if self._start_refusal() is None:
            self._gateway.started.set()

    def _start_refusal(self) -> RefusalReason | None:
        """Returns why no request may be sent now, or None if it may."""
        if not self._keeper.lease.holds(self._clock.now()):
            return RefusalReason.LEASE_EXPIRED
        if not self._gateway.ready:
            return RefusalReason.CONTROL_UNAVAILABLE
        return None

    def _lacks_first_endpoint(self) -> bool:
        """Returns whether no endpoint is known yet after the start.

        Callers would only be refused. Once an endpoint was known, or if there
        is none for a time, readiness does not depend on endpoints: other
        routers know no more.
        """
        if self._attempts.active_endpoint_count:
            self._knew_endpoint = True
        waited_s = self._clock.now() - self._started_at
        return not self._knew_endpoint and waited_s < FIRST_ENDPOINT_WAIT_S

    async def _answer_ready(self, req: Request, responder: Responder) -> None:
        if req.path != self._settings.ready_path:
            status = 404
        elif (
            self._draining
            or self._start_refusal()
            or self._lacks_first_endpoint()
        ):
            status = 503
        else:
            status = 200
        await responder.send(Answer(status=status))


def create_proxy(
    settings: ProxySettings,
    dialect: Dialect,
    pool: OutboundPool,
    identity_port: IdentityPort,
    clock: Clock,
    metrics: Metrics,
) -> Proxy:
    """Creates a proxy.

    Args:
        settings: Settings.
        dialect: Codec of the platform's headers.
        pool: Connections to endpoints.
        identity_port: Asks endpoints who they are.
        clock: Time source.
        metrics: Metrics of the process.
    """
    return Proxy(settings, dialect, pool, identity_port, clock, metrics)
