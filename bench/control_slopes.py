"""Measures the cost of the control group for docs/CAPACITY.md.

Most costs are measured at three sizes, to show how they grow. Run
`python -m bench.control_slopes`. Some measurements need no other process; each
of the others starts its own member process, and either connects to it as
routers do or starts a router or stand-in runners. All processes use loopback
only and are stopped at the end of their measurement.
"""

import os
import resource
import sys
import time
import tracemalloc

import anyio
import httpx

from knapweedarch import control, links
from knapweedarch.control import CONTROL
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.rules import parse_rules
from knapweedarch.state import (
    COMMANDS,
    Announce,
    ControlState,
    EndpointEntry,
    PutRules,
    Reserve,
    Settle,
    record_key,
)
from knapweedarch.state import RecordStatus as Status
from knapweedarch.timers import Clock
from standins.deployment import (
    CREDENTIAL,
    ENDPOINT_CREDENTIAL,
    Deployment,
)

RENEWALS_PER_S = 2.0

# Length of one measurement of CPU time or feed bytes.
WINDOW_S = 5.0

# Time that the routers keep renewing after a rule change is submitted.
CHANGE_WINDOW_S = 6.0

# Numbers of runners whose feeds one router follows.
FEED_COUNTS = (0, 3, 9)
ROUTER_COUNTS = (35, 100, 350)
RECORD_COUNTS = (1_000, 10_000, 50_000)
ENDPOINT_COUNTS = (60, 200, 600)
CUSTOMER_COUNTS = (230, 1_000, 2_300)
ANSWER_BYTES = 500

# Framing of an HTTP chunk: a size of two hex digits and two line ends.
CHUNK_FRAME_BYTES = 6


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    with open(f"/proc/{pid}/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1e6


def print_row(*cells: object) -> None:
    """Prints one row of the table."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


async def _renew_lease(
    cluster: Deployment, number: int, stop_at: float
) -> None:
    """Renews a lease as a router does, without serving requests."""
    member = cluster.members[0]
    message_received = anyio.Event()

    async def on_message(link: links.Link, message: object) -> None:
        message_received.set()

    async with anyio.create_task_group() as group:
        link = await links.connect(
            *(member["host"], member["port"], CREDENTIAL.encode()),
            *(CONTROL, on_message),
        )
        group.start_soon(link.run)
        await anyio.sleep(number % 100 / 100 / RENEWALS_PER_S)
        applied = version = revision = 0
        while time.monotonic() < stop_at:
            renew = control.Renew(
                f"r{number}", f"i{number}", version, revision, applied
            )
            grant = await link.call(renew, 2.0)
            changed = False
            if isinstance(grant, control.Grant):
                changed = grant.rules_text is not None
                applied, version = grant.applied, grant.rules_version
                revision = grant.revision
            # A router renews at once after applying a change, to confirm it.
            if not changed:
                with anyio.move_on_after(1 / RENEWALS_PER_S):
                    await message_received.wait()
                    message_received = anyio.Event()
        group.cancel_scope.cancel()


async def _measure_renewals(
    cluster: Deployment, count: int
) -> tuple[float, float]:
    """Returns the member's CPU share and memory in MB with `count` routers."""
    pid = cluster.processes[cluster.members[0]["name"]].popen.pid
    stop_at = time.monotonic() + WINDOW_S + 3
    cpu_share = 0.0
    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(_renew_lease, cluster, number, stop_at)
        await anyio.sleep(2)
        before = cpu_s(pid)
        await anyio.sleep(WINDOW_S)
        cpu_share = (cpu_s(pid) - before) / WINDOW_S
    return cpu_share, resident_mb(pid)


def measure_leases() -> None:
    """Measures the leader's CPU and memory cost of router leases."""
    print("\n## Leases at the leader")
    print_row("routers", "share of a core", "MB", "us per renewal over idle")
    with Deployment(members=1) as cluster:
        cluster.start_member("member-1")
        if cluster.tool("form").returncode:
            raise SystemExit("`form` failed: there is no control group")
        idle, _ = anyio.run(_measure_renewals, cluster, 0)
        print_row(0, f"{idle:.4f}", "-", "-")
        for count in ROUTER_COUNTS:
            cpu_share, megabytes = anyio.run(_measure_renewals, cluster, count)
            per_renewal = (cpu_share - idle) / (count * RENEWALS_PER_S) * 1e6
            print_row(
                *(count, f"{cpu_share:.4f}"),
                *(f"{megabytes:.0f}", f"{per_renewal:.0f}"),
            )


async def _measure_rule_change(
    cluster: Deployment, count: int
) -> tuple[float, float]:
    """Measures one change to a rule file of the largest size.

    Returns:
        The seconds until the change is applied, and the member's CPU time in
        seconds.
    """
    address = control.MemberAddress(**cluster.members[0])
    pid = cluster.processes[address.name].popen.pid
    stop_at = time.monotonic() + 3 + CHANGE_WINDOW_S
    elapsed_s = cpu_used_s = 0.0
    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(_renew_lease, cluster, number, stop_at)
        await anyio.sleep(3)
        client = control.create_control_client(
            [address], CREDENTIAL.encode(), Clock()
        )
        async with client:
            version = (await client.status()).rules_version
            text = rule_text(max(CUSTOMER_COUNTS))
            before, started = cpu_s(pid), time.monotonic()
            order = PutRules(f"change-{count}", version, text)
            await client.submit(order, 30.0)
            elapsed_s = time.monotonic() - started
            cpu_used_s = cpu_s(pid) - before
    return elapsed_s, cpu_used_s


def measure_changes() -> None:
    """Measures the time until all routers have applied a rule change."""
    print("\n## Rule change with 2,300 customers")
    print_row("routers", "seconds until applied", "CPU seconds at the leader")
    with Deployment(members=1) as cluster:
        cluster.start_member("member-1")
        if cluster.tool("form").returncode:
            raise SystemExit("`form` failed: there is no control group")
        for count in ROUTER_COUNTS:
            elapsed_s, cpu_used_s = anyio.run(
                _measure_rule_change, cluster, count
            )
            print_row(count, f"{elapsed_s:.2f}", f"{cpu_used_s:.2f}")


def measure_feeds() -> None:
    """Measures the CPU and memory use of an idle router's lease and feeds."""
    print("\n## Idle router")
    print_row("runners followed", "share of a core", "MB")
    with Deployment(members=1) as cluster:
        cluster.start_member("member-1")
        if cluster.tool("form").returncode:
            raise SystemExit("`form` failed: there is no control group")
        cluster.start_router("router-1")
        cluster.wait_ready("router-1")
        pid = cluster.processes["router-1"].popen.pid
        for runner_count in FEED_COUNTS:
            running = sum(n.startswith("runner") for n in cluster.processes)
            for number in range(running, runner_count):
                cluster.start_runner(f"runner-{number}", "guide")
            time.sleep(2)
            before = cpu_s(pid)
            time.sleep(WINDOW_S)
            cpu_share = (cpu_s(pid) - before) / WINDOW_S
            print_row(
                runner_count, f"{cpu_share:.4f}", f"{resident_mb(pid):.0f}"
            )


def measure_feed_bytes() -> None:
    """Measures the bytes per second of an idle runner's feed."""
    print("\n## Bytes of an idle feed")
    print_row("seconds", "bytes/s with chunk framing")
    with Deployment(members=1) as cluster:
        cluster.start_member("member-1")
        cluster.start_router("router-1")
        cluster.start_runner("runner-1", "guide")
        headers = {"authorization": f"Bearer {ENDPOINT_CREDENTIAL}"}
        url = f"{cluster.url('runner-1')}/feed"
        total, started = 0, time.monotonic()
        with httpx.stream("GET", url, headers=headers) as feed:
            for part in feed.iter_raw():
                total += len(part) + CHUNK_FRAME_BYTES
                if time.monotonic() > started + WINDOW_S:
                    break
        seconds = time.monotonic() - started
        print_row(f"{seconds:.1f}", f"{total / seconds:.0f}")


def measure_messages() -> None:
    """Measures the bytes of a lease renewal, its answer and an endpoint."""
    print("\n## Bytes on a router's control link")
    renew = control.Renew("router-17", "0123456789abcdef", 320, 9000, 10**6)
    grant = control.Grant(2.0, 10**6, 320, None, 9000, (), 350)
    # 20 bytes are added for the frame of the call or reply.
    sizes = [len(CONTROL.encode(m)) + 20 for m in (renew, grant)]
    print_row("renewal", "grant", "bytes/s at 2 renewals/s and keep-alives")
    # Both ends send keep-alives, counted as 13 bytes each.
    keep_alive = 2 * 13 / links.KEEP_ALIVE_INTERVAL_S
    print_row(*sizes, f"{sum(sizes) * RENEWALS_PER_S + keep_alive:.0f}")
    entries = tuple(EndpointEntry(_endpoint(n), n) for n in range(600))
    full_grant = control.Grant(2.0, 10**6, 320, None, 9000, entries, 350)
    bytes_per_endpoint = (
        len(CONTROL.encode(full_grant)) - len(CONTROL.encode(grant))
    ) / 600
    print(f"{bytes_per_endpoint:.0f} bytes for each endpoint in a grant")


def _endpoint(number: int) -> Endpoint:
    return Endpoint(
        *(f"runner-{number}", f"{number:016x}"),
        *(f"http://10.0.0.1:{8000 + number}", EndpointKind.RUNNER),
        *(("guide",), "w1", "dc-1", 64, 163_000),
    )


def _filled_state(records: int, endpoints: int) -> ControlState:
    state = ControlState()
    for number in range(endpoints):
        state.apply(COMMANDS.encode(Announce(_endpoint(number))))
    answer = b"x" * ANSWER_BYTES
    for number in range(records):
        key = record_key("counter", "booking", f"key-{number}")
        holder = f"0123456789abcdef/{number}"
        state.apply(
            COMMANDS.encode(Reserve(key, b"d" * 32, holder, number * 0.1))
        )
        settle = Settle(key, holder, Status.DONE, 200, "a/json", answer)
        state.apply(COMMANDS.encode(settle))
    return state


def measure_state() -> None:
    """Measures the control state.

    The table shows the CPU time per command, the memory per record or endpoint
    and the CPU time of a snapshot.
    """
    print("\n## Control state")
    print_row(
        "records", "endpoints", "us per command", "bytes each", "snapshot ms"
    )
    sizes = [(n, 0) for n in RECORD_COUNTS] + [(0, n) for n in ENDPOINT_COUNTS]
    for records, endpoints in sizes:
        started = time.process_time()
        _filled_state(records, endpoints)
        commands = records * 2 + endpoints
        command_us = (time.process_time() - started) / commands * 1e6
        tracemalloc.start()
        state = _filled_state(records, endpoints)
        size = tracemalloc.get_traced_memory()[0] / (records + endpoints)
        tracemalloc.stop()
        started = time.process_time()
        state.snapshot()
        snapshot_ms = (time.process_time() - started) * 1e3
        print_row(
            *(records, endpoints, f"{command_us:.0f}"),
            *(f"{size:.0f}", f"{snapshot_ms:.1f}"),
        )


def rule_text(customers: int) -> str:
    """Builds a rule file with the given number of customers."""
    lines = ["model guide version=w1  # asked by bench"]
    lines += [
        f"customer c{n} key=sha256:{n:064x} class=guest rate=50 concurrent=20"
        " share=2  # asked by bench: slope"
        for n in range(customers)
    ]
    return "\n".join(lines) + "\n"


def measure_rules() -> None:
    """Measures rule files: size, CPU time to parse one and to apply one."""
    print("\n## Rule file")
    print_row("customers", "bytes", "parse ms", "command ms")
    for customers in CUSTOMER_COUNTS:
        text = rule_text(customers)
        started = time.process_time()
        parse_rules(text)
        parse_ms = (time.process_time() - started) * 1e3
        started = time.process_time()
        ControlState().apply(COMMANDS.encode(PutRules("a", 0, text)))
        command_ms = (time.process_time() - started) * 1e3
        print_row(customers, len(text), f"{parse_ms:.1f}", f"{command_ms:.2f}")


def main() -> int:
    """Runs all measurements; returns the exit code."""
    measure_messages()
    measure_rules()
    measure_state()
    measure_leases()
    measure_changes()
    measure_feeds()
    measure_feed_bytes()
    return 0


if __name__ == "__main__":
    sys.exit(main())
