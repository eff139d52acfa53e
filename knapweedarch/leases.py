"""Router leases: the leader's table and the holder's lease.

A router may start new work only while it holds its lease. The leader reports
a change as in force once every router with an unexpired lease has applied it.
Leader and holder each use their own clock, so the leader lets a lease expire
later than the holder does, by the maximum clock drift.
"""

import attrs

LEASE_S = 2.0
RENEW_INTERVAL_S = 0.5
# Fraction by which the leader's clock may run faster than a router's.
MAX_CLOCK_DRIFT = 0.05
# Time on the leader's clock after which a lease that it granted must have
# expired on the router's clock.
GRANT_S = LEASE_S * (1 + MAX_CLOCK_DRIFT)


@attrs.define
class _Grant:
    """Latest grant to a router.

    Attributes:
        until: Expiry on the leader's clock, in seconds.
        applied: Log index up to which the router has applied changes.
    """

    until: float
    applied: int


class LeaseTable:
    """Leases granted by one leader in one term.

    All times are in seconds on the leader's clock.

    Args:
        leader_since: Time at which the leader was elected.
        lease_s: Duration of a lease in seconds; equal on every member.
    """

    def __init__(self, leader_since: float, lease_s: float = LEASE_S):
        self._lease_s = lease_s
        self._grant_s = lease_s * (1 + MAX_CLOCK_DRIFT)
        self._prior_grants_end = leader_since + self._grant_s
        self._grants: dict[str, _Grant] = {}
        self._waiting_since: dict[int, float] = {}
        self._in_force = 0

    def grant(self, holder: str, applied: int, now: float) -> float:
        """Grants or renews the lease of a router.

        While a change that the router has not applied is pending, the lease
        ends at the latest one lease duration after the first `in_force` call
        for that change. Otherwise a router that renews but never receives or
        applies a change would block it forever.

        Args:
            holder: The router.
            applied: Log index up to which it has applied changes.
            now: Current time.

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
        """Returns whether a router may still hold a lease.

        A new leader does not know the grants of its predecessor and treats
        every router as a holder until all of them must have expired.
        """
        if now < self._prior_grants_end:
            return True
        current = self._grants.get(holder)
        return current is not None and now < current.until

    def in_force(self, index: int, now: float) -> bool:
        """Returns whether each router has applied `index` or has no lease.

        The caller has committed `index` and polls until this returns True. It
        then stays True, because every later grant includes the change.
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
        """Lists routers that have not applied `index` but still have a lease.

        Also removes the expired grants.
        """
        expired = [h for h, g in self._grants.items() if g.until <= now]
        for holder in expired:
            del self._grants[holder]
        return [h for h, g in self._grants.items() if g.applied < index]

    def next_expiry(self, now: float) -> float:
        """Returns the next time at which an expiry can change `in_force`."""
        times = [g.until for g in self._grants.values() if g.until > now]
        if now < self._prior_grants_end:
            times.append(self._prior_grants_end)
        return min(times, default=now + self._grant_s)

    def count(self, now: float) -> int:
        """Counts the routers with an unexpired lease."""
        return sum(g.until > now for g in self._grants.values())


@attrs.define
class Lease:
    """Lease of a router, as the router itself sees it.

    Attributes:
        until: Expiry of the lease on the holder's clock, in seconds.
        epoch: Number of grants that found the lease expired, including the
            first one. An entitlement acquired in one epoch may belong to
            another router in the next.
    """

    until: float = 0.0
    epoch: int = 0

    def left_s(self, now: float) -> float:
        """Returns the seconds until the lease expires, or 0 if it has."""
        return max(0.0, self.until - now)

    def granted(
        self, requested_at: float, duration_s: float, now: float
    ) -> None:
        """Extends the lease, counted from when the renewal was sent.

        A delayed grant therefore extends the lease by less, or not at all.

        Args:
            requested_at: Time at which the renewal was sent, on the holder's
                clock, in seconds.
            duration_s: Duration of the lease in seconds.
            now: Current time on the holder's clock, in seconds.
        """
        if now >= self.until:
            self.epoch += 1
        self.until = max(self.until, requested_at + duration_s)

    def holds(self, now: float) -> bool:
        """Returns whether new work may start at `now`."""
        return now < self.until
