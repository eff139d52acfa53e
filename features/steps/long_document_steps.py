"""Steps for long documents of other writers."""

import collections
import itertools
import json
import pathlib
import random
import time

import anyio
from behave import then, when
from steps.platform_site_steps import proxy_for_request

from adapter.configuration import read_in_steps
from adapter.documents import (
    read_cache_changes,
    read_heartbeat_in_steps,
    read_incarnation,
    read_runner_state,
    read_weights,
)
from knapweedarch import json_documents
from knapweedarch.exceptions import DocumentError
from knapweedarch.json_documents import split_array
from knapweedarch.process import freeze_start_objects
from knapweedarch.replica_leadership import LEADER_LEASE_S
from knapweedarch.steps import finish
from standins.platform_site import configuration

HEARTBEAT_PATH = "/api/instances/i-writer"
MAX_STEP_S = LEADER_LEASE_S / 10
MAX_FAULT_CHARS = 1_024
REQUEST_INTERVAL_S = 0.1
# Time before a document is sent, and after it is confirmed.
SETTLE_S = 2.0
ROUTE = {
    "name": "r",
    "host": "shop.example",
    "routeType": "idempotent",
    "timeoutMs": 1000,
}


def heartbeat(models: str, more: str = "") -> str:
    return (
        '{"service": "desk", "address": "127.0.0.1:8080", "zone": "dinsho",'
        ' "version": "v1", "concurrency": 4, "state": "ready",'
        f' "coldLeftMs": 0, "born": 1, "callSeq": 1{more},'
        f' "models": [{models}]}}'
    )


def model(number: int, adapters: str = "") -> str:
    return f'{{"name": "m{number}", "version": 1, "adapters": [{adapters}]}}'


def heartbeat_of(count: int, entries: str) -> str:
    match entries:
        case "models without fields":
            return heartbeat(",".join(["{}"] * count))
        case "models":
            return heartbeat(",".join(map(model, range(count))))
        case "entries in a field unknown":
            return heartbeat(model(1), f', "x": [{",".join(["{}"] * count)}]')
        case "adapters of its model":
            return heartbeat(model(1, ",".join(["{}"] * count)))
    raise AssertionError(entries)


def route(number: int, **fields: object) -> str:
    path = f"/{number}/"
    return json.dumps({**ROUTE, "pathPrefix": path, "service": "s", **fields})


def document(routes: str, customers: str = "") -> str:
    return (
        f'{{"version": 2, "services": [{{"name": "s"}}], "tenants":'
        f' [{customers}], "routes": [{routes}]}}'
    )


def configuration_of(count: int, entries: str) -> str:
    routes = (route(number) for number in range(count))
    match entries:
        case "routes without fields":
            return document(",".join(["{}"] * count))
        case "routes without a service":
            one = json.dumps({**ROUTE, "pathPrefix": "/x/"})
            return document(",".join([one] * count))
        case "shares of unknown services":
            shares = [{"service": "t", "weight": 1}] * count
            return document(route(1, trafficSplit=shares))
        case "nested lists":
            return document("[" * count + "]" * count)
        case "routes":
            return document(",".join(routes))
        case "routes and a last one without fields":
            return document(",".join((*routes, "{}")))
        case "customers":
            customers = (
                json.dumps(
                    {"name": f"c{i}", "apiKeys": [f"key-{i}-{'a' * 30}"]}
                )
                for i in range(count)
            )
            return document(route(1), ",".join(customers))
        case "shares in one route":
            shares = [{"service": "s", "weight": 1}] * count
            return document(route(1, trafficSplit=shares))
    raise AssertionError(entries)


def build(text: str) -> bytes:
    """Builds a document from its description in a scenario."""
    _, kind, _, count, *entries = text.split()
    builder = {"heartbeat": heartbeat_of, "configuration": configuration_of}
    return builder[kind](int(count), " ".join(entries)).encode()


def read_steps(body: bytes):
    if b'"routes"' in body:
        return read_in_steps(body)
    return read_heartbeat_in_steps("i-writer", body)


def memory_bytes(process, field: str) -> int:
    """Returns `VmRSS` or the highest value of it so far, `VmHWM`."""
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(s for s in status.splitlines() if s.startswith(field))
    return int(line.split()[1]) * 1024


def forget_peak(process) -> None:
    """Sets `VmHWM` to the memory used now."""
    pathlib.Path(f"/proc/{process.popen.pid}/clear_refs").write_text("5")


@when("member {number:d} gets {count:d} copies of {text}")
def send_copies(context, number, count, text):
    plan = context.plan
    body = build(text)
    plan.sent_bytes = count * len(body)
    path = "/api/config" if "configuration" in text else HEARTBEAT_PATH

    async def send(site, address):
        url = f"http://{address}{path}"
        plan.answers.append(await site.client.put(url, content=body))

    async def action(site):
        plan.answers = []
        process = site.processes[f"member-{number}"]
        address = site.control_addresses()[number - 1]
        forget_peak(process)
        plan.resting_bytes = memory_bytes(process, "VmRSS")
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(send, site, address)
        plan.peak_bytes = memory_bytes(process, "VmHWM")
        started_at = time.monotonic()
        url = f"http://{address}{HEARTBEAT_PATH}"
        sound = heartbeat(model(1))
        plan.followed = await site.client.put(url, content=sound)
        plan.followed_s = time.monotonic() - started_at

    plan.actions.append(action)


@then("each is refused with a fault of {field} in at most {size:d} bytes")
def expect_short_fault(context, field, size):
    plan = context.plan

    async def action(site):
        for answer in plan.answers:
            assert answer.status_code == 400, answer
            assert len(answer.content) <= size, len(answer.content)
            assert field in answer.json()["error"], answer.text

    plan.actions.append(action)


@then(
    "member {number:d} has used at most {factor:f} times their bytes for them"
)
def expect_memory(context, number, factor):
    plan = context.plan

    async def action(site):
        grown = plan.peak_bytes - plan.resting_bytes
        assert grown <= factor * plan.sent_bytes, (grown, plan.sent_bytes)

    plan.actions.append(action)


@then("a heartbeat that follows is confirmed within {limit:f} s")
def check_follower(context, limit):
    plan = context.plan

    async def check(site):
        assert plan.followed.status_code == 200, plan.followed
        assert plan.followed_s <= limit, plan.followed_s

    plan.run(check)


@when("{text} is read in steps")
def read_long_document(context, text):
    steps = read_steps(build(text))
    # As a process does once it has started.
    freeze_start_objects()
    context.step_times_s = []
    context.result = "refused"
    while True:
        # Other processes of the machine do not count.
        started_at = time.thread_time()
        try:
            next(steps)
        except StopIteration as exc:
            kind = type(exc.value).__name__
            context.result = "a heartbeat" if kind == "Heartbeat" else kind
            break
        except DocumentError as exc:
            assert len(str(exc)) <= MAX_FAULT_CHARS, len(str(exc))
            break
        finally:
            context.step_times_s.append(time.thread_time() - started_at)


@then("the long document is {result}")
def check_result(context, result):
    expected = "Deployment" if result == "a configuration" else result
    assert context.result == expected, context.result


@then("no step takes more than a tenth of a leader's lease")
def check_steps(context):
    longest_s = max(context.step_times_s)
    assert longest_s <= MAX_STEP_S, longest_s


def random_value(rng, depth: int = 0):
    """Returns a JSON value, mostly of few parts and with odd texts."""
    kind = rng.randrange(8 if depth < 4 else 5)
    match kind:
        case 0:
            return rng.choice((None, True, False))
        case 1:
            return rng.choice((0, 1, -1, 2**70, 1.5, 1e300))
        case 2 | 3:
            return rng.choice(("", "a", '"[', "\\", "}{", "é\u2028", "\ud83d"))
        case 4:
            return rng.choice(("ready", "streaming", "127.0.0.1:1", "/a/"))
        case 5:
            return {
                rng.choice(("name", "x]", "\\")): random_value(rng, depth + 1)
                for _ in range(rng.randrange(4))
            }
    return [random_value(rng, depth + 1) for _ in range(rng.randrange(6))]


@then(
    "{count:d} generated lists are the same when they are split, seed {seed:d}"
)
def check_split(context, count, seed):
    rng = random.Random(seed)
    limits = (json_documents.CHUNK_BYTES, json_documents.CHUNK_BRACKETS)
    json_documents.CHUNK_BYTES = json_documents.CHUNK_BRACKETS = 10
    try:
        for _ in range(count):
            whole = [random_value(rng) for _ in range(rng.randrange(40))]
            indent = rng.choice((None, 1))
            chunks = split_array(json.dumps(whole, indent=indent).encode())
            parts = [json.loads(chunk) for chunk in chunks if chunk]
            assert list(itertools.chain(*parts)) == whole, whole
    finally:
        json_documents.CHUNK_BYTES, json_documents.CHUNK_BRACKETS = limits


READERS = {
    "heartbeat": lambda body: finish(read_heartbeat_in_steps("i-1", body)),
    "configuration": lambda body: finish(read_in_steps(body)),
    "weights": read_weights,
    "report": read_runner_state,
    "incarnation": read_incarnation,
    "cache events": read_cache_changes,
}
SOUND = {
    "heartbeat": heartbeat_of(2, "models"),
    "configuration": configuration_of(2, "customers"),
    "weights": '{"model": "m", "version": 2}',
    "report": '{"models": [], "busy": false, "queued": 1, "callSeq": 2}',
    "incarnation": '{"born": 3}',
    "cache events": '{"bootEpoch": 1, "nextToken": 2, "changes": [[1, "+"]]}',
}


def spoil(rng, sound: str) -> bytes:
    """Replaces some values of a document, or cuts its bytes."""
    fields = json.loads(sound)
    for _ in range(rng.randrange(3)):
        place = fields
        key = rng.choice(list(place))
        while isinstance(place[key], list | dict) and place[key]:
            place = place[key]
            keys = place if isinstance(place, dict) else range(len(place))
            key = rng.choice(list(keys))
        place[key] = random_value(rng)
    body = json.dumps(fields).encode()
    if rng.random() < 0.2:
        cut = rng.randrange(len(body))
        body = body[:cut] + rng.choice((b"", b"\xff", b"NaN", b"\x00"))
    return body


@then(
    "{count:d} generated documents of each kind are read or refused,"
    " seed {seed:d}"
)
def check_decoders(context, count, seed):
    rng = random.Random(seed)
    for kind, read in READERS.items():
        refused = 0
        for _ in range(count):
            body = spoil(rng, SOUND[kind])
            try:
                read(body)
            except DocumentError as exc:
                refused += 1
                assert str(exc) and len(str(exc)) <= MAX_FAULT_CHARS, exc
        assert 0 < refused < count, (kind, refused)


def long_configuration(size: int, entries: str) -> bytes:
    """Returns the configuration of the site with entries up to `size` bytes."""
    document = configuration(2)
    key, create = {
        "customers": ("tenants", extra_customer),
        "routes": ("routes", extra_route),
    }[entries]
    left = size - len(json.dumps(document))
    for number in itertools.count():
        entry = create(number)
        left -= len(json.dumps(entry)) + len(", ")
        if left < 0:
            return json.dumps(document).encode()
        document[key].append(entry)
    raise AssertionError


def extra_customer(number: int) -> dict:
    key = f"key-{number}-{'a' * 16}"
    return {"name": f"c{number}", "apiKeys": [key], "priority": 1}


def extra_route(number: int) -> dict:
    return {
        **configuration(2)["routes"][1],
        "name": f"r-{number}",
        "host": f"h{number}.example",
    }


@when(
    "a configuration of {size:d} bytes with {entries} is sent during requests"
)
def send_long_configuration(context, size, entries):
    plan = context.plan
    body = long_configuration(size, entries)
    plan.statuses = collections.Counter()

    async def send_request(site, proxy):
        answer = await site.send_request(proxy, "/booking/x")
        plan.statuses[answer.status_code] += 1

    async def send_requests(site):
        async with anyio.create_task_group() as group:
            for number in itertools.count():
                proxy = proxy_for_request(number)
                group.start_soon(send_request, site, proxy)
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def action(site):
        address = site.control_addresses()[0]
        url = f"http://{address}/api/config"
        plan.logged_bytes = log_sizes(site)
        # A first request can be refused until endpoints are known.
        for number in range(2):
            await site.wait(lambda number=number: is_served(site, number))
        async with anyio.create_task_group() as group:
            group.start_soon(send_requests, site)
            await anyio.sleep(SETTLE_S)
            started_at = time.monotonic()
            plan.answer = await site.client.put(url, content=body)
            plan.taken_s = time.monotonic() - started_at
            await anyio.sleep(SETTLE_S)
            group.cancel_scope.cancel()
        plan.read_back = (await site.client.get(url)).content == body

    plan.actions.append(action)


async def is_served(site, number):
    answer = await site.send_request(proxy_for_request(number), "/booking/x")
    return answer.status_code == 200


def member_logs(site):
    return site.folder.glob("member-*.log")


def log_sizes(site):
    return {path: path.stat().st_size for path in member_logs(site)}


@then("it is confirmed within {limit:f} s and read back as it was sent")
def expect_confirmation(context, limit):
    plan = context.plan

    async def action(site):
        assert plan.answer.status_code == 200, plan.answer.text
        assert plan.taken_s <= limit, plan.taken_s
        assert plan.read_back

    plan.actions.append(action)


@then("no leader has been lost and every request has got 200")
def check_leader(context):
    plan = context.plan

    async def check(site):
        for path, size in plan.logged_bytes.items():
            lost = "leader_stopped" in path.read_text()[size:]
            assert not lost, path.name
        assert set(plan.statuses) == {200}, plan.statuses

    plan.run(check)
