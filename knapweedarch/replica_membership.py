"""Membership change rules, and the changes that a leader proposes itself."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from knapweedarch.exceptions import MembershipError
from knapweedarch.models import MemberChangeKind
from knapweedarch.replica_leadership import MIN_ELECTION_S
from knapweedarch.replica_messages import Member

# A member that has answered within this time, as a majority has, is alive.
# Another process with its name is then a configuration error and must not
# replace it. As short as an election, since the next leader may be lost as well
# before it has replaced the voter, and the wait then begins anew.
REPLACE_ABSENCE_S = MIN_ELECTION_S
# A learner that has not answered for this long is presumed lost.
LEARNER_SILENCE_S = 15.0
MAX_MEMBERS = 16
# A request to join counts for this long; members that wait repeat it earlier.
JOIN_REQUEST_S = 3.0
# A member that said it is about to stop, and has not after this long, goes on.
LEAVE_REQUEST_S = 3.0

Members = tuple[Member, ...]


@attrs.frozen
class PeerIdentity:
    """Identity and address that a member announced on a new link."""

    name: str
    identity: str
    host: str
    port: int


@attrs.frozen
class MemberChange:
    """A change that a leader proposes itself.

    Attributes:
        kind: What changes, and why.
        member: The member that is added, removed or promoted.
        members: The list after the change.
    """

    kind: MemberChangeKind
    member: Member
    members: Members


def check_change(
    old: Members,
    new: Members,
    caught_up: Callable[[str], bool],
) -> None:
    """Checks that at most one voter differs, so that majorities overlap.

    Raises:
        MembershipError: The new list has no voter, or the same identity or
            voter name twice; more than one voter is added or removed; or a new
            voter is not a caught-up learner.
    """
    before = {m.identity for m in old if m.voter}
    after = {m.identity for m in new if m.voter}
    if not after:
        raise MembershipError("the member list has no voters")
    if len({m.identity for m in new}) < len(new):
        raise MembershipError("the member list contains an identity twice")
    voter_names = [m.name for m in new if m.voter]
    if len(set(voter_names)) < len(voter_names):
        raise MembershipError(
            "the member list has two voters with the same name"
        )
    if len(before ^ after) > 1:
        raise MembershipError("the change adds or removes more than one voter")
    learners = {m.identity for m in old if not m.voter}
    for identity in after - before:
        if identity not in learners or not caught_up(identity):
            raise MembershipError(
                f"new voter {identity} is not a caught-up learner"
            )


def next_change(
    members: Members,
    announced: Mapping[str, PeerIdentity],
    joining: Iterable[PeerIdentity],
    own_identity: str,
    caught_up: Callable[[str], bool],
    silence: Callable[[str], float],
    absence: Callable[[str], float],
    voters: int = 0,
) -> MemberChange | None:
    """Returns the next change towards a complete group, if any.

    Args:
        members: Current list.
        announced: Newest announced identity of each name in the list.
        joining: Members that ask to join at present, in the order of service.
        own_identity: Identity of the leader.
        caught_up: Returns whether an identity holds the committed entries and
            has answered the leader recently.
        silence: Returns the seconds since an identity answered the leader.
        absence: Returns for how many seconds a majority answered the leader
            and an identity did not.
        voters: Target number of voters; if 0, members that ask to join are
            not admitted.
    """
    for member in members:
        if member.identity == own_identity:
            continue
        peer = announced.get(member.name)
        if peer is not None and _is_renamed(members, peer):
            peer = None
        if member.voter:
            change = _add_replacement_learner(members, member, peer, absence)
        elif _is_joining(members, member) and voters:
            change = _advance_joining_learner(
                *(members, member, peer, caught_up, silence, absence),
                *(voters, own_identity),
            )
        else:
            change = _advance_replacement_learner(
                members, member, peer, caught_up, absence
            )
        if change is not None:
            return change
    if not voters:
        return None
    return _add_joining_learner(members, joining, absence)


def _is_joining(members: Members, learner: Member) -> bool:
    """Returns whether no voter has the learner's name."""
    return not any(m.name == learner.name and m.voter for m in members)


def _is_renamed(members: Members, peer: PeerIdentity) -> bool:
    """Returns whether the list holds an identity under another name."""
    return any(
        m.identity == peer.identity and m.name != peer.name for m in members
    )


def _add_joining_learner(
    members: Members,
    joining: Iterable[PeerIdentity],
    absence: Callable[[str], float],
) -> MemberChange | None:
    """Adds a learner for a member that asks to join and is not in the list.

    If the list is full, it removes a lost learner first.
    """
    names = {m.name for m in members}
    for peer in joining:
        if peer.name in names or _is_renamed(members, peer):
            continue
        if len(members) >= MAX_MEMBERS:
            return _remove_lost(
                members,
                [m for m in members if not m.voter],
                MemberChangeKind.SILENT_LEARNER_REMOVED,
                absence,
            )
        learner = _create_learner(peer)
        return MemberChange(
            MemberChangeKind.JOINING_ADDED, learner, (*members, learner)
        )
    return None


def _remove_lost(
    members: Members,
    candidates: Iterable[Member],
    kind: MemberChangeKind,
    absence: Callable[[str], float],
    minimum_s: float = REPLACE_ABSENCE_S,
) -> MemberChange | None:
    """Removes the candidate that has been absent longest, if it is lost."""
    lost = max(candidates, key=lambda m: absence(m.identity), default=None)
    if lost is None or absence(lost.identity) < minimum_s:
        return None
    return MemberChange(kind, lost, tuple(m for m in members if m is not lost))


def _is_superseded(
    learner: Member,
    peer: PeerIdentity | None,
    absence: Callable[[str], float],
) -> bool:
    """Returns whether a lost learner returned with another identity."""
    return (
        peer is not None
        and peer.identity != learner.identity
        and absence(learner.identity) >= REPLACE_ABSENCE_S
    )


def _create_learner(peer: PeerIdentity) -> Member:
    return Member(*attrs.astuple(peer), voter=False)


def _replace_learner(others: Members, peer: PeerIdentity) -> MemberChange:
    learner = _create_learner(peer)
    return MemberChange(
        MemberChangeKind.LEARNER_REPLACED, learner, (*others, learner)
    )


def _promote(others: Members, learner: Member) -> MemberChange:
    voter = attrs.evolve(learner, voter=True)
    return MemberChange(
        MemberChangeKind.LEARNER_PROMOTED, voter, (*others, voter)
    )


def _advance_joining_learner(
    members: Members,
    learner: Member,
    peer: PeerIdentity | None,
    caught_up: Callable[[str], bool],
    silence: Callable[[str], float],
    absence: Callable[[str], float],
    voters: int,
    own_identity: str,
) -> MemberChange | None:
    """Promotes a joining learner; in a full group, removes a silent voter.

    A removed voter that returns later joins again as a learner.
    """
    others = tuple(m for m in members if m is not learner)
    if _is_superseded(learner, peer, absence):
        return _replace_learner(others, peer)
    if not caught_up(learner.identity):
        if silence(learner.identity) <= LEARNER_SILENCE_S:
            return None
        return MemberChange(
            MemberChangeKind.SILENT_LEARNER_REMOVED, learner, others
        )
    if sum(m.voter for m in members) < voters:
        return _promote(others, learner)
    return _remove_lost(
        members,
        [m for m in members if m.voter and m.identity != own_identity],
        MemberChangeKind.SILENT_VOTER_REMOVED,
        absence,
        # The successor has answered for that long and the voter has not.
        REPLACE_ABSENCE_S + absence(learner.identity),
    )


def _add_replacement_learner(
    members: Members,
    voter: Member,
    peer: PeerIdentity | None,
    absence: Callable[[str], float],
) -> MemberChange | None:
    """Adds a learner for a voter that returned with another identity."""
    if (
        peer is None
        or any(m.identity == peer.identity for m in members)
        or any(m.name == voter.name and not m.voter for m in members)
        or absence(voter.identity) < REPLACE_ABSENCE_S
    ):
        return None
    learner = _create_learner(peer)
    return MemberChange(
        MemberChangeKind.REPLACEMENT_ADDED, learner, (*members, learner)
    )


def _advance_replacement_learner(
    members: Members,
    learner: Member,
    peer: PeerIdentity | None,
    caught_up: Callable[[str], bool],
    absence: Callable[[str], float],
) -> MemberChange | None:
    """Replaces a lost learner, or advances a learner towards voting.

    Once a learner has caught up, one change removes the voter that it replaces,
    if any, and the next one promotes it, since only one voter may differ.

    A lost learner may be the only member left with its name, so the change that
    removes it also adds its successor. This is safe, as learners count in no
    majority.
    """
    if _is_superseded(learner, peer, absence):
        others = tuple(m for m in members if m is not learner)
        if any(m.identity == peer.identity for m in others):
            # The original disk returned before its voter was removed.
            return MemberChange(
                MemberChangeKind.ORIGINAL_RETURNED, learner, others
            )
        return _replace_learner(others, peer)
    if not caught_up(learner.identity):
        return None
    others = tuple(m for m in members if m.name != learner.name)
    for member in members:
        if member.name == learner.name and member.voter:
            return MemberChange(
                MemberChangeKind.REPLACED_VOTER_REMOVED,
                member,
                (*others, learner),
            )
    return _promote(others, learner)
