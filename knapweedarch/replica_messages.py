"""Data classes of the replicated log: entries, messages and outputs."""

import enum

import attrs

from knapweedarch.codec import create_codec


class EntryKind(enum.IntEnum):
    """What an entry of the log carries."""

    NOOP = 0
    DATA = 1
    MEMBERS = 2


class Role(enum.Enum):
    """Part that a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class Member:
    """A member of the group.

    Attributes:
        name: Name from the settings; messages are addressed to it.
        identity: Random text that the journal drew at its first start; votes
            and acknowledgements are counted by it.
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
    """An entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


@attrs.frozen
class HardState:
    """What a replica must remember besides the log.

    Attributes:
        term: Newest term seen.
        voted_for: Identity that got the vote of this term; empty if none.
    """

    term: int = 0
    voted_for: str = ""


@attrs.frozen
class Snapshot:
    """State of the application after the entry `index`."""

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


@attrs.frozen
class Restored:
    """What a journal holds.

    Attributes:
        identity: Identity of the journal.
        hard_state: Term and vote.
        snapshot: Newest snapshot if any.
        entries: Entries after the snapshot.
    """

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()

    @property
    def blank(self) -> bool:
        """Whether the journal never held a log."""
        return self.snapshot is None and not self.entries


@attrs.frozen
class VoteRequest:
    """A candidate asks for a vote.

    Attributes:
        identity: Identity of the candidate.
        term: Term in which it would lead.
        last_index: Index of its last entry.
        last_term: Term of its last entry.
        pre: Whether it only asks if it could win.
        handed_over: Whether the leader gave up its office, and with it the
            lease that voters keep by their silence.
        all_restarted: Whether every voter has restarted since it last heard a
            leader, so that no process can hold a lease.
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
        """Order of candidates: the newest log first, then the identity."""
        return self.last_term, self.last_index, self.identity


@attrs.frozen
class HandOver:
    """A leader that stops asks another voter to take its office at once.

    Attributes:
        identity: Identity of the leader.
        term: Term of the leader, in which it claims no lease any more.
    """

    identity: str
    term: int


@attrs.frozen
class VoteReply:
    """Answer to a vote request.

    Attributes:
        identity: Identity of the voter.
        term: Term of the request if granted, else the voter's term.
        granted: Whether the vote is given.
        pre: Whether the request was a pre-vote.
        restarted: Whether the voter has heard no leader since its process
            started, and would not be the better candidate itself.
    """

    identity: str
    term: int
    granted: bool
    pre: bool
    restarted: bool = False


@attrs.frozen
class AppendRequest:
    """The leader sends entries or a heartbeat.

    Attributes:
        identity: Identity of the leader.
        receiver: Identity that the leader believes the receiver to have.
        term: Term of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entries: Entries in order.
        commit_index: Commit index of the leader.
        sent_at: Leader's clock at sending, echoed in the reply.
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
    """Answer to an append request.

    Attributes:
        identity: Identity of the follower.
        term: Term of the follower.
        accepted: Whether the entries are in the follower's synced log.
        index: Last index known to match if accepted, else the index from
            which the leader should try again.
        sent_at: `sent_at` of the request.
    """

    identity: str
    term: int
    accepted: bool
    index: int
    sent_at: float


@attrs.frozen
class SnapshotPart:
    """The leader sends a part of its snapshot.

    Attributes:
        identity: Identity of the leader.
        receiver: Identity that the leader believes the receiver to have.
        term: Term of the leader.
        index: Last entry that the snapshot covers.
        index_term: Term of that entry.
        members: Member list after that entry.
        offset: Place of the part in bytes.
        total: Size of the snapshot in bytes.
        data: The part.
        sent_at: Leader's clock at sending, echoed in the reply.
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
    """Answer to a part of a snapshot.

    Attributes:
        identity: Identity of the follower.
        term: Term of the follower.
        index: `index` of the part.
        offset: Next byte that the follower lacks; `total` once installed.
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
    """Builds the first entry of every journal of a new group."""
    return Entry(1, 1, EntryKind.MEMBERS, encode_members(members))


@attrs.frozen
class Output:
    """What the driver must do, in the order of the fields.

    The journal saves the first six fields with one sync. Only then may the
    driver send the messages and apply the committed entries.

    Attributes:
        hard_state: Changed term or vote.
        snapshot: Snapshot received from the leader; it replaces the log and
            the driver restores its state from it before applying entries.
        compacted: Snapshot made by `Replica.compact`, to be saved only.
        tail: With a snapshot, every entry of the log after it.
        truncate_from: First index to drop before appending.
        entries: Entries to append.
        messages: Receiver names and messages.
        committed: Entries to apply, in order.
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
        """Whether the journal has anything to save."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.compacted
            or self.truncate_from is not None
            or self.entries
        )
