"""Runs one specification through minicheck, with and without a mutation."""

import gc
import random
import time
from collections.abc import Callable

import attrs
from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

MAX_STATES = 1_500_000


@attrs.frozen
class Mutation:
    """A seeded fault of a specification.

    Attributes:
        name: What the faulty specification does differently.
        breaks: Invariants that must be refuted.
    """

    name: str
    violates: tuple[str, ...]


@attrs.frozen
class Model:
    """A specification within stated bounds.

    Attributes:
        name: Name in the report.
        bounds: The bounds as text.
        build: Creates the protocol; the argument is a mutation name or "".
        mutations: Faults that the checker must find.
    """

    name: str
    bounds: str
    build: Callable[[str], Protocol]
    mutations: tuple[Mutation, ...] = ()


@attrs.frozen
class SearchResult:
    """Result of one run.

    Attributes:
        states: Reachable states that were visited.
        exhaustive: Whether every reachable state was visited.
        refuted: Shortest trace by invariant name, each a list of labels.
        cpu_s: Processor time in seconds.
    """

    states: int
    exhaustive: bool
    refuted: dict[str, list[str]]
    cpu_s: float


class _SearchDone(SearchIncomplete):
    """Every violation that the caller waits for was found."""


def _stop_when_refuted(protocol: Protocol, wanted: frozenset[str]) -> None:
    """Ends the search at the last violation that matters."""
    outstanding = set(wanted or protocol.invariants)
    original_transitions = protocol.transitions

    def watched(name: str, predicate: Callable) -> Callable:
        def check(state: dict) -> bool:
            holds = predicate(state)
            if not holds:
                outstanding.discard(name)
                if not wanted:
                    outstanding.clear()
            return holds

        return check

    def transitions(state: tuple) -> list:
        if not outstanding:
            raise _SearchDone
        return original_transitions(state)

    protocol.transitions = transitions
    protocol.invariants = {
        name: watched(name, predicate)
        for name, predicate in protocol.invariants.items()
    }


def explore(protocol: Protocol, wanted: tuple[str, ...] = ()) -> SearchResult:
    """Visits the reachable states until each wanted invariant is refuted.

    Without wanted invariants it stops at the first violation of any.
    """
    start = time.process_time()
    _stop_when_refuted(protocol, frozenset(wanted))
    # Every object made here is kept until the end; collections only cost time.
    gc.disable()
    result = check_safety(protocol, MAX_STATES)
    gc.enable()
    refuted = {
        name: [step["label"] for step in found["counterexample"][1:]]
        for name, found in result["properties"].items()
        if found["holds"] is False
    }
    return SearchResult(
        result["reachable_states"],
        result["exhaustive"],
        refuted,
        time.process_time() - start,
    )


def walk(protocol: Protocol, rng: random.Random, steps: int) -> list:
    """Returns a random trace as (label, state), without the initial state.

    Each kind of step is equally likely, so that rare ones are not drowned.
    """
    trace, state = [], protocol.initial
    for _ in range(steps):
        successors = protocol.transitions(state)
        if not successors:
            break
        kinds = sorted({label.split()[0] for label, _ in successors})
        kind = rng.choice(kinds)
        label, state = rng.choice(
            [step for step in successors if step[0].split()[0] == kind]
        )
        trace.append((label, state))
    return trace


def follow(protocol: Protocol, labels: list[str]) -> list:
    """Returns the trace with the given labels as (label, state)."""
    trace, state = [], protocol.initial
    for label in labels:
        state = dict(protocol.transitions(state))[label]
        trace.append((label, state))
    return trace


def replace_item(items: tuple, index: int, value: object) -> tuple:
    """Returns a tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])
