"""Follows the cache events of runners and stores by long polling."""

from typing import Protocol

import anyio
import anyio.abc
import attrs

from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log, traceback_text
from knapweedarch.metrics import Metrics
from knapweedarch.models import RetryReason
from knapweedarch.source_relay import FeedSource
from knapweedarch.stored_parts import CacheChanges
from knapweedarch.timers import Clock

RETRY_DELAY_S = 0.15
# A source that answers with what cannot be used is asked again after a delay
# that doubles up to this one. Each such answer may cost as much as all sources.
MAX_RETRY_DELAY_S = 5.0
# Longest time for which a source waits for an event before it answers. A longer
# wait would save calls, but a source that has stopped would be noticed later.
POLL_WAIT_S = 0.25
# Pause before the next call, which batches events.
POLL_PAUSE_S = 0.12
# Time without an answer after which a source counts as silent. It allows for
# wait, pause, a round trip and a packet that is sent again.
SILENCE_LIMIT_S = 0.9
# A source that refuses this many connections in a row has crashed; a single
# one may be refused because the source has too many.
MAX_REFUSALS = 2


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


class FeedListener(Protocol):
    """Receives what is learnt of the followed sources; see `SourceRelay`."""

    def record_changes(
        self, address: str, changes: CacheChanges, is_first: bool
    ) -> None:
        """Records the events of an answer."""

    def record_silence(self, address: str) -> None:
        """Records that a source does not answer."""


@attrs.define
class _Following:
    """The task that follows a source.

    Attributes:
        scope: Cancels the task.
        answered_at: Time of the last answer, or of the start of the task, in
            seconds on the process's clock.
        refusals: Connections refused since the last answer.
        is_lost: Whether the last call failed.
        since: Number of the first event of the next call.
        epoch: Epoch of the events so far; None before the first answer.
        delay_s: Time until the next call after an answer of no use.
    """

    answered_at: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    refusals: int = 0
    is_lost: bool = True
    since: int = 0
    epoch: int | None = None
    delay_s: float = RETRY_DELAY_S

    def restart(self) -> None:
        """Lets the next call ask for all events."""
        self.since, self.epoch = 0, None


class CacheFeeds:
    """Runs one long-polling task per followed source.

    Args:
        feed: Requests for events.
        listener: Receives the events.
        clock: Clock of the process.
        metrics: Metrics of the process.
        group: Task group of the polling tasks.
    """

    def __init__(
        self,
        feed: CacheFeed,
        listener: FeedListener,
        clock: Clock,
        metrics: Metrics,
        group: anyio.abc.TaskGroup,
    ):
        self._feed = feed
        self._listener = listener
        self._clock = clock
        self._metrics = metrics
        self._group = group
        self._following: dict[FeedSource, _Following] = {}

    @property
    def answering_count(self) -> int:
        """Number of sources that answered the last call."""
        return sum(not f.is_lost for f in self._following.values())

    def set_sources(self, wanted: set[FeedSource]) -> None:
        """Starts following new sources and stops following removed ones."""
        for source in self._following.keys() - wanted:
            self._following.pop(source).scope.cancel()
        for source in wanted - self._following.keys():
            following = _Following(self._clock.now())
            self._following[source] = following
            self._group.start_soon(self._follow, source, following)

    def check_silence(self, now: float) -> None:
        """Reports the sources that have not answered for too long."""
        for source, following in self._following.items():
            if now - following.answered_at > SILENCE_LIMIT_S:
                self._listener.record_silence(source.address)

    def exclude_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the silence of the sources.

        Answers that arrived during the pause could not be read.
        """
        for following in self._following.values():
            following.answered_at += pause_s

    async def _follow(self, source: FeedSource, following: _Following) -> None:
        with following.scope:
            while True:
                try:
                    await self._poll(source, following)
                except ExchangeError as exc:
                    self._record_failure(source, following, exc)
                except Exception as exc:
                    # A fault in one feed must not end the other feeds, nor the
                    # member: the next one to follow the source would meet it.
                    self._record_error(source, following, exc)
                else:
                    continue
                following.restart()
                await anyio.sleep(following.delay_s)

    async def _poll(self, source: FeedSource, following: _Following) -> None:
        """Requests events once and pauses after the answer.

        Raises:
            ExchangeError: The source did not answer.
        """
        changes = await self._feed.cache_changes(
            source.address, following.since, POLL_WAIT_S
        )
        if following.epoch not in (None, changes.epoch):
            # The source has restarted and numbers its events anew.
            following.restart()
            return
        is_first = following.epoch is None
        following.since, following.epoch = changes.next_number, changes.epoch
        self._record_answer(source, following, changes, is_first)
        await anyio.sleep(POLL_PAUSE_S)

    def _record_answer(
        self,
        source: FeedSource,
        following: _Following,
        changes: CacheChanges,
        is_first: bool,
    ) -> None:
        if following.is_lost:
            log("feed_found", address=source.address)
        following.is_lost = False
        following.refusals = 0
        following.delay_s = RETRY_DELAY_S
        following.answered_at = self._clock.now()
        if changes.malformed:
            self._metrics.count("feeds.events_malformed", changes.malformed)
            log(
                "feed_events_malformed",
                endpoint=source.address,
                count=changes.malformed,
            )
        self._listener.record_changes(source.address, changes, is_first)

    def _record_error(
        self, source: FeedSource, following: _Following, exc: Exception
    ) -> None:
        """Records an unexpected error; the source has answered."""
        self._metrics.count("feeds.failed")
        log(
            "feed_failed",
            endpoint=source.address,
            reason=traceback_text(exc),
        )
        self._record_useless_answer(following)

    def _record_failure(
        self, source: FeedSource, following: _Following, exc: ExchangeError
    ) -> None:
        if not following.is_lost:
            log("feed_lost", endpoint=source.address, reason=str(exc))
        following.is_lost = True
        match exc.reason:
            case RetryReason.ANSWER_TOO_LONG | RetryReason.MEMORY_FULL:
                self._record_useless_answer(following)
                return
            case RetryReason.CONNECT_REFUSED:
                following.refusals += 1
            case RetryReason.ENDPOINT_ERROR:
                # An error status is an answer: the source serves requests.
                following.refusals = 0
                following.answered_at = self._clock.now()
        following.delay_s = RETRY_DELAY_S
        if following.refusals >= MAX_REFUSALS:
            self._listener.record_silence(source.address)

    def _record_useless_answer(self, following: _Following) -> None:
        """Lets a source rest; it does not count as silent meanwhile."""
        following.is_lost = True
        following.refusals = 0
        following.delay_s = min(2 * following.delay_s, MAX_RETRY_DELAY_S)
        following.answered_at = self._clock.now() + following.delay_s
