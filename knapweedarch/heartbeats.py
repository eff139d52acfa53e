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
class _Heard:
    incarnation: str
    number: int
    at: float


class HeartbeatTable:
    """Newest heartbeat of each endpoint.

    Args:
        since: When the table began, in seconds.
        silent_s: Time without a heartbeat after which an endpoint counts as
            silent; 0 where endpoints send none.
    """

    def __init__(self, since: float, silent_s: float = 0.0):
        self._since = since
        self._silent_s = silent_s
        self._heard: dict[str, _Heard] = {}

    def note(self, heartbeat: Heartbeat, now: float) -> Endpoint | None:
        """Notes a heartbeat.

        Returns:
            The endpoint, or None if the heartbeat was overtaken by a later one
            or is of an earlier start.
        """
        endpoint = heartbeat.endpoint
        known = self._heard.get(endpoint.id)
        if known is not None:
            if born(known.incarnation) > born(endpoint.incarnation):
                return None
            same = known.incarnation == endpoint.incarnation
            if same and heartbeat.number <= known.number:
                return None
        self._heard[endpoint.id] = _Heard(
            endpoint.incarnation, heartbeat.number, now
        )
        return endpoint

    def silent(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> list[Endpoint]:
        """Returns the endpoints that were not heard for `silent_s`."""
        if not self._silent_s:
            return []
        return [e for e in endpoints if now - self._last(e) > self._silent_s]

    def retract(self, heartbeat: Heartbeat) -> None:
        """Lets a heartbeat that was not stored be told again."""
        known = self._heard.get(heartbeat.endpoint.id)
        if known is not None and known.number == heartbeat.number:
            known.number -= 1

    def _last(self, endpoint: Endpoint) -> float:
        heard = self._heard.get(endpoint.id)
        if heard is None or heard.incarnation != endpoint.incarnation:
            return self._since
        return heard.at


def born(incarnation: str) -> float:
    """Returns the start that an incarnation names, if it is a number."""
    return float(incarnation) if incarnation.isdecimal() else -math.inf
