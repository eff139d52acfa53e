"""Steps for the roll-out of weights, with a fake member and fake runners."""

import anyio
import attrs
from behave import given, then, when

from knapweedarch.exceptions import ExchangeError
from knapweedarch.models import (
    Endpoint,
    EndpointKind,
    EndpointStatus,
    RetryReason,
)
from knapweedarch.state import (
    COMMANDS,
    Announce,
    ChangeStatus,
    ControlState,
    NameWeights,
)
from knapweedarch.timers import Clock, Timers
from knapweedarch.weights_rollout import (
    LoadWeightsOrder,
    RunnerState,
    WeightsRollout,
)

LOAD_S = 0.3
# Time within which all runners must have new weights.
WEIGHTS_LIMIT_S = 8.0
TAKEOVER_DELAY_S = 0.6
SERVED = ("models", "m")
MODEL = "m"
# Requests per runner; above the low load under which more runners may drain.
BUSY_REQUESTS = 5


class FakeMember:
    """Stands for a member, its leader and its registry of endpoints.

    Commands are applied immediately.
    """

    def __init__(self):
        self.state = ControlState()
        self.leads = True
        self.term = 5
        self.leader = self.endpoints = self.relay = self
        self.last_loading = Clock().now()
        self.most_out = 0
        self.requests = BUSY_REQUESTS
        self.changed = anyio.Event()

    def apply(self, command: object) -> None:
        """Applies a command as if it were committed in the log."""
        self.state.apply(COMMANDS.encode(command))
        out = sum(
            e.endpoint.status is EndpointStatus.LOADING
            for e in self.state.endpoints.values()
        )
        self.most_out = max(self.most_out, out)
        self.changed.set()
        self.changed = anyio.Event()

    def requests_at(self, endpoint_id: str) -> int:
        """Returns the same number for all endpoints.

        A number above 0 makes each drain last until its timeout.
        """
        return self.requests

    def last_loading_at(self) -> float:
        """Returns the time at which a runner last was loading."""
        return self.last_loading

    def leads_until(self) -> float:
        """Returns the end of the leader lease."""
        return Clock().now() + 10.0 if self.leads else 0.0

    async def change_status(self, endpoint, status, reason) -> None:
        """Stores a status."""
        self.apply(ChangeStatus(endpoint.id, endpoint.incarnation, status))


@attrs.define
class FakeRunner:
    """A runner that loads weights in `LOAD_S` seconds.

    Attributes:
        endpoint: Its endpoint.
        version: Version of the loaded weights.
        accepted: Number of orders that it accepted.
        loading: Whether it is loading weights.
        unanswered_orders: Number of next orders that it does not answer.
        queue_ends_at: Time in seconds until which it has queued requests.
    """

    endpoint: Endpoint
    version: int
    accepted: int = 0
    loading: bool = False
    unanswered_orders: int = 0
    queue_ends_at: float = 0.0


class FakeOrders:
    """Executes orders and announces the loaded weights.

    Attributes:
        member: Receives the announcements.
        group: Task group in which runners load.
        runners: Runners by endpoint id.
        orders: Endpoint id and order, of all orders sent.
        refused_orders: Orders that a runner refused.
        most_loading: Largest number of runners that loaded concurrently.
        orders_while_queued: Number of orders to runners with queued requests.
        error: Raised for orders that are not answered.
    """

    def __init__(self, member: FakeMember, group):
        self.member = member
        self.group = group
        self.runners: dict[str, FakeRunner] = {}
        self.orders: list[tuple[str, LoadWeightsOrder]] = []
        self.refused_orders: list[LoadWeightsOrder] = []
        self.most_loading = 0
        self.orders_while_queued = 0
        self.error: Exception = ExchangeError(
            RetryReason.ANSWER_TIMEOUT, "no answer", True
        )

    async def report(self, endpoint: Endpoint) -> RunnerState:
        """Returns a runner's state."""
        runner = self.runners[endpoint.id]
        queued = int(Clock().now() < runner.queue_ends_at)
        return RunnerState(
            {MODEL: runner.version}, runner.loading, queued, runner.accepted
        )

    async def load(self, endpoint: Endpoint, order: LoadWeightsOrder) -> bool:
        """Starts a load unless the order is outdated or a load is running.

        Raises:
            ExchangeError: The runner does not answer the order.
        """
        runner = self.runners[endpoint.id]
        self.orders.append((endpoint.id, order))
        if runner.unanswered_orders:
            runner.unanswered_orders -= 1
            raise self.error
        self.orders_while_queued += Clock().now() < runner.queue_ends_at
        if order.expected_orders != runner.accepted or runner.loading:
            self.refused_orders.append(order)
            return False
        runner.accepted += 1
        runner.loading = True
        loading = sum(r.loading for r in self.runners.values())
        self.most_loading = max(self.most_loading, loading)
        self.group.start_soon(self._finish, runner, order.version)
        return True

    async def _finish(self, runner: FakeRunner, version: int) -> None:
        await anyio.sleep(LOAD_S)
        runner.loading, runner.version = False, version
        announced = attrs.evolve(runner.endpoint, weights_version=str(version))
        self.member.apply(Announce(announced))


def runner_endpoint(number: int, version: int, serves=SERVED) -> Endpoint:
    return Endpoint(
        *(f"r{number}", "1", f"http://10.0.0.{number}:80"),
        *(EndpointKind.RUNNER, serves, str(version)),
    )


@given("a leading member and {count:d} runners with weights {version:d}")
def leading_member(context, count, version):
    context.versions = {i: version for i in range(1, count + 1)}
    context.takeover_delay_s, context.unanswered_runners, context.queue_s = (
        0.0,
        (),
        {},
    )
    context.requests = BUSY_REQUESTS
    context.named, context.loses_leadership, context.taken_out = [], False, ()
    context.serves = SERVED


@given(
    "a member that has just become the leader and {count:d} runners with"
    " weights {version:d}"
)
def new_leader(context, count, version):
    leading_member(context, count, version)
    context.takeover_delay_s = TAKEOVER_DELAY_S


@given("runner {number:d} has weights {version:d}")
def runner_has(context, number, version):
    context.versions[number] = version


@given("they are of a service called like the model and have another model")
def service_called_like_model(context):
    context.serves = (MODEL, "other")


@given("runner {number:d} was taken out of use by the previous leader")
def taken_out(context, number):
    context.taken_out = (number,)


@given("runner {number:d} does not answer its first order")
def ignore_first_order(context, number):
    context.unanswered_runners = (number,)


@given("runner {number:d} makes its first order raise an unexpected error")
def fail_first_order(context, number):
    context.unanswered_runners = (number,)
    context.order_error = UnicodeEncodeError("utf-8", "\ud83d", 0, 1, "half")


@when("weights {version:d} are named")
def weights_named(context, version):
    context.named = [(0.0, version)]


@when(
    "weights {one:d} are named and weights {two:d} are named {later:f} s later"
)
def weights_named_twice(context, one, two, later):
    context.named = [(0.0, one), (later, two)]


@when("the member loses the lead and weights {version:d} are named")
def loses_leadership(context, version):
    context.loses_leadership = True
    context.named = [(0.0, version)]


async def run_rollout(context, until, limit_s: float) -> None:
    """Runs a roll-out until a condition holds or a timeout is reached."""
    member = FakeMember()
    timers = Timers(Clock())
    async with anyio.create_task_group() as group:
        orders = FakeOrders(member, group)
        orders.error = getattr(context, "order_error", orders.error)
        for number, version in context.versions.items():
            endpoint = runner_endpoint(number, version, context.serves)
            member.apply(Announce(endpoint))
            unanswered = int(number in context.unanswered_runners)
            queue_s = context.queue_s.get(number, 0.0)
            orders.runners[endpoint.id] = FakeRunner(
                *(endpoint, version),
                unanswered_orders=unanswered,
                queue_ends_at=Clock().now() + queue_s,
            )
        for number in context.taken_out:
            member.apply(
                ChangeStatus(f"r{number}", "1", EndpointStatus.LOADING)
            )
        member.leads = not context.loses_leadership
        member.requests = context.requests
        rollout = WeightsRollout(
            *(member, "a", orders, Clock(), context.takeover_delay_s),
            WEIGHTS_LIMIT_S,
        )
        rollout.start(group, timers)
        group.start_soon(timers.run)
        for delay_s, version in context.named:
            await anyio.sleep(delay_s)
            member.apply(NameWeights(MODEL, version))
        with anyio.move_on_after(limit_s):
            while not until(member):
                await member.changed.wait()
        group.cancel_scope.cancel()
    context.member, context.orders = member, orders


@then("within {limit:f} s every runner is in use with weights {version:d}")
def all_updated(context, limit, version):
    def reached(member):
        return all(
            e.endpoint.weights_version == str(version)
            and e.endpoint.status is EndpointStatus.ACTIVE
            for e in member.state.endpoints.values()
        )

    anyio.run(run_rollout, context, reached, limit)
    assert reached(context.member), context.member.state.endpoints


@then(
    "at most {loads:d} runners loaded and at most {out:d} were out of use at"
    " once"
)
def max_loading_and_out(context, loads, out):
    assert context.orders.most_loading <= loads
    assert context.member.most_out <= out


@then("runner {number:d} was ordered first")
def ordered_first(context, number):
    assert context.orders.orders[0][0] == f"r{number}"


@then("runner {number:d} is back in use at once")
def reactivated(context, number):
    def is_active(member):
        found = member.state.endpoints[f"r{number}"].endpoint
        return found.status is EndpointStatus.ACTIVE

    anyio.run(run_rollout, context, is_active, TAKEOVER_DELAY_S / 2)
    assert is_active(context.member)


@then("no order is sent within {limit:f} s")
def no_order(context, limit):
    anyio.run(run_rollout, context, lambda member: False, limit)
    assert context.orders.orders == []


@then("no runner is out of use and no order is sent within {limit:f} s")
def nothing_happens(context, limit):
    no_order(context, limit)
    assert context.member.most_out == 0, context.member.most_out


@then("each order contains the number of orders accepted before it")
def orders_not_refused(context):
    assert context.orders.refused_orders == []


@given("runner {number:d} has queued requests for {seconds:f} s")
def set_queue_duration(context, number, seconds):
    context.queue_s[number] = seconds


@then("{count:d} runners were ordered while they had queued requests")
@then("{count:d} runner was ordered while it had queued requests")
def orders_during_queue(context, count):
    assert context.orders.orders_while_queued == count, (
        context.orders.orders_while_queued
    )


@given("a new leader may send no order for {seconds:f} s")
def set_takeover_delay(context, seconds):
    context.takeover_delay_s = seconds


@then("the first order is sent within {limit:f} s")
def first_order(context, limit):
    anyio.run(run_rollout, context, lambda member: False, limit)
    assert context.orders.orders, "no order was sent"


@given("the runners have no requests")
def no_requests(context):
    context.requests = 0
