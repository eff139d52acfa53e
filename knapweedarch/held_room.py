"""Room at endpoints that must not turn requests away, held by one router.

Routers know each other's loads late, so that all of them would send to a slot
that has become free. The router whose request has ended there is the first to
know. It holds the room for its next request, and reports it as taken meanwhile.
Only what no router holds is open to all, which take it with a probability that
lets them together take about as much as there is. All times are seconds on the
router's clock.
"""

import collections
import math
import random

import attrs

from knapweedarch.exponential import decay_factor

# Room is held for this long: longer than loads take to be known.
HOLD_S = 0.5
# Time within which loads of the other routers are known.
LOADS_LAG_S = 0.3
# Fraction of the open room that all routers together try to take in that time.
TAKEN_FRACTION = 0.5
# Requests that end so soon after a rejection are the rejected ones.
REJECTED_S = 0.02
# Half-life of the rate of requests that found no held room.
RATE_HALF_LIFE_S = 1.0


@attrs.define
class HeldRoom:
    """Slots of one endpoint that a router holds.

    Attributes:
        is_cautious: Whether the endpoint must not turn requests away.
        is_known: Whether it has answered this router.
        freed_at: When the slots became free, oldest first.
        rejected_at: When it last turned a request away.
    """

    is_cautious: bool = False
    is_known: bool = False
    freed_at: collections.deque[float] = attrs.field(factory=collections.deque)
    rejected_at: float = -math.inf

    def record_sent(self) -> None:
        """Uses a slot, if one is held."""
        if self.freed_at:
            self.freed_at.popleft()

    def record_ended(self, now: float) -> None:
        """Holds the slot of a request that has ended."""
        self.is_known = True
        if self.is_cautious and now - self.rejected_at > REJECTED_S:
            self.freed_at.append(now)

    def record_rejected(self, now: float) -> None:
        """Gives up all slots: there is less room than was known."""
        self.is_known = True
        self.freed_at.clear()
        self.rejected_at = now

    def count(self, now: float) -> int:
        """Returns the number of slots that are held."""
        while self.freed_at and self.freed_at[0] <= now - HOLD_S:
            self.freed_at.popleft()
        return len(self.freed_at)


class OpenRoom:
    """How often a router takes room that no router holds.

    Args:
        rng: Source of the choice.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._requests = 0.0
        self._counted_at = 0.0

    def may_take(self, room: int, router_count: int, now: float) -> bool:
        """Returns whether a request that found no held room takes open room.

        Args:
            room: Open room at all endpoints together, as far as it is known.
            router_count: Number of routers, which are assumed to get alike.
            now: The time.
        """
        factor = decay_factor(now - self._counted_at, RATE_HALF_LIFE_S)
        self._requests = self._requests * factor + 1.0
        self._counted_at = now
        per_s = self._requests * math.log(2) / RATE_HALF_LIFE_S
        others = per_s * LOADS_LAG_S * router_count
        return self._rng.random() * others < TAKEN_FRACTION * room
