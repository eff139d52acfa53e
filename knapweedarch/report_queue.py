"""Reports of crashes and of sound parts that wait to be sent."""

from knapweedarch.quarantine_messages import (
    MAX_ENTRIES,
    CrashedPart,
    CrashReport,
    HeldPart,
    PartReports,
    SoundPart,
    merge_parts,
)


class ReportQueue:
    """Merges what is reported until the next message.

    Times are seconds on the sender's clock. At the limit of a message the
    oldest entries are dropped.
    """

    def __init__(self) -> None:
        self._crashes: dict[int, tuple[float, tuple[CrashedPart, ...]]] = {}
        self._sound: dict[int, float] = {}
        self._held: dict[int, HeldPart] = {}

    def add_crash(
        self, runner: int, at: float, parts: tuple[CrashedPart, ...]
    ) -> None:
        """Adds parts of requests that broke at a runner."""
        known_at, known = self._crashes.get(runner, (at, ()))
        self._crashes[runner] = min(known_at, at), merge_parts(known, parts)
        _limit(self._crashes)

    def add_sound(self, part: int, at: float) -> None:
        """Adds a part of a request that was answered."""
        self._sound[part] = at
        _limit(self._sound)

    def add_held(self, held: HeldPart) -> None:
        """Adds a part that the sender holds back."""
        self._held[held.part] = held
        _limit(self._held)

    def take(self, now: float) -> PartReports | None:
        """Returns a message with all entries and removes them, if any."""
        if not (self._crashes or self._sound or self._held):
            return None
        reports = PartReports(
            tuple(
                CrashReport(runner, now - at, parts)
                for runner, (at, parts) in self._crashes.items()
            ),
            tuple(
                SoundPart(part, now - at) for part, at in self._sound.items()
            ),
            tuple(self._held.values()),
        )
        self.__init__()
        return reports


def _limit(entries: dict) -> None:
    while len(entries) > MAX_ENTRIES:
        del entries[next(iter(entries))]
