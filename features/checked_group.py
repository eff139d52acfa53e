"""A virtual group whose invariants are checked after every step."""

from bench.virtual_group import Node, VirtualGroup
from knapweedarch.replica import Entry, EntryKind, Snapshot


class BrokenInvariantError(Exception):
    """An invariant of the replicated log is violated."""


class CheckedGroup(VirtualGroup):
    """Checks a group; raises `BrokenInvariantError` on a violation.

    The invariants are: a term has one leader; a new leader holds every entry
    that was committed in earlier terms; two leader leases never overlap;
    members apply the same entries in the same order, and snapshots agree with
    these entries.
    """

    def __init__(self, *args, **variant):
        # Identity of the leader of each term.
        self._leaders: dict[int, str] = {}
        # Each committed entry by its index, and the term of the member that
        # applied it first.
        self._committed: dict[int, Entry] = {}
        self._commit_terms: dict[int, int] = {}
        # Identity of the last lease holder, and when its lease ends.
        self._lease = ("", 0.0)
        # When each proposed data was first applied by a member.
        self.applied_at: dict[bytes, float] = {}
        super().__init__(*args, **variant)

    def step(self) -> None:
        """Runs one step and checks the leaders and their leases."""
        super().step()
        for node in self.nodes.values():
            if node.replica is not None and node.replica.leader_since:
                self._check_leader(node)

    def _apply(self, node: Node, entry: Entry) -> None:
        if entry.index != node.applied + 1:
            raise BrokenInvariantError(
                f"entry {entry.index} was applied out of order"
            )
        known = self._committed.setdefault(entry.index, entry)
        if known != entry:
            raise BrokenInvariantError(f"committed entry {entry.index} changed")
        self._commit_terms.setdefault(entry.index, node.replica.term)
        if entry.kind is EntryKind.DATA:
            self.applied_at.setdefault(entry.data, self.now)
        super()._apply(node, entry)

    def _restore(self, node: Node, snapshot: Snapshot) -> None:
        super()._restore(node, snapshot)
        entries = [self._committed[i + 1] for i in range(snapshot.index)]
        if node.state != [e.data for e in entries if e.kind is EntryKind.DATA]:
            raise BrokenInvariantError(
                "a snapshot differs from the committed entries"
            )

    def _check_leader(self, node: Node) -> None:
        term, identity = node.replica.term, node.replica.identity
        if term not in self._leaders:
            self._leaders[term] = identity
            self._check_complete(node)
        elif self._leaders[term] != identity:
            raise BrokenInvariantError(f"two leaders in term {term}")
        if (end := node.lease_end(self.now)) > self.now:
            holder, held_until = self._lease
            if holder != identity and self.now < held_until:
                raise BrokenInvariantError(
                    f"two leader leases: {node.name} holds one"
                    f" {held_until - self.now:.3f} s before another ends"
                )
            self._lease = (identity, end)

    def transfer_leadership(self, name: str) -> bool:
        """Makes a member transfer its leadership, which must end its lease.

        Returns whether the member was the leader and no longer is.
        """
        node = self.nodes[name]
        led = node.replica.leader_since is not None
        gave_up = node.replica.transfer_leadership(node.clock(self.now))
        if led and gave_up:
            self._check_lease_given_up(node)
        return led and gave_up

    def _suspend(self, node: Node) -> None:
        led = node.replica.leader_since is not None
        super()._suspend(node)
        if led:
            self._check_lease_given_up(node)

    def _check_lease_given_up(self, node: Node) -> None:
        if node.lease_end(self.now) > self.now:
            raise BrokenInvariantError("a lease outlasts a leadership transfer")
        if self._lease[0] == node.replica.identity:
            self._lease = (node.replica.identity, self.now)

    def _check_complete(self, node: Node) -> None:
        log = {e.index: e for e in node.disk.entries}
        start = getattr(node.disk.snapshot, "index", 0)
        for index, entry in self._committed.items():
            # A candidate that was frozen may win an old term after a newer
            # term has committed entries, which it need not hold.
            if self._commit_terms[index] >= node.replica.term:
                continue
            if index > start and log.get(index) != entry:
                raise BrokenInvariantError(
                    f"new leader lacks committed entry {index}"
                )
