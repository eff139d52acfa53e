"""Measures the replicated log and its journal; prints tables.

Three members run in this process. Messages are encoded and decoded, the files
are real and, unless a measurement skips syncs, each save waits for the disk.
Saves run in two threads, so that the followers save in parallel as on two
instances. Everything else runs on one thread, so the throughput is lower than
that of three processes. Elections are measured on the simulated members of
`bench.virtual_group`.

Usage: PYTHONPATH=. python bench/log_bench.py [--folder FOLDER] [--quick]
"""

import statistics
import tempfile
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs
import defopt

from bench.virtual_group import VirtualGroup
from features.replication_faults import WithoutPreVote
from knapweedarch.journal import open_journal
from knapweedarch.journal_files import JournalFiles
from knapweedarch.replica import (
    MESSAGES,
    Entry,
    EntryKind,
    Member,
    Output,
    Replica,
    ReplicaConfig,
    create_replica,
)
from knapweedarch.state import COMMANDS, ControlState, PutRules, Reserve

MEMBER_NAMES = ("a", "b", "c")
UPDATE_BYTES = 200
CHANGES_PER_SNAPSHOT = 1000
RULE_FILE_BYTES = 2048


class UnsyncedFiles(JournalFiles):
    """Files that skip syncs, to measure the CPU time alone."""

    def sync(self, descriptor: int) -> None:
        """Does nothing."""


class Group:
    """Three members and their journals in one process.

    Attributes:
        now: Virtual time in seconds.
        leader: The elected leader's replica.
        syncs: Number of saves that need a sync, of all members.
        message_bytes: Bytes of all messages sent between the members.
    """

    def __init__(
        self, folder: str, files_class: type[JournalFiles] = JournalFiles
    ):
        self.journals = {
            name: open_journal(
                f"{folder}/{name}", files_class(f"{folder}/{name}")
            )
            for name in MEMBER_NAMES
        }
        members = tuple(
            Member(name, journal.identity, "127.0.0.1", 1, True)
            for name, journal in self.journals.items()
        )
        for journal in self.journals.values():
            journal.form(members)
        self.replicas = {
            name: create_replica(ReplicaConfig(name), journal.restored, seed)
            for seed, (name, journal) in enumerate(self.journals.items())
        }
        self.pool = ThreadPoolExecutor(2)
        self.syncs = self.message_bytes = 0
        self._elect()

    def _elect(self) -> None:
        # Virtual time stops once a leader is elected, so that neither
        # heartbeats nor elections affect the measurements. Only `bench_idle`
        # advances it later.
        self.now = 0.0
        while not any(r.leads_until(self.now) for r in self.replicas.values()):
            self.now += 0.02
            for replica in self.replicas.values():
                replica.tick(self.now)
            self.exchange()
        self.leader = next(r for r in self.replicas.values() if r.leader_since)
        self.exchange()

    def _save(self, name: str) -> Output:
        output = self.replicas[name].take_output()
        self.journals[name].save(output)
        return output

    def exchange(self) -> list[Entry]:
        """Delivers messages until none is left.

        Returns:
            The entries that the leader committed.
        """
        committed, names = [], list(MEMBER_NAMES)
        while names:
            outputs = zip(names, self.pool.map(self._save, names), strict=True)
            inbox = []
            for name, output in outputs:
                self.syncs += output.needs_sync
                inbox += [
                    (name, receiver, MESSAGES.encode(message))
                    for receiver, message in output.messages
                ]
                if self.replicas[name].leader_since is not None:
                    committed += output.committed
            for sender, receiver, data in inbox:
                self.message_bytes += len(data)
                self.replicas[receiver].receive(
                    sender, MESSAGES.decode(data), self.now
                )
            names = sorted({receiver for _, receiver, _ in inbox})
        return committed

    def close(self) -> None:
        """Closes the journals."""
        self.pool.shutdown()
        for journal in self.journals.values():
            journal.close()


@attrs.frozen
class LoadResult:
    """Result of a run in which each client waits for its update.

    Attributes:
        updates_per_s: Updates per second.
        median_ms: Median latency in milliseconds.
        p99_ms: 99th percentile of the latency in milliseconds.
        syncs_per_update: Syncs of all three members per update.
    """

    updates_per_s: float
    median_ms: float
    p99_ms: float
    syncs_per_update: float


def run_load(
    group: Group, clients: int, updates: int, batching: bool, update_bytes: int
) -> LoadResult:
    """Runs clients that propose again once their update is committed.

    With batching, all waiting clients propose together. Without it, one update
    is committed before the next is proposed.
    """
    begin = time.perf_counter()
    waiting = deque([begin] * clients)
    started: dict[int, float] = {}
    latencies: list[float] = []
    group.syncs = 0
    while len(latencies) < updates:
        for _ in range(len(waiting) if batching else 1):
            index = group.leader.propose(b"x" * update_bytes, group.now)
            started[index] = waiting.popleft()
        for entry in group.exchange():
            done = time.perf_counter()
            latencies.append(done - started.pop(entry.index))
            waiting.append(done)
    elapsed = time.perf_counter() - begin
    latencies.sort()
    return LoadResult(
        len(latencies) / elapsed,
        statistics.median(latencies) * 1e3,
        latencies[int(len(latencies) * 0.99)] * 1e3,
        group.syncs / len(latencies),
    )


def bench_updates(folder: str, quick: bool) -> None:
    """Prints throughput, latency and syncs with and without batching."""
    print(f"\nupdates of {UPDATE_BYTES} bytes, three journals, real syncs")
    print("batching  clients  updates/s  median ms  p99 ms  syncs/update")
    for batching in (False, True):
        for clients in (1, 16, 64, 256):
            with tempfile.TemporaryDirectory(dir=folder) as directory:
                group = Group(directory)
                rounds = 2 if quick else 10
                updates = max(rounds * clients, 100 if quick else 500)
                if batching:
                    updates *= 10
                load = run_load(group, clients, updates, batching, UPDATE_BYTES)
                group.close()
            print(
                f"{'with' if batching else 'without':8}{clients:9}"
                f"{load.updates_per_s:11.0f}{load.median_ms:11.2f}"
                f"{load.p99_ms:8.2f}{load.syncs_per_update:14.2f}"
            )


def bench_cpu_time(folder: str, quick: bool) -> None:
    """Prints the CPU time of all three members per committed entry."""
    print("\nCPU time of three members together, no syncs, batches of 64")
    print("entry bytes  microseconds/entry  MB/s")
    for size in (100, 4096, 65536):
        with tempfile.TemporaryDirectory(dir=folder) as directory:
            group = Group(directory, UnsyncedFiles)
            updates = 640 if quick or size > 10_000 else 6400
            begin = time.process_time()
            run_load(group, 64, updates, True, size)
            cpu_time_s = time.process_time() - begin
            group.close()
        print(
            f"{size:11}{cpu_time_s / updates * 1e6:20.1f}"
            f"{size * updates / cpu_time_s / 1e6:6.1f}"
        )


def bench_idle(folder: str, quick: bool) -> None:
    """Prints the CPU time and traffic of an idle group."""
    seconds = 10 if quick else 60
    with tempfile.TemporaryDirectory(dir=folder) as directory:
        group = Group(directory, UnsyncedFiles)
        group.message_bytes = 0
        begin = time.process_time()
        for _ in range(seconds * 20):
            group.now += 0.05
            for replica in group.replicas.values():
                replica.tick(group.now)
            group.exchange()
        cpu_time_s = time.process_time() - begin
        sent = group.message_bytes
        group.close()
    print(
        f"\nidle group of three, {seconds} s of virtual time: together"
        f" {cpu_time_s / seconds:.2%} of a core, {sent / seconds:.0f} bytes/s"
    )


def isolate_repeatedly(
    replica_class: type[Replica], seed: int
) -> tuple[int, float]:
    """Isolates one follower 15 times in 60 s of virtual time.

    Returns:
        The number of elections, and the share of time without a leader lease.
    """
    group = VirtualGroup(seed=seed, replica_class=replica_class)
    _, follower, _ = group.wait_for_leader()
    before, steps, steps_without_lease = group.elections, 0, 0
    for isolated in (True, False) * 15:
        if isolated:
            group.isolate(follower)
        else:
            group.heal()
        end = group.now + (3.0 if isolated else 1.0)
        while group.now < end:
            group.step()
            steps += 1
            steps_without_lease += group.lease_holder() is None
    return group.elections - before, steps_without_lease / steps


def bench_flapping(quick: bool) -> None:
    """Prints how many elections a flapping member causes.

    Compares members with pre-vote to members without it.
    """
    print("\none follower isolated for 3 s and reconnected for 1 s, 15 times")
    print("pre-vote  elections (mean, max)  time without leader lease")
    seeds = range(3 if quick else 20)
    for replica_class in (WithoutPreVote, Replica):
        runs = [isolate_repeatedly(replica_class, seed) for seed in seeds]
        elections = [r[0] for r in runs]
        name = "without" if replica_class is WithoutPreVote else "with"
        print(
            f"{name:8}{statistics.mean(elections):17.1f},{max(elections):4}"
            f"{statistics.mean(r[1] for r in runs):26.1%}"
        )


def bench_failover(quick: bool) -> None:
    """Prints the time without a leader lease after a leader crash."""
    seeds = range(50 if quick else 1000)
    times = []
    for seed in seeds:
        group = VirtualGroup(seed=seed)
        group.step_s = 0.005
        group.crash(group.wait_for_leader()[0])
        # A crashed member no longer counts as the lease holder, although its
        # lease has not expired.
        times.append(group.run_until(group.lease_holder, 10.0))
    times.sort()
    print(f"\ncrash of the leader, {len(times)} seeds, until the next lease")
    print(
        f"median {statistics.median(times):.2f} s,"
        f" p95 {times[int(len(times) * 0.95)]:.2f} s,"
        f" maximum {times[-1]:.2f} s"
    )


def reservation(number: int) -> Reserve:
    """Builds a change that adds a record to the state."""
    return Reserve(f"{number:064x}", bytes(32), "router", 0.0)


def rule_file(number: int) -> PutRules:
    """Builds a change that replaces the rule file in the state."""
    return PutRules(f"{number:032x}", number - 1, "x" * RULE_FILE_BYTES)


def fill_journal(
    folder: str,
    changes: int,
    snapshots: bool,
    build: Callable[[int], Reserve | PutRules],
) -> None:
    """Writes a journal of changes as a member does, without syncs."""
    journal = open_journal(folder, UnsyncedFiles(folder))
    journal.form((Member("a", journal.identity, "127.0.0.1", 1, True),))
    replica = create_replica(ReplicaConfig("a"), journal.restored, 0)
    state = ControlState()
    now = 0.0
    while not replica.leads_until(now):
        now += 0.05
        replica.tick(now)
        journal.save(replica.take_output())
    for number in range(1, changes + 1):
        index = replica.propose(COMMANDS.encode(build(number)), now)
        output = replica.take_output()
        journal.save(output)
        for entry in output.committed:
            state.apply(entry.data)
        if snapshots and number % CHANGES_PER_SNAPSHOT == 0:
            replica.compact(index, state.snapshot(), now)
            journal.save(replica.take_output())
    journal.close()


def start_up_s(folder: str) -> float:
    """Measures the seconds that a member takes to restore its state."""
    begin = time.perf_counter()
    journal = open_journal(folder)
    restored = journal.restored
    create_replica(ReplicaConfig("a"), restored, 0)
    state = ControlState()
    if restored.snapshot:
        state.restore(restored.snapshot.data)
    for entry in restored.entries:
        if entry.kind is EntryKind.DATA:
            state.apply(entry.data)
    elapsed_s = time.perf_counter() - begin
    journal.close()
    return elapsed_s


def bench_start_up(folder: str, quick: bool) -> None:
    """Prints start-up time and journal size for several numbers of changes."""
    print(f"\nstart of a member, snapshot every {CHANGES_PER_SNAPSHOT} changes")
    print(
        "changes               without snapshot ms  KiB  with snapshot ms  KiB"
    )
    for build in (rule_file, reservation):
        for changes in (100, 1000) if quick else (100, 1000, 10_000):
            row = f"{changes:6} {build.__name__:12}"
            for snapshots in (False, True):
                with tempfile.TemporaryDirectory(dir=folder) as directory:
                    fill_journal(directory, changes, snapshots, build)
                    size = sum(
                        (JournalFiles(directory).folder / n).stat().st_size
                        for n in JournalFiles(directory).names()
                    )
                    elapsed_s = statistics.median(
                        start_up_s(directory) for _ in range(5)
                    )
                row += f"{elapsed_s * 1e3:15.1f}{size / 1024:9.0f}"
            print(row)


def main(*, folder: str = "", quick: bool = False) -> None:
    """Runs all measurements.

    Args:
        folder: Folder on the disk to measure; if empty, the system's
            temporary folder.
        quick: Whether to take fewer samples, to test the script.
    """
    bench_updates(folder or None, quick)
    bench_cpu_time(folder or None, quick)
    bench_idle(folder or None, quick)
    bench_flapping(quick)
    bench_failover(quick)
    bench_start_up(folder or None, quick)


if __name__ == "__main__":
    defopt.run(main)
