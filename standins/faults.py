"""Faults to inject into the stand-in endpoints."""

import attrs


@attrs.define
class Fault:
    """A fault injected into the next requests.

    Attributes:
        mode: Kind of the fault; see `runner` and `desk`.
        at: Token of the attempt, counted from 0, for streams; seconds for
            `delay`; bytes for `big`.
        times: Number of requests that it affects; negative means all.
    """

    mode: str
    at: float = 0.0
    times: int = 1


def parse_fault(text: str) -> Fault | None:
    """Parses `mode[:at[:times]]`; empty text means no fault."""
    if not text:
        return None
    mode, _, rest = text.partition(":")
    at, _, times = rest.partition(":")
    return Fault(mode, float(at or 0), int(times or 1))


@attrs.define
class Faults:
    """Faults still to be injected, in order.

    Attributes:
        pending: The faults; the first one applies to the next request.
    """

    pending: list[Fault] = attrs.field(factory=list)

    def add(self, fault: Fault | None) -> None:
        """Appends a fault, if one is given."""
        if fault is not None:
            self.pending.append(fault)

    def take(self) -> Fault | None:
        """Returns the fault for the current request, if any."""
        if not self.pending:
            return None
        fault = self.pending[0]
        fault.times -= 1
        if fault.times == 0:
            self.pending.pop(0)
        return fault
