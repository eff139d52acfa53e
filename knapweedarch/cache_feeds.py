"""Follows the cache events of runners and stores."""

from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
import anyio.abc

from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log
from knapweedarch.stored_parts import CacheChanges, PartsIndex

RETRY_S = 0.5
# Between two calls, so that events come in groups.
PAUSE_S = 0.12


class CacheFeed(Protocol):
    """Calls for cache events, translated by the platform's adapter."""

    async def cache_changes(self, address: str, since: int) -> CacheChanges:
        """Waits for the events after a number.

        Raises:
            ExchangeError: The source did not answer.
        """


class CacheFeeds:
    """One feed for each source.

    Attributes:
        on_answer: Called with the address of each source that answers.
    """

    def __init__(
        self, feed: CacheFeed, index: PartsIndex, group: anyio.abc.TaskGroup
    ):
        self._feed = feed
        self._index = index
        self._group = group
        self.on_answer: Callable[[str], None] = lambda address: None
        self._scopes: dict[str, anyio.CancelScope] = {}

    def set_sources(self, addresses: Iterable[str]) -> None:
        """Follows these sources and no others."""
        wanted = set(addresses)
        for address in self._scopes.keys() - wanted:
            self._scopes.pop(address).cancel()
            self._index.forget(address)
        for address in wanted - self._scopes.keys():
            scope = self._scopes[address] = anyio.CancelScope()
            self._group.start_soon(self._follow, address, scope)

    async def _follow(self, address: str, scope: anyio.CancelScope) -> None:
        held = self._index.of(address)
        answers = False
        with scope:
            while True:
                try:
                    held.take(
                        await self._feed.cache_changes(
                            address, held.next_number
                        )
                    )
                    self.on_answer(address)
                    if not answers:
                        log("feed_found", address=address)
                    answers = True
                    await anyio.sleep(PAUSE_S)
                except ExchangeError as exc:
                    if answers:
                        log("feed_lost", endpoint=address, reason=str(exc))
                    answers = False
                    held.clear()
                    await anyio.sleep(RETRY_S)
