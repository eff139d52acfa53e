"""Gateways with fake routers, and endpoints, on loopback in one event loop."""

import contextlib
import json
import socket
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs
import httpx

from knapweedarch.gateway import Gateway, configure_listener, create_app
from knapweedarch.models import Endpoint
from knapweedarch.state import ControlState
from standins import serving
from standins.fake_router import AUTHORIZATION, FakeRouter, endpoint_of

# Time limit of one scenario; a hang fails it instead of blocking the run.
SCENARIO_TIMEOUT_S = 20.0
# Time that running requests get to finish when a server stops.
GRACEFUL_TIMEOUT_S = 0.2
# Time limit for stopping all servers at the end of a scenario.
STOP_TIMEOUT_S = 2.0


@attrs.define
class Answer:
    """Response that a caller received.

    Attributes:
        code: HTTP status.
        text: Body, or the generated text of a chat response.
        done: Whether a chat response is complete; for a stream, whether the
            `[DONE]` marker arrived.
        error: Error object of the body or of an event.
        body: Raw body.
    """

    code: int
    text: str = ""
    done: bool = False
    error: dict | None = None
    body: bytes = attrs.field(default=b"", repr=False)


class GatewayHarness:
    """Servers on loopback and a client; create it with `open_harness`."""

    def __init__(self, group, client: httpx.AsyncClient):
        self.group = group
        self.client = client
        self.state = ControlState()
        self.routers: list[FakeRouter] = []
        self.gateways: list[Gateway] = []
        self.urls: list[str] = []
        self._runners: list = []
        self._stops: list[anyio.Event] = []

    async def serve(self, app: object) -> str:
        """Serves an ASGI application; returns its base URL."""
        listener = serving.open_listener("127.0.0.1", 0)
        configure_listener(listener)
        listener.listen(128)
        stop = anyio.Event()
        self._stops.append(stop)
        url = serving.base_url(listener)
        self.group.start_soon(
            serving.serve_app, app, listener, stop, GRACEFUL_TIMEOUT_S
        )
        return url

    async def add_router(self, name: str = "router-1") -> FakeRouter:
        """Starts a gateway with a fake router."""
        router = FakeRouter(name, self.state)
        self.routers.append(router)
        self.gateways.append(create_app(router))
        self.urls.append(await self.serve(self.gateways[-1]))
        return router

    async def add_runner(self, runner) -> Endpoint:
        """Starts a stand-in runner and adds it to every router."""
        runner.url = await self.serve(runner)
        self._runners.append(runner)
        endpoint = endpoint_of(runner)
        for router in self.routers:
            router.runners.append(endpoint)
        return endpoint

    async def add_desk(self, desk) -> Endpoint:
        """Starts a stand-in service and adds it to every router."""
        desk.url = await self.serve(desk)
        endpoint = endpoint_of(desk)
        for router in self.routers:
            router.desks.append(endpoint)
        return endpoint

    async def add_raw_server(self, handler) -> str:
        """Serves plain TCP connections; returns a base URL."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.group.start_soon(listener.serve, handler)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        return f"http://127.0.0.1:{port}"

    async def chat(self, router: int = 0, **fields) -> Answer:
        """Sends a chat request and reads the complete response."""
        body = chat_body(**fields)
        reply = await self.client.post(
            f"{self.urls[router]}/v1/chat/completions",
            json=body,
            headers=AUTHORIZATION,
        )
        if "event-stream" in reply.headers.get("content-type", ""):
            return parse_event_stream(reply.content)
        return parse_response(reply)

    async def call_service(
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
        return parse_response(reply)

    async def stop_router(self, number: int) -> None:
        """Stops a router's server.

        Running requests get `GRACEFUL_TIMEOUT_S` to finish.
        """
        self._stops[number].set()

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
async def open_harness() -> AsyncIterator[GatewayHarness]:
    """Opens a harness; closes its connections and servers on exit."""
    error = None
    with anyio.fail_after(SCENARIO_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            client = httpx.AsyncClient(trust_env=False, timeout=15)
            harness = GatewayHarness(group, client)
            try:
                yield harness
            except Exception as exc:
                # Raised below. Raised here it would cancel the servers, and
                # hypercorn would then hide it behind an error of its own.
                error = exc
            finally:
                with anyio.CancelScope(shield=True):
                    await harness.close()
                group.cancel_scope.deadline = (
                    anyio.current_time() + STOP_TIMEOUT_S
                )
    if error is not None:
        raise error


def run(scenario) -> object:
    """Runs an async function in a new event loop."""
    return anyio.run(scenario)


MESSAGES = [{"role": "user", "content": "Which way to the plateau?"}]


def chat_body(**fields) -> dict:
    """Builds the body of a chat request."""
    body = {"model": "guide", "messages": MESSAGES, "max_tokens": 20}
    return {**body, "stream": True, **fields}


def parse_event_stream(content: bytes) -> Answer:
    """Parses a complete event stream as a caller does."""
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


def parse_response(reply: httpx.Response) -> Answer:
    """Parses a response that is not an event stream."""
    answer = Answer(reply.status_code, reply.text, body=reply.content)
    with contextlib.suppress(ValueError):
        body = reply.json()
        answer.error = body.get("error")
        if "choices" in body:
            answer.text = body["choices"][0]["message"]["content"]
            answer.done = True
    return answer


def refusing_url() -> str:
    """Returns a base URL whose port refuses connections."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return serving.base_url(probe)
