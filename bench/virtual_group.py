"""Replicas with simulated disks, clocks and links, and fault injection.

Scenarios of the replicated log and benchmarks of elections use it. Time is
virtual, in seconds, and all random choices are seeded.
"""

import heapq
import itertools
import random
from collections.abc import Sequence

import attrs

from knapweedarch.replica import (
    MESSAGES,
    Entry,
    EntryKind,
    HardState,
    Member,
    Message,
    Output,
    Replica,
    ReplicaConfig,
    Restored,
    Snapshot,
    initial_members_entry,
)

STEP_S = 0.025

# Largest deviation of a member's clock rate from 1. Any two rates then differ
# by less than the 5% that the leader lease tolerates.
MAX_CLOCK_RATE_ERROR = 0.024


@attrs.define
class Disk:
    """The data that a member has synced to disk."""

    identity: str
    hard_state: HardState = attrs.Factory(HardState)
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.Factory(list)

    def restored(self) -> Restored:
        """Returns the state that a restarted member reads."""
        return Restored(
            self.identity, self.hard_state, self.snapshot, tuple(self.entries)
        )

    def save(self, output: Output) -> None:
        """Saves the output of a replica as a journal does."""
        self.hard_state = output.hard_state or self.hard_state
        snapshot = output.compacted or output.snapshot
        if snapshot:
            self.snapshot, self.entries = snapshot, list(output.tail)
            return
        if output.truncate_from is not None:
            self.entries = [
                e for e in self.entries if e.index < output.truncate_from
            ]
        self.entries += output.entries


@attrs.define
class Node:
    """A member process, running or stopped.

    Attributes:
        name: Name of the member.
        disk: Its synced data.
        clock_rate: Seconds of its clock per second of virtual time.
        replica: Its replica; None while it is stopped.
        frozen_until: End of its suspension in virtual time.
        state: Data of the applied entries.
        applied: Index of the last applied entry.
        inbox: Pairs of sender and message that it has not received yet.
        crash_before_save: Whether it crashes before its next save.
        disk_full_until: End of the time in which its disk takes nothing, in
            virtual time.
        unsaved: Output that waits for space on the disk, if any.
    """

    name: str
    disk: Disk
    clock_rate: float = 1.0
    replica: Replica | None = None
    frozen_until: float = 0.0
    state: list[bytes] = attrs.Factory(list)
    applied: int = 0
    inbox: list = attrs.Factory(list)
    crash_before_save: bool = False
    disk_full_until: float = 0.0
    unsaved: Output | None = None

    def clock(self, now: float) -> float:
        """Returns the local clock's time at a virtual time, in seconds."""
        return now * self.clock_rate + 100.0

    def lease_end(self, now: float) -> float:
        """Returns the end of the leader lease in virtual time."""
        return (
            self.replica.leads_until(self.clock(now)) - 100.0
        ) / self.clock_rate


class VirtualGroup:
    """Members connected by a simulated network that can lose messages.

    Attributes:
        now: Virtual time in seconds.
        step_s: Virtual time of one step.
        loss: Probability that a message is lost.
        duplication: Probability that a message is sent twice.
        delay: Minimum and maximum delay of a message in seconds.
        blocked_links: Pairs of sender and receiver whose messages are dropped.
        compact_interval: Number of entries between snapshots; 0 for none.
        replica_class: Class of the replicas.
        save_before_send: Whether output is saved before it is sent. If not, a
            member that crashes before a save has sent its messages.
        keep_identity: Whether a member that lost its disk keeps its identity.
        voters: Target number of voters; 0 if no other members may join.
        record_message_sizes: Whether `largest_message` is kept up to date.
        largest_message: Size in bytes of the largest message sent.
        elections: Number of terms in which a leader was seen.
        nodes: The members by name.
    """

    def __init__(
        self,
        names: str = "abc",
        seed: int = 0,
        replica_class: type[Replica] = Replica,
        save_before_send: bool = True,
        keep_identity: bool = False,
        voters: int = 0,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.step_s = STEP_S
        self.loss = self.duplication = 0.0
        self.delay = (0.001, 0.005)
        self.blocked_links: set[tuple[str, str]] = set()
        self.compact_interval = 0
        self.replica_class = replica_class
        self.save_before_send = save_before_send
        self.keep_identity = keep_identity
        self.voters = voters
        self.record_message_sizes = False
        self.largest_message = 0
        self.elections = 0
        self._newest_term = 0
        self._in_flight: list = []
        self._order = itertools.count()
        self.nodes = {
            name: Node(
                name,
                Disk(self._create_identity()),
                1
                + self.random.uniform(
                    -MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR
                ),
            )
            for name in names
        }
        entry = initial_members_entry(
            tuple(self._member(n, True) for n in self.nodes.values())
        )
        for node in self.nodes.values():
            node.disk.save(Output(HardState(1), entries=(entry,)))
            self.start(node.name)

    def _create_identity(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    def _member(self, node: Node, voter: bool) -> Member:
        return Member(node.name, node.disk.identity, "127.0.0.1", 1, voter)

    # Fault injection.

    def start(self, name: str) -> None:
        """Starts a member from its disk and connects it to running members."""
        node = self.nodes[name]
        restored = node.disk.restored()
        node.replica = self.replica_class(
            ReplicaConfig(name, kept_entries=4, voters=self.voters),
            restored,
            self.random.getrandbits(32),
        )
        node.state, node.applied, node.inbox = [], 0, []
        node.frozen_until, node.crash_before_save = 0.0, False
        node.unsaved = None
        if restored.snapshot:
            self._restore(node, restored.snapshot)
        for other in self.nodes.values():
            if other.replica and other is not node:
                self._note_peer(node, other)
                self._note_peer(other, node)

    def start_all(self) -> None:
        """Starts every stopped member."""
        for name, node in self.nodes.items():
            if node.replica is None:
                self.start(name)

    def _note_peer(self, receiver: Node, sender: Node) -> None:
        receiver.replica.note_peer(
            sender.name, sender.disk.identity, "127.0.0.1", 1
        )

    def crash(self, name: str) -> None:
        """Stops a member immediately; unsynced data is lost."""
        self.nodes[name].replica = None

    def lose_disk(self, name: str) -> None:
        """Stops a member and replaces its disk by an empty one."""
        self.crash(name)
        node = self.nodes[name]
        identity = node.disk.identity
        node.disk = Disk(
            identity if self.keep_identity else self._create_identity()
        )

    def add(self, name: str) -> Member:
        """Starts a member with an empty disk; returns it as a learner."""
        self.nodes[name] = Node(name, Disk(self._create_identity()))
        self.start(name)
        return self._member(self.nodes[name], False)

    def may_be_voter(self, name: str) -> bool:
        """Returns whether any member may count this one as a voter.

        This is unknown while a member is stopped; the result is then true.
        """
        identity = self.nodes[name].disk.identity
        return any(
            m.identity == identity and m.voter
            for n in self.nodes.values()
            for m in (n.replica.members if n.replica else ())
        ) or any(n.replica is None for n in self.nodes.values())

    def membership_repaired(self) -> bool:
        """Returns whether the leader's voters are the present identities.

        Without a lease holder, or while a membership change is pending, the
        result is false.
        """
        node = self.lease_holder()
        if node is None or node.replica.members_pending:
            return False
        return {m.identity for m in node.replica.members if m.voter} == {
            n.disk.identity for n in self.nodes.values()
        }

    def freeze(self, name: str, seconds: float) -> None:
        """Suspends a member; its incoming messages queue up."""
        self.nodes[name].frozen_until = self.now + seconds

    def fill_disk(self, name: str, seconds: float) -> None:
        """Lets the disk of a member take nothing for a time."""
        self.nodes[name].disk_full_until = self.now + seconds

    def isolate(self, name: str) -> None:
        """Drops all messages to and from a member without an error."""
        for other in self.nodes:
            self.block_link(name, other)

    def block_link(self, name: str, other: str) -> None:
        """Drops all messages between two members without an error."""
        self.blocked_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Removes all partitions."""
        self.blocked_links = set()

    # Execution.

    def running(self) -> list[Node]:
        """Returns the members that run and are not suspended."""
        return [
            n
            for n in self.nodes.values()
            if n.replica and n.frozen_until <= self.now
        ]

    def leader(self) -> Node | None:
        """Returns the running leader with the highest term."""
        leading = [n for n in self.running() if n.replica.leader_since]
        return max(leading, key=lambda n: n.replica.term, default=None)

    def lease_holder(self) -> Node | None:
        """Returns the running member with a valid leader lease."""
        return next((n for n in self.running() if self._holds_lease(n)), None)

    def _holds_lease(self, node: Node) -> bool:
        return node.lease_end(self.now) > self.now

    def propose(self, data: bytes) -> int | None:
        """Proposes data to the leader.

        Returns:
            The index of the entry; None without a leader.
        """
        node = self.leader()
        if node is None:
            return None
        return node.replica.propose(data, node.clock(self.now))

    def run(self, seconds: float) -> None:
        """Runs the group for a virtual time in seconds."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.step()

    def run_until(self, condition, limit_s: float) -> float:
        """Runs until a condition holds; returns the elapsed virtual seconds.

        Raises:
            AssertionError: The condition did not hold within the limit.
        """
        start = self.now
        while not condition():
            assert self.now - start < limit_s, (
                f"the condition did not hold within {limit_s} s"
            )
            self.step()
        return self.now - start

    def step(self) -> None:
        """Advances time by one step, delivers messages and runs all members."""
        self.now += self.step_s
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, sender, receiver, message = heapq.heappop(self._in_flight)
            self.nodes[receiver].inbox.append((sender, message))
        for node in self.running():
            local_now = node.clock(self.now)
            inbox, node.inbox = node.inbox, []
            for sender, message in inbox:
                node.replica.receive(sender, message, local_now)
            node.replica.tick(local_now)
            self._process_output(node)
        for node in self.nodes.values():
            if node.replica is None:
                node.inbox = []
        self._count_elections()

    def _count_elections(self) -> None:
        node = self.leader()
        if node is not None and node.replica.term > self._newest_term:
            self._newest_term = node.replica.term
            self.elections += 1

    def _process_output(self, node: Node) -> None:
        waited = node.unsaved is not None
        output = node.unsaved if waited else node.replica.take_output()
        if output.needs_sync and node.disk_full_until > self.now:
            node.unsaved = output
            if not waited:
                self._suspend(node)
            return
        node.unsaved = None
        if waited:
            node.replica.resume()
            output = attrs.evolve(output, messages=())
        if node.crash_before_save:
            if not self.save_before_send:
                self._send(node, output.messages)
            self.crash(node.name)
            return
        node.disk.save(output)
        self._send(node, output.messages)
        if output.snapshot:
            self._restore(node, output.snapshot)
        for entry in output.committed:
            self._apply(node, entry)
        self._compact(node)

    def _suspend(self, node: Node) -> None:
        messages = node.replica.suspend(node.clock(self.now))
        self._send(node, messages)

    def _send(
        self, node: Node, messages: Sequence[tuple[str, Message]]
    ) -> None:
        for receiver, message in messages:
            if receiver not in self.nodes:
                continue
            copies = 1 + (self.random.random() < self.duplication)
            for _ in range(copies):
                link = (node.name, receiver)
                if (
                    link in self.blocked_links
                    or self.random.random() < self.loss
                ):
                    continue
                self._record_message_size(message)
                delivery_time = self.now + self.random.uniform(*self.delay)
                heapq.heappush(
                    self._in_flight,
                    (
                        delivery_time,
                        next(self._order),
                        node.name,
                        receiver,
                        message,
                    ),
                )

    def _record_message_size(self, message) -> None:
        if self.record_message_sizes:
            size = len(MESSAGES.encode(message))
            self.largest_message = max(self.largest_message, size)

    def _compact(self, node: Node) -> None:
        if (
            self.compact_interval
            and node.replica.entries_since_snapshot >= self.compact_interval
            and node.applied > (getattr(node.disk.snapshot, "index", 0))
        ):
            data = b"\n".join(node.state)
            local_now = node.clock(self.now)
            node.replica.compact(node.applied, data, local_now)

    def _restore(self, node: Node, snapshot: Snapshot) -> None:
        node.state = snapshot.data.split(b"\n") if snapshot.data else []
        node.applied = snapshot.index

    def _apply(self, node: Node, entry: Entry) -> None:
        node.applied = entry.index
        if entry.kind is EntryKind.DATA:
            node.state.append(entry.data)

    def wait_for_leader(self) -> tuple[str, ...]:
        """Runs until a leader holds a lease, and 0.3 s longer.

        Returns:
            The name of the leader, then those of the other members.
        """
        self.run_until(self.lease_holder, 10.0)
        self.run(0.3)
        leader = self.leader().name
        return (leader, *(n for n in self.nodes if n != leader))
