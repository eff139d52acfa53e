"""Follows the events of the stores of KV cache."""

from collections.abc import Iterable
from typing import Protocol

import anyio
import anyio.abc

from knapweedarch.deployments import CacheStore
from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log
from knapweedarch.stored_parts import CacheChanges, StoredParts

RETRY_S = 0.3
# Between two calls, so that events come in groups.
PAUSE_S = 0.1
SAVES_S = 1.2


class CacheFeed(Protocol):
    """Calls for cache events, translated by the platform's adapter."""

    async def cache_changes(self, address: str, since: int) -> CacheChanges:
        """Waits for the events after a number.

        Raises:
            ExchangeError: The store did not answer.
        """


class StoreFeeds:
    """One feed for each store of the configuration in force."""

    def __init__(self, feed: CacheFeed, group: anyio.abc.TaskGroup):
        self._feed = feed
        self._group = group
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._parts: dict[str, StoredParts] = {}

    def set_stores(self, stores: Iterable[CacheStore]) -> None:
        """Follows these stores and no others."""
        wanted = {store.address for store in stores}
        for address in self._scopes.keys() - wanted:
            self._scopes.pop(address).cancel()
            del self._parts[address]
        for address in wanted - self._scopes.keys():
            self._scopes[address] = anyio.CancelScope()
            self._parts[address] = StoredParts(SAVES_S)
            self._group.start_soon(self._follow, address)

    def parts(self) -> dict[str, StoredParts]:
        """Returns what each store holds, by address."""
        return self._parts

    async def _follow(self, address: str) -> None:
        parts = self._parts[address]
        answers = False
        with self._scopes[address]:
            while True:
                try:
                    parts.take(
                        await self._feed.cache_changes(
                            address, parts.next_number
                        )
                    )
                    if not answers:
                        log("store_found", address=address)
                    answers = True
                    await anyio.sleep(PAUSE_S)
                except ExchangeError as exc:
                    if answers:
                        log("store_lost", address=address, reason=str(exc))
                    answers = False
                    parts.clear()
                    await anyio.sleep(RETRY_S)
