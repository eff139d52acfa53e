"""Benchmark scenarios and the measures of a run."""

import math
from collections.abc import Callable, Sequence

import attrs
from hdrh.histogram import HdrHistogram

from bench import runners, variants, workloads, world
from knapweedarch import models

DURATION_S = 60.0

# Requests that arrive earlier, during the load ramp, are not measured.
MEASURED_FROM_S = 15.0
FAULT_AT_S = 30.0

# Simulated time after the last arrival, in which requests can still finish.
DRAIN_S = 15.0

# Recovery is checked in sliding windows of this length. A window counts as
# recovered if its p95 is at most `RECOVERED_RATIO` times that before the fault.
RECOVERY_WINDOW_S = 3.0
RECOVERED_RATIO = 1.5

NORMAL_LAG = world.Lag()
HIGH_LAG = world.Lag(base_s=1.0, jitter_s=0.5, loss=0.05)

# Speed of the slow runner relative to the others.
SLOW_SPEED = 0.25

# Upper bound of the histograms in microseconds: 2 minutes.
HISTOGRAM_MAX_US = 120_000_000


@attrs.frozen
class Scenario:
    """A load and a fault that a case applies.

    Attributes:
        name: Name in reports.
        load: Load relative to the deployment's steady load, or to its
            capacity if `of_capacity` is set.
        of_capacity: Whether `load` is relative to the capacity.
        shift: Whether the hot prefixes change at `FAULT_AT_S`.
        lag: Delay and loss of events and reports.
        fault: Function called at `FAULT_AT_S` to apply the fault.
    """

    name: str
    load: float = 1.0
    of_capacity: bool = False
    shift: bool = False
    lag: world.Lag = NORMAL_LAG
    fault: Callable[[world.Simulation], None] | None = None


def _crash_half_of_runners(sim: world.Simulation) -> None:
    for i, name in enumerate(sorted(sim.runners)[: world.RUNNERS // 2 + 1]):
        # After 4 s, three runners at a time load their weights for 0.5 s.
        sim.crash_runner(name, 4.0 + 0.5 * (i // 3 + 1))


def _crash_data_centre(sim: world.Simulation) -> None:
    for name, runner in sorted(sim.runners.items()):
        if runner.endpoint.data_centre == "dc0":
            sim.crash_runner(name, 15.0)
    # The only router of a reference keeps running.
    for router in sim.routers:
        if router.data_centre == "dc0" and len(sim.routers) > 1:
            sim.stop_router(router.number, 15.0)


def _restart_all_routers(sim: world.Simulation) -> None:
    for router in sim.routers:
        sim.stop_router(router.number, 0.5)


def _slow_down_runner(sim: world.Simulation) -> None:
    sim.runners["r0"].speed = SLOW_SPEED


SCENARIOS = (
    Scenario("steady"),
    Scenario("overload 1.3", load=1.3, of_capacity=True),
    Scenario("hot prefix shift", shift=True),
    Scenario("half of runners dead", fault=_crash_half_of_runners),
    Scenario("events lost and late", lag=HIGH_LAG),
    Scenario("data centre gone", fault=_crash_data_centre),
    Scenario("all routers restart", fault=_restart_all_routers),
    Scenario("one slow runner", fault=_slow_down_runner),
)


@attrs.frozen
class Case:
    """A variant in a scenario of a deployment.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        variant: Name of the variant.
        seed: Seed of the first trace.
        traces: Number of traces, with consecutive seeds.
    """

    deployment: str
    scenario: str
    variant: str
    seed: int
    traces: int = 1


@attrs.frozen
class CaseResult:
    """The measures of one case.

    Attributes:
        case: The case.
        requests: Number of requests measured.
        hit_rate: Share of the prompt blocks found in the cache, of requests
            that received a first token.
        quantiles: p50, p95, p99 and p99.9 of the time to the first token in
            seconds by class; a refused request counts as its deadline.
        wasted_tokens: Prompt tokens computed in addition to `needed_tokens`.
        needed_tokens: Prompt tokens to compute if each block is computed once.
            Both include the load ramp.
        refusals: Number of requests refused or late, by reason.
        answered: Share of the requests answered, by class.
        retries: Number of retries by routers.
        resubmits: Number of resubmissions by callers after a router stopped.
        recovery_s: Seconds from the fault until the guests' p95 stays within
            `RECOVERED_RATIO` times that before the fault; None without a
            fault, infinite if it never does.
    """

    case: Case
    requests: int
    hit_rate: float
    quantiles: dict[str, tuple[float, ...]]
    wasted_tokens: int
    needed_tokens: int
    refusals: dict[str, int]
    answered: dict[str, float]
    retries: int
    resubmits: int
    recovery_s: float | None


def load_measure(
    deployment: workloads.Deployment,
) -> Callable[[Sequence[workloads.Request]], float]:
    """Returns a function that measures the load of a trace.

    The load is a fraction of the capacity with ideal caches.
    """

    def measure(requests: Sequence[workloads.Request]) -> float:
        return workloads.utilisation(
            requests,
            DURATION_S,
            world.RUNNERS,
            deployment.slots,
            runners.PREFILL_TOKENS_S,
            runners.DECODE_STEP_S,
            1 + runners.BATCH_SLOWDOWN,
        )

    return measure


def run_case(
    case: Case, variant: variants.Variant, scenario: Scenario
) -> CaseResult:
    """Runs the traces of one case; equal cases give equal results."""
    deployment = workloads.DEPLOYMENTS[case.deployment]
    base = deployment.capacity if scenario.of_capacity else deployment.steady
    simulations = []
    for n in range(case.traces):
        requests = workloads.make_requests(
            deployment,
            case.seed + n,
            base * scenario.load,
            DURATION_S,
            FAULT_AT_S if scenario.shift else None,
            load_measure(deployment),
        )
        simulations.append(
            _run(deployment, case.seed + n, requests, variant, scenario)
        )
    has_fault = scenario.shift or scenario.fault is not None
    return _case_result(case, simulations, has_fault)


def _run(
    deployment: workloads.Deployment,
    seed: int,
    requests: Sequence[workloads.Request],
    variant: variants.Variant,
    scenario: Scenario,
) -> world.Simulation:
    lag = world.NO_LAG if variant.no_lag else scenario.lag
    if variant.no_events:
        lag = attrs.evolve(lag, loss=1.0)
    sim = world.Simulation(
        deployment,
        requests,
        variants.scheduler_factory(variant),
        lag,
        seed,
        variant.routers,
        variant.owner_lookup,
    )
    if scenario.fault is not None:
        sim.call_at(FAULT_AT_S, scenario.fault, sim)
    sim.run(DURATION_S + DRAIN_S)
    return sim


def ttft_s(record: world.RequestRecord) -> float:
    """Returns the time to the first token in seconds.

    A request that was refused or late counts as its deadline.
    """
    if record.first_at is None or record.refused:
        return record.request.deadline_s
    return record.first_at - record.request.at


def _case_result(
    case: Case, simulations: Sequence[world.Simulation], has_fault: bool
) -> CaseResult:
    records = [
        record
        for sim in simulations
        for record in sim.records
        if record.request.at >= MEASURED_FROM_S
    ]
    answered = [r for r in records if r.cached is not None]
    computed = sum(
        r.computed_tokens for sim in simulations for r in sim.runners.values()
    )
    needed = sum(
        workloads.first_need_tokens([r.request for r in sim.records])
        for sim in simulations
    )
    refusals: dict[str, int] = {}
    for record in records:
        if record.refused:
            refusals[record.refused] = refusals.get(record.refused, 0) + 1
    blocks = sum(len(r.request.blocks) for r in answered)
    by_class = {
        priority.name.lower(): [
            r for r in records if r.request.priority is priority
        ]
        for priority in models.Priority
    }
    return CaseResult(
        case=case,
        requests=len(records),
        hit_rate=sum(r.cached for r in answered) / max(1, blocks),
        quantiles={k: _quantiles(v) for k, v in by_class.items() if v},
        wasted_tokens=computed - needed,
        needed_tokens=needed,
        refusals=dict(sorted(refusals.items())),
        answered={
            k: sum(r.first_at is not None and not r.refused for r in v) / len(v)
            for k, v in by_class.items()
            if v
        },
        retries=sum(r.retries for r in records),
        resubmits=sum(r.resubmits for r in records),
        recovery_s=_recovery_s(by_class["guest"]) if has_fault else None,
    )


def _quantiles(records: Sequence[world.RequestRecord]) -> tuple[float, ...]:
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for record in records:
        histogram.record_value(max(1, int(ttft_s(record) * 1e6)))
    return tuple(
        histogram.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99, 99.9)
    )


def _recovery_s(records: Sequence[world.RequestRecord]) -> float:
    """Returns the seconds from the fault to the end of the last slow window.

    The result is 0 without a slow window, and infinite if one of the last two
    windows is slow.
    """
    before = [
        ttft_s(r)
        for r in records
        if r.request.at < FAULT_AT_S - RECOVERY_WINDOW_S
    ]
    bound = RECOVERED_RATIO * _p95(before)
    start, recovered = FAULT_AT_S, 0.0
    while start + RECOVERY_WINDOW_S <= DURATION_S:
        window = [
            ttft_s(r)
            for r in records
            if start <= r.request.at < start + RECOVERY_WINDOW_S
        ]
        if window and _p95(window) > bound:
            recovered = start + RECOVERY_WINDOW_S - FAULT_AT_S
        start += 1.0
    if recovered >= DURATION_S - FAULT_AT_S - 1.0:
        return math.inf
    return recovered


def _p95(values: Sequence[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.95 * (len(ordered) - 1))] if ordered else 0.0
