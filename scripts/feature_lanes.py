"""Runs all features side by side, each by a behave process of its own."""

import os
import pathlib
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor, as_completed

import attrs
from behave_runs import ROOT, BehaveRun, run_behave

FEATURES = ROOT / "features"
# Tags on the first line of a feature file.
PROCESSES_TAG = "@processes"
ALONE_TAG = "@alone"
LONG_TAG = "@long"
# Features with processes of their own that run at once.
PROCESS_WORKERS = 3


@attrs.frozen
class Lanes:
    """Features by how many of them may run at once.

    Attributes:
        plain: Features in virtual time or without processes; as many run at
            once as half the cores.
        processes: Features that start processes; a few run at once.
        alone: Features that run alone, after all others.
    """

    plain: tuple[pathlib.Path, ...]
    processes: tuple[pathlib.Path, ...]
    alone: tuple[pathlib.Path, ...]


def find_lanes() -> Lanes:
    """Divides the features by their tags, the long ones first in each lane."""
    tags = {
        path: _read_tags(path) for path in sorted(FEATURES.glob("*.feature"))
    }
    ordered = sorted(tags, key=lambda path: LONG_TAG not in tags[path])
    alone = [p for p in ordered if ALONE_TAG in tags[p]]
    processes = [
        p for p in ordered if PROCESSES_TAG in tags[p] and p not in alone
    ]
    plain = [p for p in ordered if p not in alone and p not in processes]
    return Lanes(tuple(plain), tuple(processes), tuple(alone))


def _read_tags(path: pathlib.Path) -> set[str]:
    with open(path) as file:
        return {word for word in file.readline().split() if word[0] == "@"}


def run_lanes(
    lanes: Lanes, on_done: Callable[[BehaveRun], None]
) -> list[BehaveRun]:
    """Runs the features of all lanes.

    Args:
        lanes: The features.
        on_done: Called with each run as it ends.

    Returns:
        The runs, in the order of their features' names.
    """
    cores = os.cpu_count() or 1
    with (
        ThreadPoolExecutor(max(1, cores // 2)) as plain,
        ThreadPoolExecutor(PROCESS_WORKERS) as processes,
    ):
        futures = _submit(plain, lanes.plain)
        futures += _submit(processes, lanes.processes)
        runs = _collect(futures, on_done)
    with ThreadPoolExecutor(1) as alone:
        runs += _collect(_submit(alone, lanes.alone), on_done)
    return sorted(runs, key=lambda run: run.label)


def _submit(
    pool: ThreadPoolExecutor, features: Iterable[pathlib.Path]
) -> list[Future]:
    return [
        pool.submit(run_behave, path.name, [str(path.relative_to(ROOT))])
        for path in features
    ]


def _collect(
    futures: Iterable[Future], on_done: Callable[[BehaveRun], None]
) -> list[BehaveRun]:
    runs = []
    for future in as_completed(futures):
        run = future.result()
        on_done(run)
        runs.append(run)
    return runs
