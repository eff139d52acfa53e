"""Checks every specification and every seeded mutation.

Prints the states, CPU time and bounds of each run. The exit code is 0 only if
every invariant holds in the whole state space, every mutation is detected, and
the code agrees with the traces of the specifications.
"""

import sys
import time

from spec import lease_spec, log_spec, once_spec, quota_spec, replay
from spec.checking import Model, Mutation, explore, follow

MODELS = (
    *(*log_spec.MODELS, *once_spec.MODELS, *lease_spec.MODELS),
    *quota_spec.MODELS,
)


def _verdict(ok: bool) -> str:
    return "ok  " if ok else "FAIL"


def check_model(model: Model) -> bool:
    """Checks one specification without a mutation.

    Returns whether every invariant holds in the whole state space.
    """
    found = explore(model.build(""))
    ok = found.exhaustive and not found.refuted
    print(
        f"{_verdict(ok)} {model.name}: {found.states} states, "
        f"{found.cpu_s:.1f} s; {model.bounds}",
        flush=True,
    )
    for name, labels in found.refuted.items():
        print(f"     {name} is violated by: {', '.join(labels)}")
    return ok


def check_mutation(
    model: Model, mutation: Mutation, refuting_traces: dict[str, list]
) -> bool:
    """Checks one seeded mutation and records the trace that refutes it.

    Returns whether the mutation violates each invariant that it must violate.
    """
    found = explore(model.build(mutation.name), mutation.violates)
    ok = all(name in found.refuted for name in mutation.violates)
    if ok:
        labels = found.refuted[mutation.violates[0]]
        trace = follow(model.build(mutation.name), labels)
        refuting_traces.setdefault(mutation.name, trace)
    violations = ", ".join(
        f"{name} in {len(labels)} steps"
        for name, labels in found.refuted.items()
    )
    print(
        f"{_verdict(ok)} {model.name}, mutation '{mutation.name}': "
        f"{violations or 'not detected'}; {found.states} states, "
        f"{found.cpu_s:.1f} s",
        flush=True,
    )
    return ok


def main() -> int:
    """Runs all checks and returns the exit code."""
    start = time.process_time()
    refuting_traces: dict[str, list] = {}
    results = [check_model(model) for model in MODELS]
    results += [
        check_mutation(model, mutation, refuting_traces)
        for model in MODELS
        for mutation in model.mutations
    ]
    if all(results):
        results += replay.checks(refuting_traces)
    failed = results.count(False)
    cpu_s = time.process_time() - start
    print(f"{len(results) - failed} passed, {failed} failed, {cpu_s:.1f} s CPU")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
