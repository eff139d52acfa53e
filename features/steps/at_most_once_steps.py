"""Steps that run seeded fault schedules against at-most-once records."""

import random
from collections import Counter

import attrs
from behave import given, then, when

from knapweedarch.leases import Lease, LeaseTable
from knapweedarch.state import (
    COMMANDS,
    MAX_RECORDS,
    RESULTS,
    Abandon,
    ControlState,
    Record,
    RecordFound,
    RecordStatus,
    Reserve,
    Reserved,
    Settle,
    TableFull,
    TimestampSource,
)

STEPS = 120
KEYS = ("deposit 1", "deposit 2")
HOUR_S = 3600.0


class FreeOnUnknown(ControlState):
    """Frees a key whose call ended with an unknown outcome."""

    def _settle(self, command):
        if command.status is RecordStatus.UNKNOWN:
            command = attrs.evolve(command, status=None)
        return super()._settle(command)


class FreeOnAbandon(ControlState):
    """Frees all keys with an unknown outcome when a router's lease expired."""

    def _abandon(self, incarnation):
        result = super()._abandon(incarnation)
        for key, record in list(self.records.items()):
            if record.status is RecordStatus.UNKNOWN:
                del self.records[key]
        return result


class FreeOnLateNotRun(ControlState):
    """Frees an unknown key if its holder reports that the call did not run."""

    def _settle(self, command):
        record = self.records.get(command.record_key)
        if record and (record.holder, command.status) == (command.holder, None):
            del self.records[command.record_key]
        return super()._settle(command)


@attrs.define
class Call:
    """A request of a caller to a router.

    Attributes:
        phase: reserving, held or closed.
        epoch: Lease epoch of the router at the reservation.
        outcome: Outcome reported to the caller: an answer, not_run or
            unknown.
    """

    key: str
    router: "CallRouter"
    holder: str
    epoch: int
    phase: str = "reserving"
    outcome: str = ""


@attrs.define
class CallRouter:
    """A router; `lease` is the code under test.

    Attributes:
        no_renewal_until: Time in seconds until which it does not renew its
            lease.
        frozen: Whether it also sends no calls until then.
    """

    name: str
    starts: int = 0
    lease: Lease = attrs.Factory(Lease)
    no_renewal_until: float = 0.0
    frozen: bool = False

    @property
    def incarnation(self) -> str:
        """Name of the router in its current run."""
        return f"{self.name}.{self.starts}"


class AtMostOnceSchedule:
    """Callers, two routers, the log and a service in virtual time.

    Args:
        seed: Seed of the schedule.
        state: Class of the state.
        one_holder: Whether all calls of a router have the same holder.
        any_epoch: Whether a call is also sent in a later lease epoch than that
            of its reservation.
        unreserved: Whether a call is also sent before it is reserved.

    Attributes:
        outcomes: Number of outcomes reported to callers, by kind.
        runs: Number of runs at the service, by key.
    """

    def __init__(
        self,
        seed,
        state=ControlState,
        one_holder=False,
        any_epoch=False,
        unreserved=False,
    ):
        self._random = random.Random(seed)
        self._state_class, self._state = state, state()
        self._one_holder, self._any_epoch = one_holder, any_epoch
        self._sendable_phases = (
            ("reserving", "held") if unreserved else ("held",)
        )
        self._now = 10.0
        self._table = LeaseTable(0.0)
        self._routers = [CallRouter("r0"), CallRouter("r1")]
        self._calls: list[Call] = []
        self._queue: list = []
        self._unknown: set[str] = set()
        self._answers: dict[str, str] = {}
        self.outcomes, self.runs = Counter(), Counter()

    def run(self):
        """Runs the schedule; raises `AssertionError` if a guarantee fails."""
        steps = (
            *(
                self._start_call,
                self._deliver,
                self._deliver,
                self._send_call,
                self._send_call,
            ),
            *(
                self._advance_time,
                self._inject_fault,
                self._duplicate_command,
                self._renew,
            ),
        )
        # Uneven weights reach states that even ones rarely reach.
        weights = [self._random.choice((1, 2, 8)) for _ in steps]
        for step in self._random.choices(steps, weights, k=STEPS):
            step()

    def _renew(self):
        for router in self._routers:
            if self._now >= router.no_renewal_until:
                duration_s = self._table.grant(router.incarnation, 0, self._now)
                router.lease.granted(self._now, duration_s, self._now)

    def _advance_time(self):
        for _ in range(self._random.randrange(1, 4)):
            self._now += 0.5
            self._renew()

    def _inject_fault(self):
        router = self._random.choice(self._routers)
        match self._random.randrange(4):
            case 0:
                for call in self._calls:
                    if call.router is router:
                        call.phase = "closed"
                router.starts += 1
                router.lease = Lease()
            case 1:
                router.no_renewal_until = self._now + self._random.uniform(1, 4)
                router.frozen = self._random.random() < 0.5
            case 2:
                self._table = LeaseTable(self._now)
            case 3:
                taken, self._state = self._state.snapshot(), self._state_class()
                self._state.restore(taken)

    def _start_call(self):
        router = self._random.choice(self._routers)
        if not router.lease.holds(self._now):
            return
        number = 0 if self._one_holder else len(self._calls)
        holder = f"{router.incarnation}/{number}"
        key = self._random.choice(KEYS)
        self._calls.append(Call(key, router, holder, router.lease.epoch))
        self._queue.append(Reserve(key, b"", holder, self._now))

    def _duplicate_command(self):
        if self._queue:
            self._queue.append(self._random.choice(self._queue))

    def _deliver(self):
        """Applies a command out of order; the answer may be lost."""
        if not self._queue:
            return
        index = self._random.randrange(len(self._queue))
        command = self._queue.pop(index)
        result = self._apply(command)
        if isinstance(command, Reserve) and self._random.random() < 0.8:
            self._handle_reserve_result(
                command, self._abandon_if_expired(command, result)
            )

    def _apply(self, command):
        result = RESULTS.decode(self._state.apply(COMMANDS.encode(command)))
        self._unknown |= {
            key
            for key, record in self._state.records.items()
            if record.status is RecordStatus.UNKNOWN
        }
        return result

    def _abandon_if_expired(self, command, result):
        """Abandons a reservation without a lease, as the leader does."""
        match result:
            case RecordFound(Record(holder=holder)) if (
                result.record.status is RecordStatus.RESERVED
                and not self._table.holds(holder.partition("/")[0], self._now)
            ):
                self._apply(Abandon(holder.partition("/")[0]))
                self._unknown.add(command.record_key)
                return RecordFound(
                    attrs.evolve(result.record, status=RecordStatus.UNKNOWN)
                )
        return result

    def _handle_reserve_result(self, command, result):
        waiting = [
            call
            for call in self._calls
            if (call.key, call.holder) == (command.record_key, command.holder)
            and call.phase == "reserving"
        ]
        for call in waiting[:1]:
            match result:
                case Reserved():
                    call.phase = "held"
                case RecordFound(Record(status=RecordStatus.DONE) as record):
                    self._report_outcome(call, record.answer.decode())
                case RecordFound(Record(status=RecordStatus.UNKNOWN)):
                    self._report_outcome(call, "unknown")
                case RecordFound(record) if record.holder == call.holder:
                    call.phase = "held"
                case _:
                    self._report_outcome(call, "unknown")

    def _report_outcome(self, call, outcome):
        call.phase, call.outcome = "closed", outcome
        self.outcomes[
            outcome if outcome in ("not_run", "unknown") else "answer"
        ] += 1
        if outcome not in ("not_run", "unknown"):
            first = self._answers.get(call.key)
            assert outcome == first, f"{call.key} got {outcome}, not {first}"

    def _settle(self, call, outcome, status, answer=""):
        self._report_outcome(call, outcome)
        self._queue.append(
            Settle(call.key, call.holder, status, 200, "", answer.encode())
        )

    def _send_call(self):
        sendable = [
            call
            for call in self._calls
            if call.phase in self._sendable_phases
            and not (
                call.router.frozen and self._now < call.router.no_renewal_until
            )
        ]
        if not sendable:
            return
        call = self._random.choice(sendable)
        lease = call.router.lease
        may_send = lease.holds(self._now) and (
            self._any_epoch or lease.epoch == call.epoch
        )
        if not may_send or self._random.random() < 0.3:
            self._settle(call, "not_run", None)  # Connection refused.
            return
        assert call.key not in self._unknown, f"{call.key} sent after unknown"
        ran = self._random.random() < 0.8
        if ran:
            self.runs[call.key] += 1
            self._answers.setdefault(call.key, f"answer to {call.holder}")
        assert self.runs[call.key] <= 1, f"{call.key} ran twice"
        if ran and self._random.random() < 0.6:
            answer = f"answer to {call.holder}"
            self._settle(call, answer, RecordStatus.DONE, answer)
        else:
            self._settle(call, "unknown", RecordStatus.UNKNOWN)


FAULTS = {
    "an unknown outcome frees the key": {"state": FreeOnUnknown},
    "the end of a lease frees the key": {"state": FreeOnAbandon},
    "a late not-run frees an unknown key": {"state": FreeOnLateNotRun},
    "a holder is a router, not one call": {"one_holder": True},
    "a call is sent under a later lease": {"any_epoch": True},
    "a call is sent before it is reserved": {"unreserved": True},
}


def run_schedules(context, count, **doubles):
    context.fault, context.outcomes, context.runs = None, Counter(), 0
    for seed in range(count):
        schedule = AtMostOnceSchedule(seed, **doubles)
        try:
            schedule.run()
        except AssertionError as exc:
            context.fault = f"seed {seed}: {exc}"
            return
        context.outcomes += schedule.outcomes
        context.runs += schedule.runs.total()


@when(
    "{count:d} schedules of crashes, lost leases, resends and duplicated "
    "commands run"
)
def run_call_schedules(context, count):
    run_schedules(context, count)


@when("up to {count:d} such schedules run in which {fault}")
def run_faulty(context, count, fault):
    run_schedules(context, count, **FAULTS[fault])


@then("every at-most-once guarantee held")
def guarantees_held(context):
    assert context.fault is None, context.fault


@then("an at-most-once guarantee was violated")
def guarantee_violated(context):
    assert context.fault is not None
    print(context.fault)


@then("at least {runs:d} calls ran and {unknown:d} outcomes were unknown")
def enough_calls(context, runs, unknown):
    assert context.runs >= runs, context.runs
    assert context.outcomes["unknown"] >= unknown, context.outcomes


# Retention of records and size of the table.


def apply(context, command):
    """Applies a command; returns the decoded result."""
    return RESULTS.decode(context.state.apply(COMMANDS.encode(command)))


def reserve(context, key, at):
    return apply(context, Reserve(key, b"", "r1/1", at))


@given("a call that ran at {hours:g} h")
def call_ran(context, hours):
    context.state = ControlState()
    assert reserve(context, "key", hours * HOUR_S) == Reserved()
    done = Settle("key", "r1/1", RecordStatus.DONE, 200, "", b"answer")
    apply(context, done)


@then("a resend at {hours:g} h gets its answer")
def resend_answered(context, hours):
    context.result = reserve(context, "key", hours * HOUR_S)
    answered(context)


@then("the resend gets the answer")
def answered(context):
    assert isinstance(context.result, RecordFound), context.result
    assert context.result.record.answer == b"answer"


@then("a resend at {hours:g} h is a new call")
def resend_is_new(context, hours):
    assert reserve(context, "key", hours * HOUR_S) == Reserved()


@given("a table full of records reserved at {hours:g} h")
def full_table(context, hours):
    context.state = ControlState()
    at = hours * HOUR_S
    record = Record(b"", "r1/1", RecordStatus.RESERVED, at)
    context.state.records.update(
        (f"key {n}", record) for n in range(MAX_RECORDS)
    )


@then("a new key at {hours:g} h is refused and a known key is found")
def refused_when_full(context, hours):
    at = hours * HOUR_S
    assert reserve(context, "new", at) == TableFull()
    assert isinstance(reserve(context, "key 0", at), RecordFound)
    assert len(context.state.records) == MAX_RECORDS


@then("a new key at {hours:g} h is reserved")
def reserved_again(context, hours):
    assert reserve(context, "new", hours * HOUR_S) == Reserved()
    assert len(context.state.records) == 1


@when(
    "a leader whose clock is {ahead:g} h ahead adds a timestamp to the resend "
    "{hours:g} h later"
)
def resend_with_timestamp(context, ahead, hours):
    since = ahead * HOUR_S
    timestamps = TimestampSource(context.state.last_stamp, since)
    at = timestamps.timestamp(since + hours * HOUR_S)
    context.result = reserve(context, "key", at)


@when(
    "the timestamp of the resend is taken from a clock that is {ahead:g} h "
    "ahead"
)
def resend_with_bare_clock(context, ahead):
    context.result = reserve(context, "key", ahead * HOUR_S)


@then("the resend is a new call")
def is_new(context):
    assert context.result == Reserved(), context.result
