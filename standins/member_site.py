"""A platform site whose members are lost, replaced and started again."""

import datetime
import pathlib
import random
import shutil
import signal

import anyio
import anyio.abc
import attrs

from standins.platform_site import ROOT, PlatformSite, Process
from standins.polling import wait_until
from standins.soak_logs import LeaderFinder

FAULTS_BORNE = 2
SEED_COUNT = 3
# A list of seeds may be this old when a new member gets it.
SEED_LAG_S = 3.0
STOP_TIMEOUT_S = 10.0
# A signal that comes before the interpreter has started ends any process.
MIN_SIGNAL_AGE_S = 0.5


@attrs.define
class Place:
    """Where a process stands in the group.

    Attributes:
        number: Number of the place; a successor takes it over.
        seeds: Control addresses in its settings.
    """

    number: int
    seeds: list[str]


class MemberSite(PlatformSite):
    """Runs members and proxies whose seeds and builds differ.

    Attributes:
        places: Places of the present members by name.
        stopped: Names of processes that were told to end.
        logs: Log files of all members, past ones included.
        builds: Folders of the code that processes run.
    """

    # As the deploy file starts it.
    program = "platform"

    def __init__(
        self, group: anyio.abc.TaskGroup, builds: tuple[pathlib.Path, ...]
    ):
        super().__init__(group)
        self.places: dict[str, Place] = {}
        self.stopped: set[str] = set()
        self.logs: dict[str, pathlib.Path] = {}
        self.builds = builds or (ROOT,)
        self._member_count = 0
        self._leader_finder = LeaderFinder()
        self._started_at: dict[str, float] = {}
        self._lists: list[tuple[float, list[str]]] = []

    def record(self, text: str) -> None:
        """Writes a line, with the time of day as in the members' logs."""
        now = datetime.datetime.now(datetime.UTC).isoformat()
        with open(self.folder / "record.txt", "a") as file:
            file.write(f"{now} {text}\n")

    def start_first(self, members: int, proxies: int) -> None:
        """Starts members and proxies with bootstrap enabled."""
        self.start_processes(members, proxies)
        for number, name in enumerate(self.member_names(), 1):
            seeds = self.control_addresses()[:SEED_COUNT]
            self.places[name] = Place(number, seeds)
            self._note_list()

    def _add_process(self, role: str, number: int) -> Process:
        process = super()._add_process(role, number)
        process.build = self.builds[0]
        if role == "member":
            self._member_count += 1
            self.logs[process.name] = self.folder / f"{process.name}.log"
        return process

    def _settings_fields(self, process: Process, bootstrap: bool) -> dict:
        fields = super()._settings_fields(process, bootstrap)
        fields["faultBudget.machines"] = str(FAULTS_BORNE)
        if process.role == "member":
            fields["countsAsLoss"] = "true"
        if place := self.places.get(process.name):
            fields["seedNodes"] = ",".join(place.seeds)
        elif process.role == "proxy" and self.places:
            fields["seedNodes"] = ",".join(self.control_addresses()[:3])
        return fields

    def member_names(self) -> list[str]:
        """Returns the names of the present members."""
        return [n for n, p in self.processes.items() if p.role == "member"]

    def proxy_names(self) -> list[str]:
        """Returns the names of the proxies."""
        return [n for n, p in self.processes.items() if p.role == "proxy"]

    def leader(self) -> str:
        """Returns the name of the member that began to lead last."""
        return self._leader_finder.read(self.logs)

    def address_of(self, name: str) -> str:
        """Returns the control address of a member."""
        return self._control_address(self.processes[name].host)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self.stopped.add(name)
        super().kill(name)
        self.record(f"{name} killed")

    def kill_all(self, names: list[str]) -> None:
        """Kills processes at once."""
        for name in names:
            self.stopped.add(name)
            self.processes[name].popen.kill()
        for name in names:
            self.kill(name)

    def start(self, name: str) -> None:
        """Starts a process."""
        super().start(name)
        self.stopped.discard(name)
        process = self.processes[name]
        self._started_at[name] = anyio.current_time()
        self.record(
            f"{name} at {process.host} started, pid {process.popen.pid},"
            f" build {process.build}"
        )

    def start_again(self, name: str, seeds: list[str] | None = None) -> None:
        """Starts a process that has run before, with its present settings.

        Args:
            name: The process.
            seeds: Control addresses in the settings; None to leave them.
        """
        if seeds is not None:
            self.places[name].seeds = seeds
        self._write_settings(self.processes[name], bootstrap=False)
        self.start(name)

    def remove_disk(self, name: str) -> None:
        """Deletes what a member has stored."""
        shutil.rmtree(self._data_folder(name))
        self.record(f"{name} lost its disk")

    def add_member(self, place: int, seeds: list[str], build: int) -> str:
        """Starts an empty member at another address; returns its name."""
        process = self._add_process("member", self._member_count + 1)
        process.build = self.builds[build % len(self.builds)]
        self.places[process.name] = Place(place, seeds)
        self._note_list()
        self.record(f"{process.name} has seeds {seeds}")
        self.start_again(process.name)
        return process.name

    def remove_member(self, name: str) -> None:
        """Forgets a member that was replaced for good."""
        del self.processes[name]
        del self.places[name]
        self._note_list()

    def choose_seeds(
        self, choice: random.Random, stale: bool, sound: list[str]
    ) -> list[str]:
        """Returns seeds from the present or an earlier list of members.

        Args:
            choice: Source of the choices.
            stale: Whether the list is as old as it may be.
            sound: Addresses of members that are not lost; at least one of
                them is a seed, as no other member could be told of the group.
        """
        now = anyio.current_time()
        known = self._lists[-1][1]
        if stale:
            old = [m for at, m in self._lists if at <= now - SEED_LAG_S]
            known = old[-1] if old else self._lists[0][1]
        seeds = choice.sample(known, SEED_COUNT)
        if sound and not set(seeds) & set(sound):
            seeds[0] = choice.choice(sound)
        return seeds

    def has_present_seed(self, name: str) -> bool:
        """Returns whether a seed of a member is another present member."""
        present = set(self.control_addresses()) - {self.address_of(name)}
        return bool(present & set(self.places[name].seeds))

    def may_reload(self, name: str) -> bool:
        """Returns whether a process is old enough for a signal."""
        age_s = anyio.current_time() - self._started_at[name]
        return name not in self.stopped and age_s > MIN_SIGNAL_AGE_S

    def change_seeds(self, name: str, seeds: list[str]) -> None:
        """Writes other seeds into the settings of a running member."""
        self.places[name].seeds = seeds
        self._write_settings(self.processes[name], bootstrap=False)
        self.record(f"{name} gets seeds {seeds}")

    def use_next_build(self, name: str) -> None:
        """Lets a process run the other build from its next start on."""
        process = self.processes[name]
        number = self.builds.index(process.build) + 1
        process.build = self.builds[number % len(self.builds)]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].popen.send_signal(number)
        self.record(f"{name} gets {number.name}")

    async def stop(self, name: str) -> int:
        """Ends a process by SIGTERM; returns its exit code.

        Raises:
            TimeoutError: It did not end in time.
        """
        self.stopped.add(name)
        self.send_signal(name, signal.SIGTERM)
        popen = self.processes[name].popen
        with anyio.fail_after(STOP_TIMEOUT_S):
            await wait_until(lambda: popen.poll() is not None)
        self.record(f"{name} ended with code {popen.returncode}")
        return popen.returncode

    def ended_alone(self) -> list[str]:
        """Returns the processes that ended without being told to."""
        return [
            name
            for name, process in self.processes.items()
            if name not in self.stopped and process.popen.poll() is not None
        ]

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copies settings, logs and data."""
        shutil.copytree(self.folder, folder, dirs_exist_ok=True)

    def _note_list(self) -> None:
        entry = (anyio.current_time(), self.control_addresses())
        self._lists.append(entry)
