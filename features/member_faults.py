"""Seeded schedules of faults during changes of the members."""

import random
from collections.abc import Callable

import attrs

from features.checked_group import BrokenInvariantError
from features.joining_group import JoiningGroup
from knapweedarch.exceptions import ReplicaError

# Members that may be lost at the same time, and the time in seconds for which a
# member still counts as lost after it is back or, if it is new, has started.
MAX_LOST = 2
SYNC_S = 4.0
LARGE_ENTRY_BYTES = 900_000
MAX_LARGE_ENTRIES = 12
# A loss needs a learner more, a voter less and a voter more; as many again if
# what was added is lost on the way.
MAX_CHANGES_PER_EVENT = 6


@attrs.define
class Loss:
    """A lost member.

    Attributes:
        names: Name of the member and, if it is replaced, that of the new one.
        until: When it no longer counts as lost, in virtual time; None if it is
            not back yet.
    """

    names: set[str]
    until: float | None = None


@attrs.define(order=True)
class Action:
    """An action that is due at a virtual time."""

    due_at: float
    run: Callable[[], None] = attrs.field(order=False)


class FaultyGroup(JoiningGroup):
    """A group that changes its members under faults within the budget.

    Attributes:
        losses: All losses so far.
        events: What happened, with the time of each event.
        member_events: Number of events that may change the member list.
        planned: Actions that are not due yet.
    """

    def __init__(self, seed: int):
        self.losses: list[Loss] = []
        self.events: list[str] = []
        self.member_events = 0
        self.planned: list[Action] = []
        super().__init__(5, seed)

    def note(self, event: str) -> None:
        """Records an event for the report of a failure."""
        self.events.append(f"{self.now:.2f} {event}")

    def plan(self, delay_s: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        self.planned.append(Action(self.now + delay_s, action))

    def step(self) -> None:
        """Runs one step and the actions that are due."""
        due = sorted(a for a in self.planned if a.due_at <= self.now)
        self.planned = [a for a in self.planned if a.due_at > self.now]
        for action in due:
            action.run()
        super().step()

    def crash(self, name: str) -> None:
        """Stops a member immediately, which ends the lease of its process."""
        super().crash(name)
        if self._lease[0] == self.nodes[name].disk.identity:
            self._lease = ("", self.now)

    # Budget.

    def lost(self) -> list[Loss]:
        """Returns the losses that count at present."""
        return [
            loss
            for loss in self.losses
            if loss.until is None or loss.until > self.now
        ]

    def begin_loss(self, *names: str) -> Loss:
        """Counts a member as lost; its event may change the list."""
        loss = Loss(set(names))
        self.losses.append(loss)
        self.member_events += 1
        return loss

    def end_loss(self, loss: Loss) -> None:
        """Counts a member as lost for `SYNC_S` more."""
        loss.until = self.now + SYNC_S

    def plan_start(self, delay_s: float, name: str, loss: Loss) -> None:
        """Plans the start of a member, with which its loss ends."""

        def start() -> None:
            self.start(name)
            self.end_loss(loss)

        self.plan(delay_s, start)

    def plan_block(self, end_s: float, block: Callable[[], None]) -> None:
        """Blocks links at once and again, for members that start meanwhile."""
        block()
        for turn in range(1, int(end_s / 0.1)):
            self.plan(turn * 0.1, block)

    def free_names(self) -> list[str]:
        """Returns the members that do not count as lost."""
        names = {name for loss in self.lost() for name in loss.names}
        return sorted(self.nodes.keys() - names)

    # Checks.

    def whole(self) -> bool:
        """Returns whether the wanted number of members vote, and all run."""
        node = self.lease_holder()
        if node is None or node.replica.members_pending:
            return False
        present = {n.disk.identity for n in self.running()}
        voters = [m.identity for m in node.replica.members if m.voter]
        return len(voters) == self.voters and set(voters) <= present

    def check_budget(self) -> None:
        """Checks that no more voters are gone than members count as lost.

        Otherwise a further loss within the budget could end the group.
        """
        present = {n.disk.identity for n in self.nodes.values()}
        gone = [
            m.name
            for m in self.member_list()
            if m.voter and m.identity not in present
        ]
        assert len(gone) <= len(self.lost()), (
            f"{gone} still vote, {len(self.lost())} members count as lost"
        )

    def check_changes(self) -> None:
        """Checks that the events bound the changes of the list."""
        limit = MAX_CHANGES_PER_EVENT * self.member_events
        assert len(self.changes) <= limit, (
            f"{len(self.changes)} changes of the list for"
            f" {self.member_events} events"
        )


def _replace(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Takes a member away; a new one starts later."""
    loss = group.begin_loss(name)
    group.remove(name)

    def start() -> None:
        loss.names.add(group.add_new())
        group.end_loss(loss)

    group.plan(rng.uniform(0.1, 1.0), start)


def _replace_planned(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Starts a new member; the old one is taken away later."""
    loss = group.begin_loss(name, group.add_new())

    def stop() -> None:
        group.remove(name)
        group.end_loss(loss)

    group.plan(rng.uniform(0.0, 5.0), stop)


def _lose_disk(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Lets a member return with an empty disk."""
    loss = group.begin_loss(name)
    group.lose_disk(name)
    group.plan_start(rng.uniform(0.1, 3.0), name, loss)


def _return_disk(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Lets a member return with an empty disk, then with its first one."""
    loss = group.begin_loss(name)
    group.member_events += 1
    first = group.nodes[name].disk
    group.lose_disk(name)
    group.plan(rng.uniform(0.1, 2.0), lambda: group.start(name))

    def stop() -> None:
        group.crash(name)
        group.nodes[name].disk = first

    stop_s = rng.uniform(2.1, 6.0)
    group.plan(stop_s, stop)
    group.plan_start(stop_s + rng.uniform(0.1, 1.0), name, loss)


def _restart(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Restarts a member: killed, before a save, or after a handover."""
    loss = group.begin_loss(name)
    match rng.randrange(3):
        case 0:
            group.crash(name)
        case 1:
            group.nodes[name].crash_before_save = True
        case 2:
            group.transfer_leadership(name)
            group.plan(0.05, lambda: group.crash(name))
    group.plan_start(rng.uniform(0.1, 4.0), name, loss)


def _freeze(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Suspends a member."""
    loss = group.begin_loss(name)
    seconds = rng.uniform(0.3, 4.0)
    group.freeze(name, seconds)
    group.plan(seconds, lambda: group.end_loss(loss))


def _cut(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Cuts a member off, in both directions or in one."""
    loss = group.begin_loss(name)
    way = rng.choice(("both", "in", "out"))

    def block() -> None:
        for other in group.nodes:
            if way != "in":
                group.blocked_links.add((name, other))
            if way != "out":
                group.blocked_links.add((other, name))

    def heal() -> None:
        group.blocked_links = {
            link for link in group.blocked_links if name not in link
        }
        group.end_loss(loss)

    end_s = rng.uniform(0.3, 6.0)
    group.plan_block(end_s, block)
    group.plan(end_s, heal)


def _slow(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Delays the messages to and from a member."""
    loss = group.begin_loss(name)
    group.slow.add(name)

    def end() -> None:
        group.slow.discard(name)
        group.end_loss(loss)

    group.plan(rng.uniform(0.5, 5.0), end)


def _fill_disk(group: FaultyGroup, rng: random.Random, name: str) -> None:
    """Fills the disk of a member."""
    loss = group.begin_loss(name)
    seconds = rng.uniform(0.3, 4.5)
    group.fill_disk(name, seconds)
    group.plan(seconds, lambda: group.end_loss(loss))


FAULTS = (
    *(_replace, _replace, _replace, _replace_planned),
    *(_lose_disk, _lose_disk, _return_disk, _restart),
    *(_freeze, _cut, _cut, _slow, _fill_disk),
)


def _inject(group: FaultyGroup, rng: random.Random) -> None:
    """Begins one or two faults if the budget has room for them."""
    count = rng.choice((1, 1, 2))
    if len(group.lost()) + count > MAX_LOST:
        return
    group.check_budget()
    for _ in range(count):
        name = rng.choice(group.free_names())
        leader = group.leader()
        if leader and leader.name in group.free_names() and rng.random() < 0.3:
            name = leader.name
        fault = rng.choice(FAULTS)
        group.note(f"{fault.__name__[1:]} {name}")
        fault(group, rng, name)


def _split(group: FaultyGroup, rng: random.Random) -> None:
    """Cuts the members into two parts, whatever else is lost."""
    names = sorted(group.nodes)
    smaller = set(rng.sample(names, (len(names) - 1) // 2))
    group.note(f"split off {sorted(smaller)}")
    losses = [group.begin_loss(name) for name in smaller]

    def block() -> None:
        for name in smaller:
            for other in group.nodes.keys() - smaller:
                group.block_link(name, other)

    def heal() -> None:
        group.heal()
        for loss in losses:
            group.end_loss(loss)

    end_s = rng.uniform(0.5, 6.0)
    group.plan_block(end_s, block)
    group.plan(end_s, heal)


def _restart_all(group: FaultyGroup, rng: random.Random) -> None:
    """Cuts the power of all members at once, whatever else is lost."""
    names = [n.name for n in group.nodes.values() if n.replica]
    group.note(f"restart all {names}")
    for name in names:
        group.crash(name)
    losses = [group.begin_loss(name) for name in names]

    def start() -> None:
        _start_stopped(group, names)
        for loss in losses:
            group.end_loss(loss)

    group.plan(rng.uniform(0.05, 1.0), start)


def _start_stopped(group: FaultyGroup, names: list[str]) -> None:
    for name in names:
        if name in group.nodes and group.nodes[name].replica is None:
            group.start(name)


def _close(group: FaultyGroup, rng: random.Random) -> None:
    """Loses as many disks as the budget allows; mostly all lose power, too.

    Raises:
        AssertionError: The group is not whole in time, or has lost an entry.
    """
    wanted = rng.choice((0, 1))
    while len(group.lost()) > wanted:
        group.step()
    group.check_budget()
    names = rng.sample(group.free_names(), MAX_LOST - len(group.lost()))
    group.note(f"close {names}")
    group.propose(b"last before the close")
    group.run(rng.choice((0.0, 0.025, 0.3)))
    stopped = [n.name for n in group.nodes.values() if n.replica]
    if rng.random() < 0.3:
        stopped = names
    for name in stopped:
        group.crash(name)
    for name in names:
        group.lose_disk(name)
    group.member_events += 1 + len(names)
    group.run(rng.uniform(0.025, 0.5))
    _start_stopped(group, stopped)
    while group.planned:
        group.step()
    group.run_until(group.whole, SYNC_S)
    index = group.propose(b"last")
    group.run_until(
        lambda: all(n.applied >= index for n in group.running()), 3.0
    )


def _create_group(seed: int, rng: random.Random) -> FaultyGroup:
    group = FaultyGroup(seed)
    group.loss = rng.choice((0.0, 0.0, 0.02))
    group.duplication = rng.choice((0.0, 0.1))
    group.delay = (0.001, rng.choice((0.005, 0.02, 0.04)))
    group.compact_interval = rng.choice((0, 3, 12, 50))
    group.run_until(group.lease_holder, 10.0)
    group.run(rng.choice((0.5, 3.0, 18.0)))
    if rng.random() < 0.3:
        for number in range(rng.randint(3, MAX_LARGE_ENTRIES)):
            group.propose(b"%02d" % number + b"x" * LARGE_ENTRY_BYTES)
            group.run(0.05)
    group.entries_per_s = rng.choice((0.0, 2.0, 20.0, 40.0))
    return group


def _run_faults(group: FaultyGroup, rng: random.Random, seconds: float) -> None:
    pause_s = rng.choice((0.3, 1.0, 3.0))
    end_at = group.now + seconds
    while group.now < end_at:
        if rng.random() < 0.04:
            rng.choice((_restart_all, _split))(group, rng)
        else:
            _inject(group, rng)
        next_at = group.now + rng.uniform(0.05, pause_s)
        while group.now < next_at:
            group.step()
            assert group.lost() or group.whole(), "not whole without a loss"


def run_member_faults(seed: int, seconds: float = 30.0) -> FaultyGroup:
    """Runs faults during member changes, then loses two disks.

    Raises:
        AssertionError: An invariant is broken, a voter that is gone is not
            replaced in time, the group is not whole in time, or the list
            changes more often than the events explain.
    """
    rng = random.Random(seed)
    group = _create_group(seed, rng)
    try:
        _run_faults(group, rng, seconds)
        _close(group, rng)
        group.check_changes()
    except (BrokenInvariantError, ReplicaError, AssertionError) as exc:
        events = "\n".join(group.events)
        raise AssertionError(
            f"member faults seed {seed}: {exc}\n{events}"
        ) from exc
    return group
