"""Model of an inference engine: batch slots, prefix cache and cache events."""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

import anyio
import attrs

BLOCK_TOKENS = 2048
MAX_FEED_EVENTS = 10_000

BlockKey = tuple[str, str, int]


@attrs.define
class BlockCache:
    """LRU cache of prefix blocks, separated by salt and weights version.

    Attributes:
        capacity: Largest number of blocks that it holds.
        on_event: Called with the kind and the block hashes of each cache event.
    """

    capacity: int
    on_event: Callable[[str, tuple[int, ...]], None]
    _blocks: OrderedDict[BlockKey, None] = attrs.field(factory=OrderedDict)

    def depth(self, salt: str, version: str, blocks: Iterable[int]) -> int:
        """Counts the cached leading blocks and marks them as recently used."""
        count = 0
        for block in blocks:
            key = (salt, version, block)
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            count += 1
        return count

    def store(self, salt: str, version: str, blocks: Iterable[int]) -> None:
        """Stores blocks and evicts the least recently used ones."""
        stored = []
        for block in blocks:
            key = (salt, version, block)
            if key not in self._blocks:
                stored.append(block)
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        evicted = []
        while len(self._blocks) > self.capacity:
            key, _ = self._blocks.popitem(last=False)
            evicted.append(key[2])
        if stored:
            self.on_event("stored", tuple(stored))
        if evicted:
            self.on_event("evicted", tuple(evicted))

    def clear(self) -> None:
        """Removes all blocks."""
        self._blocks.clear()
        self.on_event("cleared", ())

    def hashes(self) -> list[int]:
        """Returns the hashes of all blocks."""
        return [key[2] for key in self._blocks]


@attrs.define
class Slots:
    """Slots of the batch, given to waiting requests by priority.

    Attributes:
        size: Number of slots.
        running: Number of slots in use.
    """

    size: int
    running: int = 0
    _waiting: list[tuple[int, int, anyio.Event]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; requests with a lower priority value go first."""
        if self.running < self.size:
            self.running += 1
            return
        entry = (priority, next(self._sequence), anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            else:
                self.release()
            raise

    def release(self) -> None:
        """Passes the slot to the first waiting request, or frees it."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1


@attrs.define
class Feed:
    """Feed of numbered cache events with a queue for each follower.

    Before the first event the number is 1, so that even the first snapshot
    could be replaced by a `cleared` event with the number before it and a
    `stored` event with its own number.

    Attributes:
        number: Number of the last event, also used for snapshots.
    """

    number: int = 1
    _followers: list[deque] = attrs.field(factory=list)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def publish(self, kind: str, blocks: tuple[int, ...]) -> None:
        """Numbers an event and adds it to the queue of each follower."""
        self.number += 1
        event = {"type": kind, "number": self.number, "blocks": list(blocks)}
        for queue in self._followers:
            # A full queue drops its oldest event, as engines do.
            queue.append(event)
        self._changed.set()

    def follow(self) -> deque:
        """Adds a follower and returns its queue of further events."""
        queue: deque = deque(maxlen=MAX_FEED_EVENTS)
        self._followers.append(queue)
        return queue

    def unfollow(self, queue: deque) -> None:
        """Removes a follower."""
        self._followers = [q for q in self._followers if q is not queue]

    async def wait(self, limit_s: float) -> None:
        """Waits for the next event, at most `limit_s` seconds."""
        self._changed = (
            anyio.Event() if self._changed.is_set() else (self._changed)
        )
        with anyio.move_on_after(limit_s):
            await self._changed.wait()
