"""What endpoints say of themselves in their answers, and what follows.

A statement is one incarnation's, so a new one at the same address starts free.
That an endpoint leaves, or wants nothing for a time, binds the router to which
it said so; limits of requests bind all routers together (see `endpoint_rates`).
All times are seconds on the router's clock.
"""

import math
import random
from collections.abc import Iterable

import attrs

from knapweedarch.models import Endpoint
from knapweedarch.quarantine_messages import runner_digest

# A longer wait is taken for this one.
LONGEST_WAIT_S = 3600.0
MAX_STATEMENTS = 1024
# An endpoint says in all its answers that it is brittle. Of many routers, each
# may send to it seldom.
BRITTLE_TTL_S = 60.0
# A brittle endpoint that has turned a request away rests for this long.
REST_S = 0.5
# Routers that were told to wait at one moment come back over this fraction of
# the wait.
WAIT_SPREAD = 0.25


@attrs.frozen(kw_only=True)
class EndpointStatement:
    """What one answer says of its endpoint.

    Attributes:
        limit_per_s: Requests a second that it takes at most, from all routers
            together; None if it names none.
        is_leaving: Whether it leaves.
        wait_s: Seconds for which it wants no requests from this router; 0 for
            none.
        brittle_per_s: Requests that it may turn away in a second for want of
            room; it falls over if it has to turn more away. None if it is not
            brittle.
        malformed: Names of the headers that could not be read.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    wait_s: float = 0.0
    brittle_per_s: float | None = None
    malformed: tuple[str, ...] = ()


class EndpointWaits:
    """Endpoints that take no requests from this router now.

    Args:
        rng: Source of the spread of waits.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._until: dict[int, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether all endpoints take requests."""
        return not self._until

    def record(
        self, endpoint: Endpoint, statement: EndpointStatement, now: float
    ) -> bool:
        """Records a statement.

        A wait never shortens an earlier one, and an endpoint that has said that
        it leaves does not come back: answers may overtake each other.

        Returns:
            Whether the endpoint takes requests later than it did before.
        """
        wait_s = min(statement.wait_s, LONGEST_WAIT_S)
        if statement.is_leaving:
            wait_s = math.inf
        key = _digest(endpoint)
        if not wait_s or now + wait_s <= self._until.get(key, -math.inf):
            return False
        spread = self._rng.uniform(1.0, 1.0 + WAIT_SPREAD)
        self._until[key] = now + wait_s * spread
        while len(self._until) > MAX_STATEMENTS:
            del self._until[next(iter(self._until))]
        return True

    def wait_s(self, endpoint: Endpoint, now: float) -> float:
        """Returns in how many seconds an endpoint takes requests, or 0.

        It is infinite if the endpoint leaves.
        """
        key = _digest(endpoint)
        until = self._until.get(key)
        if until is None:
            return 0.0
        if until <= now:
            del self._until[key]
            return 0.0
        return until - now

    def retain(self, endpoints: Iterable[Endpoint]) -> None:
        """Discards the statements of all incarnations but those given."""
        if self._until:
            kept = {_digest(endpoint) for endpoint in endpoints}
            self._until = {k: t for k, t in self._until.items() if k in kept}


@attrs.frozen
class _Brittle:
    limit_per_s: float
    named_at: float


class BrittleEndpoints:
    """Endpoints that fall over when they turn many requests away.

    Routers send to them only while they seem to have room, and let one rest
    that has turned a request away.
    """

    def __init__(self) -> None:
        self._brittle: dict[int, _Brittle] = {}

    def record(
        self, endpoint: Endpoint, statement: EndpointStatement, now: float
    ) -> None:
        """Records whether an endpoint says that it is brittle."""
        key = _digest(endpoint)
        self._brittle.pop(key, None)
        if statement.brittle_per_s is not None:
            self._brittle[key] = _Brittle(statement.brittle_per_s, now)
        while len(self._brittle) > MAX_STATEMENTS:
            del self._brittle[next(iter(self._brittle))]

    def limit(self, endpoint: Endpoint, now: float) -> float | None:
        """Returns what a brittle endpoint bears; None if it is not brittle."""
        if not self._brittle:
            return None
        known = self._brittle.get(_digest(endpoint))
        if known is None or now - known.named_at > BRITTLE_TTL_S:
            return None
        return known.limit_per_s

    def wait_after_rejection_s(self, endpoint: Endpoint, now: float) -> float:
        """Returns for how long an endpoint that had no room gets nothing."""
        return 0.0 if self.limit(endpoint, now) is None else REST_S


def create_brittle_endpoints() -> BrittleEndpoints:
    """Creates the brittle endpoints known to a router."""
    return BrittleEndpoints()


def create_endpoint_waits(seed: int) -> EndpointWaits:
    """Creates the waits of a router.

    Args:
        seed: Seed of their spread; it must differ from router to router.
    """
    return EndpointWaits(random.Random(seed))


def _digest(endpoint: Endpoint) -> int:
    return runner_digest(endpoint.id, endpoint.incarnation)
