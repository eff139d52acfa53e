"""Follows the cache events of runners and stores by long polling."""

from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
import anyio.abc
import attrs

from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log
from knapweedarch.stored_parts import CacheChanges, PartsIndex

RETRY_DELAY_S = 0.5


@attrs.frozen
class PollTiming:
    """Timing of the long polling of a source.

    Attributes:
        wait_s: Longest time in seconds for which the source waits for an event.
        pause_s: Pause in seconds before the next call, which batches events.
    """

    wait_s: float
    pause_s: float


# Calls to other data centres use bandwidth between them, so they are less
# frequent. Wait and pause together stay below the silence after which a runner
# is avoided (`ChoiceConfig.silence_limit_s`).
LOCAL_POLL_TIMING = PollTiming(wait_s=0.6, pause_s=0.12)
REMOTE_POLL_TIMING = PollTiming(wait_s=0.5, pause_s=0.25)


@attrs.frozen
class FeedSource:
    """A runner or store whose events are followed.

    Attributes:
        address: IP address and port.
        is_local: Whether it is in the proxy's own data centre.
    """

    address: str
    is_local: bool

    @property
    def poll_timing(self) -> PollTiming:
        """Timing of the calls to this source."""
        return LOCAL_POLL_TIMING if self.is_local else REMOTE_POLL_TIMING


class CacheFeed(Protocol):
    """Requests cache events; implemented by the platform's adapter."""

    async def cache_changes(
        self, address: str, since: int, wait_s: float
    ) -> CacheChanges:
        """Waits up to `wait_s` seconds for the events from `since` on.

        Args:
            address: IP address and port of the source.
            since: Number of the first event to return.
            wait_s: Longest wait in seconds if there is no such event yet.

        Raises:
            ExchangeError: The source did not answer.
        """


class CacheFeeds:
    """Runs one long-polling task per source and updates the index.

    Attributes:
        on_answer: Called with the address of the source after each answer.
    """

    def __init__(
        self, feed: CacheFeed, index: PartsIndex, group: anyio.abc.TaskGroup
    ):
        self._feed = feed
        self._index = index
        self._group = group
        self.on_answer: Callable[[str], None] = lambda address: None
        self._scopes: dict[FeedSource, anyio.CancelScope] = {}
        self._answering: set[FeedSource] = set()

    @property
    def answering_count(self) -> int:
        """Number of sources that answered the last call."""
        return len(self._answering)

    def set_sources(self, sources: Iterable[FeedSource]) -> None:
        """Starts following new sources and stops following removed ones.

        The parts of removed sources are removed from the index.
        """
        wanted = set(sources)
        for source in self._scopes.keys() - wanted:
            self._scopes.pop(source).cancel()
            self._answering.discard(source)
            self._index.forget(source.address)
        for source in wanted - self._scopes.keys():
            scope = self._scopes[source] = anyio.CancelScope()
            self._group.start_soon(self._follow, source, scope)

    async def _follow(
        self, source: FeedSource, scope: anyio.CancelScope
    ) -> None:
        cached = self._index.parts_at(source.address)
        with scope:
            while True:
                try:
                    cached.apply_changes(
                        await self._feed.cache_changes(
                            *(source.address, cached.next_number),
                            source.poll_timing.wait_s,
                        )
                    )
                except ExchangeError as exc:
                    self._mark_lost(source, exc)
                    cached.clear()
                    await anyio.sleep(RETRY_DELAY_S)
                else:
                    self._mark_answering(source)
                    await anyio.sleep(source.poll_timing.pause_s)

    def _mark_answering(self, source: FeedSource) -> None:
        self.on_answer(source.address)
        if source not in self._answering:
            log("feed_found", address=source.address)
        self._answering.add(source)

    def _mark_lost(self, source: FeedSource, exc: ExchangeError) -> None:
        if source in self._answering:
            log("feed_lost", endpoint=source.address, reason=str(exc))
        self._answering.discard(source)
