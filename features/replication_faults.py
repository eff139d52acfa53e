"""Replicas that lack one mechanism each, and fault schedules."""

import random

from features.checked_group import BrokenInvariantError, CheckedGroup
from knapweedarch.exceptions import ReplicaError
from knapweedarch.replica import Entry, EntryKind, HardState, Output, Replica

LARGE_DATA = b"x" * 1_100_000  # Larger than one batch, so it is sent alone.


class WithoutPreVote(Replica):
    """Starts an election in a new term without a pre-vote."""

    def _start_pre_vote(self, now):
        self._start_election(now)


class WithoutLeaseWait(Replica):
    """Votes although it has recently heard from a leader."""

    def _refuses_votes(self, now):
        return self._leadership is not None


class WithoutRestartWait(Replica):
    """Votes right after a restart."""

    def _advance(self, now):
        self._now = now


class WithoutLearners(Replica):
    """Treats every new identity as caught up."""

    def _caught_up(self, identity):
        return True


class CommitsOldTerms(Replica):
    """Commits entries of earlier terms by counting replicas."""

    def _commit(self):
        leadership = self._leadership
        if leadership is not None:
            matched = leadership._quorum_value(
                self.last_index, lambda i: leadership.peer(i).match_index
            )
            self._log.commit(matched)


class CountsMajorityAsAll(Replica):
    """Treats a majority of restarted voters as all of them."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        original = self._election.all_restarted

        def majority_restarted(identity, voters):
            original(identity, voters)
            known = self._election._restarted_voters | {self.identity}
            return len(known & voters) > len(voters) // 2

        self._election.all_restarted = majority_restarted


class LeadsOnFullDisk(Replica):
    """Goes on as the leader while its output cannot be saved."""

    def suspend(self, now):
        """Keeps the leadership."""
        return ()


class SendsUnsavedOutput(Replica):
    """Sends the messages of an output that cannot be saved yet."""

    def take_output(self):
        """Returns the pending output and keeps it."""
        self.last_output = super().take_output()
        return self.last_output

    def suspend(self, now):
        """Returns the messages of the unsaved output as well."""
        return (*super().suspend(now), *self.last_output.messages)


VARIANTS = {
    "as designed": {},
    "without pre-vote": {"replica_class": WithoutPreVote},
    "without lease wait": {"replica_class": WithoutLeaseWait},
    "without restart wait": {"replica_class": WithoutRestartWait},
    "to count a majority as all": {"replica_class": CountsMajorityAsAll},
    "without learners": {"replica_class": WithoutLearners},
    "to commit entries of old terms": {"replica_class": CommitsOldTerms},
    "to count votes per name": {"keep_identity": True},
    "to reply before a sync": {"save_before_send": False},
    "to lead on a full disk": {"replica_class": LeadsOnFullDisk},
    "to send unsaved output": {"replica_class": SendsUnsavedOutput},
}


def isolate_follower_repeatedly(group: CheckedGroup) -> None:
    """Isolates and reconnects a follower five times."""
    _, follower, _ = group.wait_for_leader()
    for _ in range(5):
        group.isolate(follower)
        group.run(3.0)
        group.heal()
        group.run(1.0)


def cut_leader_follower_link(group: CheckedGroup) -> None:
    """Cuts only the link between the leader and one follower."""
    leader, follower, _ = group.wait_for_leader()
    group.block_link(leader, follower)
    group.run(4.0)


def restart_voter_during_lease(group: CheckedGroup) -> None:
    """Restarts the voter on which the leader's lease depends."""
    leader, follower, voter = group.wait_for_leader()
    group.block_link(leader, follower)
    group.run(2.0)
    group.isolate(leader)
    group.crash(voter)
    group.start(voter)
    group.run(1.0)


def restart_all_but_lease_holder(group: CheckedGroup) -> None:
    """Restarts all voters except the lease holder."""
    leader, *others = group.wait_for_leader()
    group.isolate(leader)
    for name in others:
        group.crash(name)
    for name in others:
        group.start(name)
    group.run(1.5)


def rejoin_with_partial_log(group: CheckedGroup) -> None:
    """Lets a member that lost its disk catch up on only part of the log."""
    leader, replaced, lagging = group.wait_for_leader()
    group.isolate(lagging)
    group.propose(b"first")
    group.propose(LARGE_DATA)
    group.run(0.5)
    group.lose_disk(replaced)
    group.crash(leader)
    group.heal()
    group.start(replaced)
    group.start(leader)
    # The lagging member's vote elects the old leader, but the member receives
    # neither of the last two entries.
    group.run_until(lambda: group.nodes[leader].replica.leader_since, 10.0)
    group.block_link(leader, lagging)
    for _ in range(40):
        if not group.nodes[replaced].replica.blank:
            break
        group.step()
    group.isolate(leader)
    group.run(4.0)


def lose_second_disk(group: CheckedGroup) -> None:
    """Loses a second disk as soon as the first member is a voter again."""
    leader, replaced, _ = group.wait_for_leader()
    group.propose(b"kept")
    group.run(0.3)
    group.lose_disk(replaced)
    group.start(replaced)
    group.isolate(replaced)
    # For its first 4 s the new identity is isolated and cannot receive the log.
    for step in range(400):
        if step == 160:
            group.heal()
        if group.membership_repaired():
            break
        group.step()
    group.lose_disk(leader)
    group.heal()
    group.run(6.0)


def crash_between_reply_and_sync(group: CheckedGroup) -> None:
    """Crashes a follower after its reply and before its sync."""
    leader, acknowledging, lagging = group.wait_for_leader()
    group.isolate(lagging)
    group.propose(b"kept")
    group.step()
    group.nodes[acknowledging].crash_before_save = True
    group.run(0.2)
    group.crash(leader)
    group.heal()
    group.start(acknowledging)
    group.run(5.0)


def replicate_old_term_entry(group: CheckedGroup) -> None:
    """Replicates an entry of term 2 to a majority in term 4.

    Another member holds an entry of term 3 at the same index. Members that hold
    the entry of term 2 may still elect it; its entry then replaces theirs.
    """
    for name in group.nodes:
        group.crash(name)
    first, second, third, fourth, fifth = group.nodes
    old = Entry(2, 2, EntryKind.DATA, LARGE_DATA)
    for name in (first, second):
        group.nodes[name].disk.save(Output(HardState(3), entries=(old,)))
    newer = Entry(2, 3, EntryKind.DATA, b"newer")
    group.nodes[fifth].disk.save(Output(HardState(3), entries=(newer,)))
    for name in (first, second, third):
        group.start(name)
    for _ in range(400):
        group.step()
        third_log = group.nodes[third].disk.entries
        if len(third_log) == 2:
            break
    assert len(third_log) == 2, (
        "the entry of term 2 did not reach the third member"
    )
    # Long enough for the reply to arrive, but not for the next entry.
    group.isolate(third)
    group.run(0.05)
    for name in (first, second):
        group.crash(name)
    group.heal()
    for name in (fourth, fifth):
        group.start(name)
    group.run(6.0)


def crash_on_full_disk(group: CheckedGroup) -> None:
    """Crashes a follower that waits for space with an entry it received."""
    leader, waiting, lagging = group.wait_for_leader()
    group.isolate(lagging)
    group.fill_disk(waiting, 10.0)
    group.propose(b"kept")
    group.run(0.2)
    group.crash(waiting)
    group.crash(leader)
    group.heal()
    group.start(waiting)
    group.nodes[waiting].disk_full_until = 0.0
    group.run(5.0)


def fill_disk_of_leader(group: CheckedGroup) -> None:
    """Fills the disk of the leader for longer than any election takes."""
    leader, *_ = group.wait_for_leader()
    group.fill_disk(leader, 10.0)
    group.propose(b"unsaved")
    group.run(3.0)


SCHEDULES = {
    "a follower is isolated five times": isolate_follower_repeatedly,
    "one follower loses only its link to the leader": cut_leader_follower_link,
    "a voter restarts while the lease holds": restart_voter_during_lease,
    "all voters but the lease holder restart": restart_all_but_lease_holder,
    "a member rejoins with part of the log": rejoin_with_partial_log,
    "a second disk is lost after a repair": lose_second_disk,
    "a member crashes between reply and sync": crash_between_reply_and_sync,
    "an entry of an old term reaches a majority": replicate_old_term_entry,
    "a member crashes while it waits for space": crash_on_full_disk,
    "the disk of the leader is full": fill_disk_of_leader,
}


OUTCOMES = {
    "one replica led": lambda o: set(o) == {"1 terms, led: True"},
    "the leader was replaced": lambda o: not any(x[:2] == "1 " for x in o),
    "no invariant is violated": lambda o: all("terms" in x for x in o),
    "two leader leases": lambda o: any("two leader leases" in x for x in o),
    "a committed entry is lost": lambda o: all("lacks" in x for x in o),
    "a lease is kept": lambda o: all("lease outlasts" in x for x in o),
    "a leader is elected": lambda o: all("led: True" in x for x in o),
    "no leader is elected": lambda o: all("led: False" in x for x in o),
}


def run_schedule(name: str, variant: dict, runs: int = 5) -> list[str]:
    """Runs a schedule with several seeds; returns the outcome of each run."""
    schedule, outcomes = SCHEDULES[name], []
    for seed in range(runs):
        members = "abcde" if schedule is replicate_old_term_entry else "abc"
        group = CheckedGroup(members, seed, **variant)
        try:
            schedule(group)
            led = group.lease_holder() is not None
            outcomes.append(f"{group.elections} terms, led: {led}")
        except BrokenInvariantError as exc:
            outcomes.append(str(exc))
    return outcomes


def _random_fault(group: CheckedGroup, rng: random.Random) -> None:
    name = rng.choice(list(group.nodes))
    node = group.nodes[name]
    match rng.randrange(14):
        case 0:
            group.crash(name)
        case 1 | 2 | 10:
            group.start_all()
        case 3:
            if node.replica is not None:
                node.crash_before_save = True
        case 4:
            group.isolate(name)
        case 5:
            group.block_link(*rng.sample(list(group.nodes), 2))
        case 6 | 11:
            group.heal()
        case 12:
            for running in group.running():
                group.transfer_leadership(running.name)
        case 13:
            for full in rng.sample(list(group.nodes), rng.randint(1, 3)):
                group.fill_disk(full, rng.uniform(0.1, 3.0))
        case 7:
            group.freeze(name, rng.uniform(0.1, 2.0))
        case 8:
            group.blocked_links.add(tuple(rng.sample(list(group.nodes), 2)))
        case 9:
            # The design tolerates one lost disk at a time. A member that is
            # not a voter yet may lose its disk again.
            if group.membership_repaired() or not group.may_be_voter(name):
                group.lose_disk(name)


def random_schedule(seed: int, seconds: float = 4.0, **variant) -> CheckedGroup:
    """Runs a group with random faults and checks that it recovers."""
    rng = random.Random(seed)
    group = CheckedGroup(seed=seed, **variant)
    group.loss = rng.choice((0.0, 0.05, 0.3))
    group.duplication = rng.choice((0.0, 0.1))
    group.delay = (0.001, rng.choice((0.005, 0.05, 0.4)))
    group.compact_interval = rng.choice((0, 3, 12))
    # With rate 0.0 the group is idle; only then can a reconnected member, whose
    # log is not behind, still win votes.
    rate = rng.choice((0.0, 0.02, 0.25))
    pause_s = rng.choice((0.2, 0.6, 1.5))
    try:
        group.run_until(group.lease_holder, 20.0)
        end_at = group.now + seconds
        while group.now < end_at:
            _random_fault(group, rng)
            end = group.now + rng.uniform(0.05, pause_s)
            while group.now < end:
                propose_randomly(group, rng, rate)
                group.step()
        recover(group)
    except (BrokenInvariantError, ReplicaError, AssertionError) as exc:
        raise AssertionError(f"fault schedule seed {seed}: {exc}") from exc
    return group


def propose_randomly(
    group: CheckedGroup, rng: random.Random, rate: float
) -> None:
    """Proposes to each member that considers itself leader, even if deposed.

    Args:
        group: Group of the members.
        rng: Source of randomness.
        rate: Probability of a proposal to each of them.
    """
    for node in group.running():
        if node.replica.leader_since is not None and rng.random() < rate:
            node.replica.propose(
                rng.getrandbits(64).to_bytes(8).hex().encode(),
                node.clock(group.now),
            )


def recover(group: CheckedGroup) -> None:
    """Ends all faults; waits until every member has applied a new entry."""
    group.heal()
    group.loss, group.delay = 0.0, (0.001, 0.005)
    group.start_all()
    for node in group.nodes.values():
        node.frozen_until = node.disk_full_until = 0.0
        node.crash_before_save = False
    group.run_until(
        lambda: group.lease_holder() and group.membership_repaired(), 12.0
    )
    index = group.propose(b"last")
    group.run_until(
        lambda: all(n.applied >= index for n in group.nodes.values()), 3.0
    )


def fill_disks(group: CheckedGroup, how: str, rng: random.Random) -> None:
    """Fills the disks of members for some seconds under changes.

    Args:
        group: Group of five members.
        how: One of "one after another", "twice in a row", "three at once" and
            "all at once".
        rng: Source of randomness.
    """
    names = list(group.nodes)
    rng.shuffle(names)
    match how:
        case "one after another":
            turns = [[name] for name in names]
        case "twice in a row":
            turns = [[name] for name in names for _ in range(2)]
        case "three at once":
            turns = [names[:3], names[2:]]
        case "all at once":
            turns = [names]
    for number, turn in enumerate(turns):
        for name in turn:
            group.fill_disk(name, 4.5 + rng.uniform(-0.5, 0.5))
        for step in range(11):
            group.propose(f"{number} {step}".encode())
            group.run(0.5)


def change_until_applied(
    group: CheckedGroup, data: bytes, limit_s: float
) -> None:
    """Proposes a change again and again, as clients do, until it is applied.

    Raises:
        AssertionError: It was not applied within the limit.
    """
    end = group.now + limit_s
    while data not in group.applied_at:
        assert group.now < end, f"{data} was not applied within {limit_s} s"
        group.propose(data)
        group.run(0.5)
