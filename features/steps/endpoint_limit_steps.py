"""Steps for endpoints that name a limit, in virtual time."""

from behave import given, then, when

from adapter.headers import PlatformDialect
from features.limit_world import LimitWorld
from knapweedarch.endpoint_rates import create_endpoint_limits
from knapweedarch.http_outbound import AnswerHead
from knapweedarch.rate_messages import EndpointRates, RateEntry

SEED = 11
# Requests count from this long after the limit was first named.
GRACE_S = 3.0
WINDOW_S = 4.0


@given("{routers:d} routers, {members:d} members and {runners:d} runners")
def create_world(context, routers, members, runners):
    context.limit_world = LimitWorld(routers, members, runners, SEED)


@given("no member answers")
def lose_members(context):
    context.limit_world.is_shared = False


@when(
    "{count:d} of them take {limit:g} requests a second while {demand:g} come"
    " for {seconds:g} s"
)
def send_requests(context, count, limit, demand, seconds):
    world = context.limit_world
    world.limits[:count] = [limit] * count
    world.limits[count:] = [None] * (len(world.limits) - count)
    context.limits = dict.fromkeys(range(count), limit)
    context.from_s = getattr(context, "from_s", world.now + GRACE_S)
    world.run(demand, seconds)


@when("all routers restart in turn")
def restart_routers(context):
    world = context.limit_world
    for number in range(len(world.routers)):
        world.restart_router(number)
        world.run(60, 0.3)


@then("none gets over one and a half times its limit and 5 in 4 s")
def check_limits(context):
    for endpoint, limit in context.limits.items():
        times = [
            s.at
            for s in context.limit_world.sent
            if s.endpoint == endpoint and s.at >= context.from_s
        ]
        most = max(
            (sum(a <= t < a + WINDOW_S for t in times) for a in times),
            default=0,
        )
        assert most <= 1.5 * limit * WINDOW_S + 5, (endpoint, most)


@then("at least {share:g} of the requests that the limits allow are sent")
def check_served(context, share):
    world = context.limit_world
    assert len(world.sent) >= share * world.allowed, (
        len(world.sent),
        world.allowed,
    )


@then("the last {seconds:g} s of requests were all sent")
def check_all_sent(context, seconds):
    world = context.limit_world
    late = [at for at in world.refused if at > world.now - seconds]
    assert not late, len(late)


@then("no router receives more than {most:d} bytes a second about limits")
def check_bytes(context, most):
    world = context.limit_world
    received = max(world.bytes_to.values()) / world.now
    assert 0 < received <= most, received


@when('an answer names the limit "{text}"')
def read_limit(context, text):
    head = AnswerHead(200, ((b"server-limit", text.encode()),))
    context.limit = PlatformDialect().statement(head).limit_per_s


@then("the limit is {limit}")
def check_limit(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.limit == expected, context.limit


@given("a router that knows of a limited endpoint, {what}")
def create_router(context, what):
    context.limited = create_endpoint_limits(SEED)
    context.limited.record_named(1, 5.0, 0.0)
    context.by_others = "others" in what


@when("a request is counted each 0.1 s for {seconds:d} s")
def count_requests(context, seconds):
    for turn in range(seconds * 10):
        now = turn / 10
        if context.by_others:
            rates = EndpointRates((RateEntry(1, 5.0, 1),))
            context.limited.receive(rates, now)
        else:
            context.limited.record_named(1, 5.0, now)
            context.limited.record_sent(1, now)


@then("at most {most:d} of them are remembered")
def check_remembered(context, most):
    remembered = len(context.limited._limited[1].sent)
    assert 1 <= remembered <= most, remembered
