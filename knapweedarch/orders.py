"""Orders to runners: who may give them, and the roll-out of weights.

One router at a time gives orders. Its right lasts as long as its lease runs
without a lapse, and the leader gives it to another router only after that
lease is over at both ends. The fencing number alone would not do, since some
endpoints ignore it.
"""

from collections.abc import Sequence

import attrs

from knapweedarch.leases import Lease
from knapweedarch.models import (
    Endpoint,
    EndpointKind,
    EndpointStatus,
    Rules,
)
from knapweedarch.placement import plan_loads

# An order sent in the last moment of the earlier holder's lease is given up
# by its sender after this time.
ORDER_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 10.0
FAILED_ORDER_DELAY_S = 2.0


@attrs.define
class Entitlement:
    """The right of this router to give orders.

    Attributes:
        fencing_number: Number that goes with each order.
        epoch: Epoch of the lease in which the right was taken.
        taken_at: When it was taken, in seconds.
    """

    fencing_number: int = 0
    epoch: int = -1
    acquired_at: float = 0.0

    def acquire(self, number: int, epoch: int, now: float) -> None:
        """Notes that the leader gave the right to this router."""
        self.fencing_number, self.epoch, self.acquired_at = number, epoch, now

    def is_held(self, lease: Lease, now: float) -> bool:
        """Tells whether the right still belongs to this router."""
        return lease.holds(now) and lease.epoch == self.epoch

    def may_order(self, endpoint: Endpoint, lease: Lease, now: float) -> bool:
        """Tells whether an order may be sent to an endpoint now.

        An endpoint that ignores fencing numbers gets orders only once those of
        the earlier holder can no longer be on their way.
        """
        if not self.is_held(lease, now):
            return False
        handover_over = now >= self.acquired_at + ORDER_TIMEOUT_S
        return endpoint.checks_fencing or handover_over


@attrs.frozen
class LoadOrder:
    """A runner is to load weights.

    Attributes:
        endpoint: The runner.
        model: Model name.
        version: Weights version.
    """

    endpoint: Endpoint
    model: str
    version: str


class Rollout:
    """Brings runners to the weights versions that the rules name.

    Few load at a time: the weight store is limited, and a runner that loads
    serves nobody.
    """

    def __init__(self):
        self._loading: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}
        self._versions: dict[str, str] = {}

    def next_orders(
        self, rules: Rules, endpoints: Sequence[Endpoint], now: float
    ) -> list[LoadOrder]:
        """Returns the orders to give now; models first that guests use."""
        runners = [
            e
            for e in endpoints
            if e.kind is EndpointKind.RUNNER
            and e.status is EndpointStatus.ACTIVE
        ]
        self._versions = _versions(rules)
        self._drop_ended_loads(runners, now)
        orders: list[LoadOrder] = []
        for rule in sorted(rules.models, key=lambda r: r.first_token_s):
            if rule.version:
                orders += self._plan(rule.name, rule.version, runners, now)
        return orders

    def _plan(
        self,
        model: str,
        version: str,
        runners: Sequence[Endpoint],
        now: float,
    ) -> list[LoadOrder]:
        wanted = [
            r
            for r in runners
            if r.id not in self._loading
            and self._paused_until.get(r.id, 0.0) <= now
            and (
                r.weights_version == version
                or _lacks_wanted_version(r, self._versions)
            )
        ]
        chosen = plan_loads(wanted, model, version, len(self._loading))
        by_id = {r.id: r for r in runners}
        for endpoint_id in chosen:
            self._loading[endpoint_id] = now
        return [LoadOrder(by_id[i], model, version) for i in chosen]

    def _drop_ended_loads(
        self, runners: Sequence[Endpoint], now: float
    ) -> None:
        known = {r.id: r for r in runners}
        for endpoint_id, started_at in list(self._loading.items()):
            runner = known.get(endpoint_id)
            done = runner is None or not _lacks_wanted_version(
                runner, self._versions
            )
            if done or now >= started_at + LOAD_TIMEOUT_S:
                del self._loading[endpoint_id]

    def record_failure(self, order: LoadOrder, now: float) -> None:
        """Notes an order that the runner refused or did not confirm."""
        self._loading.pop(order.endpoint.id, None)
        self._paused_until[order.endpoint.id] = now + FAILED_ORDER_DELAY_S

    def is_needed(self, rules: Rules, endpoints: Sequence[Endpoint]) -> bool:
        """Tells whether any runner lacks the version that the rules name."""
        versions = _versions(rules)
        return any(
            _lacks_wanted_version(endpoint, versions)
            for endpoint in endpoints
            if endpoint.kind is EndpointKind.RUNNER
            and endpoint.status is EndpointStatus.ACTIVE
        )


def _versions(rules: Rules) -> dict[str, str]:
    return {rule.name: rule.version for rule in rules.models if rule.version}


def _lacks_wanted_version(runner: Endpoint, versions: dict[str, str]) -> bool:
    """Tells whether a runner holds none of the versions wanted of it.

    A runner has one version. If its models want different ones, any of them
    will do, or it would load one after the other for ever.
    """
    wanted = {versions[model] for model in runner.serves if model in versions}
    return bool(wanted) and runner.weights_version not in wanted
