"""Steps for a proxy that asks stand-ins of members for tokens."""

import itertools

import anyio
import attrs
from behave import given, then, when

from knapweedarch import links
from knapweedarch.codec import create_codec
from knapweedarch.control_messages import CONTROL, Hello, MemberAddress
from knapweedarch.deployments import Customer
from knapweedarch.metrics import create_metrics
from knapweedarch.quota_client import QuotaClient
from knapweedarch.quota_messages import QuotaAsk, QuotaGrant, QuotaShare
from knapweedarch.quota_shares import Decision
from knapweedarch.quotas import Quota, QuotaBounds
from knapweedarch.timers import Clock

CREDENTIAL = b"credential-of-the-quota-client"
CUSTOMER = Customer("huts", ("k",), quota=Quota(100.0))
SCENARIO_TIMEOUT_S = 20.0
OLD_CODEC = create_codec(Hello)


def answer(ask):
    """Grants all that a proxy asks for."""
    shares = tuple(
        QuotaShare(
            demand.customer,
            sum(run.weight * run.count for run in demand.waiting),
        )
        for demand in ask.demands
    )
    return QuotaGrant(ask.number, shares)


@attrs.define
class StandInRelay:
    """The subscription of a proxy to a member in the same process.

    Attributes:
        kind: What the member does.
        asks: Questions that it got.
        asked_at: When it got them, in seconds.
    """

    kind: str
    asks: list = attrs.field(factory=list)
    asked_at: list = attrs.field(factory=list)
    on_subscribed: list = attrs.field(factory=list)
    on_quota_grant: object = None
    is_subscribed: bool = True
    member_name: str = "own"

    def member_accepts(self, message_class):
        """Returns whether the member takes messages of quotas."""
        return self.kind != "is of an earlier build"

    def send_reports(self, message):
        """Takes a question, and answers it if the member grants."""
        self.asks.append(message)
        self.asked_at.append(anyio.current_time())
        if self.kind == "grants":
            self.on_quota_grant(answer(message))


@attrs.define
class Plan:
    """What a scenario does."""

    own: str
    other: str = ""
    actions: list = attrs.field(factory=list)
    tickets: list = attrs.field(factory=list)
    waits_s: list = attrs.field(factory=list)
    relay: object = None
    client: object = None

    async def handle(self, link, message):
        """Answers a question to the other member if it grants."""
        if self.other == "grants" and isinstance(message, QuotaAsk):
            link.send(answer(message))

    async def spend(self):
        """Makes one request and notes the decision and the wait."""
        began = anyio.current_time()
        self.tickets.append(await self.client.spend(CUSTOMER, None))
        self.waits_s.append(anyio.current_time() - began)

    def run(self):
        """Starts the proxy's part and runs the actions."""

        async def run_all():
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                await self._run_all()

        anyio.run(run_all)

    async def _run_all(self):
        self.relay = StandInRelay(self.own)
        self.client = QuotaClient(
            *(QuotaBounds(8.0, 0.1, 100.0), self.relay, CREDENTIAL, Clock()),
            create_metrics(None, 0, "test"),
        )
        self.client.set_customers([CUSTOMER])
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        old = self.other == "is of an earlier build"
        async with listener, anyio.create_task_group() as group:
            group.start_soon(
                *(links.serve, listener, CREDENTIAL),
                *(OLD_CODEC if old else CONTROL, self.handle),
                lambda exc: None,
            )
            if self.other:
                address = MemberAddress("other", "127.0.0.1", port)
                self.client.set_members([address])
            group.start_soon(self.client.run)
            for action in self.actions:
                await action()
            group.cancel_scope.cancel()


@given("a proxy whose own member {kind}")
def plan_proxy(context, kind):
    context.plan = Plan(kind)


@given("another member that {kind}")
def plan_other(context, kind):
    context.plan.other = kind


def plan_requests(plan, count, delay_s=0.0, spread_s=0.0):
    async def send_all():
        await anyio.sleep(delay_s)
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(plan.spend)
                if spread_s:
                    await anyio.sleep(spread_s / count)

    plan.actions.append(send_all)


@when("{count:d} requests arrive at once")
def send_at_once(context, count):
    plan_requests(context.plan, count)


@when("{count:d} requests arrive {delay:g} s later")
def send_later(context, count, delay):
    plan_requests(context.plan, count, delay_s=delay)


@when("{count:d} requests arrive within {seconds:g} s")
def send_spread(context, count, seconds):
    plan_requests(context.plan, count, spread_s=seconds)


@when("{count:d} callers leave {seconds:g} s after their requests")
def leave_early(context, count, seconds):
    plan = context.plan

    async def leave():
        with anyio.move_on_after(seconds):
            await plan.spend()

    async def leave_all():
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(leave)

    plan.actions.append(leave_all)


def check_decisions(plan, tickets, decision, count):
    found = [ticket.decision for ticket in tickets]
    assert found == [decision] * count, found


@then("{count:d} requests are allowed")
def check_allowed(context, count):
    plan = context.plan
    plan.run()
    check_decisions(plan, plan.tickets, Decision.ALLOWED, count)


@then("the last {count:d} requests are allowed")
def check_last_allowed(context, count):
    plan = context.plan
    plan.run()
    check_decisions(plan, plan.tickets[-count:], Decision.ALLOWED, count)


@then("{count:d} requests are unavailable")
def check_unavailable(context, count):
    plan = context.plan
    plan.run()
    check_decisions(plan, plan.tickets, Decision.UNAVAILABLE, count)
    assert all(ticket.retry_s > 0 for ticket in plan.tickets)


@then("none waited longer than {limit:g} s")
def check_waited(context, limit):
    assert max(context.plan.waits_s) <= limit, context.plan.waits_s


@then("the own member got no question")
def check_no_question(context):
    assert not context.plan.relay.asks


@then("the own member got a question at most every {gap:g} s")
def check_question_gaps(context, gap):
    times = context.plan.relay.asked_at
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert len(times) > 1 and min(gaps) >= gap, gaps


@then("no caller's request is left")
def check_nothing_waits(context):
    plan = context.plan
    plan.run()
    assert not plan.tickets
    ask = plan.client._shares.take_ask(Clock().now())
    assert ask is None or not any(d.waiting for d in ask.demands), ask
    plan.client._shares.ask_all_again()
    assert not plan.client._shares.has_questions
