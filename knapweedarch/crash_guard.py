"""A router's part in finding the requests that crash endpoints.

It notes which requests were under way when an endpoint crashed and which of
them, or parts of their prompts, were answered, exchanges this with a member,
and tells which requests are not sent to endpoints. All times are seconds on the
router's clock.
"""

import collections
import math
import random
from collections.abc import Iterable

from knapweedarch.models import RetryReason
from knapweedarch.part_quarantine import PartQuarantine
from knapweedarch.quarantine_messages import (
    REQUEST_DEPTH,
    CrashedPart,
    CrashReport,
    HeldPart,
    PartNotices,
    PartReports,
    merge_parts,
)
from knapweedarch.report_queue import ReportQueue
from knapweedarch.request_digests import RequestDigests

# How an answer ends if its runner crashes.
CRASH_REASONS = frozenset(
    (RetryReason.CONNECTION_CLOSED, RetryReason.STREAM_TRUNCATED)
)
# A runner that crashes on a request does so as it begins to write the answer.
# An answer that has come this far shows that its parts are sound.
SOUND_EVENTS = 2
# Largest time after the end of a hold until this router sends the part again,
# as a fraction of the hold. Few routers try it before they know of a crash.
LONGEST_OPEN_DELAY = 0.5
# Sound requests with one watched part are reported at most once in this time.
SOUND_INTERVAL_S = 0.5
# Whole requests that are remembered as answered, and as broken off.
MAX_REQUESTS = 1024


class CrashGuard:
    """Crashes and sound parts seen by this router, and what it holds back.

    Args:
        seed: Seed of the random delays after which held parts are sent again.
    """

    def __init__(self, seed: int):
        rng = random.Random(seed)
        self._quarantine = PartQuarantine(
            lambda: rng.uniform(0.0, LONGEST_OPEN_DELAY)
        )
        self._queue = ReportQueue()
        self._watched: frozenset[int] = frozenset()
        self._sound_sent_at: dict[int, float] = {}
        self._answered_at = _RecentRequests()
        self._broken_at = _RecentRequests()

    def held_s(self, digests: RequestDigests, now: float) -> float:
        """Returns for how long such requests are held back, or 0."""
        return self._quarantine.left_s((*digests.parts, digests.request), now)

    def may_repeat(self, digests: RequestDigests, now: float) -> bool:
        """Returns whether a request that broke may be sent once more.

        It is not if copies of it were under way at several crashes before: one
        attempt shows as much as two.
        """
        request = digests.request
        is_suspect = self._quarantine.is_suspect(request, now)
        return not is_suspect and request not in self._watched

    def record_broken(
        self, runner: int, digests: RequestDigests, answered: bool, now: float
    ) -> None:
        """Records that the connection of a request broke at a runner.

        Args:
            runner: Digest of the runner's incarnation.
            digests: Digests of the request.
            answered: Whether an answer had begun.
            now: The time.
        """
        crashed = merge_parts(
            (
                CrashedPart(part, depth, answered)
                for depth, part in enumerate(digests.parts)
            ),
            (CrashedPart(digests.request, REQUEST_DEPTH, answered),),
        )
        self._queue.add_crash(runner, now, crashed)
        self._quarantine.record_crash(CrashReport(runner, 0.0, crashed), now)
        self._broken_at.add(digests.request, now)
        answered_at = self._answered_at.get(digests.request)
        if answered_at is not None:
            self._quarantine.record_sound(digests.request, answered_at)

    def record_sound(self, digests: RequestDigests, now: float) -> None:
        """Records that a request was answered."""
        for part in digests.parts:
            self._record_sound_part(part, now)
        request = digests.request
        self._answered_at.add(request, now)
        # Most requests never return, so only those that matter are passed on.
        is_known = request in self._watched or request in self._broken_at
        if is_known or self._quarantine.is_suspect(request, now):
            self._record_sound_part(request, now)

    def _record_sound_part(self, part: int, now: float) -> None:
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
            at = self._answered_at.get(part)
            if at is None:
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


class _RecentRequests(collections.OrderedDict[int, float]):
    """Times by the digest of a request; the oldest are dropped at the limit."""

    def add(self, request: int, now: float) -> None:
        """Sets the time of a request."""
        self[request] = now
        self.move_to_end(request)
        while len(self) > MAX_REQUESTS:
            self.popitem(last=False)


def create_crash_guard(seed: int) -> CrashGuard:
    """Creates the guard of a router.

    Args:
        seed: Seed of its random delays; it must differ from router to router.
    """
    return CrashGuard(seed)
