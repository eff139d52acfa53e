"""State of a replica, with the properties that its driver reads."""

import collections
import enum
import math

import attrs

from knapweedarch.replica_election import Election
from knapweedarch.replica_follower import Follower
from knapweedarch.replica_leadership import (
    MAX_ELECTION_S,
    MIN_ELECTION_S,
    Leadership,
)
from knapweedarch.replica_log import ReplicaLog
from knapweedarch.replica_membership import MemberChange, PeerIdentity
from knapweedarch.replica_messages import (
    Member,
    Message,
    Restored,
    Role,
    Snapshot,
)

# Answers of voters that are reported; candidates ask more often.
RECENT_ANSWER_S = 2.0
# Changes of the member list that wait for the driver to report them.
MAX_UNREPORTED_CHANGES = 64


class LeadershipEnd(str, enum.Enum):
    """Why a replica is no longer the leader."""

    QUORUM_LOST = "quorum_lost"
    NEWER_TERM = "newer_term"
    REMOVED = "removed"
    HANDED_OVER = "handed_over"
    DISK_FULL = "disk_full"


@attrs.frozen
class ElectionReport:
    """What a replica without a leader knows of the other voters.

    Attributes:
        voters: Names of the voters.
        answered: Names of those that answered in the last two seconds.
        granted: Names of those whose newest answer was a vote or pre-vote.
    """

    voters: tuple[str, ...]
    answered: tuple[str, ...]
    granted: tuple[str, ...]


@attrs.frozen
class ReplicaConfig:
    """Settings of a replica.

    Attributes:
        name: Name of this member.
        kept_entries: Maximum number of entries before the snapshot that stay
            in memory, so that a slightly lagging member does not need the
            whole snapshot.
        voters: Target number of voters. Members that ask to join become voters
            up to this number. If 0, only known members that return with a new
            identity are admitted.
    """

    name: str
    kept_entries: int = 1000
    voters: int = 0


class ReplicaStatus:
    """State of a replica, and its read-only interface for the driver.

    Attributes:
        name: Name of this member.
        identity: Identity of this member's journal.
        term: Newest known term.
        role: Role in the current term.
        leader: Name of the leader of the current term, if known.
        leader_since: When this replica became leader, in seconds on the
            driver's clock; None if it is not the leader.
        suspended: Whether the last output is not saved yet; see
            `Replica.suspend`.
        leadership_end: Why this replica last ceased to be the leader, if it
            ever was.
        silent_at_end: Names of the voters that had not answered it for the
            shortest election timeout at that time.
    """

    def __init__(self, cfg: ReplicaConfig, restored: Restored, seed: int):
        self.name = cfg.name
        self.identity = restored.identity
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.leader_since: float | None = None
        self.suspended = False
        self.leadership_end: LeadershipEnd | None = None
        self.silent_at_end: tuple[str, ...] = ()
        self._member_changes: collections.deque[MemberChange] = (
            collections.deque(maxlen=MAX_UNREPORTED_CHANGES)
        )
        self._cfg = cfg
        self._log = ReplicaLog(restored)
        self._election = Election(self.identity, restored.hard_state, seed)
        self._follower = Follower(self._log)
        self._leadership: Leadership | None = None
        self._applied_index = self._log.commit_index
        self._peer_identities: dict[str, PeerIdentity] = {}
        # Requests to join by name, each with the time of the newest one.
        self._join_requests: dict[str, tuple[PeerIdentity, float]] = {}
        # When each identity last said that it is about to stop.
        self._leave_requests: dict[str, float] = {}
        self._messages: list[tuple[str, Message]] = []
        self._compacted: Snapshot | None = None
        self._now: float | None = None
        self._leader_heard_at = -math.inf

    @property
    def term(self) -> int:
        """Newest known term."""
        return self._election.term

    @property
    def knows_group(self) -> bool:
        """Whether this replica is in the member list and hears from a leader.

        A learner that was cut off may have been removed from the list, which
        nobody can have told it, and holds no elections.
        """
        if not any(m.identity == self.identity for m in self.members):
            return False
        if self._leadership is not None:
            return True
        if self.leader is None:
            return False
        return self._now - self._leader_heard_at < MAX_ELECTION_S

    @property
    def silent_voters(self) -> tuple[str, ...]:
        """Names of the other voters that have not answered this leader lately.

        Empty if this replica is not the leader.
        """
        leadership = self._leadership
        if leadership is None:
            return ()
        return tuple(
            member.name
            for member in self.members
            if member.voter
            and member.identity != self.identity
            and leadership.silence(member.identity, self._now) > MIN_ELECTION_S
        )

    def election_report(self) -> ElectionReport:
        """Returns which voters answered in the present search for a leader."""
        voters = [m for m in self.members if m.voter]
        lately = {
            identity: answer
            for identity, answer in self._election.answers.items()
            if self._now - answer.at < RECENT_ANSWER_S
        }
        answered = [m for m in voters if m.identity in lately]
        return ElectionReport(
            tuple(m.name for m in voters),
            tuple(m.name for m in answered),
            tuple(m.name for m in answered if lately[m.identity].granted),
        )

    def take_member_changes(self) -> tuple[MemberChange, ...]:
        """Returns the changes that this leader proposed, and clears them."""
        changes = tuple(self._member_changes)
        self._member_changes.clear()
        return changes

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._log.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self._log.last_index

    @property
    def members(self) -> tuple[Member, ...]:
        """Newest member list in the log, committed or not."""
        return self._log.members

    @property
    def first_members(self) -> tuple[Member, ...]:
        """Members of the group's first entry; empty after any later list."""
        return self.members if self._log.members_index == 1 else ()

    @property
    def members_pending(self) -> bool:
        """Whether the newest member list is not known to be committed."""
        return self._log.members_index > self._log.commit_index

    @property
    def blank(self) -> bool:
        """Whether the replica has never held an entry."""
        return self._log.last_index == 0

    @property
    def bytes_since_snapshot(self) -> int:
        """Size of the entry data after the snapshot, in bytes."""
        return self._log.bytes_since_snapshot

    @property
    def entries_since_snapshot(self) -> int:
        """Number of log entries after the snapshot."""
        snapshot = self._log.snapshot
        return self._log.last_index - (snapshot.index if snapshot else 0)

    def leads_until(self, now: float) -> float:
        """Returns when the leader lease ends; 0.0 if it is not held.

        The lease is valid only once an entry of this term has been returned as
        committed. Until then the application may lack changes from earlier
        terms.
        """
        leadership = self._leadership
        if leadership is None or self._applied_index < leadership.first_index:
            return 0.0
        end = leadership.lease_end(now)
        return end if end > now else 0.0

    def _caught_up(self, identity: str) -> bool:
        """Returns whether a learner may become a voter."""
        leadership = self._leadership
        return bool(leadership and leadership.caught_up(identity, self._now))
