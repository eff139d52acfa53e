"""Steps for placement, admission and retries."""

import attrs
from behave import given, then, when

from bench import scenarios, variants
from knapweedarch import (
    admission,
    index,
    loads,
    models,
    placement,
    prefixes,
    retries,
    scheduler,
)

PROMPT = b"page " * 8000
BLOCKS = prefixes.hash_blocks(prefixes.make_salt("a", "guide", "v1"), PROMPT)
DEADLINES_S = {"guest": 4.0, "batch": 60.0}


def stored_event(name, number, incarnation=None):
    """Returns a cache event that reports the blocks of the prompt."""
    return models.CacheEvent(
        name,
        incarnation or f"i{name[1:]}",
        number,
        models.CacheChange.STORED,
        BLOCKS,
    )


@given("a prompt of {size:d} bytes")
def given_prompt(context, size):
    context.prompt = PROMPT[:size]


@then('its blocks differ between customers "{one}" and "{other}"')
def blocks_differ_by_customer(context, one, other):
    salts = [prefixes.make_salt(c, "guide", "v1") for c in (one, other)]
    first, second = (prefixes.hash_blocks(s, context.prompt) for s in salts)
    assert not set(first) & set(second)


@then('its blocks differ between versions "{one}" and "{other}"')
def blocks_differ_by_version(context, one, other):
    salts = [prefixes.make_salt("a", "guide", v) for v in (one, other)]
    first, second = (prefixes.hash_blocks(s, context.prompt) for s in salts)
    assert not set(first) & set(second)


@then("it has {count:d} full blocks")
def full_blocks(context, count):
    assert len(prefixes.hash_blocks(b"s", context.prompt)) == count


@then("hashing it in pieces of {size:d} bytes gives the same blocks")
def hash_in_pieces(context, size):
    prompt = context.prompt
    parts = [prompt[i : i + size] for i in range(0, len(prompt), size)]
    whole = prefixes.hash_blocks(b"s", prompt)
    assert prefixes.hash_blocks(b"s", parts) == whole
    hasher = prefixes.BlockHasher(b"s")
    assert list(prefixes.hash_steps(hasher, prompt)) == [len(prompt)]
    assert hasher.blocks == whole
    assert hasher.prompt_tokens == prefixes.count_tokens(prompt)


@given("{count:d} runners")
def some_runners(context, count):
    runners_with_slots(context, count, 32)


@given("{count:d} runners with {slots:d} slots")
def runners_with_slots(context, count, slots):
    context.runners = {
        f"r{i}": models.Endpoint(
            f"r{i}",
            f"i{i}",
            "",
            models.EndpointKind.RUNNER,
            ("guide",),
            "v1",
            slots=slots,
            cache_blocks=100,
        )
        for i in range(count)
    }
    context.sched = scheduler.create_scheduler(scheduler.SchedulerConfig(), 1)
    context.cache = index.CacheIndex()
    context.decisions = []
    announce(context)


def announce(context):
    """Passes the runners to the scheduler and the cache index."""
    context.sched.set_endpoints(list(context.runners.values()), 0.0)
    for runner in context.runners.values():
        context.cache.set_endpoint(runner.id, runner.incarnation)
    context.cache.take_snapshot_requests()


@given("runner {name} has stored the prompt as event {number:d}")
def has_stored(context, name, number):
    context.sched.cache_event(stored_event(name, number), 0.0)
    assert context.cache.apply(stored_event(name, number))
    assert context.cache.depths(BLOCKS, 0.0) == {name: len(BLOCKS)}


@given('runner {name} restarts as incarnation "{incarnation}"')
def restarts(context, name, incarnation):
    old = context.runners[name]
    context.runners[name] = attrs.evolve(old, incarnation=incarnation)
    announce(context)


@given("runner {name} is leaving")
def is_leaving(context, name):
    context.runners[name] = attrs.evolve(
        context.runners[name], status=models.EndpointStatus.LEAVING
    )
    announce(context)


@given('runner {name} has software "{version}"')
def has_software(context, name, version):
    context.runners[name] = attrs.evolve(
        context.runners[name], software_version=version
    )
    announce(context)


@when('a stream that began at software "{version}" is resumed')
def stream_resumed(context, version):
    ticket = models.Ticket(
        *("t", "a", "guide", models.Priority.GUEST, BLOCKS, 10_000, 100),
        deadline=DEADLINES_S["guest"],
        software_version=version,
    )
    context.last_decision = context.sched.submit(ticket, 0.0)
    context.decisions.append(context.last_decision)


@given("every runner reports {running:d} requests and {tokens:d} queued tokens")
def report_all(context, running, tokens):
    for runner in context.runners.values():
        context.sched.report_load(
            models.LoadReport(
                runner.id, runner.incarnation, running, 0, tokens
            ),
            0.0,
        )


@given(
    'customer "a" may send {rate:d} requests per second and {maximum:d} at once'
)
def set_customer_limits(context, rate, maximum):
    rule = models.CustomerRule("a", "", rate=rate, concurrent=maximum)
    context.sched.set_limits(models.Rules(customers=(rule,)))


@when("event {number:d} of runner {name} arrives")
def event_arrives(context, number, name):
    event = attrs.evolve(stored_event(name, number), blocks=(1,))
    assert context.cache.apply(event)


@when('incarnation "{old}" of runner {name} reports that it stored the prompt')
def old_event(context, old, name):
    assert not context.cache.apply(stored_event(name, 1, old))


@when("an empty snapshot of runner {name} after event {number:d} arrives")
def snapshot_arrives(context, name, number):
    incarnation = context.runners[name].incarnation
    snapshot = models.CacheSnapshot(name, incarnation, number)
    assert context.cache.apply_snapshot(snapshot)


@then("event {number:d} of runner {name} is ignored")
def event_ignored(context, number, name):
    assert not context.cache.apply(stored_event(name, number))
    assert context.cache.apply(stored_event(name, number + 1))


@then("no runner is known to cache the prompt")
def no_cached_blocks(context):
    assert context.cache.depths(BLOCKS, 0.0) == {}


@then("a snapshot of runner {name} is requested")
def snapshot_wanted(context, name):
    assert context.cache.take_snapshot_requests() == [name]
    assert context.cache.take_snapshot_requests() == []


@when("a {kind} request arrives")
def request_arrives(context, kind):
    requests_arrive(context, 1, kind)


@when("{count:d} {kind} requests arrive")
def requests_arrive(context, count, kind):
    for _ in range(count):
        ticket = models.Ticket(
            f"t{len(context.decisions)}",
            "a",
            "guide",
            models.Priority[kind.upper()],
            BLOCKS,
            10_000,
            100,
            DEADLINES_S[kind],
        )
        decision = context.sched.submit(ticket, 0.0)
        context.decisions.append(decision)
        context.last_decision = decision


def dispatched_runners(context):
    """Returns the runner id of each dispatched request."""
    return [
        d.attempt.endpoint.id
        for d in context.decisions
        if isinstance(d, models.Dispatch)
    ]


@then("it is sent")
def is_sent(context):
    assert isinstance(context.last_decision, models.Dispatch), (
        context.last_decision
    )


@then("it is sent to runner {name:w}")
def is_sent_to(context, name):
    assert dispatched_runners(context)[-1] == name


@then("it is sent to runner {name:w} with {count:d} cached blocks")
def is_sent_to(context, name, count):
    assert context.last_decision.attempt.endpoint.id == name
    assert context.last_decision.attempt.cached_blocks == count


@then("it is sent with {count:d} cached blocks")
def is_sent_with(context, count):
    assert context.last_decision.attempt.cached_blocks == count


@then("none of them is sent to runner {name}")
def none_sent_to(context, name):
    assert len(dispatched_runners(context)) == len(context.decisions)
    assert name not in dispatched_runners(context)


@then("at least {count:d} runners get work and none gets more than {maximum:d}")
def requests_spread(context, count, maximum):
    runner_ids = dispatched_runners(context)
    assert len(set(runner_ids)) >= count, runner_ids
    assert all(runner_ids.count(name) <= maximum for name in runner_ids), (
        runner_ids
    )


@then("at most {count:d} of them are sent")
def at_most_sent(context, count):
    assert 1 <= len(dispatched_runners(context)) <= count, dispatched_runners(
        context
    )


@then('it is refused with "{reason}"')
def is_refused(context, reason):
    assert isinstance(context.last_decision, models.Refuse), (
        context.last_decision
    )
    assert context.last_decision.reason.value == reason


@then('{count:d} of them are refused with "{reason}"')
def some_refused(context, count, reason):
    refused = [d for d in context.decisions if isinstance(d, models.Refuse)]
    assert [r.reason.value for r in refused] == [reason] * count
    assert all(0 < r.retry_after_s <= 1 for r in refused)


@then("nothing waits")
def nothing_waits(context):
    assert context.sched.next_wake(0.0) is None


@then("it waits")
def it_waits(context):
    assert isinstance(context.last_decision, models.Wait), context.last_decision
    assert context.sched.next_wake(0.0) is not None


@then('at {at:f} s it is refused with "{reason}"')
def refused_later(context, at, reason):
    ((_, decision),) = context.sched.poll(at)
    assert decision.reason.value == reason
    nothing_waits(context)


@then("polls up to {at:f} s return nothing")
def nothing_until(context, at):
    assert context.sched.poll(at / 2) == []
    assert context.sched.poll(at) == []


@then("a poll at {at:f} s sends it")
def sent_later(context, at):
    ((_, decision),) = context.sched.poll(at)
    assert isinstance(decision, models.Dispatch), decision


@when("its attempt fails at {at:f} s")
def attempt_fails(context, at):
    context.failed_attempt = context.last_decision.attempt
    reason = models.RetryReason.CONNECTION_CLOSED
    result = models.AttemptResult(reason)
    context.sched.finished(context.failed_attempt, result, at)
    context.last_decision = context.sched.retry(
        context.failed_attempt.ticket, context.failed_attempt, at
    )


@then("a poll at {at:f} s sends it to another runner")
def sent_elsewhere(context, at):
    ((_, decision),) = context.sched.poll(at)
    assert decision.attempt.endpoint.id != context.failed_attempt.endpoint.id
    assert decision.attempt.number != context.failed_attempt.number


def other_runner(context) -> models.Endpoint:
    used = context.last_decision.attempt.endpoint.id
    (other,) = (r for name, r in context.runners.items() if name != used)
    return other


def use_up_retries(context) -> None:
    while context.sched._budget.try_spend():
        pass


@when("the other runner {situation}")
def situation_of_other(context, situation):
    other = other_runner(context)
    match situation:
        case "leaves":
            is_leaving(context, other.id)
        case "has other software":
            has_software(context, other.id, "v9")
        case "has no capacity":
            report_all(context, 100, 0)
        case "is ejected":
            health, names = context.sched._health, [*context.runners, "r2"]
            for _ in range(retries.RetryConfig().failures):
                health.record_failure(other.id, names, 0.0)
        case "has lost its feed":
            context.sched.feed_lost(other.id, 0.0)


@when("the retries are used up")
def retries_used_up(context):
    use_up_retries(context)


@when("its own retries are used up")
def use_up_own_retries(context):
    ticket = context.last_decision.attempt.ticket
    most = retries.RetryConfig().max_retries_per_request
    context.sched._retry_counts[ticket.id] = most


def reserve_retry(context) -> bool:
    attempt = context.last_decision.attempt
    ticket = attrs.evolve(
        attempt.ticket, software_version=attempt.endpoint.software_version
    )
    return context.sched.reserve_retry(ticket, attempt, 0.0)


@then("no retry of it is reserved, and none is counted")
def check_not_reserved(context):
    before = context.sched._budget._tokens
    assert not reserve_retry(context)
    assert context.sched._budget._tokens == before


@when("a retry of it is reserved, and then the retries are used up")
def reserve_last(context):
    assert reserve_retry(context)
    use_up_retries(context)


@then("its reserved retry is sent to the other runner")
def check_reserved_sent(context):
    attempt = context.last_decision.attempt
    other = other_runner(context)
    context.sched.finished(
        attempt, models.AttemptResult(models.RetryReason.STREAM_SILENT), 0.0
    )
    context.sched.retry(attempt.ticket, attempt, 0.0, is_reserved=True)
    ((_, decision),) = context.sched.poll(0.2)
    assert decision.attempt.endpoint.id == other.id, decision


@when("{count:d} guest requests arrive and all attempts fail at once")
def all_fail(context, count):
    context.retries = 0
    for _ in range(count):
        request_arrives(context, "guest")
        attempt_fails(context, 0.0)
        context.retries += isinstance(context.last_decision, models.Wait)


@then("at most {count:d} of them are retried")
def at_most_retried(context, count):
    assert 1 <= context.retries <= count, context.retries


@when("every runner fails {count:d} times in a row")
def runners_fail(context, count):
    cfg = retries.RetryConfig()
    context.health = retries.HealthTable(cfg, scheduler.random.Random(1))
    names = list(context.runners)
    for name in names:
        for _ in range(count):
            context.health.record_failure(name, names, 0.0)


@then("{count:d} runners are ejected")
def runners_ejected(context, count):
    names = list(context.runners)
    assert sum(context.health.is_ejected(n, 1.0) for n in names) == count
    assert not any(context.health.is_ejected(n, 10.0) for n in names)


@given(
    'a queue in which customer "{one}" with share {share:d} and "{other}" '
    "with share {other_share:d} have {count:d} requests each"
)
def shared_queue(context, one, share, other, other_share, count):
    context.queue = admission.RequestQueue(admission.AdmissionConfig())
    for customer, weight in ((one, share), (other, other_share)):
        for i in range(count):
            ticket = models.Ticket(
                f"{customer}{i}",
                customer,
                "guide",
                models.Priority.BATCH,
                (),
                1000,
                100,
                60.0,
            )
            context.queue.add(admission.QueuedRequest(ticket, 0.0), weight)


@then('the first {count:d} served requests contain {part:d} of "{customer}"')
def served_first(context, count, part, customer):
    served = []
    for _ in range(count):
        entry = context.queue.ranked(context.queue, 0.0)[0]
        context.queue.mark_dispatched(entry)
        served.append(entry.ticket.customer)
    assert served.count(customer) == part, served


@then(
    "with {loading:d} loads in progress the next loads of "
    '"{version}" are {count:d} runners'
)
@then(
    "with {loading:d} load in progress the next loads of "
    '"{version}" are {count:d} runners'
)
def next_loads(context, loading, version, count):
    runners = list(context.runners.values())
    plan = placement.plan_loads(runners, "guide", version, loading)
    assert len(plan) == count


@then('two bench runs of "{deployment}" in scenario "{name}" agree')
def bench_runs_agree(context, deployment, name):
    scenario = {s.name: s for s in scenarios.SCENARIOS}[name]
    case = scenarios.Case(deployment, name, variants.PRODUCTION.name, 7)
    first, second = (
        scenarios.run_case(case, variants.PRODUCTION, scenario)
        for _ in range(2)
    )
    assert first == second


@given(
    "a runner that a router has sent {count:d} requests since its last report"
)
def sent_since_report(context, count):
    context.load = loads.RunnerLoad()
    for number in range(count):
        context.load.pending[number] = 0


@then(
    "it expects {count:d} requests there alone and more with {others:d} other"
    " routers"
)
def expected_requests(context, count, others):
    placer = placement.Placer(placement.PlacementConfig())
    assert placer.occupancy(context.load) == count
    placer.set_router_count(1 + others)
    assert placer.occupancy(context.load) > count
