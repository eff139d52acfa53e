"""Index of the blocks in the prefix cache of each runner.

One table maps a block hash to a bit mask of runners and is updated by cache
events. A second, small table holds the blocks that requests of this router
are expected to have stored and that no event has confirmed; they expire.

The hash of a block covers customer, model and weights version. A runner has
its bit for one incarnation only: a new incarnation or a gap in the event
numbers assigns a new bit, which invalidates all entries of the runner at
once. The retired bit is cleared from the table in bounded steps and then
reused.
"""

import collections

import attrs

from knapweedarch import models

# Time after which the assumed blocks of a request count as absent unless a
# cache event or an answer has confirmed them. Covers prefill and event lag.
ASSUMED_TTL_S = 4.0

# Table entries examined per event while retired bits are cleared. Bounds the
# cost of an event.
SWEEP_ENTRIES_PER_EVENT = 64


@attrs.define
class FeedState:
    """State of the cache event feed of one runner.

    Attributes:
        incarnation: Incarnation of the runner.
        bit: The runner's bit in the masks, a power of two.
        next_number: Number of the next event; None before the first one.
        block_count: Number of confirmed blocks of the runner in the table.
    """

    incarnation: str
    bit: int
    next_number: int | None = None
    block_count: int = 0


class CacheIndex:
    """Block hashes by runner, with prefix look-up.

    `now` is the current time in seconds on one monotonic clock.

    Args:
        assumed_ttl_s: Time in seconds after which an assumed block that no
            event has confirmed counts as absent.
    """

    def __init__(self, assumed_ttl_s: float = ASSUMED_TTL_S):
        self._assumed_ttl_s = assumed_ttl_s
        self._table: dict[int, int] = {}
        self._assumed: dict[int, int] = {}
        self._expiry: dict[tuple[int, int], float] = {}
        self._expiry_queue: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )
        self._feeds: dict[str, FeedState] = {}
        self._owner_of_bit: dict[int, str] = {}
        self._live_mask = 0
        self._used_mask = 0
        self._retired_mask = 0
        self._sweep: list[int] = []
        self._sweep_mask = 0
        self._snapshots_needed: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of distinct confirmed blocks."""
        return len(self._table)

    def set_endpoint(self, endpoint_id: str, incarnation: str) -> None:
        """Adds a runner, or drops its entries if its incarnation changed."""
        feed = self._feeds.get(endpoint_id)
        if feed is None or feed.incarnation != incarnation:
            self._open_feed(endpoint_id, incarnation)
            self._snapshots_needed.add(endpoint_id)

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Removes a runner and its entries."""
        feed = self._feeds.pop(endpoint_id, None)
        self._snapshots_needed.discard(endpoint_id)
        if feed is not None:
            self._retire(feed.bit)

    def apply(self, event: models.CacheEvent) -> bool:
        """Applies a cache event.

        Returns:
            Whether the event was applied; False if its runner is unknown, its
            incarnation is another one or it was already included.
        """
        feed = self._feeds.get(event.endpoint_id)
        if feed is None or feed.incarnation != event.incarnation:
            return False
        if feed.next_number is not None and event.number < feed.next_number:
            return False
        if feed.next_number is not None and event.number > feed.next_number:
            feed = self._open_feed(event.endpoint_id, event.incarnation)
            self._snapshots_needed.add(event.endpoint_id)
        feed.next_number = event.number + 1
        match event.change:
            case models.CacheChange.STORED:
                self._store(feed, event.blocks)
            case models.CacheChange.EVICTED:
                self._evict(feed, event.blocks)
            case models.CacheChange.CLEARED:
                self._clear(event)
        if self._retired_mask or self._sweep:
            self._sweep_step()
        return True

    def apply_snapshot(self, snapshot: models.CacheSnapshot) -> bool:
        """Replaces the entries of a runner.

        Returns:
            Whether the snapshot was applied; False if its runner is unknown,
            its incarnation is another one or a later event was applied.
        """
        feed = self._feeds.get(snapshot.endpoint_id)
        if feed is None or feed.incarnation != snapshot.incarnation:
            return False
        if feed.next_number is not None and (
            snapshot.number + 1 < feed.next_number
        ):
            return False
        if feed.block_count:
            feed = self._open_feed(snapshot.endpoint_id, snapshot.incarnation)
        feed.next_number = snapshot.number + 1
        self._snapshots_needed.discard(snapshot.endpoint_id)
        self._store(feed, snapshot.blocks)
        return True

    def take_snapshot_requests(self) -> list[str]:
        """Returns and clears the runners that need a cache snapshot.

        These are new runners, new incarnations and runners with a gap in
        their events.
        """
        needed, self._snapshots_needed = sorted(self._snapshots_needed), set()
        return needed

    def assume(
        self, endpoint_id: str, blocks: tuple[int, ...], now: float
    ) -> None:
        """Adds unconfirmed blocks that a runner has or is about to store."""
        feed = self._feeds.get(endpoint_id)
        if feed is None:
            return
        until = now + self._assumed_ttl_s
        for block in blocks:
            if self._table.get(block, 0) & feed.bit:
                continue
            self._assumed[block] = self._assumed.get(block, 0) | feed.bit
            self._expiry[(block, feed.bit)] = until
            self._expiry_queue.append((until, block, feed.bit))

    def depths(self, blocks: tuple[int, ...], now: float) -> dict[str, int]:
        """Returns how many leading blocks each runner has.

        Returns:
            Length of the cached prefix in blocks by runner id, without the
            runners that lack the first block.
        """
        self._expire(now)
        found: dict[str, int] = {}
        table, assumed = self._table, self._assumed
        held = self._live_mask
        for depth, block in enumerate(blocks):
            remaining = held & (table.get(block, 0) | assumed.get(block, 0))
            if remaining != held:
                self._record_depth(found, held & ~remaining, depth)
                held = remaining
                if not held:
                    return found
        self._record_depth(found, held, len(blocks))
        return found

    def block_count(self, endpoint_id: str) -> int:
        """Returns the number of confirmed blocks of a runner."""
        feed = self._feeds.get(endpoint_id)
        return feed.block_count if feed else 0

    def _record_depth(
        self, found: dict[str, int], mask: int, depth: int
    ) -> None:
        while depth and mask:
            bit = mask & -mask
            found[self._owner_of_bit[bit]] = depth
            mask ^= bit

    def _open_feed(self, endpoint_id: str, incarnation: str) -> FeedState:
        """Assigns an unused bit to a runner and retires its previous one."""
        old = self._feeds.get(endpoint_id)
        if old is not None:
            self._retire(old.bit)
        bit = ~self._used_mask & (self._used_mask + 1)
        self._used_mask |= bit
        self._live_mask |= bit
        self._owner_of_bit[bit] = endpoint_id
        feed = self._feeds[endpoint_id] = FeedState(incarnation, bit)
        return feed

    def _retire(self, bit: int) -> None:
        self._live_mask &= ~bit
        self._retired_mask |= bit

    def _store(self, feed: FeedState, blocks: tuple[int, ...]) -> None:
        table, bit = self._table, feed.bit
        for block in blocks:
            mask = table.get(block, 0)
            if not mask & bit:
                table[block] = mask | bit
                feed.block_count += 1

    def _evict(self, feed: FeedState, blocks: tuple[int, ...]) -> None:
        table, bit = self._table, feed.bit
        for block in blocks:
            mask = table.get(block, 0)
            if not mask & bit:
                continue
            feed.block_count -= 1
            if mask == bit:
                del table[block]
            else:
                table[block] = mask ^ bit

    def _clear(self, event: models.CacheEvent) -> None:
        feed = self._open_feed(event.endpoint_id, event.incarnation)
        feed.next_number = event.number + 1

    def _expire(self, now: float) -> None:
        queue = self._expiry_queue
        while queue and queue[0][0] <= now:
            until, block, bit = queue.popleft()
            if self._expiry.get((block, bit)) != until:
                continue
            del self._expiry[(block, bit)]
            mask = self._assumed.get(block, 0) & ~bit
            if mask:
                self._assumed[block] = mask
            else:
                self._assumed.pop(block, None)

    def _sweep_step(self) -> None:
        """Clears retired bits from a bounded number of table entries."""
        if not self._sweep:
            self._sweep_mask, self._retired_mask = self._retired_mask, 0
            self._sweep = list(self._table)
        keep = ~self._sweep_mask
        for _ in range(min(SWEEP_ENTRIES_PER_EVENT, len(self._sweep))):
            block = self._sweep.pop()
            mask = self._table.get(block, 0)
            if mask & self._sweep_mask:
                mask &= keep
                if mask:
                    self._table[block] = mask
                else:
                    del self._table[block]
        if not self._sweep:
            self._free_bits(self._sweep_mask)
            self._sweep_mask = 0

    def _free_bits(self, mask: int) -> None:
        """Frees cleared bits, except those that assumed blocks still use."""
        for _, bit in self._expiry:
            if mask & bit:
                self._retired_mask |= bit
                mask &= ~bit
        self._used_mask &= ~mask
        while mask:
            bit = mask & -mask
            del self._owner_of_bit[bit]
            mask ^= bit
