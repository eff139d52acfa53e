"""A small site on loopback: real members and proxies, stand-ins around them.

Members and proxies are started with the commands of the deploy file. Instances
have addresses of their own in 127.0.0.0/8, and the same ports.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from common import http1

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("dinsho", "sanetti", "rira")
HOST = "jepu9.example"
KEY = "ctnfzs989anu6wsjnban"
MODEL = "daka510000"
CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 1.2
# Bounds of the customers' installation `tesfaye-huts`.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 2000,
    "revertMs": 250,
    "stretchMaxMs": 5000,
    "strictRevoke": "true",
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "recoverS": 12,
    "transitMs": 120,
    "reuseWindowS": 10,
    "requireFence": "false",
    "leaseMs": 3000,
    "unfreezeMs": 300,
    "versionMs": 8000,
    "versionAllMs": 11000,
}
ENGINE = {
    "concurrency": 48,
    "kvCapacity": 70_946,
    "kvTokenBytes": 131_072,
    "linkMbps": 280_000.0,
    "migrations": True,
    "backups": True,
    "interval": 4,
    "maxInflight": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": MODEL}],
}
SERVICES = [
    {
        "name": "guide-models",
        "healthPath": "/health",
        "maxConns": 300,
        "protocol": "h1",
        "tls": False,
        "backendEngine": ENGINE,
    },
    {
        "name": "hut-desk",
        "healthPath": "/health",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
    },
]
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Builds a route whose prefix is its name."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 5000,
        "goalMs": 600,
        "priority": 0,
        "service": service,
        "attempts": 1,
        "public": False,
        "sessionAffinity": kind == "streaming",
        "resumable": False,
        "gapTargetMs": 400,
        **changes,
    }


def configuration(version: int, routes: list, tenants: list) -> dict:
    """Builds a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": SERVICES,
        "limits": LIMITS,
        "tenants": tenants,
    }


def tenant(name: str, *keys: str) -> dict:
    """Builds a tenant."""
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": 1,
        "isolated": False,
    }


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        passed_s = time.monotonic() - self._started_at
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


class Process:
    """A member or a proxy, with its address and settings."""

    def __init__(self, role: str, number: int, site: "Site"):
        self.role = role
        self.name = f"{role}-{number}"
        self.host = f"{site.network}.{number + (100 if role == 'proxy' else 0)}"
        self.zone = ZONES[number % len(ZONES)]
        self.settings = site.folder / f"{self.name}.conf"
        self.data = site.folder / f"data-{self.name}"
        self.log = site.folder / f"{self.name}.log"
        self.popen: subprocess.Popen | None = None


class Site:
    """The processes, the operator and the callers.

    Args:
        record: Where everything is written down.
        members: Number of members.
        proxies: Number of proxies.
    """

    def __init__(self, record: Record, members: int = 3, proxies: int = 2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        first, second = random.SystemRandom().sample(range(2, 250), 2)
        self.network = f"127.{first}.{second}"
        (
            self.link_port,
            self.control_port,
            self.front_port,
            self.ready_port,
        ) = _free_ports(f"{self.network}.1")
        self.members = [Process("member", i + 1, self) for i in range(members)]
        self.proxies = [Process("proxy", i + 1, self) for i in range(proxies)]
        self.runners: list[Runner] = []
        self.faults_borne = (members - 1) // 2
        self._requests = 0

    def write_settings(self, process: Process, bootstrap: bool) -> None:
        """Writes the settings file of a process."""
        seeds = [f"{p.host}:{self.control_port}" for p in self.members[:3]]
        is_member = process.role == "member"
        fields = {
            "nodeName": process.name,
            "role": process.role,
            "machineClass": "core" if is_member else "front",
            "serves": "control" if is_member else "front",
            "bindIp": process.host,
            "zone": process.zone,
            "region": "bale-highlands",
            **{f"zones.{z}": "bale-highlands" for z in ZONES},
            "portRange": f"{self.link_port},{self.link_port}",
            "seedNodes": ",".join(seeds),
            "bootstrap": str(bootstrap).lower(),
            "countsAsLoss": str(is_member).lower(),
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "faultBudget.machines": self.faults_borne,
            "faultBudget.zones": 0,
            "faultBudget.regions": 0,
            **{f"bounds.{k}": v for k, v in BOUNDS.items()},
        }
        if is_member:
            process.data.mkdir(exist_ok=True)
            fields["dataDir"] = process.data
            fields["endpoints.control"] = f"{process.host}:{self.control_port}"
        else:
            fields["endpoints.front"] = f"{process.host}:{self.front_port}"
            fields["endpoints.ready"] = f"{process.host}:{self.ready_port}"
        lines = [f"{k}={v}" for k, v in fields.items()]
        process.settings.write_text("\n".join(lines) + "\n")

    def start(self, process: Process, bootstrap: bool = False) -> None:
        """Starts a process with the command of the deploy file."""
        self.write_settings(process, bootstrap)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "KNAPWEEDARCH_NODE_FILE": str(process.settings),
        }
        with process.log.open("ab") as log:
            process.popen = subprocess.Popen(
                ["python3", "platform", process.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.line(f"{process.name} started")

    def start_all(self) -> None:
        """Starts all processes for the first time."""
        for process in (*self.members, *self.proxies):
            self.start(process, bootstrap=True)

    def kill(self, process: Process) -> None:
        """Kills a process."""
        process.popen.kill()
        process.popen.wait()
        self.record.line(f"{process.name} killed")

    def send_signal(self, process: Process, number: int) -> None:
        """Sends a signal to a process."""
        process.popen.send_signal(number)
        self.record.line(f"{process.name} gets {signal.Signals(number).name}")

    def close(self) -> None:
        """Ends all processes; keeps the logs if `KEEP_LOGS` names a folder."""
        for process in (*self.members, *self.proxies):
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        if kept := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def control_addresses(self) -> list[str]:
        """Returns the addresses of the control calls, in random order."""
        members = random.sample(self.members, len(self.members))
        return [f"{p.host}:{self.control_port}" for p in members]

    def front(self, number: int = 0) -> str:
        """Returns the address of a proxy for callers."""
        return f"{self.proxies[number].host}:{self.front_port}"

    async def add_runner(self, service: str, **options) -> "Runner":
        """Starts a runner or plain server."""
        runner = Runner(self, len(self.runners) + 1, service, **options)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def call_control(
        self, method: str, path: str, document: object, limit_s: float = 20.0
    ) -> int:
        """Sends an operator's call to one member after the other.

        Returns:
            The status of the first clear answer; 0 if there was none.
        """
        until = time.monotonic() + limit_s
        body = b"" if document is None else json.dumps(document).encode()
        while time.monotonic() < until:
            for address in self.control_addresses():
                answer = await http1.request(
                    *(address, method, path),
                    {"Host": address, "Content-Type": "application/json"},
                    body,
                    CALL_TIMEOUT_S,
                )
                if answer is not None and answer.status < 500:
                    self.record.line(f"{method} {path}: {answer.status}")
                    return answer.status
            await asyncio.sleep(0.1)
        self.record.line(f"{method} {path}: no clear answer")
        return 0

    async def put_config(self, document: dict) -> bool:
        """Sends a configuration until it is confirmed."""
        self.record.line(
            f"config {document['version']}:"
            f" routes {json.dumps(document['routes'])}"
            f" tenants {json.dumps(document['tenants'])}"
        )
        return await self.call_control("PUT", "/api/config", document) == 200

    async def is_ready(self, process: Process) -> bool:
        """Returns whether a proxy says that it is ready."""
        address = f"{process.host}:{self.ready_port}"
        answer = await http1.request(
            address, "GET", "/api/ready", {"Host": address}, timeout_s=1.0
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit_s: float = 30.0) -> bool:
        """Waits until all proxies are ready; returns whether they are."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            ready = [await self.is_ready(p) for p in self.proxies]
            if all(ready):
                self.record.line("all proxies are ready")
                return True
            await asyncio.sleep(0.1)
        self.record.line("not all proxies are ready")
        return False

    def headers(
        self, request_id: str, key: str = KEY, limit_ms: int = 4000
    ) -> dict[str, str]:
        """Returns the headers of a caller's request."""
        found = {
            "Host": HOST,
            "X-Knapweedarch-Request-Id": request_id,
            "X-Knapweedarch-Deadline-Ms": str(limit_ms),
        }
        if key:
            found["Authorization"] = f"Token {key}"
        return found

    def prompt_headers(self, number: int, tokens_out: int) -> dict[str, str]:
        """Returns the headers of a request with a prompt of its own."""
        return {
            "X-Knapweedarch-Model": MODEL,
            "X-Knapweedarch-Token-Count": f"1460,{tokens_out}",
            "X-Knapweedarch-Prefix-Hash": f"5c1e07a2:800,{number:08x}:660",
        }

    def next_id(self) -> str:
        """Returns a new request id."""
        self._requests += 1
        return f"{self._requests:04x}{random.getrandbits(48):012x}"

    async def send(
        self,
        path: str,
        *,
        proxy: int = 0,
        key: str = KEY,
        method: str = "POST",
        body: bytes = b"{}",
        limit_ms: int = 4000,
        extra: dict[str, str] | None = None,
    ) -> tuple[str, http1.Message | None]:
        """Sends a caller's request; returns its id and the answer."""
        request_id = self.next_id()
        self.record.line(f"sent {request_id} {method} {path} to proxy {proxy}")
        answer = await http1.request(
            *(self.front(proxy), method, path),
            {**self.headers(request_id, key, limit_ms), **(extra or {})},
            body,
            limit_ms / 1000 + 1,
        )
        if answer is None:
            text = "no answer"
        else:
            stamp = answer.header("x-knapweedarch-response-stamp", "none")
            early = ", ended early" if answer.ended_early else ""
            text = f"{answer.status}, receipt {stamp}, {answer.body!r}{early}"
        self.record.line(f"answer to {request_id}: {text[:300]}")
        return request_id, answer


# Takes the request and the writer; returns None to let the runner go on as a
# sound one does, else whether to keep the connection.
Disturbance = Callable[
    ["Runner", http1.Message, asyncio.StreamWriter], Awaitable[bool | None]
]


class Runner:
    """A runner, or a plain server if it has no model.

    Attributes:
        runs: Number of runs of each request id.
        disturb: Takes the place of the answer to a request that has run.
        weights: Version of the weights.
        software: Version of the software.
        first_ping_s: Time from a start to the first ping.
        events: Events of its KV cache.
        dark: Set while it has no power.
        event_gap_s: Time between the events of a stream.
        breaks_after: Number of events after which it breaks streams off; 0 for
            never.
        breaks_of_five: How many of five streams it breaks off.
    """

    def __init__(
        self,
        site: Site,
        number: int,
        service: str,
        model: str = "",
        work_s: float = 0.02,
    ):
        self.site = site
        self.number = number
        self.id = f"i-{number}{random.getrandbits(24):06x}"
        self.host = f"{site.network}.{200 + number}"
        self.service = service
        self.model = model
        self.work_s = work_s
        self.weights = 1
        self.software = "v1"
        self.first_ping_s = 0.0
        self.state = "ready"
        self.runs: collections.Counter[str] = collections.Counter()
        self.run_times: list[tuple[float, str]] = []
        self.disturb: Disturbance | None = None
        self.born = int(time.time() * 1000)
        self.order_count = 0
        self.orders: list[dict] = []
        self.events: list[list] = []
        self.port = 0
        self.dark = asyncio.Event()
        # The connections accepted, with the event of their incarnation.
        self._connections: dict[asyncio.StreamWriter, asyncio.Event] = {}
        self.event_gap_s = 0.1
        self.breaks_after = 0
        self.breaks_of_five = 5
        self._streams = 0
        self._loading = False
        self._beats = 0
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens and begins to send pings."""
        self._server = await http1.serve(
            self.host, self._handle, self.port, self._note_connection
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._ping_on()))

    def _note_connection(self, writer: asyncio.StreamWriter) -> None:
        self._connections[writer] = self.dark

    async def stop(self) -> None:
        """Ends without a word; its connections are reset."""
        self._end_tasks()
        for writer in self._connections:
            http1.reset(writer)
        self._connections.clear()

    def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._server.close()

    async def leave_and_return(self, first: list[str]) -> None:
        """Leaves as runners do that never report `draining`, and comes back.

        It serves for a little longer than `drainMs` after the confirmation.

        Args:
            first: Addresses of control that it calls first.
        """
        for task in self._tasks:
            task.cancel()
        await self.tell("DELETE", b"", first)
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 0.2)
        await self.restart()

    async def go_dark(self) -> None:
        """Loses power: says nothing more; connections stay as they are."""
        self.dark.set()
        self._end_tasks()
        self.site.record.line(f"{self.id} goes dark")

    async def restart(self) -> None:
        """Starts again under its id, at its address, knowing nothing."""
        if not self.dark.is_set():
            await self.stop()
        self.dark = asyncio.Event()
        self.born = int(time.time() * 1000)
        self._beats = self.order_count = 0
        self.state = "ready"
        await self.start()
        self.site.record.line(f"{self.id} starts again, born {self.born}")

    async def _ping_on(self) -> None:
        await asyncio.sleep(self.first_ping_s)
        while True:
            with contextlib.suppress(OSError):
                await self.ping()
            await asyncio.sleep(HEARTBEAT_S)

    def ping_body(self) -> dict:
        """Returns the body of the next ping."""
        self._beats += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[self.number % len(ZONES)],
            "version": self.software,
            "concurrency": 48 if self.model else 6,
            "state": self.state,
            "coldLeftMs": 0,
            "born": self.born,
            "callSeq": self._beats,
        }
        if self.model:
            body["stage"] = "unified"
            body["models"] = self._models()
        return body

    async def ping(self) -> bool:
        """Sends a ping to one member after the other until one confirms."""
        return await self.tell("PUT", json.dumps(self.ping_body()).encode())

    async def tell(
        self, method: str, body: bytes, first: list[str] | None = None
    ) -> bool:
        """Sends a call about itself until a member confirms it.

        Args:
            method: `PUT` or `DELETE`.
            body: The body.
            first: Addresses that are tried before the others.
        """
        first = first or []
        others = self.site.control_addresses()
        order = [*first, *(a for a in others if a not in first)]
        for address in order:
            answer = await http1.request(
                *(address, method, f"/api/instances/{self.id}"),
                {"Host": address, "Content-Type": "application/json"},
                body,
                CALL_TIMEOUT_S,
            )
            status = answer.status if answer else 0
            if method == "DELETE":
                self.site.record.line(
                    f"{self.id} DELETE at {address}: {status or 'no answer'}"
                )
            if 200 <= status < 300:
                return True
        return False

    def _models(self) -> list[dict]:
        return [{"name": self.model, "version": self.weights, "adapters": []}]

    async def _handle(self, req: http1.Message, writer) -> bool:
        if self._connections.get(writer) is not self.dark:
            # Of an incarnation that is gone: nobody knows the connection.
            http1.reset(writer)
            return False
        if self.dark.is_set():
            await asyncio.Event().wait()
        path = req.target.partition("?")[0]
        if path == "/api/report":
            return await _send(writer, 200, {}, self._report())
        if path == "/api/order":
            return await _send(writer, self._order(json.loads(req.body)), {})
        if path == "/api/kv-events":
            return await self._send_events(req, writer)
        if path == "/health":
            served_by = {"X-Knapweedarch-Served-By": self.id}
            return await _send(writer, 200, served_by)
        return await self._serve(req, writer)

    def _report(self) -> dict:
        return {
            "stage": "unified",
            "born": self.born,
            "models": self._models() if self.model else [],
            "busy": self._loading,
            "callSeq": self.order_count,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 70_946,
            "handleCount": 0,
        }

    async def _send_events(self, req: http1.Message, writer) -> bool:
        """Sends the events from a number on; waits while there are none."""
        since = int(req.target.partition("sinceTs=")[2] or 0)
        if len(self.events) <= since:
            await asyncio.sleep(int(req.header("wait-ms", "200")) / 1000)
        answer = {
            "bootEpoch": self.born,
            "nextToken": len(self.events),
            "lost": False,
            "changes": self.events[since:],
        }
        return await _send(writer, 200, {}, answer)

    def _order(self, order: dict) -> int:
        self.site.record.line(f"{self.id} gets order {json.dumps(order)}")
        if self._loading or order.get("expect") not in (None, self.order_count):
            return 409
        if order["version"] <= self.weights:
            return 200
        self.orders.append(order)
        self.order_count += 1
        self._loading = True
        self._tasks.append(asyncio.create_task(self._load(order["version"])))
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(0.55)
        self.weights, self._loading = version, False
        self.site.record.line(f"{self.id} has weights {version}")
        await self.ping()

    async def _serve(self, req: http1.Message, writer) -> bool:
        request_id = req.header("x-knapweedarch-request-id")
        not_run = {
            "X-Knapweedarch-Not-Executed": "1",
            "X-Knapweedarch-Request-Id": request_id,
            "X-Knapweedarch-Served-By": self.id,
        }
        wanted = req.header("x-knapweedarch-expect-instance", self.id)
        version = req.header("x-knapweedarch-expect-version")
        if wanted != self.id or (version and version != str(self.weights)):
            return await _send(writer, 421, not_run)
        if self._loading:
            return await _send(writer, 503, not_run)
        self.runs[request_id] += 1
        self.run_times.append((time.monotonic(), request_id))
        self.site.record.line(
            f"{self.id} runs {request_id} {req.method} {req.target} tenant"
            f" {req.header('x-knapweedarch-tenant', 'none')}"
        )
        dark = self.dark
        await asyncio.sleep(self.work_s)
        if dark.is_set():
            await asyncio.Event().wait()
        if self.disturb is not None:
            kept = await self.disturb(self, req, writer)
            if kept is not None:
                return kept
        return await self.answer(req, writer)

    async def answer(self, req: http1.Message, writer) -> bool:
        """Sends the answer of a sound runner, or a stream if it has a model."""
        request_id = req.header("x-knapweedarch-request-id")
        if self.model:
            return await self._stream(req, writer)
        body = json.dumps({"request": request_id}).encode()
        writer.write(http1.answer_bytes(200, self.stamps(request_id), body))
        await writer.drain()
        return True

    async def _stream(self, req: http1.Message, writer) -> bool:
        """Sends a stream of as many events as the request may have."""
        dark = self.dark
        self._streams += 1
        is_grey = self._streams % 5 < self.breaks_of_five
        head = http1.stream_head(
            self.stamps(req.header("x-knapweedarch-request-id"))
        )
        counts = req.header("x-knapweedarch-token-count", "0,1").split(",")
        first = int(req.header("last-event-id", "0")) + 1
        writer.write(head)
        for number in range(first, int(counts[1]) + 1):
            await asyncio.sleep(self.event_gap_s)
            if dark.is_set():
                await asyncio.Event().wait()
            event = f"id: {number}\ndata: {self.software}\n\n".encode()
            writer.write(http1.chunk(event))
            await writer.drain()
            if is_grey and number - first + 1 == self.breaks_after:
                self.site.record.line(f"{self.id} breaks off a stream")
                http1.reset(writer)
                return False
        writer.write(http1.chunk(b""))
        await writer.drain()
        return True

    def stamps(self, request_id: str) -> dict[str, str]:
        """Returns the headers that each answer of a runner bears."""
        return {
            "X-Knapweedarch-Request-Id": request_id,
            "X-Knapweedarch-Response-Stamp": f"{self.id}.{request_id}",
        }


async def _send(
    writer, status: int, headers: dict, document: object = None
) -> bool:
    body = b"" if document is None else json.dumps(document).encode()
    headers = {**headers, "Content-Type": "application/json"}
    writer.write(http1.answer_bytes(status, headers, body))
    await writer.drain()
    return True


def total_runs(site: Site, request_id: str) -> int:
    """Returns how often a request has run."""
    return sum(runner.runs[request_id] for runner in site.runners)


def _free_ports(host: str, count: int = 4) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return [probe.getsockname()[1] for probe in probes]


Case = Callable[[Record, bool], Awaitable[int]]


def run_case(case: Case, folder: pathlib.Path, limit_s: float = 110.0) -> None:
    """Runs a case and exits with its status.

    Args:
        case: Takes the record and whether to disturb; returns 1 if the rule
            was broken, 0 if it held, 2 if the case could not run.
        folder: Folder of the record.
        limit_s: Longest time in seconds.
    """
    record = Record(folder)
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        try:
            async with asyncio.timeout(limit_s):
                return await case(record, is_disturbed)
        except TimeoutError:
            record.line("the case took too long")
            return 2

    try:
        status = asyncio.run(run())
    except Exception as exc:  # the case could not run
        record.line(f"failed: {exc!r}")
        status = 2
    verdict = {0: "the rule held", 1: "THE RULE WAS BROKEN"}.get(
        status, "the case could not run"
    )
    record.line(verdict)
    print(verdict)
    sys.exit(status)
