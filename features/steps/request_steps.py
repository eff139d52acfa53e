"""Steps for requests through a gateway over loopback."""

import contextlib
import json
import random
import time
from hashlib import sha256

import anyio
import anyio.from_thread
import httpx
from behave import given, then, when

from features.raw_server import OK_BODY, RawServer, raw_endpoint
from features.request_harness import (
    MESSAGES,
    Answer,
    chat_body,
    open_harness,
    parse_response,
    refusing_url,
)
from knapweedarch import chats
from knapweedarch.adapters import LoadWeights
from knapweedarch.exceptions import EndpointError
from knapweedarch.models import (
    CacheEvent,
    CacheSnapshot,
    Endpoint,
    EndpointKind,
    LoadReport,
    Priority,
    RefusalReason,
)
from knapweedarch.state import Reserve, record_key
from standins import texts
from standins.desk import Desk
from standins.fake_router import AUTHORIZATION, CREDENTIAL, endpoint_of
from standins.faults import Fault
from standins.runner import Runner, RunnerConfig

# Time limit of one step; a hang then fails the scenario.
STEP_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.005


def run_async(context, function, *arguments):
    """Runs an async function in the scenario's event loop, with a timeout."""

    async def bounded():
        with anyio.fail_after(STEP_TIMEOUT_S):
            return await function(*arguments)

    return context.portal.call(bounded)


def wait_until(condition) -> None:
    """Waits until a condition on the servers' state is true."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, (
            "timed out waiting for the condition"
        )
        time.sleep(POLL_INTERVAL_S)


def total_count(context, name: str) -> int:
    return sum(router.counts[name] for router in context.harness.routers)


@given("{count:d} routers")
def start_routers(context, count):
    portal = anyio.from_thread.start_blocking_portal()
    context.portal = portal.__enter__()
    context.add_cleanup(portal.__exit__, None, None, None)
    harness = context.portal.wrap_async_context_manager(open_harness())
    context.harness = harness.__enter__()
    context.add_cleanup(harness.__exit__, None, None, None)
    for number in range(1, count + 1):
        run_async(context, context.harness.add_router, f"router-{number}")
    context.runners, context.desks, context.answers = {}, {}, []


def add_runner(context, name: str, **options) -> Runner:
    options = {"token_ms": 1.0, **options}
    runner = Runner(RunnerConfig(name, credential=CREDENTIAL, **options))
    context.runners[name] = runner
    run_async(context, context.harness.add_runner, runner)
    return runner


@given('a runner "{name:w}"')
def add_plain_runner(context, name):
    add_runner(context, name)


@given('a runner "{name:w}" with fault "{fault:w}" at token {at:d}')
def add_faulty_runner(context, name, fault, at):
    add_runner(context, name).faults.add(Fault(fault, at))


@given('a runner "{name:w}" with weights "{version}"')
def add_runner_with_weights(context, name, version):
    add_runner(context, name, version=version)


@given('a runner "{name:w}" with software "{version}"')
def add_runner_with_software(context, name, version):
    add_runner(context, name, software_version=version)


@given("no other runner")
def add_no_runner(context):
    assert len(context.runners) == 1


@given("no other desk")
def add_no_desk(context):
    assert len(context.desks) == 1


@given('a desk "{name:w}", but no retry left')
def add_desk_without_retries(context, name):
    add_plain_desk(context, name)
    for gateway in context.harness.gateways:
        while gateway._services._retry_budget.try_spend():
            pass


@when("a caller sends a {method} without a key")
def call_without_key(context, method):
    path = {"GET": "availability", "POST": "bookings"}[method]

    async def run():
        return await context.harness.call_service(
            f"booking/{path}", method=method
        )

    context.answers.append(run_async(context, run))


@given('a runner "{name:w}" without retries')
def add_runner_without_retries(context, name):
    add_runner(context, name)
    for router in context.harness.routers:
        router.retries_left = 0


@given('a runner "{name:w}" that answers at once')
def add_fast_runner(context, name):
    add_runner(context, name, token_ms=0.0)


@given('a runner "{name:w}" that takes {ms:d} ms per token')
def add_paced_runner(context, name, ms):
    add_runner(context, name, token_ms=float(ms))


@given('a runner "{name:w}" that checks fencing numbers')
def add_fencing_runner(context, name):
    add_runner(context, name, checks_fencing=True)


def add_endpoint(context, endpoint: Endpoint) -> None:
    for router in context.harness.routers:
        if endpoint.kind is EndpointKind.RUNNER:
            router.runners.append(endpoint)
        else:
            router.desks.append(endpoint)


@given("a {kind} on a port that refuses connections")
def add_refusing_endpoint(context, kind):
    kind = {"runner": EndpointKind.RUNNER, "desk": EndpointKind.SERVICE}[kind]
    add_endpoint(context, raw_endpoint(refusing_url(), kind))


@given('a {kind} on a raw server in mode "{mode}"')
def add_raw_endpoint(context, kind, mode):
    kind = {"runner": EndpointKind.RUNNER, "desk": EndpointKind.SERVICE}[kind]
    context.raw = RawServer(mode)
    url = run_async(context, context.harness.add_raw_server, context.raw.handle)
    add_endpoint(context, raw_endpoint(url, kind))


@given('a desk "{name:w}"')
@when('a desk "{name:w}" starts')
def add_plain_desk(context, name):
    desk = context.desks[name] = Desk(name, credential=CREDENTIAL)
    run_async(context, context.harness.add_desk, desk)


@given('a desk "{name:w}" with fault "{fault:w}" at {at:g}')
def add_faulty_desk(context, name, fault, at):
    add_plain_desk(context, name)
    context.desks[name].faults.add(Fault(fault, at))


@given("the write timeout is {limit:g} s")
def set_write_timeout(context, limit):
    previous, chats.WRITE_TIMEOUT_S = chats.WRITE_TIMEOUT_S, limit
    context.add_cleanup(setattr, chats, "WRITE_TIMEOUT_S", previous)


@given("the lease expires after {checks:d} check")
def expire_lease_after_checks(context, checks):
    context.harness.routers[0].checks_before_refusal = checks


@given("the router stops after {checks:d} check")
def stop_router_after_checks(context, checks):
    router = context.harness.routers[0]
    router.checks_before_refusal = checks
    router.refusal_after_checks = RefusalReason.STOPPING


@when("the lease of router {number:d} has expired")
def expire_lease(context, number):
    router = context.harness.routers[number - 1]
    router.refusal = RefusalReason.LEASE_EXPIRED


@given(
    "the lease of router {number:d} expires and is renewed while a call is"
    " reserved"
)
def lapse_lease_at_check(context, number):
    context.harness.routers[number - 1].lapses_per_check = 1


@given("commands arrive {times}")
def set_command_deliveries(context, times):
    for router in context.harness.routers:
        router.applies_twice = times == "twice"


@given('the next {count:d} "{command}" fail')
def fail_commands(context, count, command):
    context.harness.routers[0].pending_failures[command] = count


@given('another router has reserved key "{key:w}"')
def reserve_key_elsewhere(context, key):
    # The digest matches the deposit that the scenario sends.
    head = b"POST\0/deposits\0{}"
    name = record_key("counter", "booking", key)
    reserve = Reserve(name, sha256(head).digest(), "router-9/1", 0.0)
    run_async(context, context.harness.routers[0].submit, reserve, 1.0)


@when("a caller asks for {kind} of {tokens:d} tokens")
def send_chat(context, kind, tokens):
    async def run() -> Answer:
        return await context.harness.chat(
            stream=kind == "a stream", max_tokens=tokens
        )

    context.answers.append(run_async(context, run))


async def send_raw(context, path: str, body: bytes):
    """Sends a request over a plain TCP connection, which it returns."""
    host, _, port = context.harness.urls[0][7:].partition(":")
    stream = await anyio.connect_tcp(host, int(port))
    await stream.send(
        b"POST %b HTTP/1.1\r\nhost: x\r\nauthorization: %b\r\n"
        b"content-length: %d\r\n\r\n%b"
        % (
            path.encode(),
            AUTHORIZATION["authorization"].encode(),
            len(body),
            body,
        )
    )
    return stream


@when("a caller asks for {tokens:d} tokens and reads none of them")
def send_chat_without_reading(context, tokens):
    body = json.dumps(chat_body(max_tokens=tokens)).encode()
    stream = run_async(context, send_raw, context, "/v1/chat/completions", body)
    context.add_cleanup(context.portal.call, stream.aclose)


@given("routers that hold at most {size:d} bytes of bodies")
def set_body_budget(context, size):
    for gateway in context.harness.gateways:
        gateway.memory.limit_bytes = size


@given('runners "a", "b" and "c"')
def add_three_runners(context):
    for name in ("a", "b", "c"):
        add_runner(context, name, slots=100)
    router = context.harness.routers[0]
    router.rotate, router.retries_left = True, 1000


@when(
    "{callers:d} callers stream concurrently with random faults from seed"
    " {seed:d}"
)
def stream_with_random_faults(context, callers, seed):
    rng = random.Random(seed)
    modes = ("break", "gap", "repeat", "no_done", "crossed", "error", "refuse")
    for runner in context.runners.values():
        for _ in range(callers // 2):
            mode = rng.choice(modes) if rng.random() < 0.6 else "none"
            runner.faults.add(Fault(mode, rng.randrange(30)))

    async def send_one(number: int) -> None:
        messages = [{"role": "user", "content": f"question {number}"}]
        answer = await context.harness.chat(messages=messages, max_tokens=30)
        whole = texts.text(messages, "w1", 0, 30)
        context.answers.append((answer, whole))

    async def run() -> None:
        async with anyio.create_task_group() as group:
            for number in range(callers):
                group.start_soon(send_one, number)

    run_async(context, run)


@then("every stream is whole or ends in an explicit error")
def check_streams_whole_or_error(context):
    for answer, whole in context.answers:
        text = answer.text if answer.code == 200 else ""
        assert whole.startswith(text), answer
        assert answer.done == (answer.error is None), answer
        assert not answer.done or text == whole, answer


@then("at least {count:d} streams are whole")
def check_whole_streams(context, count):
    assert sum(answer.done for answer, _ in context.answers) >= count


@then("the raw server got at most {count:d} requests")
def check_raw_requests(context, count):
    assert context.raw.requests <= count, context.raw.requests


@when("{callers:d} callers ask concurrently for a stream of {tokens:d} tokens")
def send_concurrent_chats(context, callers, tokens):
    async def send_one() -> None:
        context.answers.append(await context.harness.chat(max_tokens=tokens))

    async def run() -> None:
        async with anyio.create_task_group() as group:
            for _ in range(callers):
                group.start_soon(send_one)

    run_async(context, run)


@then('at least {count:d} answers are "{reason}" with outcome "{outcome}"')
def check_refused_answers(context, count, reason, outcome):
    refused = [answer for answer in context.answers if answer.code != 200]
    assert len(refused) >= count, context.answers
    for answer in refused:
        check_error(answer, reason, outcome)


@then("the other answers are whole")
def check_other_answers(context):
    whole = [answer for answer in context.answers if answer.code == 200]
    assert whole and all(a.done for a in whole), context.answers


@when("a caller leaves after {read:d} tokens of {tokens:d}")
def disconnect_after_tokens(context, read, tokens):
    async def run() -> None:
        async with context.harness.client.stream(
            "POST",
            f"{context.harness.urls[0]}/v1/chat/completions",
            json=chat_body(max_tokens=tokens),
            headers=AUTHORIZATION,
        ) as reply:
            seen = 0
            async for line in reply.aiter_lines():
                seen += '"offset"' in line
                if seen >= read:
                    return

    run_async(context, run)


def send_deposit(
    context, key: str, number: int, body: bytes = b"{}", method: str = "POST"
) -> None:
    answer = run_async(
        context,
        context.harness.call_service,
        "booking/deposits",
        key,
        body,
        number - 1,
        method,
    )
    context.answers.append(answer)


@when('the caller deposits with key "{key:w}" through router {number:d}')
def send_deposit_through_router(context, key, number):
    send_deposit(context, key, number)


@when('the caller deposits by {method} with key "{key:w}"')
def send_deposit_by(context, method, key):
    send_deposit(context, key, 1, method=method)


@when('the caller deposits another body with key "{key:w}"')
def send_other_deposit(context, key):
    send_deposit(context, key, 1, b'{"amount": 2}')


@when('{count:d} deposits with key "{key:w}" go through both routers at once')
def send_concurrent_deposits(context, count, key):
    async def send_one(number: int) -> None:
        harness = context.harness
        answer = await harness.call_service(
            "booking/deposits", key, router=number % 2
        )
        context.answers.append(answer)

    async def run() -> None:
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(send_one, number)

    run_async(context, run)


@when('the caller leaves while its deposit with key "{key:w}" runs')
def disconnect_during_deposit(context, key):
    running = context.portal.start_task_soon(
        context.harness.call_service, "booking/deposits", key
    )
    wait_until(lambda: any(d.runs[key] for d in context.desks.values()))
    running.cancel()


@when('router 1 stops while its deposit with key "{key:w}" runs')
def stop_router_during_deposit(context, key):
    async def send_ignoring_errors() -> None:
        with contextlib.suppress(httpx.HTTPError):
            await context.harness.call_service("booking/deposits", key)

    running = context.portal.start_task_soon(send_ignoring_errors)
    wait_until(lambda: any(d.runs[key] for d in context.desks.values()))
    run_async(context, context.harness.stop_router, 0)
    running.result(STEP_TIMEOUT_S)


@when("the caller checks availability {times:d} times")
def check_availability(context, times):
    async def send_one() -> Answer:
        return await context.harness.call_service(
            "booking/availability", method="GET"
        )

    for _ in range(times):
        context.answers.append(run_async(context, send_one))


@when('a caller posts to "{path}" without a key')
def post_without_key(context, path):
    async def run() -> Answer:
        # httpx would normalise dot segments before sending.
        stream = await send_raw(context, path, b"{}")
        data = b""
        async with stream:
            while b"}}" not in data:
                data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        return parse_response(httpx.Response(int(head[9:12]), content=body))

    context.answers.append(run_async(context, run))


async def chunked_parts(size: int):
    for _ in range(size // 1024):
        yield b"x" * 1024


OVERSIZED_BODY_BYTES = 300 * 1024
BAD_CHATS = {
    "an unknown model": chat_body(model="other"),
    "no messages": chat_body(messages=[]),
    "its own prefix_blocks": chat_body(prefix_blocks=[1]),
    "tools": chat_body(tools=[{"type": "function"}]),
}
BAD_CONTENTS = {
    "no API key": b"{}",
    "a body that is not JSON": b"{",
    "a deeply nested body": b"[" * 100_000,
    "a body over the size limit": b"x" * OVERSIZED_BODY_BYTES,
}
BAD_HEADERS = {
    "no API key": {"authorization": "Bearer wrong"},
    "a class above its own": {"x-class": "guest"},
    "an unknown class": {"x-class": "other"},
    "a key of 256 characters": {"idempotency-key": "k" * 256},
    "a key outside ASCII": {"idempotency-key": "k\u00e9".encode("latin1")},
}
BAD_PATHS = {
    "an unknown service": "/services/other/deposits",
    "a key of 256 characters": "/services/booking/deposits",
    "a key outside ASCII": "/services/booking/deposits",
}


@when("a caller adds a header of {size:d} bytes")
def send_long_header(context, size):
    async def run() -> Answer:
        reply = await context.harness.client.get(
            f"{context.harness.urls[0]}/v1/models",
            headers={"x-long": "x" * size},
        )
        return parse_response(reply)

    context.answers.append(run_async(context, run))


@when("a caller sends {what}")
def send_invalid_request(context, what):
    content = BAD_CONTENTS.get(what)
    if content is None:
        content = json.dumps(BAD_CHATS.get(what, chat_body())).encode()
    if what == "an oversized chunked body":
        content = chunked_parts(OVERSIZED_BODY_BYTES)
    path = BAD_PATHS.get(what, "/v1/chat/completions")
    headers = {**AUTHORIZATION, **BAD_HEADERS.get(what, {})}
    # The case "a class above its own" sends the class GUEST.
    assert context.harness.routers[0].customer.priority is Priority.INTERACTIVE

    async def run() -> Answer:
        reply = await context.harness.client.post(
            context.harness.urls[0] + path, content=content, headers=headers
        )
        return parse_response(reply)

    context.answers.append(run_async(context, run))


@when("an endpoint announces {what}")
def announce_endpoint(context, what):
    runner = Runner(RunnerConfig("new", credential=CREDENTIAL))
    runner.url = "http://127.0.0.1:4000"
    body, credential = dict(runner.describe()), CREDENTIAL
    match what:
        case "a wrong credential":
            credential = "wrong"
        case "a host name":
            body["url"] = "http://example:4000"
        case "no incarnation":
            body["incarnation"] = ""

    async def run() -> Answer:
        reply = await context.harness.client.post(
            f"{context.harness.urls[0]}/v1/endpoints",
            json=body,
            headers={"authorization": f"Bearer {credential}"},
        )
        return parse_response(reply)

    context.answers.append(run_async(context, run))
    announced = context.harness.routers[0].announced
    accepted = context.answers[-1].code == 200
    assert announced == ([endpoint_of(runner)] if accepted else [])


def collect_feed(context, endpoint: Endpoint, on_item) -> None:
    async def run() -> None:
        context.items, context.feed_error = [], None
        router = context.harness.routers[0]
        try:
            async for item in router.adapter.follow_feed(endpoint):
                context.items.append(item)
                on_item(item)
        except EndpointError as exc:
            context.feed_error = exc.reason

    run_async(context, run)


@when('router 1 follows the feed of runner "{name:w}", which loses an event')
def collect_feed_with_loss(context, name):
    runner = context.runners[name]
    feed = runner._feed

    def publish(item) -> None:
        # After the snapshot (number 1), event 2 is sent and event 3 is lost.
        if isinstance(item, CacheSnapshot):
            assert item.number == 1, item
            feed.publish("stored", (1,))
            feed.number += 1
            feed.publish("stored", (2,))

    collect_feed(context, context.harness.routers[0].runners[0], publish)


@when("router 1 follows the feed of the raw server")
def collect_raw_feed(context):
    endpoint = context.harness.routers[0].runners[0]
    collect_feed(context, endpoint, lambda item: None)


@then('the feed ended with "{reason}" after events {numbers}')
def check_feed_end(context, reason, numbers):
    kinds = CacheEvent | CacheSnapshot
    got = [i.number for i in context.items if isinstance(i, kinds)]
    assert got == [int(number) for number in numbers.split(",")], got
    assert context.feed_error == reason, context.feed_error


@then('the feed ended with "{reason}" after {count:d} load report')
def check_silent_feed(context, reason, count):
    assert [type(i) for i in context.items] == [LoadReport] * count
    assert context.feed_error == reason, context.feed_error


@when(
    'router {number:d} orders weights "{version}" with fencing number {fence:d}'
)
def send_weights_order(context, number, version, fence):
    router = context.harness.routers[number - 1]

    async def run() -> None:
        try:
            await router.adapter.order(
                router.runners[0], LoadWeights("guide", version), fence
            )
        except EndpointError as exc:
            assert exc.reason == "endpoint_refused", exc.reason

    run_async(context, run)


@then('runner "{name:w}" has weights "{version}"')
def check_weights(context, name, version):
    assert context.runners[name].version == version


@then("the caller has the whole text of {tokens:d} tokens")
def check_complete_text(context, tokens):
    answer = context.answers[-1]
    assert answer.text == texts.text(MESSAGES, "w1", 0, tokens), answer
    assert answer.done and answer.error is None, answer


@then("the caller has {tokens:d} tokens and no [DONE] marker")
def check_partial_text(context, tokens):
    answer = context.answers[-1]
    expected = texts.text(MESSAGES, "w1", 0, tokens)
    text = "" if answer.code != 200 else answer.text
    assert text == expected and not answer.done, answer


@then('attempts failed once with "{reason}"')
def check_failed_once(context, reason):
    assert total_count(context, f"retried.{reason}") == 1, [
        router.counts for router in context.harness.routers
    ]


@then("no attempt failed")
def check_none_failed(context):
    for router in context.harness.routers:
        failed = [n for n in router.counts if n.startswith("retried.")]
        assert not failed, failed


@then('the answer is an error "{reason}" with outcome "{outcome}"')
def check_last_error(context, reason, outcome):
    check_error(context.answers[-1], reason, outcome)


@then('each answer is an error "{reason}" with outcome "{outcome}"')
def check_each_error(context, reason, outcome):
    for answer in context.answers:
        check_error(answer, reason, outcome)


def check_error(answer: Answer, reason: str, outcome: str) -> None:
    assert answer.error, answer
    got = answer.error["reason"], answer.error["outcome"]
    assert got == (reason, outcome), answer


@then('the answer has status {status:d} and reason "{reason}"')
def check_reason(context, status, reason):
    answer = context.answers[-1]
    assert answer.code == status, answer
    assert answer.error["reason"] == reason, answer


@then("each answer has status {status:d}")
def check_each_status(context, status):
    assert context.answers
    assert all(a.code == status for a in context.answers), context.answers


@then("the last answer has status {status:d}")
def check_last_status(context, status):
    assert context.answers[-1].code == status, context.answers[-1]


@then("both answers are equal")
@then("all answers are equal")
def check_equal_answers(context):
    assert len(context.answers) > 1
    assert len({a.body for a in context.answers}) == 1, context.answers


@then('each answer is from desk "{name:w}"')
def check_from_desk(context, name):
    for answer in context.answers:
        assert json.loads(answer.body) == {"free": 3}, answer


@then("each answer is the raw server's own")
def check_from_raw_server(context):
    assert all(a.body == OK_BODY for a in context.answers), context.answers


@then(
    "the raw server has {count:d} connections, {closed:d} of them closed by"
    " the router"
)
def check_some_raw_connections_closed(context, count, closed):
    wait_until(lambda: context.raw.closed == closed)
    assert context.raw.connections == count, context.raw


@then("the raw server has {count:d} connections, closed by the router")
def check_raw_connections_closed(context, count):
    wait_until(lambda: context.raw.closed == count)
    assert context.raw.connections == count, context.raw


@then('the desks ran key "{key:w}" {times:d} times')
def check_desk_runs(context, key, times):
    runs = sum(desk.runs[key] for desk in context.desks.values())
    assert runs == times, runs


@then("the desks ran no call")
def check_no_desk_runs(context):
    assert not any(desk.runs.total() for desk in context.desks.values())


@then('runner "{name:w}" ran {count:d} requests')
def check_runner_requests(context, name, count):
    assert context.runners[name].counts["requests"] == count


@then('runner "{name:w}" received a cancel request')
def check_cancel_received(context, name):
    counts = context.runners[name].counts
    wait_until(lambda: counts["cancel_orders"] == 1)
    wait_until(lambda: context.runners[name].load("")["running"] == 0)


@then('runner "{name:w}" sent fewer than {count:d} tokens')
def check_tokens_sent(context, name, count):
    sent = context.runners[name].counts["tokens"]
    assert sent < count, sent


@then('counter "{name}" is {value:d}')
def check_counter(context, name, value):
    wait_until(lambda: total_count(context, name) == value)


@then("the scheduler recorded {count:d} cancelled attempt")
def check_cancelled_attempts(context, count):
    results = context.harness.routers[0].scheduler.results
    assert sum(result.cancelled for _, result in results) == count, results


@then("one time to first token was measured")
def check_first_token_time(context):
    timings = context.harness.routers[0].timings["first_token"]
    assert len(timings) == 1 and timings[0] > 0, timings


@then("the prompt tokens of {count:d} attempts were counted")
def check_prompt_tokens(context, count):
    router = context.harness.routers[0]
    results = router.scheduler.results
    prompt = sum(attempt.ticket.prompt_tokens for attempt, _ in results)
    counts = router.counts
    assert len(results) == count, results
    assert counts["tokens.cached"] + counts["tokens.computed"] == prompt


# More than a block, so that requests with it share a block.
SHARED_BYTES = 10_000


@given('{count:d} runners that crash on prompts that contain "{text}"')
def add_crashing_runners(context, count, text):
    for number in range(count):
        add_runner(context, f"crashing-{number}", crash_text=text)
    router = context.harness.routers[0]
    router.rotate = True
    router.retries_left = 0


@when('a caller asks for {count:d} streams with "{text}", {pause:f} s apart')
def ask_repeatedly(context, count, text, pause):
    router = context.harness.routers[0]
    shared = (text * SHARED_BYTES)[:SHARED_BYTES]

    async def ask():
        for number in range(count):
            messages = [{"role": "user", "content": f"{shared} {number}"}]
            answer = await context.harness.chat(messages=messages)
            context.answers.append(answer)
            await anyio.sleep(pause)
            router.guard.review(router.clock.now())

    run_async(context, ask)


@then("at most {most:d} runners have crashed")
def check_crashes(context, most):
    crashes = sum(r.counts["crashes"] for r in context.runners.values())
    assert 3 <= crashes <= most, crashes


@then('the last answer is a refusal as "{reason}" that says "{outcome}"')
def check_last_refusal(context, reason, outcome):
    answer = context.answers[-1]
    assert answer.code == 503, answer
    assert answer.error["reason"] == reason, answer
    assert answer.error["outcome"] == outcome, answer


@then("the last {count:d} streams are complete")
def check_last_streams(context, count):
    assert all(a.done for a in context.answers[-count:]), context.answers


@when("the router stops while a caller sends the body of a {kind}")
def stop_within_body(context, kind):
    path = "/v1/chat/completions"
    body = json.dumps(chat_body(tokens=3)).encode()
    if kind == "deposit":
        path, body = "/services/booking/deposits", b"{}" + b" " * 100
    url = httpx.URL(context.harness.urls[0])
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {url.host}\r\n"
        f"authorization: {AUTHORIZATION['authorization']}\r\n"
        f"idempotency-key: k1\r\ncontent-length: {len(body)}\r\n\r\n"
    ).encode()

    async def call():
        stream = await anyio.connect_tcp(url.host, url.port)
        async with stream:
            await stream.send(head + body[:2])
            await anyio.sleep(0.1)
            context.harness.routers[0].refusal = RefusalReason.STOPPING
            await stream.send(body[2:])
            return await stream.receive()

    context.raw_answer = run_async(context, call)


@then('the caller is told "{reason}" and status {status:d}')
def check_told(context, reason, status):
    data = context.raw_answer
    assert data.startswith(b"HTTP/1.1 %d" % status), data
    assert reason.encode() in data, data
