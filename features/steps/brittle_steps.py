"""Steps for endpoints that fall over when they turn many requests away."""

import bisect
import heapq
import random

import attrs
from behave import given, then, when

from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.endpoint_statements import (
    EndpointStatement,
    create_brittle_endpoints,
    create_endpoint_waits,
)
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.relay_messages import EndpointLoad
from knapweedarch.stored_parts import PartsIndex

LOAD_FACTOR = 1.5
RUN_S = 1.0
STEP_S = 0.05
LOADS_AGE_STEPS = 5


@then("the endpoint is brittle at {number}")
def check_brittle(context, number):
    expected = None if number == "none" else float(number)
    assert context.statement.brittle_per_s == expected, context.statement


@attrs.define
class Slots:
    """An endpoint that lets no request wait."""

    endpoint: Endpoint
    running: list[float] = attrs.field(factory=list)
    rejected_at: list[float] = attrs.field(factory=list)
    used: int = 0

    def offer(self, now: float, end: float) -> bool:
        """Runs a request, or turns it away."""
        while self.running and self.running[0] <= now:
            heapq.heappop(self.running)
        if len(self.running) >= self.endpoint.slots:
            self.rejected_at.append(now)
            return False
        heapq.heappush(self.running, end)
        self.used += 1
        return True


class Router:
    """A router's choice among the endpoints."""

    def __init__(self, number: int, count: int):
        self.chooser = EndpointChooser(ChoiceConfig(), PartsIndex(), number)
        self.chooser.set_router_count(count)
        self.waits = create_endpoint_waits(number)
        self.brittle = create_brittle_endpoints()
        self.ends: list[tuple[float, str]] = []


@given(
    "{routers:d} routers and {endpoints:d} endpoints with {slots:d} slots and"
    " brittle at {number:d}"
)
def given_world(context, routers, endpoints, slots, number):
    context.limit = number
    context.routers = [Router(n, routers) for n in range(routers)]
    context.slots = {
        f"i-{n}": Slots(
            Endpoint(
                *(f"i-{n}", "1", f"http://10.0.0.{n}:80"),
                *(EndpointKind.SERVICE, ("desk",)),
                slots=slots,
            )
        )
        for n in range(endpoints)
    }


def share_loads(context, history, now):
    """Tells each router what the others had under way some time ago."""
    own = [
        {load.endpoint: load for load in r.chooser.own_loads()}
        for r in context.routers
    ]
    history.append(own)
    if len(history) <= LOADS_AGE_STEPS:
        return
    old = history[-1 - LOADS_AGE_STEPS]
    totals: dict[int, int] = {}
    for loads in old:
        for digest, load in loads.items():
            totals[digest] = totals.get(digest, 0) + load.requests
    for router, loads in zip(context.routers, old, strict=True):
        others = []
        for digest, total in totals.items():
            mine = loads[digest].requests if digest in loads else 0
            others.append(EndpointLoad(digest, total - mine, 0, 0))
        router.chooser.set_peer_loads(others, now)


def send(context, router, endpoints, now, rng):
    """Sends one request to the endpoint that a router chooses, if any."""
    barred = {e.id for e in endpoints if router.waits.wait_s(e, now)}
    cautious = {
        e.id for e in endpoints if router.brittle.limit(e, now) is not None
    }
    endpoint = router.chooser.choose(
        *(endpoints, None, (), now), barred=barred, cautious=cautious
    )
    if endpoint is None:
        return
    statement = EndpointStatement(brittle_per_s=context.limit)
    router.brittle.record(endpoint, statement, now)
    end = now + rng.uniform(0.5, 1.5) * RUN_S
    if context.slots[endpoint.id].offer(now, end):
        router.chooser.record_sent(endpoint, None, 0, now)
        heapq.heappush(router.ends, (end, endpoint.id))
        return
    router.chooser.record_overload(endpoint, now)
    router.chooser.claim_room(endpoint, now)
    wait_s = router.brittle.wait_after_rejection_s(endpoint, now)
    router.waits.record(endpoint, EndpointStatement(wait_s=wait_s), now)


@when("requests come for {seconds:d} s")
def requests_come(context, seconds):
    rng = random.Random(3)
    endpoints = [s.endpoint for s in context.slots.values()]
    capacity = sum(e.slots for e in endpoints) / RUN_S
    due, history = 0.0, []
    context.seconds = seconds
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        for router in context.routers:
            while router.ends and router.ends[0][0] <= now:
                _, endpoint_id = heapq.heappop(router.ends)
                ended = context.slots[endpoint_id].endpoint
                router.chooser.record_ended(ended, None)
        share_loads(context, history, now)
        due += capacity * LOAD_FACTOR * STEP_S
        times = sorted(rng.uniform(0, STEP_S) for _ in range(int(due)))
        due -= len(times)
        for place in times:
            router = rng.choice(context.routers)
            send(context, router, endpoints, now + place, rng)


@then(
    "from {begin:d} s on no endpoint turns more than {most:d} requests away in"
    " a second"
)
def check_rejections(context, begin, most):
    worst = 0
    for slots in context.slots.values():
        times = [t for t in slots.rejected_at if t >= begin]
        for place, at in enumerate(times):
            until = bisect.bisect_left(times, at + 1.0)
            worst = max(worst, until - place)
    assert worst <= most, worst


@then("the endpoints use at least {share:g} of their slots")
def check_use(context, share):
    used_s = sum(s.used for s in context.slots.values()) * RUN_S
    slots = sum(s.endpoint.slots for s in context.slots.values())
    assert used_s >= share * slots * context.seconds, used_s / slots
