"""Steps for endpoints that name a limit, in virtual time."""

from behave import given, then, when

from adapter.headers import PlatformDialect
from features.limit_world import LimitWorld
from knapweedarch.http_outbound import AnswerHead

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
    context.limit = PlatformDialect().rate_limit(head)


@then("the limit is {limit}")
def check_limit(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.limit == expected, context.limit
