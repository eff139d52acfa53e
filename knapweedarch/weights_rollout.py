"""Brings every runner to the weights that are named for its model.

The leading member gives the orders. Its term is the fencing number. Not every
runner checks the number, so a new leader waits until the orders of its
predecessor cannot be taken for its own, and the leader lease is checked right
before each order.
"""

from typing import Protocol

import anyio
import anyio.abc
import attrs

from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log
from knapweedarch.member import Member
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.timers import Clock, Timers

CHECK_S = 0.1
LOADS_AT_ONCE = 3
# A runner that did not reach its weights in this time is ordered again.
LOAD_LIMIT_S = 4.0
POLL_S = 0.2
# A load takes about this long; earlier reports tell nothing new.
FIRST_POLL_S = 0.5
FAILED_PAUSE_S = 0.5


@attrs.frozen
class RunnerState:
    """What a runner reports of itself.

    Attributes:
        weights: Weights version by model.
        busy: Whether it carries out an order.
        orders_accepted: Orders accepted since its start.
    """

    weights: dict[str, int]
    busy: bool
    orders_accepted: int


@attrs.frozen
class LoadWeightsOrder:
    """An order to load weights.

    Attributes:
        model: The model.
        version: Version to load.
        owner: Name of the member that gives the order.
        fencing_number: Term of that member.
        expected_orders: Orders that the runner must have accepted before; an
            order that arrives late is thereby refused.
    """

    model: str
    version: int
    owner: str
    fencing_number: int
    expected_orders: int


class RunnerOrders(Protocol):
    """Calls to runners, translated by the platform's adapter."""

    async def report(self, endpoint: Endpoint) -> RunnerState:
        """Asks a runner for its state.

        Raises:
            ExchangeError: It did not answer.
        """

    async def load(self, endpoint: Endpoint, order: LoadWeightsOrder) -> bool:
        """Gives an order; tells whether the runner accepted it.

        Raises:
            ExchangeError: It did not answer; it may still carry it out.
        """


class WeightsRollout:
    """Orders loads while this member leads."""

    def __init__(
        self,
        member: Member,
        name: str,
        orders: RunnerOrders,
        clock: Clock,
        take_over_s: float,
    ):
        self._member = member
        self._name = name
        self._orders = orders
        self._clock = clock
        self._take_over_s = take_over_s
        self._loading: set[str] = set()
        self._paused_until: dict[str, float] = {}
        self._term = 0
        self._may_order_at = 0.0
        self._group: anyio.abc.TaskGroup | None = None

    def start(self, group: anyio.abc.TaskGroup, timers: Timers) -> None:
        """Subscribes to the timers; orders run in the task group."""
        self._group = group
        timers.every(CHECK_S, self._check)

    def _check(self, now: float) -> None:
        if self._member.leads_until() <= now:
            self._term = 0
            return
        if self._term != self._member.term:
            self._term = self._member.term
            self._may_order_at = now + self._take_over_s
        if now < self._may_order_at:
            return
        for endpoint in self._due(now):
            if len(self._loading) >= self._limit():
                return
            self._loading.add(endpoint.id)
            self._group.start_soon(self._bring_up, endpoint)

    def _limit(self) -> int:
        """Most loads at once: the store is limited, and others must serve."""
        runners = sum(1 for _ in self._runners())
        return max(1, min(LOADS_AT_ONCE, runners // 3))

    def _runners(self) -> list[Endpoint]:
        return [
            entry.endpoint
            for entry in self._member.state.endpoints.values()
            if entry.endpoint.kind is EndpointKind.RUNNER
            and entry.endpoint.status
            in (EndpointStatus.ACTIVE, EndpointStatus.LOADING)
        ]

    def _due(self, now: float) -> list[Endpoint]:
        due = [
            e
            for e in self._runners()
            if e.id not in self._loading
            and self._paused_until.get(e.id, 0.0) <= now
            and (self._wanted(e) or e.status is EndpointStatus.LOADING)
        ]
        # Those that were taken out of use come first.
        return sorted(due, key=lambda e: e.status is EndpointStatus.ACTIVE)

    def _wanted(self, endpoint: Endpoint) -> tuple[str, int] | None:
        """Returns model and version if a runner has older weights."""
        for model, version in self._member.state.weights.items():
            held = int(endpoint.weights_version or 0)
            if model in endpoint.serves and held < version:
                return model, version
        return None

    async def _bring_up(self, endpoint: Endpoint) -> None:
        """Takes a runner out of use, orders the load and waits for its end."""
        try:
            with anyio.move_on_after(LOAD_LIMIT_S):
                await self._load(endpoint)
        except ExchangeError as exc:
            log(
                "order_failed",
                endpoint=endpoint.id,
                reason=f"{exc.reason}: {exc}",
            )
            await self._member.leader.change_status(
                endpoint, EndpointStatus.ACTIVE
            )
        finally:
            pause = self._clock.now() + FAILED_PAUSE_S
            self._paused_until[endpoint.id] = pause
            self._loading.discard(endpoint.id)

    async def _load(self, endpoint: Endpoint) -> None:
        await self._member.leader.change_status(
            endpoint, EndpointStatus.LOADING
        )
        term = self._term
        state = await self._orders.report(endpoint)
        ordered_at = 0.0
        while True:
            wanted = self._wanted(endpoint)
            if wanted is None or state.weights.get(wanted[0], 0) >= wanted[1]:
                await self._finish(endpoint, state)
                return
            if not self._may_order(term):
                return
            if not state.busy and not ordered_at:
                ordered_at = self._clock.now()
                await self._order(endpoint, *wanted, state)
                await anyio.sleep(FIRST_POLL_S)
            else:
                await anyio.sleep(POLL_S)
            state = await self._orders.report(endpoint)

    def _may_order(self, term: int) -> bool:
        now = self._clock.now()
        leads = self._member.leads_until() > now
        return leads and term == self._member.term and now > self._may_order_at

    async def _order(
        self, endpoint: Endpoint, model: str, version: int, state: RunnerState
    ) -> None:
        order = LoadWeightsOrder(
            *(model, version, self._name, self._member.term),
            state.orders_accepted,
        )
        accepted = await self._orders.load(endpoint, order)
        log(
            "load_ordered",
            endpoint=endpoint.id,
            model=model,
            version=version,
            fencing_number=order.fencing_number,
            expected_orders=order.expected_orders,
            accepted=accepted,
        )

    async def _finish(self, endpoint: Endpoint, state: RunnerState) -> None:
        """Puts a runner back into use with the weights that it reports."""
        versions = [str(v) for m, v in state.weights.items()]
        await self._member.leader.loaded(
            attrs.evolve(
                endpoint,
                weights_version=versions[0] if versions else "",
                status=EndpointStatus.ACTIVE,
            )
        )
