"""Which part of each quota a member may mint."""

import math

import attrs

# A member mints only if it has heard from a leader within this time, in
# seconds. What it hears may be older by the longest election, 1.2 s.
LEADER_TIMEOUT_S = 4.5
# A member uses a larger part of the quotas only this long after the last change
# of the voters, in seconds. By then a voter that was replaced, and cannot know
# it, has stopped.
CHANGE_WAIT_S = 6.0


@attrs.frozen
class _Group:
    voters: frozenset[str]
    known_at: float


@attrs.frozen
class Rights:
    """What a member may mint.

    Attributes:
        fraction: Part of each quota; 0 if none.
        voters: Number of members that mint.
    """

    fraction: float
    voters: int


class MintingRights:
    """Derives the rights of a member from the voters that it learns of.

    Args:
        identity: Identity of the member.
    """

    def __init__(self, identity: str):
        self._identity = identity
        self._groups: list[_Group] = []
        self._leader_heard_at = -math.inf

    def note_group(self, voters: frozenset[str], now: float) -> None:
        """Notes the identities of the current voters; ignores an empty set."""
        if not voters:
            return
        if not self._groups or self._groups[-1].voters != voters:
            self._groups.append(_Group(voters, now))

    def note_leader(self, now: float) -> None:
        """Notes that the member hears from a leader, or leads."""
        self._leader_heard_at = max(self._leader_heard_at, now)

    def current(self, now: float) -> Rights:
        """Returns the rights: the least of those in the groups kept."""
        if not self._groups:
            return Rights(0.0, 0)
        self._forget_groups(now)
        voters = len(self._groups[-1].voters)
        if now - self._leader_heard_at > LEADER_TIMEOUT_S:
            return Rights(0.0, voters)
        fraction = min(self._part(group.voters) for group in self._groups)
        return Rights(fraction, voters)

    def _forget_groups(self, now: float) -> None:
        """Drops the earlier groups once the last change is long ago."""
        if now - self._groups[-1].known_at >= CHANGE_WAIT_S:
            del self._groups[:-1]

    def _part(self, voters: frozenset[str]) -> float:
        return 1 / len(voters) if self._identity in voters else 0.0
