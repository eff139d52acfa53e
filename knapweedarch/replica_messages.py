"""Data classes of the replicated log: entries, messages and output."""

import enum

import attrs

from knapweedarch.codec import create_codec


class EntryKind(enum.IntEnum):
    """Content type of a log entry.

    Attributes:
        NOOP: No content; each leader's first entry.
        DATA: Data of the application.
        MEMBERS: Member list.
    """

    NOOP = 0
    DATA = 1
    MEMBERS = 2


class Role(enum.Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class Member:
    """A member of the group.

    Attributes:
        name: Name from the settings; messages are addressed to it.
        identity: Random identifier that the journal generated when it was
            created; votes and acknowledgements are counted per identity.
        host: IP address.
        port: Port of the member's listener.
        voter: Whether it counts in majorities; a learner does not.
    """

    name: str
    identity: str
    host: str
    port: int
    voter: bool


@attrs.frozen
class Entry:
    """A log entry.

    Attributes:
        index: Position in the log; the first entry has index 1.
        term: Term of the leader that appended it.
        kind: Type of `data`.
        data: Content.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes


@attrs.frozen
class HardState:
    """Persistent state of a replica besides the log.

    Attributes:
        term: Newest known term.
        voted_for: Identity that received the vote in this term; empty if none.
    """

    term: int = 0
    voted_for: str = ""


@attrs.frozen
class Snapshot:
    """Application state after the entry `index`.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        members: Member list after that entry.
        data: Application state, as encoded by the driver.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


@attrs.frozen
class Restored:
    """Contents of a journal.

    Attributes:
        identity: Identity of the journal.
        hard_state: Term and vote.
        snapshot: Newest snapshot, if any.
        entries: Entries after the snapshot.
    """

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def blank(self) -> bool:
        """Whether the journal has never held an entry."""
        return self.snapshot is None and not self.entries


@attrs.frozen
class VoteRequest:
    """Request of a candidate for a vote or a pre-vote.

    Attributes:
        identity: Identity of the candidate.
        term: Term that it wants to lead.
        last_index: Index of its last entry.
        last_term: Term of its last entry.
        pre: Whether this is a pre-vote.
        handed_over: Whether the leader has transferred its leadership and
            thereby given up its lease, so that voters need not wait until
            the lease ends.
        all_restarted: Whether every voter has restarted since it last heard
            from a leader, so that no process can hold a lease.
    """

    identity: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    handed_over: bool = False
    all_restarted: bool = False

    @property
    def rank(self) -> tuple[int, int, str]:
        """Sort key of candidates: the newest log, then the identity."""
        return self.last_term, self.last_index, self.identity


@attrs.frozen
class HandOver:
    """Request from a leader to another voter to start an election at once.

    Attributes:
        identity: Identity of the leader.
        term: Term in which the leader has given up its lease.
    """

    identity: str
    term: int


@attrs.frozen
class VoteReply:
    """Reply to a vote request.

    Attributes:
        identity: Identity of the voter.
        term: Term of the request if granted, else the voter's term.
        granted: Whether the vote is granted.
        pre: Whether the request was a pre-vote.
        restarted: Whether the voter has not heard from a leader since its
            process started, and is not the better candidate itself.
    """

    identity: str
    term: int
    granted: bool
    pre: bool
    restarted: bool = False


@attrs.frozen
class AppendRequest:
    """Entries or a heartbeat from the leader.

    Attributes:
        identity: Identity of the leader.
        receiver: Identity of the intended receiver.
        term: Term of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entries: Entries in order.
        commit_index: Commit index of the leader.
        sent_at: When it was sent, in seconds on the leader's clock; echoed in
            the reply.
    """

    identity: str
    receiver: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at: float


@attrs.frozen
class AppendReply:
    """Reply to an append request.

    Attributes:
        identity: Identity of the follower.
        term: Term of the follower.
        accepted: Whether the entries are in the follower's synced log.
        index: Last index known to match if accepted, else the index from
            which the leader should retry.
        sent_at: `sent_at` of the request.
    """

    identity: str
    term: int
    accepted: bool
    index: int
    sent_at: float


@attrs.frozen
class SnapshotPart:
    """A part of the leader's snapshot.

    Attributes:
        identity: Identity of the leader.
        receiver: Identity of the intended receiver.
        term: Term of the leader.
        index: Index of the last entry that the snapshot covers.
        index_term: Term of that entry.
        members: Member list after that entry.
        offset: Offset of the part in bytes.
        total: Size of the snapshot in bytes.
        data: Content of the part.
        sent_at: When it was sent, in seconds on the leader's clock; echoed in
            the reply.
    """

    identity: str
    receiver: str
    term: int
    index: int
    index_term: int
    members: tuple[Member, ...]
    offset: int
    total: int
    data: bytes
    sent_at: float


@attrs.frozen
class SnapshotReply:
    """Reply to a part of a snapshot.

    Attributes:
        identity: Identity of the follower.
        term: Term of the follower.
        index: `index` of the part.
        offset: Offset of the next byte needed; `total` once installed.
        installed: Whether the follower's synced log covers `index`.
        sent_at: `sent_at` of the part.
    """

    identity: str
    term: int
    index: int
    offset: int
    installed: bool
    sent_at: float


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotPart
    | SnapshotReply
)

# Codec of the messages between replicas.
MESSAGES = create_codec(
    *(VoteRequest, VoteReply, AppendRequest, AppendReply),
    *(SnapshotPart, SnapshotReply, HandOver),
)


@attrs.frozen
class MemberList:
    """Content of an entry of kind `MEMBERS`."""

    members: tuple[Member, ...]


_MEMBER_LIST_CODEC = create_codec(MemberList)


def encode_members(members: tuple[Member, ...]) -> bytes:
    """Encodes the data of an entry of kind `MEMBERS`."""
    return _MEMBER_LIST_CODEC.encode(MemberList(tuple(members)))


def decode_members(data: bytes) -> tuple[Member, ...]:
    """Decodes the data of an entry of kind `MEMBERS`."""
    return _MEMBER_LIST_CODEC.decode(data).members


def initial_members_entry(members: tuple[Member, ...]) -> Entry:
    """Creates the first entry of every journal in a new group."""
    return Entry(1, 1, EntryKind.MEMBERS, encode_members(members))


@attrs.frozen
class Output:
    """Work for the driver, to be done in the order of the fields.

    The journal saves the first six fields with one sync. Only then may the
    driver send the messages and apply the committed entries.

    Attributes:
        hard_state: Term and vote, if changed.
        snapshot: Snapshot received from the leader. It replaces the log, and
            the driver restores its state from it before applying entries.
        compacted: Snapshot created by `Replica.compact`, to be saved only.
        tail: With a snapshot, all log entries after it.
        truncate_from: First index to remove before appending.
        entries: Entries to append.
        messages: Pairs of receiver name and message.
        committed: Committed entries to apply, in order.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    compacted: Snapshot | None = None
    tail: tuple[Entry, ...] = ()
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    messages: tuple[tuple[str, Message], ...] = ()
    committed: tuple[Entry, ...] = ()

    @property
    def needs_sync(self) -> bool:
        """Whether the journal has to save anything."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.compacted
            or self.truncate_from is not None
            or self.entries
        )
