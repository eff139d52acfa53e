"""A member's part in keeping within the limits that endpoints name.

It adds up what its routers and the other members report, and tells each router
what all others have sent.
"""

import collections
from collections.abc import Hashable

import attrs

from knapweedarch.rate_messages import (
    MAX_RATE_ENTRIES,
    EndpointRates,
    RateEntry,
)

# Time for which a limit is told to routers that subscribe later, in seconds.
LIMIT_TTL_S = 5.0


@attrs.frozen
class _Limit:
    per_s: float
    at: float


class RateRelay:
    """Reports on their way."""

    def __init__(self) -> None:
        self._limits: dict[int, _Limit] = {}
        self._sent: dict[int, int] = {}
        self._own_sent: dict[Hashable, collections.Counter[int]] = {}
        self._to_members: dict[int, int] = {}

    def receive(
        self,
        sender: Hashable,
        rates: EndpointRates,
        is_member: bool,
        now: float,
    ) -> None:
        """Adds what a router or another member reports."""
        own = self._own_sent.setdefault(sender, collections.Counter())
        for entry in rates.entries[:MAX_RATE_ENTRIES]:
            sent = max(0, entry.sent)
            self._limits[entry.endpoint] = _Limit(entry.limit_per_s, now)
            self._sent[entry.endpoint] = (
                self._sent.get(entry.endpoint, 0) + sent
            )
            own[entry.endpoint] += sent
            if not is_member:
                self._to_members[entry.endpoint] = (
                    self._to_members.get(entry.endpoint, 0) + sent
                )
        while len(self._limits) > MAX_RATE_ENTRIES:
            del self._limits[next(iter(self._limits))]

    @property
    def has_news(self) -> bool:
        """Whether anything was reported since `clear`."""
        return bool(self._sent)

    def news_for(self, receiver: Hashable) -> EndpointRates:
        """Returns what all but one router have sent since `clear`."""
        own = self._own_sent.get(receiver, {})
        return self._message(
            {e: sent - own.get(e, 0) for e, sent in self._sent.items()}
        )

    def news_for_members(self) -> EndpointRates:
        """Returns what this member's routers have sent since `clear`."""
        return self._message(self._to_members)

    def clear(self) -> None:
        """Starts over, once everything was passed on."""
        self._sent.clear()
        self._own_sent.clear()
        self._to_members.clear()

    def known(self, now: float) -> EndpointRates:
        """Returns the limits that a new subscriber must know."""
        self._limits = {
            endpoint: limit
            for endpoint, limit in self._limits.items()
            if now - limit.at < LIMIT_TTL_S
        }
        named = [e for e, limit in self._limits.items() if limit.per_s > 0]
        return self._message(dict.fromkeys(named, 0))

    def _message(self, sent: dict[int, int]) -> EndpointRates:
        entries = (
            RateEntry(endpoint, limit.per_s, count)
            for endpoint, count in sent.items()
            if (limit := self._limits.get(endpoint))
        )
        return EndpointRates(tuple(entries)[:MAX_RATE_ENTRIES])
