"""Aggregates the loads of all routers at each endpoint.

Each router sees only its own requests. Routers that choose by those alone send
long prompts to the same runner at the same time.
"""

from collections.abc import Hashable

import attrs

from knapweedarch.control_messages import EndpointLoad, LoadShare, LoadTotals


@attrs.define
class _LoadSum:
    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0

    def add(self, load: EndpointLoad, sign: int) -> None:
        self.requests += sign * load.requests
        self.unread_tokens += sign * load.unread_tokens
        self.held_tokens += sign * load.held_tokens


class LoadAggregator:
    """Latest load reported by each router, and the totals per endpoint.

    Loads are numbers of requests and tokens, as in `EndpointLoad`.
    """

    def __init__(self) -> None:
        self._shares: dict[Hashable, tuple[EndpointLoad, ...]] = {}
        self._sums: dict[str, _LoadSum] = {}

    def set_share(self, router: Hashable, share: LoadShare) -> None:
        """Replaces the load reported by a router."""
        self.remove_share(router)
        self._shares[router] = share.loads
        for load in share.loads:
            self._sums.setdefault(load.endpoint_id, _LoadSum()).add(load, 1)

    def remove_share(self, router: Hashable) -> None:
        """Removes a router's load, if it reported one, from the totals."""
        for load in self._shares.pop(router, ()):
            total = self._sums[load.endpoint_id]
            total.add(load, -1)
            if not total.requests:
                del self._sums[load.endpoint_id]

    def requests_at(self, endpoint_id: str) -> int:
        """Returns the number of requests of all routers at an endpoint."""
        total = self._sums.get(endpoint_id)
        return total.requests if total else 0

    def routers(self) -> list[Hashable]:
        """Returns the routers that have reported their load."""
        return list(self._shares)

    def loads_excluding(self, router: Hashable) -> LoadTotals:
        """Returns the total load of all routers but the given one.

        Raises:
            KeyError: The given router has reported no load.
        """
        own = {load.endpoint_id: load for load in self._shares[router]}
        loads = []
        for endpoint_id, total in self._sums.items():
            rest = attrs.evolve(total)
            if endpoint_id in own:
                rest.add(own[endpoint_id], -1)
            if rest.requests:
                loads.append(EndpointLoad(endpoint_id, *attrs.astuple(rest)))
        return LoadTotals(tuple(loads))
