"""Replays traces of `once_spec` on `knapweedarch.state.ControlState`."""

from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Abandon,
    ControlState,
    Record,
    RecordStatus,
    Reserve,
    Reserved,
    Settle,
)
from spec import once_spec
from spec.once_spec import ROUTER_OF

KEY = "key"
_STATUS = {
    once_spec.DONE: RecordStatus.DONE,
    once_spec.UNKNOWN: RecordStatus.UNKNOWN,
    once_spec.NOT_RUN: None,
}


def _holder(attempt: int) -> str:
    return f"router{ROUTER_OF[attempt]}/{attempt}"


def _command(label: str) -> object | None:
    """Returns the command of a step, or None if the step applies none."""
    match label.split():
        case ["apply", "reserve", a, *_]:
            return Reserve(KEY, b"digest", _holder(int(a)), 0.0)
        case ["apply", "settle", a, status, answer]:
            text = answer.encode()
            holder = _holder(int(a))
            return Settle(KEY, holder, _STATUS[status], 200, "", text)
        case ["abandon", a]:
            return Abandon(_holder(int(a)).partition("/")[0])
    return None


def _expected(record: once_spec.Record | None) -> tuple | None:
    if record is None:
        return None
    return record.status, _holder(record.attempt), str(record.answer)


def _actual(record: Record | None) -> tuple | None:
    if record is None:
        return None
    answer = record.answer.decode() or "None"
    return record.status.value, record.holder, answer


def find_mismatch(trace: list, restore_at: int = -1) -> str | None:
    """Returns the first step at which code and specification differ.

    Before step `restore_at` (-1: never), the state is restored from its own
    snapshot. Returns None if they agree on the whole trace.
    """
    state = ControlState()
    for i, (label, after) in enumerate(trace):
        if i == restore_at:
            snapshot, state = state.snapshot(), ControlState()
            state.restore(snapshot)
        command = _command(label)
        if command is None:
            continue
        before = state.records.get(KEY)
        result = RESULTS.decode(state.apply(COMMANDS.encode(command)))
        actual = _actual(state.records.get(KEY))
        if actual != _expected(after.record):
            return f"step {i} {label}: record {actual}, not {after.record}"
        if isinstance(command, Reserve) and (
            isinstance(result, Reserved) != (before is None)
        ):
            return f"step {i} {label}: reply {result}"
    return None
