"""Steps for soaks of real member processes."""

import pathlib
import tempfile

import anyio
from behave import then

from standins.member_soak import SoakConfig, run_soak


def check_soak(cfg):
    """Plays a soak; the logs of a failed one are kept."""
    verdict = anyio.run(run_soak, cfg)
    lines = [*verdict.findings, verdict.summary, f"logs in {cfg.logs}"]
    assert not verdict.findings, "\n".join(lines)


def log_folder():
    return pathlib.Path(tempfile.gettempdir()) / "member-soak"


@then("a soak of seed {seed:d} for {seconds:f} s breaks no rule")
def play_soak(context, seed, seconds):
    check_soak(SoakConfig(seed=seed, seconds=seconds, logs=log_folder()))


@then(
    "a soak of seed {seed:d} for {seconds:f} s breaks no rule, though the first"
    " seed is killed at the start"
)
def play_disturbed_soak(context, seed, seconds):
    cfg = SoakConfig(
        seed=seed,
        seconds=seconds,
        disturbs_start=True,
        logs=log_folder(),
    )
    check_soak(cfg)
