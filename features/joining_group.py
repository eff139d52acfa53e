"""A virtual group that replaces lost members by new ones with other names."""

import random

from bench.virtual_group import Node
from features.checked_group import CheckedGroup
from knapweedarch.replica import Entry, EntryKind, Member
from knapweedarch.replica_membership import MemberChange
from knapweedarch.replica_messages import decode_members

# As the member daemon asks.
JOIN_INTERVAL_S = 0.25


def is_member_list(entry: Entry) -> bool:
    """Returns whether an entry holds a member list."""
    return entry.kind is EntryKind.MEMBERS


class JoiningGroup(CheckedGroup):
    """A checked group of members that ask to join while they have no leader.

    Attributes:
        changes: Automatic changes of the member list by all leaders, in order.
        entries_per_s: Rate at which entries are proposed to the leader.
        slow: Names of the members whose messages take `slow_delay`.
        slow_delay: Minimum and maximum delay of their messages in seconds.
    """

    def __init__(self, members: int = 5, seed: int = 0):
        self._join_at: dict[str, float] = {}
        self._named = members
        self.changes: list[MemberChange] = []
        self.entries_per_s = 0.0
        self.slow: set[str] = set()
        self.slow_delay = (0.3, 0.4)
        self._proposed = 0
        self._due_entries = 0.0
        super().__init__("abcdefgh"[:members], seed, voters=members)

    def step(self) -> None:
        """Runs one step; members without a group ask the leader to join."""
        self._propose_load()
        super().step()
        for node in self.running():
            self.changes += node.replica.take_member_changes()
            if self.now >= self._join_at.get(node.name, 0.0):
                self._join_at[node.name] = self.now + JOIN_INTERVAL_S
                self._ask_to_join(node)

    def _propose_load(self) -> None:
        self._due_entries += self.entries_per_s * self.step_s
        while self._due_entries >= 1.0:
            self._due_entries -= 1.0
            self._proposed += 1
            if self.lease_holder() is not None:
                self.propose(b"load %d" % self._proposed)

    def _send(self, node, messages) -> None:
        usual = self.delay
        for receiver, message in messages:
            if {node.name, receiver} & self.slow:
                self.delay = self.slow_delay
            super()._send(node, [(receiver, message)])
            self.delay = usual

    def _ask_to_join(self, node: Node) -> None:
        leader = self.lease_holder()
        if node.replica.knows_group or leader is None or leader is node:
            return
        links = {(node.name, leader.name), (leader.name, node.name)}
        if not links & self.blocked_links:
            leader.replica.note_join(
                *(node.name, node.disk.identity, "127.0.0.1", 1),
                leader.clock(self.now),
            )

    def remove(self, name: str) -> None:
        """Takes a member away for good, with its disk."""
        self.crash(name)
        del self.nodes[name]
        self._in_flight = [e for e in self._in_flight if name not in e[2:4]]

    def add_new(self) -> str:
        """Starts a new member with an empty disk; returns its name.

        Some of the names sort before those of the members that are gone, some
        after them.
        """
        self._named += 1
        name = f"{self.random.choice('aceg')}{self._named}"
        self.add(name)
        return name

    def replace(self, names: list[str], after_s: float) -> list[str]:
        """Takes members away; starts as many new ones after some seconds."""
        for name in names:
            self.remove(name)
        self.run(after_s)
        return [self.add_new() for _ in names]

    def member_list(self) -> tuple[Member, ...]:
        """Returns the newest committed member list."""
        newest = max(
            (e for e in self._committed.values() if is_member_list(e)),
            key=lambda e: e.index,
        )
        return decode_members(newest.data)

    def member_entries(self) -> int:
        """Counts the committed member lists."""
        return sum(is_member_list(e) for e in self._committed.values())


def replace_in_series(
    group: JoiningGroup, rounds: int, at_a_time: int, rng: random.Random
) -> None:
    """Replaces members round by round; each must be whole within 4 s.

    Each round begins 4.5 s after the one before, 0.5 s of which the new members
    are not there yet.

    Raises:
        AssertionError: A round was not whole in time.
    """
    for number in range(rounds):
        begins_at = group.now
        lost = rng.sample(sorted(group.nodes), at_a_time)
        group.replace(lost, 0.5)
        group.propose(f"round {number}".encode())
        group.run_until(group.membership_repaired, 4.0)
        group.run(max(begins_at + 4.5 - group.now, 0.0))


def lose_two_leaders(
    group: JoiningGroup, rng: random.Random
) -> tuple[str, float]:
    """Replaces the leader; the next one loses its disk soon after its election.

    Returns:
        The name of the first leader, and when the new member started.
    """
    lost = group.leader().name
    group.replace([lost], 0.5)
    started_at = group.now
    group.run_until(group.leader, 4.0)
    group.run(rng.uniform(0.1, 1.9))
    second = group.leader().name
    group.lose_disk(second)
    group.run(0.5)
    group.start(second)
    return lost, started_at
