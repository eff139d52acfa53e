"""A sound server of the platform: a model runner or a plain service."""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable

from common2.record import Record
from common2.wire import (
    Message,
    answer_bytes,
    exchange,
    json_bytes,
    read_body,
    read_head,
)

PREFIX = "X-Knapweedarch-"
HEARTBEAT_S = 1.2
# A confirmation that comes later does not count.
CONFIRM_S = 1.0
LOAD_S = 0.55
SERVICE_S = 0.02
PREFILL_S = 0.03
EVENT_S = 0.01


class Runner:
    """One server.

    Args:
        name: Id of the instance.
        host: Loopback address.
        zone: Its zone.
        service: Its service.
        models: Version of the weights by model; empty for a plain service.
        controls: Returns the control addresses.
        record: The record of the script.

    Attributes:
        runs: Requests that it began to work on.
        reused: Parts that a request found cached: request, its tenant, part,
            and the tenant whose request had made it.
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        service: str,
        models: dict[str, int],
        controls: Callable[[], list[tuple[str, int]]],
        record: Record,
    ):
        self.name, self.host, self.zone = name, host, zone
        self.service, self.models = service, dict(models)
        self.concurrency = 48
        self.runs: list[dict] = []
        self.reused: list[dict] = []
        self._controls, self._record = controls, record
        self._born = int(time.time() * 1000)
        self._beats = self._orders = self._running = 0
        self._is_loading = False
        # Tenant that made a part, by salt, model and part.
        self._parts: dict[tuple[str, str, str], str] = {}
        self._events: list[list] = []
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self.port = 0

    async def start(self) -> None:
        """Listens and sends heartbeats from now on."""
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._spawn(self._beat())

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _models(self) -> list[dict]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    async def _beat(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self) -> None:
        """Sends its state to one node after the other, until one confirms."""
        controls = self._controls()
        random.shuffle(controls)
        for address in controls:
            self._beats += 1
            body = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "concurrency": self.concurrency,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "unified",
                "models": self._models(),
                "callSeq": self._beats,
                "born": self._born,
            }
            path = f"/api/instances/{self.name}"
            answer = await exchange(
                *(address, "PUT", path, {"Content-Type": "application/json"}),
                *(json.dumps(body).encode(), CONFIRM_S),
            )
            if answer is not None and answer.status == 200:
                return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError):
                while (request := await read_head(reader)) is not None:
                    await read_body(reader, request)
                    if not request.is_whole:
                        break
                    await self._answer(request, writer)
                    await writer.drain()
        finally:
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        method, target = request.first[:2]
        path, _, query = target.partition("?")
        expected = request.header("expect-instance", self.name)
        if expected != self.name:
            served_by = {f"{PREFIX}Served-By": self.name}
            writer.write(answer_bytes(421, served_by))
            return
        match method, path:
            case "GET", "/api/report":
                writer.write(json_bytes(self._report()))
            case "POST", "/api/order":
                writer.write(self._order(json.loads(request.body)))
            case "GET", "/api/kv-events":
                events = await self._wait_for_events(request, query)
                writer.write(json_bytes(events))
            case "GET", "/health":
                served_by = {f"{PREFIX}Served-By": self.name}
                writer.write(answer_bytes(200, served_by))
            case _:
                await self._work(request, writer)

    def _report(self) -> dict:
        return {
            "stage": "unified",
            "born": self._born,
            "models": self._models(),
            "busy": self._is_loading,
            "callSeq": self._orders,
            "queued": 0,
            "running": self._running,
            "kvUsed": 0,
            "kvTotal": 70_000,
            "handleCount": 0,
        }

    def _order(self, order: dict) -> bytes:
        """Accepts an order for new weights."""
        self._record.write("order", runner=self.name, **order)
        model, version = order["model"], order["version"]
        if order.get("expect", self._orders) != self._orders:
            return answer_bytes(409)
        if self._is_loading:
            return answer_bytes(409)
        if self.models.get(model) == version:
            return answer_bytes(200)
        self._orders += 1
        self._is_loading = True
        self._spawn(self._load(model, version))
        return answer_bytes(202)

    async def _load(self, model: str, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        for key in [k for k in self._parts if k[1] == model]:
            self._change("-", key)
        self.models[model] = version
        self._is_loading = False
        self._record.write("loaded", runner=self.name, models=self.models)
        await self.send_heartbeat()

    async def _wait_for_events(self, request: Message, query: str) -> dict:
        since = int(query.partition("=")[2] or 0)
        wait_s = int(request.headers.get("wait-ms", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while len(self._events) <= since:
                    await self._changed.wait()
        return {
            "bootEpoch": self._born,
            "nextToken": len(self._events),
            "lost": False,
            "changes": self._events[since:],
        }

    def _change(self, sign: str, key: tuple, tenant: str = "") -> None:
        salt, model, part = key
        if sign == "+":
            self._parts[key] = tenant
        else:
            del self._parts[key]
        number = len(self._events) + 1
        self._events.append([number, sign, salt, part, 1, model])
        self._changed.set()
        self._changed = asyncio.Event()

    async def _work(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        model = request.header("model")
        if model:
            version = str(self.models.get(model, ""))
            if request.header("expect-version", version) != version:
                writer.write(answer_bytes(421))
                return
        is_full = self._running >= self.concurrency
        if is_full or self._is_loading or (model and model not in self.models):
            writer.write(answer_bytes(503, {f"{PREFIX}Not-Executed": "1"}))
            return
        self._running += 1
        try:
            await self._run(request, model, writer)
        finally:
            self._running -= 1

    async def _run(
        self, request: Message, model: str, writer: asyncio.StreamWriter
    ) -> None:
        name = request.header("request-id")
        run = {
            "request": name,
            "runner": self.name,
            "service": self.service,
            "tenant": request.header("tenant"),
            "model": model,
            "version": self.models.get(model, 0),
            "salt": request.header("cache-salt"),
        }
        self.runs.append(run)
        self._record.write("run", **run)
        headers = {
            f"{PREFIX}Request-Id": name,
            f"{PREFIX}Response-Stamp": f"stamp-{name}-{self.name}",
        }
        if not model:
            await asyncio.sleep(SERVICE_S)
            body = json.dumps({"request": name}).encode()
            writer.write(answer_bytes(200, headers, body))
            return
        self._prefill(request, model)
        await asyncio.sleep(PREFILL_S)
        await self._stream(request, model, headers, writer)

    def _prefill(self, request: Message, model: str) -> None:
        """Finds the leading parts that are cached and makes the others."""
        salt, tenant = request.header("cache-salt"), request.header("tenant")
        is_cached = True
        for entry in request.header("prefix-hash").split(","):
            key = (salt, model, entry.partition(":")[0])
            is_cached = is_cached and key in self._parts
            if not is_cached:
                self._change("+", key, tenant)
                continue
            reused = {
                "request": request.header("request-id"),
                "runner": self.name,
                "tenant": tenant,
                "part": key[2],
                "made_by": self._parts[key],
            }
            self.reused.append(reused)
            self._record.write("part_reused", **reused)

    async def _stream(
        self,
        request: Message,
        model: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        count = int(request.header("token-count", "0,1").split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        fields = {
            **headers,
            f"{PREFIX}Weight-Versions": str(self.models[model]),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 Answer"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, count + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
