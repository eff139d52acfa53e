"""Index of the prompt parts cached in stores and runners, from their events.

Events are delayed, a few are lost, and they are relayed in batches. A part that
this router has just sent is therefore assumed to be cached for a moment. A
fetch from a source without the part costs a millisecond.
"""

import struct
from collections.abc import Iterable, Sequence

import attrs
import xxhash

from knapweedarch.prompt_parts import Prompt

# Bytes of a packed digest of a part. If two parts have the same digest, a
# runner may have to prefill a part that was expected in its cache.
DIGEST_BYTES = 4

# Time for which parts sent by this router are assumed to be cached; covers the
# delay of the events that confirm them.
ASSUMED_CACHED_S = 2.0
# A fetch that finds nothing costs as much as prefilling this many tokens.
MIN_FETCH_TOKENS = 32
# Prompts with fewer shared tokens are not worth saving in a store.
MIN_SAVE_TOKENS = 1_000
# Prompts with more unshared tokens are not worth their transfer to a store.
MAX_UNSHARED_TOKENS = 4_000
# Time until a save appears in the store's events. It appears only after the
# prompt has been prefilled.
SAVE_VISIBLE_S = 2.0


@attrs.frozen
class PartKey:
    """Key of a cached part: its cache salt and its id.

    Both are texts that can be encoded; see `settings_reader.is_text`.
    """

    salt: str
    part: str

    @property
    def digest(self) -> int:
        """Hash of the key, by which the index knows the part."""
        return part_digest(self.salt, self.part)


@attrs.frozen
class PartChange:
    """A part that a source has stored or evicted.

    Attributes:
        stored: Whether the part is cached now.
        key: Key of the part.
    """

    stored: bool
    key: PartKey


@attrs.frozen
class CacheChanges:
    """Events of a store or runner.

    Attributes:
        epoch: Differs after a restart of the source, which empties its cache.
        next_number: Number of the first event after these.
        lost: Whether events before these are missing.
        changes: The changes in order.
        malformed: Number of events that could not be read.
    """

    epoch: int
    next_number: int
    lost: bool
    changes: tuple[PartChange, ...]
    malformed: int = 0


class CachedParts:
    """Parts cached in one store or runner, by their digests."""

    def __init__(self) -> None:
        self._parts: set[int] = set()
        self._assumed: dict[int, float] = {}

    @property
    def digests(self) -> frozenset[int]:
        """Digests of the parts that events report as cached."""
        return frozenset(self._parts)

    def replace(self, digests: Iterable[int]) -> None:
        """Replaces everything that is known, as after a restart."""
        self._parts = set(digests)
        self._assumed.clear()

    def update(self, stored: Iterable[int], evicted: Iterable[int]) -> None:
        """Adds and removes parts."""
        self._parts.update(stored)
        for digest in evicted:
            self._parts.discard(digest)
            self._assumed.pop(digest, None)

    def clear(self) -> None:
        """Discards the state of a source that does not answer."""
        self.replace(())

    def assume_cached(self, prompt: Prompt, salt: str, now: float) -> None:
        """Assumes that the shared parts of a prompt will be cached soon."""
        self._assumed = {
            key: at
            for key, at in self._assumed.items()
            if at + ASSUMED_CACHED_S > now
        }
        for part in prompt.parts[:-1]:
            self._assumed[part_digest(salt, part.id)] = now

    def prefix_tokens(self, prompt: Prompt, salt: str, now: float) -> int:
        """Returns the tokens of the leading shared parts that are cached."""
        return self.leading_tokens(shared_digests(prompt, salt), now)

    def leading_tokens(
        self, shared: Sequence[tuple[int, int]], now: float
    ) -> int:
        """Returns the tokens of the leading parts that are cached.

        Args:
            shared: Digest and tokens of each shared part, in order.
            now: Seconds on the router's clock.
        """
        found = 0
        for digest, tokens in shared:
            if digest not in self._parts:
                assumed_at = self._assumed.get(digest)
                if assumed_at is None or assumed_at + ASSUMED_CACHED_S <= now:
                    break
            found += tokens
        return found


def part_digest(salt: str, part_id: str) -> int:
    """Returns the hash of a part's key."""
    return xxhash.xxh32_intdigest(f"{salt}\0{part_id}".encode())


def shared_digests(prompt: Prompt, salt: str) -> list[tuple[int, int]]:
    """Returns digest and tokens of each shared part of a prompt."""
    return [(part_digest(salt, p.id), p.tokens) for p in prompt.parts[:-1]]


def pack_digests(digests: Iterable[int]) -> bytes:
    """Packs digests for a message, `DIGEST_BYTES` each."""
    found = list(digests)
    return struct.pack(f">{len(found)}I", *found)


def unpack_digests(data: bytes) -> tuple[int, ...]:
    """Unpacks digests.

    Raises:
        ValueError: The length is no multiple of `DIGEST_BYTES`.
    """
    count, rest = divmod(len(data), DIGEST_BYTES)
    if rest:
        raise ValueError(f"{len(data)} bytes are no packed digests")
    return struct.unpack(f">{count}I", data)


class PartsIndex:
    """Cached parts of all sources, by address."""

    def __init__(self) -> None:
        self._by_address: dict[str, CachedParts] = {}

    def parts_at(self, address: str) -> CachedParts:
        """Returns the parts cached at an address."""
        cached = self._by_address.get(address)
        if cached is None:
            cached = self._by_address[address] = CachedParts()
        return cached

    def forget(self, address: str) -> None:
        """Removes a source."""
        self._by_address.pop(address, None)

    def clear(self) -> None:
        """Removes all sources."""
        self._by_address.clear()

    def best_source(
        self,
        addresses: Iterable[str],
        prompt: Prompt,
        salt: str,
        cached_tokens: int,
        now: float,
    ) -> str:
        """Returns the source with the longest cached prefix.

        Args:
            addresses: Addresses of the sources, preferred ones first.
            prompt: The prompt.
            salt: Cache salt of its parts.
            cached_tokens: Leading tokens that the prompt's runner has cached.
            now: Seconds on the router's clock.

        Returns:
            The address; empty if no source has at least `MIN_FETCH_TOKENS`
            more leading tokens cached than the runner.
        """
        best, best_tokens = "", cached_tokens + MIN_FETCH_TOKENS - 1
        for address in addresses:
            tokens = self.parts_at(address).prefix_tokens(prompt, salt, now)
            if tokens > best_tokens:
                best, best_tokens = address, tokens
        return best


class SaveLimiter:
    """Limits which prompts are saved in a store, and how often.

    A save copies a whole prompt over the store's link. Saves are therefore
    limited to a rate and to prompts with many shared and few unshared tokens.
    `Attempts` checks that shared parts are missing from the store.

    Args:
        saves_per_s: Saves per second that this router may request.
    """

    def __init__(self, saves_per_s: float):
        self._saves_per_s = saves_per_s
        self._requested_at: dict[PartKey, float] = {}
        self._next_save_at = 0.0

    def allow(self, prompt: Prompt, salt: str, now: float) -> bool:
        """Returns whether a prompt may be saved now, and counts the save.

        Args:
            prompt: The prompt.
            salt: Cache salt of its parts.
            now: Seconds on the router's clock.
        """
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
