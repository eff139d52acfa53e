"""Sums the loads of all routers at each endpoint.

Each router sees only its own requests. Routers that choose by those alone send
long prompts to the same runner at the same time. A router reports its loads to
a member of its data centre, which passes on their sum to the other members, so
that loads cross between data centres once.
"""

from collections.abc import Hashable, Iterable

from knapweedarch.relay_messages import EndpointLoad

Loads = dict[int, EndpointLoad]


class LoadSum:
    """Total load of each endpoint, and which totals have changed."""

    def __init__(self) -> None:
        self._totals: Loads = {}
        self._changed: set[int] = set()

    def add(self, load: EndpointLoad, sign: int = 1) -> None:
        """Adds a load, or subtracts it if `sign` is -1."""
        found = combine(self.load_of(load.endpoint), load, sign)
        if found.requests:
            self._totals[load.endpoint] = found
        else:
            self._totals.pop(load.endpoint, None)
        self._changed.add(load.endpoint)

    def load_of(self, endpoint: int) -> EndpointLoad:
        """Returns the total load of an endpoint."""
        return self._totals.get(endpoint) or no_load(endpoint)

    def all(self) -> tuple[EndpointLoad, ...]:
        """Returns the totals that are not zero."""
        return tuple(self._totals.values())

    def take_changes(self) -> tuple[EndpointLoad, ...]:
        """Returns the totals that have changed since the last call."""
        changed, self._changed = self._changed, set()
        return tuple(self.load_of(i) for i in sorted(changed))


class LoadRelay:
    """Loads of this member's routers, and of the other members' routers.

    Attributes:
        local: Sum over the routers that report to this member.
        total: Sum over all routers.
    """

    def __init__(self) -> None:
        self.local = LoadSum()
        self.total = LoadSum()
        self._reported: dict[Hashable, Loads] = {}

    def apply(
        self, sender: Hashable, loads: Iterable[EndpointLoad], is_member: bool
    ) -> None:
        """Applies changed loads.

        Args:
            sender: The router, or the member that reports for its routers.
            loads: New loads of some endpoints.
            is_member: Whether the sender is a member.
        """
        reported = self._reported.setdefault(sender, {})
        for load in loads:
            before = reported.pop(load.endpoint, None)
            if before is not None:
                self._add(before, -1, is_member)
            if load.requests:
                reported[load.endpoint] = load
                self._add(load, 1, is_member)

    def remove(self, sender: Hashable, is_member: bool) -> None:
        """Subtracts everything that a sender has reported."""
        for load in self._reported.pop(sender, {}).values():
            self._add(load, -1, is_member)

    def _add(self, load: EndpointLoad, sign: int, is_member: bool) -> None:
        self.total.add(load, sign)
        if not is_member:
            self.local.add(load, sign)


def no_load(endpoint: int) -> EndpointLoad:
    """Returns the load of an endpoint without requests."""
    return EndpointLoad(endpoint, 0, 0, 0)


def combine(a: EndpointLoad, b: EndpointLoad, sign: int = 1) -> EndpointLoad:
    """Returns the sum of two loads of one endpoint, or their difference.

    A difference is at least zero.
    """
    return EndpointLoad(
        a.endpoint,
        max(0, a.requests + sign * b.requests),
        max(0, a.unread_tokens + sign * b.unread_tokens),
        max(0, a.held_tokens + sign * b.held_tokens),
    )
