"""Faults that the stand-in endpoints show on demand."""

import attrs


@attrs.define
class Fault:
    """A fault shown by the next requests.

    Attributes:
        mode: Kind of the fault; see `runner` and `desk`.
        at: Token offset for streams; delay in seconds for `delay`.
        times: Number of requests that show it; negative means all.
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
    """The faults still to be shown, in order."""

    pending: list[Fault] = attrs.field(factory=list)

    def add(self, fault: Fault | None) -> None:
        """Adds a fault."""
        if fault is not None:
            self.pending.append(fault)

    def take(self) -> Fault | None:
        """Returns the fault that the current request shows, if any."""
        if not self.pending:
            return None
        fault = self.pending[0]
        fault.times -= 1
        if fault.times == 0:
            self.pending.pop(0)
        return fault
