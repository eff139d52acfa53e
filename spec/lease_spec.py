"""Specification of router leases and of changes acknowledged as in force.

Time is counted in ticks. `GRANT_TICKS` is the time for which the leader counts
a lease (2.1 s). A router counts 2.0 s on its own clock, which take 2.1 s on the
slowest clock allowed. A suspended process is one whose steps are all delayed.
"""

from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Model, Mutation, replace_item

GRANT_TICKS = 2
LEADER_LEASE_TICKS = 2
RENEWAL, GRANT_REPLY = "renew", "grant"


class Leader(NamedTuple):
    """A leader in one term.

    `lease` and `wait` are the ticks left of the leader lease and of the wait
    for the grants of the previous leader. `applied` is the newest version that
    it has applied. `ready` is set once an entry of its term is committed.
    `grants` holds (ticks left, applied version) for each router. `limits` holds
    (version, ticks left until it must be in force) for each version that it
    committed.
    """

    lease: int
    wait: int
    applied: int
    ready: bool
    grants: tuple[tuple[int, int], ...]
    limits: tuple[tuple[int, int], ...] = ()


class Message(NamedTuple):
    """A renewal or grant in flight.

    `left` is the number of ticks left of the lease, counted from when the
    renewal was sent. `version` is the newest version that the sender has
    applied.
    """

    kind: str
    left: int
    version: int


class Router(NamedTuple):
    """A router: applied version, lease ticks left and messages in flight."""

    version: int
    lease: int
    messages: tuple[Message, ...]


class State(NamedTuple):
    """State of the whole system; the last of `leaders` has the newest term.

    `committed` is the newest committed version, `answered` the newest one
    acknowledged as in force. `reverted` is set when a running router goes back
    to an older version.
    """

    committed: int
    answered: int
    leaders: tuple[Leader, ...]
    routers: tuple[Router, ...]
    reverted: bool = False


def _decrement(ticks: int) -> int:
    return max(0, ticks - 1)


class LeaseSpec:
    """Transitions of the lease protocol within bounds.

    Args:
        routers: Number of routers.
        leaders: Maximum number of leaders, one per term.
        messages: Maximum number of messages in flight for each router.
        versions: Maximum number of committed changes.
        mutation: Name of the seeded fault; "" is none.
    """

    def __init__(
        self,
        routers: int,
        leaders: int,
        messages: int,
        versions: int,
        mutation: str,
    ):
        self.routers = routers
        self.max_leaders = leaders
        self.max_messages = messages
        self.max_version = versions
        self.mutation = mutation

    def initial(self) -> State:
        """Returns a state with a new leader and no router lease."""
        leader = Leader(0, GRANT_TICKS, 0, True, ((0, 0),) * self.routers)
        router = Router(0, 0, ())
        return State(0, 0, (leader,), (router,) * self.routers)

    def transitions(self, state: State) -> list:
        """Returns the successors as (label, state)."""
        out: list = []
        self._tick(state, out)
        self._heartbeat(state, out)
        self._catch_up(state, out)
        self._elect(state, out)
        self._commit(state, out)
        for n, leader in enumerate(state.leaders):
            self._answer_in_force(state, n, leader, out)
        for r, router in enumerate(state.routers):
            self._renew(state, r, router, out)
            self._restart(state, r, router, out)
            for m, message in enumerate(router.messages):
                self._deliver(state, r, m, message, out)
        return out

    def _tick(self, state: State, out: list) -> None:
        leaders = tuple(
            x._replace(
                lease=_decrement(x.lease),
                wait=_decrement(x.wait),
                grants=tuple((_decrement(t), v) for t, v in x.grants),
                limits=tuple((v, _decrement(t)) for v, t in x.limits),
            )
            for x in state.leaders
        )
        routers = tuple(
            Router(
                x.version,
                _decrement(x.lease),
                tuple(m._replace(left=_decrement(m.left)) for m in x.messages),
            )
            for x in state.routers
        )
        after = state._replace(leaders=leaders, routers=routers)
        if after != state:
            out.append(("tick", after))

    def _heartbeat(self, state: State, out: list) -> None:
        newest = state.leaders[-1]
        if newest.lease < LEADER_LEASE_TICKS:
            self._update_leader(
                state, newest._replace(lease=LEADER_LEASE_TICKS), out, "beat"
            )

    def _update_leader(
        self, state: State, leader: Leader, out: list, label: str
    ):
        leaders = replace_item(state.leaders, len(state.leaders) - 1, leader)
        out.append((label, state._replace(leaders=leaders)))

    def _catch_up(self, state: State, out: list) -> None:
        newest = state.leaders[-1]
        if not newest.ready:
            caught_up = newest._replace(ready=True, applied=state.committed)
            self._update_leader(state, caught_up, out, "catch up")

    def _elect(self, state: State, out: list) -> None:
        """Elects a leader, which may not have applied the latest commits."""
        if len(state.leaders) >= self.max_leaders:
            return
        if state.leaders[-1].lease and self.mutation != "vote under a lease":
            return
        wait = 0 if self.mutation == "new leader does not wait" else GRANT_TICKS
        for applied in range(state.committed + 1):
            grants = ((0, 0),) * self.routers
            leader = Leader(0, wait, applied, False, grants)
            leaders = (*state.leaders, leader)
            out.append((f"elect {applied}", state._replace(leaders=leaders)))

    def _commit(self, state: State, out: list) -> None:
        newest = state.leaders[-1]
        if state.committed < self.max_version and newest.ready:
            version = state.committed + 1
            self._update_leader(
                state._replace(committed=version),
                newest._replace(
                    applied=version,
                    limits=(*newest.limits, (version, GRANT_TICKS)),
                ),
                out,
                "commit",
            )

    def _answer_in_force(
        self, state: State, n: int, leader: Leader, out: list
    ) -> None:
        """Acknowledges changes as in force.

        Any leader may do so, also one that was replaced while suspended.
        """
        for version in range(state.answered + 1, leader.applied + 1):
            waiting = any(t and v < version for t, v in leader.grants)
            if self.mutation == "answer once committed":
                waiting = False
            if leader.wait or waiting:
                return
            limits = tuple(x for x in leader.limits if x[0] > version)
            leaders = replace_item(
                state.leaders, n, leader._replace(limits=limits)
            )
            answered = state._replace(answered=version, leaders=leaders)
            out.append((f"in force {n} {version}", answered))

    def _renew(self, state: State, r: int, router: Router, out: list) -> None:
        if len(router.messages) < self.max_messages:
            renewal = Message(RENEWAL, GRANT_TICKS, router.version)
            sent = router._replace(messages=(*router.messages, renewal))
            routers = replace_item(state.routers, r, sent)
            out.append((f"renew {r}", state._replace(routers=routers)))

    def _restart(self, state: State, r: int, router: Router, out: list):
        """Restarts a router without state, under a new incarnation.

        The leaders' grants for the old incarnation can only delay answers, so
        they are dropped at once.
        """
        if router == Router(0, 0, ()):
            return
        leaders = tuple(
            x._replace(grants=replace_item(x.grants, r, (0, 0)))
            for x in state.leaders
        )
        routers = replace_item(state.routers, r, Router(0, 0, ()))
        restarted = state._replace(leaders=leaders, routers=routers)
        out.append((f"restart {r}", restarted))

    def _deliver(
        self, state: State, r: int, m: int, message: Message, out: list
    ) -> None:
        router = state.routers[r]
        others = router.messages[:m] + router.messages[m + 1 :]
        lost = router._replace(messages=others)
        label = f"{r} {message.kind} {message.left} {message.version}"
        routers = replace_item(state.routers, r, lost)
        out.append((f"lose {label}", state._replace(routers=routers)))
        if message.kind == GRANT_REPLY:
            self._receive_grant(state, r, lost, message, label, out)
            return
        for n, leader in enumerate(state.leaders):
            if not self._may_grant(leader):
                continue
            known = max(leader.grants[r][1], message.version)
            left = min(
                [GRANT_TICKS, *(t for v, t in leader.limits if known < v)]
            )
            if self.mutation == "leases are not limited":
                left = GRANT_TICKS
            recorded = max(left, leader.grants[r][0])
            table = replace_item(leader.grants, r, (recorded, known))
            if self.mutation == "grant is not noted":
                table = leader.grants
            elapsed = GRANT_TICKS - message.left
            grant = Message(GRANT_REPLY, max(0, left - elapsed), leader.applied)
            replied = router._replace(messages=(*others, grant))
            after = state._replace(
                leaders=replace_item(
                    state.leaders, n, leader._replace(grants=table)
                ),
                routers=replace_item(state.routers, r, replied),
            )
            out.append((f"grant {n} {label}", after))

    def _may_grant(self, leader: Leader) -> bool:
        if not leader.lease and self.mutation != "grant without leader lease":
            return False
        return leader.ready or self.mutation == "grant before catching up"

    def _receive_grant(
        self,
        state: State,
        r: int,
        router: Router,
        message: Message,
        label: str,
        out: list,
    ) -> None:
        left, version = message.left, max(router.version, message.version)
        if self.mutation == "lease counted from receipt":
            left = GRANT_TICKS
        if self.mutation == "older grant replaces newer state":
            version = message.version
        granted = Router(version, max(router.lease, left), router.messages)
        after = state._replace(
            routers=replace_item(state.routers, r, granted),
            reverted=state.reverted or version < router.version,
        )
        out.append((f"take {label}", after))


def in_force_everywhere(state: dict) -> bool:
    """Returns whether routers with a lease applied all acknowledged changes."""
    return all(
        router.version >= state["answered"]
        for router in state["routers"]
        if router.lease
    )


def never_reverts(state: dict) -> bool:
    """Returns whether no running router went back to an older version."""
    return not state["reverted"]


def no_change_is_held_up(state: dict) -> bool:
    """Returns whether no lease delays a change beyond its time limit."""
    return not any(
        ticks and known < version
        for leader in state["leaders"]
        for version, left in leader.limits
        if not left
        for ticks, known in leader.grants
    )


def build(
    routers: int, leaders: int, messages: int, versions: int, mutation: str
) -> Protocol:
    """Creates the protocol for the model checker."""
    spec = LeaseSpec(routers, leaders, messages, versions, mutation)
    return Protocol(
        "lease",
        False,
        State._fields,
        spec.initial(),
        spec.transitions,
        {
            "in force everywhere": in_force_everywhere,
            "never reverts": never_reverts,
            "no change is held up": no_change_is_held_up,
        },
    )


_IN_FORCE, _NEVER_REVERTS = ("in force everywhere",), ("never reverts",)

MODELS = (
    Model(
        "lease, leaders",
        "1 router, 3 leaders, 1 change, 1 message in flight",
        partial(build, 1, 3, 1, 1),
        (
            Mutation("vote under a lease", _IN_FORCE),
            Mutation("new leader does not wait", _IN_FORCE),
            Mutation("answer once committed", _IN_FORCE),
            Mutation("grant is not noted", _IN_FORCE),
            Mutation("grant without leader lease", _IN_FORCE),
            Mutation("grant before catching up", _IN_FORCE),
            Mutation("lease counted from receipt", _IN_FORCE),
            Mutation("leases are not limited", ("no change is held up",)),
        ),
    ),
    Model(
        "lease, changes",
        "1 router, 2 leaders, 2 changes, 1 message in flight",
        partial(build, 1, 2, 1, 2),
    ),
    Model(
        "lease, crossed grants",
        "1 router, 2 leaders, 1 change, 2 messages in flight",
        partial(build, 1, 2, 2, 1),
        (Mutation("older grant replaces newer state", _NEVER_REVERTS),),
    ),
    Model(
        "lease, two routers",
        "2 routers, 1 leader, 1 change, 1 message in flight for each",
        partial(build, 2, 1, 1, 1),
        (Mutation("answer once committed", _IN_FORCE),),
    ),
)
