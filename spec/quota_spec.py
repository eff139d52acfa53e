"""Specification of the tokens of one customer's quota.

Two members mint one token in each tick into buckets of one token. One proxy
asks either of them, and member 0 borrows from member 1. Messages are delayed,
lost and repeated; processes restart. A frozen process is one whose steps are
all late. A second specification covers which members mint while one of them is
replaced.
"""

from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from spec.checking import Model, Mutation, replace_item

MEMBERS = 2
DEPTH = 1
ASKED, GRANTED, SHARE, BORROWED, LENT, LOAN = range(6)


class Item(NamedTuple):
    """A question, its answer or its token.

    `age` is the number of ticks since the question was sent. Tokens live in the
    ticks in which it is below their lifetime.
    """

    stage: int
    age: int = 0


class State(NamedTuple):
    """State of the whole system.

    `levels` are the buckets, `spent` what was spent in each tick of the window,
    the current one first. The last three are how many more such steps may
    happen.
    """

    levels: tuple[int, ...]
    items: tuple[Item, ...]
    spent: tuple[int, ...]
    ticks: int
    repeats: int
    restarts: int


def _without(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    place = items.index(item)
    return (*items[:place], *items[place + 1 :])


def _with(items: tuple[Item, ...], *added: Item) -> tuple[Item, ...]:
    return tuple(sorted((*items, *added)))


class QuotaSpec:
    """Transitions of tokens within bounds.

    Args:
        share_ticks: Lifetime of tokens at the proxy.
        loan_ticks: Lifetime of tokens that member 0 has borrowed.
        window: Ticks in a window.
        asks: Maximum number of unanswered questions of the proxy.
        ticks: Number of ticks.
        restarts: Maximum number of restarts of processes.
        mutation: Name of the seeded fault; "" is none.
    """

    def __init__(
        self,
        share_ticks: int,
        loan_ticks: int,
        window: int,
        asks: int,
        ticks: int,
        restarts: int,
        mutation: str,
    ):
        self.share_ticks = share_ticks
        self.loan_ticks = loan_ticks
        self.window = window
        self.asks = asks
        self.ticks = ticks
        self.restarts = restarts
        self.mutation = mutation

    def initial(self) -> State:
        """Returns the state at a start of all processes."""
        levels, spent = (0,) * MEMBERS, (0,) * self.window
        return State(levels, (), spent, self.ticks, 1, self.restarts)

    def bound(self) -> int:
        """Returns the most that may be spent in a window."""
        outside = self.share_ticks - 1 + self.loan_ticks - 1
        minted = MEMBERS * (self.window - 1 + outside)
        return minted + MEMBERS * DEPTH

    def transitions(self, state: State) -> list:
        """Returns the successors as (label, state)."""
        out: list = []
        self._tick(state, out)
        self._ask(state, out)
        for item in sorted(set(state.items)):
            self._answer(state, item, out)
            self._receive(state, item, out)
            self._lose(state, item, out)
        self._restart(state, out)
        return out

    def _lifetime(self, stage: int) -> int:
        is_share = stage in (ASKED, GRANTED, SHARE)
        return self.share_ticks if is_share else self.loan_ticks

    def _tick(self, state: State, out: list) -> None:
        """Mints, ages everything and drops tokens that have expired."""
        if not state.ticks:
            return
        levels = tuple(min(DEPTH, level + 1) for level in state.levels)
        aged = (
            Item(i.stage, min(i.age + 1, self._lifetime(i.stage)))
            for i in state.items
        )
        items = tuple(sorted(i for i in aged if not self._has_expired(i)))
        spent = (0, *state.spent[:-1])
        out.append(
            (
                "tick",
                state._replace(
                    levels=levels,
                    items=items,
                    spent=spent,
                    ticks=state.ticks - 1,
                ),
            )
        )

    def _has_expired(self, item: Item) -> bool:
        if item.stage == SHARE and self.mutation == "shares do not expire":
            return False
        is_token = item.stage in (SHARE, LOAN)
        return is_token and item.age >= self._lifetime(item.stage)

    def _ask(self, state: State, out: list) -> None:
        open_asks = sum(i.stage in (ASKED, GRANTED) for i in state.items)
        if open_asks < self.asks:
            items = _with(state.items, Item(ASKED))
            out.append(("ask", state._replace(items=items)))
        if not any(i.stage in (BORROWED, LENT) for i in state.items):
            items = _with(state.items, Item(BORROWED))
            out.append(("borrow", state._replace(items=items)))

    def _answer(self, state: State, item: Item, out: list) -> None:
        """A member grants from its bucket or a loan, or lends."""
        rest = _without(state.items, item)
        if item.stage == ASKED:
            granted = Item(GRANTED, item.age)
            for m, level in enumerate(state.levels):
                if level:
                    levels = replace_item(state.levels, m, level - 1)
                    items = _with(rest, granted)
                    out.append(
                        (
                            f"grant {m} {item.age}",
                            state._replace(levels=levels, items=items),
                        )
                    )
            for loan in sorted({i for i in rest if i.stage == LOAN}):
                items = _with(_without(rest, loan), granted)
                label = f"grant_loan {item.age} {loan.age}"
                out.append((label, state._replace(items=items)))
        if item.stage == BORROWED and state.levels[1]:
            levels = replace_item(state.levels, 1, state.levels[1] - 1)
            if self.mutation == "lender keeps the token":
                levels = state.levels
            items = _with(rest, Item(LENT, item.age))
            out.append(
                (
                    f"lend {item.age}",
                    state._replace(levels=levels, items=items),
                )
            )

    def _receive(self, state: State, item: Item, out: list) -> None:
        """Takes an answer or spends a token."""
        rest = _without(state.items, item)
        if item.stage == SHARE:
            spent = (state.spent[0] + 1, *state.spent[1:])
            after = state._replace(items=rest, spent=spent)
            out.append((f"spend {item.age}", after))
        elif item.stage in (GRANTED, LENT):
            self._receive_token(state, item, rest, out)

    def _receive_token(
        self, state: State, item: Item, rest: tuple[Item, ...], out: list
    ) -> None:
        age = item.age
        if self.mutation == "lifetime counted from receipt":
            age = 0
        if age >= self._lifetime(item.stage):
            return
        token = Item(SHARE if item.stage == GRANTED else LOAN, age)
        label = f"receive {item.stage} {item.age}"
        out.append((label, state._replace(items=_with(rest, token))))
        if state.repeats and self.mutation == "repeated answer is counted":
            items = _with(state.items, token)
            repeated = state._replace(items=items, repeats=state.repeats - 1)
            out.append((f"repeat {item.stage} {item.age}", repeated))

    def _lose(self, state: State, item: Item, out: list) -> None:
        if item.stage in (ASKED, GRANTED, BORROWED, LENT):
            items = _without(state.items, item)
            label = f"lose {item.stage} {item.age}"
            out.append((label, state._replace(items=items)))

    def _restart(self, state: State, out: list) -> None:
        if not state.restarts:
            return
        restarts = state.restarts - 1
        left = tuple(i for i in state.items if i.stage >= BORROWED)
        out.append(
            ("restart_proxy", state._replace(items=left, restarts=restarts))
        )
        level = DEPTH if self.mutation == "restart fills the bucket" else 0
        for m in range(MEMBERS):
            levels = replace_item(state.levels, m, level)
            items = state.items
            if m == 0:
                items = tuple(i for i in items if i.stage < BORROWED)
            out.append(
                (
                    f"restart_member {m}",
                    state._replace(
                        levels=levels, items=items, restarts=restarts
                    ),
                )
            )


def build(
    lifetimes: tuple[int, int],
    window: int,
    asks: int,
    steps: tuple[int, int],
    mutation: str,
) -> Protocol:
    """Creates the protocol of the tokens for the model checker.

    Args:
        lifetimes: Ticks for which tokens live at the proxy and as loans.
        window: Ticks in a window.
        asks: Maximum number of unanswered questions of the proxy.
        steps: Numbers of ticks and of restarts.
        mutation: Name of the seeded fault; "" is none.
    """
    spec = QuotaSpec(*lifetimes, window, asks, *steps, mutation)
    bound = spec.bound()
    return Protocol(
        "quota",
        False,
        State._fields,
        spec.initial(),
        spec.transitions,
        {"window is bounded": lambda state: sum(state["spent"]) <= bound},
    )


# Ticks after which a member that hears no leader stops, by which what it hears
# is late, and which a new voter waits.
LEADER_TICKS, STALE_TICKS, WAIT_TICKS = 2, 1, 4


class Replacement(NamedTuple):
    """State of a voter that is replaced and of the new one.

    `heard` is the number of ticks since the old voter heard from a leader,
    `waited` that since the new one learnt of its vote; None before it did.
    """

    is_replaced: bool
    heard: int
    waited: int | None


class ReplacementSpec:
    """Transitions of the replacement of one voter.

    Args:
        mutation: Name of the seeded fault; "" is none.
    """

    def __init__(self, mutation: str):
        self.mutation = mutation

    def transitions(self, state: Replacement) -> list:
        """Returns the successors as (label, state)."""
        # More ticks than these make no difference.
        most = LEADER_TICKS + STALE_TICKS + 1
        waited = state.waited
        if waited is not None:
            waited = min(waited + 1, WAIT_TICKS)
        heard = min(state.heard + 1, most)
        out = [("tick", state._replace(heard=heard, waited=waited))]
        if not state.is_replaced:
            for late in range(STALE_TICKS + 1):
                label = f"hear {late}"
                out.append((label, state._replace(heard=-late)))
            out.append(("replace", state._replace(is_replaced=True)))
        if state.is_replaced and waited is None:
            out.append(("learn", state._replace(waited=0)))
        return out

    def one_mints(self, state: dict) -> bool:
        """Returns whether the old and the new voter do not mint at once."""
        old = state["heard"] < LEADER_TICKS
        if self.mutation == "replaced voter does not stop":
            old = True
        waited, wait = state["waited"], WAIT_TICKS
        if self.mutation == "new voter does not wait":
            wait = 0
        return not (old and waited is not None and waited >= wait)


def build_replacement(mutation: str) -> Protocol:
    """Creates the protocol of a replacement for the model checker."""
    spec = ReplacementSpec(mutation)
    return Protocol(
        "quota replacement",
        False,
        Replacement._fields,
        Replacement(False, 0, None),
        spec.transitions,
        {"one of two mints": spec.one_mints},
    )


_BOUNDED, _ONE_MINTS = ("window is bounded",), ("one of two mints",)

MODELS = (
    Model(
        "quota, windows",
        "2 members, tokens of 1 tick, windows of 2, 2 asks, 3 ticks, 1 restart",
        partial(build, (1, 1), 2, 2, (3, 1)),
        (
            Mutation("lender keeps the token", _BOUNDED),
            Mutation("repeated answer is counted", _BOUNDED),
            Mutation("restart fills the bucket", _BOUNDED),
            Mutation("shares do not expire", _BOUNDED),
        ),
    ),
    Model(
        "quota, lifetimes",
        "2 members, tokens of 2 and 1 ticks, windows of 1, 3 asks, 3 ticks",
        partial(build, (2, 1), 1, 3, (3, 0)),
        (Mutation("lifetime counted from receipt", _BOUNDED),),
    ),
    Model(
        "quota, replacement",
        "1 voter that is replaced, any delays",
        build_replacement,
        (
            Mutation("new voter does not wait", _ONE_MINTS),
            Mutation("replaced voter does not stop", _ONE_MINTS),
        ),
    ),
)
