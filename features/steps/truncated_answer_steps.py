"""Steps for endpoints that answer early, in part, or with invalid statuses."""

import json

import anyio
from behave import given, then, when

from features import early_endings, request_harness
from features.early_endings import (
    PART,
    UPLOAD_BYTES,
    EarlyEndpoint,
    call,
    listen,
    proxy_head,
)
from features.proxy_harness import open_proxy
from features.raw_server import raw_endpoint
from knapweedarch.models import EndpointKind

ROUTES = ("once", "deposit", "many", "single", "stream", "resume")
UPLOAD = b"a" * UPLOAD_BYTES
SERVICE_PATHS = {
    "a service with retries": "PUT /services/booking/availability",
    "a service without retries": "POST /services/booking/availability",
    "a service at most once": "POST /services/booking/deposits",
}
CHAT_PATH = "POST /v1/chat/completions"


@given(
    "an endpoint that reads {part} an upload, answers with {framing} and {ends}"
)
def create_endpoint(context, part, framing, ends):
    context.endpoint = {"reads": part, "framing": framing, "ends": ends}


@given('an endpoint that reads {part} an upload and answers with status "{s}"')
def create_endpoint_of_status(context, part, s):
    create_endpoint_with_status(context, part, s)


@given('an endpoint that reads {part} an upload and answers with status ""')
def create_endpoint_without_status(context, part):
    create_endpoint_with_status(context, part, "")


def create_endpoint_with_status(context, part, status):
    context.endpoint = {
        "reads": part,
        "framing": "a length",
        "ends": "closes",
        "status_line": status,
        "is_whole": True,
    }


@given("it has answered another request on the same connection")
def answer_before(context):
    context.endpoint["sound_answers"] = 1


@when("callers send uploads through the proxy to routes of all kinds")
def send_to_proxy(context):
    async def send(route, version) -> early_endings.Received:
        async with open_proxy() as fixture:
            endpoint = EarlyEndpoint("early", "i-0", **context.endpoint)
            endpoint.port = await listen(fixture.group, endpoint.handle)
            fixture.runners.append(endpoint)
            fixture.attempts.set_endpoints(fixture.endpoints())
            for _ in range(endpoint.sound_answers):
                head = proxy_head("single", "1.1", 2)
                before = await call(fixture.port, head, b"{}")
                assert before.status == 200, before
            found = await call(fixture.port, proxy_head(route, version), UPLOAD)
            if endpoint.sound_answers:
                assert endpoint.connections == 1, endpoint.connections
            return found

    async def note(route, version) -> None:
        name = f"{route}, HTTP/{version}"
        context.received[name] = await send(route, version)

    async def run():
        async with anyio.create_task_group() as group:
            for route in ROUTES:
                for version in ("1.1", "1.0"):
                    group.start_soon(note, route, version)

    context.received = {}
    anyio.run(run)


def gateway_request(name: str) -> tuple[bytes, bytes]:
    """Returns the head and body of an upload to the gateway."""
    body = UPLOAD
    line = SERVICE_PATHS.get(name, CHAT_PATH)
    if name not in SERVICE_PATHS:
        messages = [{"role": "user", "content": UPLOAD.decode()}]
        chat = request_harness.chat_body(messages=messages)
        chat["stream"] = name == "a streamed chat"
        body = json.dumps(chat).encode()
    headers = {**request_harness.AUTHORIZATION, "Host": "a"}
    headers |= {"Idempotency-Key": "k1", "Content-Length": str(len(body))}
    lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
    return f"{line} HTTP/1.1\r\n{lines}\r\n".encode(), body


@when("callers send uploads through the gateway to endpoints of all kinds")
def send_to_gateway(context):
    async def send(name) -> early_endings.Received:
        async with request_harness.open_harness() as harness:
            router = await harness.add_router()
            router.max_body_bytes = 2 * UPLOAD_BYTES
            endpoint = EarlyEndpoint("early", "raw", **context.endpoint)
            port = await listen(harness.group, endpoint.handle)
            url = f"http://127.0.0.1:{port}"
            router.runners.append(raw_endpoint(url, EndpointKind.RUNNER))
            router.desks.append(raw_endpoint(url, EndpointKind.SERVICE))
            gateway = int(harness.urls[0].rpartition(":")[2])
            return await call(gateway, *gateway_request(name))

    async def note(name) -> None:
        context.received[name] = await send(name)

    async def run():
        async with anyio.create_task_group() as group:
            for name in (*SERVICE_PATHS, "a streamed chat", "a whole chat"):
                group.start_soon(note, name)

    context.received = {}
    anyio.run(run)


@then("no caller takes what it got for a whole answer")
def check_not_whole(context):
    # A streamed chat ends with an error event, which tells its caller.
    whole = {
        name: (found.status, found.body[:80])
        for name, found in context.received.items()
        if found.is_success and b'"error"' not in found.body
    }
    assert not whole, whole


@then("no caller gets an invalid status")
def check_statuses(context):
    statuses = {name: r.status for name, r in context.received.items()}
    invalid = {n: s for n, s in statuses.items() if s and not 200 <= s < 600}
    assert not invalid, invalid


@then("each caller got the whole answer")
def check_whole(context):
    odd = {
        name: found
        for name, found in context.received.items()
        if not (found.is_success and found.body == PART)
    }
    assert not odd, odd
