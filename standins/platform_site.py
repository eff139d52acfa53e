"""Simulates a site of the users' platform on loopback, without its test bench.

Starts the actual member and proxy processes with the platform's settings files
and runs the runners, the operator and the callers in the test's event loop.
Members, routers and runners have separate IP addresses, so that port numbers
are the same on every instance.
"""

import contextlib
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
from collections.abc import AsyncIterator, Callable, Mapping

import anyio
import anyio.abc
import attrs
import httpx

from standins.platform_runner import PlatformRunner

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Runs a process as `platform` does, and can cut its paths to endpoints.
PROCESS = "standins/cut_process.py"
CUT_SUFFIX = ".cut"
HOST = "shop.example"
KEY = "key-of-huts"
MODEL = "guide"
ZONES = ("dinsho", "sanetti", "rira")
# As in `adapter.settings`.
METRICS_PORT = 9464
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
REQUEST_TIMEOUT_MS = 6000

SERVICES = [
    {
        "name": "guide-models",
        "healthPath": "/health",
        "maxConns": 300,
        "backendEngine": {
            "concurrency": 4,
            "kvCapacity": 70_000,
            "kvTokenBytes": 131_072,
            "linkMbps": 280_000.0,
            "maxInflight": 12,
            "models": [{"name": MODEL}],
        },
    },
    {"name": "desk", "healthPath": "/health", "maxConns": 110},
]


def _route(name: str, kind: str, service: str, attempts: int) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": REQUEST_TIMEOUT_MS,
        "goalMs": 600,
        "priority": 0,
        "service": service,
        "attempts": attempts,
        "public": False,
        "sessionAffinity": kind == "streaming",
        "resumable": kind == "streaming",
        "gapTargetMs": 400,
    }


def configuration(version: int, extra_route: str = "") -> dict:
    """Builds a configuration, optionally with an additional route."""
    routes = [
        _route("chat", "streaming", "guide-models", 2),
        _route("booking", "non_idempotent", "desk", 1),
    ]
    if extra_route:
        routes.append(_route(extra_route, "idempotent", "desk", 2))
    return {
        "version": version,
        "routes": routes,
        "services": SERVICES,
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [{"name": "huts", "apiKeys": [KEY]}],
    }


@attrs.define
class Process:
    """A member or proxy process.

    Attributes:
        role: `member` or `proxy`.
        name: Name of its instance.
        host: IP address of its instance.
        settings: Path of its settings file.
        popen: The process, once it has been started.
        build: Folder of the code that it runs.
    """

    role: str
    name: str
    host: str
    settings: pathlib.Path
    popen: subprocess.Popen | None = None
    build: pathlib.Path = ROOT


@attrs.define
class StreamCall:
    """A stream as its caller sees it, over all tries.

    Attributes:
        events: Numbers of the events received.
        first_try: Id of the try that brought the first event.
        tries: Ids of the tries that brought events.
        first_status: Status of the first try; 0 for no answer.
        statuses: Statuses of the tries after the first.
    """

    events: list[int] = attrs.field(factory=list)
    first_try: str = ""
    tries: list[str] = attrs.field(factory=list)
    first_status: int = 0
    statuses: list[int] = attrs.field(factory=list)


class PlatformSite:
    """Runs processes and runners, and acts as operator and callers.

    Attributes:
        folder: Folder of settings, logs and data; removed by `close`.
        processes: Members and proxies by name.
        runners: Runners and plain services.
        client: HTTP client of the operator and the callers.
        answer: Last response to `call_control`.
        program: What the interpreter runs as a process.
    """

    program = PROCESS

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        settings: Mapping[str, str] | None = None,
    ):
        self._group = group
        self._settings = dict(settings or {})
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
        second, third = random.SystemRandom().sample(range(2, 250), 2)
        self._network = f"127.{second}.{third}"
        (
            self._link_port,
            self._control_port,
            self._proxy_port,
            self._ready_port,
        ) = _free_ports(f"{self._network}.1", 4)
        self.processes: dict[str, Process] = {}
        self.runners: list[PlatformRunner] = []
        self.client = httpx.AsyncClient(timeout=REQUEST_TIMEOUT_MS / 1000)
        self._requests = 0

    def _add_process(self, role: str, number: int) -> Process:
        host_number = number + (100 if role == "proxy" else 0)
        host, name = f"{self._network}.{host_number}", f"{role}-{number}"
        process = Process(role, name, host, self.folder / f"{name}.conf")
        self.processes[name] = process
        return process

    def start_processes(self, members: int, proxies: int) -> None:
        """Creates and starts members and proxies with bootstrap enabled."""
        for number in range(1, members + 1):
            self._add_process("member", number)
        for number in range(1, proxies + 1):
            self._add_process("proxy", number)
        for process in self.processes.values():
            self._write_settings(process, bootstrap=True)
            self.start(process.name)

    def _write_settings(self, process: Process, bootstrap: bool) -> None:
        self._data_folder(process.name).mkdir(exist_ok=True)
        fields = self._settings_fields(process, bootstrap)
        lines = [f"{key}={value}" for key, value in fields.items()]
        process.settings.write_text("\n".join(lines) + "\n")

    def _data_folder(self, name: str) -> pathlib.Path:
        return self.folder / f"data-{name}"

    def _control_address(self, host: str) -> str:
        return f"{host}:{self._control_port}"

    def _settings_fields(self, process: Process, bootstrap: bool) -> dict:
        seeds = [
            self._control_address(f"{self._network}.{i}") for i in (1, 2, 3)
        ]
        zone = ZONES[int(process.name.split("-")[1]) % len(ZONES)]
        return {
            "nodeName": process.name,
            "bindIp": process.host,
            "zone": zone,
            **{f"zones.{name}": "highlands" for name in ZONES},
            "endpoints.front": f"{process.host}:{self._proxy_port}",
            "endpoints.ready": f"{process.host}:{self._ready_port}",
            "endpoints.control": self._control_address(process.host),
            "portRange": f"{self._link_port},{self._link_port}",
            "seedNodes": ",".join(seeds),
            "bootstrap": str(bootstrap).lower(),
            "dataDir": str(self._data_folder(process.name)),
            "heartbeatMs": "600",
            "faultBudget.machines": "1",
            "bounds.graceS": "4",
            "bounds.revokeMs": "5000",
            "bounds.leaseMs": "1000",
            "bounds.retryRatio": "0.2",
            "bounds.retrySlack": "56",
            "bounds.retryWindowS": "10",
            "bounds.quotaWindowS": "4",
            "bounds.quotaOver": "0.1",
            "bounds.quotaSlack": "4",
            **self._settings,
        }

    def start(self, name: str) -> None:
        """Starts a process."""
        process = self.processes[name]
        environment = {
            "PATH": os.environ["PATH"],
            "KNAPWEEDARCH_NODE_FILE": str(process.settings),
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            process.popen = subprocess.Popen(
                [sys.executable, self.program, process.role],
                cwd=process.build,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        process = self.processes[name]
        process.popen.kill()
        process.popen.wait()

    def restart_all(self) -> None:
        """Kills every process, then restarts each with its data folder."""
        for name in self.processes:
            self.kill(name)
        for name, process in self.processes.items():
            self._write_settings(process, bootstrap=False)
            self.start(name)

    def set_paths_cut(self, name: str, mode: str) -> None:
        """Cuts a process off from all endpoints, or joins it again.

        Args:
            name: The process.
            mode: How connections fail, see `cut_process`; empty to join it.
        """
        path = pathlib.Path(f"{self.processes[name].settings}{CUT_SUFFIX}")
        if mode:
            path.write_text(mode)
        else:
            path.unlink()

    def restart_proxies(self) -> None:
        """Kills all proxies at once, then starts them again."""
        names = [n for n, p in self.processes.items() if p.role == "proxy"]
        for name in names:
            self.processes[name].popen.kill()
        for name in names:
            self.processes[name].popen.wait()
            self._write_settings(self.processes[name], bootstrap=False)
            self.start(name)

    def terminate(self, name: str) -> None:
        """Sends SIGTERM to a process."""
        self.processes[name].popen.send_signal(signal.SIGTERM)

    def close_processes(self) -> None:
        """Kills the remaining processes."""
        for process in self.processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()

    def close(self) -> None:
        """Kills the remaining processes and removes the folder."""
        self.close_processes()
        shutil.rmtree(self.folder)

    def control_addresses(self) -> list[str]:
        """Returns the control addresses of the members."""
        return [
            self._control_address(p.host)
            for p in self.processes.values()
            if p.role == "member"
        ]

    def listener(self, name: str) -> tuple[str, int]:
        """Returns the address of a listener.

        Args:
            name: `proxy`, `ready`, `control` or `metrics`, of the first
                process that has it.
        """
        port = {
            "proxy": self._proxy_port,
            "ready": self._ready_port,
            "control": self._control_port,
            "metrics": METRICS_PORT,
        }[name]
        return self.listening_process(name).host, port

    def listening_process(self, name: str) -> Process:
        """Returns the process of a listener; see `listener`."""
        role = "member" if name == "control" else "proxy"
        return self.processes[f"{role}-1"]

    def proxy_url(self, name: str) -> str:
        """Returns the base URL of a proxy for callers."""
        return f"http://{self.processes[name].host}:{self._proxy_port}"

    async def add_runner(
        self, service: str, model: str = "", software: str = "v1"
    ) -> None:
        """Starts a runner, which registers itself by heartbeats."""
        number = len(self.runners) + 1
        runner = PlatformRunner(
            id=f"i-{number}",
            host=f"{self._network}.{200 + number}",
            zone=ZONES[number % len(ZONES)],
            service=service,
            model=model,
            software=software,
            control_addresses=self.control_addresses,
        )
        self.runners.append(runner)
        await self._group.start(runner.run)

    async def call_control(self, method: str, path: str, document=None) -> int:
        """Sends an operator's request to random members until one responds.

        Responses with a status of 500 or more are retried.

        Returns:
            The status code; the response is kept in `answer`.

        Raises:
            TimeoutError: No member responded within `START_TIMEOUT_S`.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            address = random.choice(self.control_addresses())
            with contextlib.suppress(httpx.HTTPError):
                answer = await self.client.request(
                    method, f"http://{address}{path}", json=document
                )
                if answer.status_code < 500:
                    self.answer = answer
                    return answer.status_code
            await anyio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"no member responded to {method} {path}")

    async def is_ready(self, name: str) -> bool:
        """Returns whether the readiness check of a proxy passes."""
        url = f"http://{self.processes[name].host}:{self._ready_port}/api/ready"
        try:
            return (await self.client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def wait(
        self, probe: Callable, limit_s: float = START_TIMEOUT_S
    ) -> float:
        """Polls until `await probe()` is true; returns the seconds waited.

        Raises:
            TimeoutError: The limit passed first.
        """
        started_at = time.monotonic()
        while not await probe():
            if time.monotonic() - started_at > limit_s:
                raise TimeoutError(
                    f"the condition was not met within {limit_s} s"
                )
            await anyio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started_at

    async def wait_ready(self) -> None:
        """Waits until every proxy is ready."""
        for name, process in self.processes.items():
            if process.role == "proxy":
                await self.wait(lambda name=name: self.is_ready(name))

    async def send_request(
        self,
        proxy: str,
        path: str,
        tokens: int = 0,
        parts: str = "",
        body: bytes = b"{}",
    ) -> httpx.Response:
        """Sends a caller's request; returns the complete response.

        Args:
            proxy: Name of the proxy.
            path: Path of the request.
            tokens: Number of tokens to generate; 0 for a plain service.
            parts: Shared parts of the prompt as `ID:TOKENS,...`; by default
                one that all requests share and one of three.
            body: Body of the request.
        """
        headers = self._next_headers(tokens, parts)
        return await self.client.post(
            self.proxy_url(proxy) + path, headers=headers, content=body
        )

    def _next_headers(self, tokens: int, parts: str = "") -> dict[str, str]:
        self._requests += 1
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Knapweedarch-Request-Id": f"request-{self._requests}",
            "X-Knapweedarch-Deadline-Ms": str(REQUEST_TIMEOUT_MS),
        }
        if tokens:
            shared = parts or f"a1:2000,b{self._requests % 3}:3000"
            headers["X-Knapweedarch-Model"] = MODEL
            headers["X-Knapweedarch-Token-Count"] = f"5090,{tokens}"
            headers["X-Knapweedarch-Prefix-Hash"] = (
                f"{shared},c{self._requests}:90"
            )
        return headers

    async def try_stream(
        self, proxy: str, stream: "StreamCall", tokens: int
    ) -> int:
        """Makes one try of a caller at a stream, and takes up what it has.

        Returns:
            The status; 0 if there was no answer.
        """
        headers = self._next_headers(tokens)
        request_id = headers["X-Knapweedarch-Request-Id"]
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1])
            headers["Resumes"] = stream.first_try
        url, status, data = self.proxy_url(proxy) + "/chat/x", 0, ""
        with contextlib.suppress(httpx.HTTPError):
            async with self.client.stream("POST", url, headers=headers) as got:
                status = got.status_code
                async for part in got.aiter_text():
                    data += part
                    *whole, data = data.split("\n\n")
                    ids = [int(e.split("\n")[0][4:]) for e in whole]
                    if ids and status == 200:
                        stream.first_try = stream.first_try or request_id
                        if request_id not in stream.tries:
                            stream.tries.append(request_id)
                        stream.events += ids
        return status


def _free_ports(host: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return [probe.getsockname()[1] for probe in probes]


@contextlib.asynccontextmanager
async def open_site(
    members: int,
    proxies: int,
    runners: int,
    limit_s: float,
    settings: Mapping[str, str] | None = None,
) -> AsyncIterator[PlatformSite]:
    """Opens a site with a configuration applied and every proxy ready.

    Args:
        members: Number of members.
        proxies: Number of proxies.
        runners: Number of runners.
        limit_s: Time in seconds until the site must be closed.
        settings: Further fields of the settings files of all processes.

    Raises:
        TimeoutError: The site was not closed within `limit_s` seconds.
    """
    with anyio.fail_after(limit_s):
        async with anyio.create_task_group() as group:
            site = PlatformSite(group, settings)
            try:
                site.start_processes(members, proxies)
                for _ in range(runners):
                    await site.add_runner("guide-models", MODEL)
                await site.add_runner("desk")
                await site.call_control("PUT", "/api/config", configuration(1))
                await site.wait_ready()
                yield site
            finally:
                site.close()
                group.cancel_scope.cancel()
