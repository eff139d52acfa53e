"""What a member knows of the tokens that others could lend for one customer."""

import math

import attrs

from knapweedarch.quota_bucket import Bucket

# What another member has told is used unchecked for this long, in seconds.
FRESH_S = 0.1
# A member that answers later than this is not waited for.
REPLY_TIMEOUT_S = 0.1
# Another member that has been short for longer gets the tokens first; it is
# given way to for this long after its last message.
YIELD_S = 0.04


@attrs.define
class _Lender:
    left: float
    at: float


class Lenders:
    """Estimates of what the other members could lend."""

    def __init__(self) -> None:
        self._known: dict[str, _Lender] = {}
        self._yield_until = -math.inf

    def note(self, name: str, left: float, now: float) -> None:
        """Notes what a member said that it could still lend."""
        self._known[name] = _Lender(max(0.0, left), now)

    def note_silent(self, name: str, now: float) -> None:
        """Notes that a member has not answered: it lends nothing now."""
        self._known[name] = _Lender(0.0, now)

    def retain(self, names: set[str]) -> None:
        """Forgets members that are not reached any more."""
        self._known = {n: k for n, k in self._known.items() if n in names}

    def yield_to_other(self, now: float) -> None:
        """Lets a member that has been short for longer collect tokens."""
        self._yield_until = now + YIELD_S

    def is_yielding(self, now: float) -> bool:
        """Returns whether another member collects tokens."""
        return now < self._yield_until

    def is_fresh(self, names: set[str], now: float) -> bool:
        """Returns whether every member has told its level recently."""
        return all(
            name in self._known and now - self._known[name].at <= FRESH_S
            for name in names
        )

    def estimates(
        self, names: set[str], bucket: Bucket, voters: int, now: float
    ) -> dict[str, float]:
        """Returns what each member could lend by now.

        A member that has told nothing is taken to be able to lend all that its
        part of the bucket can hold.
        """
        if not voters:
            return {}
        depth = bucket.plan.depth_for(bucket.heaviest(now)) / voters
        rate = bucket.plan.rate_per_s / voters
        return {
            name: min(depth, known.left + rate * (now - known.at))
            if (known := self._known.get(name))
            else depth
            for name in names
        }
