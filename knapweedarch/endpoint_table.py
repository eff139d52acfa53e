"""Endpoints known to a router, and the feeds of its runners."""

import contextlib
import random
from collections.abc import Sequence

import anyio
import anyio.abc

from knapweedarch.adapters import Adapter
from knapweedarch.exceptions import EndpointError
from knapweedarch.feeds import FeedItem
from knapweedarch.logs import log, traceback_text
from knapweedarch.metrics import Metrics
from knapweedarch.models import (
    CacheEvent,
    CacheSnapshot,
    Endpoint,
    EndpointKind,
    EndpointStatus,
    LoadReport,
)
from knapweedarch.scheduler import Scheduler
from knapweedarch.state import EndpointEntry
from knapweedarch.timers import Clock

# Delay before a lost feed is opened again; it doubles up to the maximum while
# no item arrives.
FEED_RETRY_S = 0.2
FEED_RETRY_MAX_S = 5.0
# Distance to a data centre that is not listed.
DEFAULT_DISTANCE_MS = 1000.0


class EndpointTable:
    """Keeps the endpoints received with grants and follows runner feeds.

    Args:
        scheduler: Receives the runners and the items of their feeds.
        adapter: Opens the feeds.
        clock: Clock of the router.
        metrics: Counts lost feeds.
        distances_ms: Distance to each data centre in milliseconds.
        seed: Seed of the random delays before a feed is opened again.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        adapter: Adapter,
        clock: Clock,
        metrics: Metrics,
        distances_ms: dict[str, float],
        seed: str,
    ):
        self._scheduler = scheduler
        self._adapter = adapter
        self._clock = clock
        self._metrics = metrics
        self._distances_ms = distances_ms
        self._random = random.Random(seed)
        self._endpoints: dict[str, Endpoint] = {}
        self._announced: dict[str, Endpoint] = {}
        self._feeds: dict[str, anyio.CancelScope] = {}
        self._task_group: anyio.abc.TaskGroup | None = None

    def start(self, group: anyio.abc.TaskGroup) -> None:
        """Sets the task group in which feeds are followed."""
        self._task_group = group

    def all(self) -> list[Endpoint]:
        """Returns all endpoints."""
        return list(self._endpoints.values())

    def active_count(self) -> int:
        """Returns the number of endpoints that may get new work."""
        return sum(
            e.status is EndpointStatus.ACTIVE for e in self._endpoints.values()
        )

    def active_addresses(self) -> list[str]:
        """Returns the addresses of the endpoints that may get new work."""
        return [
            e.address
            for e in self._endpoints.values()
            if e.status is EndpointStatus.ACTIVE
        ]

    def service_endpoints(self, name: str) -> Sequence[Endpoint]:
        """Returns the active endpoints of a plain service, nearest first."""
        found = [
            e
            for e in self._endpoints.values()
            if e.kind is EndpointKind.SERVICE
            and name in e.serves
            and e.status is EndpointStatus.ACTIVE
        ]
        return sorted(found, key=lambda e: (self._distance_ms(e), e.id))

    def _distance_ms(self, endpoint: Endpoint) -> float:
        return self._distances_ms.get(endpoint.data_centre, DEFAULT_DISTANCE_MS)

    def needs_announcement(self, endpoint: Endpoint) -> bool:
        """Returns whether an announcement must be forwarded to the members.

        It is not if this router already applies the announcement, or if the
        members have received it and this router knows the endpoint. One of a
        leaving endpoint is forwarded until the members have received it: the
        endpoint is answered only after all routers know that it leaves, so this
        router's state is not enough.
        """
        if self._announced.get(endpoint.id) == endpoint:
            return endpoint.id not in self._endpoints
        known = self._endpoints.get(endpoint.id)
        return known != endpoint or endpoint.status is EndpointStatus.LEAVING

    def mark_announced(self, endpoint: Endpoint) -> None:
        """Records that the members have received an announcement."""
        self._announced[endpoint.id] = endpoint

    def update(self, entries: Sequence[EndpointEntry]) -> None:
        """Applies changed endpoints and opens the feeds of new runners."""
        for entry in entries:
            endpoint = entry.endpoint
            before = self._endpoints.get(endpoint.id)
            self._endpoints[endpoint.id] = endpoint
            if before is None or (before.incarnation, before.url) != (
                endpoint.incarnation,
                endpoint.url,
            ):
                self._restart_feed(endpoint)
        runners = [
            e for e in self._endpoints.values() if e.kind is EndpointKind.RUNNER
        ]
        self._scheduler.set_endpoints(runners, self._clock.now())

    def _restart_feed(self, endpoint: Endpoint) -> None:
        if scope := self._feeds.pop(endpoint.id, None):
            scope.cancel()
        if endpoint.kind is EndpointKind.RUNNER:
            scope = self._feeds[endpoint.id] = anyio.CancelScope()
            self._task_group.start_soon(self._follow_feed, endpoint, scope)

    async def _follow_feed(
        self, endpoint: Endpoint, scope: anyio.CancelScope
    ) -> None:
        with scope:
            pause_s = FEED_RETRY_S
            while True:
                try:
                    # An error here must not leave the feed's connection open.
                    async with contextlib.aclosing(
                        self._adapter.follow_feed(endpoint)
                    ) as items:
                        async for item in items:
                            pause_s = FEED_RETRY_S
                            self._apply_feed_item(item)
                except EndpointError as exc:
                    log("feed_lost", endpoint=endpoint.id, reason=exc.reason)
                    self._record_lost(endpoint)
                except Exception as exc:
                    # A fault in one feed must not end the router.
                    log(
                        "feed_failed",
                        endpoint=endpoint.id,
                        reason=traceback_text(exc),
                    )
                    self._record_lost(endpoint)
                # The growing delay limits the cost of a runner that is gone.
                await anyio.sleep(pause_s * self._random.uniform(0.5, 1.0))
                pause_s = min(2 * pause_s, FEED_RETRY_MAX_S)

    def _record_lost(self, endpoint: Endpoint) -> None:
        self._metrics.count("feed.lost")
        self._scheduler.feed_lost(endpoint.id, self._clock.now())

    def _apply_feed_item(self, item: FeedItem) -> None:
        now = self._clock.now()
        match item:
            case LoadReport():
                self._scheduler.report_load(item, now)
            case CacheEvent():
                self._scheduler.cache_event(item, now)
            case CacheSnapshot():
                self._scheduler.cache_snapshot(item, now)
