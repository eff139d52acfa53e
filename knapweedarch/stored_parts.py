"""Which parts of prompts stores and runners hold, from their events.

Events are late, a few are lost, and only some routers may follow a source at
once. A part that this router has sent itself therefore counts as held for a
moment, and a fetch from a source that holds nothing costs a millisecond.
"""

from collections.abc import Iterable

import attrs

from knapweedarch.prompt_parts import Prompt

# Own sends count as held until their events must have come.
ASSUMED_CACHED_S = 2.0
# Shared tokens below which a fetch that finds nothing costs as much as reading.
MIN_FETCH_TOKENS = 32
# Shared tokens below which a prompt is not worth saving in a store.
MIN_SAVE_TOKENS = 1_000
# Own tokens above which a prompt is not worth its transfer to the store.
MAX_UNSHARED_TOKENS = 4_000
# A save is seen in the events only after the prompt has been read.
SAVE_VISIBLE_S = 2.0


@attrs.frozen
class PartKey:
    """A cached part: the text that it is found under, and its id."""

    salt: str
    part: str


@attrs.frozen
class PartChange:
    """A part that a source has taken in or dropped.

    Attributes:
        stored: Whether it is there now.
        key: The part.
    """

    stored: bool
    key: PartKey


@attrs.frozen
class CacheChanges:
    """Events of a store or runner.

    Attributes:
        epoch: Changes at a restart, which drops everything.
        next_number: Where to go on.
        lost: Whether events are missing before these.
        changes: The changes in order.
    """

    epoch: int
    next_number: int
    lost: bool
    changes: tuple[PartChange, ...]


class CachedParts:
    """Parts in one store or runner.

    Attributes:
        next_number: Number of the next event to ask for.
    """

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._parts: set[PartKey] = set()
        self._assumed: dict[PartKey, float] = {}
        self.next_number = 0

    def apply_changes(self, changes: CacheChanges) -> None:
        """Takes over events."""
        if changes.epoch != self._epoch:
            self._epoch = changes.epoch
            self._parts.clear()
            self._assumed.clear()
        self.next_number = changes.next_number
        for change in changes.changes:
            if change.stored:
                self._parts.add(change.key)
            else:
                self._parts.discard(change.key)
                self._assumed.pop(change.key, None)

    def clear(self) -> None:
        """Forgets everything, as the source does not answer."""
        self._epoch = None
        self._parts.clear()
        self._assumed.clear()
        self.next_number = 0

    def assume_cached(self, prompt: Prompt, salt: str, now: float) -> None:
        """Notes that the shared parts of a prompt will be held soon."""
        self._assumed = {
            key: at
            for key, at in self._assumed.items()
            if at + ASSUMED_CACHED_S > now
        }
        for part in prompt.parts[:-1]:
            self._assumed[PartKey(salt, part.id)] = now

    def prefix_tokens(self, prompt: Prompt, salt: str, now: float) -> int:
        """Counts the tokens of the leading shared parts that are held."""
        found = 0
        for part in prompt.parts[:-1]:
            key = PartKey(salt, part.id)
            assumed_at = self._assumed.get(key, now - ASSUMED_CACHED_S)
            if key not in self._parts and assumed_at + ASSUMED_CACHED_S <= now:
                break
            found += part.tokens
        return found


class PartsIndex:
    """What all sources hold, by address."""

    def __init__(self) -> None:
        self._by_address: dict[str, CachedParts] = {}

    def parts_at(self, address: str) -> CachedParts:
        """Returns what one source holds."""
        cached = self._by_address.get(address)
        if cached is None:
            cached = self._by_address[address] = CachedParts()
        return cached

    def forget(self, address: str) -> None:
        """Forgets a source that is gone."""
        self._by_address.pop(address, None)

    def best_source(
        self,
        addresses: Iterable[str],
        prompt: Prompt,
        salt: str,
        cached_tokens: int,
        now: float,
    ) -> str:
        """Returns the address that saves most reading; empty if none does.

        Args:
            addresses: Sources, the preferred ones first.
            prompt: The prompt.
            salt: Text that its parts are found under.
            cached_tokens: Leading tokens that its runner holds itself.
            now: Seconds on the router's clock.
        """
        best, best_tokens = "", cached_tokens + MIN_FETCH_TOKENS - 1
        for address in addresses:
            tokens = self.parts_at(address).prefix_tokens(prompt, salt, now)
            if tokens > best_tokens:
                best, best_tokens = address, tokens
        return best


class SaveLimiter:
    """Decides which prompts a store is to take.

    A save copies a whole prompt over the store's link, so only those are
    saved whose shared parts are missing, and only so many a second.

    Args:
        saves_per_s: Saves that this router may ask for in a second.
    """

    def __init__(self, saves_per_s: float):
        self._saves_per_s = saves_per_s
        self._requested_at: dict[PartKey, float] = {}
        self._next_save_at = 0.0

    def allow(self, prompt: Prompt, salt: str, now: float) -> bool:
        """Tells whether a prompt may be saved now, and counts the save."""
        unshared_tokens = prompt.tokens - prompt.shared_tokens
        if (
            prompt.shared_tokens < MIN_SAVE_TOKENS
            or unshared_tokens > MAX_UNSHARED_TOKENS
        ):
            return False
        key = PartKey(salt, prompt.affinity_key)
        self._requested_at = {
            k: at
            for k, at in self._requested_at.items()
            if at + SAVE_VISIBLE_S > now
        }
        if key in self._requested_at or now < self._next_save_at:
            return False
        self._requested_at[key] = now
        self._next_save_at = (
            max(self._next_save_at, now) + 1.0 / self._saves_per_s
        )
        return True
