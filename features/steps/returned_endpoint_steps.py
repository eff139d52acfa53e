"""Steps for endpoints that start again under their id."""

import random

import attrs
from behave import given, then, when

from knapweedarch import models
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.prompt_parts import Prompt
from knapweedarch.relay_messages import pack_loads, unpack_loads
from knapweedarch.scheduler import SchedulerConfig, create_scheduler
from knapweedarch.stored_parts import PartsIndex

MODEL = "guide"
TOKENS = 640
PROMPT = Prompt(model=MODEL, tokens=TOKENS, max_tokens=64)
NOW = 5.0


def incarnation(number: int) -> Endpoint:
    return Endpoint(
        *("i-1", str(number), "http://10.0.0.1:80", EndpointKind.RUNNER),
        *((MODEL,),),
        slots=48,
    )


def create_chooser() -> EndpointChooser:
    return EndpointChooser(ChoiceConfig(), PartsIndex())


def send(chooser: EndpointChooser, endpoint: Endpoint, count: int) -> None:
    for _ in range(count):
        chooser.record_sent(endpoint, PROMPT, TOKENS, NOW)


def end(chooser: EndpointChooser, endpoint: Endpoint) -> None:
    chooser.record_prompt_read(endpoint, TOKENS)
    chooser.record_ended(endpoint, PROMPT)


def record(chooser: EndpointChooser, endpoint: Endpoint, result: str) -> None:
    match result:
        case "no result":
            pass
        case "a success":
            chooser.record_success(endpoint, 0.0, NOW)
        case "a failure":
            chooser.record_failure(endpoint, NOW)
        case "a refused connection":
            chooser.record_connection_refused(endpoint, NOW)
        case "a rejection":
            chooser.record_overload(endpoint, NOW)
        case "another incarnation":
            chooser.record_replaced(endpoint, NOW)
        case "a claim of room":
            chooser.claim_room(endpoint, NOW)
        case _:
            raise ValueError(result)


RESULTS = (
    "no result",
    "a success",
    "a failure",
    "a refused connection",
    "a rejection",
    "another incarnation",
    "a claim of room",
)


def reported_requests(chooser: EndpointChooser) -> int:
    """Returns the requests in the router's report, as members read it."""
    loads = unpack_loads(pack_loads(chooser.own_loads()))
    assert len(loads) <= 1, loads
    return loads[0].requests if loads else 0


@given(
    "an endpoint that returns while it has {count:d} requests, and gets "
    "{new:d} new ones"
)
def return_with_requests(context, count, new):
    context.chooser = create_chooser()
    context.earlier, context.present = incarnation(1), incarnation(2)
    context.counts = count, new
    context.chooser.retain([context.earlier])
    send(context.chooser, context.earlier, count)
    context.chooser.retain([context.present])
    send(context.chooser, context.present, new)


@when("a request of the earlier incarnation ends with {result}")
def end_earlier(context, result):
    record(context.chooser, context.earlier, result)
    end(context.chooser, context.earlier)


@then("the router reports {count:d} requests at the endpoint")
@then("the router reports {count:d} request at the endpoint")
def check_report(context, count):
    found = reported_requests(context.chooser)
    assert found == count, found


@then("once all requests have ended it reports none, and never fewer")
def check_ends(context):
    earlier, new = context.counts
    for _ in range(earlier - 1):
        end(context.chooser, context.earlier)
    for left in reversed(range(new)):
        end(context.chooser, context.present)
        found = reported_requests(context.chooser)
        assert found == left, (found, left)


@when(
    "requests of {count:d} incarnations end in random order {times:d} times, "
    "seed {seed:d}"
)
def end_in_any_order(context, count, times, seed):
    rng = random.Random(seed)
    context.wrong = []
    for _ in range(times):
        chooser = create_chooser()
        running: list[Endpoint] = []
        for number in range(1, count + 1):
            present = incarnation(number)
            chooser.retain([present])
            sent = rng.randint(1, 4)
            send(chooser, present, sent)
            running += [present] * sent
            rng.shuffle(running)
            for _ in range(rng.randint(0, len(running))):
                ended = running.pop()
                record(chooser, ended, rng.choice(RESULTS[:-1]))
                end(chooser, ended)
                expected = running.count(present)
                if (found := reported_requests(chooser)) != expected:
                    context.wrong.append((found, expected))


@then("every report counts the requests of the present incarnation")
def check_reports(context):
    assert not context.wrong, context.wrong[:5]


@then("only the present incarnation may get requests")
def check_usable(context):
    assert context.chooser.is_usable(context.present, NOW)
    assert not context.chooser.is_usable(context.earlier, NOW)


@given("an endpoint with {count:d} requests that is left out of one list")
def leave_out(context, count):
    context.chooser, context.present = create_chooser(), incarnation(1)
    context.chooser.retain([context.present])
    send(context.chooser, context.present, count)
    context.chooser.retain([])
    context.chooser.retain([context.present])


@when("{count:d} of its requests end")
def end_some(context, count):
    for _ in range(count):
        end(context.chooser, context.present)


@when("an endpoint returns {count:d} times and each time its requests end")
def return_often(context, count):
    context.chooser = create_chooser()
    for number in range(1, count + 1):
        endpoint = incarnation(number)
        context.chooser.retain([endpoint])
        send(context.chooser, endpoint, 2)
        for _ in range(2):
            end(context.chooser, endpoint)
            context.chooser.record_failure(incarnation(number - 1), NOW)
    context.chooser.retain([endpoint])


@then("the router keeps the state of one incarnation")
def check_state(context):
    assert len(context.chooser._stats) == 1, context.chooser._stats


def dispatch(scheduler, number: int) -> models.Attempt:
    ticket = models.Ticket(
        *(f"r{number}", "a", MODEL, models.Priority.GUEST, ()),
        *(TOKENS, 64, NOW + 60.0),
    )
    decision = scheduler.submit(ticket, NOW)
    assert isinstance(decision, models.Dispatch), decision
    return decision.attempt


@given("a scheduler whose runner returns while it has requests")
def create_returned_runner(context):
    context.schedulers = []
    context.late = []
    for requests in (4, 0):
        scheduler = create_scheduler(SchedulerConfig(), 1)
        scheduler.set_endpoints([incarnation(1)], NOW)
        late = [dispatch(scheduler, n) for n in range(requests)]
        scheduler.set_endpoints([incarnation(2)], NOW)
        dispatch(scheduler, 10)
        context.schedulers.append(scheduler)
        context.late += late


@when("the requests of the earlier incarnation end in each way")
def end_in_each_way(context):
    scheduler, (first, second, third, fourth) = (
        context.schedulers[0],
        context.late,
    )
    failure = models.AttemptResult(models.RetryReason.CONNECTION_CLOSED)
    scheduler.first_token(first, NOW)
    scheduler.finished(first, models.AttemptResult(None), NOW)
    scheduler.finished(second, failure, NOW)
    scheduler.finished(second, failure, NOW)
    scheduler.retry(third.ticket, third, NOW)
    scheduler.feed_lost("i-1", NOW)
    scheduler.finished(fourth, models.AttemptResult(None, 64), NOW)
    report = models.LoadReport("i-1", "1", 40, 40, 9000)
    scheduler.report_load(report, NOW)


@then("the load of the present incarnation is as if they had not been")
def check_scheduler(context):
    found, expected = (
        attrs.evolve(s._loads["i-1"], pending={}, waiting_by_class=[])
        for s in context.schedulers
    )
    assert found == expected, (found, expected)
    counts = [len(s._loads["i-1"].pending) for s in context.schedulers]
    assert counts == [1, 1], counts
