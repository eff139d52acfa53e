"""Steps for room that a router holds."""

import random

from behave import given, then, when

from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.held_room import OpenRoom
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.stored_parts import PartsIndex

NOW = 50.0
SEED = 4
ENDPOINT = Endpoint(
    *("i-1", "1", "http://10.0.0.1:80", EndpointKind.SERVICE, ("desk",)),
    slots=4,
)


@given("an endpoint that must not turn requests away")
def cautious_endpoint(context):
    context.chooser = EndpointChooser(ChoiceConfig(), PartsIndex(), SEED)
    choose(context, NOW)
    context.chooser.record_sent(ENDPOINT, None, 0, NOW)


def choose(context, now):
    return context.chooser.choose(
        *([ENDPOINT], None, (), now), cautious=(ENDPOINT.id,)
    )


@when("a request ends there with an answer")
def request_ends(context):
    context.chooser.record_ended(ENDPOINT, None)


@when("a request ends there right after a rejection")
def request_rejected(context):
    context.chooser.record_overload(ENDPOINT, NOW)
    context.chooser.record_ended(ENDPOINT, None)


@then("after {seconds:g} s the router holds {count:d} slots")
def check_held(context, seconds, count):
    context.chooser.set_peer_loads((), NOW + seconds)
    loads = context.chooser.own_loads()
    assert sum(load.requests for load in loads) == count, loads


@then("the router reports a load of {count:d}")
def check_load(context, count):
    check_held(context, 0.0, count)


@when("it sends a request there")
def send_again(context):
    assert choose(context, NOW) == ENDPOINT
    context.chooser.record_sent(ENDPOINT, None, 0, NOW)


@given("{routers:d} routers that each get {rate:d} requests a second")
def create_open_room(context, routers, rate):
    context.routers, context.rate = routers, rate
    context.room = OpenRoom(random.Random(SEED))


@when("{count:d} slots are open")
def open_slots(context, count):
    context.taken = [
        context.room.may_take(count, context.routers, turn / context.rate)
        for turn in range(20 * context.rate)
    ]


@then("at least {share:g} of the requests may take one")
def check_taken(context, share):
    assert sum(context.taken) >= share * len(context.taken)
