"""Soaks a group of real member processes in seeded losses and replacements.

    python -m standins.member_soak --seed 7 --seconds 40

Starts five members, two proxies and two services. While a schedule that the
seed gives kills, freezes, replaces and reconfigures members within the budget
of the platform's deploy file, an operator changes the configuration, readers
read it back and callers book. At the end all members are killed, two lose
their disks, and the newest confirmed configuration must come back. Each seed
gets one line; the exit code is 1 if a rule was broken.
"""

import argparse
import pathlib
import random
import sys
import tempfile

import anyio
import attrs

from standins.member_site import FAULTS_BORNE, SEED_COUNT, MemberSite
from standins.platform_runner import count_runs
from standins.soak_events import EventPlayer
from standins.soak_findings import Findings
from standins.soak_logs import count_events
from standins.soak_losses import Losses
from standins.soak_observers import RECOVER_S, Observers
from standins.soak_plan import first_calm_s, plan_events

MEMBERS = 5
PROXIES = 2
SERVICES = 2
START_TIMEOUT_S = 30.0
DISTURBED_START_S = 0.5
DISTURBED_DOWN_S = 0.3
READ_BACK_INTERVAL_S = 0.05
# The last change has this long to be confirmed before all members are lost.
LAST_CHANGE_S = 20.0
# A lost member costs at most its addition, the removal of its predecessor and
# its promotion; a new leader may propose an unfinished change again.
CHANGES_A_MEMBER = 3
CHANGES_A_LEADER = 1
# Members beside the seeds are added and promoted once the group is formed.
CHANGES_AT_START = 2 * (MEMBERS - SEED_COUNT)


@attrs.frozen
class SoakConfig:
    """What one soak plays.

    Attributes:
        seed: Seed of the schedule.
        seconds: How long events are started, in seconds after the start.
        builds: Folders of the code; the first one is started, and members
            change between them if there are several. Empty for this code.
        disturbs_start: Whether the first seed is killed as it starts.
        logs: Folder in which the logs of a failed seed are kept.
    """

    seed: int
    seconds: float
    builds: tuple[pathlib.Path, ...] = ()
    disturbs_start: bool = False
    logs: pathlib.Path = pathlib.Path(tempfile.gettempdir())


@attrs.define
class Verdict:
    """Result of one soak.

    Attributes:
        findings: Broken rules.
        summary: What was played and measured.
    """

    findings: list[str]
    summary: str


@attrs.define
class Soak:
    """One soak of one site.

    Attributes:
        site: The processes.
        findings: Broken rules so far.
    """

    _cfg: SoakConfig
    site: MemberSite
    _losses: Losses
    findings: Findings
    _observers: Observers
    _player: EventPlayer
    _read_back_s: float | None = None

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Plays the whole soak."""
        group.start_soon(self._observers.watch_exits)
        await self._start()
        for observer in (
            self._observers.read_configurations,
            self._observers.book,
            self._player.renew_seeds,
        ):
            group.start_soon(observer)
        await self._play_events()
        await self._lose_all()
        self._check_totals()

    async def _start(self) -> None:
        self.site.start_first(MEMBERS, PROXIES)
        if self._cfg.disturbs_start:
            await self._disturb_start()
        for _ in range(SERVICES):
            await self.site.add_runner("desk")
        with anyio.move_on_after(START_TIMEOUT_S) as scope:
            await self._observers.send_change()
            await self.site.wait_ready()
        if scope.cancelled_caught:
            raise TimeoutError(f"no start within {START_TIMEOUT_S} s")

    async def _disturb_start(self) -> None:
        """Kills the first seed before or after the group is formed."""
        name = self.site.member_names()[0]
        delay_s = random.Random(self._cfg.seed).uniform(0, DISTURBED_START_S)
        await anyio.sleep(delay_s)
        self.site.kill(name)
        await anyio.sleep(DISTURBED_DOWN_S)
        self.site.start_again(name)

    async def _play_events(self) -> None:
        cfg = self._cfg
        ends_at = anyio.current_time() + cfg.seconds
        async with anyio.create_task_group() as group:
            group.start_soon(self._observers.change_configuration)
            await anyio.sleep(min(first_calm_s(cfg.seed), cfg.seconds / 2))
            with anyio.CancelScope(deadline=ends_at):
                for event in plan_events(cfg.seed, len(cfg.builds) > 1):
                    await self._player.play(event)
            await self._player.wait_idle()
            self._observers.stop_changes()
            group.cancel_scope.deadline = anyio.current_time() + LAST_CHANGE_S

    async def _lose_all(self) -> None:
        """Kills all members and deletes as many disks as may be lost."""
        self._kill_all()
        started_at = anyio.current_time()
        newest = self._observers.newest()
        with anyio.move_on_after(RECOVER_S) as scope:
            await self._read_back(newest)
            self._read_back_s = anyio.current_time() - started_at
            await self._observers.send_change()
            for name in self.site.member_names():
                await self._read_from(name, newest + 1)
        if self._read_back_s is None:
            self.findings.add(
                f"version {newest} is not read back in {RECOVER_S} s"
            )
        elif scope.cancelled_caught:
            self.findings.add(
                f"not every member has a new change {RECOVER_S} s after all"
                " were started again"
            )

    def _kill_all(self) -> None:
        site, now = self.site, anyio.current_time()
        names = site.member_names()
        whole = [
            n
            for n in names
            if not self._losses.is_lost(site.places[n].number, now)
        ]
        disks = max(FAULTS_BORNE - self._losses.count(now), 0)
        choice = random.Random(self._cfg.seed)
        site.kill_all(names)
        for name in choice.sample(whole, min(disks, len(whole))):
            site.remove_disk(name)
        for name in names:
            site.start_again(name, site.choose_seeds(choice, False, []))
            self._losses.end(site.places[name].number, anyio.current_time())
        self._losses.all_back_at = anyio.current_time()

    async def _read_back(self, version: int) -> None:
        while True:
            for name in self.site.member_names():
                if await self._has_version(name, version):
                    return
            await anyio.sleep(READ_BACK_INTERVAL_S)

    async def _read_from(self, name: str, version: int) -> None:
        while True:
            if await self._has_version(name, version):
                return
            await anyio.sleep(READ_BACK_INTERVAL_S)

    async def _has_version(self, name: str, version: int) -> bool:
        document = await self._observers.read_from(name)
        return document is not None and document["version"] >= version

    def _check_totals(self) -> None:
        """Checks what can be counted only at the end."""
        runs = count_runs(self.site.runners)
        for request_id, count in runs.items():
            if count > 1:
                self.findings.add(f"booking {request_id} ran {count} times")
        if self._member_changes() > self._change_bound():
            self.findings.add(
                f"{self._member_changes()} changes of members, the bound is"
                f" {self._change_bound()}"
            )

    def _member_changes(self) -> int:
        logs = self.site.logs.values()
        return count_events(logs, "member_change").total()

    def _change_bound(self) -> int:
        leaders = count_events(self.site.logs.values(), "leader_started")
        lost = self._player.changed_members + FAULTS_BORNE
        return (
            CHANGES_AT_START
            + lost * CHANGES_A_MEMBER
            + leaders.total() * CHANGES_A_LEADER
        )

    def verdict(self) -> Verdict:
        """Returns what was found and measured."""
        seen = self._observers
        played = self._player.counts
        events = " ".join(f"{k}={n}" for k, n in sorted(played.items()))
        back_s = self._read_back_s
        return Verdict(
            self.findings.texts,
            f"{played.total()} events ({events}), {seen.newest()} changes"
            f" (longest {seen.longest_change_s:.2f} s), {seen.reads} reads,"
            f" {seen.bookings.total()} bookings ({seen.bookings[200]} served),"
            f" {self._member_changes()} changes of members (bound"
            f" {self._change_bound()}), read back"
            f" {'never' if back_s is None else f'in {back_s:.2f} s'}",
        )


def _create_soak(cfg: SoakConfig, group: anyio.abc.TaskGroup) -> Soak:
    site = MemberSite(group, cfg.builds)
    losses = Losses(FAULTS_BORNE)
    findings = Findings(site.record)
    choice = random.Random(cfg.seed)
    return Soak(
        cfg,
        site,
        losses,
        findings,
        Observers(site, losses, findings, choice),
        EventPlayer(site, losses, findings, group),
    )


async def run_soak(cfg: SoakConfig) -> Verdict:
    """Plays one seed; keeps the logs if it breaks a rule."""
    async with anyio.create_task_group() as group:
        soak = _create_soak(cfg, group)
        site = soak.site
        try:
            await soak.run(group)
        except TimeoutError as exc:
            soak.findings.add(str(exc))
        finally:
            verdict = soak.verdict()
            site.close_processes()
            if verdict.findings:
                site.keep_logs(cfg.logs / f"seed-{cfg.seed}")
            site.close()
            group.cancel_scope.cancel()
    return verdict


def _parse(arguments: list[str]) -> list[SoakConfig]:
    parser = argparse.ArgumentParser(prog="member_soak")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--build", type=pathlib.Path, action="append")
    parser.add_argument("--disturb-start", action="store_true")
    parser.add_argument("--logs", type=pathlib.Path)
    args = parser.parse_args(arguments)
    logs = args.logs or pathlib.Path(tempfile.mkdtemp(prefix="member-soak-"))
    return [
        SoakConfig(
            seed=args.seed + number,
            seconds=args.seconds,
            builds=tuple(build.resolve() for build in args.build or ()),
            disturbs_start=args.disturb_start,
            logs=logs,
        )
        for number in range(args.seeds)
    ]


def main() -> None:
    """Runs the command."""
    failed = False
    for cfg in _parse(sys.argv[1:]):
        verdict = anyio.run(run_soak, cfg)
        word = "FAIL" if verdict.findings else "ok"
        print(f"seed {cfg.seed}: {word}, {verdict.summary}", flush=True)
        for finding in verdict.findings:
            print(f"    {finding}; logs in {cfg.logs}/seed-{cfg.seed}")
        failed = failed or bool(verdict.findings)
    sys.exit(int(failed))


if __name__ == "__main__":
    main()
