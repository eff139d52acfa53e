"""Replicated log: elections, replication, membership, snapshots.

The algorithm is Raft with pre-vote, leader leases, learners and single-server
membership changes. The module performs no I/O: the driver passes in messages
and the current time, persists the result of `Replica.take_output` with one
sync, and only then sends the messages and applies the committed entries.
"""

import math

from knapweedarch.exceptions import (
    MembershipError,
    NotLeaderError,
    ReplicaError,
)
from knapweedarch.replica_leadership import Leadership
from knapweedarch.replica_membership import (
    JOIN_REQUEST_S,
    LEAVE_REQUEST_S,
    PeerIdentity,
    check_change,
    next_change,
)
from knapweedarch.replica_messages import (
    MESSAGES,
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    HandOver,
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
from knapweedarch.replica_status import (
    LeadershipEnd,
    ReplicaConfig,
    ReplicaStatus,
)

__all__ = [
    "MESSAGES",
    "AppendReply",
    "AppendRequest",
    "Entry",
    "EntryKind",
    "HandOver",
    "HardState",
    "Member",
    "Message",
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

# Holds the longest configuration as sent and as read. A link takes 8 MiB.
MAX_ENTRY_BYTES = 7 * 1024 * 1024
MAX_UNCOMMITTED_ENTRIES = 20_000
MAX_UNCOMMITTED_BYTES = 64 * 1024 * 1024
# Limits the entries kept for a member that is taking a snapshot.
MAX_NEEDED_ENTRIES = 20_000
# Limits the entries kept before a snapshot beside `ReplicaConfig.kept_entries`.
MAX_KEPT_ENTRY_BYTES = 8 * 1024 * 1024


class Replica(ReplicaStatus):
    """One member of the replicated log.

    Times are seconds on the driver's monotonic clock. The clocks of the members
    may show different times; the leader lease tolerates clock rates that differ
    by 5%.
    """

    # Driver interface.

    def tick(self, now: float) -> None:
        """Advances the clock; must be called at least every 50 ms."""
        if self.suspended:
            return
        self._advance(now)
        if self._leadership is not None:
            self._tick_leader(now)
        elif self._election.timer_expired(now) and self._is_voter():
            self._start_pre_vote(now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Handles a message from the member named `sender`."""
        if self.suspended:
            # As if the message was lost: any reply would be about unsaved data.
            return
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
            case HandOver():
                self._on_hand_over(message, now)

    def propose(self, data: bytes, now: float) -> int:
        """Appends an entry; returns its index.

        The entry is committed once `Output.committed` contains an entry with
        this index and the replica's term at the time of the call.

        Raises:
            NotLeaderError: This replica is not the leader.
            ReplicaError: The entry is too large, or too many entries or bytes
                are uncommitted.
        """
        self._advance(now)
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        if len(data) > MAX_ENTRY_BYTES:
            raise ReplicaError(f"entry of {len(data)} bytes is too large")
        if (
            self._log.last_index - self._log.commit_index
            >= MAX_UNCOMMITTED_ENTRIES
            or self._log.uncommitted_bytes + len(data) > MAX_UNCOMMITTED_BYTES
        ):
            raise ReplicaError("too many uncommitted entries or bytes")
        return self._append_own(EntryKind.DATA, data)

    def propose_members(self, members: tuple[Member, ...], now: float) -> int:
        """Appends a member list; returns the index of its entry.

        New members must be added as learners; the leader promotes a learner
        to voter once it has caught up. With
        `ReplicaConfig.voters` set, it does so only up to that number of voters.

        Raises:
            NotLeaderError: This replica is not the leader.
            MembershipError: `check_change` rejects the list, another change is
                in progress, or no entry of the leader's term is committed yet.
        """
        self._advance(now)
        leadership = self._leadership
        if leadership is None:
            raise NotLeaderError(self.leader)
        if (
            self._log.commit_index < leadership.first_index
            or self.members_pending
        ):
            raise MembershipError(
                "another membership change or the first entry of the leader's"
                " term is uncommitted"
            )
        check_change(self.members, members, self._caught_up)
        index = self._append_own(EntryKind.MEMBERS, encode_members(members))
        leadership.update_members(now)
        return index

    def transfer_leadership(self, now: float) -> bool:
        """Transfers leadership to a voter that holds the whole log.

        Called before a planned shutdown, so that the other members need not
        wait for the election timeout.

        Returns:
            Whether this replica is no longer the leader. If False, no voter
            holds the whole log yet; call again later.
        """
        self._advance(now)
        if self._leadership is None:
            return True
        transfer_target = self._leadership.transfer_target(self._log.last_index)
        if transfer_target is None:
            return False
        self._end_leadership(LeadershipEnd.HANDED_OVER)
        self._become_follower(self.term, None, now)
        self._send(transfer_target, HandOver(self.identity, self.term))
        return True

    def suspend(self, now: float) -> tuple[tuple[str, Message], ...]:
        """Stops taking part, because the last output cannot be saved yet.

        Until `resume`, messages are ignored and there are no elections and no
        output. A leader gives up its leadership and its lease, if possible to
        a voter that holds every committed entry; its own newest entries may be
        unsaved and unsent, so nobody can hold the whole log.

        Returns:
            Pairs of receiver name and message, to be sent at once; they depend
            on nothing unsaved.
        """
        self._advance(now)
        self.suspended = True
        leadership = self._leadership
        if leadership is None:
            return ()
        transfer_target = leadership.transfer_target(self._log.commit_index)
        self._end_leadership(LeadershipEnd.DISK_FULL)
        self._become_follower(self.term, None, now)
        if transfer_target is None:
            return ()
        return ((transfer_target, HandOver(self.identity, self.term)),)

    def resume(self) -> None:
        """Takes part again, after the output was saved.

        The driver applies the committed entries of that output but does not
        send its messages: another member may lead by now.
        """
        self.suspended = False

    def note_peer(self, name: str, identity: str, host: str, port: int) -> None:
        """Records the identity that a member announced on a new link.

        A member that returns with another identity has lost its disk. The
        leader then adds it as a learner and replaces the old identity.
        """
        self._peer_identities[name] = PeerIdentity(name, identity, host, port)

    def note_join(
        self, name: str, identity: str, host: str, port: int, now: float
    ) -> bool:
        """Records that a member asks to join; it must repeat this to be added.

        Returns:
            Whether it did not ask before, or asks with another identity or
            address.
        """
        self.note_peer(name, identity, host, port)
        peer = self._peer_identities[name]
        known = self._join_requests.get(name)
        self._join_requests[name] = (peer, now)
        return known is None or known[0] != peer

    def note_leave(self, identity: str, now: float) -> bool:
        """Records that a member is about to stop.

        A spare member that has caught up takes over its vote; without one, the
        member stays in the list, as it may be back soon.

        Returns:
            Whether a spare member is yet to take it over.
        """
        self._leave_requests[identity] = now
        if self.members_pending:
            return True
        is_voter = identity in self._voters()
        return is_voter and any(
            not member.voter and self._caught_up(member.identity)
            for member in self.members
        )

    def compact(self, index: int, snapshot_data: bytes, now: float) -> None:
        """Replaces the entries up to `index` with a snapshot.

        Raises:
            ReplicaError: The entry has not been returned as committed, or the
                last snapshot already covers it.
        """
        self._advance(now)
        old = self._log.snapshot
        if index > self._applied_index or (old and index <= old.index):
            raise ReplicaError(f"cannot compact the log up to entry {index}")
        self._compacted = self._log.compact(
            index,
            snapshot_data,
            self._first_kept_index(index, now),
            MAX_KEPT_ENTRY_BYTES,
        )

    def _first_kept_index(self, index: int, now: float) -> int:
        """Returns the first entry to keep when the log is compacted.

        A member that is taking an older snapshot still needs the entries after
        it. Otherwise it would need one snapshot after another under load.
        """
        kept = index - self._cfg.kept_entries + 1
        if self._leadership is None:
            return kept
        needed = self._leadership.first_needed_index(now)
        return min(kept, max(needed, index - MAX_NEEDED_ENTRIES))

    def take_output(self) -> Output:
        """Returns the pending data to save, send and apply, and clears it."""
        if self._leadership is not None:
            self._commit()
            self._messages += self._leadership.requests(self._now)
        snapshot, compacted = self._follower.take_installed(), self._compacted
        if snapshot is not None:
            self._applied_index = max(self._applied_index, snapshot.index)
            if compacted is not None and compacted.index <= snapshot.index:
                compacted = None
        newest = compacted or snapshot
        truncate_from, entries = self._log.take_unsaved()
        output = Output(
            self._election.take_unsaved(),
            snapshot,
            compacted,
            self._log.after(newest) if newest else (),
            truncate_from,
            entries,
            tuple(self._messages),
            self._log.between(self._applied_index + 1, self._log.commit_index),
        )
        self._applied_index = self._log.commit_index
        self._compacted = None
        self._messages = []
        return output

    # Clock and terms.

    def _advance(self, now: float) -> None:
        if self._now is None:
            # Before the restart this member may have acknowledged a leader
            # whose lease still holds, so it grants no votes until that lease
            # must have expired.
            self._election.start_restart_wait(now)
        self._now = now

    def _refuses_votes(self, now: float) -> bool:
        leads = self._leadership is not None
        return leads or self._election.has_recent_leader(now)

    def _end_leadership(self, reason: LeadershipEnd) -> None:
        """Records why this leader is about to become a follower."""
        self.leadership_end = reason
        self.silent_at_end = self.silent_voters

    def _become_follower(
        self, term: int, leader: str | None, now: float
    ) -> None:
        if self._leadership is not None:
            if term > self.term:
                self._end_leadership(LeadershipEnd.NEWER_TERM)
            # This replica's own leader lease may not have expired yet, so it
            # grants no votes until it has.
            self._election.record_leader_contact(now)
            self._leadership = self.leader_since = self.leader = None
        if term > self.term:
            self._election.enter_term(term)
            self.leader = None
        self.role = Role.FOLLOWER
        self.leader = leader or self.leader

    def _send(self, receiver: str, message: Message) -> None:
        self._messages.append((receiver, message))

    # Elections.

    def _voters(self) -> set[str]:
        return {m.identity for m in self.members if m.voter}

    def _is_voter(self) -> bool:
        return self.identity in self._voters()

    def _start_pre_vote(self, now: float) -> None:
        """Starts a pre-vote, which changes no terms."""
        self.role = Role.PRE_CANDIDATE
        self._request_votes(now)

    def _start_election(self, now: float, all_restarted: bool = False) -> None:
        self.role = Role.CANDIDATE
        self._request_votes(now, all_restarted=all_restarted)

    def _on_hand_over(self, message: HandOver, now: float) -> None:
        if (
            message.term == self.term
            and message.identity in self._voters()
            and self._is_voter()
            and self._leadership is None
        ):
            self.role = Role.CANDIDATE
            self._request_votes(now, handed_over=True)

    def _request_votes(
        self,
        now: float,
        handed_over: bool = False,
        all_restarted: bool = False,
    ) -> None:
        self.leader = None
        pre = self.role is Role.PRE_CANDIDATE
        request = self._election.start_round(
            self._log, pre, now, handed_over, all_restarted
        )
        for member in self.members:
            if member.voter and member.identity != self.identity:
                self._send(member.name, request)
        own = VoteReply(self.identity, request.term, True, pre)
        self._count_vote(own, now)

    def _count_vote(self, vote: VoteReply, now: float) -> None:
        if not self._election.count_vote(vote, self._voters()):
            return
        if not vote.pre:
            self._become_leader(now)
        elif self.role is Role.PRE_CANDIDATE and not (
            # A leader lease may still rely on this replica casting no vote.
            self._election.has_recent_leader(now)
        ):
            self._start_election(now)

    def _on_vote_request(
        self, sender: str, request: VoteRequest, now: float
    ) -> None:
        if self.blank:
            return
        # Either the last known leader has given up its lease, or all voters
        # have restarted and no process can hold one.
        lease_waived = self._leadership is None and (
            request.handed_over
            or (request.all_restarted and self._election.just_restarted)
        )
        defers = self._election.defers_to(request, self._log)
        refused = self._refuses_votes(now) and not lease_waived
        if not refused and not request.pre and request.term > self.term:
            self._become_follower(request.term, None, now)
        granted = not refused and self._election.grant(request, self._log, now)
        if granted and self.role is Role.PRE_CANDIDATE:
            self._defer_to(request.identity, now)
        term = request.term if granted else self.term
        reply = VoteReply(self.identity, term, granted, request.pre, defers)
        self._send(sender, reply)
        self._send_counter_request(sender, request, now)

    def _send_counter_request(
        self, sender: str, request: VoteRequest, now: float
    ) -> None:
        if self.role is Role.PRE_CANDIDATE:
            counter_request = self._election.counter_request(
                request, self._log, now
            )
            if counter_request is not None:
                self._send(sender, counter_request)

    def _defer_to(self, identity: str, now: float) -> None:
        """Defers to a concurrent pre-candidate with a higher identity.

        Otherwise both could win their pre-votes and split the vote.
        """
        if identity > self.identity:
            self.role = Role.FOLLOWER
            self._election.retry_later(now)

    def _on_vote_reply(self, reply: VoteReply, now: float) -> None:
        if self.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return
        self._election.record_answer(reply, now)
        if (
            reply.restarted
            and self.role is Role.PRE_CANDIDATE
            and self._election.all_restarted(reply.identity, self._voters())
        ):
            self._start_election(now, all_restarted=True)
            return
        if not reply.granted:
            if reply.term > self.term and reply.identity in self._voters():
                self._become_follower(reply.term, None, now)
            return
        self._count_vote(reply, now)

    # Leader.

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.leader_since = now
        self._election.just_restarted = False
        self._leadership = Leadership(self.identity, self.term, self._log, now)
        self._append_own(EntryKind.NOOP, b"")

    def _append_own(self, kind: EntryKind, data: bytes) -> int:
        index = self._log.last_index + 1
        self._log.append([Entry(index, self.term, kind, data)])
        return index

    def _tick_leader(self, now: float) -> None:
        leadership = self._leadership
        if leadership.quorum_lost(now):
            self._end_leadership(LeadershipEnd.QUORUM_LOST)
            self._become_follower(self.term, None, now)
            return
        leadership.tick(now)
        self._change_members(now)

    def _commit(self) -> None:
        leadership = self._leadership
        if leadership is None:
            return
        self._log.commit(leadership.committable_index())

    def _step_down_if_removed(self, now: float) -> None:
        if not self.members_pending and not self._is_voter():
            self._end_leadership(LeadershipEnd.REMOVED)
            self._become_follower(self.term, None, now)

    def _change_members(self, now: float) -> None:
        """Proposes the next automatic membership change, if any."""
        leadership = self._leadership
        if (
            self._log.commit_index < leadership.first_index
            or self.members_pending
        ):
            return
        self._forget_peers(now)
        change = next_change(
            self.members,
            self._peer_identities,
            [peer for peer, _ in self._join_requests.values()],
            self.identity,
            self._caught_up,
            lambda identity: leadership.silence(identity, now),
            lambda identity: self._absence(identity, now),
            self._cfg.voters,
        )
        if change is not None:
            self.propose_members(change.members, now)
            self._member_changes.append(change)

    def _absence(self, identity: str, now: float) -> float:
        """Returns for how many seconds a member has been absent.

        One that said that it is about to stop is absent.
        """
        left_at = self._leave_requests.get(identity)
        if left_at is not None and now - left_at < LEAVE_REQUEST_S:
            return math.inf
        return self._leadership.absence(identity, now)

    def _forget_peers(self, now: float) -> None:
        """Forgets members that no longer ask to join and are not in the list.

        A member that is gone for good would otherwise be added again as soon as
        it was removed.
        """
        self._join_requests = {
            name: (peer, asked_at)
            for name, (peer, asked_at) in self._join_requests.items()
            if now - asked_at < JOIN_REQUEST_S
        }
        self._leave_requests = {
            identity: left_at
            for identity, left_at in self._leave_requests.items()
            if now - left_at < LEAVE_REQUEST_S
        }
        kept = {m.name for m in self.members} | self._join_requests.keys()
        self._peer_identities = {
            name: peer
            for name, peer in self._peer_identities.items()
            if name in kept
        }

    def _on_append_reply(self, reply: AppendReply, now: float) -> None:
        if self._should_ignore_reply(reply.identity, reply.term, now):
            return
        self._leadership.handle_append_reply(reply, now)
        self._commit()
        self._step_down_if_removed(now)

    def _on_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        if self._should_ignore_reply(reply.identity, reply.term, now):
            return
        self._leadership.handle_snapshot_reply(reply, now)
        self._commit()

    def _should_ignore_reply(
        self, identity: str, term: int, now: float
    ) -> bool:
        """Returns whether a reply does not belong to this leadership.

        A member's reply with a newer term makes this replica a follower.
        """
        known = any(m.identity == identity for m in self.members)
        if known and term > self.term:
            self._become_follower(term, None, now)
        return self._leadership is None or term != self.term

    # Follower.

    def _accept_leader(
        self, sender: str, request: AppendRequest | SnapshotPart, now: float
    ) -> bool:
        """Returns whether the request is current; if so, follows its sender."""
        if request.term < self.term:
            return False
        self._become_follower(request.term, sender, now)
        self._election.record_leader_contact(now)
        self._leader_heard_at = now
        return True

    def _on_append_request(
        self, sender: str, request: AppendRequest, now: float
    ) -> None:
        if request.receiver != self.identity:
            # The request is for the identity that previously had this name.
            return
        accepted, index = False, 0
        if self._accept_leader(sender, request, now):
            accepted, index = self._follower.append_entries(request)
        self._send(
            sender,
            AppendReply(
                self.identity, self.term, accepted, index, request.sent_at
            ),
        )

    def _on_snapshot_part(
        self, sender: str, part: SnapshotPart, now: float
    ) -> None:
        if part.receiver != self.identity:
            return
        installed, offset = False, 0
        if self._accept_leader(sender, part, now):
            installed, offset = self._follower.receive_part(part)
        self._send(
            sender,
            SnapshotReply(
                self.identity,
                self.term,
                part.index,
                offset,
                installed,
                part.sent_at,
            ),
        )


def create_replica(
    cfg: ReplicaConfig, restored: Restored, seed: int
) -> Replica:
    """Creates a replica from the contents of its journal."""
    return Replica(cfg, restored, seed)
