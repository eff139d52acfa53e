"""Renews a router's lease and applies the changes in its grants."""

import math
import random
from collections.abc import Awaitable, Callable, Sequence

import anyio

from knapweedarch.control import ControlClient, Grant, MemberAddress, Renew
from knapweedarch.control_messages import members_digest, unpack_in_steps
from knapweedarch.deployments import Deployment
from knapweedarch.exceptions import ControlError
from knapweedarch.leases import RENEW_INTERVAL_S, Lease
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.state import EndpointEntry
from knapweedarch.steps import run_steps
from knapweedarch.timers import Clock, Timers

RENEW_TIMEOUT_S = 1.0
EXPIRY_CHECK_INTERVAL_S = 0.2


class LeaseKeeper:
    """Renews the lease at least every `RENEW_INTERVAL_S` and after a change.

    Attributes:
        lease: The lease.
        heard_at: When the renewal was sent that the last grant answered, in
            seconds on the clock.
        rules_version: Version of the rules last applied.
        on_rules: Called with version and text of new rules; raises
            `ControlError` if they cannot be applied.
        on_endpoints: Called with changed endpoints.
        on_routers: Called with the number of routers that hold a lease when
            it changes.
        deployment_version: Version of the routing configuration last applied.
        on_deployment: Called with a new routing configuration.
        on_weights: Called with the requested weights versions, by model, when
            they change.
        on_members: Called with the addresses of the members when they change.
        on_granted: Called after each grant.
        tunnels: Where this router connects others to endpoints; None if it
            does not.
        lacks_paths: Returns whether this router reaches no endpoint.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        control: ControlClient,
        clock: Clock,
        metrics: Metrics,
    ):
        self.lease = Lease()
        self.heard_at = -math.inf
        self.rules_version = 0
        self.deployment_version = 0
        self.on_members: Callable[[Sequence[MemberAddress]], None] = (
            lambda members: None
        )
        self.on_granted: Callable[[], None] = lambda: None
        self.tunnels: MemberAddress | None = None
        self.lacks_paths: Callable[[], bool] = lambda: False
        self.on_weights: Callable[[dict[str, int]], None] = lambda new: None
        self._weights: dict[str, int] = {}
        self.on_deployment: Callable[[Deployment], None] = lambda new: None
        self.on_rules: Callable[[int, str], Awaitable[None]]
        self.on_endpoints: Callable[[Sequence[EndpointEntry]], None]
        self.on_routers: Callable[[int], None]
        self._name = name
        self._incarnation = incarnation
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(incarnation)
        self._revision = 0
        self._applied = 0
        self._routers = 0
        self._members_digest = 0
        self._was_held = False
        self._renewal_due = anyio.Event()

    def subscribe(self, timers: Timers) -> None:
        """Registers the periodic renewal and expiry check with the timers."""
        # Jitter: routers that restart together would otherwise renew at the
        # same moments permanently.
        period = RENEW_INTERVAL_S * self._random.uniform(0.8, 1.0)
        timers.every(period, lambda now: self.renew_soon())
        timers.every(EXPIRY_CHECK_INTERVAL_S, self._check_expiry)

    def renew_soon(self) -> None:
        """Renews as soon as a renewal in progress has ended."""
        self._renewal_due.set()

    async def run(self) -> None:
        """Renews until cancelled."""
        while True:
            self._renewal_due = anyio.Event()
            try:
                changed = await self._renew()
            except ControlError as exc:
                self._metrics.count("lease.renewal_failed")
                log("lease_renewal_failed", reason=exc.reason)
                await anyio.sleep(self._random.uniform(0.02, 0.1))
                continue
            # After an awaited change renew at once: the leader waits for the
            # confirmation that this router has applied it.
            if not changed:
                await self._renewal_due.wait()

    async def _renew(self) -> bool:
        """Renews the lease; returns whether changes are yet to be confirmed."""
        sent_at = self._clock.now()
        grant = await self._control.request(
            Renew(
                self._name,
                self._incarnation,
                self.rules_version,
                self._revision,
                self._applied,
                self.deployment_version,
                self._members_digest,
                self.tunnels,
                self.lacks_paths(),
                reads_unshared=True,
            ),
            RENEW_TIMEOUT_S,
        )
        if grant.applied < self._applied:
            # Happens only if the group lost its log; its state is older than
            # the one applied here.
            log("grant_older", applied=self._applied, granted=grant.applied)
            return False
        changed = await self._apply_grant(grant)
        self.heard_at = sent_at
        self.lease.granted(sent_at, grant.duration_s, self._clock.now())
        self._metrics.count("lease.renewed")
        self.on_granted()
        return changed

    async def _apply_grant(self, grant: Grant) -> bool:
        if grant.rules_text is not None:
            await self.on_rules(grant.rules_version, grant.rules_text)
            self.rules_version = grant.rules_version
        if grant.endpoints:
            self.on_endpoints(grant.endpoints)
        if grant.routers != self._routers:
            self._routers = grant.routers
            self.on_routers(grant.routers)
        if grant.deployment is not None:
            deployment = await run_steps(unpack_in_steps(grant.deployment))
            self.on_deployment(deployment)
            self.deployment_version = deployment.version
        if grant.weights != self._weights:
            self._weights = grant.weights
            self.on_weights(grant.weights)
        if grant.members:
            self.on_members(grant.members)
            self._members_digest = members_digest(grant.members)
        self._revision = grant.revision
        self._applied = grant.applied
        has_changes = (
            grant.rules_text is not None or grant.endpoints or grant.deployment
        )
        return bool(grant.is_awaited and has_changes)

    def _check_expiry(self, now: float) -> None:
        held = self.lease.holds(now)
        if held == self._was_held:
            return
        self._was_held = held
        if held:
            log("lease_granted")
        else:
            self._metrics.count("lease.expired")
            log("lease_expired")
