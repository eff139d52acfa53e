"""Gateway with a fake router, and endpoints, on loopback in one event loop."""

import contextlib
import hashlib
import itertools
import json
import socket
from collections import Counter
from collections.abc import AsyncIterator

import anyio
import attrs
import httpx

from knapweedarch.adapters import create_adapter
from knapweedarch.exceptions import ControlError
from knapweedarch.gateway import create_app, tune_listener
from knapweedarch.models import (
    Attempt,
    AttemptResult,
    CustomerRule,
    Dispatch,
    Endpoint,
    EndpointKind,
    ModelRule,
    RefusalReason,
    Refuse,
    Rules,
    ServiceRule,
    Ticket,
)
from knapweedarch.state import COMMANDS, RESULTS, ControlState
from knapweedarch.timers import Clock
from standins import serving

CREDENTIAL = "endpoint-credential"
API_KEY = "counter-key"
SERVICE_TIMEOUT_S = 1.0
# Longest time of one scenario; a hang then fails instead of blocking the run.
SCENARIO_S = 20.0
GRACEFUL_S = 0.2
STOP_S = 2.0


class FakeScheduler:
    """Records what the gateway reports."""

    def __init__(self):
        self.results: list[tuple[Attempt, AttemptResult]] = []
        self.first_tokens: list[Attempt] = []
        self.loads: list[object] = []

    def version_for(self, model: str) -> str:
        """Returns the only version."""
        return "w1"

    def report_load(self, report, now: float) -> None:
        """Keeps the report."""
        self.loads.append(report)

    def first_token(self, attempt: Attempt, now: float) -> None:
        """Keeps the attempt."""
        self.first_tokens.append(attempt)

    def finished(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> None:
        """Keeps the result."""
        self.results.append((attempt, result))


class FakeRouter:
    """Implements `gateway.RouterPort` over the real state machine."""

    def __init__(self, incarnation: str, state: ControlState):
        self.clock = Clock()
        self.incarnation = incarnation
        self.scheduler = FakeScheduler()
        self.adapter = create_adapter(CREDENTIAL, self.clock, incarnation)
        self.max_body_bytes = 256 * 1024
        self.endpoint_credential = CREDENTIAL
        self.rules = Rules(
            (),
            (ModelRule("guide", "w1", first_token_s=5.0),),
            (ServiceRule("booking", ("/deposits",), SERVICE_TIMEOUT_S),),
        )
        self.customer = CustomerRule("counter", digest(API_KEY))
        self.runners: list[Endpoint] = []
        self.desks: list[Endpoint] = []
        self.announced: list[Endpoint] = []
        self.counts: Counter[str] = Counter()
        self.refusal: RefusalReason | None = None
        self.refuse_after_checks = -1
        self.retries_left = 3
        self.fail_submits = 0
        self.state = state
        self._numbers = itertools.count(1)

    def customer_for(self, api_key: str) -> CustomerRule | None:
        """Knows one customer."""
        same = digest(api_key) == self.customer.key_digest
        return self.customer if same else None

    def may_start(self) -> RefusalReason | None:
        """Refuses as told, at once or after some checks."""
        if self.refuse_after_checks == 0:
            return RefusalReason.LEASE_EXPIRED
        self.refuse_after_checks -= 1
        return self.refusal

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Chooses the first runner that fits."""
        return self._choose(ticket, self.runners)

    async def place_again(
        self, ticket: Ticket, failed: Attempt
    ) -> Dispatch | Refuse:
        """Chooses another runner while retries are left."""
        if self.retries_left == 0:
            return Refuse(RefusalReason.RETRIES_EXHAUSTED)
        self.retries_left -= 1
        others = [r for r in self.runners if r != failed.endpoint]
        return self._choose(ticket, others)

    def _choose(self, ticket: Ticket, runners) -> Dispatch | Refuse:
        for runner in runners:
            if ticket.weights_version in ("", runner.weights_version):
                return Dispatch(Attempt(next(self._numbers), ticket, runner))
        return Refuse(RefusalReason.NO_CAPACITY)

    def service_endpoints(self, name: str) -> list[Endpoint]:
        """Returns all desks in their order."""
        return self.desks

    async def submit(self, command: object, timeout_s: float) -> object:
        """Applies the command to the state that all routers share."""
        if self.fail_submits:
            self.fail_submits -= 1
            raise ControlError("no_leader")
        return RESULTS.decode(self.state.apply(COMMANDS.encode(command)))

    async def announce(self, endpoint: Endpoint) -> None:
        """Keeps the announcement."""
        self.announced.append(endpoint)

    def ready(self) -> bool:
        """Ready unless it refuses."""
        return self.refusal is None

    def count(self, name: str) -> None:
        """Counts."""
        self.counts[name] += 1

    def log(self, event: str, **fields: object) -> None:
        """Drops the event."""


@attrs.define
class Answer:
    """What a caller got.

    Attributes:
        code: HTTP status.
        text: Body, or the text of a stream.
        done: Whether a stream had its end mark.
        error: The error object, of a body or of an event.
        body: Raw body.
    """

    code: int
    text: str = ""
    done: bool = False
    error: dict | None = None
    body: bytes = b""


class Site:
    """Servers on loopback and a client; create it with `open_site`."""

    def __init__(self, group, client: httpx.AsyncClient):
        self.group = group
        self.client = client
        self.state = ControlState()
        self.routers: list[FakeRouter] = []
        self.urls: list[str] = []
        self._runners: list = []
        self._stops: list[anyio.Event] = []

    async def serve(self, app: object) -> str:
        """Serves an ASGI application; returns its base URL."""
        listener = serving.open_listener("127.0.0.1", 0)
        tune_listener(listener)
        listener.listen(128)
        stop = anyio.Event()
        self._stops.append(stop)
        url = serving.base_url(listener)
        self.group.start_soon(
            serving.serve_app, app, listener, stop, GRACEFUL_S
        )
        return url

    async def add_router(self, name: str = "router-1") -> FakeRouter:
        """Starts a gateway."""
        router = FakeRouter(name, self.state)
        self.routers.append(router)
        self.urls.append(await self.serve(create_app(router)))
        return router

    async def add_runner(self, runner) -> Endpoint:
        """Starts a stand-in runner and tells every router of it."""
        runner.url = await self.serve(runner)
        self._runners.append(runner)
        endpoint = endpoint_of(runner)
        for router in self.routers:
            router.runners.append(endpoint)
        return endpoint

    async def add_desk(self, desk) -> Endpoint:
        """Starts a stand-in service and tells every router of it."""
        desk.url = await self.serve(desk)
        endpoint = endpoint_of(desk)
        for router in self.routers:
            router.desks.append(endpoint)
        return endpoint

    async def add_raw_server(self, handler) -> str:
        """Serves bare TCP connections; returns a base URL."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.group.start_soon(listener.serve, handler)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        return f"http://127.0.0.1:{port}"

    async def chat(self, router: int = 0, **fields) -> Answer:
        """Sends a chat request and reads all of its answer."""
        body = chat_body(**fields)
        reply = await self.client.post(
            f"{self.urls[router]}/v1/chat/completions",
            json=body,
            headers=AUTHORIZATION,
        )
        if "event-stream" in reply.headers.get("content-type", ""):
            return read_events(reply.content)
        return read_whole(reply)

    async def call(
        self,
        path: str,
        key: str = "",
        body: bytes = b"{}",
        router: int = 0,
        method: str = "POST",
    ) -> Answer:
        """Calls a plain service through a router."""
        headers = dict(AUTHORIZATION)
        if key:
            headers["idempotency-key"] = key
        reply = await self.client.request(
            method,
            f"{self.urls[router]}/services/{path}",
            content=body,
            headers=headers,
        )
        return read_whole(reply)

    async def close(self) -> None:
        """Closes the connections and stops every server."""
        await self.client.aclose()
        for router in self.routers:
            await router.adapter.close()
        for runner in self._runners:
            runner.stop()
        for stop in self._stops:
            stop.set()


@contextlib.asynccontextmanager
async def open_site() -> AsyncIterator[Site]:
    """Opens a site and closes it with all of its connections."""
    with anyio.fail_after(SCENARIO_S):
        async with anyio.create_task_group() as group:
            client = httpx.AsyncClient(trust_env=False, timeout=15)
            site = Site(group, client)
            try:
                yield site
            finally:
                with anyio.CancelScope(shield=True):
                    await site.close()
                group.cancel_scope.deadline = anyio.current_time() + STOP_S


def run(scenario) -> object:
    """Runs an async function in a new event loop."""
    return anyio.run(scenario)


AUTHORIZATION = {"authorization": f"Bearer {API_KEY}"}


def digest(api_key: str) -> str:
    return hashlib.sha256(api_key.encode()).hexdigest()


def endpoint_of(standin) -> Endpoint:
    """Builds the endpoint that a stand-in announces."""
    fields = dict(standin.describe())
    fields |= {
        "kind": EndpointKind(fields["kind"]),
        "serves": tuple(fields["serves"]),
    }
    del fields["status"]
    return Endpoint(**fields)


MESSAGES = [{"role": "user", "content": "Which way to the plateau?"}]


def chat_body(**fields) -> dict:
    """Builds the body of a chat request."""
    body = {"model": "guide", "messages": MESSAGES, "max_tokens": 20}
    return {**body, "stream": True, **fields}


def read_events(content: bytes) -> Answer:
    """Reads a whole stream as a caller does."""
    answer = Answer(200, body=content)
    for line in content.decode().splitlines():
        if line == "data: [DONE]":
            answer.done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                answer.error = event["error"]
            for choice in event.get("choices", []):
                answer.text += choice["delta"].get("content") or ""
    return answer


def read_whole(reply: httpx.Response) -> Answer:
    """Reads an answer that is no stream."""
    answer = Answer(reply.status_code, reply.text, body=reply.content)
    with contextlib.suppress(ValueError):
        body = reply.json()
        answer.error = body.get("error")
        if "choices" in body:
            answer.text = body["choices"][0]["message"]["content"]
            answer.done = True
    return answer


def refused_port() -> str:
    """Returns a base URL on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return serving.base_url(probe)
