"""Tables and plots of the bench."""

import math
import pathlib
from collections.abc import Sequence

import matplotlib

from bench import scenarios, variants

matplotlib.use("Agg")
import matplotlib.pyplot as plt

# Targets, set before measuring; see docs/BENCHMARKS.md.
BINDERY_HIT_RATE = 0.95
BINDERY_WASTE_RATIO = 1.2
HUTS_GUEST_RATIO = 1.2
OVERLOAD_GUEST_RATIO = 1.5

P99 = 2
OURS = variants.OURS.name
REFERENCES = tuple(v.name for v in variants.REFERENCES)
BASELINES = tuple(v.name for v in variants.BASELINES)

Table = dict[tuple[str, str, str], scenarios.Figures]


def _table(figures: Sequence[scenarios.Figures]) -> Table:
    return {
        (f.case.deployment, f.case.scenario, f.case.variant): f for f in figures
    }


def _guest_p99(figures: scenarios.Figures) -> float:
    return figures.quantiles["guest"][P99]


def rows_of(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def _verdict(ok: bool) -> str:
    return "met" if ok else "MISSED"


def targets(figures: Sequence[scenarios.Figures]) -> str:
    """Each target beside its result."""
    table = _table(figures)
    names = list(dict.fromkeys(f.case.scenario for f in figures))
    rows = []
    for name in names:
        rows += _bindery_targets(table, name)
        rows += _huts_targets(table, name)
    rows += _overload_targets(table)
    head = ("deployment", "scenario", "target", "bound", "measured", "")
    return "### Targets\n\n" + rows_of(head, rows)


def _bindery_targets(table: Table, name: str) -> list[list[str]]:
    ours = table["bindery", name, OURS]
    waste = min(table["bindery", name, r].wasted_tokens for r in REFERENCES)
    best = max(table["bindery", name, b].hit_rate for b in BASELINES)
    ratio = ours.wasted_tokens / max(1, waste)
    hit = ours.hit_rate
    return [
        [
            *("bindery", name, "hit rate", f">= {BINDERY_HIT_RATE:.3f}"),
            *(f"{hit:.4f}", _verdict(hit >= BINDERY_HIT_RATE)),
        ],
        [
            *("bindery", name, "waste / reference"),
            *(f"<= {BINDERY_WASTE_RATIO}", f"{ratio:.2f}"),
            _verdict(ratio <= BINDERY_WASTE_RATIO),
        ],
        [
            *("bindery", name, "hit rate, best baseline"),
            *(f"> {best:.4f}", f"{hit:.4f}", _verdict(hit > best)),
        ],
    ]


def _huts_targets(table: Table, name: str) -> list[list[str]]:
    ours = _guest_p99(table["huts", name, OURS])
    reference = min(_guest_p99(table["huts", name, r]) for r in REFERENCES)
    best = min(_guest_p99(table["huts", name, b]) for b in BASELINES)
    ratio = ours / reference
    return [
        [
            *("huts", name, "guest p99 / reference"),
            *(f"<= {HUTS_GUEST_RATIO}", f"{ratio:.2f}"),
            _verdict(ratio <= HUTS_GUEST_RATIO),
        ],
        [
            *("huts", name, "guest p99 s, best baseline"),
            *(f"< {best:.3f}", f"{ours:.3f}", _verdict(ours < best)),
        ],
    ]


def _overload_targets(table: Table) -> list[list[str]]:
    rows = []
    for deployment in ("huts", "bindery"):
        steady = table.get((deployment, "steady", OURS))
        loaded = table.get((deployment, "overload 1.3", OURS))
        if steady is None or loaded is None:
            continue
        ratio = _guest_p99(loaded) / _guest_p99(steady)
        others = min(
            loaded.answered[name]
            for name in ("interactive", "batch")
            if name in loaded.answered
        )
        rows.append(
            [
                *(deployment, "overload 1.3", "guest p99 / steady"),
                *(f"<= {OVERLOAD_GUEST_RATIO}", f"{ratio:.2f}"),
                _verdict(ratio <= OVERLOAD_GUEST_RATIO),
            ]
        )
        rows.append(
            [
                *(deployment, "overload 1.3", "least answered class"),
                *("> 0", f"{others:.3f}", _verdict(others > 0)),
            ]
        )
    return rows


def comparison(figures: Sequence[scenarios.Figures]) -> str:
    """All measures of all variants."""
    parts = []
    for deployment in ("huts", "bindery"):
        rows = [
            _comparison_row(f)
            for f in figures
            if f.case.deployment == deployment
        ]
        head = (
            *("scenario", "variant", "hit", "wasted Mtok", "needed Mtok"),
            *("availability", "guest", "interactive", "batch"),
            *("refused or late", "retries", "resubmits", "recovery s"),
        )
        parts.append(
            f"### {deployment.capitalize()}\n\nClass columns: p50/p95/p99/"
            "p99.9 of the time to the first token in seconds.\n\n"
            + rows_of(head, rows)
        )
    return "\n".join(parts)


def _comparison_row(f: scenarios.Figures) -> list[str]:
    classes = [
        "/".join(f"{q:.2f}" for q in f.quantiles[name])
        if name in f.quantiles
        else "-"
        for name in ("availability", "guest", "interactive", "batch")
    ]
    refused = ", ".join(f"{k} {v}" for k, v in f.refusals.items())
    if f.recovery_s is None:
        recovery = "-"
    elif math.isinf(f.recovery_s):
        recovery = "never"
    else:
        recovery = f"{f.recovery_s:.0f}"
    return [
        *(f.case.scenario, f.case.variant, f"{f.hit_rate:.4f}"),
        *(f"{f.wasted_tokens / 1e6:.2f}", f"{f.needed_tokens / 1e6:.2f}"),
        *classes,
        *(refused or "0", str(f.retries), str(f.resubmits), recovery),
    ]


def ablations(
    compared: Sequence[scenarios.Figures],
    ablated: Sequence[scenarios.Figures],
) -> str:
    """Each mechanism off, beside the whole."""
    ours = {
        (f.case.deployment, f.case.scenario): f
        for f in compared
        if f.case.variant == OURS
    }
    keys = dict.fromkeys((f.case.deployment, f.case.scenario) for f in ablated)
    rows = []
    for deployment, scenario in keys:
        group = [ours[deployment, scenario]] + [
            f
            for f in ablated
            if (f.case.deployment, f.case.scenario) == (deployment, scenario)
        ]
        rows += [_ablation_row(f) for f in group]
    head = (
        *("deployment", "scenario", "variant", "hit", "wasted Mtok"),
        *("guest p99 s", "interactive p99 s", "batch p99 s"),
        *("refused or late", "retries"),
    )
    return "### Ways and ablations\n\n" + rows_of(head, rows)


def _ablation_row(f: scenarios.Figures) -> list[str]:
    classes = [
        f"{f.quantiles[name][P99]:.2f}" if name in f.quantiles else "-"
        for name in ("guest", "interactive", "batch")
    ]
    return [
        *(f.case.deployment, f.case.scenario, f.case.variant),
        *(f"{f.hit_rate:.4f}", f"{f.wasted_tokens / 1e6:.2f}"),
        *classes,
        *(str(sum(f.refusals.values())), str(f.retries)),
    ]


def plot(figures: Sequence[scenarios.Figures], folder: pathlib.Path) -> None:
    """Draws the first measure of each deployment."""
    table = _table(figures)
    names = list(dict.fromkeys(f.case.scenario for f in figures))
    shown = list(dict.fromkeys(f.case.variant for f in figures))
    measures = (
        ("huts", "guest p99 time to first token, s", _guest_p99),
        ("bindery", "prefix hit rate", lambda f: f.hit_rate),
    )
    for deployment, label, measure in measures:
        figure, axes = plt.subplots(figsize=(11, 4))
        width = 0.8 / len(shown)
        for i, variant in enumerate(shown):
            values = [measure(table[deployment, n, variant]) for n in names]
            spots = [x + i * width for x in range(len(names))]
            axes.bar(spots, values, width, label=variant)
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
    """Replaces the part of a page between two markers."""
    begin, end = f"<!-- begin {name} -->\n", f"<!-- end {name} -->\n"
    old = page.read_text() if page.exists() else ""
    if begin not in old:
        old += f"\n{begin}{end}"
    head, rest = old.split(begin, 1)
    tail = rest.split(end, 1)[1]
    page.write_text(f"{head}{begin}\n{text}\n{end}{tail}")
