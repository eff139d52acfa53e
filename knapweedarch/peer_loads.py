"""A router's side of the exchange of loads.

The totals that a member sends include this router's own load as of one of its
earlier messages, whose number the member names. The router subtracts the load
of that message, which gives the load of all other routers.
"""

import collections
from collections.abc import Iterable

import attrs

from knapweedarch.load_relay import combine, no_load
from knapweedarch.relay_messages import EndpointLoad, LoadChanges, pack_loads

# Messages whose loads are remembered. The member confirms each one after a few
# tenths of a second.
MAX_UNCONFIRMED = 64


@attrs.frozen
class _SentLoads:
    number: int
    loads: dict[int, EndpointLoad]


class PeerLoads:
    """Derives the load of the other routers from the totals of a member."""

    def __init__(self) -> None:
        self._number = 0
        self._current: dict[int, EndpointLoad] = {}
        self._unconfirmed: collections.deque[_SentLoads] = collections.deque(
            maxlen=MAX_UNCONFIRMED
        )
        self._included: dict[int, EndpointLoad] = {}
        self._totals: dict[int, EndpointLoad] = {}

    def reset(self) -> None:
        """Starts over with another member, which knows no loads yet."""
        self.__init__()

    def take_changes(self, own: Iterable[EndpointLoad]) -> LoadChanges | None:
        """Returns the message that reports this router's load, if any is due.

        Args:
            own: Loads of this router that are not zero.
        """
        loads = {load.endpoint: load for load in own}
        changed = [
            load for i, load in loads.items() if self._current.get(i) != load
        ]
        changed += [no_load(i) for i in self._current.keys() - loads.keys()]
        if not changed:
            return None
        self._number += 1
        self._current = loads
        self._unconfirmed.append(_SentLoads(self._number, loads))
        return LoadChanges(self._number, pack_loads(changed))

    def confirm(self, number: int) -> None:
        """Records which own loads the next totals include."""
        while self._unconfirmed and self._unconfirmed[0].number <= number:
            self._included = self._unconfirmed.popleft().loads

    def receive(self, totals: Iterable[EndpointLoad]) -> None:
        """Applies changed totals."""
        for load in totals:
            if load.requests:
                self._totals[load.endpoint] = load
            else:
                self._totals.pop(load.endpoint, None)

    def others(self) -> tuple[EndpointLoad, ...]:
        """Returns the loads of the other routers that are not zero."""
        rest = (
            combine(load, self._included.get(i) or no_load(i), -1)
            for i, load in self._totals.items()
        )
        return tuple(load for load in rest if load.requests)
