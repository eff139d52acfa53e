"""A small site on loopback for the scripts of the third review.

It starts the project's programs with the commands of the deploy file, one
process each, and plays the runners, the callers, the operator and the platform
itself. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("dinsho", "sanetti", "rira")
HOST = "lopu30.example"
KEY = "ctnfzs989anu6wsjnban"
MODEL = "daka510000"
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
START_LIMIT_S = 25.0
# SO_LINGER with a timeout of 0 s: closing the connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Headers = dict[str, str]
Reply = tuple[int, Headers, bytes]


class CannotRunError(Exception):
    """The case could not be set up."""


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            probe = socket.create_server((host, 0))
            stack.callback(probe.close)
            found.append(probe.getsockname()[1])
        return found


async def read_message(reader: asyncio.StreamReader) -> Reply | None:
    """Reads one HTTP message; returns first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply | None:
    """Makes one HTTP call on a new connection; None if it has no answer."""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": HOST, **(headers or {})}
    if body or method in ("PUT", "POST"):
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, found, data = await read_message(reader)
            return int(first.split()[1]), found, data
    except (OSError, TimeoutError, EOFError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Process:
    """One of the system's processes, as the platform runs it."""

    def __init__(self, role: str, number: int, host: str, zone: str):
        self.role, self.number, self.host, self.zone = role, number, host, zone
        self.name = f"{role}-{number}"
        self.popen: subprocess.Popen | None = None

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def memory_mb(self) -> float:
        """Returns its resident memory in MB; 0 if it has ended."""
        if not self.lives:
            return 0.0
        with contextlib.suppress(OSError, ValueError):
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Runner:
    """A runner or plain service, as the pages describe a sound one.

    Args:
        lab: The site.
        service: Service that it belongs to.
        number: Its number in the site.
        slots: Requests that it runs at once.
        model: Its model; empty for a plain service.
        serve: Runs a request; gets the runner, the request and a writer.
    """

    def __init__(
        self,
        lab: "Lab",
        service: str,
        number: int,
        slots: int,
        model: str,
        serve: Callable[..., Awaitable[None]],
    ):
        self.lab, self.service, self.slots = lab, service, slots
        self.model, self.serve = model, serve
        self.host = f"{lab.network}.{200 + number}"
        self.zone = ZONES[number % len(ZONES)]
        self.id = f"i-{random.randbytes(5).hex()}"
        self.port = 0
        self.born = int(time.time() * 1000)
        self.beats = 0
        # Connections that it accepts from all callers; more are reset.
        self.max_conns = 300
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Whether it runs."""
        return self._server is not None

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens and sends heartbeats."""
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._beating = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """Ends at once: connections are reset and nobody is told."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def restart(self) -> None:
        """Starts again at the same address, as a new incarnation."""
        self.id = f"i-{random.randbytes(5).hex()}"
        self.born, self.beats = int(time.time() * 1000), 0
        await self.start()

    def heartbeat(self) -> dict:
        """Returns the next heartbeat."""
        self.beats += 1
        models = [{"name": self.model, "version": 1, "adapters": []}]
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "born": self.born,
            "callSeq": self.beats,
        }
        return {**body, "models": models} if self.model else body

    async def _beat(self) -> None:
        while True:
            await self.lab.send_heartbeat(self.id, self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _accept(self, reader, writer) -> None:
        if len(self.writers) >= self.max_conns:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self._answer(first, headers, body, writer)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The end of the case.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, first, headers, body, writer) -> None:
        method, path, _ = first.split(" ")
        if path.startswith("/api/report"):
            return await self._send_json(writer, self._report())
        if path.startswith("/api/kv-events"):
            await asyncio.sleep(int(headers.get("wait-ms", "0")) / 1000)
            events = {
                "bootEpoch": self.born,
                "nextToken": 0,
                "lost": False,
                "changes": [],
            }
            return await self._send_json(writer, events)
        expected = headers.get("x-knapweedarch-expect-instance", self.id)
        if expected != self.id:
            return await self.send(
                writer, 421, {"X-Knapweedarch-Served-By": self.id}
            )
        return await self.serve(self, (method, path, headers, body), writer)

    def _report(self) -> dict:
        models = [{"name": self.model, "version": 1, "adapters": []}]
        return {
            "stage": "unified",
            "born": self.born,
            "models": models if self.model else [],
            "busy": False,
            "callSeq": 0,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 70946,
            "handleCount": 0,
        }

    async def _send_json(self, writer, value: dict) -> None:
        await self.send(
            writer,
            200,
            {"Content-Type": "application/json"},
            json.dumps(value).encode(),
        )

    async def send(
        self, writer, status: int, headers: Headers, body: bytes = b""
    ) -> None:
        """Sends a whole answer."""
        fields = {**headers, "Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()


class Lab:
    """The site: processes, runners, operator and record.

    Args:
        folder: Folder of the case, for `record.txt`.
        members: Number of members.
        proxies: Number of proxies.
        settings: Further fields of the settings files.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        members: int,
        proxies: int,
        settings: Headers | None = None,
    ):
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()
        self._settings = settings or {}
        numbers = random.SystemRandom().sample(range(2, 250), 2)
        self.network = "127.{}.{}".format(*numbers)
        ports = free_ports(f"{self.network}.1", 4)
        self.control_port, self.front_port, self.ready_port = ports[:3]
        self._link_port = ports[3]
        self.processes: dict[str, Process] = {}
        self.runners: list[Runner] = []
        for role, count, base in (
            ("member", members, 0),
            ("proxy", proxies, 100),
        ):
            for i in range(1, count + 1):
                process = Process(
                    role, i, f"{self.network}.{base + i}", ZONES[i % 3]
                )
                self.processes[process.name] = process

    def note(self, text: str) -> None:
        """Writes a line into the record."""
        at = time.monotonic() - self._began_at
        self._record.write(f"{at:9.3f} s  {text}\n")
        self._record.flush()

    def of(self, role: str) -> list[Process]:
        """Returns the processes of a role."""
        return [p for p in self.processes.values() if p.role == role]

    def _settings_of(self, process: Process, bootstrap: bool) -> Headers:
        seeds = [f"{self.network}.{i}:{self.control_port}" for i in (1, 2, 3)]
        is_member = process.role == "member"
        fields = {
            "nodeName": process.name,
            "role": process.role,
            "machineClass": "core" if is_member else "front",
            "serves": "control" if is_member else "front",
            "bindIp": process.host,
            "zone": process.zone,
            "region": "bale-highlands",
            **{f"zones.{zone}": "bale-highlands" for zone in ZONES},
            "portRange": f"{self._link_port},{self._link_port}",
            "seedNodes": ",".join(seeds),
            "bootstrap": str(bootstrap).lower(),
            "countsAsLoss": str(is_member).lower(),
            "limits.cpuShare": "0.86" if is_member else "0.537",
            "limits.cores": "3" if is_member else "2",
            "limits.ramMb": "296" if is_member else "150",
            "limits.maxFds": "4096" if is_member else "4100",
            "limits.diskMb": "128" if is_member else "0",
            "discoverySource": "registry",
            "entryKind": "vip",
            "heartbeatMs": "1200",
            "policies": "base,drain,config,cost,retry,recover,kvcache,"
            "stream,engine,tenants",
            "faultBudget.machines": "2",
            "bounds.seedLagS": "3",
            "bounds.contactMs": "3000",
            "bounds.ackMs": "4000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "8",
            "bounds.applyMs": "2000",
            "bounds.revokeMs": "5000",
            "bounds.retryRatio": "0.2",
            "bounds.retryWindowS": "10",
            "bounds.retrySlack": "56",
            "bounds.requireFence": "false",
            "bounds.leaseMs": "3000",
            "bounds.versionMs": "8000",
            "applyMode": "highest",
        }
        if is_member:
            data = self.temporary / f"data-{process.name}"
            data.mkdir(exist_ok=True)
            fields["dataDir"] = str(data)
            fields["endpoints.control"] = f"{process.host}:{self.control_port}"
        else:
            fields["endpoints.front"] = f"{process.host}:{self.front_port}"
            fields["endpoints.ready"] = f"{process.host}:{self.ready_port}"
        return {**fields, **self._settings}

    def start(self, name: str, bootstrap: bool = False) -> None:
        """Starts a process with the command of the deploy file."""
        process = self.processes[name]
        path = self.temporary / f"{name}.conf"
        fields = self._settings_of(process, bootstrap)
        path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "KNAPWEEDARCH_NODE_FILE": str(path),
        }
        with open(self.temporary / f"{name}.log", "ab") as log:
            process.popen = subprocess.Popen(
                [sys.executable, "platform", process.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self.processes[name]
        if process.lives:
            process.popen.send_signal(signal.SIGKILL)
        process.popen.wait()

    async def send_heartbeat(self, endpoint_id: str, body: dict | bytes) -> int:
        """Sends a heartbeat to one member after the other until one answers.

        Returns:
            The status of the confirmation; 0 if there is none.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        members = self.of("member")
        random.shuffle(members)
        for member in members:
            reply = await call(
                (member.host, self.control_port),
                "PUT",
                f"/api/instances/{endpoint_id}",
                {"Content-Type": "application/json"},
                data,
            )
            if reply is not None and 200 <= reply[0] < 300:
                return reply[0]
        return 0

    async def operate(
        self, method: str, path: str, body: bytes = b"", limit_s: float = 20.0
    ) -> Reply:
        """Makes an operator's call, again and again until it is answered."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            member = random.choice(self.of("member"))
            address = (member.host, self.control_port)
            reply = await call(address, method, path, {}, body, 3.5)
            if reply is not None and reply[0] < 500:
                return reply
            await asyncio.sleep(0.05)
        raise CannotRunError(f"no member answers {method} {path}")

    async def is_ready(self, process: Process) -> bool:
        """Asks as the platform's balancer does."""
        address = (process.host, self.ready_port)
        reply = await call(address, "GET", "/api/ready")
        return reply is not None and reply[0] == 200

    async def open(self, configuration: dict) -> None:
        """Starts all processes and waits until callers may come.

        Raises:
            CannotRunError: They are not ready in time.
        """
        for name in self.processes:
            self.start(name, bootstrap=True)
        for runner in self.runners:
            await runner.start()
        data = json.dumps(configuration).encode()
        status, _, _ = await self.operate("PUT", "/api/config", data)
        if status != 200:
            raise CannotRunError(f"the configuration is refused: {status}")
        deadline = time.monotonic() + START_LIMIT_S
        for proxy in self.of("proxy"):
            while not await self.is_ready(proxy):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{proxy.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("all processes are ready")

    def close(self) -> None:
        """Ends all that was started and removes the temporary folder."""
        for runner in self.runners:
            runner.crash()
        for process in self.processes.values():
            if process.lives:
                process.popen.kill()
                process.popen.wait()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        self._record.close()


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Builds a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 6000,
        "goalMs": 600,
        "priority": 0,
        "service": service,
        "attempts": 1,
        "public": False,
        "sessionAffinity": kind == "streaming",
        "resumable": False,
        "gapTargetMs": 400,
        **fields,
    }


def configuration(
    version: int, routes: list[dict], services: list[dict]
) -> dict:
    """Builds a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "sese880",
                "apiKeys": [KEY],
                "priority": 1,
                "isolated": False,
            }
        ],
    }


def run_case(case: Callable[[bool], Awaitable[bool]]) -> None:
    """Runs a case; exits with 1 if the rule was broken, 2 if it cannot run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        is_broken = asyncio.run(case(has_trouble))
    except (CannotRunError, OSError) as exc:
        print(f"the case cannot run: {exc!r}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
