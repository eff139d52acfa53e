"""Steps for contention between customers, in virtual time without network."""

import math
import random
import statistics

import anyio
import attrs
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from adapter.settings import Node, proxy_settings
from features import contention_world as world
from knapweedarch.customer_usage import CustomerUsage, max_min_level
from knapweedarch.fair_admission import Ask, Outcome, create_fair_admission
from knapweedarch.relay_messages import EndpointLoad, endpoint_digest
from knapweedarch.room_queue import RoomQueue
from knapweedarch.runner_room import RoomLimits, RoomSearch
from knapweedarch.usage_messages import (
    MAX_EXACT_UNITS,
    MAX_USAGE_ENTRIES,
    MAX_WORK,
    WORK_UNIT,
    UsageEntry,
    UsageReport,
    pack_usage,
    unpack_usage,
    usage_digest,
)
from knapweedarch.usage_relay import UsageRelay

SEEDS = (1, 2)
BEGIN_S, END_S = 6.0, 10.0
# The burst is measured until the requests that it left waiting have ended.
MEASURED = (BEGIN_S, END_S + 1.0)
RUN_S = 16.0
SLOTS, MEMORY_TOKENS = 12, 100_000
PLATFORM_FIELDS = {
    "nodeName": "edge-1",
    "bindIp": "10.1.0.40",
    "zone": "dinsho",
    "zones.dinsho": "bale-highlands",
    "portRange": "7340,7355",
    "seedNodes": "10.1.0.33:8783",
    "endpoints.front": "10.1.0.40:8080",
    "endpoints.ready": "10.1.0.40:8081",
}


@attrs.define
class Plan:
    """What a scenario runs.

    Attributes:
        routers: Number of routers.
        runners: Number of runners.
        options: Further arguments of the world.
        flows: Requests.
        seconds: How long it runs.
    """

    routers: int
    runners: int
    options: dict = attrs.field(factory=dict)
    flows: list = attrs.field(factory=list)
    seconds: float = RUN_S

    def run(self, **changes) -> list[world.World]:
        """Returns a world for each seed, after the run."""
        found = []
        for seed in SEEDS:
            options = {**self.options, **changes, "seed": seed}
            made = world.World(
                self.routers, self.runners, self.flows, **options
            )
            made.run(self.seconds)
            found.append(made)
        return found


def of(context, **which) -> list[world.Sent]:
    """Returns the requests of all seeds in the time that is measured."""
    return [
        sent
        for made in context.worlds
        for sent in made.of(
            *(which.get("customer", ""), which.get("kind", "")), *MEASURED
        )
    ]


def of_others(context, kind: str, worlds=None) -> list[world.Sent]:
    """Returns the requests of all customers but the first."""
    return [
        sent
        for made in worlds or context.worlds
        for sent in made.of("", kind, *MEASURED)
        if sent.flow.customer != "customer 0"
    ]


def kind_name(word: str) -> str:
    return {"urgent": "short", "long": "long"}[word]


@given("{routers:d} contending routers and {runners:d} runners")
def given_routers(context, routers, runners):
    context.plan = Plan(routers, runners)


@given("{routers:d} contending routers and {runners:d} runners without relay")
def given_routers_without_relay(context, routers, runners):
    context.plan = Plan(routers, runners, {"is_shared": False})


@given(
    "{routers:d} contending router and {runners:d} runners with memory for"
    " {tokens:d} tokens"
)
def given_small_memory(context, routers, runners, tokens):
    context.plan = Plan(routers, runners, {"memory": tokens})


@given(
    "{count:d} customers with {long:d} long and {urgent:d} urgent requests a"
    " second"
)
def given_customers(context, count, long, urgent):
    context.parts = [1.0 / count] * count
    context.rates = ((world.PATIENT, long), (world.URGENT, urgent))
    set_flows(context)


@given("customer 0 has a quarter of them")
def given_large_customer(context):
    others = len(context.parts) - 1
    context.parts = [0.25] + [0.75 / others] * others
    set_flows(context)


def set_flows(context, factor=1.0, kind="", customer=None) -> None:
    """Sets the requests; those of a kind or customer have a burst."""
    context.plan.flows = [
        world.Flow(
            *(f"customer {number}", of_kind, part * rate),
            burst=factor
            if kind in ("", of_kind.name) and customer in (None, number)
            else 1.0,
            begin=BEGIN_S,
            end=END_S,
        )
        for number, part in enumerate(context.parts)
        for of_kind, rate in context.rates
    ]


@given(
    "customer {number:d} sends {rate:d} long requests a second through"
    " {routers:d} {word}"
)
def given_flow(context, number, rate, routers, word):
    plan = context.plan
    taken = {r for f in plan.flows for r in f.routers}
    first = max(taken, default=-1) + 1
    chosen = tuple(range(first, first + routers))
    if chosen[-1] >= plan.routers:
        chosen = tuple(range(plan.routers))
    plan.flows.append(
        world.Flow(f"customer {number}", world.PATIENT, rate, routers=chosen)
    )


@when("customer 0 sends {factor:d} times its usual in the burst")
def run_customer_burst(context, factor):
    set_flows(context, factor, kind="long", customer=0)
    context.worlds = context.plan.run()


@when("the {word} requests come at {factor:f} times their rate in the burst")
def run_kind_burst(context, word, factor):
    set_flows(context, factor, kind_name(word))
    context.worlds = context.plan.run()


@when("{seconds:d} s pass for them")
def run_plan(context, seconds):
    context.plan.seconds = seconds
    context.worlds = context.plan.run()


@then("of the others' {word} requests at least {part:f} are answered")
def check_others_answered(context, word, part):
    found = world.answered_share(of_others(context, kind_name(word)))
    assert found >= part, found


@then("of the others' {word} requests at least {part:f} are in time")
def check_others_in_time(context, word, part):
    found = world.in_time_share(of_others(context, kind_name(word)))
    assert found >= part, found


@then(
    "of the others' {word} requests at least {more:f} more are in time than"
    " without fairness"
)
def check_others_gain(context, word, more):
    kind = kind_name(word)
    found = world.in_time_share(of_others(context, kind))
    worlds = context.plan.run(is_fair=False)
    before = world.in_time_share(of_others(context, kind, worlds))
    assert found >= before + more, (found, before)


@then("of the {word} requests at least {part:f} are answered")
def check_answered(context, word, part):
    found = world.answered_share(of(context, kind=kind_name(word)))
    assert found >= part, found


@then("of the {word} requests at least {part:f} are in time")
def check_in_time(context, word, part):
    found = world.in_time_share(of(context, kind=kind_name(word)))
    assert found >= part, found


@then("urgent requests are in time as often as long ones, less {less:f}")
def check_urgent_first(context, less):
    urgent = world.in_time_share(of(context, kind="short"))
    patient = world.in_time_share(of(context, kind="long"))
    assert urgent >= patient - less, (urgent, patient)


@then(
    "the largest tenth of the long requests is answered at least half as often"
)
def check_large(context):
    found = sorted(of(context, kind="long"), key=lambda s: s.tokens)
    largest = world.answered_share(found[-len(found) // 10 :])
    assert largest >= 0.5 * world.answered_share(found), largest


@then(
    "each customer gets at least half of the answers that its long requests"
    " would"
)
def check_no_starvation(context):
    everyone = world.answered_share(of(context, kind="long"))
    for flow in context.plan.flows:
        found = of(context, kind="long", customer=flow.customer)
        assert world.answered_share(found) >= 0.5 * everyone, flow


@then(
    "customers 0 to 2 get shares of the runners that differ by less than"
    " {part:f}"
)
def check_equal_shares(context, part):
    served = [
        sum(
            s.tokens
            for s in of(context, customer=f"customer {n}")
            if s.is_answered
        )
        for n in range(3)
    ]
    spread = (max(served) - min(served)) / statistics.mean(served)
    assert spread < part, served


@then("of the requests of customer 3 at least {part:f} are answered")
def check_small_customer(context, part):
    found = world.answered_share(of(context, customer="customer 3"))
    assert found >= part, found


@then("no request is refused and none has waited at a router")
def check_nothing_held(context):
    for made in context.worlds:
        assert not [
            s for s in made.sent if s.end == "refused" or s.has_returned
        ]
        assert not made.waited, made.waited


@then("no runner held more than its memory")
def check_memory(context):
    for made in context.worlds:
        held = [r.most_held for r in made.runners]
        assert max(held) <= made.engine.memory_tokens, held


@then("without fairness some runner held more than its memory")
def check_memory_without(context):
    for made in context.plan.run(is_fair=False):
        held = [r.most_held for r in made.runners]
        assert max(held) > made.engine.memory_tokens, held


def find_room(requests: list[int], limits: RoomLimits, needed: int):
    """Returns a search of runners with these requests."""
    search = RoomSearch(limits, needed, MEMORY_TOKENS)
    for number, count in enumerate(requests):
        load = EndpointLoad(
            endpoint_digest(f"r{number}"), count, 0, count * 1000
        )
        search.admits(load, SLOTS)
    return search


def create_ask(context, **changes) -> Ask:
    values = {
        "demand": context.fair.demand("models", 2),
        "customer": 7,
        "work": 9_000,
        "goal_s": 1.0,
        "left_s": 4.0,
        "ahead_s": 0.0,
        "has_runner": False,
        "is_new": True,
        **changes,
    }
    return Ask(**values)


@given("a router whose {runners:d} runners are full for {seconds:d} s")
def given_full_runners(context, runners, seconds):
    context.fair, context.now = create_fair_admission(1), 50.0
    context.requests = [SLOTS] * runners
    demand = context.fair.demand("models", 2)
    for _ in range(SLOTS * runners):
        demand.record_sent(9_000, 9_000, 9_000, context.now - 30.0)
    for _ in range(SLOTS):
        demand.record_sent(9_000, 9_000, 9_000, context.now - 30.0)
        demand.record_ended(context.now - seconds, context.now)
    # Others wait already, as many as get a slot in the time.
    demand.waiting = SLOTS * runners


@given("a router with {runners:d} runners of which 1 is empty")
def given_half_empty(context, runners):
    context.fair, context.now = create_fair_admission(1), 50.0
    context.requests = [0] + [SLOTS - 1] * (runners - 1)


@when("a request with a time limit of {seconds:d} s arrives")
def decide_one(context, seconds):
    search = find_room(context.requests, RoomLimits(), 9_000)
    ask = create_ask(context, left_s=float(seconds))
    context.verdict = context.fair.decide("models", ask, search, context.now)


@when("a request with a prompt of {tokens:d} tokens arrives")
def decide_large(context, tokens):
    search = find_room(context.requests, RoomLimits(), tokens)
    ask = create_ask(context, work=tokens)
    context.verdict = context.fair.decide("models", ask, search, context.now)


@then("it is refused at once, with the time after which room is expected")
def check_refused_late(context):
    assert context.verdict.outcome is Outcome.TOO_LATE, context.verdict
    assert 0.5 < context.verdict.retry_after_s < 6.0, context.verdict


@then("it is refused at once")
def check_refused(context):
    assert context.verdict.outcome is Outcome.TOO_LARGE, context.verdict


@then("it waits for room")
def check_waits(context):
    assert context.verdict.outcome is Outcome.WAIT, context.verdict


@given("a customer far above its share")
def given_heavy_customer(context):
    demand, usage = context.fair.demand("models", 2), context.fair.usage
    for _ in range(100):
        usage.record_offered(demand.pool, 7, 9_000, context.now)
    demand.contended_at = context.now
    demand.level = demand.refused_level = 1.0


@when("{count:d} requests of it are decided about")
def decide_many(context, count):
    context.outcomes = []
    for _ in range(count):
        search = find_room(context.requests, RoomLimits(), 9_000)
        ask = create_ask(context, has_runner=True)
        context.outcomes.append(
            context.fair.decide("models", ask, search, context.now).outcome
        )


@then("none of them is refused")
def check_none_refused(context):
    assert set(context.outcomes) <= {Outcome.SEND, Outcome.WAIT}


async def run_queue() -> tuple[list[int], list[int]]:
    """Returns who had a turn before and after the first one left."""
    queue, turns = RoomQueue(), []
    before: list[int] = []
    leave = anyio.Event()

    async def wait(number: int) -> None:
        with queue.place("class") as place:
            await place.wait_for_turn()
            turns.append(number)
            if number == 0:
                await leave.wait()

    async with anyio.create_task_group() as group:
        for number in range(3):
            group.start_soon(wait, number)
            await anyio.wait_all_tasks_blocked()
        queue.give_turns()
        await anyio.wait_all_tasks_blocked()
        before = list(turns)
        leave.set()
    return before, turns


@when("three requests of a class wait for room, and the first one leaves")
def run_three(context):
    context.turns = anyio.run(run_queue)


@then("the first has its turn when turns are given, and the others follow")
def check_turns(context):
    before, after = context.turns
    assert before == [0], before
    assert after == [0, 1, 2], after


async def cancel_first() -> list[int]:
    queue, turns = RoomQueue(), []
    scope = anyio.CancelScope()

    async def wait(number: int, own: anyio.CancelScope) -> None:
        with own, queue.place("class") as place:
            await place.wait_for_turn()
            turns.append(number)

    async with anyio.create_task_group() as group:
        group.start_soon(wait, 0, scope)
        await anyio.wait_all_tasks_blocked()
        group.start_soon(wait, 1, anyio.CancelScope())
        await anyio.wait_all_tasks_blocked()
        scope.cancel()
    return turns


@then("a waiting request whose caller leaves lets the next one have its turn")
def check_cancelled(context):
    assert anyio.run(cancel_first) == [1]


@then("for any demands the capped demands add up to the capacity")
def check_levels(context):
    amounts = st.floats(0, 1e9, allow_nan=False)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(st.lists(amounts, min_size=1, max_size=40), amounts)
    def check(demands, capacity):
        level = max_min_level(demands, capacity)
        if level == math.inf:
            assert sum(demands) <= capacity * (1 + 1e-9) + 1e-6
            return
        capped = sum(min(demand, level) for demand in demands)
        assert math.isclose(capped, capacity, rel_tol=1e-6, abs_tol=1e-3)

    check()


@then("for any usage the part within any level is from 0 to 1")
def check_within_part(context):
    work = st.floats(0.001, 1e9, allow_nan=False)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(st.lists(work, min_size=1, max_size=9), st.floats(0, 1e9))
    def check(amounts, capacity):
        usage = CustomerUsage()
        for number, amount in enumerate(amounts):
            usage.record_offered(9, 100 + number, amount, 1.0 + number)
        demands = usage.demands(9, 20.0)
        level = demands.fair_level(capacity)
        assert 0.0 <= demands.within_part(level) <= 1.0
        assert 0.0 <= demands.within_part(0.0) <= 1.0

    check()


ENTRIES = st.builds(
    UsageEntry,
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, MAX_WORK),
)


@then("any usage is read as it was packed, up to half a unit or 1 in 8192")
def check_packed(context):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @for_all(st.lists(ENTRIES, max_size=MAX_USAGE_ENTRIES))
    def check(entries):
        found = unpack_usage(pack_usage(entries))
        assert len(found) == len(entries)
        for entry, read in zip(entries, found, strict=True):
            assert (entry.pool, entry.customer) == (read.pool, read.customer)
            # Large work is exact to 1 in 8,192.
            exact = WORK_UNIT * MAX_EXACT_UNITS
            allowed = max(
                WORK_UNIT / 2, (entry.work > exact) * entry.work / 8_192
            )
            assert abs(entry.work - read.work) <= allowed, (entry, read)

    check()


@then("malformed reports are refused")
def check_malformed(context):
    entry = pack_usage([UsageEntry(5, 6, 64)])
    for data in (entry[:-1], entry * (MAX_USAGE_ENTRIES + 1)):
        try:
            CustomerUsage().receive(UsageReport(data), 1.0)
        except ValueError:
            continue
        raise AssertionError(len(data))


@then("each router hears of all work but its own")
def check_relayed(context):
    work = st.lists(st.integers(1, 100), min_size=2, max_size=12)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @for_all(work)
    def check(units):
        relay, routers = UsageRelay(), [CustomerUsage() for _ in units]
        for number, (usage, count) in enumerate(
            zip(routers, units, strict=True)
        ):
            usage.record_offered(9, 7, count * WORK_UNIT, 1.0)
            usage.record_admitted(9, 7, count * WORK_UNIT, 1.0)
            relay.receive(number, usage.take_report(), is_member=False)
        total = sum(units) * WORK_UNIT
        for number, usage in enumerate(routers):
            usage.receive(relay.news_for(number), 1.0)
            assert usage.offered(9, 7, 1.0) == total
            assert usage.offered_total(9, 1.0) == total
            assert usage.admitted(9, 1.0) == total

    check()


@given(
    "{routers:d} routers of one member that each hear of {customers:d}"
    " customers"
)
def given_many_customers(context, routers, customers):
    rng = random.Random(4)
    context.relay, context.sizes = UsageRelay(), []
    for router in range(routers):
        usage = CustomerUsage()
        for number in range(customers):
            customer = usage_digest("customer", number)
            usage.record_offered(9, customer, rng.randrange(64, 20_000), 1.0)
        report = usage.take_report()
        context.sizes.append(len(report.packed))
        context.relay.receive(router, report, is_member=False)
    context.sizes += [
        len(context.relay.news_for(router).packed) for router in range(routers)
    ]
    context.sizes.append(len(context.relay.news_for_members().packed))


@then("a report to a router and one from it take at most {size:d} bytes each")
def check_sizes(context, size):
    assert max(context.sizes) <= size, max(context.sizes)


@given("settings of the platform with the policies {policies}")
def given_policies(context, policies):
    fields = dict(PLATFORM_FIELDS)
    if policies != "none":
        fields["policies"] = policies
    context.found = proxy_settings(Node(fields))


@then("fair admission is {state}")
def check_state(context, state):
    assert context.found.fair_admission == (state == "on")
