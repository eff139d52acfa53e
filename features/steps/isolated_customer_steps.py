"""Steps for customers that share no cached parts."""

import functools
from collections.abc import Callable

import anyio
import attrs
from behave import given, then, when

from features.isolation_world import (
    NAMES,
    RUNNER,
    SimulatedRouter,
    World,
    play,
)
from knapweedarch.deployments import Engine, Service

CUSTOMERS = NAMES[:3]


def in_event_loop(step: Callable[..., None]) -> Callable[..., None]:
    """Makes a step run in an event loop, which the parts of a router need."""

    @functools.wraps(step)
    def run(*arguments, **named) -> None:
        async def run_step() -> None:
            step(*arguments, **named)

        anyio.run(run_step)

    return run


def change(world: World, isolated: str, names: tuple[str, ...]) -> None:
    """Submits a configuration, brings it to all routers and uses it."""
    world.put(frozenset(isolated.split()), names)
    world.tell_all()
    world.send_all()


def restart(world: World) -> None:
    """Restarts all routers, which then learn the configuration again."""
    for router in world.routers:
        router.restart()
    world.tell_all()


@given("two routers, and the customers a, b and c who have sent one prompt")
@in_event_loop
def given_world(context):
    context.world = World()
    change(context.world, "", CUSTOMERS)


@given("one of the routers is of the build before")
@in_event_loop
def given_earlier_router(context):
    world = context.world
    world.routers[1] = SimulatedRouter(is_earlier_build=True)
    world.tell(world.routers[1])
    world.send_all()


CHANGES = {
    "nothing is changed": [],
    "a is isolated": ["a"],
    "a is isolated, then a and b": ["a", "a b"],
    "a is isolated, then b": ["a", "b"],
    "a is isolated, then nobody, then a": ["a", "", "a"],
    "a is isolated, then b, then a": ["a", "b", "a"],
    "a is removed, then back and isolated": [None, "a"],
    "a is isolated, then removed, then back and isolated": ["a", None, "a"],
}


def apply_changes(world: World, changes: str) -> None:
    for isolated in CHANGES[changes]:
        if isolated is None:
            change(world, "", CUSTOMERS[1:])
        else:
            change(world, isolated, CUSTOMERS)


for _changes in CHANGES:

    @when(_changes)
    @in_event_loop
    def step_changes(context, changes=_changes):
        apply_changes(context.world, changes)

    @when(f"{_changes}, and all have sent it again")
    @in_event_loop
    def step_changes_and_send(context, changes=_changes):
        apply_changes(context.world, changes)
        context.world.send_all()


def lead_by_earlier_build(world: World) -> None:
    world.lead_by_earlier_build()
    restart(world)


def tell_one_router(world: World) -> None:
    """Isolates b as well; one router has not heard of it yet."""
    world.put(frozenset("ab"))
    world.tell(world.routers[0])


def submit(world: World, names: tuple[str, ...], **changes) -> None:
    """Submits a configuration and brings it to all routers.

    Who is isolated stays so, unless `changes` says otherwise.
    """
    now = frozenset(
        c.name for c in world.state.deployment.customers if c.isolated
    )
    world.put(**{"isolated": now, "names": names, **changes})
    world.tell_all()


def restore_snapshot(world: World) -> None:
    """Restores a snapshot; routers that restart learn what it holds."""
    world.restore_snapshot()
    restart(world)


EVENTS = {
    "nothing else happens": lambda world: None,
    "the routers restart": restart,
    "the members restore a snapshot": restore_snapshot,
    "a member of the build before leads": lead_by_earlier_build,
    "one of two routers hears that b is isolated as well": tell_one_router,
    "a priority is changed": lambda w: submit(w, CUSTOMERS, priority=1),
    "a customer is added": lambda w: submit(w, NAMES),
    "a is isolated no more": lambda w: submit(
        w, CUSTOMERS, isolated=frozenset()
    ),
    "a is removed": lambda w: submit(w, CUSTOMERS[1:], isolated=frozenset()),
}

for _event in EVENTS:

    @when(_event)
    @in_event_loop
    def step_event(context, event=_event):
        EVENTS[event](context.world)

    @when(f"{_event}, and all send it")
    @in_event_loop
    def step_event_and_send(context, event=_event):
        EVENTS[event](context.world)
        context.world.send_all()


@then("no customer uses a part of another one, if one of the two is isolated")
@in_event_loop
def check_no_foreign_use(context):
    assert not context.world.foreign_uses(), context.world.foreign_uses()


@when("a request of b is read, and b is isolated before it is sent")
@in_event_loop
def send_read_request(context):
    world = context.world
    router = world.routers[0]
    call = router.read("b")
    world.put(frozenset("b"))
    world.tell_all()
    world.uses.clear()
    world.send_call(router, call)


def options_without_model(context, name: str, service: Service, runner):
    """Returns what is added to a request that names no model."""
    router = context.world.routers[0]
    call = router.read(name)
    call.service = service
    call.options = attrs.evolve(call.options, prompt=None)
    return router.send_options(call, runner)


@then("requests without a model have a salt at a runner, that of a its own")
@in_event_loop
def check_salt_without_model(context):
    engine = Engine(8, 1, 1, 1.0, 1, ("m",))
    service = Service("desk", engine=engine)
    first, second, third = (
        options_without_model(context, name, service, RUNNER)
        for name in CUSTOMERS
    )
    assert first.cache_salt and second.cache_salt
    assert first.cache_salt != second.cache_salt == third.cache_salt
    # The salt names the weights, so a runner with others must refuse.
    assert first.weights_version == RUNNER.weights_version


@then("they have none at a plain service")
@in_event_loop
def check_no_salt(context):
    plain = attrs.evolve(RUNNER, serves=("desk",), weights_version="")
    options = options_without_model(context, "a", Service("desk"), plain)
    assert not options.cache_salt and not options.weights_version


@then("the request uses no part of another customer")
@in_event_loop
def check_own_parts(context):
    assert not context.world.foreign_uses(), context.world.foreign_uses()


@then("each customer finds what it found before")
@in_event_loop
def check_found(context):
    world = context.world
    for number, router in enumerate(world.routers):
        for customer in router.deployment.customers:
            is_new = customer.name not in CUSTOMERS
            assert is_new or world.send(router, customer.name), (
                f"{customer.name} at router {number}"
            )


@when("a is isolated and sends nothing")
@in_event_loop
def isolate_quietly(context):
    context.world.put(frozenset("a"))
    context.world.tell_all()


@then("the first request of b misses, and no other one of b or c at any router")
@in_event_loop
def check_one_miss(context):
    world = context.world
    first, second = world.routers
    assert not world.send(first, "b")
    for _ in range(2):
        for router in (first, second):
            assert world.send(router, "b") and world.send(router, "c")
        restore_snapshot(world)


@when("{count:d} seeded runs of {steps:d} random events are played")
@in_event_loop
def play_runs(context, count, steps):
    context.uses = {seed: play(seed, steps) for seed in range(count)}


@then("cached parts were used, by other customers too")
def check_used(context):
    uses = [use for found in context.uses.values() for use in found]
    shared = [use for use in uses if use.customer != use.maker]
    assert len(shared) > len(context.uses), (len(uses), len(shared))


@then("no customer used a part of another one, if one of the two was isolated")
@in_event_loop
def check_runs(context):
    foreign = {
        seed: [use for use in found if use.is_foreign]
        for seed, found in context.uses.items()
    }
    broken = {seed: uses for seed, uses in foreign.items() if uses}
    seed, uses = next(iter(broken.items()), (None, ()))
    assert not broken, f"{len(broken)} runs, seed {seed}: {uses}"
