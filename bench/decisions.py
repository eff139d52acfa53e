"""Compares the scheduler with baselines and references.

`python -m bench.decisions` runs all cases, prints the tables, and updates the
plots and tables of docs/BENCHMARKS.md. `--quick` only runs the production
variant in the steady scenario, twice, and checks that two runs with the same
seed give equal results.
"""

import argparse
import concurrent.futures
import pathlib
import sys
from collections.abc import Sequence

from bench import report, scenarios, variants, workloads

PROCESSES = 3
SEED = 1

# Traces per case, with consecutive seeds. One trace has too few requests for
# its 99th percentile to agree with that of another trace.
TRACES = 2
BENCHMARKS_PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / "docs/BENCHMARKS.md"
)

# Scenarios of each ablation: those that the disabled mechanism affects. The
# alternatives, and ablations without an entry, use `PLACEMENT_SCENARIOS`.
PLACEMENT_SCENARIOS = ("steady", "hot prefix shift")
ABLATION_SCENARIOS = {
    "no class limits": ("steady", "overload 1.3"),
    "no ageing": ("overload 1.3",),
    "no ejection": ("half of runners dead", "one slow runner"),
    "no retry budget": ("half of runners dead",),
    "no slow start": ("half of runners dead",),
}


def _variants_by_name() -> dict[str, variants.Variant]:
    every = (*variants.COMPARED, *variants.ALTERNATIVES, *variants.ABLATIONS)
    return variants.by_name(every)


def run_named_case(case: scenarios.Case) -> scenarios.CaseResult:
    """Runs a case after looking up its scenario and its variant by name.

    A case that is sent to a worker process holds names, since the functions in
    a variant cannot be pickled.
    """
    scenario = {s.name: s for s in scenarios.SCENARIOS}[case.scenario]
    return scenarios.run_case(case, _variants_by_name()[case.variant], scenario)


def compared_cases(seed: int, traces: int) -> list[scenarios.Case]:
    """Returns the cases of every compared variant in every scenario."""
    return [
        scenarios.Case(deployment, scenario.name, variant.name, seed, traces)
        for deployment in workloads.DEPLOYMENTS
        for scenario in scenarios.SCENARIOS
        for variant in variants.COMPARED
    ]


def ablation_cases(seed: int, traces: int) -> list[scenarios.Case]:
    """Returns the cases of each alternative and ablation."""
    return [
        scenarios.Case(deployment, scenario, variant.name, seed, traces)
        for deployment in workloads.DEPLOYMENTS
        for variant in (*variants.ALTERNATIVES, *variants.ABLATIONS)
        for scenario in ABLATION_SCENARIOS.get(
            variant.name, PLACEMENT_SCENARIOS
        )
    ]


def run_cases(cases: Sequence[scenarios.Case]) -> list[scenarios.CaseResult]:
    """Runs cases in parallel; results keep the order of the cases."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(run_named_case, cases))


def run_ablations(seed: int, traces: int) -> int:
    """Compares alternatives and ablations with the production variant.

    Prints the table and updates the page; returns the exit code.
    """
    cases = ablation_cases(seed, traces)
    pairs = dict.fromkeys((c.deployment, c.scenario) for c in cases)
    production = [
        scenarios.Case(*pair, variants.PRODUCTION.name, seed, traces)
        for pair in pairs
    ]
    results = run_cases([*production, *cases])
    text = report.ablation_table(
        results[: len(production)], results[len(production) :]
    )
    print(text)
    report.write_section(BENCHMARKS_PAGE, "ablations", text)
    return 0


def quick(seed: int) -> int:
    """Runs one case of each deployment twice and compares the results.

    Returns:
        The exit code: 1 if the results differ.
    """
    cases = [
        scenarios.Case(name, "steady", variants.PRODUCTION.name, seed)
        for name in workloads.DEPLOYMENTS
    ]
    first, second = run_cases(cases), run_cases(cases)
    print(report.comparison_tables(first))
    same = first == second
    print(
        "two runs with the same seed give equal results"
        if same
        else "two runs with the same seed give different results"
    )
    return 0 if same else 1


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--no-ablations", action="store_true")
    parser.add_argument("--only-ablations", action="store_true")
    parser.add_argument("--traces", type=int, default=TRACES)
    options = parser.parse_args()
    if options.quick:
        return quick(options.seed)
    if options.only_ablations:
        return run_ablations(options.seed, options.traces)
    compared = run_cases(compared_cases(options.seed, options.traces))
    text = (
        report.target_table(compared)
        + "\n"
        + report.comparison_tables(compared)
    )
    print(text, flush=True)
    report.plot(compared, BENCHMARKS_PAGE.parent)
    report.write_section(BENCHMARKS_PAGE, "decisions", text)
    if options.no_ablations:
        return 0
    return run_ablations(options.seed, options.traces)


if __name__ == "__main__":
    sys.exit(main())
