"""Steps for soaks of real member processes."""

import pathlib
import tempfile

import anyio
from behave import then

from standins.member_site import FAULTS_BORNE, MemberSite
from standins.member_soak import MEMBERS, SoakConfig, run_soak
from standins.platform_site import configuration
from standins.soak_losses import SYNC_S

SITE_TIMEOUT_S = 60.0
DOWN_S = 0.3


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


@then(
    "a change is confirmed within {limit:f} s after a planned replacement and"
    " the loss of two"
)
def check_planned_replacement(context, limit):
    confirmed = anyio.run(replace_by_plan_and_lose_two, limit)
    assert confirmed, f"no change is confirmed within {limit} s"


async def replace_by_plan_and_lose_two(limit_s):
    """Returns whether a change is confirmed afterwards."""
    with anyio.fail_after(SITE_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            site = MemberSite(group, ())
            try:
                site.start_first(MEMBERS, 0)
                await put_configuration(site, 1)
                await replace_by_plan(site)
                lose_disks(site, site.member_names()[:FAULTS_BORNE])
                await anyio.sleep(DOWN_S)
                for name in site.member_names()[:FAULTS_BORNE]:
                    site.start_again(name, site.control_addresses()[-3:])
                with anyio.move_on_after(limit_s) as scope:
                    await put_configuration(site, 2)
            finally:
                site.close()
                group.cancel_scope.cancel()
    return not scope.cancelled_caught


async def put_configuration(site, version):
    document = configuration(version)
    assert await site.call_control("PUT", "/api/config", document) == 200


async def replace_by_plan(site):
    """Replaces the last member; its successor has time to synchronise."""
    old = site.member_names()[-1]
    seeds = site.control_addresses()[:3]
    site.add_member(site.places[old].number, seeds, 0)
    await anyio.sleep(SYNC_S)
    assert await site.stop(old) == 0
    site.remove_member(old)


def lose_disks(site, names):
    site.kill_all(names)
    for name in names:
        site.remove_disk(name)
