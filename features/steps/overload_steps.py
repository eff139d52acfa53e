"""Steps for requests to a router that lacks processor time."""

import socket
import time

import anyio
from behave import given, then, when

from features.proxy_harness import open_proxy, receive_all, request
from knapweedarch.deployments import (
    Deployment,
    Repeatability,
    Route,
    Service,
    SplitShare,
)
from knapweedarch.overload import LoopDelay, create_overload_control

TIMER_S = 0.05
# Time in which a request that is sent on would have reached its endpoint.
ARRIVAL_S = 0.4
SAMPLES = 200
MOST_SHARE = 0.8


@when("a timer of 0.05 s is late by {delays} s")
def delay_timer(context, delays):
    context.delay = LoopDelay(TIMER_S)
    now = 100.0
    context.delay.record_call(now)
    for delay in delays.split(","):
        now += TIMER_S + float(delay)
        context.delay.record_call(now)


@then("the standing delay is {standing:g} s")
def check_standing(context, standing):
    found = context.delay.standing_s
    assert abs(found - standing) < 1e-6, found


@given(
    "routes of one service with priority {first:d} and goal {goal:g} s,"
    " and {second:d} and {other_goal:g} s"
)
def plan_routes(context, first, goal, second, other_goal):
    def route(priority, goal_s):
        return Route(
            *(f"priority {priority}", "shop.example", f"/{priority}/"),
            *(Repeatability.STREAM, 10.0, goal_s, priority),
            (SplitShare("models", 1.0),),
        )

    context.routes = {
        first: route(first, goal),
        second: route(second, other_goal),
    }
    context.control = create_overload_control(TIMER_S, seed=1)
    context.control.set_deployment(
        Deployment(1, tuple(context.routes.values()), (Service("models"),))
    )


@when("each turn takes {delay:g} s longer for {seconds:g} s")
def delay_turns(context, delay, seconds):
    now, end = 100.0, 100.0 + seconds
    while now < end:
        now += TIMER_S + delay
        context.control.tick(now)
    context.now = now


@when("no turn takes longer for {seconds:g} s")
def recover(context, seconds):
    for number in range(round(seconds / TIMER_S)):
        context.control.tick(context.now + (number + 1) * TIMER_S)


@then(
    "requests of priority {first:d} are {urgent},"
    " those of priority {second:d} are {patient}"
)
def check_refusals(context, first, urgent, second, patient):
    for priority, expected in ((first, urgent), (second, patient)):
        refused = [
            context.control.refuses(context.routes[priority])
            for _ in range(SAMPLES)
        ]
        share = sum(refused) / SAMPLES
        assert (share > MOST_SHARE) == (expected == "refused"), share
        assert (share == 0) == (expected == "admitted"), share


@when(
    "a caller sends a request and {leaves} while the process is held for"
    " {seconds:g} s"
)
def leave_while_held(context, leaves, seconds):
    async def run():
        async with open_proxy() as fixture:
            context.runners = [await fixture.add_runner(context.modes[0])]
            stream = await anyio.connect_tcp("127.0.0.1", fixture.port)
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            serve = fixture.server.handler

            async def hold_and_serve(req, responder):
                # The caller acts while the loop is held, which shows only in a
                # later turn.
                if leaves == "leaves":
                    await anyio.aclose_forcefully(stream)
                else:
                    raw.shutdown(socket.SHUT_WR)
                time.sleep(seconds)  # noqa: ASYNC251
                await serve(req, responder)

            fixture.server.handler = hold_and_serve
            await stream.send(request("once"))
            if leaves == "leaves":
                await anyio.sleep(seconds + ARRIVAL_S)
                return
            answer = await receive_all(stream, 1.0)
            # Interim answers may come first.
            last = answer.rpartition(b"HTTP/1.1 ")[2]
            context.status = int(last[:3])

    anyio.run(run)


@then("the caller that waits gets status {status:d}")
def check_waiting_caller(context, status):
    assert context.status == status, context.status
