"""Measures the gateway's added latency and its CPU time per relayed token.

The gateway, the runners and the caller are separate processes on loopback.
CPU time is user and system time of the gateway process alone. Runs differ in
whether the tokens of one stream arrive separately.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio
import anyio.abc
import defopt
import httpx
from hdrh.histogram import HdrHistogram

from knapweedarch.gateway import configure_listener, create_app
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.state import ControlState
from standins import serving
from standins.fake_router import AUTHORIZATION, CREDENTIAL, FakeRouter

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROMPT = "Which way to the plateau? " * 80
MICROSECONDS = 1_000_000
MAX_LATENCY_US = 60_000_000

# Requests of the latency measurement that are sent first and not recorded.
WARM_UP_STREAMS = 20


def start_module(*arguments: str) -> tuple[subprocess.Popen, int]:
    """Starts a Python module; returns the process and the port it prints."""
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        stdout=subprocess.PIPE,
    )
    line = process.stdout.readline().decode()
    return process, int(line.split()[1])


def cpu_s(process: subprocess.Popen) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    user, system = fields.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def request_bytes(max_tokens: int, headers: dict[str, str]) -> bytes:
    """Builds a streaming chat request."""
    body = json.dumps(
        {
            "model": "guide",
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": max_tokens,
            "stream": True,
        }
    ).encode()
    fields = {"host": "bench", "content-length": str(len(body)), **headers}
    header_lines = "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()
    )
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\n{header_lines}\r\n".encode()
        + body
    )


async def stream_once(
    connection: anyio.abc.SocketStream, request: bytes
) -> tuple[float, int]:
    """Sends a request and reads the whole answer.

    Returns:
        The seconds to the first event, and the number of events.
    """
    started = time.perf_counter()
    await connection.send(request)
    first_s, events, tail = 0.0, 0, b""
    while not tail.endswith(b"\r\n0\r\n\r\n"):
        data = await connection.receive(65536)
        event_count = data.count(b'"offset"')
        if event_count and not events:
            first_s = time.perf_counter() - started
        events += event_count
        tail = (tail + data)[-16:]
    return first_s, events


async def measure_latency(
    port: int, headers: dict[str, str], count: int
) -> HdrHistogram:
    """Measures the time to the first event of sequential requests.

    Returns:
        A histogram in microseconds.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    request = request_bytes(1, headers)
    async with await anyio.connect_tcp("127.0.0.1", port) as connection:
        for number in range(count + WARM_UP_STREAMS):
            first_s, _ = await stream_once(connection, request)
            if number >= WARM_UP_STREAMS:
                histogram.record_value(round(first_s * MICROSECONDS))
    return histogram


async def measure_streams(
    port: int, streams: int, tokens: int, rounds: int
) -> int:
    """Runs streams concurrently, several in turn on each connection.

    Returns:
        The number of events, each of which holds one token.
    """
    request = request_bytes(tokens, AUTHORIZATION)
    total = 0

    async def run() -> None:
        nonlocal total
        async with await anyio.connect_tcp("127.0.0.1", port) as connection:
            for _ in range(rounds):
                _, events = await stream_once(connection, request)
                total += events

    async with anyio.create_task_group() as group:
        for _ in range(streams):
            group.start_soon(run)
    return total


async def serve_gateway(runner_ports: list[int], profile: str) -> None:
    """Serves a gateway with a fake router until SIGTERM."""
    router = FakeRouter("bench", ControlState())
    router.rotate = True
    for port in runner_ports:
        url = f"http://127.0.0.1:{port}"
        async with httpx.AsyncClient(trust_env=False) as client:
            stats = (await client.get(f"{url}/stats")).json()
        router.runners.append(
            Endpoint(
                *(f"runner-{port}", stats["incarnation"], url),
                *(EndpointKind.RUNNER, ("guide",), "w1"),
            )
        )
    listener = serving.open_listener("127.0.0.1", 0)
    configure_listener(listener)
    stop = anyio.Event()
    print(f"ready {listener.getsockname()[1]}", flush=True)
    async with anyio.create_task_group() as group:
        group.start_soon(
            serving.serve_app, create_app(router), listener, stop, 1.0
        )
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                break
        stop.set()


def gateway(*, runners: str, profile: str = "") -> None:
    """Runs the gateway process of the benchmark.

    :param runners: Ports of the runners, separated by commas.
    :param profile: File for cProfile statistics.
    """
    ports = [int(port) for port in runners.split(",")]
    if not profile:
        return anyio.run(serve_gateway, ports, profile)
    import cProfile

    profiler = cProfile.Profile()
    profiler.runcall(anyio.run, serve_gateway, ports, profile)
    profiler.dump_stats(profile)


def bench(
    *,
    runners: int = 4,
    streams: int = 92,
    tokens: int = 200,
    token_ms: float = 20.0,
    rounds: int = 2,
    latency_requests: int = 1000,
    profile: str = "",
) -> None:
    """Measures added latency and CPU time per token.

    :param runners: Number of stand-in runners.
    :param streams: Concurrent streams.
    :param tokens: Tokens per stream.
    :param token_ms: Time between two tokens of a stream in milliseconds.
    :param rounds: Sequential streams on each connection.
    :param latency_requests: Requests for the latency measurement; 0 skips it.
    :param profile: File for cProfile statistics of the gateway.
    """
    print_machine_speed()
    processes = []
    try:
        ports = []
        for number in range(runners + 1):
            # The last runner answers without delay; it is used for latency.
            pace = token_ms if number < runners else 0.0
            process, port = start_module(
                *("standins.runner", "--id", f"runner-{number}"),
                *("--model", "guide", "--credential", CREDENTIAL),
                *("--token-ms", str(pace), "--slots", "1000"),
            )
            processes.append(process)
            ports.append(port)
        fast_gateway, fast_port = start_module(
            "bench.relay_bench", "gateway", "--runners", str(ports[-1])
        )
        processes.append(fast_gateway)
        paced_gateway, paced_port = start_module(
            *("bench.relay_bench", "gateway"),
            *("--runners", ",".join(map(str, ports[:-1]))),
            *(("--profile", profile) if profile else ()),
        )
        processes.append(paced_gateway)
        if latency_requests:
            print_latency(ports[-1], fast_port, latency_requests)
        print_cpu(paced_gateway, paced_port, streams, tokens, rounds)
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


def print_machine_speed() -> None:
    """Prints the machine's present speed and load, to compare runs."""
    event = json.dumps({"text": "seal34 " * 30})
    started = time.process_time()
    for _ in range(20_000):
        json.loads(event)
    spent = time.process_time() - started
    load = os.getloadavg()[0]
    print(
        f"json.loads of {len(event)} characters takes "
        f"{spent / 20_000 * MICROSECONDS:.2f} us; load average {load:.1f}"
    )


def print_latency(runner_port: int, gateway_port: int, count: int) -> None:
    """Prints the time to the first event with and without the gateway."""
    direct = anyio.run(
        measure_latency,
        runner_port,
        {"authorization": f"Bearer {CREDENTIAL}"},
        count,
    )
    through = anyio.run(measure_latency, gateway_port, AUTHORIZATION, count)
    for percentile in (50, 99):
        direct_us = direct.get_value_at_percentile(percentile)
        gateway_us = through.get_value_at_percentile(percentile)
        print(
            f"first event p{percentile}: direct {direct_us} us, "
            f"through the gateway {gateway_us} us, "
            f"added {gateway_us - direct_us} us"
        )


def print_cpu(
    process: subprocess.Popen,
    port: int,
    streams: int,
    tokens: int,
    rounds: int,
) -> None:
    """Prints the gateway's CPU time per relayed event, that is per token."""
    anyio.run(measure_streams, port, streams, 10, 1)
    cpu, wall = cpu_s(process), time.perf_counter()
    events = anyio.run(measure_streams, port, streams, tokens, rounds)
    cpu, wall = cpu_s(process) - cpu, time.perf_counter() - wall
    print(
        f"{events} events in {wall:.1f} s, {events / wall:.0f}/s: "
        f"{cpu / events * MICROSECONDS:.1f} us of CPU per event, "
        f"{cpu / wall:.2f} cores"
    )


if __name__ == "__main__":
    defopt.run([bench, gateway])
