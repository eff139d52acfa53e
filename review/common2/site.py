"""A small deployment on loopback: members, proxies, servers, an operator."""

import asyncio
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
from collections.abc import Awaitable, Callable

from common2.record import Record
from common2.runner import Runner
from common2.wire import Message, exchange

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("dinsho", "sanetti", "rira")
HOST = "shop.example"
START_S = 25.0
# As in the sheet of tesfaye-huts.
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
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The case could not be brought about."""


def stream_route(name: str, service: str) -> dict:
    """Returns a route to model runners."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": "streaming",
        "timeoutMs": 15000,
        "goalMs": 600,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
        "sessionAffinity": True,
        "resumable": True,
        "gapTargetMs": 400,
    }


def once_route(name: str, service: str) -> dict:
    """Returns a route to a plain service whose requests run once."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": "non_idempotent",
        "timeoutMs": 1500,
        "goalMs": 145,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "public": False,
        "sessionAffinity": False,
        "resumable": False,
        "gapTargetMs": 0,
    }


def model_service(name: str, *models: str) -> dict:
    """Returns a service of model runners."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 300,
        "protocol": "h1",
        "tls": False,
        "backendEngine": {
            "concurrency": 48,
            "kvCapacity": 70946,
            "kvTokenBytes": 131072,
            "linkMbps": 280000.0,
            "migrations": True,
            "backups": True,
            "interval": 4,
            "maxInflight": 12,
            "pinMs": 4000.0,
            "holdMs": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": model} for model in models],
        },
    }


def plain_service(name: str) -> dict:
    """Returns a plain service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
    }


class Site:
    """The processes of a deployment and what is around them.

    Args:
        folder: Folder of the case.

    Attributes:
        record: The record of the script.
        runners: The servers.
        processes: Processes by name: `member-N` and `proxy-N`.
        hosts: Addresses of the processes by name.
    """

    def __init__(self, folder: pathlib.Path):
        self.record = Record(folder)
        self.runners: list[Runner] = []
        self.processes: dict[str, subprocess.Popen] = {}
        self.hosts: dict[str, str] = {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        second, third = random.SystemRandom().sample(range(2, 250), 2)
        self._network = f"127.{second}.{third}"
        self._ports = _free_ports(f"{self._network}.1", 4)
        self._requests = 0
        self._tolerated = 1

    @property
    def _link_port(self) -> int:
        return self._ports[0]

    def controls(self) -> list[tuple[str, int]]:
        """Returns the control addresses."""
        return [
            self.control(name)
            for name in self.hosts
            if name.startswith("member")
        ]

    def control(self, name: str) -> tuple[str, int]:
        """Returns the control address of a member."""
        return self.hosts[name], self._ports[1]

    def front(self, name: str) -> tuple[str, int]:
        """Returns the address of a proxy for clients."""
        return self.hosts[name], self._ports[2]

    def fronts(self) -> list[str]:
        """Returns the names of the proxies."""
        return [name for name in self.hosts if name.startswith("proxy")]

    async def start(
        self, members: int = 3, proxies: int = 2, tolerated: int = 1
    ) -> None:
        """Starts members and proxies for the first time.

        Args:
            members: Number of members.
            proxies: Number of proxies.
            tolerated: Members that may be lost at once.
        """
        self._tolerated = tolerated
        for number in range(1, members + 1):
            self.hosts[f"member-{number}"] = f"{self._network}.{number}"
        for number in range(1, proxies + 1):
            self.hosts[f"proxy-{number}"] = f"{self._network}.{100 + number}"
        for name in self.hosts:
            self.write_settings(name, bootstrap=True)
            self.start_process(name)

    def write_settings(self, name: str, bootstrap: bool) -> None:
        """Writes the settings file of a process."""
        role, _, number = name.partition("-")
        host, zone = self.hosts[name], ZONES[int(number) % len(ZONES)]
        seeds = [f"{self._network}.{i}:{self._ports[1]}" for i in (1, 2, 3)]
        is_member = role == "member"
        fields = {
            "nodeName": name,
            "role": role,
            "machineClass": "core" if is_member else "front",
            "serves": "control" if is_member else "front",
            "bindIp": host,
            "zone": zone,
            "region": "bale-highlands",
            **{f"zones.{z}": "bale-highlands" for z in ZONES},
            "portRange": f"{self._link_port},{self._link_port}",
            "seedNodes": ",".join(seeds),
            "bootstrap": str(bootstrap).lower(),
            "countsAsLoss": str(is_member).lower(),
            "discoverySource": "registry",
            "entryKind": "vip",
            "heartbeatMs": 1200,
            "policies": "base,drain,config,cost,retry,recover,kvcache,stream,"
            "engine,tenants",
            "faultBudget.machines": self._tolerated,
            "faultBudget.zones": 0,
            "faultBudget.regions": 0,
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            "applyMode": "highest",
        }
        if is_member:
            data = self._folder / f"data-{name}"
            data.mkdir(exist_ok=True)
            fields["dataDir"] = data
            fields["endpoints.control"] = f"{host}:{self._ports[1]}"
        else:
            fields["endpoints.front"] = f"{host}:{self._ports[2]}"
            fields["endpoints.ready"] = f"{host}:{self._ports[3]}"
        text = "".join(f"{key}={value}\n" for key, value in fields.items())
        (self._folder / f"{name}.conf").write_text(text)

    def start_process(self, name: str) -> None:
        """Starts a process with the command of the deploy file."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        settings = self._folder / f"{name}.conf"
        environment["KNAPWEEDARCH_NODE_FILE"] = str(settings)
        role = name.partition("-")[0]
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "platform", role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the deployment."""
        self.record.write("signal", process=name, signal=number.name)
        self.processes[name].send_signal(number)

    def log_text(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self._folder / f"{name}.log").read_text()

    def leader(self) -> str:
        """Returns the name of the member that said last that it leads.

        Raises:
            CannotRunError: None has.
        """
        found = {}
        for name in self.processes:
            for line in self.log_text(name).splitlines():
                if '"leader_started"' in line:
                    found[name] = json.loads(line)["fields"]["term"]
        if not found:
            raise CannotRunError("no member leads")
        return max(found, key=found.get)

    async def add_runner(
        self,
        name: str,
        service: str,
        models: dict[str, int] | None = None,
        kind: type[Runner] = Runner,
    ) -> Runner:
        """Starts a server."""
        number = len(self.runners) + 1
        runner = kind(
            *(name, f"{self._network}.{200 + number}"),
            *(ZONES[number % len(ZONES)], service, models or {}),
            *(self.controls, self.record),
        )
        self.runners.append(runner)
        await runner.start()
        return runner

    async def call_control(
        self, method: str, path: str, document: object = None
    ) -> Message:
        """Makes an operator's call, to one node after the other.

        Raises:
            CannotRunError: There was no clear answer in time.
        """
        body = b"" if document is None else json.dumps(document).encode()
        until = self.record.now() + START_S
        while self.record.now() < until:
            address = random.choice(self.controls())
            answer = await exchange(
                *(address, method, path, {"Content-Type": "application/json"}),
                *(body, 1.0),
            )
            if answer is not None and answer.status < 500:
                self.record.write(
                    *("control",),
                    method=method,
                    path=path,
                    document=document,
                    status=answer.status,
                )
                return answer
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no answer to {method} {path}")

    async def put_config(self, document: dict) -> None:
        """Sends a configuration until it is confirmed.

        Raises:
            CannotRunError: It was refused.
        """
        answer = await self.call_control("PUT", "/api/config", document)
        if answer.status != 200:
            raise CannotRunError(f"the configuration got {answer.status}")

    async def wait(
        self, probe: Callable[[], Awaitable[bool]], limit_s: float = START_S
    ) -> None:
        """Waits until a probe returns true.

        Raises:
            CannotRunError: It did not within the limit.
        """
        until = self.record.now() + limit_s
        while not await probe():
            if self.record.now() > until:
                raise CannotRunError(f"{probe} was not true in time")
            await asyncio.sleep(0.1)

    async def wait_ready(self) -> None:
        """Waits until all proxies say that they are ready."""
        for name in self.fronts():
            address = self.hosts[name], self._ports[3]

            async def is_ready(address=address) -> bool:
                answer = await exchange(address, "GET", "/api/ready")
                return answer is not None and answer.status == 200

            await self.wait(is_ready)

    async def request(
        self,
        front: str,
        path: str,
        key: str,
        model: str = "",
        parts: str = "",
        tokens: int = 5,
        limit_ms: int = 6000,
    ) -> tuple[str, Message | None]:
        """Sends a client's request; returns its id and the answer."""
        self._requests += 1
        name = f"{self._requests:016x}"
        headers = {
            "Host": HOST,
            "X-Knapweedarch-Request-Id": name,
            "X-Knapweedarch-Deadline-Ms": str(limit_ms),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        if model:
            shared = parts or "a1:1000"
            own = f"{shared},{name[-8:]}:90"
            total = sum(int(e.partition(":")[2]) for e in own.split(","))
            headers["X-Knapweedarch-Model"] = model
            headers["X-Knapweedarch-Token-Count"] = f"{total},{tokens}"
            headers["X-Knapweedarch-Prefix-Hash"] = own
        self.record.write("sent", request=name, front=front, path=path, key=key)
        answer = await exchange(
            *(self.front(front), "POST", path, headers, b"{}"),
            limit_s=limit_ms / 1000 + 1,
        )
        self.record.write(
            *("answered",),
            request=name,
            status=answer.status if answer else None,
            whole=bool(answer and answer.is_whole),
        )
        return name, answer

    def run_services(self, name: str) -> list[str]:
        """Returns the services at which a request ran."""
        return [
            run["service"]
            for runner in self.runners
            for run in runner.runs
            if run["request"] == name
        ]

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder)


def _free_ports(host: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return [probe.getsockname()[1] for probe in probes]


def run_case(
    folder: pathlib.Path,
    case: Callable[[Site, bool], Awaitable[bool]],
    limit_s: float = 115.0,
) -> int:
    """Runs a case; returns the exit code of its script.

    Args:
        folder: Folder of the case.
        case: Brings the case about; gets the site and whether there is
            trouble, and returns whether the rule was broken.
        limit_s: Longest time in seconds.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(site, is_troubled)

    # So that an ended script ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site(folder)
    try:
        is_broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as exc:
        site.record.write("cannot_run", reason=repr(exc))
        print(f"could not run: {exc!r}")
        return 2
    finally:
        site.close()
    site.record.write("result", broken=is_broken, trouble=is_troubled)
    print("the rule was broken" if is_broken else "the rule held")
    return int(is_broken)
