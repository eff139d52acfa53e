"""Finds the requests and the parts of prompts that crash endpoints.

A request that crashes its runner is lost in the crowd: all other requests under
way at that runner break with it. Over several crashes only the parts of the
cause recur without ever being answered in between. A whole request counts as
the deepest part of its prompt. All times are seconds on one clock, whose zero
point is arbitrary.
"""

import collections
import math
from collections.abc import Collection, Iterable, Sequence

import attrs

from knapweedarch.quarantine_messages import (
    REQUEST_DEPTH,
    CrashedPart,
    CrashReport,
    merge_parts,
)

# Time after a crash for which reports of other routers are awaited.
GATHER_S = 0.3
# Crashes within this time of each other count once: runners that fail together
# share a cause, such as their power feed. A part that was never answered and
# was under way at most of them is a cause by itself.
SAME_CAUSE_S = 0.25
OWN_CAUSE_SHARE = 0.8
# Crashes are remembered for this long, and at most so many. A caller may repeat
# a request only each minute or so.
CRASH_MEMORY_S = 600.0
MAX_CRASHES = 64
# Crashes after which a part is suspected if its requests had the beginning of
# an answer each time and none was ever answered; and else. A whole request that
# was never answered needs no beginning of an answer: nobody else has it.
CRASHES_TO_SUSPECT = 3
WEAK_CRASHES_TO_SUSPECT = 5
# Crashes after which answers to requests with the part are reported.
CRASHES_TO_WATCH = 2
# Time for which a part is watched before it may be suspected. Routers answer
# within this time that they know it as sound.
WATCH_S = 0.5
# Time after the last report of a crash in which a part may be found.
SETTLE_S = 2.0
MAX_WATCHED_PARTS = 24
MAX_WATCHED_REQUESTS = 8
# Parts that are remembered as sound; the least recent ones are dropped.
MAX_SOUND = 4096


@attrs.define
class _Crash:
    """A crash of one incarnation of a runner.

    Attributes:
        at: When it was first seen.
        parts: Parts of the requests that may have caused it.
        cause: The part that is held back and has caused it, if any.
    """

    at: float
    parts: tuple[CrashedPart, ...]
    cause: CrashedPart | None = None


@attrs.define
class _Tally:
    """Crashes that a part may have caused.

    Attributes:
        crashes: Number of crashes; those with a common cause count once.
        answered: Number of those at which an answer had begun.
        depth: Greatest depth of the part in a prompt.
    """

    crashes: int = 0
    answered: int = 0
    depth: int = 0

    @property
    def is_request(self) -> bool:
        """Whether the part is a whole request."""
        return self.depth == REQUEST_DEPTH

    @property
    def is_strong(self) -> bool:
        """Whether so many crashes suffice if the part was never answered."""
        counted = self.crashes if self.is_request else self.answered
        return counted >= CRASHES_TO_SUSPECT

    def add(self, entries: Sequence[CrashedPart], count: int) -> None:
        """Counts the crashes of one moment.

        Args:
            entries: The part as it was under way at each of the runners.
            count: As how many crashes they count.
        """
        self.crashes += count
        self.answered += min(count, sum(e.answered for e in entries))
        self.depth = max(self.depth, *(e.depth for e in entries))


class CrashTracker:
    """Crashes of runners, and parts whose requests were answered."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[int, _Crash] = (
            collections.OrderedDict()
        )
        self._sound: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._watched_since: dict[int, float] = {}
        self._settled_at = -math.inf

    @property
    def watched(self) -> frozenset[int]:
        """Parts of which routers shall report answered requests."""
        return frozenset(self._watched_since)

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Adds what one router reports of a crash."""
        at = now - report.age_s
        known = self._crashes.get(report.runner)
        if known is None:
            known = self._crashes[report.runner] = _Crash(at, ())
        known.at = min(known.at, at)
        known.parts = merge_parts(known.parts, report.parts)
        self._settled_at = now + SETTLE_S
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)

    def record_sound(self, part: int, at: float) -> None:
        """Records that a request with a part was answered.

        A part that is watched is not, once it is answered meanwhile.
        """
        if at > self._watched_since.get(part, math.inf):
            del self._watched_since[part]
        self._sound[part] = max(at, self.sound_at(part))
        self._sound.move_to_end(part)
        while len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)

    def sound_at(self, part: int) -> float:
        """Returns when a request with a part was last answered, or -inf."""
        return self._sound.get(part, -math.inf)

    def explain(self, held: Collection[int]) -> None:
        """Attributes crashes to parts that are held back.

        Of several, the one with the most requests is the cause.
        """
        for crash in self._crashes.values():
            causes = [p for p in crash.parts if p.part in held]
            if causes:
                crash.cause = min(causes, key=lambda p: p.depth)

    def review(self, on_probation: Collection[int], now: float) -> int | None:
        """Returns a part that has crashed runners, if any is evident.

        Of several, one that was never answered is preferred, then the one that
        is deepest in its prompts, since the fewest requests have it.

        Args:
            on_probation: Parts that were held back before. One more crash
                suffices for them.
            now: The time.
        """
        if not self._forget(now) and now > self._settled_at:
            return None
        again = self._crashed_again(on_probation)
        if again is not None:
            return again
        tallies = self._tallies(now)
        self._count_held_requests(tallies, on_probation)
        self._watch(tallies, now)
        found = [
            part
            for part, tally in tallies.items()
            if self._is_suspect(part, tally, now)
        ]
        return max(
            found,
            key=lambda part: (
                part not in self._sound,
                tallies[part].is_strong,
                tallies[part].depth,
                tallies[part].crashes,
                part,
            ),
            default=None,
        )

    def _crashed_again(self, on_probation: Collection[int]) -> int | None:
        """Returns the deepest part on probation that a new crash may be due to.

        It does not wait for other reports: meanwhile more routers would try.
        """
        found = [
            entry
            for crash in self._crashes.values()
            if crash.cause is None
            for entry in crash.parts
            if entry.part in on_probation
            and self.sound_at(entry.part) < crash.at
        ]
        deepest = max(found, key=lambda entry: entry.depth, default=None)
        return deepest.part if deepest else None

    def _is_suspect(self, part: int, tally: _Tally, now: float) -> bool:
        watched_for_s = now - self._watched_since.get(part, now)
        if watched_for_s < WATCH_S:
            return False
        if tally.crashes >= WEAK_CRASHES_TO_SUSPECT:
            return True
        return part not in self._sound and tally.is_strong

    def _tallies(self, now: float) -> dict[int, _Tally]:
        """Counts the crashes that each part may have caused."""
        tallies: dict[int, _Tally] = {}
        crashes = [
            crash
            for crash in self._crashes.values()
            if crash.cause is None and now - crash.at >= GATHER_S
        ]
        for group in _moments(crashes):
            entries = collections.defaultdict(list)
            for crash in group:
                for entry in crash.parts:
                    if self.sound_at(entry.part) < crash.at:
                        entries[entry.part].append(entry)
            for part, found in entries.items():
                share = len(found) / len(group)
                is_own_cause = (
                    part not in self._sound and share >= OWN_CAUSE_SHARE
                )
                tally = tallies.setdefault(part, _Tally())
                tally.add(found, len(found) if is_own_cause else 1)
        return tallies

    def _count_held_requests(
        self, tallies: dict[int, _Tally], on_probation: Collection[int]
    ) -> None:
        """Counts each request that is held back once, for all its crashes.

        If several requests with one part crash runners, that part is the cause
        and not each of them; holding back one after the other would never end.
        A part on probation needs a crash that nothing else explains.
        """
        by_request = collections.defaultdict(list)
        for crash in self._crashes.values():
            if crash.cause is not None and crash.cause.is_request:
                by_request[crash.cause.part].append(crash)
        for crashes in by_request.values():
            entries = collections.defaultdict(list)
            for crash in crashes:
                for entry in crash.parts:
                    is_shared = not entry.is_request
                    if is_shared and self.sound_at(entry.part) < crash.at:
                        entries[entry.part].append(entry)
            for part, found in entries.items():
                if len(found) == len(crashes) and part not in on_probation:
                    tallies.setdefault(part, _Tally()).add(found, 1)

    def _watch(self, tallies: dict[int, _Tally], now: float) -> None:
        due = [p for p, t in tallies.items() if t.crashes >= CRASHES_TO_WATCH]
        due.sort(key=lambda p: (tallies[p].crashes, tallies[p].depth))
        parts = [p for p in due if not tallies[p].is_request]
        requests = [p for p in due if tallies[p].is_request]
        self._watched_since = {
            part: self._watched_since.get(part, now)
            for part in (
                *parts[-MAX_WATCHED_PARTS:],
                *requests[-MAX_WATCHED_REQUESTS:],
            )
        }

    def _forget(self, now: float) -> bool:
        """Drops what is too old; returns whether a crash was dropped."""
        oldest = now - CRASH_MEMORY_S
        outdated = [r for r, c in self._crashes.items() if c.at < oldest]
        for runner in outdated:
            del self._crashes[runner]
        while self._sound and next(iter(self._sound.values())) < oldest:
            self._sound.popitem(last=False)
        return bool(outdated)


def _moments(crashes: Iterable[_Crash]) -> list[list[_Crash]]:
    """Groups crashes that follow each other within `SAME_CAUSE_S`."""
    groups: list[list[_Crash]] = []
    for crash in sorted(crashes, key=lambda c: c.at):
        if groups and crash.at - groups[-1][0].at < SAME_CAUSE_S:
            groups[-1].append(crash)
        else:
            groups.append([crash])
    return groups
