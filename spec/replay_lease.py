"""Replays traces of `lease_spec` on `knapweedarch.leases`.

Routers have the slowest clock allowed, on which 2.0 s last 2.1 s.
"""

from knapweedarch.leases import (
    GRANT_S,
    LEASE_S,
    MAX_CLOCK_DRIFT,
    Lease,
    LeaseTable,
)
from spec import lease_spec

TICK_S = GRANT_S / lease_spec.GRANT_TICKS
# Code and specification are compared just after a tick, so that floating-point
# rounding at the tick itself does not affect the result.
COMPARISON_OFFSET_S = 1e-6


class LeaseReplay:
    """Lease tables and leases of the code, driven by the steps of a trace.

    Lease tables use the time in seconds since the start of the trace, leases
    that of a router's clock.

    Args:
        routers: Number of routers.
        drift: A router's clock takes 1 + `drift` seconds to count one second.

    Attributes:
        fault: What the code refused although the specification allows it;
            empty if nothing.
    """

    def __init__(self, routers: int, drift: float = MAX_CLOCK_DRIFT):
        self._ticks = 0
        self._drift = drift
        self._tables = [LeaseTable(0.0)]
        self._leases = [Lease() for _ in range(routers)]
        self._incarnations = [0] * routers
        self.fault = ""

    def _now(self) -> float:
        return self._ticks * TICK_S

    def _router_clock(self, now: float) -> float:
        return 1000.0 + now / (1 + self._drift)

    def step(self, label: str, state: lease_spec.State) -> None:
        """Applies the step of the specification that led to `state`."""
        match label.split():
            case ["commit"]:
                # `in_force` records the same, but would answer at once if no
                # router has a lease; the specification may answer later.
                waiting = self._tables[-1]._waiting_since
                waiting[state.committed] = self._now()
            case ["in", "force", n, version]:
                now = self._now() + COMPARISON_OFFSET_S
                if not self._tables[int(n)].in_force(int(version), now):
                    self.fault = "the change is not in force"
            case ["tick"]:
                self._ticks += 1
            case ["elect", _]:
                self._tables.append(LeaseTable(self._now()))
            case ["restart", r]:
                # The specification drops the old grant, since it could only
                # delay answers.
                for table in self._tables:
                    table._grants.pop(f"{r}/{self._incarnations[int(r)]}", None)
                self._incarnations[int(r)] += 1
                self._leases[int(r)] = Lease()
            case ["grant", n, r, "renew", _, applied]:
                holder = f"{r}/{self._incarnations[int(r)]}"
                self._tables[int(n)].grant(holder, int(applied), self._now())
            case ["take", r, "grant", left, _]:
                # A whole lease that is counted from `age` seconds ago ends when
                # the granted one does, also if the leader granted less.
                age = (lease_spec.GRANT_TICKS - int(left)) * TICK_S
                sent_at = self._router_clock(self._now() - age)
                now = self._router_clock(self._now())
                self._leases[int(r)].granted(sent_at, LEASE_S, now)

    def find_mismatch(self, state: lease_spec.State) -> str | None:
        """Returns how code and specification differ in this state, or None."""
        if self.fault:
            return self.fault
        now = self._now() + COMPARISON_OFFSET_S
        for r, router in enumerate(state.routers):
            if self._leases[r].holds(self._router_clock(now)) != bool(
                router.lease
            ):
                return f"lease of router {r}"
        for n, leader in enumerate(state.leaders):
            for version in range(1, state.committed + 1):
                expected = any(t and v < version for t, v in leader.grants)
                actual = bool(self._tables[n].waiting_for(version, now))
                if actual != expected:
                    return f"waiting_for({version}) of leader {n}"
        return None


def find_mismatch(
    trace: list, routers: int, drift: float = MAX_CLOCK_DRIFT
) -> str | None:
    """Returns the first step at which code and specification differ.

    Returns None if they agree on the whole trace. `LeaseReplay` describes
    `routers` and `drift`.
    """
    replay = LeaseReplay(routers, drift)
    for i, (label, after) in enumerate(trace):
        replay.step(label, after)
        if found := replay.find_mismatch(after):
            return f"step {i} {label}: {found}"
    return None
