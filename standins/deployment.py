"""Starts a small deployment of separate processes on loopback.

Used by the demo, the benchmarks and the scenarios that need real processes.
Each deployment has its own loopback address, so that no outgoing connection of
another process can occupy one of its ports.
"""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import attrs
import httpx

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Runs a daemon that can lose its paths to endpoints.
CUT_PROCESS = str(ROOT / "standins" / "cut_process.py")
# What `cut_process` appends to the name of a settings file, and the last number
# of the addresses below those of endpoints.
CUT_SUFFIX = ".cut"
FIRST_ENDPOINT_NUMBER = 200
CREDENTIAL = "loopback-credential-0001"
ENDPOINT_CREDENTIAL = "loopback-endpoint-cred-1"
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0


@attrs.define
class Process:
    """A running process of a deployment.

    Attributes:
        name: Name of the member, router or endpoint.
        popen: The process.
        port: Port that it reported as ready.
        command: Arguments of the Python interpreter.
    """

    name: str
    popen: subprocess.Popen
    port: int
    command: list[str]


class Deployment:
    """Processes of one deployment; a context manager that kills them.

    Attributes:
        folder: Folder of settings, logs and members' data; not removed at exit.
        host: Loopback address of the members and routers.
        processes: Running processes by name.
        metrics_ports: Ports of the metrics pages by process name.
        members: Name, host and port of each member.

    Args:
        members: Number of members.
        can_cut: Whether routers open tunnels for each other, and can lose their
            paths to endpoints, see `cut_process`.
    """

    def __init__(self, members: int = 3, can_cut: bool = False):
        self._can_cut = can_cut
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="knapweedarch-"))
        octets = random.SystemRandom().sample(range(2, 250), 3)
        self.host = "127." + ".".join(map(str, octets))
        self._endpoint_host = "127.0.0.1"
        if can_cut:
            network = f"127.{octets[0]}.{octets[1]}"
            self.host = f"{network}.1"
            self._endpoint_host = f"{network}.{FIRST_ENDPOINT_NUMBER + 1}"
        self.processes: dict[str, Process] = {}
        self.metrics_ports: dict[str, int] = {}
        self._used_ports: set[int] = set()
        names = [f"member-{i}" for i in range(1, members + 1)]
        self.members = [
            {"name": n, "host": self.host, "port": self._free_port()}
            for n in names
        ]

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exc_info) -> None:
        for name in list(self.processes):
            self.kill(name)

    def _free_port(self) -> int:
        while True:
            with socket.socket() as probe:
                probe.bind((self.host, 0))
                port = probe.getsockname()[1]
            # The kernel may name a port again that nothing listens on yet.
            if port not in self._used_ports:
                self._used_ports.add(port)
                return port

    def _start(self, name: str, command: list[str]) -> Process:
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        path = self.folder / f"{name}.log"
        with open(path, "ab") as log:
            log_offset = log.tell()
            popen = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        port = self._await_port(popen, path, log_offset)
        process = Process(name, popen, port, command)
        self.processes[name] = process
        return process

    def _await_port(self, popen, path: pathlib.Path, log_offset: int) -> int:
        """Returns the port from the `ready` line that the process logs.

        Raises:
            RuntimeError: The process ended or was not ready in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and popen.poll() is None:
            lines = path.read_bytes()[log_offset:].decode().splitlines()
            for line in lines:
                if line.startswith("ready "):
                    return int(line.split()[1])
            time.sleep(0.02)
        popen.kill()
        text = path.read_text()[-2000:]
        raise RuntimeError(f"process {path.stem} did not start: {text}")

    def _write_settings(self, name: str, content: dict) -> str:
        path = self.folder / f"{name}.json5"
        common = {"name": name, "credential": CREDENTIAL}
        common["members"] = self.members
        if "role" in content:
            port = self.metrics_ports.setdefault(name, self._free_port())
            common["metrics"] = {"host": self.host, "port": port}
        path.write_text(json.dumps({**common, **content}, indent=2))
        return str(path)

    def _start_daemon(self, name: str, content: dict) -> Process:
        path = self._write_settings(name, content)
        program = ["-m", "knapweedarch.daemon"]
        if self._can_cut and content["role"] == "router":
            program = [CUT_PROCESS]
        return self._start(name, [*program, "--settings", path])

    def set_paths_cut(self, name: str, mode: str) -> None:
        """Cuts a router off from all endpoints, or joins it again.

        Args:
            name: The router.
            mode: How connections fail, see `cut_process`; empty to join it.
        """
        path = pathlib.Path(self.folder / f"{name}.json5{CUT_SUFFIX}")
        if mode:
            path.write_text(mode)
        else:
            path.unlink()

    def start_member(self, name: str) -> Process:
        """Starts a member; a restarted one keeps its journal."""
        address = next(m for m in self.members if m["name"] == name)
        folder = self.folder / f"data-{name}"
        folder.mkdir(exist_ok=True)
        return self._start_daemon(
            name,
            {
                "role": "member",
                "data_centre": f"dc-{name[-1]}",
                "listen": {"host": address["host"], "port": address["port"]},
                "data_folder": str(folder),
                "snapshot_every": 200,
            },
        )

    def start_router(self, name: str, port: int = 0, **extra) -> Process:
        """Starts a router; a restarted one may be given its previous port."""
        return self._start_daemon(
            name,
            {
                "role": "router",
                "data_centre": f"dc-{name[-1]}",
                "listen": {"host": self.host, "port": port},
                "endpoint_credential": ENDPOINT_CREDENTIAL,
                "distances_ms": {"dc-1": 5, "dc-2": 5, "dc-3": 5},
                "drain_s": 10,
                **self._tunnel_settings(),
                **extra,
            },
        )

    def _tunnel_settings(self) -> dict:
        if not self._can_cut:
            return {}
        return {"tunnels": {"host": self.host, "port": 0}}

    def url(self, name: str) -> str:
        """Returns the base URL of a process."""
        process = self.processes[name]
        is_daemon = "--settings" in process.command
        host = self.host if is_daemon else self._endpoint_host
        return f"http://{host}:{process.port}"

    def _start_endpoint(self, module: str, name: str, arguments: list[str]):
        routers = ",".join(
            self.url(p) for p in self.processes if p.startswith("router")
        )
        return self._start(
            name,
            [
                *("-m", f"standins.{module}", "--id", name),
                *("--routers", routers, "--credential", ENDPOINT_CREDENTIAL),
                *("--host", self._endpoint_host),
                *arguments,
            ],
        )

    def start_runner(self, name: str, model: str, **options) -> Process:
        """Starts a stand-in runner."""
        arguments = ["--model", model]
        for key, value in {"version": "w1", **options}.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        return self._start_endpoint("runner", name, arguments)

    def start_service(self, name: str, service: str, **options) -> Process:
        """Starts a stand-in plain service."""
        arguments = ["--service", service]
        for key, value in options.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        return self._start_endpoint("desk", name, arguments)

    def write_tool_settings(self) -> str:
        """Writes the settings of the command-line tool and returns the path."""
        path = self.folder / "tool.json5"
        content = {"members": self.members, "credential": CREDENTIAL}
        path.write_text(json.dumps(content))
        return str(path)

    def tool(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs the command-line tool."""
        return subprocess.run(
            [
                *(sys.executable, "-m", "knapweedarch.cli", *arguments),
                *("--settings", self.write_tool_settings()),
            ],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            capture_output=True,
            text=True,
            timeout=30,
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one of the deployment's own processes."""
        os.kill(self.processes[name].popen.pid, number)

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self.processes.pop(name)
        process.popen.kill()
        process.popen.wait()

    def stop(self, name: str) -> int:
        """Stops a process gracefully and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: It did not exit within `STOP_TIMEOUT_S`.
        """
        process = self.processes[name]
        process.popen.send_signal(signal.SIGTERM)
        # Stays in `processes` until it exits, because it still serves requests
        # while it drains.
        code = process.popen.wait(STOP_TIMEOUT_S)
        del self.processes[name]
        return code

    def wait_for(self, condition: str, probe, limit_s: float = START_TIMEOUT_S):
        """Polls `probe` until it returns a true value, and returns that value.

        HTTP errors of the probe count as false.

        Raises:
            TimeoutError: `probe` returned no true value within the limit.
        """
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            try:
                if found := probe():
                    return found
            except httpx.HTTPError:
                pass
            time.sleep(0.02)
        raise TimeoutError(
            f"timed out after {limit_s} s waiting for: {condition}"
        )

    def metrics_page(self, name: str) -> str:
        """Fetches the metrics page of a process."""
        url = f"http://{self.host}:{self.metrics_ports[name]}/metrics"
        return httpx.get(url).text

    def wait_ready(self, router: str, limit_s: float = START_TIMEOUT_S) -> None:
        """Waits until a router is ready."""
        self.wait_for(
            f"{router} ready",
            lambda: httpx.get(f"{self.url(router)}/ready").status_code == 200,
            limit_s,
        )
