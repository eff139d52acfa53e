"""Steps for choices, caches and repeats under load, without network."""

import random

from behave import given, then, when

from knapweedarch.control_messages import EndpointLoad, LoadTotals
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.load_totals import LoadAggregator
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.process_stops import StopWatcher
from knapweedarch.prompt_parts import Prompt, PromptPart
from knapweedarch.repeat_budget import RepeatBudget, RepeatLimits
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


def runner(number: int, weights: str = "1") -> Endpoint:
    return Endpoint(
        *(f"r{number}", "1", f"http://10.0.0.{number}:80"),
        *(EndpointKind.RUNNER, ("models", "m"), weights),
        slots=48,
    )


def long_prompt(document: int = 0, own: int = 2_890) -> Prompt:
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


SHORT = Prompt(model="m", tokens=800, max_tokens=70)


def create_chooser() -> EndpointChooser:
    return EndpointChooser(ChoiceConfig(), PartsIndex())


@given("{routers:d} routers and {runners:d} runners")
@given("{routers:d} router and {runners:d} runners")
def routers_and_runners(context, routers, runners):
    context.choosers = [create_chooser() for _ in range(routers)]
    for chooser in context.choosers:
        chooser.set_peer_routers(routers)
    context.runners = [runner(i) for i in range(1, runners + 1)]
    context.now = NOW


def choose(context, chooser, prompt=None, tried=()) -> Endpoint:
    return chooser.choose(
        *(context.runners, prompt or long_prompt(), tried, context.now),
        lambda endpoint: f"{endpoint.weights_version}.",
        memory_tokens=MEMORY_TOKENS,
    )


def burst(context, per_router: int, shared: bool) -> int:
    """Sends a burst; returns the most long prompts at one runner."""
    choosers = [create_chooser() for _ in context.choosers]
    board, counts = LoadAggregator(), dict.fromkeys(context.runners, 0)
    # Documents are drawn so that their hashes do not spread them evenly.
    rng = random.Random(3)
    for _ in range(per_router):
        for number, chooser in enumerate(choosers):
            prompt = long_prompt(rng.randrange(200))
            found = choose(context, chooser, prompt)
            chooser.record_sent(found, prompt, prompt.tokens, context.now)
            counts[found] += 1
            board.set_share(number, chooser.own_loads())
            if shared:
                for other, told in enumerate(choosers):
                    if other in board.routers():
                        told.set_peer_loads(
                            board.loads_excluding(other), context.now
                        )
    return max(counts.values())


@when(
    "each router sends {count:d} long prompts and the loads are shared between"
)
def shared_burst(context, count):
    context.most = burst(context, count, shared=True)
    context.most_unshared = burst(context, count, shared=False)


@then("no runner has more than {most:d} long prompts")
def no_more(context, most):
    assert context.most <= most, context.most


@then("without sharing some runner has more than {most:d}")
def unshared_more(context, most):
    assert context.most_unshared > most, context.most_unshared


@when("others told {age:f} s ago that runner 1 is full")
def others_told(context, age):
    full = EndpointLoad("r1", 48, 60_000, 70_000)
    chooser = context.choosers[0]
    chooser.set_peer_loads(LoadTotals((full,)), context.now - age)


def goes_to(context) -> set[str]:
    """Runners that long prompts of different documents go to."""
    chooser = context.choosers[0]
    return {choose(context, chooser, long_prompt(i)).id for i in range(20)}


@then("a long prompt may go to runner {number:d}")
def may_go(context, number):
    assert f"r{number}" in goes_to(context)


@then("a long prompt goes to runner {number:d}")
def must_go(context, number):
    assert goes_to(context) == {f"r{number}"}


@given("runner 1 has {count:d} short streams")
def short_streams(context, count):
    for _ in range(count):
        context.choosers[0].record_sent(
            context.runners[0], SHORT, 0, context.now
        )


@given("runner 2 alone has the weights named last")
def new_weights(context):
    context.runners[1] = runner(2, weights="2")
    context.choosers[0].set_weights({"m": 2}, context.now)


@then("after {seconds:f} s runner 2 alone gets requests, however busy")
def only_new(context, seconds):
    context.now += seconds
    for _ in range(400):
        context.choosers[0].record_sent(
            context.runners[1], SHORT, 800, context.now
        )
    must_go(context, 2)


@then(
    "a request that is sent once more goes to runner 2 with {count:d} streams"
    " there"
)
def again_to_new(context, count):
    for _ in range(count):
        context.choosers[0].record_sent(
            context.runners[1], SHORT, 0, context.now
        )
    found = choose(context, context.choosers[0], tried=("r9",))
    assert found.id == "r2"


@when("runner 1 refuses a connection")
def refuses(context):
    context.choosers[0].record_connection_refused(
        context.runners[0], context.now
    )


@then("after {seconds:f} s runner 1 may be chosen again")
def chosen_again(context, seconds):
    context.now += seconds
    assert context.choosers[0].is_usable(context.runners[0], context.now)


@when("another instance answers for runner 1")
def another_instance(context):
    context.choosers[0].record_replaced(context.runners[0], context.now)


@then("after {seconds:f} s a long prompt goes to runner {number:d}")
def later_goes(context, seconds, number):
    context.now += seconds
    must_go(context, number)


@when("runner 1 fails {failed:d} of {count:d} requests")
def fails_most(context, failed, count):
    chooser, grey = context.choosers[0], context.runners[0]
    for number in range(count):
        if number < failed:
            chooser.record_failure(grey, context.now)
        else:
            chooser.record_success(grey, 0.0, context.now)


def changes(*events: PartChange, epoch: int = 1) -> CacheChanges:
    return CacheChanges(epoch, 1, False, events)


def index_of(context) -> PartsIndex:
    if not hasattr(context, "index"):
        context.index = PartsIndex()
    return context.index


def shared_keys() -> list[PartKey]:
    return [PartKey(SALT, part.id) for part in long_prompt().parts[:-1]]


@when("the events tell that runner 2 holds the shared parts")
def holds_shared(context):
    stored = [PartChange(True, key) for key in shared_keys()]
    index_of(context).parts_at(context.runners[1].address).apply_changes(
        changes(*stored)
    )


@when("the events tell that runner 2 has dropped the first part")
def dropped_first(context):
    dropped = PartChange(False, shared_keys()[0])
    index_of(context).parts_at(context.runners[1].address).apply_changes(
        changes(dropped)
    )


@when("runner 2 starts anew and tells no events")
def starts_anew(context):
    index_of(context).parts_at(context.runners[1].address).apply_changes(
        changes(epoch=2)
    )


def fetches(context, number: int) -> str:
    """Address that a runner fetches the shared parts from."""
    index, prompt = index_of(context), long_prompt()
    own = context.runners[number - 1].address
    others = [r.address for r in context.runners if r.address != own]
    held = index.parts_at(own).prefix_tokens(prompt, SALT, context.now)
    return index.best_source(others, prompt, SALT, held, context.now)


@then("runner {number:d} fetches them from runner {other:d}")
def fetches_from(context, number, other):
    assert fetches(context, number) == context.runners[other - 1].address


@then("runner {number:d} fetches nothing")
def fetches_nothing(context, number):
    assert fetches(context, number) == ""


@given("a limit of {count:d} saves a second")
def save_limit(context, count):
    context.limit = SaveLimiter(count)


@when("{count:d} prompts of {documents:d} documents come within 1 s")
def prompts_come(context, count, documents):
    context.saved = [
        number % documents
        for number in range(count)
        if context.limit.allow(
            long_prompt(number % documents), SALT, NOW + number / count
        )
    ]


@then("{least:d} to {most:d} prompts are saved, none of one document twice")
def few_saved(context, least, most):
    assert least <= len(context.saved) <= most, context.saved
    assert len(set(context.saved)) == len(context.saved)


@then("prompts with more than {tokens:d} tokens of their own are not saved")
def large_not_saved(context, tokens):
    prompt = long_prompt(99, own=tokens + 1)
    assert not context.limit.allow(prompt, SALT, NOW + 10.0)
    assert context.limit.allow(long_prompt(99), SALT, NOW + 10.0)


@given(
    "a bound of {ratio:f} per request and {allowance:d} in {window:d} s for"
    " {routers:d} routers"
)
def repeat_bound(context, ratio, allowance, window, routers):
    context.limits = RepeatLimits(ratio, float(allowance), float(window))
    context.count = routers


RESTARTS = {
    "without a restart": lambda at, number: False,
    "with a restart of all at 20 s": lambda at, number: at == 20.0,
    "with a restart each 3 s": lambda at, number: at % 24.0 == 3.0 * number,
}


@when("each router gets {rate:d} requests a second and every one fails {how}")
def all_fail(context, rate, how):
    context.requests, context.repeats = [], []
    budgets = [RepeatBudget(context.limits, 0.0) for _ in range(context.count)]
    for tick in range(60 * rate):
        at = tick / rate
        for number in range(context.count):
            if RESTARTS[how](at, number):
                budgets[number] = RepeatBudget(context.limits, at)
            budgets[number].record_request(at)
            context.requests.append(at)
            if budgets[number].try_acquire(context.count, at):
                context.repeats.append(at)


@then("in no {window:d} s more repeats are sent than the bound allows")
def within_bound(context, window):
    limits = context.limits
    assert context.repeats
    for start in range(60):
        end = start + window
        repeats = sum(start <= at < end for at in context.repeats)
        requests = sum(start <= at < end for at in context.requests)
        if end <= 60:
            bound = limits.ratio * requests + limits.allowance
            assert repeats <= bound, (start, repeats, bound)


@given("{count:d} runners that were all heard {age:f} s ago")
def all_heard(context, count, age):
    routers_and_runners(context, 1, count)
    for each in context.runners:
        context.choosers[0].record_activity(each.address, NOW - age)


@when("the router is stopped for {pause:d} s")
def router_stopped(context, pause):
    context.now += pause
    context.choosers[0].exclude_pause(pause)


def usable(context) -> list[Endpoint]:
    chooser = context.choosers[0]
    return [r for r in context.runners if chooser.is_usable(r, context.now)]


@then("all {count:d} runners may be chosen")
def all_usable(context, count):
    assert len(usable(context)) == count


@then("none of them may be chosen after {silence:d} s without a byte")
def none_usable(context, silence):
    context.now += silence
    assert usable(context) == []


@given('runner "old" with weights 1 and runner "new" with weights 2')
def old_and_new(context):
    context.index, context.now = PartsIndex(), NOW
    context.choosers = [EndpointChooser(ChoiceConfig(), context.index)]
    context.runners = [runner(1, "1"), runner(2, "2")]


@given('runner "new" holds a prompt\'s shared parts under its weights')
def new_holds(context):
    keys = [PartKey("2.", part.id) for part in long_prompt().parts[:-1]]
    stored = [PartChange(True, key) for key in keys]
    context.index.parts_at(context.runners[1].address).apply_changes(
        changes(*stored)
    )


@then('the prompt goes to runner "new", whichever is listed first')
def goes_to_new(context):
    # Some load at the runner that holds the parts decides without them.
    for _ in range(4):
        context.choosers[0].record_sent(
            context.runners[1], SHORT, 0, context.now
        )
    for _ in range(2):
        found = choose(context, context.choosers[0])
        assert found.id == "r2", found.id
        context.runners.reverse()


@given("timers that call each {period:f} s")
def calling_timers(context, period):
    context.clock, context.stops = ManualClock(NOW), []
    context.timers = Timers(context.clock)
    StopWatcher(context.timers, context.stops.append)
    context.period = period


@when("the process runs for {first:f} s, stops for {pause:f} s and runs again")
def runs_and_stops(context, first, pause):
    for _ in range(round(first / context.period)):
        context.clock.time += context.period
        context.timers.fire()
    context.clock.time += pause
    for _ in range(3):
        context.timers.fire()
        context.clock.time += context.period


@then("one stop of {pause:f} s is noticed")
def stop_noticed(context, pause):
    (found,) = context.stops
    assert abs(found - pause) <= 2 * context.period, found


@when("weights are named that no runner has")
def weights_of_none(context):
    context.choosers[0].set_weights({"m": 2}, context.now)


@then("after {seconds:f} s a long prompt goes to some runner")
def goes_somewhere(context, seconds):
    context.now += seconds
    assert choose(context, context.choosers[0]) is not None


@then("after {seconds:f} s more a long prompt goes to no runner")
def goes_nowhere(context, seconds):
    context.now += seconds
    assert choose(context, context.choosers[0]) is None
