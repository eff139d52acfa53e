"""Latest heartbeats of endpoints, kept in the leader's memory.

The table is not replicated. A new leader waits the full limit for every
endpoint before it considers one silent.
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
    """Latest heartbeat of each endpoint.

    Args:
        started_at: Start of the leader's term in seconds on its clock; an
            endpoint without a heartbeat is silent `silent_s` after it.
        silent_s: Seconds without a heartbeat after which an endpoint is silent;
            0 if endpoints send no heartbeats.
    """

    def __init__(self, started_at: float, silent_s: float = 0.0):
        self._started_at = started_at
        self._silent_s = silent_s
        self._last_heartbeats: dict[str, _LastHeartbeat] = {}

    def record(self, heartbeat: Heartbeat, now: float) -> Endpoint | None:
        """Records a heartbeat that arrived at `now`.

        Returns:
            The endpoint, or None if the same or a later heartbeat has already
            arrived or the heartbeat belongs to an earlier incarnation.
        """
        endpoint = heartbeat.endpoint
        known = self._last_heartbeats.get(endpoint.id)
        if known is not None:
            if started_before(endpoint.incarnation, known.incarnation):
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
        """Returns the endpoints without a heartbeat for over `silent_s`."""
        if not self._silent_s:
            return []
        return [
            e
            for e in endpoints
            if now - self._last_heard_at(e) > self._silent_s
        ]

    def retract(self, heartbeat: Heartbeat) -> None:
        """Lets a heartbeat that was not stored be recorded again."""
        known = self._last_heartbeats.get(heartbeat.endpoint.id)
        if known is not None and known.number == heartbeat.number:
            known.number -= 1

    def _last_heard_at(self, endpoint: Endpoint) -> float:
        last = self._last_heartbeats.get(endpoint.id)
        if last is None or last.incarnation != endpoint.incarnation:
            return self._started_at
        return last.at


def started_before(incarnation: str, other: str) -> bool:
    """Returns whether an incarnation started before another one."""
    return _start(incarnation) < _start(other)


def _start(incarnation: str) -> float:
    """Returns the start time that an incarnation consists of.

    Its unit is the sender's, so it is only compared with other start times. An
    incarnation that is not a decimal number is earlier than all others.
    """
    return float(incarnation) if incarnation.isdecimal() else -math.inf
