"""Steps that run seeded fault schedules against leases and the state."""

import heapq
import itertools
import random

import attrs
from behave import given, then, when

from knapweedarch.leases import (
    GRANT_S,
    LEASE_S,
    RENEW_INTERVAL_S,
    Lease,
    LeaseTable,
)
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.state import (
    COMMANDS,
    MAX_STORED_ANSWERS,
    RESULTS,
    Announce,
    ControlState,
    EndpointAccepted,
    PutRules,
    Reserve,
    Retire,
    RulesAccepted,
    RulesConflict,
    Settle,
)

DURATION_S = 12.0
# Two clocks with this error in opposite directions differ in rate by 4.9%,
# slightly less than `MAX_CLOCK_DRIFT`.
MAX_RATE_ERROR = 0.024
POLL_S = 0.05
WORK_S = 0.06
# A link that is silent for longer is closed, so no message is delayed more.
MAX_DELAY_S = 1.0


class NoWaitTable(LeaseTable):
    """A new leader that does not wait until earlier grants have expired."""

    def __init__(self, leader_since: float):
        super().__init__(leader_since - GRANT_S)


class CommitOnlyTable(LeaseTable):
    """A leader that answers as soon as the change is committed."""

    def in_force(self, index: int, now: float) -> bool:
        """Does not wait for any router."""
        return now >= self._prior_grants_end


class NoDriftMarginTable(LeaseTable):
    """A leader that allows no margin for clock drift."""

    def grant(self, holder: str, applied: int, now: float) -> float:
        """Records the duration of the lease without the margin."""
        return super().grant(holder, applied, now - (GRANT_S - LEASE_S))


class UnlimitedGrantTable(LeaseTable):
    """A leader that renews leases whatever the holder has applied."""

    def grant(self, holder: str, applied: int, now: float) -> float:
        """Discards the pending changes."""
        self._waiting_since.clear()
        return super().grant(holder, applied, now)


class ReceiptTimedLease(Lease):
    """A router that counts its lease from the receipt of the grant."""

    def granted(
        self, requested_at: float, duration_s: float, now: float
    ) -> None:
        """Ignores the transmission time of the grant."""
        super().granted(now, duration_s, now)


class StaleStateError(Exception):
    """A router started work under a state older than an answered change."""


@attrs.define
class Process:
    """Clock and faults of one process.

    Attributes:
        rate: Rate of its clock relative to true time.
        frozen_until: End of its freeze, in true time.
        partitioned_until: End of the loss of all its messages, in true time.
        replies_lost_until: End of the loss of replies to it, in true time.
    """

    rate: float
    frozen_until: float = 0.0
    partitioned_until: float = 0.0
    replies_lost_until: float = 0.0

    def clock(self, now: float) -> float:
        """Returns the time on its own clock."""
        return 500.0 + now * self.rate


@attrs.define
class FakeLeader(Process):
    """A leader; `table` is the code under test."""

    table: LeaseTable | None = None


@attrs.define
class FakeRouter(Process):
    """A router; `lease` is the code under test."""

    name: str = ""
    lease: Lease = attrs.Factory(Lease)
    starts: int = 0
    applied: int = 0


class LeaseSchedule:
    """Leaders, routers and one operator in virtual time.

    Attributes:
        answered: Number of changes answered as in force.
        longest_s: Longest time from commit to answer under one leader.
    """

    def __init__(self, seed: int, table=LeaseTable, lease=Lease):
        self._random = random.Random(seed)
        self._table, self._lease = table, lease
        self._now, self._sequence = 0.0, itertools.count()
        self._events: list = []
        self._committed = self._in_force = 0
        self.answered, self.longest_s = 0, 0.0
        self._leader: FakeLeader | None = None
        self._routers = [
            FakeRouter(self._rate(), name=f"r{n}", lease=lease())
            for n in range(3)
        ]

    def _rate(self) -> float:
        # Extreme rates find more faults than rates in between.
        return 1 + self._random.choice((-1, 0, 1)) * MAX_RATE_ERROR

    def _schedule(self, delay: float, step, *args) -> None:
        item = (self._now + delay, next(self._sequence), step, args)
        heapq.heappush(self._events, item)

    def _is_running_else_defer(self, process: Process, step, *args) -> bool:
        """Returns whether the process is running; otherwise defers the step."""
        if self._now < process.frozen_until:
            self._schedule(process.frozen_until - self._now, step, *args)
            return False
        return True

    def _delay(self) -> float:
        if self._random.random() < 0.1:
            return self._random.uniform(0.2, MAX_DELAY_S)
        return self._random.uniform(0.001, 0.01)

    def run(self) -> None:
        """Runs the schedule.

        Raises:
            StaleStateError: A router started work under an older state than
                one that was answered as in force.
        """
        self._elect()
        for router in self._routers:
            self._schedule(
                self._random.uniform(0, RENEW_INTERVAL_S), self._renew, router
            )
            self._schedule(self._random.uniform(0, WORK_S), self._work, router)
        for _ in range(5):
            self._schedule(self._random.uniform(1, 10), self._inject_fault)
        for _ in range(6):
            self._schedule(self._random.uniform(1, 10), self._commit_change)
        while self._events and self._now < DURATION_S:
            self._now, _, step, args = heapq.heappop(self._events)
            step(*args)

    def _elect(self) -> None:
        leader = FakeLeader(self._rate())
        leader.table = self._table(leader.clock(self._now))
        self._leader = leader

    def _inject_fault(self) -> None:
        until = self._now + self._random.uniform(0.3, 5.0)
        router = self._random.choice(self._routers)
        match self._random.randrange(5):
            case 0 if self._leader is not None:
                # The leader crashed or froze: its leader lease expires before
                # the next leader is elected.
                self._leader = None
                self._schedule(self._random.uniform(0.6, 1.8), self._elect)
            case 1:
                router.partitioned_until = until
            case 2:
                router.frozen_until = until
            case 3:
                router.starts += 1
                router.lease, router.applied = self._lease(), 0
            case 4:
                router.replies_lost_until = until + 5.0

    def _renew(self, router: FakeRouter) -> None:
        if not self._is_running_else_defer(router, self._renew, router):
            return
        renewal = (router.starts, router.clock(self._now), router.applied)
        if self._now >= router.partitioned_until:
            self._schedule(self._delay(), self._grant, router, renewal)
        self._schedule(RENEW_INTERVAL_S, self._renew, router)

    def _grant(self, router: FakeRouter, renewal: tuple) -> None:
        leader = self._leader
        if leader is None:
            return
        starts, _, applied = renewal
        holder = f"{router.name}/{starts}"
        now = leader.clock(self._now)
        duration_s = leader.table.grant(holder, applied, now)
        if self._now >= max(
            router.partitioned_until, router.replies_lost_until
        ):
            granted = (self._committed, duration_s)
            self._schedule(
                self._delay(), self._receive_grant, router, renewal, *granted
            )

    def _receive_grant(
        self, router: FakeRouter, renewal: tuple, index: int, duration_s: float
    ) -> None:
        if not self._is_running_else_defer(
            router, self._receive_grant, router, renewal, index, duration_s
        ):
            return
        starts, requested_at, _ = renewal
        if starts == router.starts:
            router.applied = max(router.applied, index)
            now = router.clock(self._now)
            router.lease.granted(requested_at, duration_s, now)

    def _work(self, router: FakeRouter) -> None:
        if not self._is_running_else_defer(router, self._work, router):
            return
        holds = router.lease.holds(router.clock(self._now))
        if holds and router.applied < self._in_force:
            raise StaleStateError(
                f"{router.name} works under {router.applied} at "
                f"{self._now:.3f} s, {self._in_force} is in force"
            )
        self._schedule(
            WORK_S * self._random.uniform(0.3, 1), self._work, router
        )

    def _commit_change(self) -> None:
        if self._leader is None:
            return
        self._committed += 1
        self._answer(self._leader, self._committed, self._now)

    def _answer(self, leader: FakeLeader, index: int, since: float) -> None:
        if leader is not self._leader:
            return
        if leader.table.in_force(index, leader.clock(self._now)):
            self._in_force = max(self._in_force, index)
            self.answered += 1
            self.longest_s = max(self.longest_s, self._now - since)
            return
        self._schedule(POLL_S, self._answer, leader, index, since)


LEASE_FAULTS = {
    "a new leader does not wait for earlier grants to expire": {
        "table": NoWaitTable
    },
    "a router counts its lease from the receipt of the grant": {
        "lease": ReceiptTimedLease
    },
    "a change is answered as soon as it is committed": {
        "table": CommitOnlyTable
    },
    "the leader adds no margin for clock drift to a lease of 2.0 s": {
        "table": NoDriftMarginTable
    },
}


@when(
    "up to {count:d} schedules run in which routers that receive no replies "
    "get new leases"
)
def run_unlimited_grants(context, count):
    run_leases(context, count, table=UnlimitedGrantTable)


@then("an answer took longer than {limit:f} s under one leader")
def answer_too_late(context, limit):
    assert context.longest_s > limit, context.longest_s
    print(f"longest wait {context.longest_s:.1f} s")


def run_seeds(context, count, run):
    """Runs seeds until one fails; records the failing seed and its fault."""
    context.fault = None
    for seed in range(count):
        try:
            run(seed)
        except AssertionError as exc:
            context.fault = f"seed {seed}: {exc}"
            return


def run_leases(context, count, **doubles):
    context.answered, context.longest_s = 0, 0.0

    def run(seed):
        schedule = LeaseSchedule(seed, **doubles)
        try:
            schedule.run()
        except StaleStateError as exc:
            raise AssertionError(exc) from exc
        context.answered += schedule.answered
        context.longest_s = max(context.longest_s, schedule.longest_s)

    run_seeds(context, count, run)


@when(
    "{count:d} schedules of leader changes, partitions, lost replies, frozen "
    "processes and delayed grants run"
)
def run_lease_schedules(context, count):
    run_leases(context, count)


@when("up to {count:d} schedules run in which {fault}")
def run_faulty_leases(context, count, fault):
    run_leases(context, count, **LEASE_FAULTS[fault])


@then("no router started work under an older state")
@then("no endpoint came back without an operator")
@then("their results and final states are equal")
def no_fault_found(context):
    assert context.fault is None, context.fault


@then("a router started work under an older state")
@then("a guarantee to the operators was violated")
@then("an endpoint came back without an operator")
@then("some results or final states differ")
def fault_found(context):
    assert context.fault is not None
    print(context.fault)


@then("every change was answered within {limit:f} s unless the leader changed")
def answers_in_time(context, limit):
    # The limit is GRANT_S on the slowest leader clock and one poll.
    assert context.longest_s <= limit, context.longest_s


@then("at least {count:d} changes were answered")
def enough_answers(context, count):
    assert context.answered >= count, context.answered


# Concurrent changes of the rule file.


class UncheckedBaseState(ControlState):
    """Accepts a file whatever its base version is."""

    def _put_rules(self, command):
        self.rules_version += 1
        self.rules_text = command.text
        return RulesAccepted(self.rules_version)


class NoStoredAnswersState(ControlState):
    """Stores no answers."""

    def apply(self, data: bytes) -> bytes:
        """Applies a resend as if it were a new command."""
        self._answers.clear()
        return super().apply(data)


RULE_FAULTS = {
    "the base version is not checked": UncheckedBaseState,
    "answers are not stored": NoStoredAnswersState,
}


def apply(state, command):
    """Applies a command; returns the decoded result."""
    return RESULTS.decode(state.apply(COMMANDS.encode(command)))


def race(seed, state_class=ControlState):
    """Runs operators who submit rule files and resend them after lost answers.

    A resend may come after other operators' commands.
    """
    rng, state = random.Random(seed), state_class()
    sent, first_answers, accepted, texts = [], {}, {}, [""]
    for n in range(30):
        if sent and rng.random() < 0.5:
            command = rng.choice(sent)
        else:
            base = max(0, state.rules_version - (rng.random() < 0.3))
            command = PutRules(f"order {n}", base, f"file {n}")
            sent.append(command)
        before = state.rules_text
        answer = apply(state, command)
        known = first_answers.setdefault(command.request_id, answer)
        assert answer == known, f"{command} got {answer} after {known}"
        if isinstance(answer, RulesAccepted):
            file = accepted.setdefault(command.base_version, command.text)
            assert file == command.text, f"two files on {command.base_version}"
        if state.rules_text != before:
            assert state.rules_text not in texts, "an older text was restored"
            texts.append(state.rules_text)
    assert len(accepted) == state.rules_version


@when("{count:d} races of operators who resend files after lost answers run")
def run_races(context, count):
    run_seeds(context, count, race)


@when("up to {count:d} races run in which {fault}")
def run_faulty_races(context, count, fault):
    run_seeds(context, count, lambda s: race(s, RULE_FAULTS[fault]))


@then("each base version has exactly one accepted file")
@then("each resend got the first answer")
@then("no version of the rules was followed by an older text")
def race_guarantees_held(context):
    no_fault_found(context)


@given("rule files 1 and 2 were accepted")
def two_files(context):
    context.state = ControlState()
    for n in (1, 2):
        result = apply(
            context.state, PutRules(f"order {n}", n - 1, f"file {n}")
        )
        assert result == RulesAccepted(n)


@given("the stored answer to file 1 was dropped from the bounded table")
def answer_dropped(context):
    for n in range(MAX_STORED_ANSWERS):
        apply(context.state, Retire(f"retire {n}", "nobody"))


@when("file 1 is sent again")
def file_again(context):
    context.result = apply(context.state, PutRules("order 1", 0, "file 1"))


@then("it is a conflict and file 2 is in force")
def conflict(context):
    assert context.result == RulesConflict(2), context.result
    assert context.state.rules_text == "file 2"


# Retirement of endpoints.


class UnmarkedRetirementState(ControlState):
    """Retires an endpoint without recording that an operator did so."""

    def _put_endpoint(self, endpoint, retired, superseded):
        super()._put_endpoint(endpoint, False, superseded)


def build_endpoint(name, incarnation):
    return Endpoint(
        *(name, f"{name}/{incarnation}", "http://127.0.0.1:1"),
        *(EndpointKind.SERVICE, ("desk",)),
    )


def retire_schedule(seed, state_class=ControlState):
    """Runs endpoints that restart and operators who retire them.

    Announcements may be repeated late.
    """
    rng, state = random.Random(seed), state_class()
    starts, retired, sent_announcements = {"e1": 0, "e2": 0}, set(), []
    for n in range(40):
        name = rng.choice(sorted(starts))
        match rng.randrange(5):
            case 0:
                starts[name] += 1
            case 1 if isinstance(
                apply(state, Retire(f"order {n}", name)), EndpointAccepted
            ):
                retired.add(name)
            case 2 if rng.random() < 0.3:
                endpoint = build_endpoint(name, starts[name])
                apply(state, Announce(endpoint, True, f"order {n}"))
                retired.discard(name)
            case _:
                if sent_announcements and rng.random() < 0.3:
                    announced = rng.choice(sent_announcements)
                else:
                    endpoint = build_endpoint(name, starts[name])
                    announced = Announce(endpoint)
                    sent_announcements.append(announced)
                apply(state, announced)
        for retired_name in retired:
            status = state.endpoints[retired_name].endpoint.status
            assert status is EndpointStatus.LEAVING, (
                f"{retired_name} at step {n}"
            )


@when("{count:d} schedules of announcements, restarts and retirements run")
def run_retirements(context, count):
    run_seeds(context, count, retire_schedule)


@when(
    "up to {count:d} schedules of announcements run in which retirements are "
    "not stored"
)
def run_faulty_retirements(context, count):
    run_seeds(
        context, count, lambda s: retire_schedule(s, UnmarkedRetirementState)
    )


# Snapshots.


class AnswerlessSnapshotState(ControlState):
    """Ignores the stored answers when it restores a snapshot."""

    def restore(self, data: bytes) -> None:
        """Restores all but the answers."""
        super().restore(data)
        self._answers.clear()


def random_commands(rng):
    """Returns commands of several kinds; some are sent more than once."""
    commands = []
    for n in range(60):
        name = f"e{rng.randrange(3)}"
        key, holder = f"key {rng.randrange(4)}", f"router{rng.randrange(2)}/1"
        commands.append(
            rng.choice(
                (
                    PutRules(f"order {n}", rng.randrange(3), f"file {n}"),
                    Announce(build_endpoint(name, rng.randrange(3))),
                    Retire(f"order {n}", name),
                    Reserve(key, b"", holder, n * 10_000.0),
                    Settle(key, holder, None),
                    rng.choice(commands) if commands else Retire("x", name),
                )
            )
        )
    return commands


def snapshot_run(seed, state_class=ControlState):
    """Compares a state with one that is restored from snapshots."""
    rng = random.Random(seed)
    plain, restored = ControlState(), state_class()
    for n, command in enumerate(random_commands(rng)):
        if rng.random() < 0.3:
            taken, restored = restored.snapshot(), state_class()
            restored.restore(taken)
        results = apply(plain, command), apply(restored, command)
        assert results[0] == results[1], f"step {n}: {results}"
    assert plain.snapshot() == restored.snapshot(), "the states differ"


@when("{count:d} command sequences run with and without snapshots")
def run_snapshots(context, count):
    run_seeds(context, count, snapshot_run)


@when(
    "up to {count:d} command sequences run in which snapshots lack the answers"
)
def run_faulty_snapshots(context, count):
    run_seeds(
        context, count, lambda s: snapshot_run(s, AnswerlessSnapshotState)
    )
