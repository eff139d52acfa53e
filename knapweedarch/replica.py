"""Replicated log: elections, replication, membership, snapshots.

The algorithm is Raft with pre-vote, leader lease, learners and one membership
change at a time. Nothing here does input or output: the driver passes
messages and the time, saves what `Replica.take_output` returns with one sync,
and only then sends the messages and applies the committed entries.
"""

import random

import attrs

from knapweedarch.exceptions import (
    MembershipError,
    NotLeaderError,
    ReplicaError,
)
from knapweedarch.replica_leadership import (
    HEARTBEAT_S,
    LEADER_LEASE_S,
    MAX_ELECTION_S,
    MIN_ELECTION_S,
    Leadership,
)
from knapweedarch.replica_log import ReplicaLog
from knapweedarch.replica_membership import (
    PeerNote,
    check_change,
    next_change,
)
from knapweedarch.replica_messages import (
    MESSAGES,
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    HardState,
    Member,
    Message,
    Output,
    Restored,
    Role,
    Snapshot,
    SnapshotPart,
    SnapshotReply,
    VoteReply,
    VoteRequest,
    encode_members,
    initial_members_entry,
)

__all__ = [
    "HEARTBEAT_S",
    "LEADER_LEASE_S",
    "MESSAGES",
    "AppendReply",
    "AppendRequest",
    "Entry",
    "EntryKind",
    "HardState",
    "Member",
    "Output",
    "Replica",
    "ReplicaConfig",
    "Restored",
    "Role",
    "Snapshot",
    "SnapshotPart",
    "SnapshotReply",
    "VoteReply",
    "VoteRequest",
    "create_replica",
    "initial_members_entry",
]

MAX_ENTRY_BYTES = 4 * 1024 * 1024
MAX_UNCOMMITTED_ENTRIES = 20_000
MAX_UNCOMMITTED_BYTES = 64 * 1024 * 1024
# A pre-vote changes nothing at the voters, and a refused one is usually only
# too early, so it is repeated soon. A vote waits for a sync at each voter.
PRE_VOTE_RETRY_S = (0.1, 0.3)
VOTE_RETRY_S = (0.3, 0.6)


@attrs.frozen
class ReplicaConfig:
    """Settings of a replica.

    Attributes:
        name: Name of this member.
        kept_entries: Entries kept in memory before a snapshot, so that a
            member that lags a little does not need the whole snapshot.
    """

    name: str
    kept_entries: int = 1000


class Replica:
    """One member's part in the replicated log.

    Attributes:
        name: Name of this member.
        identity: Identity of this member's journal.
        term: Newest term seen.
        role: Part that it plays in the term.
        leader: Name of the leader of the term if known.
        leader_since: When this replica took office; None if it does not lead.
    """

    def __init__(self, cfg: ReplicaConfig, restored: Restored, seed: int):
        self.name = cfg.name
        self.identity = restored.identity
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.leader_since: float | None = None
        self._cfg = cfg
        self._random = random.Random(seed)
        self._hard_state = self._saved_state = restored.hard_state
        self._log = ReplicaLog(restored)
        self._applied = self._log.commit_index
        self._leadership: Leadership | None = None
        self._votes: set[str] = set()
        self._notes: dict[str, PeerNote] = {}
        self._messages: list[tuple[str, Message]] = []
        self._installed: Snapshot | None = None
        self._compacted: Snapshot | None = None
        self._parts: tuple[SnapshotPart, bytearray] | None = None
        self._now: float | None = None
        self._no_vote_until = 0.0
        self._election_at = 0.0

    # What the driver reads.

    @property
    def term(self) -> int:
        """Newest term seen."""
        return self._hard_state.term

    @property
    def commit_index(self) -> int:
        """Last entry known to be committed."""
        return self._log.commit_index

    @property
    def last_index(self) -> int:
        """Last entry of the log."""
        return self._log.last_index

    @property
    def members(self) -> tuple[Member, ...]:
        """Newest member list in the log, committed or not."""
        return self._log.members

    @property
    def blank(self) -> bool:
        """Whether the replica has never held an entry."""
        return self._log.last_index == 0

    @property
    def bytes_since_snapshot(self) -> int:
        """Size of the data after the snapshot, in bytes."""
        return self._log.bytes_since_snapshot

    @property
    def entries_since_snapshot(self) -> int:
        """Number of entries after the snapshot."""
        snapshot = self._log.snapshot
        return self._log.last_index - (snapshot.index if snapshot else 0)

    def leads_until(self, now: float) -> float:
        """Returns the end of the leader lease; 0.0 when it does not hold.

        The lease counts only once an entry of this term was handed out as
        committed; before that the application may lack changes of earlier
        terms.
        """
        office = self._leadership
        if office is None or self._applied < office.first_index:
            return 0.0
        end = office.lease_end(now)
        return end if end > now else 0.0

    # What the driver calls.

    def tick(self, now: float) -> None:
        """Lets time pass; called at least each 50 ms."""
        self._advance(now)
        if self._leadership is not None:
            self._lead(now)
        elif now >= self._election_at and self._may_campaign():
            self._campaign(now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Takes a message of the member named `sender`."""
        self._advance(now)
        match message:
            case VoteRequest():
                self._on_vote_request(sender, message, now)
            case VoteReply():
                self._on_vote_reply(message, now)
            case AppendRequest():
                self._on_append_request(sender, message, now)
            case AppendReply():
                self._on_append_reply(message, now)
            case SnapshotPart():
                self._on_snapshot_part(sender, message, now)
            case SnapshotReply():
                self._on_snapshot_reply(message, now)

    def propose(self, data: bytes, now: float) -> int:
        """Appends an entry; returns its index.

        The entry is committed if `Output.committed` holds this index with the
        term that the replica had at the call.

        Raises:
            NotLeaderError: This replica does not lead.
            ReplicaError: The entry is too large or too many are open.
        """
        self._advance(now)
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        if len(data) > MAX_ENTRY_BYTES:
            raise ReplicaError(f"an entry of {len(data)} bytes is too large")
        if (
            self._log.last_index - self._log.commit_index
            >= MAX_UNCOMMITTED_ENTRIES
            or self._log.uncommitted_bytes + len(data) > MAX_UNCOMMITTED_BYTES
        ):
            raise ReplicaError("too many entries are not committed yet")
        return self._append_own(EntryKind.DATA, data)

    def propose_members(self, members: tuple[Member, ...], now: float) -> int:
        """Appends a member list; returns the index of its entry.

        A new member is given as a learner; the leader makes it a voter once
        it holds every committed entry.

        Raises:
            NotLeaderError: This replica does not lead.
            MembershipError: More than one voter differs, a new voter is not a
                learner that caught up, or another change is under way.
        """
        self._advance(now)
        office = self._leadership
        if office is None:
            raise NotLeaderError(self.leader)
        if (
            self._log.commit_index < office.first_index
            or self._log.members_index > self._log.commit_index
        ):
            raise MembershipError("another change is not committed yet")
        check_change(self.members, members, self._caught_up)
        index = self._append_own(EntryKind.MEMBERS, encode_members(members))
        office.update_members()
        self._commit()
        return index

    def note_peer(self, name: str, identity: str, host: str, port: int) -> None:
        """Notes the identity that a member told when its link opened.

        If a member has come back with another identity, it lost its disk: the
        leader then adds it as a learner and replaces the old identity.
        """
        self._notes[name] = PeerNote(name, identity, host, port)

    def learner_caught_up(self, name: str) -> bool:
        """Tells whether the learner of this name holds what is committed."""
        return any(
            m.name == name and not m.voter and self._caught_up(m.identity)
            for m in self.members
        )

    def compact(self, index: int, snapshot_data: bytes, now: float) -> None:
        """Replaces the entries up to `index` by the application's state.

        Raises:
            ReplicaError: The entry was not handed out as committed, or is
                older than the last snapshot.
        """
        self._advance(now)
        old = self._log.snapshot
        if index > self._applied or (old and index <= old.index):
            raise ReplicaError(f"entry {index} cannot be compacted")
        self._compacted = self._log.compact(
            index, snapshot_data, self._cfg.kept_entries
        )

    def take_output(self) -> Output:
        """Returns what is to be saved, sent and applied, once."""
        if self._leadership is not None:
            self._messages += self._leadership.requests(self._now)
        hard_state = (
            self._hard_state if self._hard_state != self._saved_state else None
        )
        snapshot, compacted = self._installed, self._compacted
        if snapshot is not None:
            self._applied = max(self._applied, snapshot.index)
        newest = compacted or snapshot
        truncate_from, entries = self._log.take_unsaved()
        output = Output(
            hard_state,
            snapshot,
            compacted,
            self._log.between(newest.index + 1, self._log.last_index)
            if newest
            else (),
            truncate_from,
            entries,
            tuple(self._messages),
            self._log.between(self._applied + 1, self._log.commit_index),
        )
        self._saved_state = self._hard_state
        self._applied = self._log.commit_index
        self._installed = self._compacted = None
        self._messages = []
        return output

    # Time and terms.

    def _advance(self, now: float) -> None:
        if self._now is None:
            # Before a restart this member may have told a leader that it
            # hears it, so it waits as long as that promise lasts.
            self._no_vote_until = now + MIN_ELECTION_S
            self._restart_election_timer(now)
        self._now = now

    def _restart_election_timer(self, now: float) -> None:
        self._election_at = now + self._random.uniform(
            MIN_ELECTION_S, MAX_ELECTION_S
        )

    def _heard_leader(self, now: float) -> None:
        self._no_vote_until = now + MIN_ELECTION_S
        self._restart_election_timer(now)

    def _refuses_votes(self, now: float) -> bool:
        return self._leadership is not None or now < self._no_vote_until

    def _follow(self, term: int, leader: str | None, now: float) -> None:
        if self._leadership is not None:
            # The own lease may still run.
            self._heard_leader(now)
            self._leadership = None
            self.leader_since = None
        if term > self.term:
            self._hard_state = HardState(term)
            self.leader = None
        self.role = Role.FOLLOWER
        if leader is not None:
            self.leader = leader

    def _send(self, receiver: str, message: Message) -> None:
        self._messages.append((receiver, message))

    # Elections.

    def _voters(self) -> set[str]:
        return {m.identity for m in self.members if m.voter}

    def _may_campaign(self) -> bool:
        return self.identity in self._voters()

    def _campaign(self, now: float) -> None:
        """Asks whether an election could be won, without changing a term."""
        self.role = Role.PRE_CANDIDATE
        self.leader = None
        self._ask_for_votes(self.term + 1, True, now)

    def _stand(self, now: float) -> None:
        self.role = Role.CANDIDATE
        self.leader = None
        self._hard_state = HardState(self.term + 1, self.identity)
        self._ask_for_votes(self.term, False, now)

    def _ask_for_votes(self, term: int, pre: bool, now: float) -> None:
        self._election_at = now + self._random.uniform(
            *(PRE_VOTE_RETRY_S if pre else VOTE_RETRY_S)
        )
        request = VoteRequest(
            *(self.identity, term, self._log.last_index, self._log.last_term),
            pre,
        )
        for member in self.members:
            if member.voter and member.identity != self.identity:
                self._send(member.name, request)
        self._votes = set()
        self._count_vote(self.identity, now)

    def _count_vote(self, identity: str, now: float) -> None:
        self._votes.add(identity)
        voters = self._voters()
        if len(self._votes & voters) <= len(voters) // 2:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._stand(now)
        else:
            self._take_office(now)

    def _on_vote_request(
        self, sender: str, request: VoteRequest, now: float
    ) -> None:
        if self.blank:
            return
        granted = not self._refuses_votes(now)
        if granted and not request.pre and request.term > self.term:
            self._follow(request.term, None, now)
        granted = granted and self._would_vote(request)
        if granted and not request.pre:
            self._hard_state = HardState(self.term, request.identity)
            self._restart_election_timer(now)
        term = request.term if granted else self.term
        self._send(sender, VoteReply(self.identity, term, granted, request.pre))

    def _would_vote(self, request: VoteRequest) -> bool:
        newer = (request.last_term, request.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if request.pre:
            return newer and request.term > self.term
        return (
            newer
            and request.term == self.term
            and self._hard_state.voted_for in ("", request.identity)
        )

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        if not reply.granted:
            if reply.term > self.term and reply.identity in self._voters():
                self._follow(reply.term, None, now)
            return
        asked = {Role.PRE_CANDIDATE: True, Role.CANDIDATE: False}
        if asked.get(self.role) is not reply.pre:
            return
        if reply.term == self.term + reply.pre:
            self._count_vote(reply.identity, now)

    # Leading.

    def _take_office(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_since = now
        self._leadership = Leadership(self.identity, self.term, self._log, now)
        self._append_own(EntryKind.NOOP, b"")

    def _append_own(self, kind: EntryKind, data: bytes) -> int:
        index = self._log.last_index + 1
        self._log.append([Entry(index, self.term, kind, data)])
        self._commit()
        return index

    def _lead(self, now: float) -> None:
        office = self._leadership
        if office.quorum_lost(now):
            self._follow(self.term, None, now)
            self.leader = None
            return
        office.tick(now)
        self._change_members(now)

    def _commit(self) -> None:
        office = self._leadership
        if office is None:
            return
        self._log.commit(office.committable())

    def _resign_if_removed(self, now: float) -> None:
        settled = self._log.members_index <= self._log.commit_index
        if settled and not self._may_campaign():
            self._follow(self.term, None, now)
            self.leader = None

    def _caught_up(self, identity: str) -> bool:
        peer = self._leadership and self._leadership.peer(identity)
        return bool(peer and peer.match_index >= self._log.commit_index)

    def _change_members(self, now: float) -> None:
        """Proposes the next step that replaces a lost identity, if any."""
        office = self._leadership
        if (
            self._log.commit_index < office.first_index
            or self._log.members_index > self._log.commit_index
        ):
            return
        members = next_change(
            self.members,
            self._notes,
            self.identity,
            self._caught_up,
            lambda i: now - max(office.peer(i).answered, office.since),
        )
        if members is not None:
            self.propose_members(members, now)

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        if self._stale_or_newer(reply.identity, reply.term, now):
            return
        self._leadership.append_answered(reply)
        self._commit()
        self._resign_if_removed(now)

    def _on_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        if self._stale_or_newer(reply.identity, reply.term, now):
            return
        self._leadership.part_answered(reply)
        self._commit()

    def _stale_or_newer(self, identity: str, term: int, now: float) -> bool:
        known = any(m.identity == identity for m in self.members)
        if known and term > self.term:
            self._follow(term, None, now)
        return self._leadership is None or term != self.term

    # Following.

    def _accept_leader(
        self, sender: str, request: AppendRequest | SnapshotPart, now: float
    ) -> bool:
        if request.term < self.term:
            return False
        self._follow(request.term, sender, now)
        self._heard_leader(now)
        return True

    def _on_append_request(
        self, sender: str, request: AppendRequest, now: float
    ) -> None:
        if request.receiver != self.identity:
            # The leader means the identity that this name had before.
            return
        if not self._accept_leader(sender, request, now):
            self._answer_append(sender, request, False, 0)
            return
        previous = request.previous_index
        if previous > self._log.last_index:
            self._answer_append(
                sender, request, False, self._log.last_index + 1
            )
            return
        if (
            previous > self._log.commit_index
            and self._log.term_at(previous) != request.previous_term
        ):
            self._answer_append(
                sender, request, False, self._log.conflict_start(previous)
            )
            return
        self._log.merge(request.entries)
        last = previous + len(request.entries)
        self._log.commit(min(request.commit_index, last))
        self._answer_append(sender, request, True, last)

    def _answer_append(
        self, sender: str, request: AppendRequest, accepted: bool, index: int
    ) -> None:
        self._send(
            sender,
            AppendReply(
                *(self.identity, self.term, accepted, index, request.sent_at)
            ),
        )

    def _on_snapshot_part(
        self, sender: str, part: SnapshotPart, now: float
    ) -> None:
        if part.receiver != self.identity:
            return
        if not self._accept_leader(sender, part, now):
            self._answer_part(sender, part, 0, False)
            return
        if self._covers(part):
            self._log.commit(part.index)
            self._answer_part(sender, part, part.total, True)
            return
        held = self._collect(part)
        if len(held) < part.total:
            self._answer_part(sender, part, len(held), False)
            return
        self._parts = None
        self._installed = Snapshot(
            part.index, part.index_term, part.members, bytes(held)
        )
        self._compacted = None
        self._log.install(self._installed)
        self._answer_part(sender, part, part.total, True)

    def _covers(self, part: SnapshotPart) -> bool:
        return (
            part.index <= self._log.commit_index
            or self._log.term_at(part.index) == part.index_term
        )

    def _collect(self, part: SnapshotPart) -> bytearray:
        key = (part.identity, part.term, part.index)
        if self._parts is None or key != (
            *(self._parts[0].identity, self._parts[0].term),
            self._parts[0].index,
        ):
            self._parts = (part, bytearray())
        held = self._parts[1]
        if part.offset == len(held):
            held += part.data
        return held

    def _answer_part(
        self, sender: str, part: SnapshotPart, offset: int, installed: bool
    ) -> None:
        self._send(
            sender,
            SnapshotReply(
                *(self.identity, self.term, part.index, offset, installed),
                part.sent_at,
            ),
        )


def create_replica(
    cfg: ReplicaConfig, restored: Restored, seed: int
) -> Replica:
    """Creates a replica from what its journal holds."""
    return Replica(cfg, restored, seed)
