"""A member's part in finding the prompts that crash runners.

It collects the reports of its routers and of the other members, passes those of
its routers on to the other members, and tells its routers what to hold back.
All times are seconds on the member's clock.
"""

from knapweedarch.part_quarantine import PartQuarantine
from knapweedarch.quarantine_messages import (
    MAX_ENTRIES,
    HeldPart,
    PartNotices,
    PartReports,
    SoundPart,
)
from knapweedarch.report_queue import ReportQueue

# A later answer to a request with a part is passed on after this time.
SOUND_INTERVAL_S = 0.3


class QuarantineRelay:
    """Reports on their way, and what this member holds back."""

    def __init__(self) -> None:
        self._quarantine = PartQuarantine()
        self._queue = ReportQueue()
        self._new_held: dict[int, HeldPart] = {}
        self._released: set[int] = set()
        self._told_watched: frozenset[int] = frozenset()

    def receive(
        self, reports: PartReports, is_member: bool, now: float
    ) -> list[HeldPart]:
        """Applies the reports of a router or of another member.

        Returns:
            The parts that are newly held back.
        """
        for crash in reports.crashes[:MAX_ENTRIES]:
            self._quarantine.record_crash(crash, now)
            if not is_member:
                at = now - crash.age_s
                self._queue.add_crash(crash.runner, at, crash.parts)
        for sound in reports.sound[:MAX_ENTRIES]:
            self._record_sound(sound, is_member, now)
        found = []
        for held in reports.held[:MAX_ENTRIES]:
            if self._quarantine.hold(held, now):
                self._new_held[held.part] = held
                found.append(held)
                if not is_member:
                    self._queue.add_held(held)
        return found

    def _record_sound(
        self, sound: SoundPart, is_member: bool, now: float
    ) -> None:
        at = now - sound.age_s
        known_at = self._quarantine.tracker.sound_at(sound.part)
        if self._quarantine.record_sound(sound.part, at):
            self._released.add(sound.part)
            self._new_held.pop(sound.part, None)
        if not is_member and at - known_at >= SOUND_INTERVAL_S:
            self._queue.add_sound(sound.part, at)

    def review(self, now: float) -> list[HeldPart]:
        """Returns the parts that this member has newly held back."""
        found = self._quarantine.review(now)
        self._new_held.update((held.part, held) for held in found)
        return found

    def take_reports(self, now: float) -> PartReports | None:
        """Returns what is to be passed on to other members, if anything is."""
        return self._queue.take(now)

    def take_notices(self) -> PartNotices | None:
        """Returns what is to be told to all routers, if anything is."""
        watched = self._quarantine.tracker.watched
        if not (
            self._new_held or self._released or watched != self._told_watched
        ):
            return None
        notices = PartNotices(
            tuple(sorted(watched)),
            tuple(self._new_held.values())[:MAX_ENTRIES],
            tuple(sorted(self._released))[:MAX_ENTRIES],
        )
        self._new_held.clear()
        self._released.clear()
        self._told_watched = watched
        return notices

    def known_reports(self, now: float) -> PartReports | None:
        """Returns what another member must know at the start of a link.

        It is None while there is nothing, since a process of an earlier build
        closes a link with messages that it does not know.
        """
        held = self._quarantine.held(now)
        return PartReports(held=held) if held else None

    def known_notices(self, now: float) -> PartNotices | None:
        """Returns what a router must know at the start of a link, if anything.

        See `known_reports`.
        """
        notices = PartNotices(
            tuple(sorted(self._told_watched)), self._quarantine.held(now)
        )
        return None if notices == PartNotices() else notices
