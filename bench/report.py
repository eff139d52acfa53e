"""Tables and plots of the benchmark results."""

import math
import pathlib
from collections.abc import Sequence

import matplotlib

from bench import scenarios, variants

matplotlib.use("Agg")
import matplotlib.pyplot as plt

# Targets; docs/BENCHMARKS.md explains them. Waste and 99th percentiles are
# bounded relative to the better reference; the overload target is relative to
# the steady scenario.
MIN_BINDERY_HIT_RATE = 0.95
MAX_BINDERY_WASTE_RATIO = 1.2
MAX_HUTS_GUEST_P99_RATIO = 1.2
MAX_OVERLOAD_GUEST_P99_RATIO = 1.5

# Index of the 99th percentile in `CaseResult.quantiles`.
P99_INDEX = 2
PRODUCTION = variants.PRODUCTION.name
REFERENCES = tuple(v.name for v in variants.REFERENCES)
BASELINES = tuple(v.name for v in variants.BASELINES)

# Results by deployment, scenario and variant.
ResultsByCase = dict[tuple[str, str, str], scenarios.CaseResult]


def _results_by_case(results: Sequence[scenarios.CaseResult]) -> ResultsByCase:
    return {
        (
            result.case.deployment,
            result.case.scenario,
            result.case.variant,
        ): result
        for result in results
    }


def _guest_p99(result: scenarios.CaseResult) -> float:
    return result.quantiles["guest"][P99_INDEX]


def markdown_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Formats a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def _target_status(ok: bool) -> str:
    return "met" if ok else "MISSED"


def target_table(results: Sequence[scenarios.CaseResult]) -> str:
    """Formats each target with the measured value and whether it is met."""
    by_case = _results_by_case(results)
    names = list(dict.fromkeys(result.case.scenario for result in results))
    rows = []
    for name in names:
        rows += _bindery_targets(by_case, name)
        rows += _huts_targets(by_case, name)
    rows += _overload_targets(by_case)
    header = ("deployment", "scenario", "target", "bound", "measured", "")
    return "### Targets\n\n" + markdown_table(header, rows)


def _bindery_targets(by_case: ResultsByCase, name: str) -> list[list[str]]:
    production = by_case["bindery", name, PRODUCTION]
    reference_waste = min(
        by_case["bindery", name, r].wasted_tokens for r in REFERENCES
    )
    best_baseline = max(by_case["bindery", name, b].hit_rate for b in BASELINES)
    ratio = production.wasted_tokens / max(1, reference_waste)
    hit = production.hit_rate
    return [
        [
            *("bindery", name, "hit rate", f">= {MIN_BINDERY_HIT_RATE:.3f}"),
            *(f"{hit:.4f}", _target_status(hit >= MIN_BINDERY_HIT_RATE)),
        ],
        [
            *("bindery", name, "waste / reference"),
            *(f"<= {MAX_BINDERY_WASTE_RATIO}", f"{ratio:.2f}"),
            _target_status(ratio <= MAX_BINDERY_WASTE_RATIO),
        ],
        [
            *("bindery", name, "hit rate, best baseline"),
            *(
                f"> {best_baseline:.4f}",
                f"{hit:.4f}",
                _target_status(hit > best_baseline),
            ),
        ],
    ]


def _huts_targets(by_case: ResultsByCase, name: str) -> list[list[str]]:
    production = _guest_p99(by_case["huts", name, PRODUCTION])
    reference = min(_guest_p99(by_case["huts", name, r]) for r in REFERENCES)
    best_baseline = min(_guest_p99(by_case["huts", name, b]) for b in BASELINES)
    ratio = production / reference
    return [
        [
            *("huts", name, "guest p99 / reference"),
            *(f"<= {MAX_HUTS_GUEST_P99_RATIO}", f"{ratio:.2f}"),
            _target_status(ratio <= MAX_HUTS_GUEST_P99_RATIO),
        ],
        [
            *("huts", name, "guest p99 s, best baseline"),
            *(
                f"< {best_baseline:.3f}",
                f"{production:.3f}",
                _target_status(production < best_baseline),
            ),
        ],
    ]


def _overload_targets(by_case: ResultsByCase) -> list[list[str]]:
    rows = []
    for deployment in ("huts", "bindery"):
        steady = by_case.get((deployment, "steady", PRODUCTION))
        loaded = by_case.get((deployment, "overload 1.3", PRODUCTION))
        if steady is None or loaded is None:
            continue
        ratio = _guest_p99(loaded) / _guest_p99(steady)
        least_answered = min(
            loaded.answered[name]
            for name in ("interactive", "batch")
            if name in loaded.answered
        )
        rows.append(
            [
                *(deployment, "overload 1.3", "guest p99 / steady"),
                *(f"<= {MAX_OVERLOAD_GUEST_P99_RATIO}", f"{ratio:.2f}"),
                _target_status(ratio <= MAX_OVERLOAD_GUEST_P99_RATIO),
            ]
        )
        rows.append(
            [
                *(deployment, "overload 1.3", "least answered class"),
                *(
                    "> 0",
                    f"{least_answered:.3f}",
                    _target_status(least_answered > 0),
                ),
            ]
        )
    return rows


def comparison_tables(results: Sequence[scenarios.CaseResult]) -> str:
    """Formats all measures of all compared variants."""
    parts = []
    for deployment in ("huts", "bindery"):
        rows = [
            _comparison_row(result)
            for result in results
            if result.case.deployment == deployment
        ]
        header = (
            *("scenario", "variant", "hit", "wasted Mtok", "needed Mtok"),
            *("availability", "guest", "interactive", "batch"),
            *("refused or late", "retries", "resubmits", "recovery s"),
        )
        parts.append(
            f"### {deployment.capitalize()}\n\nClass columns: p50/p95/p99/"
            "p99.9 of the time to the first token in seconds.\n\n"
            + markdown_table(header, rows)
        )
    return "\n".join(parts)


def _comparison_row(result: scenarios.CaseResult) -> list[str]:
    classes = [
        "/".join(f"{q:.2f}" for q in result.quantiles[name])
        if name in result.quantiles
        else "-"
        for name in ("availability", "guest", "interactive", "batch")
    ]
    refused = ", ".join(f"{k} {v}" for k, v in result.refusals.items())
    if result.recovery_s is None:
        recovery = "-"
    elif math.isinf(result.recovery_s):
        recovery = "never"
    else:
        recovery = f"{result.recovery_s:.0f}"
    return [
        *(result.case.scenario, result.case.variant, f"{result.hit_rate:.4f}"),
        *(
            f"{result.wasted_tokens / 1e6:.2f}",
            f"{result.needed_tokens / 1e6:.2f}",
        ),
        *classes,
        *(refused or "0", str(result.retries), str(result.resubmits), recovery),
    ]


def ablation_table(
    compared: Sequence[scenarios.CaseResult],
    ablated: Sequence[scenarios.CaseResult],
) -> str:
    """Formats alternatives and ablations below the production variant.

    Args:
        compared: Results of the production variant; others are ignored.
        ablated: Results of the alternatives and ablations.
    """
    production = {
        (result.case.deployment, result.case.scenario): result
        for result in compared
        if result.case.variant == PRODUCTION
    }
    keys = dict.fromkeys(
        (result.case.deployment, result.case.scenario) for result in ablated
    )
    rows = []
    for deployment, scenario in keys:
        group = [production[deployment, scenario]] + [
            result
            for result in ablated
            if (result.case.deployment, result.case.scenario)
            == (deployment, scenario)
        ]
        rows += [_ablation_row(result) for result in group]
    header = (
        *("deployment", "scenario", "variant", "hit", "wasted Mtok"),
        *("guest p99 s", "interactive p99 s", "batch p99 s"),
        *("refused or late", "retries"),
    )
    return "### Ways and ablations\n\n" + markdown_table(header, rows)


def _ablation_row(result: scenarios.CaseResult) -> list[str]:
    classes = [
        f"{result.quantiles[name][P99_INDEX]:.2f}"
        if name in result.quantiles
        else "-"
        for name in ("guest", "interactive", "batch")
    ]
    return [
        *(result.case.deployment, result.case.scenario, result.case.variant),
        *(f"{result.hit_rate:.4f}", f"{result.wasted_tokens / 1e6:.2f}"),
        *classes,
        *(str(sum(result.refusals.values())), str(result.retries)),
    ]


def plot(results: Sequence[scenarios.CaseResult], folder: pathlib.Path) -> None:
    """Writes a bar chart of each deployment's main measure to the folder."""
    by_case = _results_by_case(results)
    names = list(dict.fromkeys(result.case.scenario for result in results))
    variant_names = list(
        dict.fromkeys(result.case.variant for result in results)
    )
    measures = (
        ("huts", "guest p99 time to first token, s", _guest_p99),
        ("bindery", "prefix hit rate", lambda result: result.hit_rate),
    )
    for deployment, label, measure in measures:
        figure, axes = plt.subplots(figsize=(11, 4))
        width = 0.8 / len(variant_names)
        for i, variant in enumerate(variant_names):
            values = [measure(by_case[deployment, n, variant]) for n in names]
            positions = [x + i * width for x in range(len(names))]
            axes.bar(positions, values, width, label=variant)
        axes.set_xticks([x + 0.4 for x in range(len(names))], names)
        axes.tick_params(axis="x", labelsize=7)
        axes.set_ylabel(label)
        if deployment == "bindery":
            axes.set_ylim(0.5, 1.0)
        axes.legend(fontsize=7)
        figure.tight_layout()
        figure.savefig(folder / f"bench-{deployment}.png", dpi=80)
        plt.close(figure)


def write_section(page: pathlib.Path, name: str, text: str) -> None:
    """Replaces the section of a page between its two markers.

    A page without the markers gets the section at its end.
    """
    begin, end = f"<!-- begin {name} -->\n", f"<!-- end {name} -->\n"
    old = page.read_text() if page.exists() else ""
    if begin not in old:
        old += f"\n{begin}{end}"
    before, rest = old.split(begin, 1)
    after = rest.split(end, 1)[1]
    page.write_text(f"{before}{begin}\n{text}\n{end}{after}")
