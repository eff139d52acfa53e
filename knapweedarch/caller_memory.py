"""Bounds the memory that a process holds for all its callers together.

Each request has limits of its own, but many callers may each send a request
that is just within them and never finish it. When the requests hold more than
the process may spend, the ones that stand still are given up first, starting
with the caller that holds most. It counts heads, bodies, pipelined bytes and
answers that are not read yet; `answer_memory` counts what endpoints send.
"""

import contextlib
import itertools
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from knapweedarch.exceptions import CallerEvictedError

# Room for 64 bodies of the default length limit.
DEFAULT_LIMIT_BYTES = 256 * 1024 * 1024
# An entry up to this size is never given up for a larger one. Prompts have 10
# to 50 KB.
SMALL_BYTES = 64 * 1024
# An entry stands still if it has not changed by `PROGRESS_BYTES` for this long,
# in seconds. Callers that are served lose no packet for longer.
STALL_S = 1.0
# Fewer bytes are no progress: a caller could keep a large body with one byte
# at a time.
PROGRESS_BYTES = 256


@attrs.define(eq=False)
class HeldBytes:
    """What is held for one request or connection; see `CallerMemory.hold`.

    Attributes:
        caller: Address of the caller.
        number: Entries are numbered in the order of their creation.
        size: Its size in bytes.
        progressed_at: When it last made progress, in seconds of the clock.
        in_service: Whether its request runs. It is not given up then, since
            its caller could not be told that it has not run.
        awaits_caller: Whether the answer waits for its caller to read. Such an
            entry may be given up once it stands still.
        is_evicted: Whether it was given up.
    """

    caller: str
    number: int
    progressed_at: float
    _memory: "CallerMemory"
    _evict: Callable[[], None]
    size: int = 0
    in_service: bool = False
    awaits_caller: bool = False
    is_evicted: bool = False
    _marked_size: int = 0

    def resize(self, size: int, now: float) -> None:
        """Changes the size; marks progress if it changed enough.

        Args:
            size: The size in bytes from now on.
            now: Current time in seconds of the clock.

        Raises:
            CallerEvictedError: It was given up, now or before.
        """
        if not self.is_evicted:
            if abs(size - self._marked_size) >= PROGRESS_BYTES:
                self.touch(now)
                self._marked_size = size
            self._memory.change(self, size, now)
        if self.is_evicted:
            raise CallerEvictedError()

    def touch(self, now: float) -> None:
        """Marks progress, as for bytes that were used and not kept."""
        self.progressed_at = now

    def is_stalled(self, now: float) -> bool:
        """Returns whether it has made no progress for `STALL_S`."""
        return now - self.progressed_at >= STALL_S

    def evict(self) -> None:
        """Gives it up; its holder drops the bytes."""
        self.is_evicted = True
        self._evict()


class CallerMemory:
    """The memory that callers of a process share.

    Args:
        limit_bytes: Bytes that they may hold together.
        on_evict: Called with each entry that is given up, before its size is
            taken off, and with the bytes held by all.

    Attributes:
        limit_bytes: As above.
        held_bytes: Bytes that they hold.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        on_evict: Callable[[HeldBytes, int], None] = lambda entry, held: None,
    ):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._on_evict = on_evict
        self._numbers = itertools.count()
        self._entries: set[HeldBytes] = set()
        # Bytes by address; an address without an entry has none.
        self._by_caller: Counter[str] = Counter()

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    @contextlib.contextmanager
    def hold(
        self, caller: str, now: float, evict: Callable[[], None]
    ) -> Iterator[HeldBytes]:
        """Creates an entry of size 0, and drops it on every way out.

        Args:
            caller: Address of the caller, without its port.
            now: Current time in seconds of the clock.
            evict: Ends what uses the bytes, without waiting, so that they are
                released; as cancelling a scope does. It is also called before
                the entry's own `resize` raises.
        """
        entry = HeldBytes(caller, next(self._numbers), now, self, evict)
        self._entries.add(entry)
        try:
            yield entry
        finally:
            self._drop(entry)

    def change(self, entry: HeldBytes, size: int, now: float) -> None:
        """Changes the size of an entry; gives up others if need be."""
        grows = size > entry.size
        self._set_size(entry, size)
        while grows and self.held_bytes > self.limit_bytes:
            victim = self._choose_victim(entry, now)
            self._on_evict(victim, self.held_bytes)
            self._drop(victim)
            victim.evict()
            grows = victim is not entry

    def _choose_victim(self, grown: HeldBytes, now: float) -> HeldBytes:
        """Returns what is given up for an entry that has grown."""
        is_large = grown.size > SMALL_BYTES
        candidates = [
            entry
            for entry in self._entries
            if entry is not grown and self._may_yield(entry, is_large, now)
        ]
        if is_large and not grown.in_service:
            candidates.append(grown)
        if not candidates:
            return grown
        return max(candidates, key=lambda entry: self._rank(entry, now))

    def _may_yield(self, entry: HeldBytes, to_large: bool, now: float) -> bool:
        """Returns whether an entry may be given up for another one."""
        if not entry.size:
            return False
        if entry.in_service:
            return entry.awaits_caller and entry.is_stalled(now)
        if entry.size > SMALL_BYTES:
            return True
        return not to_large and entry.is_stalled(now)

    def _rank(self, entry: HeldBytes, now: float) -> tuple[bool, int, int]:
        """Returns a key; the entry with the largest one is given up first.

        Of those that make progress the newest is given up: if the largest was,
        none would ever become whole.
        """
        held = self._by_caller[entry.caller]
        if entry.is_stalled(now):
            return (True, held, entry.size)
        return (False, held, entry.number)

    def _set_size(self, entry: HeldBytes, size: int) -> None:
        self.held_bytes += size - entry.size
        self._by_caller[entry.caller] += size - entry.size
        if not self._by_caller[entry.caller]:
            del self._by_caller[entry.caller]
        entry.size = size

    def _drop(self, entry: HeldBytes) -> None:
        self._set_size(entry, 0)
        self._entries.discard(entry)
