"""Sends roll-out orders to runners while this router holds the entitlement."""

from collections.abc import Sequence

import anyio

from knapweedarch.adapters import Adapter, LoadWeights
from knapweedarch.control import ControlClient
from knapweedarch.exceptions import ControlError, EndpointError
from knapweedarch.leases import Lease
from knapweedarch.logs import log, traceback_text
from knapweedarch.metrics import Metrics
from knapweedarch.models import Endpoint, Rules
from knapweedarch.orders import Entitlement, LoadOrder, Rollout
from knapweedarch.state import OrdersTaken, TakeOrders
from knapweedarch.timers import Clock

ACQUIRE_TIMEOUT_S = 3.0


class OrderSender:
    """Acquires the entitlement to send orders and sends those due.

    Args:
        incarnation: Incarnation of this router.
        lease: Lease of this router.
        control: Client that requests the entitlement from the leader.
        adapter: Sends the orders to runners.
        clock: Clock of this router.
        metrics: Counts failed orders.
    """

    def __init__(
        self,
        incarnation: str,
        lease: Lease,
        control: ControlClient,
        adapter: Adapter,
        clock: Clock,
        metrics: Metrics,
    ):
        self._incarnation = incarnation
        self._lease = lease
        self._control = control
        self._adapter = adapter
        self._clock = clock
        self._metrics = metrics
        self._entitlement = Entitlement()
        self._rollout = Rollout()
        self._busy = False

    def is_due(self, rules: Rules, endpoints: Sequence[Endpoint]) -> bool:
        """Returns whether weights are missing and no orders are being sent."""
        return not self._busy and self._rollout.is_needed(rules, endpoints)

    async def send_due_orders(
        self, rules: Rules, endpoints: Sequence[Endpoint]
    ) -> None:
        """Sends the orders that are due now and waits for their answers."""
        self._busy = True
        try:
            if not await self._acquire_entitlement():
                return
            orders = self._rollout.next_orders(
                rules, endpoints, self._clock.now()
            )
            async with anyio.create_task_group() as group:
                for order in orders:
                    group.start_soon(self._send_load_order, order)
        except ControlError as exc:
            log("orders_not_taken", reason=exc.reason)
        finally:
            self._busy = False

    async def _acquire_entitlement(self) -> bool:
        """Acquires the entitlement if needed; returns whether it is held."""
        # Read before the request: if the lease lapses while the request is in
        # progress, the granted entitlement is not valid.
        epoch = self._lease.epoch
        if self._entitlement.is_held(self._lease, self._clock.now()):
            return True
        match await self._control.submit(
            TakeOrders(self._incarnation), ACQUIRE_TIMEOUT_S
        ):
            case OrdersTaken(fencing_number=number):
                now = self._clock.now()
                self._entitlement.record_grant(number, epoch, now)
                log("orders_taken", fencing_number=number)
                return self._entitlement.is_held(self._lease, now)
        return False

    async def _send_load_order(self, order: LoadOrder) -> None:
        if not self._entitlement.may_order(
            order.endpoint, self._lease, self._clock.now()
        ):
            self._rollout.record_failure(order, self._clock.now())
            return
        log("load_ordered", endpoint=order.endpoint.id, version=order.version)
        try:
            await self._adapter.order(
                order.endpoint,
                LoadWeights(order.model, order.version),
                self._entitlement.fencing_number,
            )
        except EndpointError as exc:
            self._record_failure(order, exc.reason)
        except Exception as exc:
            # A fault in one order must end neither the router nor the others.
            self._record_failure(order, traceback_text(exc))

    def _record_failure(self, order: LoadOrder, reason: str) -> None:
        self._metrics.count("orders.failed")
        log("order_failed", endpoint=order.endpoint.id, reason=reason)
        self._rollout.record_failure(order, self._clock.now())
