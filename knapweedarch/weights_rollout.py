"""Rolls out the target weights of each model to all of its runners.

The leading member sends the orders, with its term as the fencing number. Not
every runner checks the number, so a new leader waits until the last orders of
its predecessor have expired, and the leader lease is checked immediately
before each order. Orders are sent only to runners whose status in the log is
`loading`, so a new leader can derive the latest time of an earlier order.
"""

import math
from typing import Protocol

import anyio
import anyio.abc
import attrs

from knapweedarch.deployments import models_of
from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log, traceback_text
from knapweedarch.member import Member
from knapweedarch.models import (
    Endpoint,
    EndpointKind,
    EndpointStatus,
    RetryReason,
)
from knapweedarch.task_groups import FATAL_ERRORS
from knapweedarch.timers import Clock, Timers

CHECK_INTERVAL_S = 0.05
# Largest share of the runners that load at once, as a divisor. More loads would
# leave too few runners in use, and each would take longer, because the
# throughput of the weight store is limited.
MAX_LOADS_DIVISOR = 3
# Fraction of the time limit of a roll-out in which it is planned to end. The
# rest allows for a new leader and for runners that do not answer.
PLANNED_FRACTION = 0.5
# Assumed and limited duration of one update, from the start of its drain until
# the runner is in use again.
UPDATE_S = 1.2
UPDATE_RANGE_S = (0.5, 4.0)
# Weight of the newest update in the average duration.
UPDATE_AVERAGING = 0.2
# Loads for which one more runner drains, so that the next load can start at
# once. Under a low load as many drain as load, at least three.
LOADS_PER_EXTRA_DRAIN = 3
MIN_LOW_LOAD_EXTRA_DRAINS = 3
# Mean number of requests per runner below which the runners count as lightly
# loaded.
LOW_LOAD_REQUESTS_PER_RUNNER = 2.5
# Maximum time to wait for running requests. Requests still running are then
# aborted; a resumable stream continues on another runner. The first runners get
# more time, because a stream resumed with old weights would be aborted again.
DRAIN_TIMEOUT_S = 0.6
FIRST_DRAIN_TIMEOUT_S = 0.9
LOW_LOAD_DRAIN_TIMEOUT_S = 1.5
# Maximum time to wait for the heartbeat that reports the loaded weights. The
# runner is then used again, and gets another order if it is still outdated.
LOAD_TIMEOUT_S = 2.0
# Maximum time to wait for requests queued in a runner. An order makes the
# runner refuse them, and each refusal then uses up part of the repeat budget.
QUEUE_TIMEOUT_S = 1.0
# Interval at which the queue of a runner is checked. Reports of a runner are up
# to a few hundred milliseconds old.
QUEUE_POLL_INTERVAL_S = 0.15
# A new leader may not send orders immediately. It begins to drain runners this
# long before it may, so that the first orders follow without a delay.
EARLY_DRAIN_S = 1.2
# Interval at which reported loads and heartbeats are checked.
POLL_INTERVAL_S = 0.03
# Delay from a status change until loads reported by routers reflect it.
LOAD_REPORT_LAG_S = 0.25
# Minimum time from the end of an update of a runner to its next one.
RETRY_DELAY_S = 0.5


@attrs.frozen
class ModelWeights:
    """A weights version of a model."""

    model: str
    version: int


@attrs.frozen
class RunnerState:
    """State reported by a runner.

    Attributes:
        weights: Version of the loaded weights, by model.
        busy: Whether the runner is executing an order.
        queued: Number of requests that it has not started.
        orders_accepted: Number of orders accepted since its start.
    """

    weights: dict[str, int]
    busy: bool
    queued: int
    orders_accepted: int


@attrs.frozen
class LoadWeightsOrder:
    """Order to load weights.

    Attributes:
        model: Model name.
        version: Version to load.
        owner: Name of the member that sends the order.
        fencing_number: Term in which that member leads.
        expected_orders: Number of orders that the runner must have accepted
            before, so that it refuses an order that arrives late.
    """

    model: str
    version: int
    owner: str
    fencing_number: int
    expected_orders: int


class RunnerOrders(Protocol):
    """Calls to runners, implemented by the platform adapter."""

    async def report(self, endpoint: Endpoint) -> RunnerState:
        """Requests the state of a runner.

        Raises:
            ExchangeError: The runner did not answer.
        """

    async def load(self, endpoint: Endpoint, order: LoadWeightsOrder) -> bool:
        """Sends an order; returns whether the runner accepted it.

        Raises:
            ExchangeError: The runner did not answer; it may still execute the
                order.
        """


class WeightsRollout:
    """Sends load orders while this member leads.

    Args:
        member: This member.
        name: Name of the member, which its orders contain.
        orders: Calls to runners.
        clock: Clock of the process.
        takeover_delay_s: Seconds from the latest time of an order by another
            leader until that order has expired.
        limit_s: Seconds within which all runners must have new weights.
    """

    def __init__(
        self,
        member: Member,
        name: str,
        orders: RunnerOrders,
        clock: Clock,
        takeover_delay_s: float,
        limit_s: float,
    ):
        self._member = member
        self._name = name
        self._orders = orders
        self._clock = clock
        self._takeover_delay_s = takeover_delay_s
        self._planned_s = PLANNED_FRACTION * limit_s
        self._update_s = UPDATE_S
        self._drained: set[str] = set()
        self._update_ended = anyio.Event()
        self._updating: set[str] = set()
        self._paused_until: dict[str, float] = {}
        self._term = 0
        self._reactivated_loading = False
        self._may_order_at = 0.0
        self._task_group: anyio.abc.TaskGroup | None = None

    def start(self, group: anyio.abc.TaskGroup, timers: Timers) -> None:
        """Registers the periodic check; orders run in the task group."""
        self._task_group = group
        timers.every(CHECK_INTERVAL_S, self._check)

    def _check(self, now: float) -> None:
        """Starts the updates that are due, if this member leads."""
        if self._member.leads_until() <= now:
            self._term = 0
            return
        if self._term != self._member.term:
            self._term = self._member.term
            last_at = self._member.leader.endpoints.last_loading_at()
            self._may_order_at = last_at + self._takeover_delay_s
            self._reactivated_loading = False
            self._task_group.start_soon(self._reactivate_loading)
        if (
            not self._reactivated_loading
            or now < self._may_order_at - EARLY_DRAIN_S
        ):
            return
        max_out = min(
            self._max_loads() + self._extra_drains(), self._max_out_of_use()
        )
        for endpoint in self._due(now):
            if len(self._updating) >= max_out:
                return
            self._updating.add(endpoint.id)
            self._task_group.start_soon(self._update_runner, endpoint)

    async def _reactivate_loading(self) -> None:
        """Reactivates runners that an earlier leader took out of use.

        They can serve until this leader may send orders. One that is still
        loading refuses requests, and its heartbeat reports the new weights.
        """
        for endpoint in self._runners():
            if endpoint.status is EndpointStatus.LOADING:
                await self._change_status(
                    endpoint, EndpointStatus.ACTIVE, "new leader"
                )
        self._reactivated_loading = True

    async def _change_status(
        self, endpoint: Endpoint, status: EndpointStatus, reason: str
    ) -> None:
        await self._member.leader.endpoints.change_status(
            endpoint, status, reason
        )

    def _max_loads(self) -> int:
        """Returns the maximum number of runners that load concurrently.

        It is what the planned duration of the roll-out needs, at most a third
        of the runners, since the others keep serving, but at least one.
        """
        runners = len(self._runners())
        needed = math.ceil(runners * self._update_s / self._planned_s)
        return max(1, min(needed, runners // MAX_LOADS_DIVISOR))

    def _extra_drains(self) -> int:
        """Returns how many runners drain beside those that load."""
        loads = self._max_loads()
        if self._is_lightly_loaded():
            return max(MIN_LOW_LOAD_EXTRA_DRAINS, loads)
        return max(1, loads // LOADS_PER_EXTRA_DRAIN)

    def _record_update(self, duration_s: float) -> None:
        least_s, most_s = UPDATE_RANGE_S
        bounded_s = min(max(duration_s, least_s), most_s)
        self._update_s += UPDATE_AVERAGING * (bounded_s - self._update_s)

    def _max_out_of_use(self) -> int:
        """Returns the maximum number of runners out of use at a time.

        A third of the runners must serve; a single runner may be updated.
        """
        return max(1, len(self._runners()) * 2 // 3)

    def _runners(self) -> list[Endpoint]:
        state = self._member.state
        return [
            entry.endpoint
            for entry in state.endpoints.values()
            if entry.endpoint.kind is EndpointKind.RUNNER
            and entry.endpoint.in_use
            and state.uses(entry.endpoint)
        ]

    def _due(self, now: float) -> list[Endpoint]:
        """Returns the runners to update, in order."""
        due = [
            e
            for e in self._runners()
            if e.id not in self._updating
            and self._paused_until.get(e.id, 0.0) <= now
            and (self._is_outdated(e) or e.status is EndpointStatus.LOADING)
        ]
        # Runners already out of use come first; within each group, those with
        # the oldest weights.
        return sorted(
            due,
            key=lambda e: (
                e.status is EndpointStatus.ACTIVE,
                e.weights_number,
            ),
        )

    def _is_outdated(self, endpoint: Endpoint) -> bool:
        """Returns whether a runner has older weights than the target."""
        held = endpoint.weights_number
        return any(
            model in models_of(endpoint) and held < version
            for model, version in self._member.state.weights.items()
        )

    def _weights_to_load(
        self, endpoint: Endpoint, state: RunnerState
    ) -> ModelWeights | None:
        """Returns the first target weights that a runner lacks, if any."""
        for model, version in self._member.state.weights.items():
            served = model in models_of(endpoint)
            if served and state.weights.get(model, 0) < version:
                return ModelWeights(model, version)
        return None

    async def _update_runner(self, endpoint: Endpoint) -> None:
        """Updates a runner's weights; one that does not answer is used again.

        One that refuses connections is marked silent instead.
        """
        started_at = self._clock.now()
        try:
            await self._load(endpoint)
            self._record_update(self._clock.now() - started_at)
        except ExchangeError as exc:
            log(
                "order_failed",
                endpoint=endpoint.id,
                reason=f"{exc.reason}: {exc}",
            )
            if exc.reason == RetryReason.CONNECT_REFUSED:
                # The runner counts as silent until its next heartbeat.
                await self._change_status(
                    endpoint, EndpointStatus.SILENT, "connection refused"
                )
            await self._reactivate(endpoint)
        except FATAL_ERRORS:
            raise
        except Exception as exc:
            # A fault in one update must not end the member: the next leader
            # would meet it too.
            log(
                "order_failed",
                endpoint=endpoint.id,
                reason=traceback_text(exc),
            )
            await self._reactivate(endpoint)
        finally:
            paused_until = self._clock.now() + RETRY_DELAY_S
            self._paused_until[endpoint.id] = paused_until
            self._updating.discard(endpoint.id)
            self._drained.discard(endpoint.id)
            ended, self._update_ended = self._update_ended, anyio.Event()
            ended.set()

    async def _load(self, endpoint: Endpoint) -> None:
        """Takes a runner out of use and loads target weights that it lacks.

        The runner is used again after the load or its timeout, and also if no
        order may be sent to it.

        Raises:
            ExchangeError: The runner did not answer.
        """
        await self._change_status(endpoint, EndpointStatus.LOADING, "load due")
        term = self._term
        state = await self._drain(endpoint)
        # A new leader waits until the orders of its predecessor have expired.
        await anyio.sleep(max(0.0, self._may_order_at - self._clock.now()))
        wanted = self._weights_to_load(endpoint, state)
        may_order = self._may_order(term) and not state.busy
        if (
            wanted is not None
            and may_order
            and await self._send_order(endpoint, wanted, state)
        ):
            await self._await_load(endpoint, wanted)
        await self._reactivate(endpoint)

    async def _await_load(
        self, endpoint: Endpoint, wanted: ModelWeights
    ) -> None:
        """Waits, up to a timeout, until a heartbeat reports the weights.

        A runner sends one as soon as it has loaded them. The wait also ends if
        the runner is gone.
        """
        until = self._clock.now() + LOAD_TIMEOUT_S
        while self._clock.now() < until:
            stored = self._stored_endpoint(endpoint)
            if stored is None or stored.weights_number >= wanted.version:
                return
            await anyio.sleep(POLL_INTERVAL_S)
        log("load_not_confirmed", endpoint=endpoint.id, version=wanted.version)

    def _stored_endpoint(self, endpoint: Endpoint) -> Endpoint | None:
        """Returns the stored state of a runner.

        It is None if the runner is gone or another incarnation is stored.
        """
        entry = self._member.state.endpoints.get(endpoint.id)
        if entry is None or (
            entry.endpoint.incarnation != endpoint.incarnation
        ):
            return None
        return entry.endpoint

    async def _reactivate(self, endpoint: Endpoint) -> None:
        """Sets the status of a runner to active if it is still `loading`."""
        stored = self._stored_endpoint(endpoint)
        if stored is not None and stored.status is EndpointStatus.LOADING:
            await self._change_status(
                endpoint, EndpointStatus.ACTIVE, "load ended"
            )

    def _drain_timeout_s(self, endpoint: Endpoint) -> float:
        """Returns the maximum time to wait for a runner's requests.

        It is longest under a low load. Under other loads it is longer as long
        as no active runner that serves the same models has the target weights.
        """
        is_any_updated = any(
            e.status is EndpointStatus.ACTIVE and not self._is_outdated(e)
            for e in self._runners()
            if e.serves == endpoint.serves
        )
        if self._is_lightly_loaded():
            return LOW_LOAD_DRAIN_TIMEOUT_S
        return DRAIN_TIMEOUT_S if is_any_updated else FIRST_DRAIN_TIMEOUT_S

    def _is_lightly_loaded(self) -> bool:
        """Returns whether the runners have few requests on average.

        Fewer runners could then serve them.
        """
        runners = self._runners()
        requests = sum(self._member.relay.requests_at(e.id) for e in runners)
        return requests < LOW_LOAD_REQUESTS_PER_RUNNER * len(runners)

    async def _drain(self, endpoint: Endpoint) -> RunnerState:
        """Waits until a runner may load, and returns its state.

        The waits for its running and its queued requests have timeouts. The
        wait while the maximum number of runners load has none.
        """
        until = self._clock.now() + self._drain_timeout_s(endpoint)
        # Routers first learn of the new status, and only loads reported after
        # that show whether the runner is idle.
        await anyio.sleep(LOAD_REPORT_LAG_S)
        while self._clock.now() < until:
            if not self._member.relay.requests_at(endpoint.id):
                break
            await anyio.sleep(POLL_INTERVAL_S)
        await self._await_queue(endpoint)
        while len(self._drained) >= self._max_loads():
            await self._update_ended.wait()
        self._drained.add(endpoint.id)
        return await self._orders.report(endpoint)

    async def _await_queue(self, endpoint: Endpoint) -> None:
        """Waits, up to a timeout, until a runner has started all requests."""
        until = self._clock.now() + QUEUE_TIMEOUT_S
        while (await self._orders.report(endpoint)).queued:
            if self._clock.now() >= until:
                return
            await anyio.sleep(QUEUE_POLL_INTERVAL_S)

    def _may_order(self, term: int) -> bool:
        """Returns whether this member leads in `term` and may send orders."""
        now = self._clock.now()
        leads = self._member.leads_until() > now
        return leads and term == self._member.term and now >= self._may_order_at

    async def _send_order(
        self, endpoint: Endpoint, wanted: ModelWeights, state: RunnerState
    ) -> bool:
        """Sends an order; returns whether the runner accepted it."""
        order = LoadWeightsOrder(
            *(wanted.model, wanted.version, self._name, self._member.term),
            state.orders_accepted,
        )
        accepted = await self._orders.load(endpoint, order)
        log(
            "load_ordered",
            endpoint=endpoint.id,
            model=wanted.model,
            version=wanted.version,
            fencing_number=order.fencing_number,
            expected_orders=order.expected_orders,
            accepted=accepted,
        )
        return accepted
