"""Steps for long prompts beside answers, in virtual time without network."""

import heapq
import random

from behave import given, then, when

from adapter.headers import PlatformDialect
from features.proxy_harness import KnownOrigins
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.deployments import (
    Engine,
    Repeatability,
    Route,
    Service,
    SplitShare,
)
from knapweedarch.dialects import CallerOptions
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.endpoint_identity import EndpointIdentities
from knapweedarch.endpoint_rates import create_endpoint_limits
from knapweedarch.endpoint_statements import create_endpoint_waits
from knapweedarch.http_messages import Request
from knapweedarch.load_relay import LoadRelay
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.peer_loads import PeerLoads
from knapweedarch.prefill_rates import PrefillRates
from knapweedarch.prompt_admission import PromptSizes, PromptWaits, Waiting
from knapweedarch.prompt_parts import Prompt, PromptPart
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import ProxyCall
from knapweedarch.proxy_refusals import make_refusal
from knapweedarch.relay_messages import unpack_loads
from knapweedarch.repeat_budget import RepeatLimits
from knapweedarch.runner_roles import RunnerRoles
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import ManualClock

MODEL = "m"
SLOTS = 64
MEMORY_TOKENS = 110_000
# Time to generate one token of an answer.
TOKEN_S = 0.006
LONG_TOKENS = 9_000


def create_runners(count: int, centres: int) -> list[Endpoint]:
    return [
        Endpoint(
            *(f"r{i}", "1", f"http://10.0.0.{i}:80"),
            *(EndpointKind.RUNNER, ("models", MODEL), "1"),
            slots=SLOTS,
            data_centre=f"z{i % centres}",
        )
        for i in range(count)
    ]


def create_prompt(tokens: int, max_tokens: int, part: int) -> Prompt:
    return Prompt(
        model=MODEL,
        tokens=tokens,
        max_tokens=max_tokens,
        parts=(PromptPart(f"p{part}", tokens // 2), PromptPart("own", 1)),
    )


@given("runners that prefill {speed:d} tokens a second")
def set_speed(context, speed):
    context.speed, context.rates = speed, PrefillRates()
    context.now = 0.0


@when(
    "{count:d} requests of {least:d} to {most:d} tokens have got their first"
    " event"
)
def record_first_events(context, count, least, most):
    rng = random.Random(5)
    for _ in range(count):
        context.now += 0.1
        tokens = rng.randint(least, most)
        seconds = (0.04 + tokens / context.speed) * rng.uniform(0.9, 1.2)
        context.rates.record(MODEL, tokens, seconds, context.now)


@when("{count:d} requests of {tokens:d} tokens got theirs after {seconds:f} s")
def record_stalls(context, count, tokens, seconds):
    for _ in range(count):
        context.rates.record(MODEL, tokens, seconds, context.now)


@then(
    "the estimated speed is within {percent:d} in 100 of {speed:d} tokens a"
    " second"
)
def check_speed(context, percent, speed):
    found = context.rates.rate(MODEL).tokens_s
    assert abs(found - speed) <= percent / 100 * speed, found


@given(
    "{count:d} runners in {centres:d} data centres that prefill {speed:d}"
    " tokens a second"
)
def set_runners(context, count, centres, speed):
    context.runners = create_runners(count, centres)
    context.speed = speed


def prompt_tokens_beside_chats(context, role_penalty_s: float) -> float:
    """Simulates chats and long prompts.

    Returns:
        The prompt tokens that a chat's runner reads while it runs, on average.
    """
    choosers = [
        EndpointChooser(
            ChoiceConfig(role_penalty_s=role_penalty_s), PartsIndex()
        )
        for _ in range(context.routers)
    ]
    rng, relay = random.Random(9), LoadRelay()
    peers = [PeerLoads() for _ in choosers]
    free_at = dict.fromkeys((r.id for r in context.runners), 0.0)
    chats: list[tuple[str, float, float]] = []
    reads: list[tuple[str, float]] = []
    ends: list[tuple[float, int, tuple]] = []
    at, number = 0.0, 0
    rate = context.long_rate + context.chat_rate
    while at < context.seconds:
        at += rng.expovariate(rate)
        while ends and ends[0][0] <= at:
            _, _, (chooser, runner, prompt, unread) = heapq.heappop(ends)
            if unread:
                chooser.record_prompt_read(runner, unread)
            else:
                chooser.record_ended(runner, prompt)
        number += 1
        is_long = rng.random() < context.long_rate / rate
        tokens, answer = (LONG_TOKENS, 13) if is_long else (800, 73)
        prompt = create_prompt(tokens, answer, rng.randrange(400))
        router = rng.randrange(len(choosers))
        chooser = choosers[router]
        runner = chooser.choose(
            *(context.runners, prompt, (), at), memory_tokens=MEMORY_TOKENS
        )
        chooser.record_sent(runner, prompt, tokens, at)
        read_at = max(at, free_at[runner.id]) + tokens / context.speed
        free_at[runner.id] = read_at
        end = read_at + answer * TOKEN_S
        chooser.record_first_event(prompt, tokens, read_at - at, at)
        heapq.heappush(
            ends, (read_at, number, (chooser, runner, prompt, tokens))
        )
        heapq.heappush(ends, (end, -number, (chooser, runner, prompt, 0)))
        if is_long:
            reads.append((runner.id, read_at))
        else:
            chats.append((runner.id, read_at, end))
        exchange_loads(relay, choosers, peers, at)
    beside = sum(
        LONG_TOKENS
        for runner, begin, end in chats
        for other, read_at in reads
        if other == runner and begin < read_at < end
    )
    return beside / len(chats)


def exchange_loads(relay, choosers, peers, at) -> None:
    """Reports the loads of all routers to each other at once."""
    for number, (chooser, peer) in enumerate(zip(choosers, peers, strict=True)):
        changes = peer.take_changes(chooser.own_loads())
        if changes is not None:
            loads = unpack_loads(changes.packed)
            relay.apply(number, loads, is_member=False)
            peer.confirm(changes.number)
    totals = relay.total.take_changes()
    for chooser, peer in zip(choosers, peers, strict=True):
        peer.receive(totals)
        chooser.set_peer_loads(peer.others(), at)


@when(
    "{routers:d} routers send {long:d} long prompts and {chats:d} chats a"
    " second for {seconds:d} s"
)
def send_both_kinds(context, routers, long, chats, seconds):
    context.routers, context.seconds = routers, seconds
    context.long_rate, context.chat_rate = long, chats


@then("chats run beside less than half as many prompt tokens as without roles")
def check_roles_help(context):
    with_roles = prompt_tokens_beside_chats(
        context, ChoiceConfig().role_penalty_s
    )
    without = prompt_tokens_beside_chats(context, 0.0)
    assert with_roles < 0.5 * without, (with_roles, without)


@given("{count:d} runners in one data centre")
def set_one_data_centre(context, count):
    context.runners = create_runners(count, 1)


@then("a share of {share:f} for answers prefers {count:d} runners for them")
def check_role_count(context, share, count):
    roles = RunnerRoles()
    found = roles.mismatched(context.runners, share, heavy=True)
    assert len(found) == count, found
    others = roles.mismatched(context.runners, share, heavy=False)
    assert not found & others


@given("a latency goal of {goal:f} s")
def set_goal(context, goal):
    context.goal = goal


def create_attempts(context) -> Attempts:
    context.clock = ManualClock(100.0)
    index = PartsIndex()
    metrics = create_metrics(None, 0, "test")
    attempts = Attempts(
        clock=context.clock,
        metrics=metrics,
        dialect=PlatformDialect(),
        pool=None,
        chooser=EndpointChooser(ChoiceConfig(), index),
        index=index,
        guard=create_crash_guard(1),
        endpoint_limits=create_endpoint_limits(1),
        endpoint_waits=create_endpoint_waits(1),
        origins=KnownOrigins(),
        identities=EndpointIdentities(
            None, context.clock, metrics, lambda: 0.0
        ),
        limits=RepeatLimits(0.2, 50.0, 10.0),
        start_refusal=lambda: None,
        started_at=0.0,
    )
    attempts.set_endpoints(context.runners)
    return attempts


def create_call(context, prompt: Prompt) -> ProxyCall:
    now = context.clock.now()
    route = Route(
        name="digest",
        host="h",
        path_prefix="/",
        repeatability=Repeatability.STREAM,
        timeout_s=5.0,
        goal_s=context.goal,
        priority=0,
        split=(SplitShare("models", 1.0),),
    )
    engine = Engine(SLOTS, MEMORY_TOKENS, 1, 1e9, 8, (MODEL,))
    return ProxyCall(
        req=Request(method=b"POST", target=b"/", headers=()),
        options=CallerOptions(request_id="r", prompt=prompt),
        route=route,
        service=Service("models", engine=engine),
        customer=None,
        deadline=now + 5.0,
        started_at=now,
    )


def offer(context, attempts: Attempts, number: int) -> Endpoint | None:
    prompt = create_prompt(LONG_TOKENS, 13, number)
    call = create_call(context, prompt)
    runner = attempts.choose(call)
    if runner is None:
        refusal = make_refusal(call, attempts.clock, attempts.metrics)
        context.refusals.append(refusal)
        return None
    now = context.clock.now()
    attempts.chooser.record_sent(runner, prompt, LONG_TOKENS, now)
    begin = max(now, context.free_at[runner.id])
    read_at = begin + LONG_TOKENS / context.speed
    context.free_at[runner.id] = read_at
    context.first_events.append((read_at, runner, prompt, now))
    context.waits.append(read_at - now)
    return runner


def start_offers(context) -> Attempts:
    context.waits, context.refusals, context.first_events = [], [], []
    context.free_at = dict.fromkeys((r.id for r in context.runners), 0.0)
    return create_attempts(context)


@when("long prompts that need twice that speed arrive for {seconds:d} s")
def overload(context, seconds):
    attempts, rng = start_offers(context), random.Random(3)
    context.seconds = seconds
    rate = 2 * len(context.runners) * context.speed / LONG_TOKENS
    end, number = context.clock.now() + seconds, 0
    while context.clock.now() < end:
        context.clock.time += rng.expovariate(rate)
        now, number = context.clock.now(), number + 1
        for event in [e for e in context.first_events if e[0] <= now]:
            context.first_events.remove(event)
            read_at, runner, prompt, sent_at = event
            attempts.chooser.record_prompt_read(runner, LONG_TOKENS)
            attempts.chooser.record_ended(runner, prompt)
            ahead = round((read_at - sent_at) * context.speed)
            attempts.chooser.record_first_event(
                prompt, ahead, read_at - sent_at + 0.04, now
            )
        offer(context, attempts, number)


@then(
    "at least {percent:d} in 100 of those sent get their first event within"
    " {limit:f} s"
)
def check_waits(context, percent, limit):
    in_time = sum(wait <= limit for wait in context.waits)
    assert in_time >= percent / 100 * len(context.waits), sorted(context.waits)


@then("at least {percent:d} in 100 of the runners' speed is used")
def check_used(context, percent):
    used = len(context.waits) * LONG_TOKENS / context.seconds
    possible = len(context.runners) * context.speed
    assert used >= percent / 100 * possible, used / possible


@then("each refusal says that the request has not run and when to return")
def check_refusals(context):
    assert context.refusals
    for answer in context.refusals:
        headers = dict(answer.headers)
        assert answer.status == 503, answer
        assert 0.05 <= float(headers[b"retry-after"]) <= 5.0 / 3, headers


@when("one long prompt arrives")
def offer_one(context):
    context.found = offer(context, start_offers(context), 1)


@then("it is sent to a runner")
def check_sent(context):
    assert context.found is not None


@given("large prompts that were expected to take {expected:f} s")
def set_expected(context, expected):
    context.waits, context.expected, context.now = PromptWaits(), expected, 0.0


@when("{count:d} of them have waited for {seconds:f} s")
def wait_for_prompts(context, count, seconds):
    context.waiting = [
        Waiting(MODEL, context.now, context.expected) for _ in range(count)
    ]
    for waiting in context.waiting:
        context.waits.start(waiting)
    context.now += seconds


@when("they are read, and {seconds:f} s pass")
def read_prompts(context, seconds):
    for waiting in context.waiting:
        context.waits.end(waiting, context.now, was_read=True)
    context.now += seconds


@then("the wait counts as {seconds:f} s")
def check_wait(context, seconds):
    assert abs(context.waits.excess_s(context.now) - seconds) < 0.001


@given("recent prompts of {sizes} tokens")
def set_sizes(context, sizes):
    context.sizes = PromptSizes()
    for tokens in sizes.split():
        context.sizes.record(int(tokens), 1.0)


@then("a prompt of {tokens:d} tokens is {kind}")
def check_size(context, tokens, kind):
    assert context.sizes.is_large(tokens) == (kind == "large")
