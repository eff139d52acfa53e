"""A router's part in finding the prompts that crash runners.

It notes which requests were under way when a runner crashed and which parts of
prompts were answered, exchanges this with a member, and tells which requests
are not sent to runners. All times are seconds on the router's clock.
"""

import math
import random
from collections.abc import Iterable, Sequence

from knapweedarch.models import RetryReason
from knapweedarch.part_quarantine import PartQuarantine
from knapweedarch.quarantine_messages import (
    CrashedPart,
    CrashReport,
    HeldPart,
    PartNotices,
    PartReports,
    merge_parts,
)
from knapweedarch.report_queue import ReportQueue

# How an answer ends if its runner crashes.
CRASH_REASONS = frozenset(
    (RetryReason.CONNECTION_CLOSED, RetryReason.STREAM_TRUNCATED)
)
# A runner that crashes on a request does so as it begins to write the answer.
# An answer that has come this far shows that its parts are sound.
SOUND_EVENTS = 2
# Largest time after the end of a hold until this router sends the part again.
LONGEST_OPEN_DELAY_S = 10.0
# Sound requests with one watched part are reported at most once in this time.
SOUND_INTERVAL_S = 0.5


class PromptGuard:
    """Crashes and sound parts seen by this router, and what it holds back.

    Args:
        seed: Seed of the random delays after which held parts are sent again.
    """

    def __init__(self, seed: int):
        rng = random.Random(seed)
        self._quarantine = PartQuarantine(
            lambda: rng.uniform(0.0, LONGEST_OPEN_DELAY_S)
        )
        self._queue = ReportQueue()
        self._watched: frozenset[int] = frozenset()
        self._sound_sent_at: dict[int, float] = {}

    def held_s(self, parts: Iterable[int], now: float) -> float:
        """Returns for how long requests with these parts are held back, or 0.

        Args:
            parts: Digests of the parts of a prompt that others may share.
            now: The time.
        """
        return self._quarantine.left_s(parts, now)

    def record_broken(
        self, runner: int, parts: Sequence[int], answered: bool, now: float
    ) -> None:
        """Records that the connection of a request broke at a runner.

        Args:
            runner: Digest of the runner's incarnation.
            parts: Digests of the shared parts of its prompt, in order.
            answered: Whether an answer had begun.
            now: The time.
        """
        if not parts:
            return
        crashed = merge_parts(
            CrashedPart(part, depth, answered)
            for depth, part in enumerate(parts)
        )
        self._queue.add_crash(runner, now, crashed)
        self._quarantine.record_crash(CrashReport(runner, 0.0, crashed), now)

    def record_sound(self, parts: Iterable[int], now: float) -> None:
        """Records that a request with these shared parts was answered."""
        for part in parts:
            self._quarantine.record_sound(part, now)
            sent_at = self._sound_sent_at.get(part, -math.inf)
            if part in self._watched and now - sent_at >= SOUND_INTERVAL_S:
                self._report_sound(part, now)

    def _report_sound(self, part: int, at: float) -> None:
        self._sound_sent_at[part] = at
        self._queue.add_sound(part, at)

    def receive(self, notices: PartNotices, now: float) -> list[HeldPart]:
        """Applies what a member tells; returns parts that are newly held."""
        for part in notices.released:
            self._quarantine.release(part)
        self._watch(notices.watched)
        return [h for h in notices.held if self._quarantine.hold(h, now)]

    def _watch(self, parts: Iterable[int]) -> None:
        """Reports from now on which of these parts are sound.

        Earlier answers are reported at once.
        """
        watched = frozenset(parts)
        for part in watched - self._watched:
            at = self._quarantine.tracker.sound_at(part)
            if at > -math.inf:
                self._report_sound(part, at)
        for part in self._sound_sent_at.keys() - watched:
            del self._sound_sent_at[part]
        self._watched = watched

    def reset(self, now: float) -> None:
        """Starts over with another member, which may know nothing yet."""
        self._watched = frozenset()
        for held in self._quarantine.held(now):
            self._queue.add_held(held)

    def review(self, now: float) -> list[HeldPart]:
        """Returns the parts that this router has newly held back itself."""
        found = self._quarantine.review(now)
        for held in found:
            self._queue.add_held(held)
        return found

    def take_reports(self, now: float) -> PartReports | None:
        """Returns what is to be reported to the member, if anything is."""
        return self._queue.take(now)


def create_prompt_guard(seed: int) -> PromptGuard:
    """Creates the guard of a router.

    Args:
        seed: Seed of its random delays; it must differ from router to router.
    """
    return PromptGuard(seed)
