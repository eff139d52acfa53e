"""Steps for proxied requests."""

import random
import re

import anyio
import attrs
from behave import given, then, when

from features.proxy_harness import (
    BODY,
    EVENTS,
    HOST,
    KEY,
    MODEL,
    SILENT,
    RawAnswer,
    open_proxy,
    receive_all,
    request,
)
from knapweedarch.attempt_scope import read_full_answer
from knapweedarch.deployments import Customer, Repeatability, Route
from knapweedarch.event_stream import EventSplitter
from knapweedarch.http_messages import Request
from knapweedarch.models import RefusalReason
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.timers import ManualClock

ROUTE_NAMES = {
    "may run once": "once",
    "may run once on a resumable route": "deposit",
    "may run many times": "many",
    "may be resumed": "resume",
    "streams": "stream",
    "has a single attempt": "single",
}
RESERVED_HEADERS = (
    "X-Knapweedarch-Tenant",
    "X-Knapweedarch-Cache-Salt",
    "X-Knapweedarch-Kv-Hold",
    "X-Knapweedarch-Pin-Ms",
    "X-Knapweedarch-Kv-Backup",
    "X-Knapweedarch-Kv-Fetch",
    "X-Knapweedarch-Kv-Save",
    "X-Knapweedarch-Expect-Version",
    "X-Knapweedarch-Request-Priority",
    "Kv-From",
)
CHUNK_OF_EVENTS = rb"[0-9a-f]+\r\n((?:id: .*?\n\n)+)\r\n"
FORGED = "forged-by-the-caller"
ODD_KEY = "key-9"
# Longer than a connection to a runner that names no limit stays idle.
EXPIRED_AFTER_S = 60.0
CALL = Request(
    method=b"GET", target=b"/many/x", headers=((b"host", HOST.encode()),)
)


def send_requests(context, *data: bytes, **options) -> list[RawAnswer]:
    """Sends raw requests to a proxy that has the scenario's runners."""

    async def run():
        async with open_proxy() as fixture:
            software = getattr(context, "software", {})
            fixture.known_age_s = getattr(context, "known_age_s", 0.0)
            fixture.origins.versions |= getattr(context, "origins", {})
            fixture.origins.ever |= getattr(context, "ever", {})
            for number, mode in enumerate(context.modes, 1):
                runner = await fixture.add_runner(
                    mode, software.get(number, "")
                )
                born = getattr(context, "born", {})
                runner.born = born.get(number, runner.born)
            found = [await fixture.send(part, **options) for part in data]
            context.runners = fixture.runners
            context.proxy_metrics = fixture.metrics
            context.recorded = fixture.origins.versions
            context.asked = fixture.asked
            return found

    context.answers = anyio.run(run)
    context.answer = context.answers[0]
    return context.answers


@then("requests of {kind} routes that say {flag} may {runs} and {resumes}")
def check_kind(context, kind, flag, runs, resumes):
    route = Route(
        *("r", "h", "/", Repeatability(kind), 1.0, 1.0, 0, ()),
        resumable=flag == "resumable",
    )
    assert route.repeatable == (runs == "run many times"), route
    assert route.may_resume == (resumes == "resume"), route


@given("a proxied runner whose address is {address}")
def proxied_runner_at(context, address):
    context.modes = [*getattr(context, "modes", []), f"is at {address}"]


@given("a proxied runner that {mode}")
def proxied_runner(context, mode):
    context.modes = [*getattr(context, "modes", []), mode]


@given("runner {number:d} has software {version}")
def runner_has_software(context, number, version):
    if not hasattr(context, "software"):
        context.software = {}
    context.software[number] = version


@given("runner {number:d} {has_started_again}, which the router has not heard")
def started_again(context, number, has_started_again):
    born = {
        "has started again": "2",
        "does not say when it started": None,
        "does not answer when asked": SILENT,
    }
    context.born = getattr(context, "born", {})
    context.born[number] = born[has_started_again]


@when("a caller sends a request that {kind} and leaves")
def sends_and_leaves(context, kind):
    async def run():
        async with open_proxy() as fixture:
            runner = await fixture.add_runner(context.modes[0])
            stream = await anyio.connect_tcp("127.0.0.1", fixture.port)
            async with stream:
                await stream.send(request(ROUTE_NAMES[kind]))
                await runner.wait(lambda: runner.received)
            with anyio.fail_after(0.5):
                await runner.wait(lambda: runner.closed_connections)
            context.runners = fixture.runners
            context.proxy_metrics = fixture.metrics

    anyio.run(run)


@when(
    "a caller takes up after event {event:d} a stream that began at software"
    " {version}"
)
def takes_up(context, event, version):
    context.origins = {} if version == "nobody knows" else {"r0": version}
    extra = f"Last-Event-Id: {event}\r\nResumes: r0\r\n"
    send_requests(context, request("resume", extra))


@given(
    "software {versions} ever wrote streams of the service, and {others} those"
    " of its model"
)
def software_ever(context, versions, others):
    every = tuple(others.split(" and "))
    context.ever = {"desk": (versions,), MODEL: every, "": every}


@when(
    "a caller takes up a stream of software v2 where its route {is_resumable}"
)
def takes_up_elsewhere(context, is_resumable):
    context.origins = {"r0": "v2"}
    extra = "Last-Event-Id: 2\r\nResumes: r0\r\n"
    name = "stream" if is_resumable == "is not resumable" else "resume"
    send_requests(context, request(name, extra))


@when("a caller takes up a stream of {whose}, whose beginning nobody knows")
def takes_up_unknown(context, whose):
    extra = "Last-Event-Id: 2\r\nResumes: r0\r\n"
    if whose == "the model":
        extra += prompt_headers("a:50")
    send_requests(context, request("resume", extra))


@given("the router heard of endpoints {age:g} s ago")
def heard_ago(context, age):
    context.known_age_s = age


@when("{count:d} callers at once take up streams that began at software v1")
def take_up_at_once(context, count):
    extra = "Last-Event-Id: 2\r\nResumes: r0\r\n"

    async def run():
        async with open_proxy() as fixture:
            fixture.origins.versions["r0"] = "v1"
            for number, mode in enumerate(context.modes, 1):
                runner = await fixture.add_runner(mode, "v1")
                runner.born = context.born[number]
            async with anyio.create_task_group() as group:
                for _ in range(count):
                    group.start_soon(fixture.send, request("resume", extra), 2)
            context.asked = fixture.asked
            context.answer = await fixture.send(request("stream"), 2)

    anyio.run(run)


@when("callers send {count:d} requests that may be resumed")
def sends_streams(context, count):
    send_requests(context, *(request("resume") for _ in range(count)))


@then("runners were asked at most {count:d} times when they started")
def check_asked_at_most(context, count):
    assert len(context.asked) <= count, len(context.asked)


@then("runners were asked {count:d} times when they started")
def check_asked(context, count):
    assert len(context.asked) == count, context.asked


@when("a caller begins anew and names an earlier request")
def begins_anew(context):
    send_requests(context, request("resume", "Resumes: r0\r\n"))


@then("the origin of {name} is recorded as {version}")
def check_origin(context, name, version):
    found = context.recorded.get(name, "nothing")
    assert found == version, context.recorded


@then("the refusal is counted as {reason}")
def check_refusal_reason(context, reason):
    page = context.proxy_metrics.page().decode()
    line = f'knapweedarch_refused_total{{reason="{reason}"}} 1.0'
    assert line in page, [x for x in page.splitlines() if "refused" in x]


@when("a caller sends a request that {kind}")
def sends(context, kind):
    send_requests(context, request(ROUTE_NAMES[kind]))


def prompt_headers(parts: str) -> str:
    """Builds the headers of a prompt with parts `ID:TOKENS,...`."""
    return (
        f"X-Knapweedarch-Model: {MODEL}\r\n"
        "X-Knapweedarch-Token-Count: 100,50\r\n"
        f"X-Knapweedarch-Prefix-Hash: {parts}\r\n"
    )


@when('a caller sends a stream request with the parts "{parts}"')
def sends_prompt(context, parts):
    send_requests(context, request("stream", prompt_headers(parts)))


@when("a caller sends a request with {count:d} bytes that {kind}")
def sends_bytes(context, count, kind):
    send_requests(context, request(ROUTE_NAMES[kind], body=b"x" * count))


@when(
    "a customer with a line end in its name sends {count:d} bytes, then another"
    " one"
)
def odd_customer_sends(context, count):
    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            usual = fixture.gateway.deployment
            odd = Customer("a\nb", (ODD_KEY,))
            fixture.gateway.set_deployment(
                attrs.evolve(usual, customers=(*usual.customers, odd))
            )
            data = request(body=b"x" * count)
            context.answers = [
                await fixture.send(
                    data.replace(KEY.encode(), ODD_KEY.encode())
                ),
                await fixture.send(data),
            ]
            context.runners = fixture.runners

    anyio.run(run)


@when("a caller sends headers that only the system may set")
def sends_reserved_headers(context):
    extra = "".join(f"{name}: {FORGED}\r\n" for name in RESERVED_HEADERS)
    send_requests(context, request("once", extra))


MALFORMED_REQUESTS = {
    "a length and chunks": request(extra="Transfer-Encoding: chunked\r\n"),
    "two lengths": request(extra="Content-Length: 3\r\n"),
    "a space before a colon": request(extra="X-Odd : 1\r\n"),
    "a head of 20000 bytes": request(extra=f"X-Long: {'x' * 20_000}\r\n"),
    "a length of 5000000 bytes": request(body=b"x" * 5_000_000),
    "an unknown key": request().replace(KEY.encode(), b"key-2"),
    "an unknown path": request("unknown"),
}


ODD_NUMBERS = {
    "superscript 2": "\xb2",
    "400 digits": "9" * 400,
    "5000 digits": "9" * 5_000,
}


@when("a caller sends {value} as its {name}")
def sends_odd_number(context, value, name):
    number = ODD_NUMBERS[value].encode("latin-1")
    data = request(extra=prompt_headers("p1:100"))
    before, usual = {
        "deadline": (b"Deadline-Ms: ", b"2000"),
        "token count": (b"Token-Count: ", b"100"),
        "prefix hash": (b"Prefix-Hash: p1:", b"100"),
    }[name]
    send_requests(context, data.replace(before + usual, before + number))


@when('a caller sends a request with the header "{header}"')
def sends_header(context, header):
    send_requests(context, request(extra=f"{header}\r\n"))


@when("a caller sends a request with {fault}")
def sends_malformed(context, fault):
    send_requests(context, MALFORMED_REQUESTS[fault])


@when("a caller sends {count:d} requests in seeded splits and framings")
def sends_split(context, count):
    rng = random.Random(7)
    context.bodies = [rng.randbytes(rng.randrange(1, 3000)) for _ in range(20)]

    async def run():
        async with open_proxy() as fixture:
            runner = await fixture.add_runner(context.modes[0])
            statuses = []
            for body in context.bodies[:count]:
                data = framed(rng, body)
                parts = rng.choice((1, 2, 7, 31))
                answer = await fixture.send(data, 0.05, parts)
                statuses.append(answer.status)
            context.statuses, context.received = statuses, runner.received

    anyio.run(run)


def framed(rng: random.Random, body: bytes) -> bytes:
    """Builds a request with a Content-Length or chunked encoding."""
    if rng.random() < 0.5:
        return request("once", body=body)
    head = request("once").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    data, start = head, 0
    while start < len(body):
        size = rng.randrange(1, 900)
        chunk = body[start : start + size]
        data += b"%x\r\n%b\r\n" % (len(chunk), chunk)
        start += size
    return data + b"0\r\n\r\n"


# Longer than a router avoids a runner that has refused a request, and shorter
# than it keeps an idle connection.
AFTER_REFUSAL_S = 0.4


def send_twice(context, first: bytes, second: bytes) -> None:
    async def run():
        async with open_proxy() as fixture:
            runner = await fixture.add_runner(context.modes[0])
            context.answers = [await fixture.send(first)]
            await anyio.sleep(AFTER_REFUSAL_S)
            context.answers.append(await fixture.send(second))
            context.ran = runner.ran

    anyio.run(run)


@when("after a refusal a caller sends a request that {kind}")
def sends_after_refusal(context, kind):
    name = ROUTE_NAMES[kind]
    send_twice(context, request(name), request(name, request_id="r2"))


@when("after a refusal a caller sends its request under the same id")
def sends_same_id(context):
    send_twice(context, request("once"), request("once"))


@then("the first answer is a refusal and the second one a success")
def check_refused_then_served(context):
    assert [a.status for a in context.answers] == [503, 200], context.answers


@then("runner 1 has run 1 request")
def check_ran_once(context):
    assert len(context.ran) == 1, context.ran


@when("a caller sends 2 requests one after the other")
def sends_two(context):
    send_requests(context, request("once"), request("once"), idle_s=0.2)


@then("the caller gets status {status:d}")
def got_status(context, status):
    assert context.answer.status == status, context.answer.data[:300]


@then("runner {number:d} has received {count:d} requests")
def has_received(context, number, count):
    assert len(context.runners[number - 1].received) == count


@then("the body is the runner's")
def runners_body(context):
    assert context.answer.body == BODY


@then("the Retry-After of the answer is at most a third of {seconds:d} s")
def has_retry_after(context, seconds):
    found = re.search(r"retry-after: ([\d.]+)", context.answer.head.lower())
    assert 0 < float(found.group(1)) <= seconds / 3


def stream_body(context) -> bytes:
    """Joins the chunks of a streamed answer that hold complete events."""
    return b"".join(
        re.findall(
            rb"[0-9a-f]+\r\n((?:id: .*?\n\n)+)\r\n", context.answer.body, 16
        )
    )


@then("the relayed stream is complete")
def stream_is_complete(context):
    assert stream_body(context) == b"".join(EVENTS), context.answer.body
    assert context.answer.body.endswith(b"0\r\n\r\n")


@then("the relayed stream has no end")
def stream_cut(context):
    assert not context.answer.body.endswith(b"0\r\n\r\n")


@then("runner {number:d} was asked to resume after event {event:d}")
def asked_to_resume(context, number, event):
    received = context.runners[number - 1].received
    last_ids = [r.header("Last-Event-Id") or "0" for r in received]
    assert last_ids == [str(event)], last_ids


@then("the caller gets events {first:d} to {last:d} once each, in order")
def gets_events(context, first, last):
    ids = re.findall(rb"^id: (\d+)$", as_lines(context), re.MULTILINE)
    assert [int(i) for i in ids] == [*range(first, last + 1)], ids
    data = re.findall(rb"^data: piece (\d+)$", as_lines(context), re.MULTILINE)
    assert data == ids, (data, ids)
    assert context.answer.body.endswith(b"0\r\n\r\n")


def as_lines(context) -> bytes:
    """Returns the body of the answer with LF as its only line end."""
    return context.answer.body.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


@given(
    "{count:d} streams of 5 events with {end}, cut and read at seeded places"
)
def cut_streams(context, count, end):
    line_end = {"LF": b"\n", "CR": b"\r", "CRLF": b"\r\n"}[end]
    rng = random.Random(1)
    context.cuts = []
    whole = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
    whole = whole.replace(b"\n", line_end)
    for _ in range(count):
        data = whole[: rng.randrange(len(whole) + 1)]
        splitter, count_found, last_id = EventSplitter(), 0, "0"
        place = 0
        while place < len(data):
            size = rng.randrange(1, 9)
            batch = splitter.feed(data[place : place + size])
            count_found += batch.count
            last_id = batch.last_id or last_id
            place += size
        context.cuts.append((data, line_end, count_found, last_id))


@then("the events counted and the last event id are those that are complete")
def check_cuts(context):
    for data, line_end, count, last_id in context.cuts:
        complete = data.count(line_end * 2)
        # The LF of a CRLF that ends an event need not have arrived.
        if data.endswith(b"\r\n\r"):
            complete += 1
        assert (count, last_id) == (complete, str(complete)), data


@when("a caller that speaks HTTP/1.0 sends a request that {kind}")
def sends_http_1_0(context, kind):
    data = request(ROUTE_NAMES[kind]).replace(b"HTTP/1.1", b"HTTP/1.0")

    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            stream = await anyio.connect_tcp("127.0.0.1", fixture.port)
            async with stream:
                await stream.send(data)
                context.data, context.was_reset = b"", False
                try:
                    while True:
                        context.data += await stream.receive()
                except anyio.BrokenResourceError:
                    context.was_reset = True
                except anyio.EndOfStream:
                    pass

    anyio.run(run)


@then("its connection is reset after event {number:d}")
def was_reset(context, number):
    assert EVENTS[number - 1] in context.data, context.data
    assert context.was_reset


@then("runner 1 loses its connection")
def lost_connection(context):
    assert context.runners[0].closed_connections == 1


@then('the runner got the customer "{customer}" and the instance "{instance}"')
def got_customer(context, customer, instance):
    (received,) = context.runners[0].received
    assert received.header("X-Knapweedarch-Tenant") == customer
    assert received.header("X-Knapweedarch-Expect-Instance") == instance
    assert received.header("Host") == HOST


@then("the runner got none of the caller's values")
def got_no_forgery(context):
    assert FORGED not in context.runners[0].received[0].head


@then("the runner got no key")
def got_no_key(context):
    assert KEY not in context.runners[0].received[0].head


@then("the runner was given less than {limit:d} ms")
def given_less(context, limit):
    received = context.runners[0].received[0]
    assert 0 < int(received.header("X-Knapweedarch-Deadline-Ms")) < limit


@then("each of them is answered and reached the runner unchanged")
def all_unchanged(context):
    assert context.statuses == [200] * len(context.bodies)
    assert [s.body for s in context.received] == context.bodies


@then("both are answered by the runner's own answers")
def both_answered(context):
    assert [a.body for a in context.answers] == [BODY, BODY]


@then("runner 1 accepted {count:d} connections")
def accepted(context, count):
    assert context.runners[0].connections == count


@given("{count:d} idle connections to it whose time has expired")
def has_expired_connections(context, count):
    context.idle_count = count


@when("the pool closes expired connections while {other}")
def closes_expired(context, other):
    async def run():
        clock = ManualClock()
        async with open_proxy() as fixture, OutboundPool(clock) as pool:
            runner = await fixture.add_runner(context.modes[0])
            await leave_idle(pool, runner, context.idle_count)
            clock.time += EXPIRED_AFTER_S
            next_exchange = pool.exchange(runner.address, CALL, is_own)
            tasks = {
                "a request opens a connection": lambda: next_exchange.open(
                    lambda: None
                ),
                "it closes all idle connections": pool.close_idle,
                "it closes expired ones": pool.close_expired,
            }
            async with anyio.create_task_group() as group:
                group.start_soon(pool.close_expired)
                group.start_soon(tasks[other])
            await runner.wait(
                lambda: runner.closed_connections == context.idle_count
            )
            context.runners = fixture.runners

    anyio.run(run)


async def leave_idle(pool, runner, count: int) -> None:
    """Leaves idle connections to a runner in a pool."""
    exchanges = [
        pool.exchange(runner.address, CALL, is_own) for _ in range(count)
    ]
    for exchange in exchanges:
        await exchange.open(lambda: None)
    for exchange in exchanges:
        head = await exchange.send_request()
        await read_full_answer(exchange, head)
        await exchange.close(head)


def is_own(headers) -> bool:
    """Takes every answer for one to its own request."""
    return True


@then("the {count:d} idle connections are closed")
def idle_are_closed(context, count):
    assert context.runners[0].closed_connections == count


@when("the server refuses new work with 1 request and 1 idle connection open")
def refuses_new(context):
    async def run():
        async with open_proxy() as fixture:
            runner = await fixture.add_runner(context.modes[0])
            busy = await anyio.connect_tcp("127.0.0.1", fixture.port)
            idle = await anyio.connect_tcp("127.0.0.1", fixture.port)
            async with busy, idle:
                await busy.send(request("once"))
                await runner.wait(lambda: runner.received)
                fixture.server.stop_accepting()
                context.idle_closed = await is_closed(idle)
                context.accepted_new = await is_accepted(fixture.port)
                context.answer = RawAnswer(await receive_all(busy, 0.4))

    anyio.run(run)


@when("the server refuses new work within the {part} of a request")
def refuses_within_request(context, part):
    data = request("once", body=b"x" * 100)
    place = data.index(b"\r\n\r\n") + (50 if part == "body" else -5)

    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            caller = await anyio.connect_tcp("127.0.0.1", fixture.port)
            async with caller:
                await caller.send(data[:place])
                await anyio.sleep(0.05)
                fixture.server.stop_accepting()
                await anyio.sleep(0.05)
                await caller.send(data[place:])
                context.answer = RawAnswer(await receive_all(caller, 0.4))
            context.runners = fixture.runners

    anyio.run(run)


async def is_closed(stream) -> bool:
    """Returns whether the peer closes a connection within 0.3 s."""
    with anyio.move_on_after(0.3):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True
    return False


async def is_accepted(port: int) -> bool:
    """Returns whether a new connection is accepted and kept open."""
    try:
        stream = await anyio.connect_tcp("127.0.0.1", port)
    except OSError:
        return False
    async with stream:
        return not await is_closed(stream)


@then("the idle connection is closed at once")
def idle_closed(context):
    assert context.idle_closed


@then("no new connection is accepted")
def no_new_connection(context):
    assert not context.accepted_new


@then("the request gets its complete answer")
def gets_complete_answer(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.body == BODY, context.answer
    assert "connection: close" in context.answer.head.lower()


@when("the server refuses new work while a stream is relayed")
def refuses_during_stream(context):
    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            caller = await anyio.connect_tcp("127.0.0.1", fixture.port)
            async with caller:
                await caller.send(request("stream"))
                context.data = await caller.receive()
                while EVENTS[0] not in context.data:
                    context.data += await caller.receive()
                fixture.server.stop_accepting()
                context.data += await receive_all(caller, 0.5)
                context.idle_closed = await is_closed(caller)

    anyio.run(run)


@then("the stream ends as complete and its connection is closed")
def stream_complete(context):
    assert b"connection: close" not in context.data.lower()
    assert context.data.endswith(b"0\r\n\r\n"), context.data
    assert context.idle_closed


@when("a request comes to a router {state}")
def comes_to_router(context, state):
    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            fixture.refusal = RefusalReason.LEASE_EXPIRED
            if state != "whose lease has ended":
                fixture.gateway.started = anyio.Event()
            if "first lease" in state:
                fixture.group.start_soon(grant_first_lease, fixture)
            began_at = anyio.current_time()
            stream = await anyio.connect_tcp("127.0.0.1", fixture.port)
            async with stream:
                await stream.send(request("once"))
                context.answer = RawAnswer(await stream.receive())
            context.taken_s = anyio.current_time() - began_at

    anyio.run(run)


async def grant_first_lease(fixture):
    await anyio.sleep(0.2)
    fixture.refusal = None
    fixture.gateway.started.set()


@then("it ends with {status:d} after {least:f} to {most:f} s")
def ends_after(context, status, least, most):
    assert context.answer.status == status, context.answer
    assert least <= context.taken_s <= most, context.taken_s


@when("{count:d} requests are sent one after the other")
def sent_in_turn(context, count):
    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            for number in range(count):
                request_id = f"r{number}"
                data = request("once", request_id=request_id)
                answer = await fixture.send(data, idle_s=0.02)
                context.answers.append((request_id, answer))

    context.answers = []
    anyio.run(run)


@when("{count:d} requests that {kind} are sent one after the other")
def kind_sent_in_turn(context, count, kind):
    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner(context.modes[0])
            for number in range(count):
                # Each has a body of its own, so that none is a copy of another.
                data = request(ROUTE_NAMES[kind], body=b"%d" % number)
                context.answers.append(await fixture.send(data, idle_s=0.02))

    context.answers = []
    anyio.run(run)


@then("no answer is a success")
def no_success(context):
    statuses = {answer.status for answer in context.answers}
    assert statuses <= {502, 503}, statuses
    assert 502 in statuses


@then("the caller has events {first:d} to {last:d} and nothing else")
def has_only_events(context, first, last):
    chunks = re.findall(rb"[0-9a-f]+\r\n(.*?)\r\n", context.answer.body, 16)
    expected = b"".join(EVENTS[first - 1 : last])
    assert b"".join(chunks) == expected, context.answer.body


@then("each success is the runner's complete answer to its own request")
def own_answers(context):
    for request_id, answer in context.answers:
        if answer.status == 200:
            assert answer.body == BODY, answer
            id_line = f"x-knapweedarch-request-id: {request_id}"
            assert id_line in answer.head.lower().split("\r\n"), answer


@then("some answers succeeded and more than {count:d} did not")
def some_succeeded(context, count):
    statuses = [answer.status for _, answer in context.answers]
    assert statuses.count(200) > 10, statuses
    assert len(statuses) - statuses.count(200) > count, statuses
    assert set(statuses) <= {200, 502, 503, 504}, set(statuses)


@then("runner {number:d} could send at most {millions:d} million bytes")
def check_endless_bytes(context, number, millions):
    """The kernel's socket buffers hold a part of them."""
    sent = context.runners[number - 1].endless_bytes
    assert sent <= millions * 1_000_000, sent


@when("a patient caller sends a request that {kind}")
def sends_patiently(context, kind):
    """Waits longer for the next bytes than a stream may be silent."""
    send_requests(context, request(ROUTE_NAMES[kind]), idle_s=1.0)


@when(
    "a caller sends {count:d} requests that may run many times, {pause:f} s"
    " apart"
)
def sends_apart(context, count, pause):
    async def run():
        async with open_proxy() as fixture:
            for mode in context.modes:
                await fixture.add_runner(mode)
            context.answers, context.took_s = [], []
            for number in range(count):
                data = request("many", request_id=f"r{number}")
                stream = await anyio.connect_tcp("127.0.0.1", fixture.port)
                began_at = anyio.current_time()
                async with stream:
                    await stream.send(data)
                    context.answers.append(RawAnswer(await stream.receive()))
                context.took_s.append(anyio.current_time() - began_at)
                await anyio.sleep(pause)
            context.runners = fixture.runners

    anyio.run(run)


@then("every answer has status {status:d}")
def all_have_status(context, status):
    found = {answer.status for answer in context.answers}
    assert found == {status}, found


@then("the first answer has status {first:d} and the others {others:d}")
def check_statuses(context, first, others):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [first] + [others] * (len(statuses) - 1), statuses


@then(
    "each of them is refused within {limit:g} s, with a Retry-After of"
    " {least:g} s or more"
)
def check_refused_at_once(context, limit, least):
    assert max(context.took_s) <= limit, context.took_s
    for answer in context.answers:
        assert answer.status == 503, answer
        found = re.search(r"retry-after: ([\d.]+)", answer.head.lower())
        assert float(found.group(1)) >= least, answer


@then("runner {number:d} has received at most {most:d} requests")
def received_at_most(context, number, most):
    received = len(context.runners[number - 1].received)
    assert 1 <= received <= most, received
