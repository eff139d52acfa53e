"""Steps for requests that wait at a router until a runner has room."""

import anyio
from behave import given, then, when

from features import contention_world as world
from knapweedarch.proxy_refusals import make_refusal
from knapweedarch.timers import Clock

LOOK_S = 0.01


@given("a router in front of a runner whose memory is full")
def given_full_runner(context):
    flow = world.Flow("customer 0", world.PATIENT, 1.0)
    made = world.World(1, 1, [flow], memory=20_000)
    context.attempts, context.made = made.attempts[0], made
    # Waits are measured in real time.
    context.attempts.fair._clock = context.attempts.clock = Clock()
    context.endpoint = made.runners[0].endpoint
    context.filler = create_call(context, 4.0).options.prompt
    for _ in range(2):
        context.attempts.chooser.record_sent(
            context.endpoint, context.filler, 0, context.attempts.now()
        )


def create_call(context, left_s: float):
    made = context.made
    sent = world.Sent(made.flows[0], 0.0, 9_000, 0, 1)
    call = made._create_call(sent)
    now = context.attempts.clock.now()
    call.started_at, call.deadline = now, now + left_s
    return call


async def look(attempts) -> None:
    """Lets waiting requests look for room, as the router's timer does."""
    while True:
        await anyio.sleep(LOOK_S)
        attempts.fair.refresh(attempts.now())


async def place(context, call, later, group) -> None:
    """Places a request while `later` runs beside it."""

    async def run() -> None:
        context.placed = await context.attempts.place(call)
        group.cancel_scope.cancel()

    group.start_soon(look, context.attempts)
    group.start_soon(run)
    await anyio.sleep(5 * LOOK_S)
    context.waiting = context.attempts.fair.admission.waiting_count
    later(group)


def run_place(context, left_s: float, later) -> None:
    async def run() -> None:
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                await place(context, context.call, later, group)

    context.placed = None
    context.call = create_call(context, left_s)
    anyio.run(run)


@when("a request is placed, and later the runner has room")
def place_with_room(context):
    def free(group) -> None:
        chooser = context.attempts.chooser
        chooser.record_ended(context.endpoint, context.filler)

    run_place(context, 4.0, free)


@when("a request is placed, and its caller leaves")
def place_and_leave(context):
    run_place(context, 4.0, lambda group: group.cancel_scope.cancel())
    assert context.waiting == 1, context.waiting


@when("a request with {left:f} s left is placed, and the runner stays full")
def place_and_time_out(context, left):
    run_place(context, left, lambda group: None)


@then("it has waited and is placed at the runner")
def check_placed(context):
    assert context.waiting == 1, context.waiting
    assert context.placed is context.endpoint, context.placed


@then("no request is counted as waiting")
def check_none_waiting(context):
    admission = context.attempts.fair.admission
    assert admission.waiting_count == 0, admission.waiting_count


@then("it is refused as not run, with the time after which to return")
def check_refused(context):
    assert context.placed is None
    attempts = context.attempts
    answer = make_refusal(context.call, attempts.clock, attempts.metrics)
    assert answer.status == 503, answer
    assert float(dict(answer.headers)[b"retry-after"]) >= 0.05
