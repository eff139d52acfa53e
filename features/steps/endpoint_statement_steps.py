"""Steps for what endpoints say of themselves, in virtual time."""

import collections
import math
import random

from behave import given, then, when

from adapter.headers import PlatformDialect
from knapweedarch.endpoint_statements import (
    EndpointStatement,
    create_endpoint_waits,
)
from knapweedarch.http_outbound import AnswerHead
from knapweedarch.models import Endpoint, EndpointKind

SEED = 5
ODD_VALUES = (b"1", b"0", b"-1", b"1.5", b"nan", b"inf", b"1e999", b"", b"\xff")
HEADER_NAMES = (b"Server-Leaving", b"Server-Limit", b"Retry-After")


def create_endpoint(incarnation: str = "1", endpoint_id: str = "i-1"):
    """Creates an endpoint of a plain service."""
    return Endpoint(
        *(endpoint_id, incarnation, "http://127.0.0.1:1"),
        *(EndpointKind.SERVICE, ("desk",)),
    )


@when('an answer with status {status:d} says "{text}"')
@when('an answer with status {status:d} says ""')
def decode(context, status, text=""):
    lines = [line.partition(":") for line in text.split(";") if line]
    headers = tuple(
        (name.strip().encode(), value.strip().encode())
        for name, _, value in lines
    )
    context.statement = PlatformDialect().statement(AnswerHead(status, headers))


@then("the endpoint {leaves} and wants nothing for {wait:g} s")
def check_statement(context, leaves, wait):
    statement = context.statement
    assert statement.is_leaving == (leaves == "leaves"), statement
    assert statement.wait_s == wait, statement


@then("{count:d} headers are malformed")
def check_malformed(context, count):
    assert len(context.statement.malformed) == count, context.statement


@given("{count:d} seeded answers with odd values in these headers")
def create_odd_answers(context, count):
    rng = random.Random(SEED)
    context.heads = []
    for _ in range(count):
        headers = []
        for _ in range(rng.randrange(4)):
            value = rng.choice(ODD_VALUES)
            if rng.random() < 0.5:
                value = rng.randbytes(rng.randrange(12))
            headers.append((rng.choice(HEADER_NAMES), value))
        head = AnswerHead(rng.choice((200, 503)), tuple(headers))
        context.heads.append(head)


@then("each is decoded, to a finite wait and a positive limit or none")
def check_odd_answers(context):
    for head in context.heads:
        statement = PlatformDialect().statement(head)
        assert 0 <= statement.wait_s < math.inf, head
        limit = statement.limit_per_s
        assert limit is None or 0 < limit < math.inf, head


@given("{count:d} routers that an endpoint asks for a wait of {wait:g} s")
def ask_for_wait(context, count, wait):
    context.waits = [create_endpoint_waits(SEED + n) for n in range(count)]
    for waits in context.waits:
        assert waits.record(
            create_endpoint(), EndpointStatement(wait_s=wait), now=10.0
        )


@when("the endpoint asks for a wait of {wait:g} s")
def ask_again(context, wait):
    statement = EndpointStatement(wait_s=wait)
    for waits in context.waits:
        assert not waits.record(create_endpoint(), statement, now=10.1)


def first_sends(context) -> list[float]:
    """Returns when each router sends its first request, at steps of 0.05 s."""
    found = []
    for waits in context.waits:
        step = 0
        while waits.wait_s(create_endpoint(), 10.0 + 0.05 * step):
            step += 1
        found.append(0.05 * step)
    return found


@then("none sends a request in the next {seconds:g} s")
def check_waited(context, seconds):
    context.first = first_sends(context)
    assert min(context.first) >= seconds - 1e-9, min(context.first)


@then("all of them send one within {seconds:g} s")
def check_all_back(context, seconds):
    assert max(context.first) <= seconds + 1e-9, max(context.first)


@then("at most {most:d} of them send their first within one {step:g} s")
def check_spread(context, most, step):
    counts = collections.Counter(round(at / step) for at in context.first)
    assert max(counts.values()) <= most, counts


@given(
    'a router to which incarnation "{incarnation}" of an endpoint says that it'
    " leaves"
)
def create_router_with_leaving(context, incarnation):
    context.router = create_endpoint_waits(SEED)
    say_leaving(context, incarnation)


@when('incarnation "{incarnation}" says once more that it leaves')
def say_leaving(context, incarnation):
    statement = EndpointStatement(is_leaving=True)
    context.router.record(create_endpoint(incarnation), statement, 10.0)


@when('incarnation "{incarnation}" answers and says nothing')
def say_nothing(context, incarnation):
    endpoint = create_endpoint(incarnation)
    assert not context.router.record(endpoint, EndpointStatement(), 10.1)


@then(
    'incarnation "{free}" takes requests, and incarnation "{leaving}" does not'
)
def check_free(context, free, leaving):
    assert context.router.wait_s(create_endpoint(free), 11.0) == 0.0
    assert context.router.wait_s(create_endpoint(leaving), 99.0) == math.inf


@given("a router to which {count:d} endpoints say that they leave")
def create_router_with_many(context, count):
    context.router = create_endpoint_waits(SEED)
    for number in range(count):
        endpoint = create_endpoint(endpoint_id=f"i-{number}")
        statement = EndpointStatement(is_leaving=True)
        context.router.record(endpoint, statement, 10.0)


@when("none of them is known any more")
def forget_endpoints(context):
    context.router.retain([create_endpoint(endpoint_id="other")])


@then("it remembers at most {most:d} of them")
def check_bounded(context, most):
    assert len(context.router._until) <= most
