"""Keeps within the rates that endpoints in need name in their answers.

A limit holds for all routers together. Each router counts its own requests and
those that the others report. Reports are some tenths of a second old, so that
all routers would send at once when a limit leaves room again. Each therefore
considers a limited endpoint only for a share of its requests, which shrinks
when the limit was exceeded and grows when it was not used. All times are
seconds on the router's clock.
"""

import collections
import math
import random

import attrs

from knapweedarch.rate_messages import (
    MAX_RATE_ENTRIES,
    EndpointRates,
    RateEntry,
)

# Requests are counted over this time, or that of one request if it is longer.
WINDOW_S = 2.0
# A limit that no answer has named for this long, or for so many requests at
# that rate, is forgotten.
LIMIT_TTL_S = 5.0
LIMIT_TTL_REQUESTS = 3.0
# The share is adapted at this interval, the delay of the reports.
ADAPT_INTERVAL_S = 0.3
SHARE_GROWTH = 1.3
SHARE_CUT = 0.6
# Fraction of the allowance below which the share grows.
UNUSED_FRACTION = 0.8
# Reports of a limit that an answer has ceased to name are ignored for so long:
# they were sent before.
LIFTED_S = 1.0
MAX_LIMITED = MAX_RATE_ENTRIES


@attrs.define
class _Limited:
    """An endpoint that names a limit.

    Attributes:
        limit_per_s: The limit.
        named_at: When an answer last named it.
        share: Fraction of the requests for which the endpoint is considered.
        adapted_at: When the share was last adapted.
        sent: Times and numbers of requests of all routers.
        last_own_at: When this router last sent a request.
        unreported: Own requests that are not reported yet.
        is_news: Whether the limit is not reported yet.
    """

    limit_per_s: float
    named_at: float
    share: float
    adapted_at: float
    sent: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    last_own_at: float = -math.inf
    unreported: int = 0
    is_news: bool = True

    @property
    def window_s(self) -> float:
        """Time over which requests are counted, in seconds."""
        return max(WINDOW_S, 1.0 / self.limit_per_s)

    @property
    def allowance(self) -> int:
        """Requests allowed within the window."""
        # The rounding of a product that is whole must not cost a request.
        return max(1, math.floor(self.limit_per_s * self.window_s + 1e-6))

    @property
    def ttl_s(self) -> float:
        """Time after which the limit is forgotten, in seconds."""
        return max(LIMIT_TTL_S, LIMIT_TTL_REQUESTS / self.limit_per_s)

    def add(self, count: int, now: float) -> None:
        """Counts requests and drops those before the window."""
        self.sent.append((now, count))
        self.used(now)

    def used(self, now: float) -> int:
        """Returns the requests of all routers within the window."""
        while self.sent and self.sent[0][0] <= now - self.window_s:
            self.sent.popleft()
        return sum(count for _, count in self.sent)

    def adapt(self, now: float, least_share: float) -> None:
        """Adapts the share to the use of the limit."""
        if now - self.adapted_at < ADAPT_INTERVAL_S:
            return
        self.adapted_at = now
        used = self.used(now)
        if used > self.allowance:
            self.share = max(least_share, self.share * SHARE_CUT)
        elif used < UNUSED_FRACTION * self.allowance:
            self.share = min(1.0, self.share * SHARE_GROWTH)


class EndpointLimits:
    """Limits that endpoints name, and the requests sent to them.

    Args:
        rng: Source of the choice of requests.

    Attributes:
        is_shared: Whether the requests of the other routers are reported. If
            not, each router uses its share of a limit.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._limited: dict[int, _Limited] = {}
        self._lifted_at: dict[int, float] = {}
        self._lifted_news: set[int] = set()
        self._router_count = 1
        self.is_shared = False

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint names a limit."""
        return not self._limited

    def set_router_count(self, count: int) -> None:
        """Sets how many routers, this one included, share the limits."""
        self._router_count = max(1, count)

    def record_named(
        self, endpoint: int, limit_per_s: float | None, now: float
    ) -> bool:
        """Records the limit in an answer of an endpoint.

        Args:
            endpoint: Hash of the endpoint's id.
            limit_per_s: The limit; None if the answer names none.
            now: The time.

        Returns:
            Whether a limit was named or left out for the first time.
        """
        if limit_per_s is None:
            if endpoint not in self._limited:
                return False
            self._lift(endpoint, now)
            self._lifted_news.add(endpoint)
            return True
        known = self._limited.get(endpoint)
        if known is not None:
            known.is_news = known.limit_per_s != limit_per_s or known.is_news
            known.limit_per_s = limit_per_s
            known.named_at = now
            return False
        self._add(endpoint, limit_per_s, now)
        return True

    def _lift(self, endpoint: int, now: float) -> None:
        """Forgets a limit that is named no more."""
        self._limited.pop(endpoint, None)
        self._lifted_at = {
            known: at
            for known, at in self._lifted_at.items()
            if now - at < LIFTED_S
        }
        self._lifted_at[endpoint] = now

    def _add(self, endpoint: int, limit_per_s: float, now: float) -> _Limited:
        limited = _Limited(limit_per_s, now, 1.0, now)
        limited.share = min(1.0, limited.allowance / self._router_count)
        self._limited[endpoint] = limited
        while len(self._limited) > MAX_LIMITED:
            del self._limited[next(iter(self._limited))]
        return limited

    def wait_s(self, endpoint: int, now: float) -> float:
        """Returns after how many seconds an endpoint takes a request; 0: now.

        Each request must ask once for each endpoint.
        """
        limited = self._limited.get(endpoint)
        if limited is None:
            return 0.0
        if now - limited.named_at > limited.ttl_s:
            del self._limited[endpoint]
            return 0.0
        if not self.is_shared:
            interval_s = self._router_count / limited.limit_per_s
            return max(0.0, limited.last_own_at + interval_s - now)
        limited.adapt(now, 1.0 / self._router_count)
        if limited.used(now) >= limited.allowance:
            return limited.sent[0][0] + limited.window_s - now
        if self._rng.random() >= limited.share:
            return ADAPT_INTERVAL_S
        return 0.0

    def record_sent(self, endpoint: int, now: float) -> None:
        """Counts a request of this router."""
        limited = self._limited.get(endpoint)
        if limited is not None:
            limited.add(1, now)
            limited.last_own_at = now
            limited.unreported += 1

    def receive(self, rates: EndpointRates, now: float) -> None:
        """Counts requests of the other routers."""
        for entry in rates.entries[:MAX_RATE_ENTRIES]:
            if entry.limit_per_s <= 0:
                self._lift(entry.endpoint, now)
                continue
            if now - self._lifted_at.get(entry.endpoint, -math.inf) < LIFTED_S:
                continue
            limited = self._limited.get(entry.endpoint)
            if limited is None:
                limited = self._add(entry.endpoint, entry.limit_per_s, now)
                limited.is_news = False
            limited.named_at = now
            if entry.sent > 0:
                limited.add(entry.sent, now)

    def take_rates(self) -> EndpointRates | None:
        """Returns what is to be reported to the member, if anything is."""
        entries = [RateEntry(e, 0.0, 0) for e in sorted(self._lifted_news)]
        self._lifted_news.clear()
        for endpoint, limited in self._limited.items():
            if limited.unreported or limited.is_news:
                entries.append(
                    RateEntry(endpoint, limited.limit_per_s, limited.unreported)
                )
                limited.unreported, limited.is_news = 0, False
        return EndpointRates(tuple(entries)) if entries else None


def create_endpoint_limits(seed: int) -> EndpointLimits:
    """Creates the limits of a router.

    Args:
        seed: Seed of the choice of requests; it must differ from router to
            router.
    """
    return EndpointLimits(random.Random(seed))
