"""What the leader remembers of endpoints' heartbeats.

The table lives in the leader's memory: a new leader gives every endpoint the
whole limit again before it takes one for silent.
"""

import math
from collections.abc import Iterable

import attrs

from knapweedarch.control_messages import Heartbeat
from knapweedarch.models import Endpoint


@attrs.define
class _LastHeartbeat:
    incarnation: str
    number: int
    at: float


class HeartbeatTable:
    """Newest heartbeat of each endpoint.

    Args:
        started_at: When the table began, in seconds.
        silent_s: Time without a heartbeat after which an endpoint counts as
            silent; 0 where endpoints send none.
    """

    def __init__(self, started_at: float, silent_s: float = 0.0):
        self._started_at = started_at
        self._silent_s = silent_s
        self._last_heartbeats: dict[str, _LastHeartbeat] = {}

    def record(self, heartbeat: Heartbeat, now: float) -> Endpoint | None:
        """Notes a heartbeat.

        Returns:
            The endpoint, or None if the heartbeat was overtaken by a later one
            or is of an earlier start.
        """
        endpoint = heartbeat.endpoint
        known = self._last_heartbeats.get(endpoint.id)
        if known is not None:
            if incarnation_start(known.incarnation) > incarnation_start(
                endpoint.incarnation
            ):
                return None
            same_incarnation = known.incarnation == endpoint.incarnation
            if same_incarnation and heartbeat.number <= known.number:
                return None
        self._last_heartbeats[endpoint.id] = _LastHeartbeat(
            endpoint.incarnation, heartbeat.number, now
        )
        return endpoint

    def silent_endpoints(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> list[Endpoint]:
        """Returns the endpoints that were not heard for `silent_s`."""
        if not self._silent_s:
            return []
        return [
            e
            for e in endpoints
            if now - self._last_heard_at(e) > self._silent_s
        ]

    def retract(self, heartbeat: Heartbeat) -> None:
        """Lets a heartbeat that was not stored be told again."""
        known = self._last_heartbeats.get(heartbeat.endpoint.id)
        if known is not None and known.number == heartbeat.number:
            known.number -= 1

    def _last_heard_at(self, endpoint: Endpoint) -> float:
        last = self._last_heartbeats.get(endpoint.id)
        if last is None or last.incarnation != endpoint.incarnation:
            return self._started_at
        return last.at


def incarnation_start(incarnation: str) -> float:
    """Returns the start that an incarnation names, if it is a number."""
    return float(incarnation) if incarnation.isdecimal() else -math.inf
