"""Checks one specification with minicheck, with or without a mutation."""

import gc
import random
import time
from collections.abc import Callable

import attrs
from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

# A search that reaches more states stops and is not exhaustive.
MAX_STATES = 1_500_000


@attrs.frozen
class Mutation:
    """A seeded fault of a specification.

    Attributes:
        name: What the faulty specification does differently.
        violates: Invariants that must be refuted.
    """

    name: str
    violates: tuple[str, ...]


@attrs.frozen
class Model:
    """A specification within stated bounds.

    Attributes:
        name: Name in the report.
        bounds: Description of the bounds.
        build: Creates the protocol for a mutation name; "" is no mutation.
        mutations: Faults that the model checker must detect.
    """

    name: str
    bounds: str
    build: Callable[[str], Protocol]
    mutations: tuple[Mutation, ...] = ()


@attrs.frozen
class SearchResult:
    """Result of one search.

    Attributes:
        states: Number of reachable states that were visited.
        exhaustive: Whether every reachable state was visited.
        refuted: Step labels of the shortest counterexample by invariant name.
        cpu_s: Processor time in seconds.
    """

    states: int
    exhaustive: bool
    refuted: dict[str, list[str]]
    cpu_s: float


class _SearchDone(SearchIncomplete):
    """Ends a search once every wanted violation has been found."""


def _stop_when_refuted(protocol: Protocol, wanted: frozenset[str]) -> None:
    """Changes the protocol so that its search ends early.

    It ends when each wanted invariant is violated or, if none are wanted, at
    the first violation.
    """
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

    If no invariants are wanted, the search stops at the first violation. The
    protocol is changed, so each search needs a new one.
    """
    start = time.process_time()
    _stop_when_refuted(protocol, frozenset(wanted))
    # All objects live until the search ends, so garbage collection frees
    # nothing and only costs time.
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

    It ends after `steps` steps or in a state without successors. Each kind of
    step is equally likely, so that kinds with few successors are taken as often
    as those with many.
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
    """Returns the trace with the given labels as (label, state).

    Raises:
        KeyError: No step with the next label is possible.
    """
    trace, state = [], protocol.initial
    for label in labels:
        state = dict(protocol.transitions(state))[label]
        trace.append((label, state))
    return trace


def replace_item(items: tuple, index: int, value: object) -> tuple:
    """Returns a tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])
