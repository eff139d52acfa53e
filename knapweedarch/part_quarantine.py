"""Requests and parts of prompts that are held back: they crash runners.

Routers and members each keep one: a router decides by its own requests, a
member by the reports of all routers. A whole request counts as a part. A part
is held back for a time, then it is on probation, during which one more crash
holds it back for `HOLD_GROWTH` times as long. All times are seconds on one
clock, whose zero point is arbitrary.
"""

from collections.abc import Callable, Iterable

import attrs

from knapweedarch.crash_tracker import CrashTracker
from knapweedarch.quarantine_messages import (
    MAX_ENTRIES,
    CrashReport,
    HeldPart,
)

# How long a part is held back at first, and at most.
FIRST_HOLD_S = 60.0
LONGEST_HOLD_S = 3600.0
# Each trial that fails may end an endpoint, so the next one is much later.
HOLD_GROWTH = 4.0
# Shortest probation; an answer ends it. A caller may repeat a request only each
# minute or so.
SHORTEST_PROBATION_S = 600.0


@attrs.define
class _Hold:
    """Entry of one part.

    Attributes:
        since: When the part was last held back.
        until: Until when it is held back.
        open_at: When this process sends requests with it again. Routers do so
            at different times, so that one of them finds out first.
        holds: How often it was held back.
        forget_at: When its probation ends.
    """

    since: float
    until: float
    open_at: float
    holds: int
    forget_at: float


class PartQuarantine:
    """Decides which parts are held back, and for how long.

    Args:
        open_delay: Returns how long after the end of a hold this process sends
            requests with the part again, as a fraction of the hold.

    Attributes:
        tracker: Crashes and answers that this process knows of.
    """

    def __init__(self, open_delay: Callable[[], float] = lambda: 0.0):
        self._open_delay = open_delay
        self.tracker = CrashTracker()
        self._holds: dict[int, _Hold] = {}

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Adds what one router reports of a crash."""
        self.tracker.record_crash(report, now)

    def record_sound(self, part: int, at: float) -> bool:
        """Records that a request with a part was answered.

        Returns:
            Whether the part was held back, which ends.
        """
        self.tracker.record_sound(part, at)
        hold = self._holds.get(part)
        if hold is None or at <= hold.since:
            return False
        del self._holds[part]
        return True

    def hold(self, held: HeldPart, now: float) -> bool:
        """Holds a part back, unless it already is for as long.

        Returns:
            Whether the part was not held back before, or less often.
        """
        left_s = min(held.left_s, LONGEST_HOLD_S)
        if left_s <= 0:
            return False
        until = now + left_s
        forget_at = until + max(hold_s(held.holds), SHORTEST_PROBATION_S)
        known = self._holds.get(held.part)
        if known is not None and known.holds >= held.holds:
            extra_s = known.open_at - known.until
            known.until = max(known.until, until)
            known.open_at = known.until + extra_s
            known.forget_at = max(known.forget_at, forget_at)
            return False
        self._holds[held.part] = _Hold(
            *(now, until, until + self._open_delay() * hold_s(held.holds)),
            *(held.holds, forget_at),
        )
        self._limit_holds()
        return True

    def release(self, part: int) -> None:
        """Ends the hold of a part."""
        self._holds.pop(part, None)

    def left_s(self, parts: Iterable[int], now: float) -> float:
        """Returns for how long any of these parts is held back, or 0."""
        if not self._holds:
            return 0.0
        return max(
            (
                hold.open_at - now
                for part in parts
                if (hold := self._holds.get(part)) and hold.open_at > now
            ),
            default=0.0,
        )

    def is_suspect(self, part: int, now: float) -> bool:
        """Returns whether a part has crashed several runners, it seems."""
        hold = self._holds.get(part)
        on_probation = hold is not None and hold.until <= now
        return on_probation or part in self.tracker.watched

    def held(self, now: float) -> tuple[HeldPart, ...]:
        """Returns the parts that are held back."""
        return tuple(
            HeldPart(part, hold.until - now, hold.holds)
            for part, hold in self._holds.items()
            if hold.until > now
        )

    def review(self, now: float) -> list[HeldPart]:
        """Holds back the parts that have crashed runners.

        Returns:
            The parts that are newly held back.
        """
        for part in [p for p, h in self._holds.items() if h.forget_at <= now]:
            del self._holds[part]
        found = []
        self.tracker.explain(self._active(now))
        while len(found) < MAX_ENTRIES:
            part = self.tracker.review(self._on_probation(now), now)
            if part is None:
                break
            known = self._holds.get(part)
            holds = known.holds + 1 if known else 1
            held = HeldPart(part, hold_s(holds), holds)
            self.hold(held, now)
            self.tracker.explain((part,))
            found.append(held)
        return found

    def _active(self, now: float) -> set[int]:
        return {p for p, hold in self._holds.items() if hold.until > now}

    def _on_probation(self, now: float) -> set[int]:
        return {p for p, hold in self._holds.items() if hold.until <= now}

    def _limit_holds(self) -> None:
        """Drops the parts whose holds end first, at the limit."""
        while len(self._holds) > MAX_ENTRIES:
            first = min(self._holds, key=lambda part: self._holds[part].until)
            del self._holds[first]


def hold_s(holds: int) -> float:
    """Returns how long a part is held back for the given time in a row."""
    return min(LONGEST_HOLD_S, FIRST_HOLD_S * HOLD_GROWTH ** min(holds - 1, 8))
