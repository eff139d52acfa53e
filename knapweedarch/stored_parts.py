"""What a store of KV cache holds, from its events.

A save copies a whole prompt over the store's link, so a prompt is saved only
if its shared parts are not there yet, and only so many a second.
"""

import attrs

from knapweedarch.prompt_parts import Prompt

# Shared tokens below which reading again is cheaper than a transfer.
MIN_SHARED_TOKENS = 1_000
# Own tokens above which a prompt is not worth its transfer to the store.
MAX_OWN_TOKENS = 4_000
# A save is seen in the events only after the prompt has been read.
SAVE_SHOWS_S = 2.0


@attrs.frozen
class PartChange:
    """A part that a store or runner has taken in or dropped.

    Attributes:
        stored: Whether it is there now.
        salt: Text under which it is found.
        part: Its id.
    """

    stored: bool
    salt: str
    part: str


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


class StoredParts:
    """Parts in one store, as far as its events tell.

    Args:
        saves_s: Saves that this router may ask for in a second.
    """

    def __init__(self, saves_s: float):
        self._saves_s = saves_s
        self._epoch: int | None = None
        self._parts: set[tuple[str, str]] = set()
        self._asked: dict[tuple[str, str], float] = {}
        self._save_at = 0.0
        self.next_number = 0

    def take(self, found: CacheChanges) -> None:
        """Takes over events."""
        if found.epoch != self._epoch:
            self._epoch = found.epoch
            self._parts.clear()
        self.next_number = found.next_number
        for change in found.changes:
            key = (change.salt, change.part)
            if change.stored:
                self._parts.add(key)
            else:
                self._parts.discard(key)

    def clear(self) -> None:
        """Forgets everything, as the store does not answer."""
        self._epoch = None
        self._parts.clear()
        self.next_number = 0

    def holds(self, prompt: Prompt, salt: str) -> bool:
        """Tells whether all shared parts of a prompt are worth fetching."""
        if prompt.shared_tokens < MIN_SHARED_TOKENS:
            return False
        return all((salt, part.id) in self._parts for part in prompt.parts[:-1])

    def should_save(self, prompt: Prompt, salt: str, now: float) -> bool:
        """Tells whether a prompt should be saved, and counts the save."""
        if prompt.shared_tokens < MIN_SHARED_TOKENS:
            return False
        own = prompt.tokens - prompt.shared_tokens
        if own > MAX_OWN_TOKENS or now < self._save_at:
            return False
        key = (salt, prompt.home)
        if self._asked.get(key, -SAVE_SHOWS_S) + SAVE_SHOWS_S > now:
            return False
        self._asked = {
            k: at for k, at in self._asked.items() if at + SAVE_SHOWS_S > now
        }
        self._asked[key] = now
        self._save_at = max(self._save_at, now - 1.0) + 1.0 / self._saves_s
        return True
