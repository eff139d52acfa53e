"""Minimal runner of the users' platform, for tests without its test bench.

Runs a limited number of requests at once, caches prompt parts, publishes cache
events, loads weights on order and sends heartbeats. Plain services are runners
without a model.
"""

import collections
import contextlib
import itertools
import json
import random
import time
from collections.abc import Callable

import anyio
import attrs
import httpx

from knapweedarch.http_inbound import InboundServer, Responder
from knapweedarch.http_messages import Answer, Request
from knapweedarch.timers import Clock

HEARTBEAT_INTERVAL_S = 0.3
LOAD_DURATION_S = 0.3
EVENT_INTERVAL_S = 0.02
SERVICE_DURATION_S = 0.02
PROMPT_TOKENS_PER_S = 100_000.0
HEADER_PREFIX = "X-Knapweedarch-"
# Time from a crash until the runner serves again, under another id.
RESTART_S = 0.5
JSON_TYPE = (b"content-type", b"application/json")


@attrs.define
class Run:
    """A request that the runner started.

    Attributes:
        request_id: Id of the request.
        customer: Name of the customer.
        weights: Version of the weights at the start.
        computed_tokens: Number of prompt tokens that were not cached.
        parts: Ids of the parts of its prompt.
        body: Its body.
        started_at: When it started, in seconds on the event loop's clock.
        software: Version of the runner's software.
        done: Whether the complete response was sent.
    """

    request_id: str
    customer: str
    weights: int
    computed_tokens: int
    parts: tuple[str, ...] = ()
    body: bytes = b""
    started_at: float = attrs.field(factory=anyio.current_time)
    software: str = ""
    done: bool = False


@attrs.define(kw_only=True, eq=False, slots=False)
class PlatformRunner:
    """One runner or plain service.

    Attributes:
        id: Instance id.
        host: IP address that it listens on.
        zone: Its data centre.
        service: Service that it belongs to.
        model: Model that it serves; empty for a plain service.
        control_addresses: Returns the addresses to send heartbeats to.
        concurrency: Largest number of requests that run at once.
        weights: Version of its weights.
        software: Version of its software.
        port: Port that it listens on, once it is started.
        runs: Started requests, in order.
        leaving: Whether its heartbeats report that it is draining.
        leave_confirmed: Set once a member has confirmed such a heartbeat.
        order_count: Number of accepted orders.
        crash_part: Part of a prompt on which the runner crashes as it begins
            to write an answer; empty for none.
        crash_body: Body of a request on which it crashes before it answers;
            empty for none.
        crashed_at: Times of its crashes, in seconds on the event loop's clock.
    """

    id: str
    host: str
    zone: str
    service: str
    model: str = ""
    control_addresses: Callable[[], list[str]]
    concurrency: int = 4
    weights: int = 1
    software: str = "v1"
    port: int = 0
    runs: list[Run] = attrs.field(factory=list)
    leaving: bool = False
    leave_confirmed: anyio.Event = attrs.field(factory=anyio.Event)
    order_count: int = 0
    crash_part: str = ""
    crash_body: bytes = b""
    crashed_at: list[float] = attrs.field(factory=list)
    _loading: bool = False
    _born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    _heartbeats: int = 0
    _cached_parts: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _events: list[list] = attrs.field(factory=list)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serves requests and sends heartbeats until cancelled."""
        async with httpx.AsyncClient(timeout=1.0) as self._client:
            await self._run_incarnation(task_status)
            for number in itertools.count(2):
                await anyio.sleep(RESTART_S)
                self._start_over(number)
                await self._run_incarnation(anyio.TASK_STATUS_IGNORED)

    async def _run_incarnation(self, task_status) -> None:
        """Runs until the runner crashes."""
        self._limiter = anyio.CapacityLimiter(self.concurrency)
        server = InboundServer(self._handle, Clock())
        async with anyio.create_task_group() as group:
            self._group = group
            self.port = await group.start(server.serve, self.host, 0)
            task_status.started()
            while True:
                await self.send_heartbeat()
                await anyio.sleep(HEARTBEAT_INTERVAL_S)

    def _start_over(self, number: int) -> None:
        """Takes another id and forgets everything that was cached."""
        self.id = f"{self.id.partition('.')[0]}.{number}"
        self._born = int(time.time() * 1000)
        self._heartbeats = 0
        self._cached_parts.clear()
        self._events.clear()

    async def send_heartbeat(self) -> None:
        """Sends its state to the control addresses until one confirms it."""
        self._heartbeats += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.software,
            "concurrency": self.concurrency,
            "state": "draining" if self.leaving else "ready",
            "coldLeftMs": 0,
            "born": self._born,
            "callSeq": self._heartbeats,
        }
        if self.model:
            body["models"] = self._models()
        control_addresses = self.control_addresses()
        random.shuffle(control_addresses)
        for address in control_addresses:
            url = f"http://{address}/api/instances/{self.id}"
            with contextlib.suppress(httpx.HTTPError):
                answer = await self._client.put(url, json=body)
                if answer.status_code == 200:
                    if self.leaving:
                        self.leave_confirmed.set()
                    return

    def _models(self) -> list[dict]:
        model = {"name": self.model, "version": self.weights, "adapters": []}
        return [model] if self.model else []

    async def _handle(self, req: Request, responder: Responder) -> None:
        match req.method, req.path:
            case b"GET", "/api/report":
                await responder.send(_json(self._report()))
            case b"POST", "/api/order":
                await responder.send(self._order(json.loads(req.body)))
            case b"GET", "/api/kv-events":
                await responder.send(await self._get_events(req))
            case _:
                await self._serve(req, responder)

    def _report(self) -> dict:
        return {
            "stage": "unified",
            "born": self._born,
            "models": self._models(),
            "busy": self._loading,
            "callSeq": self.order_count,
            "queued": self._limiter.statistics().tasks_waiting,
            "running": self._limiter.borrowed_tokens,
        }

    def _order(self, order: dict) -> Answer:
        if (
            self._loading
            or order.get("expect", self.order_count) != self.order_count
        ):
            return Answer(status=409)
        if order["version"] <= self.weights:
            return Answer(status=200)
        self.order_count += 1
        self._loading = True
        self._group.start_soon(self._load, order["version"])
        return Answer(status=202)

    async def _load(self, version: int) -> None:
        await anyio.sleep(LOAD_DURATION_S)
        for salt, part in list(self._cached_parts):
            self._record_change("-", salt, part)
        self.weights, self._loading = version, False
        await self.send_heartbeat()

    async def _get_events(self, req: Request) -> Answer:
        since = int(req.query.partition("=")[2] or 0)
        wait_s = int(_header(req, "Wait-Ms", "0")) / 1000
        with anyio.move_on_after(wait_s):
            while len(self._events) <= since:
                await self._changed.wait()
        return _json(
            {
                "bootEpoch": self._born,
                "nextToken": len(self._events),
                "lost": False,
                "changes": self._events[since:],
            }
        )

    def _record_change(
        self, sign: str, salt: str, part: str, tokens: int = 0
    ) -> None:
        if sign == "+":
            self._cached_parts[salt, part] = tokens
        else:
            del self._cached_parts[salt, part]
        number = len(self._events) + 1
        self._events.append([number, sign, salt, part, tokens, self.model])
        self._changed.set()
        self._changed = anyio.Event()

    async def _serve(self, req: Request, responder: Responder) -> None:
        request_id = _header(req, HEADER_PREFIX + "Request-Id")
        if _header(req, HEADER_PREFIX + "Expect-Instance", self.id) != self.id:
            served_by = (f"{HEADER_PREFIX}Served-By".encode(), self.id.encode())
            await responder.send(Answer(status=421, headers=(served_by,)))
            return
        wanted = _header(
            req, HEADER_PREFIX + "Expect-Version", str(self.weights)
        )
        if self.model and int(wanted) != self.weights:
            await responder.send(Answer(status=421))
            return
        if self._loading:
            not_run = (f"{HEADER_PREFIX}Not-Executed".encode(), b"1")
            await responder.send(Answer(status=503, headers=(not_run,)))
            return
        async with self._limiter:
            await self._work(req, request_id, responder)

    async def _work(
        self, req: Request, request_id: str, responder: Responder
    ) -> None:
        run = Run(
            *(request_id, _header(req, HEADER_PREFIX + "Tenant"), self.weights),
            computed_tokens=self._cache_prompt(req),
            parts=_part_ids(req),
            body=req.body,
            software=self.software,
        )
        self.runs.append(run)
        headers = (
            (f"{HEADER_PREFIX}Request-Id".encode(), request_id.encode()),
            (
                f"{HEADER_PREFIX}Response-Stamp".encode(),
                f"s-{request_id}".encode(),
            ),
        )
        if not self.model:
            await anyio.sleep(SERVICE_DURATION_S)
            if self.crash_body and req.body == self.crash_body:
                await self._crash()
            body = json.dumps({"request": request_id}).encode()
            await responder.send(Answer(status=200, headers=headers, body=body))
        else:
            await anyio.sleep(run.computed_tokens / PROMPT_TOKENS_PER_S)
            if self.crash_part in run.parts:
                await self._crash_within_event(headers, responder)
            await self._stream(req, headers, responder)
        run.done = True

    def _cache_prompt(self, req: Request) -> int:
        """Caches the parts of a prompt; returns the number of uncached tokens.

        Every part after the first uncached one counts as uncached.
        """
        salt, computed, cached = (
            _header(req, HEADER_PREFIX + "Cache-Salt"),
            0,
            True,
        )
        for entry in _header(req, HEADER_PREFIX + "Prefix-Hash").split(","):
            part, _, tokens = entry.partition(":")
            if not tokens:
                continue
            cached = cached and (salt, part) in self._cached_parts
            if not cached:
                computed += int(tokens)
                self._record_change("+", salt, part, int(tokens))
        return computed

    async def _crash_within_event(self, headers, responder: Responder) -> None:
        """Ends within the first event of an answer."""
        content_type = (b"content-type", b"text/event-stream")
        await responder.start(200, (*headers, content_type))
        await responder.write(b"id: 1\nda")
        await self._crash()

    async def _crash(self) -> None:
        """Ends all requests and connections."""
        self.crashed_at.append(anyio.current_time())
        self._group.cancel_scope.cancel()
        await anyio.sleep_forever()

    async def _stream(
        self, req: Request, headers, responder: Responder
    ) -> None:
        counts = _header(req, HEADER_PREFIX + "Token-Count", "0,0").split(",")
        last_event_id = int(_header(req, "Last-Event-Id", "0"))
        content_type = (b"content-type", b"text/event-stream")
        await responder.start(200, (*headers, content_type))
        for number in range(last_event_id + 1, int(counts[1]) + 1):
            await anyio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: token {number}\n\n"
            await responder.write(event.encode())
        await responder.end()


def _part_ids(req: Request) -> tuple[str, ...]:
    entries = _header(req, HEADER_PREFIX + "Prefix-Hash").split(",")
    return tuple(entry.partition(":")[0] for entry in entries if entry)


def _header(req: Request, name: str, default: str = "") -> str:
    return req.header(name.lower().encode()).decode() or default


def _json(document: dict) -> Answer:
    body = json.dumps(document).encode()
    return Answer(status=200, headers=(JSON_TYPE,), body=body)


def count_runs(runners: list[PlatformRunner]) -> collections.Counter:
    """Counts how often each request was started on all runners."""
    return collections.Counter(r.request_id for x in runners for r in x.runs)
