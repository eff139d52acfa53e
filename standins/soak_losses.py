"""Which members of a site count as lost, by the rules of the platform."""

import math

import attrs

# A member counts as lost for this long after it is back or has started.
SYNC_S = 4.0


@attrs.define
class Losses:
    """Times until which the places of members count as lost.

    A place is taken by a member and, after it is replaced, by its successor.

    Attributes:
        budget: Number of places that may be lost at once.
        all_back_at: When the members were last back after more than the
            budget had been lost; infinite until then.
    """

    budget: int
    all_back_at: float = -math.inf
    _lost_until: dict[int, float] = attrs.field(factory=dict)

    def begin(self, place: int) -> None:
        """Counts a place as lost until `end`."""
        self._lost_until[place] = math.inf

    def end(self, place: int, now: float) -> None:
        """Notes that the member of a place is back or has started."""
        self._lost_until[place] = now + SYNC_S

    def is_lost(self, place: int, now: float) -> bool:
        """Returns whether a place counts as lost."""
        return self._lost_until.get(place, -math.inf) > now

    def count(self, now: float) -> int:
        """Returns the number of lost places."""
        return sum(self.is_lost(place, now) for place in self._lost_until)

    def has_room(self, places: set[int], now: float) -> bool:
        """Returns whether the budget allows to lose these places as well."""
        lost = {p for p in self._lost_until if self.is_lost(p, now)}
        return len(lost | places) <= self.budget

    def calm_since(self) -> float:
        """Returns since when no place counts as lost; may be in the future."""
        return max(self._lost_until.values(), default=-math.inf)
