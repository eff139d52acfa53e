"""Specification of the replicated log.

Identities 0, 1 and 2 form the group; 3 and 4 are replacements with blank disks.
The request and reply of a vote or an append are one step, because the receiver
syncs before it replies, and a delayed reply equals a delayed `win` or `commit`
step. An append carries any prefix of the leader's log, which covers delayed and
repeated requests.
"""

from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Model, Mutation, replace_item

FOLLOWER, CANDIDATE, LEADER, LOST, UNUSED = range(5)
NO_VOTE = -1
INITIAL_MEMBERS = (0, 1, 2)


class Entry(NamedTuple):
    """A log entry; `members` is the new list of voters, or empty for data."""

    term: int
    members: tuple[int, ...] = ()


class Node(NamedTuple):
    """State of one identity.

    `votes` holds the identities that voted for this candidate. `match` holds,
    for each identity, the length of its log that the leader knows to match its
    own. Both are lost on restart.
    """

    role: int
    term: int = 0
    voted: int = NO_VOTE
    log: tuple[Entry, ...] = ()
    votes: frozenset[int] = frozenset()
    match: tuple[int, ...] = ()


class State(NamedTuple):
    """State of the whole system.

    `committed` is the committed log, `commit_term` the term of the leader that
    made the latest commit. `elected` holds the winners of each term.
    `contradicted` is set when a commit contradicts an earlier one. `losses`
    counts lost disks; `repaired` is set once the latest loss has been repaired.
    """

    nodes: tuple[Node, ...]
    committed: tuple[Entry, ...]
    commit_term: int
    elected: tuple[frozenset[int], ...]
    contradicted: bool = False
    losses: int = 0
    repaired: bool = True


def members_of(log: tuple[Entry, ...]) -> tuple[int, ...]:
    """Returns the latest list of voters in the log, committed or not."""
    for entry in reversed(log):
        if entry.members:
            return entry.members
    return INITIAL_MEMBERS


def _majority(voters: tuple[int, ...], agreed: frozenset[int]) -> bool:
    return 2 * sum(v in agreed for v in voters) > len(voters)


def _last_position(log: tuple[Entry, ...]) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


def merge(log: tuple, sent: tuple) -> tuple:
    """Returns `log` after an append; only a conflicting entry truncates it."""
    for i, entry in enumerate(sent):
        if i >= len(log) or log[i] != entry:
            return sent
    return log


class LogSpec:
    """Transitions of the replicated log within bounds.

    Args:
        max_term: Highest term.
        max_log: Maximum number of entries in a leader's log.
        max_losses: Maximum number of lost disks, each of which a new identity
            replaces; 0 means no replacements.
        mutation: Name of the seeded fault; "" is none.
        max_data: With replacements, maximum number of data entries in a term.
    """

    def __init__(
        self,
        max_term: int,
        max_log: int,
        max_losses: int,
        mutation: str,
        max_data: int = 1,
    ):
        self.max_term = max_term
        self.max_log = max_log
        self.max_losses = max_losses
        self.mutation = mutation
        self.max_data = max_data

    def initial(self) -> State:
        """Returns a state in which identity 0 leads in term 1.

        By symmetry, this choice loses no generality. With replacements, one
        entry is already committed, and only 0 and 1 hold it.
        """
        committed_log = (Entry(1),) if self.max_losses else ()
        match = (len(committed_log), len(committed_log), 0, 0, 0)
        leader = Node(LEADER, 1, 0, committed_log, frozenset(), match)
        holder, other = (
            Node(FOLLOWER, 1, 0, committed_log),
            Node(FOLLOWER, 1, 0),
        )
        unused = Node(UNUSED)
        elected = (frozenset(), frozenset({0})) + (frozenset(),) * (
            self.max_term - 1
        )
        nodes = (leader, holder, other, unused, unused)
        return State(nodes, committed_log, len(committed_log), elected)

    def transitions(self, state: State) -> list:
        """Returns the successors as (label, state)."""
        out: list = []
        for n, node in enumerate(state.nodes):
            if node.role in (LOST, UNUSED):
                continue
            self._start_election(state, n, node, out)
            self._restart(state, n, node, out)
            if node.role == CANDIDATE:
                self._collect_vote(state, n, node, out)
                self._win(state, n, node, out)
            if node.role == LEADER:
                self._propose(state, n, node, out)
                self._append(state, n, node, out)
                self._commit(state, n, node, out)
                self._change_members(state, n, node, out)
            if self.max_losses:
                self._lose_disk(state, n, node, out)
        return out

    def _start_election(
        self, state: State, n: int, node: Node, out: list
    ) -> None:
        if node.role == LEADER or node.term >= self.max_term:
            return
        if n not in members_of(node.log):
            return
        candidate = Node(CANDIDATE, node.term + 1, n, node.log, frozenset({n}))
        nodes = replace_item(state.nodes, n, candidate)
        out.append((f"stand {n}", state._replace(nodes=nodes)))

    def _restart(self, state: State, n: int, node: Node, out: list) -> None:
        voted = node.voted
        if self.mutation == "vote not synced":
            voted = NO_VOTE
        log = node.log
        if self.mutation == "append not synced":
            log = log[:-1]
        restarted = Node(FOLLOWER, node.term, voted, log)
        if restarted != node:
            nodes = replace_item(state.nodes, n, restarted)
            out.append((f"restart {n}", state._replace(nodes=nodes)))

    def _collect_vote(self, state: State, n: int, node: Node, out: list):
        for v in members_of(node.log):
            voter = state.nodes[v]
            if v in node.votes or voter.role in (LOST, UNUSED):
                continue
            if voter.term > node.term:
                continue
            vote_available = voter.term < node.term or voter.voted in (
                NO_VOTE,
                n,
            )
            if self.mutation == "vote twice in a term":
                vote_available = True
            up_to_date = _last_position(node.log) >= _last_position(voter.log)
            if self.mutation == "vote for a shorter log":
                up_to_date = True
            if not (vote_available and up_to_date):
                continue
            granted = Node(FOLLOWER, node.term, n, voter.log)
            candidate = node._replace(votes=node.votes | {v})
            nodes = replace_item(
                replace_item(state.nodes, v, granted), n, candidate
            )
            out.append((f"vote {v} {n}", state._replace(nodes=nodes)))

    def _win(self, state: State, n: int, node: Node, out: list) -> None:
        if not _majority(members_of(node.log), node.votes):
            return
        match = replace_item((0,) * 5, n, len(node.log))
        leader = Node(LEADER, node.term, n, node.log, frozenset(), match)
        winners = state.elected[node.term] | {n}
        out.append(
            (
                f"win {n}",
                state._replace(
                    nodes=replace_item(state.nodes, n, leader),
                    elected=replace_item(state.elected, node.term, winners),
                ),
            )
        )

    def _extend(self, state: State, n: int, entry: Entry) -> State:
        node = state.nodes[n]
        log = (*node.log, entry)
        leader = node._replace(
            log=log, match=replace_item(node.match, n, len(log))
        )
        return state._replace(nodes=replace_item(state.nodes, n, leader))

    def _own_data(self, node: Node) -> int:
        """Counts the data entries of a leader's own term."""
        return sum(
            entry.term == node.term and not entry.members for entry in node.log
        )

    def _propose(self, state: State, n: int, node: Node, out: list) -> None:
        if self.max_losses and self._own_data(node) >= self.max_data:
            return
        if len(node.log) < self.max_log:
            extended = self._extend(state, n, Entry(node.term))
            out.append((f"propose {n}", extended))

    def _append(self, state: State, n: int, node: Node, out: list) -> None:
        for f, follower in enumerate(state.nodes):
            if f == n or follower.role in (LOST, UNUSED):
                continue
            if follower.term > node.term or (
                follower.term == node.term and follower.role == LEADER
            ):
                continue
            for size in self._sizes(node):
                log = merge(follower.log, node.log[:size])
                voted = follower.voted
                if follower.term < node.term:
                    voted = NO_VOTE
                updated = Node(FOLLOWER, node.term, voted, log)
                matched = max(node.match[f], size)
                leader = node._replace(
                    match=replace_item(node.match, f, matched)
                )
                nodes = replace_item(
                    replace_item(state.nodes, f, updated), n, leader
                )
                if nodes != state.nodes:
                    label = f"append {n} {f} {size}"
                    out.append((label, state._replace(nodes=nodes)))

    def _sizes(self, node: Node) -> range:
        """Returns the lengths of the prefixes that an append may carry.

        With replacements, an append carries the whole log.
        """
        size = len(node.log)
        return range(size if self.max_losses else 0, size + 1)

    def _commit(self, state: State, n: int, node: Node, out: list) -> None:
        voters = members_of(node.log)
        for size in range(len(node.log), 0, -1):
            old = node.log[size - 1].term != node.term
            if old and self.mutation != "commit an older term by counting":
                return
            holders = frozenset(v for v in range(5) if node.match[v] >= size)
            if not _majority(voters, holders):
                continue
            committed_log = node.log[:size]
            shared_length = min(size, len(state.committed))
            contradicted = (
                committed_log[:shared_length] != state.committed[:shared_length]
            )
            if not contradicted and size <= len(state.committed):
                return
            repaired = state.repaired or self._is_repaired(state, committed_log)
            out.append(
                (
                    f"commit {n} {size}",
                    state._replace(
                        committed=committed_log,
                        commit_term=node.term,
                        contradicted=state.contradicted or contradicted,
                        repaired=repaired,
                    ),
                )
            )
            return

    def _is_repaired(
        self, state: State, committed_log: tuple[Entry, ...]
    ) -> bool:
        return members_of(committed_log)[-1] == 2 + state.losses

    def _lose_disk(self, state: State, n: int, node: Node, out: list) -> None:
        if state.losses >= self.max_losses or not state.repaired:
            return
        if n not in members_of(state.committed):
            return
        if self.mutation == "count the blank member":
            blank = Node(FOLLOWER)
            nodes = replace_item(state.nodes, n, blank)
            lost = state._replace(nodes=nodes, losses=state.losses + 1)
            out.append((f"lose {n}", lost))
            return
        new = 3 + state.losses
        nodes = replace_item(
            replace_item(state.nodes, n, Node(LOST)), new, Node(FOLLOWER)
        )
        lost = state._replace(
            nodes=nodes, losses=state.losses + 1, repaired=False
        )
        out.append((f"lose {n}", lost))

    def _change_members(self, state: State, n: int, node: Node, out: list):
        """Removes the lost voter, then adds the replacement.

        The replacement must hold the newest list of voters and the leader's
        first entry, but not what was committed later. Only one change may be
        pending, and the leader must have committed an entry of its own term.
        """
        if not state.losses or state.repaired:
            return
        if self.mutation != "change members before own commit" and (
            state.commit_term != node.term
        ):
            return
        voters, size = members_of(node.log), len(state.committed)
        pending = any(entry.members for entry in node.log[size:])
        if pending and self.mutation != "two changes at a time":
            return
        new = 2 + state.losses
        lost = [v for v in voters if state.nodes[v].role == LOST]
        caught_up = node.match[new] >= self._needed(node, size)
        if lost and caught_up:
            new_voters = tuple(v for v in voters if v != lost[0])
        elif new not in voters and caught_up:
            new_voters = (*voters, new)
        else:
            return
        if len(node.log) < self.max_log:
            extended = self._extend(state, n, Entry(node.term, new_voters))
            label = "remove" if lost else "add"
            out.append((f"{label} {n}", extended))

    def _needed(self, node: Node, size: int) -> int:
        """Returns the entries that a replacement must hold of a leader's log.

        Without an own entry, these are the committed ones.
        """
        own = (i for i, e in enumerate(node.log) if e.term == node.term)
        lists = (i for i, e in enumerate(node.log[:size]) if e.members)
        return max(next(own, size - 1), *lists, 0) + 1


def one_leader_per_term(state: dict) -> bool:
    """Returns whether no term has two leaders."""
    return all(len(winners) <= 1 for winners in state["elected"])


def committed_stays(state: dict) -> bool:
    """Returns whether commits agree and later leaders hold them all."""
    if state["contradicted"]:
        return False
    committed_log, term = state["committed"], state["commit_term"]
    return all(
        node.log[: len(committed_log)] == committed_log
        for node in state["nodes"]
        if node.role == LEADER and node.term >= term
    )


def blank_never_counts(state: dict) -> bool:
    """Returns whether identities store all that they acknowledged.

    A candidate counts a vote only of an identity that still has the term of the
    vote or a newer one. A leader counts an entry only on an identity whose log
    is still long enough or whose term is newer.
    """
    nodes = state["nodes"]
    for node in nodes:
        for v in node.votes:
            if nodes[v].role < LOST and nodes[v].term < node.term:
                return False
        for v, size in enumerate(node.match):
            other = nodes[v]
            held = len(other.log) >= size or other.term > node.term
            if other.role < LOST and not held:
                return False
    return True


def survivors_hold_committed(state: dict) -> bool:
    """Returns whether a node holds all commits if a majority is left."""
    committed_log = state["committed"]
    voters = members_of(committed_log)
    alive = [v for v in voters if state["nodes"][v].role < LOST]
    return 2 * len(alive) <= len(voters) or any(
        node.log[: len(committed_log)] == committed_log
        for node in state["nodes"]
        if node.role < LOST
    )


def build(
    max_term: int,
    max_log: int,
    max_losses: int,
    mutation: str,
    max_data: int = 1,
) -> Protocol:
    """Creates the protocol for the model checker."""
    spec = LogSpec(max_term, max_log, max_losses, mutation, max_data)
    return Protocol(
        "log",
        False,
        State._fields,
        spec.initial(),
        spec.transitions,
        {
            "one leader per term": one_leader_per_term,
            "committed stays": committed_stays,
            "blank never counts": blank_never_counts,
            "survivors hold committed": survivors_hold_committed,
        },
    )


_TERM, _STAYS = ("one leader per term",), ("committed stays",)
_BLANK, _HELD = ("blank never counts",), ("survivors hold committed",)

MODELS = (
    Model(
        "log, elections",
        "3 members, 4 terms, 1 entry, any restarts",
        partial(build, 4, 1, 0),
        (Mutation("commit an older term by counting", _STAYS),),
    ),
    Model(
        "log, replication",
        "3 members, 3 terms, 2 entries, any restarts",
        partial(build, 3, 2, 0),
        (
            Mutation("vote twice in a term", _TERM),
            Mutation("vote not synced", _TERM),
            Mutation("vote for a shorter log", _STAYS),
            Mutation("append not synced", _STAYS + _HELD),
        ),
    ),
    Model(
        "log, replacement",
        "3 members and 2 replacements, 3 terms, 4 entries, any restarts",
        partial(build, 3, 4, 2),
        (
            Mutation("count the blank member", _STAYS + _BLANK + _HELD),
            Mutation("two changes at a time", _STAYS),
            Mutation("change members before own commit", _STAYS),
        ),
    ),
    Model(
        "log, replacement behind",
        "3 members and 2 replacements, 2 terms, 6 entries, any restarts",
        partial(build, 2, 6, 2, max_data=2),
        (),
    ),
)
