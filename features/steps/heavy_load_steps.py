"""Steps for runner choice, caches and repeats under load, without network."""

import random

from behave import given, then, when

from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.load_relay import LoadRelay
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.peer_loads import PeerLoads
from knapweedarch.process_pauses import PauseDetector
from knapweedarch.prompt_parts import Prompt, PromptPart
from knapweedarch.relay_messages import (
    EndpointLoad,
    endpoint_digest,
    unpack_loads,
)
from knapweedarch.relayed_parts import RelayedParts
from knapweedarch.repeat_budget import RepeatBudget, RepeatLimits
from knapweedarch.source_relay import FeedSource, SourceRelay
from knapweedarch.stored_parts import (
    CacheChanges,
    PartChange,
    PartKey,
    PartsIndex,
    SaveLimiter,
)
from knapweedarch.timers import ManualClock, Timers

MEMORY_TOKENS = 70_000
NOW = 100.0
SALT = "1."


def create_runner(number: int, weights: str = "1") -> Endpoint:
    return Endpoint(
        *(f"r{number}", "1", f"http://10.0.0.{number}:80"),
        *(EndpointKind.RUNNER, ("models", "m"), weights),
        slots=48,
    )


def create_long_prompt(document: int = 0, own: int = 2_890) -> Prompt:
    return Prompt(
        model="m",
        tokens=6_300 + own,
        max_tokens=13,
        parts=(
            PromptPart("system", 2_520),
            PromptPart(f"document-{document}", 3_780),
            PromptPart(f"own-{document}", own),
        ),
    )


SHORT_PROMPT = Prompt(model="m", tokens=800, max_tokens=70)


def create_chooser() -> EndpointChooser:
    return EndpointChooser(ChoiceConfig(), PartsIndex())


@given("{routers:d} routers and {runners:d} runners")
@given("{routers:d} router and {runners:d} runners")
def create_routers_and_runners(context, routers, runners):
    context.choosers = [create_chooser() for _ in range(routers)]
    for chooser in context.choosers:
        chooser.set_router_count(routers)
    context.runners = [create_runner(i) for i in range(1, runners + 1)]
    context.now = NOW


def choose_endpoint(context, chooser, prompt=None, tried=()) -> Endpoint:
    return chooser.choose(
        *(context.runners, prompt or create_long_prompt(), tried, context.now),
        lambda endpoint: f"{endpoint.weights_version}.",
        memory_tokens=MEMORY_TOKENS,
    )


def simulate_burst(context, per_router: int, shared: bool) -> int:
    """Simulates a burst of long prompts at the same time at all routers.

    Returns:
        The largest number of prompts for which one runner was chosen.
    """
    choosers = [create_chooser() for _ in context.choosers]
    relay, counts = LoadRelay(), dict.fromkeys(context.runners, 0)
    peer_loads = [PeerLoads() for _ in choosers]
    # Random documents, whose hashes do not spread them evenly over runners.
    rng = random.Random(3)
    for _ in range(per_router):
        for number, chooser in enumerate(choosers):
            prompt = create_long_prompt(rng.randrange(200))
            found = choose_endpoint(context, chooser, prompt)
            chooser.record_sent(found, prompt, prompt.tokens, context.now)
            counts[found] += 1
            changes = peer_loads[number].take_changes(chooser.own_loads())
            loads = unpack_loads(changes.packed)
            relay.apply(number, loads, is_member=False)
            peer_loads[number].confirm(changes.number)
            totals = relay.total.take_changes()
            if shared:
                for peer, known in zip(choosers, peer_loads, strict=True):
                    known.receive(totals)
                    peer.set_peer_loads(known.others(), context.now)
    return max(counts.values())


@when(
    "each router sends {count:d} long prompts and the routers share their loads"
)
def run_bursts(context, count):
    context.max_shared = simulate_burst(context, count, shared=True)
    context.max_unshared = simulate_burst(context, count, shared=False)


@then("no runner has more than {most:d} long prompts")
def check_max_long_prompts(context, most):
    assert context.max_shared <= most, context.max_shared


@then("without sharing some runner has more than {most:d} long prompts")
def check_max_without_sharing(context, most):
    assert context.max_unshared > most, context.max_unshared


@when("other routers reported {age:f} s ago that runner 1 is full")
def report_full_runner(context, age):
    full = EndpointLoad(endpoint_digest("r1"), 48, 60_000, 70_000)
    chooser = context.choosers[0]
    chooser.set_peer_loads((full,), context.now - age)


def chosen_runner_ids(context) -> set[str]:
    """Returns the runners chosen for long prompts of different documents."""
    chooser = context.choosers[0]
    return {
        choose_endpoint(context, chooser, create_long_prompt(i)).id
        for i in range(20)
    }


@then("a long prompt may go to runner {number:d}")
def check_may_choose(context, number):
    assert f"r{number}" in chosen_runner_ids(context)


@then("a long prompt goes to runner {number:d}")
def check_must_choose(context, number):
    assert chosen_runner_ids(context) == {f"r{number}"}


@given("runner 1 has {count:d} short streams")
def add_short_streams(context, count):
    for _ in range(count):
        context.choosers[0].record_sent(
            context.runners[0], SHORT_PROMPT, 0, context.now
        )


@given("only runner 2 has the latest weights")
def set_latest_weights(context):
    context.runners[1] = create_runner(2, weights="2")
    context.choosers[0].set_target_versions({"m": 2}, context.now)


@then("after {seconds:f} s only runner 2 gets requests at any load")
def check_only_latest_weights(context, seconds):
    context.now += seconds
    for _ in range(400):
        context.choosers[0].record_sent(
            context.runners[1], SHORT_PROMPT, 800, context.now
        )
    check_must_choose(context, 2)


@then("a repeated request goes to runner 2 with {count:d} streams there")
def check_repeat_with_streams(context, count):
    for _ in range(count):
        context.choosers[0].record_sent(
            context.runners[1], SHORT_PROMPT, 0, context.now
        )
    found = choose_endpoint(context, context.choosers[0], tried=("r9",))
    assert found.id == "r2"


@when("runner 1 refuses a connection")
def refuse_connection(context):
    context.choosers[0].record_connection_refused(
        context.runners[0], context.now
    )


@then("after {seconds:f} s runner 1 may be chosen again")
def check_usable_after(context, seconds):
    context.now += seconds
    assert context.choosers[0].is_usable(context.runners[0], context.now)


@when("another instance answers for runner 1")
def replace_instance(context):
    context.choosers[0].record_replaced(context.runners[0], context.now)


@then("after {seconds:f} s a long prompt goes to runner {number:d}")
def check_choice_after(context, seconds, number):
    context.now += seconds
    check_must_choose(context, number)


@when("runner 1 fails {failed:d} of {count:d} requests")
def fail_requests(context, failed, count):
    chooser, failing_runner = context.choosers[0], context.runners[0]
    for number in range(count):
        if number < failed:
            chooser.record_failure(failing_runner, context.now)
        else:
            chooser.record_success(failing_runner, 0.0, context.now)


def create_cache_changes(*events: PartChange, epoch: int = 1) -> CacheChanges:
    return CacheChanges(epoch, 1, False, events)


def parts_index(context) -> PartsIndex:
    if not hasattr(context, "index"):
        context.index = PartsIndex()
    return context.index


def report_events(context, changes: CacheChanges) -> None:
    """Relays events of runner 2 from a member to the router."""
    address = context.runners[1].address
    if not hasattr(context, "relay"):
        context.relay = SourceRelay("member-1", "z")
        context.relay.set_sources([FeedSource(address, "z")])
        context.parts = RelayedParts(parts_index(context), context.choosers[0])
    is_first = changes.epoch != getattr(context, "epoch", None)
    context.epoch = changes.epoch
    context.relay.record_changes(address, changes, is_first)
    context.parts.receive(context.relay.take_batch().all)


def shared_keys() -> list[PartKey]:
    return [PartKey(SALT, part.id) for part in create_long_prompt().parts[:-1]]


@when("cache events report that runner 2 holds the shared parts")
def report_shared_parts(context):
    stored = [PartChange(True, key) for key in shared_keys()]
    report_events(context, create_cache_changes(*stored))


@when("a cache event reports that runner 2 evicted the first part")
def report_evicted_part(context):
    evicted = PartChange(False, shared_keys()[0])
    report_events(context, create_cache_changes(evicted))


@when("runner 2 restarts and reports no events")
def restart_runner(context):
    report_events(context, create_cache_changes(epoch=2))


def fetch_source(context, number: int) -> str:
    """Returns the address from which a runner fetches the shared parts.

    It is empty if the runner fetches nothing.
    """
    index, prompt = parts_index(context), create_long_prompt()
    own = context.runners[number - 1].address
    others = [r.address for r in context.runners if r.address != own]
    cached_tokens = index.parts_at(own).prefix_tokens(prompt, SALT, context.now)
    return index.best_source(others, prompt, SALT, cached_tokens, context.now)


@then("runner {number:d} fetches them from runner {other:d}")
def check_fetch_source(context, number, other):
    assert fetch_source(context, number) == context.runners[other - 1].address


@then("runner {number:d} fetches nothing")
def check_no_fetch(context, number):
    assert fetch_source(context, number) == ""


@given("a limit of {count:d} saves a second")
def create_save_limiter(context, count):
    context.save_limiter = SaveLimiter(count)


@when("{count:d} prompts for {documents:d} documents arrive within 1 s")
def offer_prompts(context, count, documents):
    context.saved = [
        number % documents
        for number in range(count)
        if context.save_limiter.allow(
            create_long_prompt(number % documents), SALT, NOW + number / count
        )
    ]


@then("{least:d} to {most:d} prompts are saved, at most one per document")
def check_saves(context, least, most):
    assert least <= len(context.saved) <= most, context.saved
    assert len(set(context.saved)) == len(context.saved)


@then("prompts with more than {tokens:d} tokens of their own are not saved")
def check_large_prompts_not_saved(context, tokens):
    prompt = create_long_prompt(99, own=tokens + 1)
    assert not context.save_limiter.allow(prompt, SALT, NOW + 10.0)
    assert context.save_limiter.allow(create_long_prompt(99), SALT, NOW + 10.0)


@given(
    "a bound of {ratio:f} per request plus {allowance:d} in {window:d} s for"
    " {routers:d} routers"
)
def set_repeat_bound(context, ratio, allowance, window, routers):
    context.limits = RepeatLimits(ratio, float(allowance), float(window))
    context.router_count = routers


# Whether a router restarts, by time in seconds and number of the router.
RESTARTS = {
    "without a restart": lambda at, number: False,
    "with a restart of all routers at 20 s": lambda at, number: at == 20.0,
    "with a restart of one router every 3 s": lambda at, number: (
        at % 24.0 == 3.0 * number
    ),
}


@when("each router gets {rate:d} requests a second and every one fails {how}")
def fail_all_requests(context, rate, how):
    context.request_times, context.repeat_times = [], []
    budgets = [
        RepeatBudget(context.limits, 0.0) for _ in range(context.router_count)
    ]
    for tick in range(60 * rate):
        at = tick / rate
        for number in range(context.router_count):
            if RESTARTS[how](at, number):
                budgets[number] = RepeatBudget(context.limits, at)
            budgets[number].record_request(at)
            context.request_times.append(at)
            if budgets[number].try_acquire(context.router_count, at):
                context.repeat_times.append(at)


@then("no window of {window:d} s has more repeats than the bound allows")
def check_repeat_bound(context, window):
    limits = context.limits
    assert context.repeat_times
    for start in range(60):
        end = start + window
        repeats = sum(start <= at < end for at in context.repeat_times)
        requests = sum(start <= at < end for at in context.request_times)
        if end <= 60:
            bound = limits.ratio * requests + limits.allowance
            assert repeats <= bound, (start, repeats, bound)


@given('runner "old" with weights 1 and runner "new" with weights 2')
def create_old_and_new_runners(context):
    context.index, context.now = PartsIndex(), NOW
    context.choosers = [EndpointChooser(ChoiceConfig(), context.index)]
    context.runners = [create_runner(1, "1"), create_runner(2, "2")]


@given('runner "new" holds a prompt\'s shared parts under its weights')
def add_parts_to_new_runner(context):
    keys = [PartKey("2.", part.id) for part in create_long_prompt().parts[:-1]]
    stored = [PartChange(True, key) for key in keys]
    report_events(context, create_cache_changes(*stored))


@then('the prompt goes to runner "new", whichever is listed first')
def check_goes_to_new_runner(context):
    # Without the cached parts, this load would decide for the other runner.
    for _ in range(4):
        context.choosers[0].record_sent(
            context.runners[1], SHORT_PROMPT, 0, context.now
        )
    for _ in range(2):
        found = choose_endpoint(context, context.choosers[0])
        assert found.id == "r2", found.id
        context.runners.reverse()


@given("timers that fire every {period:f} s")
def create_periodic_timers(context, period):
    context.clock, context.pauses = ManualClock(NOW), []
    context.timers = Timers(context.clock)
    PauseDetector(context.timers, context.pauses.append)
    context.period = period


@when("the process runs for {first:f} s, pauses for {pause:f} s and continues")
def run_and_pause(context, first, pause):
    for _ in range(round(first / context.period)):
        context.clock.time += context.period
        context.timers.fire()
    context.clock.time += pause
    for _ in range(3):
        context.timers.fire()
        context.clock.time += context.period


@then("one pause of {pause:f} s is detected")
def check_one_pause(context, pause):
    (found,) = context.pauses
    assert abs(found - pause) <= 2 * context.period, found


@when("new weights are announced that no runner has")
def set_unavailable_weights(context):
    context.choosers[0].set_target_versions({"m": 2}, context.now)


@then("after {seconds:f} s a long prompt goes to some runner")
def check_some_runner(context, seconds):
    context.now += seconds
    assert choose_endpoint(context, context.choosers[0]) is not None


@then("after {seconds:f} s more a long prompt goes to no runner")
def check_no_runner(context, seconds):
    context.now += seconds
    assert choose_endpoint(context, context.choosers[0]) is None


@when(
    "other routers hold {tokens:d} of {memory:d} tokens at runner {number:d}"
    " with {count:d} requests"
)
def report_held_tokens(context, tokens, memory, number, count):
    assert memory == MEMORY_TOKENS
    loads = getattr(context, "held_loads", ())
    runner = endpoint_digest(f"r{number}")
    load = EndpointLoad(runner, count, 0, tokens)
    context.held_loads = (*loads, load)
    context.choosers[0].set_peer_loads(context.held_loads, context.now)
