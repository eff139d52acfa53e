"""Measures how the cost of scheduling grows, for capacity planning.

`python -m bench.slopes` prints the table and writes it into
docs/BENCHMARKS.md. Times are CPU time of one thread and vary between runs;
each is the minimum of several repetitions.
"""

import argparse
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from bench import decisions, report, scenarios, variants, workloads, world
from knapweedarch import index, models, prefixes, scheduler

ENDPOINT_COUNTS = (9, 100, 600)

# Numbers of blocks in the index.
INDEX_SIZES = (10_000, 100_000, 400_000)
PROMPT_SIZES_MIB = (1, 4, 16)
WINDOWS_S = (0.1, 1.0, 5.0)
REPEATS = 5
CHAIN_BLOCKS = 40

# Number of runners that cache each block.
REPLICAS = 2


def min_cpu_us(action: Callable[[], int]) -> float:
    """Returns CPU microseconds per operation, the minimum of all repeats.

    The action returns the number of operations.
    """
    best = float("inf")
    for _ in range(REPEATS):
        start = time.process_time_ns()
        count = action()
        best = min(best, (time.process_time_ns() - start) / 1000 / count)
    return best


def make_endpoints(count: int) -> list[models.Endpoint]:
    """Creates runners of one model in three data centres."""
    return [
        models.Endpoint(
            f"r{i}",
            f"i{i}",
            "",
            models.EndpointKind.RUNNER,
            ("guide",),
            "v1",
            f"dc{i % 3}",
            32,
            1000,
        )
        for i in range(count)
    ]


def filled_scheduler(
    endpoints: int, blocks: int
) -> tuple[scheduler.Scheduler, list[tuple[int, ...]]]:
    """Creates a scheduler whose index holds `blocks` blocks.

    Returns:
        The scheduler, and the chains of the blocks.
    """
    sched = scheduler.create_scheduler(scheduler.SchedulerConfig(), 1)
    sched.set_endpoints(make_endpoints(endpoints), 0.0)
    rng = random.Random(1)
    numbers = dict.fromkeys((f"r{i}" for i in range(endpoints)), 0)
    chains = []
    for n in range(blocks // CHAIN_BLOCKS):
        chain = workloads.extend_chain((), f"chain{n}", CHAIN_BLOCKS)
        chains.append(chain)
        for name in rng.sample(sorted(numbers), REPLICAS):
            numbers[name] += 1
            sched.cache_event(_stored(name, numbers[name], chain), 0.0)
    return sched, chains


def _stored(
    name: str, number: int, blocks: tuple[int, ...]
) -> models.CacheEvent:
    return models.CacheEvent(
        name, f"i{name[1:]}", number, models.CacheChange.STORED, blocks
    )


def submit_us(endpoints: int, blocks: int) -> float:
    """Measures the CPU time per request of `CHAIN_BLOCKS` blocks.

    It includes the calls for submission, first token and end of the answer.
    """
    sched, chains = filled_scheduler(endpoints, blocks)
    count = 200 if endpoints < 600 else 60
    clock = [0.0]

    def submit() -> int:
        for i in range(count):
            clock[0] += 0.01
            now = clock[0]
            decision = sched.submit(_ticket(i, chains, now), now)
            if isinstance(decision, models.Dispatch):
                sched.first_token(decision.attempt, now)
                result = models.AttemptResult()
                sched.finished(decision.attempt, result, now)
        return count

    return min_cpu_us(submit)


def _ticket(i: int, chains: list[tuple[int, ...]], now: float) -> models.Ticket:
    blocks = chains[i * 7 % len(chains)]
    tokens = CHAIN_BLOCKS * prefixes.BLOCK_TOKENS + 500
    return models.Ticket(
        f"t{now}",
        "c0",
        "guide",
        models.Priority.GUEST,
        blocks,
        tokens,
        100,
        now + 60.0,
    )


def index_entry_bytes(blocks: int, endpoints: int) -> float:
    """Measures the memory per block in the index, in bytes."""
    numbers = random.Random(1)
    hashes = [numbers.getrandbits(64) for _ in range(blocks)]
    tracemalloc.start()
    cache = index.CacheIndex()
    for i in range(endpoints):
        cache.set_endpoint(f"r{i}", f"i{i}")
    for n in range(0, blocks, CHAIN_BLOCKS):
        # New integers, so that the hashes count as memory of the index.
        chain = tuple(int(str(h)) for h in hashes[n : n + CHAIN_BLOCKS])
        for copy in range(REPLICAS):
            number = (n // CHAIN_BLOCKS) // endpoints + 1
            name = (
                f"r{(n // CHAIN_BLOCKS + copy * (endpoints // 2)) % endpoints}"
            )
            cache.apply(_stored(name, number * REPLICAS + copy, chain))
            cache.take_snapshot_requests()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / max(1, len(cache))


def event_us(blocks_per_event: int, size: int) -> float:
    """Measures the CPU time per cache event, with `size` blocks in the index.

    All chains are stored, then all are evicted.
    """
    sched, _ = filled_scheduler(9, size)
    chains = [
        workloads.extend_chain((), f"new{i}", blocks_per_event)
        for i in range(500)
    ]
    runner = models.Endpoint(
        "r99", "i99", "", models.EndpointKind.RUNNER, ("guide",)
    )
    sched.set_endpoints([*make_endpoints(9), runner], 0.0)
    number = [0]

    def apply() -> int:
        for change in (models.CacheChange.STORED, models.CacheChange.EVICTED):
            for chain in chains:
                number[0] += 1
                sched.cache_event(
                    models.CacheEvent("r99", "i99", number[0], change, chain),
                    0.0,
                )
        return 2 * len(chains)

    return min_cpu_us(apply)


def report_us(endpoints: int) -> float:
    """Measures the CPU time per load report."""
    sched, _ = filled_scheduler(endpoints, 1000)
    reports = [
        models.LoadReport(f"r{i}", f"i{i}", 5, 1, 9000, 10)
        for i in range(endpoints)
    ]

    def apply() -> int:
        for _ in range(3000 // endpoints):
            for item in reports:
                sched.report_load(item, 1.0)
        return 3000 // endpoints * endpoints

    return min_cpu_us(apply)


def hash_us(mebibytes: int) -> float:
    """Measures the CPU time to hash a prompt in steps, per MiB."""
    prompt = random.Random(1).randbytes(mebibytes << 20)

    def apply() -> int:
        hasher = prefixes.BlockHasher(b"salt")
        for _ in prefixes.hash_steps(hasher, prompt):
            pass
        return mebibytes

    return min_cpu_us(apply)


class _RecordingSimulation(world.Simulation):
    """Simulation that records every cache change of every runner.

    Attributes:
        changes: Time, runner name, kind and block of each change.
        parents: The block before each block of the trace; 0 for a first one.
    """

    def cache_changed(self, runner, change, blocks) -> None:
        """Records a change, then sends its event."""
        name = runner.endpoint.id
        self.changes += [(self.now, name, change, b) for b in blocks]
        super().cache_changed(runner, change, blocks)


def record_block_changes(
    deployment: workloads.Deployment,
) -> _RecordingSimulation:
    """Runs the steady scenario of a deployment and records block changes."""
    requests = workloads.make_requests(
        deployment,
        1,
        deployment.steady,
        scenarios.DURATION_S,
        None,
        scenarios.load_measure(deployment),
    )
    make = variants.scheduler_factory(variants.PRODUCTION)
    sim = _RecordingSimulation(deployment, requests, make, world.Lag(), 1)
    sim.changes = []
    sim.parents = {
        block: r.blocks[i - 1] if i else 0
        for r in requests
        for i, block in enumerate(r.blocks)
    }
    sim.run(scenarios.DURATION_S)
    return sim


def changes_per_chain_run(sim: _RecordingSimulation, window_s: float) -> float:
    """Returns block changes per chain run if events are sent once per window.

    A chain run is a sequence of changes of one kind at one runner in one
    window, in which each block is the parent of the next.
    """
    groups: dict[tuple, set[int]] = {}
    for at, name, change, block in sim.changes:
        key = (int(at / window_s), name, change)
        groups.setdefault(key, set()).add(block)
    blocks = runs = 0
    for group in groups.values():
        continued = {sim.parents[b] for b in group if sim.parents[b] in group}
        blocks += len(group)
        runs += len(group) - len(continued)
    return blocks / runs


def table() -> str:
    """Runs all measurements and formats their table."""
    rows = []
    for count in ENDPOINT_COUNTS:
        us = submit_us(count, 100_000)
        rows.append(["submit", f"{count} endpoints", f"{us:.0f} us"])
    for size in INDEX_SIZES:
        us = submit_us(9, size)
        rows.append(["submit", f"{size} blocks, 9 endpoints", f"{us:.0f} us"])
    for size in INDEX_SIZES:
        for count in (9, 600):
            value = index_entry_bytes(size, count)
            label = f"{size} blocks, {count} endpoints"
            rows.append(["index entry", label, f"{value:.0f} B"])
    for size in INDEX_SIZES:
        us = event_us(1, size)
        rows.append(["cache event", f"1 block, {size} known", f"{us:.2f} us"])
    for count in (8, 40):
        us = event_us(count, 10_000)
        rows.append(["cache event", f"{count} blocks", f"{us:.2f} us"])
    for count in ENDPOINT_COUNTS:
        us = report_us(count)
        rows.append(["load report", f"{count} endpoints", f"{us:.2f} us"])
    for size in PROMPT_SIZES_MIB:
        us = hash_us(size)
        rows.append(["hashing", f"{size} MiB prompt", f"{us:.0f} us/MiB"])
    for deployment in workloads.DEPLOYMENTS.values():
        sim = record_block_changes(deployment)
        for window_s in WINDOWS_S:
            label = f"{deployment.name} steady, {window_s} s windows"
            value = f"{changes_per_chain_run(sim, window_s):.1f}"
            rows.append(["block changes per chain run", label, value])
    return report.markdown_table(("cost", "size", "measured"), rows)


def main() -> int:
    """Prints the table and updates the page; returns the exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    text = table()
    print(text)
    report.write_section(decisions.BENCHMARKS_PAGE, "slopes", text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
