"""State of a replica, with the properties that its driver reads."""

import attrs

from knapweedarch.replica_election import Election
from knapweedarch.replica_follower import Follower
from knapweedarch.replica_leadership import MAX_ELECTION_S, Leadership
from knapweedarch.replica_log import ReplicaLog
from knapweedarch.replica_membership import PeerIdentity
from knapweedarch.replica_messages import (
    Member,
    Message,
    Restored,
    Role,
    Snapshot,
)


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
    """

    def __init__(self, cfg: ReplicaConfig, restored: Restored, seed: int):
        self.name = cfg.name
        self.identity = restored.identity
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.leader_since: float | None = None
        self.suspended = False
        self._cfg = cfg
        self._log = ReplicaLog(restored)
        self._election = Election(self.identity, restored.hard_state, seed)
        self._follower = Follower(self._log)
        self._leadership: Leadership | None = None
        self._applied_index = self._log.commit_index
        self._peer_identities: dict[str, PeerIdentity] = {}
        self._messages: list[tuple[str, Message]] = []
        self._compacted: Snapshot | None = None
        self._now: float | None = None

    @property
    def term(self) -> int:
        """Newest known term."""
        return self._election.term

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
        """Returns whether a member holds every committed entry and answers."""
        peer = self._leadership and self._leadership.peer(identity)
        return bool(
            peer
            and peer.match_index >= self._log.commit_index
            and self._now - peer.last_contact < MAX_ELECTION_S
        )
