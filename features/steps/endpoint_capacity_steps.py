"""Steps for the learnt capacity of endpoints, in virtual time."""

import itertools
import math
import random

import anyio
import attrs
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from adapter.settings import Node, proxy_settings
from bench.capacity_world import (
    CapacityWorld,
    EndpointModel,
    Load,
    Plan,
    steadily,
)
from knapweedarch.capacity_client import CapacityClient
from knapweedarch.capacity_messages import (
    LOG_UNIT,
    CapacityReport,
    EndpointCapacity,
    SpeedReport,
    SpeedSample,
    incarnation_digest,
    pack_capacities,
    pack_samples,
    unpack_capacities,
    unpack_samples,
)
from knapweedarch.control_messages import CONTROL
from knapweedarch.endpoint_capacity import (
    ADAPT_INTERVAL_S,
    CAPACITY_TTL_S,
    MAX_LOG_RATIO,
    MAX_RATIO,
    MIN_RATIO,
    CapacityTable,
)
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.member_relay import MemberRelay
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.prompt_parts import Prompt
from knapweedarch.relay_client import RelayClient
from knapweedarch.relay_messages import Subscribe, Subscribed
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import ManualClock, Timers

SEED = 5
WATCH_INTERVAL_S = 0.25
SLOW = 1.5
EXAMPLES = 60
ENDPOINT = 77
GROUP = 3


@given("{count:d} services of {slots:d} slots, every 2nd with a knee at {at:d}")
def services_with_knees(context, count, slots, at):
    knee = EndpointModel(slots=slots, knee=steadily(at), slope=4.0)
    plain = EndpointModel(slots=slots)
    context.models = tuple(plain if n % 2 else knee for n in range(count))


@given(
    "{count:d} services of {slots:d} slots, every 2nd with a knee between"
    " {low:d} and {high:d}"
)
def services_with_moving_knees(context, count, slots, low, high):
    knee = EndpointModel(
        slots=slots,
        knee=lambda now: low if int(now / 4) % 2 else high,
        slope=4.0,
    )
    plain = EndpointModel(slots=slots)
    context.models = tuple(plain if n % 2 else knee for n in range(count))


@given(
    "{count:d} services of {slots:d} slots, the 1st with {hidden:d} requests of"
    " others and a knee at {at:d}"
)
def service_with_hidden_load(context, count, slots, hidden, at):
    first = EndpointModel(
        slots=slots, hidden=steadily(hidden), knee=steadily(at)
    )
    context.models = (first, *[EndpointModel(slots=slots)] * (count - 1))


@given(
    "{count:d} services of {slots:d} slots, the slowest {factor:d} times as"
    " slow as the fastest"
)
def services_of_many_speeds(context, count, slots, factor):
    context.models = tuple(
        EndpointModel(
            slots=slots, slowness=steadily(factor ** (n / (count - 1)))
        )
        for n in range(count)
    )


@given(
    "{count:d} services of {slots:d} slots, the 1st {factor:d} times as slow"
)
def services_with_slow_one(context, count, slots, factor):
    first = EndpointModel(slots=slots, slowness=steadily(factor))
    context.models = (first, *[EndpointModel(slots=slots)] * (count - 1))


@given("{count:d} services of {slots:d} slots, the 1st {delay:d} ms away")
def services_with_far_one(context, count, slots, delay):
    far = EndpointModel(slots=slots, delay_s=delay / 1000, data_centre="far")
    context.models = (far, *[EndpointModel(slots=slots)] * (count - 1))


@given("{count:d} services of {slots:d} slots")
def equal_services(context, count, slots):
    context.models = tuple([EndpointModel(slots=slots)] * count)


@given("{count:d} equal runners")
def equal_runners(context, count):
    context.models = tuple([EndpointModel()] * count)


@given("{count:d} equal runners and {routers:d} routers")
def equal_runners_and_routers(context, count, routers):
    equal_runners(context, count)
    context.routers = routers


@given(
    "{count:d} equal runners, the 1st {factor:d} times as slow from {begin:g} s"
    " to {end:g} s"
)
def runners_with_slow_one(context, count, factor, begin, end):
    context.slow_from, context.slow_to = begin, end
    first = EndpointModel(
        slowness=lambda now: factor if begin <= now < end else 1.0
    )
    context.models = (first, *[EndpointModel()] * (count - 1))


@given(
    "the 1st of {routers:d} routers reports that the 1st to {last:d}th are as"
    " slow as can be"
)
def wrong_router(context, routers, last):
    context.routers = routers
    context.false_samples = lambda world: [
        sample
        for number in range(last)
        for sample in [_sample_of(world, number)]
        if sample is not None
    ]


def _sample_of(world, number):
    endpoint_id = world.endpoints[number].endpoint.id
    for known, stats in world.choosers[0]._stats.by_id():
        if known == endpoint_id:
            return SpeedSample(
                *(stats.incarnation_digest, world.group, MAX_LOG_RATIO, 1)
            )
    return None


@given("no member relays anything")
def no_members(context):
    context.members_reach = lambda now: False


@when("it has started again at {at:g} s")
def plan_restart(context, at):
    context.changes = [(at, {"incarnation": "2"})]


@when("it has loaded weights from {begin:g} s to {end:g} s")
def plan_loading(context, begin, end):
    context.changes = [
        (begin, {"status": EndpointStatus.LOADING}),
        (end, {"status": EndpointStatus.ACTIVE, "weights_version": "1"}),
    ]


@when(
    "{rate:d} requests a second come for {seconds:d} s, with and without"
    " learning"
)
def run_services(context, rate, seconds):
    loads = (Load(kind="plain", per_s=steadily(rate), work_s=0.1),)
    run_both(context, loads, seconds)


@when(
    "{long:d} long and {short:d} short prompts a second come for {seconds:d} s,"
    " with and without learning"
)
def run_runners(context, long, short, seconds):
    run_both(context, prompts(long, short), seconds)


@when(
    "{long:d} long and {short:d} short prompts a second come for {seconds:d} s,"
    " with learning only"
)
def run_runners_once(context, long, short, seconds):
    run_both(context, prompts(long, short), seconds, (True,))


def prompts(long: int, short: int) -> tuple[Load, ...]:
    return (
        Load(
            kind="long",
            per_s=steadily(long),
            shared=6_300,
            documents=60,
            own=2_890,
            answer=13,
        ),
        Load(
            kind="short",
            per_s=steadily(short),
            shared=198,
            own=628,
            answer=70,
        ),
    )


def run_both(context, loads, seconds, modes=(False, True)):
    plan = Plan(
        models=context.models,
        loads=loads,
        seconds=float(seconds),
        routers=getattr(context, "routers", 9),
        false_samples=getattr(context, "false_samples", None),
        members_reach=getattr(context, "members_reach", lambda now: True),
    )
    context.outcomes = {}
    for learns in modes:
        world = CapacityWorld(plan, learns, SEED)
        for at, changes in getattr(context, "changes", ()):
            world.at(at, lambda w=world, c=changes: w.list_again(0, **c))
        context.world, context.first_slowness = world, []
        watch(context, world, seconds)
        context.outcomes[learns] = world.run()


def watch(context, world, seconds):
    """Records at intervals how slow the first endpoint is held to be."""
    context.seconds = seconds

    def look():
        found = slowness_of(world, 0)
        context.first_slowness.append((world.now, found))

    for turn in range(round(seconds / WATCH_INTERVAL_S)):
        world.at(turn * WATCH_INTERVAL_S, look)


def slowness_of(world, number: int) -> float:
    """Returns the slowness that most routers know."""
    endpoint = world.endpoints[number].endpoint
    known = sorted(
        stats.learnt_slowness
        for chooser in world.choosers
        if (stats := chooser._stats.get(endpoint)) is not None
    )
    return known[len(known) // 2] if known else 1.0


@then("the mean time is at most {factor:g} of that of the present choice")
def check_mean(context, factor):
    present, learnt = (context.outcomes[m].mean("", 4.0) for m in (False, True))
    assert learnt <= factor * present, (present, learnt)


@then("no more requests are refused than by the present choice")
def check_no_more_refused(context):
    check_refused(context, 1.0)


@then(
    "at most {factor:g} as many requests are refused as by the present choice"
)
def check_refused(context, factor):
    present, learnt = (len(context.outcomes[m].refused) for m in (False, True))
    assert learnt <= factor * present, (present, learnt)


@then(
    "its share of the requests is at most {factor:g} of that by the present"
    " choice"
)
def check_share(context, factor):
    present, learnt = (
        context.outcomes[m].share_at({0}, 4.0) for m in (False, True)
    )
    assert learnt <= factor * present, (present, learnt)


@then("the fastest is known to be faster than the slowest")
def check_fastest(context):
    fastest = slowness_of(context.world, 0)
    slowest = slowness_of(context.world, len(context.models) - 1)
    assert fastest < slowest, (fastest, slowest)


@then("the 1st is known to be slower than the last")
def check_first_slower(context):
    first = slowness_of(context.world, 0)
    last = slowness_of(context.world, len(context.models) - 1)
    assert first > 1.3 * last, (first, last)


@then("no runner is taken for {factor:g} times as slow or fast at the end")
@then("no service is taken for {factor:g} times as slow or fast at the end")
def check_none_apart(context, factor):
    found = [slowness_of(context.world, n) for n in range(len(context.models))]
    assert max(found) <= factor and min(found) >= 1 / factor, found


@then(
    "at most {factor:g} times as many shared tokens are moved as by the present"
    " choice"
)
def check_moved(context, factor):
    present, learnt = (context.outcomes[m].moved(4.0) for m in (False, True))
    assert learnt <= factor * present, (present, learnt)


@then("it is taken for slow within {seconds:g} s")
def check_found_slow(context, seconds):
    begin = context.slow_from
    found = [
        at
        for at, slowness in context.first_slowness
        if begin <= at <= begin + seconds and slowness >= SLOW
    ]
    assert found, context.first_slowness


@then("{seconds:g} s after its end it is not taken for slow")
def check_found_fast(context, seconds):
    late = [
        (at, slowness)
        for at, slowness in context.first_slowness
        if at >= context.slow_to + seconds
    ]
    assert late and all(slowness < SLOW for _, slowness in late), late


@then("it gets requests in each {period:g} s")
def check_trickle(context, period):
    times = [s.sent_at for s in context.outcomes[True].served if not s.endpoint]
    times = [0.0, *sorted(times), context.seconds - 1.0]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert max(gaps) <= period, gaps


@then("it is never taken for slow")
def check_never_slow(context):
    slow = [(at, s) for at, s in context.first_slowness if s >= SLOW]
    assert not slow, slow


@then("no router gets or sends more than {most:d} bytes a second for it")
def check_bytes(context, most):
    outcome = context.outcomes[True]
    for totals in (outcome.bytes_to, outcome.bytes_from):
        assert totals and max(totals.values()) <= most * context.seconds, totals


@given(
    "a service whose knee is at {first:d} for 10 s, at {second:d} for 10 s and"
    " then at {third:d}"
)
def estimate_with_knees(context, first, second, third):
    context.knees = (first, second, third)


@when(
    "it gets {rate:d} samples a second with {least:d} to {most:d} requests"
    " under way"
)
def feed_knees(context, rate, least, most):
    rng, table = random.Random(SEED), CapacityTable()
    context.limits = []
    for turn in range(30 * rate):
        now = turn / rate
        knee = context.knees[min(int(now / 10), 2)]
        requests = rng.randint(least, most)
        work = rng.uniform(0.6, 1.5)
        ratio = work * (1.0 + max(0, requests - knee))
        table.add(SpeedSample(ENDPOINT, GROUP, math.log(ratio), requests), now)
        table.renew(now)
        limit = table.capacity(ENDPOINT).limit or most
        context.limits.append((now, min(limit, most)))


@then("at {at:g} s its limit is at least {least:d}")
def check_limit_at(context, at, least):
    limit = next(limit for now, limit in context.limits if now >= at)
    assert limit >= least, limit


@then("from {begin:g} s to {end:g} s its limit is from {least:d} to {most:d}")
def check_limits(context, begin, end, least, most):
    found = [limit for now, limit in context.limits if begin <= now < end]
    assert least <= min(found) and max(found) <= most, (min(found), max(found))


@then("from {begin:g} s on its limit is at least {least:d}")
def check_limits_from(context, begin, least):
    found = [limit for now, limit in context.limits if now >= begin]
    assert min(found) >= least, min(found)


samples = strategies.lists(
    strategies.tuples(
        strategies.floats(-20.0, 20.0),
        strategies.integers(0, 70_000),
        strategies.floats(0.0, 2.0),
    ),
    min_size=1,
    max_size=80,
)


@when("any samples are added to an estimate")
def add_any_samples(context):
    context.found = []

    @hypothesis_settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @for_any(samples)
    def add(values):
        table, now = CapacityTable(), 0.0
        for log_ratio, requests, gap_s in values:
            now += gap_s
            table.add(SpeedSample(ENDPOINT, GROUP, log_ratio, requests), now)
            table.renew(now)
            context.found.append(table.capacity(ENDPOINT))
        table.renew(now + CAPACITY_TTL_S + 1.0)
        context.after = table.capacity(ENDPOINT)
        assert context.after == EndpointCapacity(ENDPOINT, 0.0, 0)

    add()


@then("its ratio stays from {least:g} to {most:g} and its limit at least 1")
def check_bounds(context, least, most):
    assert (least, most) == (MIN_RATIO, MAX_RATIO)
    for capacity in context.found:
        ratio = math.exp(capacity.log_ratio)
        assert least * 0.98 <= ratio <= most * 1.02, capacity
        assert capacity.limit >= 0


@then("{seconds:d} s after the last one nothing is known of it")
def check_forgotten(context, seconds):
    assert seconds > CAPACITY_TTL_S
    assert context.after == EndpointCapacity(ENDPOINT, 0.0, 0)


@given("an estimate with {count:d} healthy samples")
def healthy_estimate(context, count):
    context.rng, context.estimates = random.Random(SEED), CapacityTable()
    context.now = 0.0
    for _ in range(count):
        add_sample(context, context.rng.uniform(0.6, 1.5))


def add_sample(context, ratio):
    context.now += 0.2
    sample = SpeedSample(ENDPOINT, GROUP, math.log(ratio), 2)
    context.estimates.add(sample, context.now)
    context.estimates.renew(context.now)


@when("{count:d} samples of {factor:d} times the time come")
def add_outliers(context, count, factor):
    for _ in range(count):
        add_sample(context, factor)
    context.now += ADAPT_INTERVAL_S
    context.estimates.renew(context.now)


@then("its ratio is still from {least:g} to {most:g}")
def check_ratio(context, least, most):
    ratio = math.exp(context.estimates.capacity(ENDPOINT).log_ratio)
    assert least <= ratio <= most, ratio


logs = strategies.floats(-3.9, 3.9)
digests = strategies.integers(0, 2**32 - 1)
counts = strategies.integers(0, 65_535)


@then("any samples and capacities are read as they were, within a step")
def check_packing(context):
    @hypothesis_settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @for_any(
        strategies.lists(
            strategies.builds(SpeedSample, digests, counts, logs, counts),
            max_size=256,
        ),
        strategies.lists(
            strategies.builds(EndpointCapacity, digests, logs, counts),
            max_size=256,
        ),
    )
    def check(sent, known):
        check_same(sent, unpack_samples(pack_samples(sent)))
        check_same(known, unpack_capacities(pack_capacities(known)))

    check()


def check_same(sent, received):
    assert len(sent) == len(received)
    for before, after in zip(sent, received, strict=True):
        assert abs(before.log_ratio - after.log_ratio) <= LOG_UNIT
        assert attrs.evolve(after, log_ratio=before.log_ratio) == before


@then("data that is cut off is refused")
def check_cut_off(context):
    sample = pack_samples([SpeedSample(1, 2, 0.5, 3)])
    capacity = pack_capacities([EndpointCapacity(1, 0.5, 3)])
    for unpack, data in (
        (unpack_samples, sample),
        (unpack_capacities, capacity),
    ):
        try:
            unpack(data[:-1])
        except ValueError:
            continue
        raise AssertionError(data)


@attrs.define(eq=False)
class RecordingLink:
    """A link that keeps what is sent on it."""

    peer: str
    sent: list = attrs.field(factory=list)
    closed: anyio.Event = attrs.field(factory=anyio.Event)

    def send(self, message):
        """Keeps a message."""
        self.sent.append(message)

    def send_encoded(self, data):
        """Keeps an encoded message."""
        self.sent.append(CONTROL.decode(data))

    def close(self):
        """Fails: nothing here closes a link."""
        raise AssertionError("closed")

    def reports(self) -> set[str]:
        """Returns the names of the classes of this feature that were sent."""
        kinds = (SpeedReport, CapacityReport)
        return {type(m).__name__ for m in self.sent if isinstance(m, kinds)}


@given("a member with a router and a member that accept {names}")
def member_with_peers(context, names):
    accepts = () if names == "nothing" else tuple(names.split(", "))
    context.clock = ManualClock(100.0)
    context.timers = Timers(context.clock)
    metrics = create_metrics(None, 0, "")
    context.relay = MemberRelay("m-1", "z", context.clock, metrics, None)
    context.relay.start(None, context.timers)
    context.router = RecordingLink("r-1")
    context.member = RecordingLink("m-2")
    subscribe = Subscribe("r-1", "z", accepts=accepts)
    context.relay.handle(context.router, subscribe)
    context.relay.subscribe_to("m-2", context.member)
    accepted = Subscribed("m-2", "z", accepts=accepts)
    context.relay.handle(context.member, accepted)


@when("another router reports samples of a slow endpoint for {seconds:d} s")
def report_slow(context, seconds):
    link = RecordingLink("r-2")
    names = ("SpeedReport", "CapacityReport")
    context.relay.handle(link, Subscribe("r-2", "z", accepts=names))
    report = SpeedReport(pack_samples([SpeedSample(7, 1, 1.3, 2)]))
    for turn in range(seconds * 10):
        context.clock.time += 0.1
        if turn % 5 == 0:
            context.relay.handle(link, report)
        context.timers.fire()


@then("the router has got {to_router} and the member {to_member}")
def check_reports(context, to_router, to_member):
    for link, expected in (
        (context.router, to_router),
        (context.member, to_member),
    ):
        names = set() if expected == "nothing" else {expected}
        assert link.reports() == names, (link.peer, link.reports())


@given('a settings file with policies "{policies}"')
def settings_with_policies(context, policies):
    context.node = Node(
        {
            "nodeName": "proxy-1",
            "bindIp": "10.0.0.1",
            "zone": "z",
            "zones.z": "here",
            "seedNodes": "10.0.0.2:80",
            "portRange": "9000,9010",
            "endpoints.front": "10.0.0.1:80",
            "endpoints.ready": "10.0.0.1:81",
            "policies": policies,
        }
    )


@then("the proxy learns capacities: {learns}")
def check_learns(context, learns):
    found = proxy_settings(context.node).learnt_capacity
    assert found == (learns == "yes"), found


SERVICE = Endpoint(
    *("i-1", "1", "http://10.0.0.1:80", EndpointKind.SERVICE, ("desk",)),
)


@given("a proxy's client of a member that accepts reports")
def create_client(context):
    context.clock = ManualClock(100.0)
    context.timers = Timers(context.clock)
    context.chooser = EndpointChooser(
        ChoiceConfig(learnt_capacity=True), PartsIndex()
    )
    context.chooser.set_listed([SERVICE], 0.0)
    context.client = RelayClient(
        *("p-1", "z", b"", (), None, lambda loads: None)
    )
    metrics = create_metrics(None, 0, "")
    CapacityClient(
        context.chooser, context.client, context.clock, metrics
    ).subscribe(context.timers)
    context.link = RecordingLink("m-1")
    context.client._link = context.link
    accept_subscription(context)


@when("another member accepts the subscription")
def accept_subscription(context):
    names = (SpeedReport.__name__, CapacityReport.__name__)
    deliver(context, Subscribed("m-1", "z", accepts=names))


def deliver(context, message):
    anyio.run(context.client._handle, context.link, message)
    pass_time(context)


def pass_time(context):
    for _ in range(10):
        context.clock.time += 0.1
        context.timers.fire()


@when("the proxy has got {count:d} answers from an endpoint")
def get_answers(context, count):
    chooser = context.chooser
    for _ in range(count):
        now = context.clock.time
        observation = chooser.start_observation(SERVICE, None, "r", 0, now)
        context.clock.time += 0.1
        chooser.end_observation(observation, context.clock.time)
    pass_time(context)


@when(
    'requests with {tokens:d} tokens of a model and of a route "{name}" are '
    "observed"
)
def observe_both(context, tokens, name):
    prompt = Prompt(model="m", tokens=tokens, max_tokens=1)
    context.kinds = [
        context.chooser.start_observation(SERVICE, *sent, 0.0).kind
        for sent in ((prompt, "stream", tokens), (None, name, 0))
    ]


@then("they are of different kinds")
def check_kinds(context):
    assert len(set(context.kinds)) == 2, context.kinds


@then("a message with samples goes to the member")
def check_message(context):
    reports = [m for m in context.link.sent if isinstance(m, SpeedReport)]
    found = [s for r in reports for s in unpack_samples(r.packed)]
    digest = incarnation_digest(SERVICE.id, SERVICE.incarnation)
    assert found and {s.endpoint for s in found} == {digest}, found


@when("the member says that the endpoint is {factor:d} times as slow")
def say_slow(context, factor):
    digest = incarnation_digest(SERVICE.id, SERVICE.incarnation)
    capacity = EndpointCapacity(digest, math.log(factor), 0)
    deliver(context, CapacityReport(pack_capacities([capacity])))


@then("the endpoint is known to be {factor:d} times as slow")
def check_known(context, factor):
    (found,) = [s.learnt_slowness for s in context.chooser._stats]
    assert abs(found - factor) < 0.1 * factor, found
