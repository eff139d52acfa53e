"""Orders to runners: the entitlement to send them and the weights roll-out.

Only one router at a time sends orders. Its entitlement is valid as long as
its lease is renewed without a lapse, and the leader grants it to another
router only after that lease has expired on the clocks of both the leader and
the router. A fencing number alone is not sufficient, because some endpoints
ignore it.
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

# Time after which the sender gives up an order, including one that it sent
# immediately before its lease expired.
ORDER_TIMEOUT_S = 5.0

# Time after which a load that has not ended no longer counts as in progress.
LOAD_TIMEOUT_S = 10.0

# Delay before the next order to a runner whose last order failed.
FAILED_ORDER_DELAY_S = 2.0


@attrs.define
class Entitlement:
    """Entitlement of this router to send orders.

    Attributes:
        fencing_number: Number sent with each order.
        epoch: Epoch of the lease under which the entitlement was acquired.
        acquired_at: Time of the acquisition on this router's clock, in
            seconds.
    """

    fencing_number: int = 0
    epoch: int = -1
    acquired_at: float = 0.0

    def record_grant(self, number: int, epoch: int, now: float) -> None:
        """Records that the leader granted the entitlement."""
        self.fencing_number, self.epoch, self.acquired_at = number, epoch, now

    def is_held(self, lease: Lease, now: float) -> bool:
        """Returns whether this router still holds the entitlement."""
        return lease.holds(now) and lease.epoch == self.epoch

    def may_order(self, endpoint: Endpoint, lease: Lease, now: float) -> bool:
        """Returns whether an order may be sent to an endpoint now.

        An endpoint that ignores fencing numbers gets orders only once those of
        the previous holder can no longer be in transit.
        """
        if not self.is_held(lease, now):
            return False
        handover_over = now >= self.acquired_at + ORDER_TIMEOUT_S
        return endpoint.checks_fencing or handover_over


@attrs.frozen
class LoadOrder:
    """Order for a runner to load weights.

    Attributes:
        endpoint: The runner.
        model: Model name.
        version: Weights version.
    """

    endpoint: Endpoint
    model: str
    version: str


class Rollout:
    """Plans orders until runners have the weights versions in the rules.

    The number of concurrent loads is limited, because the throughput of the
    weight store is limited and a loading runner serves no requests.
    """

    def __init__(self):
        self._loading: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}
        self._versions: dict[str, str] = {}

    def next_orders(
        self, rules: Rules, endpoints: Sequence[Endpoint], now: float
    ) -> list[LoadOrder]:
        """Returns the orders to send now.

        Models with the shortest first-token limit, which serve guests, come
        first.
        """
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
        # Runners that have the version are included, because `plan_loads`
        # limits the loads to a third of the runners that it is given.
        eligible = [
            r
            for r in runners
            if r.id not in self._loading
            and self._paused_until.get(r.id, 0.0) <= now
            and (
                r.weights_version == version
                or _lacks_wanted_version(r, self._versions)
            )
        ]
        chosen = plan_loads(eligible, model, version, len(self._loading))
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
        """Records an order that was refused, unconfirmed or not sent.

        The next order to its runner is delayed.
        """
        self._loading.pop(order.endpoint.id, None)
        self._paused_until[order.endpoint.id] = now + FAILED_ORDER_DELAY_S

    def is_needed(self, rules: Rules, endpoints: Sequence[Endpoint]) -> bool:
        """Returns whether any active runner lacks the version in the rules."""
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
    """Returns whether a runner has none of the versions required of it.

    A runner has one version. If its models require different ones, any of
    them is accepted; otherwise the runner would alternate between them.
    """
    wanted = {versions[model] for model in runner.serves if model in versions}
    return bool(wanted) and runner.weights_version not in wanted
