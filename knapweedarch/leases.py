"""Router leases: the leader's table and the holder's side.

A router may start new work only while its lease holds. The leader answers a
change as in force once every router with a running lease has applied it. The
two ends measure on their own clocks, so the leader counts a little longer
than the holder.
"""

import attrs

LEASE_S = 2.0
RENEW_INTERVAL_S = 0.5
MAX_CLOCK_DRIFT = 0.05
GRANT_S = LEASE_S * (1 + MAX_CLOCK_DRIFT)


@attrs.define
class _Grant:
    until: float
    applied: int


class LeaseTable:
    """Leases granted by one leader in one term.

    Args:
        leader_since: When the leader took office, in seconds.
        lease_s: Duration of a lease in seconds; the same at every member.
    """

    def __init__(self, leader_since: float, lease_s: float = LEASE_S):
        self._lease_s = lease_s
        self._grant_s = lease_s * (1 + MAX_CLOCK_DRIFT)
        self._prior_grants_end = leader_since + self._grant_s
        self._grants: dict[str, _Grant] = {}
        self._waiting_since: dict[int, float] = {}
        self._in_force = 0

    def grant(self, holder: str, applied: int, now: float) -> float:
        """Notes a renewal by a router that has applied `applied`.

        A lease does not run past the time by which a waiting change that the
        router lacks must be in force. Else a router that renews but cannot
        hear or apply a change would hold it up for ever.

        Returns:
            Duration of the lease in seconds, at most `lease_s`.
        """
        current = self._grants.get(holder)
        applied = max(applied, current.applied if current else 0)
        waiting_times = [
            t for i, t in self._waiting_since.items() if applied < i
        ]
        until = min([now, *waiting_times]) + self._grant_s
        expires_at = max(until, current.until if current else until)
        self._grants[holder] = _Grant(expires_at, applied)
        return max(0.0, until - now) * (self._lease_s / self._grant_s)

    def holds(self, holder: str, now: float) -> bool:
        """Tells whether a router may still hold a lease.

        A new leader knows no grants of its predecessor and takes every router
        for a holder until they must have run out.
        """
        if now < self._prior_grants_end:
            return True
        current = self._grants.get(holder)
        return current is not None and now < current.until

    def in_force(self, index: int, now: float) -> bool:
        """Tells whether each router has applied `index` or has no lease.

        The caller has committed `index` and asks until the answer is yes. It
        then stays so, because every later answer to a renewal brings it.
        """
        if index <= self._in_force:
            return True
        self._waiting_since.setdefault(index, now)
        if now < self._prior_grants_end or self.waiting_for(index, now):
            return False
        for done in [i for i in self._waiting_since if i <= index]:
            del self._waiting_since[done]
        self._in_force = index
        return True

    def waiting_for(self, index: int, now: float) -> list[str]:
        """Lists routers with a running lease that have not applied `index`."""
        expired = [h for h, g in self._grants.items() if g.until <= now]
        for holder in expired:
            del self._grants[holder]
        return [h for h, g in self._grants.items() if g.applied < index]

    def next_expiry(self, now: float) -> float:
        """Returns when `in_force` may change by time alone, in seconds."""
        times = [g.until for g in self._grants.values() if g.until > now]
        if now < self._prior_grants_end:
            times.append(self._prior_grants_end)
        return min(times, default=now + self._grant_s)

    def count(self, now: float) -> int:
        """Counts the routers with a running lease."""
        return sum(g.until > now for g in self._grants.values())


@attrs.define
class Lease:
    """The holder's side.

    Attributes:
        until: End of the lease on the holder's clock, in seconds.
        epoch: Number of times that the lease began anew after a lapse. What
            was entitled in one epoch may belong to another router in the next.
    """

    until: float = 0.0
    epoch: int = 0

    def left_s(self, now: float) -> float:
        """Returns the seconds until the lease ends; 0 when it has."""
        return max(0.0, self.until - now)

    def granted(
        self, requested_at: float, duration_s: float, now: float
    ) -> None:
        """Extends the lease, counted from when the renewal was sent.

        A grant that was delayed on its way is thereby short or void.
        """
        if now >= self.until:
            self.epoch += 1
        self.until = max(self.until, requested_at + duration_s)

    def holds(self, now: float) -> bool:
        """Tells whether new work may start now."""
        return now < self.until
