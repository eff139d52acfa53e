"""What a member knows of the parts cached at runners and stores.

Each source is followed by one member, which passes its changes on to the other
members and to the routers that subscribe to it; each other member passes them
on to its own routers. So a change crosses from one data centre to another once,
and the events of a source are read once, however many routers there are.

All members compute the same preferred followers of a source, without a
message. One that gets no answers from a source reports it as silent, and the
next one follows it as well.
"""

import collections
from collections.abc import Collection, Iterable, Mapping

import attrs
import xxhash

from knapweedarch.relay_messages import (
    MemberPlace,
    Relayed,
    ResendSources,
    SourceChanges,
    SourceSnapshot,
)
from knapweedarch.stored_parts import (
    CacheChanges,
    pack_digests,
    unpack_digests,
)

# Parts in one message of snapshots. Larger messages would delay others on the
# link.
MAX_SNAPSHOT_PARTS = 20_000


@attrs.frozen
class FeedSource:
    """A runner or store whose events are followed.

    Attributes:
        address: IP address and port.
        data_centre: Its data centre.
    """

    address: str
    data_centre: str


@attrs.define
class _SourceState:
    """A source as known by one member.

    Attributes:
        source: The source.
        number: Number that identifies it to subscribers.
        follower: Name of the member whose reports are used; empty if none has
            reported yet.
        own: Parts that this member knows from the events of the source; used
            only while it follows the source.
        digests: Parts that are cached, as reported by the follower.
        pending: Parts that changed since the last message; true if stored.
        is_silent: Whether the follower gets no answers.
        snapshot_due: Whether the next message holds all parts.
        news_due: Whether the next message mentions the source.
        silent_for: Names of the members that get no answers.
    """

    source: FeedSource
    number: int
    follower: str = ""
    own: set[int] = attrs.field(factory=set)
    digests: set[int] = attrs.field(factory=set)
    pending: dict[int, bool] = attrs.field(factory=dict)
    is_silent: bool = False
    snapshot_due: bool = False
    news_due: bool = False
    silent_for: set[str] = attrs.field(factory=set)

    def change(self, digest: int, stored: bool) -> None:
        """Records that a part is cached, or not cached any more."""
        if stored == (digest in self.digests):
            return
        if stored:
            self.digests.add(digest)
        else:
            self.digests.discard(digest)
        self.pending[digest] = stored
        self.news_due = True

    def mark_answering(self) -> None:
        """Records that the follower gets answers."""
        self.news_due |= self.is_silent
        self.is_silent = False

    def restart(self, digests: Iterable[int]) -> None:
        """Replaces all parts; the next message is a snapshot."""
        self.digests = set(digests)
        self.pending.clear()
        self.snapshot_due = self.news_due = True

    def snapshot(self) -> SourceSnapshot:
        """Returns all parts as a message."""
        return SourceSnapshot(
            self.number, self.source.address, pack_digests(self.digests)
        )

    def changes(self) -> SourceChanges:
        """Returns the changes since the last message."""
        return SourceChanges(
            self.number,
            pack_digests(d for d, stored in self.pending.items() if stored),
            pack_digests(d for d, stored in self.pending.items() if not stored),
        )


@attrs.frozen
class RelayBatch:
    """Messages that are due.

    Attributes:
        own: News of the sources that this member follows, for other members.
        all: News of all sources, for routers.
    """

    own: Relayed
    all: Relayed


class SourceRelay:
    """Collects what is cached at each source, and what is to be passed on.

    Args:
        name: Name of this member.
        data_centre: Data centre of this member.
    """

    def __init__(self, name: str, data_centre: str):
        self._name = name
        self._members = {name: data_centre}
        self._states: dict[str, _SourceState] = {}
        self._next_number = 0
        self._removed: list[int] = []
        self._numbers: dict[str, dict[int, str]] = {}
        self._requests: dict[str, set[int]] = collections.defaultdict(set)

    def set_sources(self, sources: Iterable[FeedSource]) -> None:
        """Replaces the sources; removed ones are forgotten."""
        wanted = {s.address: s for s in sources}
        for address, state in list(self._states.items()):
            if wanted.get(address) != state.source:
                self._removed.append(state.number)
                del self._states[address]
        for address in wanted.keys() - self._states.keys():
            self._next_number += 1
            self._states[address] = _SourceState(
                wanted[address], self._next_number
            )

    def add_member(self, name: str, data_centre: str) -> None:
        """Adds another member, whose reports start with a snapshot."""
        self._members[name] = data_centre
        self._numbers[name] = {}

    def remove_member(self, name: str) -> None:
        """Removes a member that cannot be reached."""
        self._members.pop(name, None)
        self._numbers.pop(name, None)
        self._requests.pop(name, None)
        for state in self._states.values():
            state.silent_for.discard(name)

    def other_members(self) -> tuple[MemberPlace, ...]:
        """Returns the members that this one reaches, with data centres."""
        return tuple(
            MemberPlace(name, data_centre)
            for name, data_centre in self._members.items()
            if name != self._name
        )

    def followed(self) -> set[FeedSource]:
        """Returns the sources that this member has to follow now.

        These are those of which it is the preferred follower, and those that
        it cannot reach at the moment.
        """
        return {
            state.source
            for state in self._states.values()
            if self._name in state.silent_for
            or self._first_follower(state) == self._name
        }

    def _first_follower(self, state: _SourceState) -> str | None:
        order = preferred_followers(state.source, self._members)
        return next((n for n in order if n not in state.silent_for), None)

    def record_changes(
        self, address: str, changes: CacheChanges, is_first: bool
    ) -> None:
        """Records events of a source that this member follows.

        Args:
            address: Address of the source.
            changes: The events.
            is_first: Whether they start with the oldest event that the source
                has kept, so that earlier ones do not count any more.
        """
        state = self._states.get(address)
        if state is None:
            return
        state.silent_for.discard(self._name)
        if is_first:
            state.own.clear()
        for change in changes.changes:
            if change.stored:
                state.own.add(change.key.digest)
            else:
                state.own.discard(change.key.digest)
        if state.follower != self._name:
            if not self._may_take_over(state):
                return
            state.follower = self._name
            state.restart(state.own)
        state.mark_answering()
        if is_first:
            for digest in state.own ^ state.digests:
                state.change(digest, digest in state.own)
        else:
            for change in changes.changes:
                state.change(change.key.digest, change.stored)

    def _may_take_over(self, state: _SourceState) -> bool:
        """Returns whether this member's reports replace the follower's.

        Two members follow a source for a moment when the preferred one changes.
        """
        return (
            state.is_silent
            or state.follower not in self._members
            or self._first_follower(state) == self._name
        )

    def record_silence(self, address: str) -> None:
        """Records that this member gets no answers from a source."""
        state = self._states.get(address)
        if state is None or self._name in state.silent_for:
            return
        state.silent_for.add(self._name)
        if state.follower in ("", self._name):
            self._mark_silent(state, self._name)

    def _mark_silent(self, state: _SourceState, follower: str) -> None:
        state.follower, state.is_silent = follower, True
        state.restart(())

    def receive(self, member: str, news: Relayed) -> None:
        """Processes a message of another member.

        Raises:
            ValueError: The message is malformed.
        """
        numbers = self._numbers.get(member)
        if numbers is None:
            return
        for snapshot in news.snapshots:
            numbers[snapshot.number] = snapshot.address
            if state := self._states.get(snapshot.address):
                state.silent_for.discard(member)
                state.follower, state.is_silent = member, False
                state.restart(unpack_digests(snapshot.stored))
        for changes in news.changes:
            if state := self._states.get(numbers.get(changes.number, "")):
                self._apply_changes(state, member, changes)
        for number in news.silent:
            if state := self._states.get(numbers.get(number, "")):
                state.silent_for.add(member)
                if state.follower == member:
                    self._mark_silent(state, member)
        for number in news.removed:
            numbers.pop(number, None)

    def _apply_changes(
        self, state: _SourceState, member: str, changes: SourceChanges
    ) -> None:
        state.silent_for.discard(member)
        if state.follower != member:
            if self._first_follower(state) == member:
                self._requests[member].add(changes.number)
            return
        state.mark_answering()
        for digest in unpack_digests(changes.stored):
            state.change(digest, True)
        for digest in unpack_digests(changes.evicted):
            state.change(digest, False)

    def snapshots(self, is_member: bool) -> list[Relayed]:
        """Returns everything that a new subscriber has to know."""
        batches, batch, parts = [], [], 0
        for state in self._known_states(is_member):
            batch.append(state.snapshot())
            parts += len(state.digests)
            if parts >= MAX_SNAPSHOT_PARTS:
                batches.append(Relayed(tuple(batch)))
                batch, parts = [], 0
        silent = tuple(
            s.number for s in self._known_states(is_member) if s.is_silent
        )
        return [*batches, Relayed(tuple(batch), silent=silent)]

    def _known_states(self, is_member: bool) -> list[_SourceState]:
        return [
            s
            for s in self._states.values()
            if s.follower and (not is_member or s.follower == self._name)
        ]

    def take_requests(self) -> dict[str, ResendSources]:
        """Returns which sources each member has to send as a snapshot.

        These are sources whose preferred follower sends changes while another
        member's snapshot was the last one.
        """
        requests, self._requests = self._requests, collections.defaultdict(set)
        return {
            member: ResendSources(tuple(sorted(numbers)))
            for member, numbers in requests.items()
        }

    def resend(self, request: ResendSources) -> Relayed:
        """Returns snapshots of the sources that another member asks for."""
        wanted = set(request.numbers)
        return Relayed(
            tuple(
                state.snapshot()
                for state in self._known_states(is_member=True)
                if state.number in wanted
            )
        )

    def take_batch(self) -> RelayBatch | None:
        """Returns the news since the last call; None if there are none."""
        due = [s for s in self._states.values() if s.news_due]
        removed, self._removed = tuple(self._removed), []
        if not due and not removed:
            return None
        batch = RelayBatch(
            own=_news([s for s in due if s.follower == self._name], removed),
            all=_news(due, removed),
        )
        for state in due:
            state.pending.clear()
            state.snapshot_due = state.news_due = False
        return batch


def _news(
    states: Collection[_SourceState], removed: tuple[int, ...]
) -> Relayed:
    return Relayed(
        tuple(s.snapshot() for s in states if s.snapshot_due),
        tuple(
            s.changes()
            for s in states
            if not s.snapshot_due and not s.is_silent
        ),
        tuple(s.number for s in states if s.is_silent),
        removed,
    )


def preferred_followers(
    source: FeedSource, members: Mapping[str, str]
) -> list[str]:
    """Returns the members in the order in which they should follow a source.

    Members in the data centre of the source come first; among equals a hash
    decides, so that the sources are spread evenly.

    Args:
        source: The source.
        members: Data centre of each member, by name.
    """

    def rank(name: str) -> tuple[bool, int]:
        text = f"{source.address} {name}"
        is_remote = members[name] != source.data_centre
        return is_remote, xxhash.xxh3_64_intdigest(text.encode())

    return sorted(members, key=rank)
