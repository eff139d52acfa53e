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


# A member that does not mint, or does not answer, is asked again after this
# time in seconds.
SILENT_S = 0.5


@attrs.define
class _Lender:
    left: float
    at: float
    is_minting: bool

    def may_mint(self, now: float) -> bool:
        """Returns whether it may have minted since it last said so."""
        return self.is_minting or now - self.at > SILENT_S


class Lenders:
    """Estimates of what the other members could lend."""

    def __init__(self) -> None:
        self._known: dict[str, _Lender] = {}
        self._yield_until = -math.inf

    def note(
        self, name: str, left: float, is_minting: bool, now: float
    ) -> None:
        """Notes what a member said that it could still lend."""
        self._known[name] = _Lender(left, now, is_minting)

    def note_silent(self, name: str, now: float) -> None:
        """Notes that a member has not answered: it lends nothing now."""
        self._known[name] = _Lender(0.0, now, is_minting=False)

    def retain(self, names: set[str]) -> None:
        """Forgets members that are not reached any more."""
        self._known = {n: k for n, k in self._known.items() if n in names}

    def yield_to_other(self, now: float) -> None:
        """Lets a member that has been short for longer collect tokens."""
        self._yield_until = now + YIELD_S

    def may_mint(self, names: set[str], now: float) -> bool:
        """Returns whether any of the members may mint."""
        return any(
            name not in self._known or self._known[name].may_mint(now)
            for name in names
        )

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
        return {name: self._estimate(name, depth, rate, now) for name in names}

    def _estimate(
        self, name: str, depth: float, rate: float, now: float
    ) -> float:
        known = self._known.get(name)
        if known is None:
            return depth
        if not known.may_mint(now):
            return known.left
        return min(depth, known.left + rate * (now - known.at))
