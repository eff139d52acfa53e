"""Software versions at which streams began, each kept for a limited time.

All times are seconds on the owner's clock.
"""

from collections.abc import Iterator

import attrs

from knapweedarch.origin_messages import MAX_KEPT_S, Origin

# Entries end in groups of this many seconds.
GROUP_S = 5


@attrs.frozen
class _Entry:
    version: str
    until: float
    is_own: bool


class OriginTable:
    """Origins of streams by request.

    If it is full, the origins that would end first are dropped.

    Args:
        max_entries: Most origins kept.
    """

    def __init__(self, max_entries: int):
        self._max_entries = max_entries
        self._entries: dict[int, _Entry] = {}
        # Digests by the number of the group in which they end. One that was
        # recorded again is in several.
        self._groups: dict[int, list[int]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, origin: Origin, now: float, is_own: bool = True) -> None:
        """Records an origin; the first version of a stream stays.

        Args:
            origin: The origin.
            now: The time.
            is_own: Whether it was not learnt from another process of the same
                kind.
        """
        kept_s = max(0.0, min(float(MAX_KEPT_S), origin.kept_s))
        entry = _Entry(origin.version, now + kept_s, is_own)
        known = self._entries.get(origin.digest)
        if known is not None:
            entry = _Entry(
                known.version,
                max(known.until, entry.until),
                known.is_own or is_own,
            )
            if entry == known:
                return
        elif len(self._entries) >= self._max_entries:
            self._make_room(now)
        self._entries[origin.digest] = entry
        group = self._groups.setdefault(int(entry.until // GROUP_S), [])
        group.append(origin.digest)

    def find(self, digest: int, now: float) -> str | None:
        """Returns the version at which a stream began, or None if unknown."""
        entry = self._entries.get(digest)
        if entry is None or entry.until <= now:
            return None
        return entry.version

    def own(self, now: float) -> Iterator[Origin]:
        """Returns the origins recorded as own ones."""
        for digest, entry in self._entries.items():
            if entry.is_own and entry.until > now:
                yield Origin(digest, entry.version, entry.until - now)

    def expire(self, now: float) -> None:
        """Drops the groups that have ended."""
        for number in [n for n in self._groups if (n + 1) * GROUP_S <= now]:
            self._drop_group(number, (number + 1) * GROUP_S)

    def _make_room(self, now: float) -> None:
        self.expire(now)
        while len(self._entries) >= self._max_entries:
            number = min(self._groups)
            self._drop_group(number, (number + 1) * GROUP_S)

    def _drop_group(self, number: int, ended_at: float) -> None:
        for digest in self._groups.pop(number):
            entry = self._entries.get(digest)
            if entry is not None and entry.until <= ended_at:
                del self._entries[digest]
