"""A member's part in sharing what customers use.

It adds up what its routers and the other members report, and tells each router
what all others have reported.
"""

import collections
from collections.abc import Hashable

from knapweedarch.usage_messages import (
    MAX_USAGE_ENTRIES,
    UsageEntry,
    UsageReport,
    by_importance,
    heaviest,
    pack_usage,
    unpack_usage,
)

_Work = collections.Counter[tuple[int, int]]
# Pairs of a pool and a customer that are added up between two messages. Of more
# than this, the lightest are left out.
MAX_PAIRS = 4_096


class UsageRelay:
    """Reports on their way."""

    def __init__(self) -> None:
        self._all: _Work = collections.Counter()
        self._local: _Work = collections.Counter()
        self._by_sender: dict[Hashable, _Work] = {}
        self._order: list[tuple[int, int]] | None = None

    def receive(
        self, sender: Hashable, report: UsageReport, is_member: bool
    ) -> None:
        """Adds what a router or another member reports.

        Raises:
            ValueError: The report is malformed.
        """
        self._order = None
        own = self._by_sender.setdefault(sender, collections.Counter())
        for entry in unpack_usage(report.packed):
            key = (entry.pool, entry.customer)
            if key not in self._all and len(self._all) >= MAX_PAIRS:
                continue
            self._all[key] += entry.work
            own[key] += entry.work
            if not is_member:
                self._local[key] += entry.work

    @property
    def has_news(self) -> bool:
        """Whether anything was reported since `clear`."""
        return bool(self._all)

    def news_for(self, receiver: Hashable) -> UsageReport:
        """Returns what all but one router have reported since `clear`."""
        own = self._by_sender.get(receiver, {})
        # What the receiver reported itself can remove at most so many.
        considered = self._heaviest()[: MAX_USAGE_ENTRIES + len(own)]
        return _report(
            {key: self._all[key] - own.get(key, 0) for key in considered}
        )

    def _heaviest(self) -> list[tuple[int, int]]:
        """Returns all pairs in the order of their work, sorted once a flush."""
        if self._order is None:
            self._order = by_importance(self._all)
        return self._order

    def news_for_members(self) -> UsageReport:
        """Returns what this member's routers have reported since `clear`."""
        return _report(self._local)

    def clear(self) -> None:
        """Starts over, once everything was passed on."""
        self._order = None
        self._all.clear()
        self._local.clear()
        self._by_sender.clear()


def _report(work: dict[tuple[int, int], int]) -> UsageReport:
    return UsageReport(
        pack_usage(UsageEntry(*key, work[key]) for key in heaviest(work))
    )
