"""Leader state of a replica: replication progress and the leader lease."""

import collections
import math
from collections.abc import Callable, Iterator

import attrs

from knapweedarch.replica_log import ReplicaLog
from knapweedarch.replica_messages import (
    AppendReply,
    AppendRequest,
    Member,
    Message,
    Snapshot,
    SnapshotPart,
    SnapshotReply,
)

HEARTBEAT_S = 0.1
# Range of the random election timeout.
MIN_ELECTION_S = 0.6
MAX_ELECTION_S = 1.2
# A voter refuses votes for `MIN_ELECTION_S` after it heard from the leader. The
# lease is 0.9 of that, which tolerates clocks whose rates differ by 5%.
LEADER_LEASE_S = MIN_ELECTION_S * 0.9
MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_PART_BYTES = 1024 * 1024
MAX_BATCHES_IN_FLIGHT = 8
PART_RESEND_S = 0.5

# Pairs of receiver name and message.
Requests = Iterator[tuple[str, Message]]


@attrs.define
class Peer:
    """Replication progress of another member.

    Times are seconds on the leader's clock, or `-inf` if there was none.

    Attributes:
        member: The member.
        next_index: First entry to send.
        match_index: Last entry known to be in its synced log.
        matched_at: When `match_index` last increased.
        added_at: When this leader began to send to it.
        probing: Whether the last matching index is still unknown.
        probe_sent: Whether a probe has been sent since the last heartbeat.
        in_flight: Number of unacknowledged batches.
        last_contact: Send time of the newest request that it answered.
        unanswered_since: Send time of the first heartbeat after that.
        heartbeat_due: Whether a heartbeat must be sent.
        snapshot: Snapshot being sent. It is not replaced until it is
            installed; otherwise frequent compaction would restart the
            transfer indefinitely.
        offset: Next byte of the snapshot to send.
        part_sent_at: When the current part was sent.
    """

    member: Member
    next_index: int
    match_index: int = 0
    matched_at: float = -math.inf
    added_at: float = -math.inf
    probing: bool = True
    probe_sent: bool = False
    in_flight: int = 0
    last_contact: float = -math.inf
    unanswered_since: float = math.inf
    heartbeat_due: bool = True
    snapshot: Snapshot | None = None
    offset: int = 0
    part_sent_at: float = -math.inf

    def record_match(self, index: int, now: float) -> None:
        """Records that its synced log holds the entries up to an index."""
        if index > self.match_index:
            self.match_index, self.matched_at = index, now
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.snapshot and self.snapshot.index <= self.match_index:
            self.snapshot = None

    def record_contact(self, sent_at: float) -> None:
        """Records the send time of a request that it answered."""
        if sent_at > self.last_contact:
            # Any newer answer shows that the member is there; those to later
            # requests may be on their way, over a link that is slow.
            self.last_contact = sent_at
            self.unanswered_since = math.inf


class Leadership:
    """Leader state for one term.

    Times are seconds on the leader's clock.

    Attributes:
        term: Term of the leader.
        started_at: When the replica became leader.
        first_index: Index of the first entry of the term.
    """

    def __init__(self, identity: str, term: int, log: ReplicaLog, now: float):
        self.term = term
        self.started_at = now
        self.first_index = log.last_index + 1
        self._identity = identity
        self._log = log
        self._heartbeat_at = now
        self._peers: dict[str, Peer] = {}
        # Times of the last heartbeats, each with the commit index then.
        self._commit_indexes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.update_members(now)

    def update_members(self, now: float) -> None:
        """Updates the peers to the newest member list."""
        others = [m for m in self._log.members if m.identity != self._identity]
        known = self._peers
        self._peers = {
            m.identity: known.get(m.identity)
            or Peer(m, self._log.last_index + 1, added_at=now)
            for m in others
        }
        for member in others:
            self._peers[member.identity].member = member

    def peer(self, identity: str) -> Peer | None:
        """Returns the progress of another member, or None if it is unknown."""
        return self._peers.get(identity)

    def _quorum_value(self, own: float, value: Callable[[str], float]) -> float:
        """Returns the highest value that a majority of voters has reached."""
        values = sorted(
            (
                own if m.identity == self._identity else value(m.identity)
                for m in self._log.members
                if m.voter
            ),
            reverse=True,
        )
        return values[len(values) // 2] if values else -math.inf

    def quorum_last_contact(self, now: float) -> float:
        """Returns the newest send time that a majority has answered."""
        return self._quorum_value(now, lambda i: self._peers[i].last_contact)

    def lease_end(self, now: float) -> float:
        """Returns the time until which no other replica can be elected."""
        return self.quorum_last_contact(now) + LEADER_LEASE_S

    def transfer_target(self, index: int) -> str | None:
        """Returns the name of a voter that holds the log up to `index`, if any.

        Of several, it is one that holds most of the log, and of these the one
        that answered the newest request.
        """
        eligible = [
            peer
            for peer in self._peers.values()
            if peer.member.voter and peer.match_index >= index
        ]
        if not eligible:
            return None
        newest = max(eligible, key=lambda p: (p.match_index, p.last_contact))
        return newest.member.name

    def silence(self, identity: str, now: float) -> float:
        """Returns the seconds since a member last answered this leader.

        The time before this leader first sent to the member does not count.
        """
        peer = self._peers.get(identity)
        # The leader is not among its own peers and is never silent to itself.
        if peer is None:
            return 0.0
        return now - max(peer.last_contact, peer.added_at)

    def absence(self, identity: str, now: float) -> float:
        """Returns for how many seconds a majority answered and a member not.

        Unlike `silence`, it grows neither while the leader itself stands still
        nor by the round trip, if a majority of the voters is as far away.
        """
        peer = self._peers.get(identity)
        if peer is None:
            return 0.0
        answered_at = self.quorum_last_contact(now)
        return max(answered_at - peer.unanswered_since, 0.0)

    def caught_up(self, identity: str, now: float) -> bool:
        """Returns whether a member answers and holds the committed entries.

        It need not hold those that were committed in the last `MAX_ELECTION_S`:
        under a steady load there always are some that it is yet to answer.
        """
        peer = self._peers.get(identity)
        if peer is None or now - peer.last_contact >= MAX_ELECTION_S:
            return False
        needed = max(
            self.first_index,
            self._log.members_index,
            self._committed_at(now - MAX_ELECTION_S),
        )
        return peer.match_index >= needed

    def _committed_at(self, time: float) -> int:
        """Returns the commit index at the last heartbeat up to a time.

        It is 0 if that heartbeat is none of this leader's.
        """
        indexes = (i for at, i in reversed(self._commit_indexes) if at <= time)
        return next(indexes, 0)

    def quorum_lost(self, now: float) -> bool:
        """Returns whether no majority answered for `MAX_ELECTION_S`."""
        last_contact = max(self.quorum_last_contact(now), self.started_at)
        return now - last_contact >= MAX_ELECTION_S

    def committable_index(self) -> int:
        """Returns the last index that a majority of voters has synced.

        If that entry is of an earlier term, the result is 0. Entries of earlier
        terms are never committed by counting replicas: a later leader may still
        replace an entry that a majority holds.
        """
        index = self._quorum_value(
            self._log.last_index, lambda i: self._peers[i].match_index
        )
        if index == -math.inf or self._log.term_at(index) != self.term:
            return 0
        return index

    def tick(self, now: float) -> None:
        """Marks due heartbeats."""
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + HEARTBEAT_S
        self._record_commit_index(now)
        for peer in self._peers.values():
            peer.heartbeat_due = True
            peer.probe_sent = False

    def _record_commit_index(self, now: float) -> None:
        self._commit_indexes.append((now, self._log.commit_index))
        while now - self._commit_indexes[0][0] > MAX_ELECTION_S + HEARTBEAT_S:
            self._commit_indexes.popleft()

    def requests(self, now: float) -> Requests:
        """Yields the pending requests to the other members."""
        for peer in self._peers.values():
            if self._log.term_at(peer.next_index - 1) is None:
                yield from self._snapshot_requests(peer, now)
            elif peer.probing:
                yield from self._probe(peer, now)
            else:
                yield from self._batches(peer, now)
            if peer.heartbeat_due:
                peer.unanswered_since = min(peer.unanswered_since, now)
            peer.heartbeat_due = False

    def _probe(self, peer: Peer, now: float) -> Requests:
        if not peer.probe_sent or peer.heartbeat_due:
            peer.probe_sent = True
            yield self._append_request(peer, now, peer.next_index)

    def _batches(self, peer: Peer, now: float) -> Requests:
        sent = False
        while (
            peer.next_index <= self._log.last_index
            and peer.in_flight < MAX_BATCHES_IN_FLIGHT
        ):
            _, request = self._append_request(peer, now, peer.next_index)
            peer.next_index += len(request.entries)
            peer.in_flight += 1
            sent = True
            yield peer.member.name, request
        if peer.heartbeat_due and not sent:
            yield self._append_request(peer, now, peer.next_index, False)

    def _append_request(
        self, peer: Peer, now: float, first: int, with_entries: bool = True
    ) -> tuple[str, AppendRequest]:
        entries = (
            self._log.batch(first, MAX_BATCH_BYTES) if with_entries else ()
        )
        return peer.member.name, AppendRequest(
            self._identity,
            peer.member.identity,
            self.term,
            first - 1,
            self._log.term_at(first - 1) or 0,
            entries,
            self._log.commit_index,
            now,
        )

    def _snapshot_requests(self, peer: Peer, now: float) -> Requests:
        if peer.heartbeat_due:
            # The receiver rejects this request because it lacks the previous
            # entry, but it still serves as a heartbeat.
            yield self._append_request(
                peer, now, self._log.last_index + 1, False
            )
        if peer.snapshot is None:
            peer.snapshot, peer.offset = self._log.snapshot, 0
            peer.part_sent_at = -math.inf
        snapshot = peer.snapshot
        if now - peer.part_sent_at < PART_RESEND_S:
            return
        peer.part_sent_at = now
        part = snapshot.data[peer.offset :][:SNAPSHOT_PART_BYTES]
        yield (
            peer.member.name,
            SnapshotPart(
                self._identity,
                peer.member.identity,
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                peer.offset,
                len(snapshot.data),
                part,
                now,
            ),
        )

    def first_needed_index(self, now: float) -> float:
        """Returns the first entry that follows a snapshot being sent.

        Without one, it is `inf`. Members that do not answer need none.
        """
        return min(
            (
                peer.snapshot.index + 1
                for peer in self._peers.values()
                if peer.snapshot and now - peer.last_contact < MAX_ELECTION_S
            ),
            default=math.inf,
        )

    def handle_append_reply(self, reply: AppendReply, now: float) -> None:
        """Updates a peer after a reply to an append request."""
        peer = self._peers.get(reply.identity)
        if peer is None:
            return
        peer.record_contact(reply.sent_at)
        if reply.accepted:
            peer.record_match(reply.index, now)
            peer.probing = False
            caught_up = peer.match_index + 1 >= peer.next_index
            peer.in_flight = 0 if caught_up else max(peer.in_flight - 1, 0)
            return
        if reply.index <= peer.match_index:
            if reply.sent_at <= peer.matched_at:
                return  # Stale reply: a newer one was handled first.
            # The member's disk lost entries that it had acknowledged.
            peer.match_index = reply.index - 1
        peer.next_index = min(reply.index, self._log.last_index + 1)
        peer.probing, peer.probe_sent, peer.in_flight = True, False, 0

    def handle_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Updates a peer after a reply to a part of a snapshot."""
        peer = self._peers.get(reply.identity)
        if peer is None:
            return
        peer.record_contact(reply.sent_at)
        if reply.installed:
            peer.record_match(reply.index, now)
            peer.snapshot = None
        elif peer.snapshot and reply.index == peer.snapshot.index:
            peer.offset = reply.offset
            peer.part_sent_at = -math.inf
