"""Runs control members in one event loop, and kills them while they form."""

import collections
import contextlib
import enum
import pathlib
import random
import shutil
import socket
import tempfile
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from knapweedarch import control, links
from knapweedarch.member import Member, create_member
from knapweedarch.metrics import create_metrics
from knapweedarch.settings import Address, MemberSettings
from knapweedarch.timers import Clock

CREDENTIAL = "credential of the forming group"
SEEDS = 3
POLL_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.3


class Moment(enum.Enum):
    """When a member is killed: before or after a message was handled."""

    BEFORE = "before"
    AFTER = "after"


@attrs.frozen
class Kill:
    """Members to kill at one step of the forming.

    Attributes:
        message: Class of the message, `Describe` or `Form`.
        number: Which message of the class, counted from 1.
        moment: Whether it has been handled by then.
        victims: Numbers of the members; if empty, the link is cut instead.
        wipe: Whether they lose their disks as well.
    """

    message: type
    number: int
    moment: Moment
    victims: tuple[int, ...]
    wipe: bool = False


@attrs.define
class _Running:
    member: Member
    scope: anyio.CancelScope
    ended: anyio.Event = attrs.field(factory=anyio.Event)


class FormingSite:
    """Members on loopback, of which the first three are the seeds.

    Attributes:
        members: Running members by number.
        steps: Handled messages of the forming, such as `Form 2`.
        killed: Set once the kill has taken place.
        answer_delay_s: Delay of each answer to Describe, in seconds.
    """

    def __init__(
        self, group: anyio.abc.TaskGroup, count: int, kill: Kill | None = None
    ):
        self._group = group
        self._count = count
        self._kill = kill
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="forming-"))
        second, third = random.SystemRandom().sample(range(2, 250), 2)
        self._network = f"127.{second}.{third}"
        with socket.create_server((f"{self._network}.1", 0)) as probe:
            self._port = probe.getsockname()[1]
        self.members: dict[int, Member] = {}
        self._running: dict[int, _Running] = {}
        self._handled: collections.Counter[type] = collections.Counter()
        self.steps: list[str] = []
        self.answer_delay_s = 0.0
        self.killed = anyio.Event()

    def address(self, number: int) -> Address:
        """Returns the address of a member."""
        return Address(f"{self._network}.{number}", self._port)

    def _settings(self, number: int, bootstrap: bool) -> MemberSettings:
        # The order differs from that of the addresses.
        seeds = tuple(self.address(n) for n in range(SEEDS, 0, -1))
        return MemberSettings(
            name=f"m{number}",
            data_centre="z",
            credential=CREDENTIAL,
            members=(),
            listen=self.address(number),
            data_folder=self._folder / f"m{number}",
            seeds=seeds,
            bootstrap=bootstrap,
            voters=self._count,
        )

    def start(self, number: int, bootstrap: bool) -> None:
        """Starts a member with the disk that it had."""
        member = create_member(
            self._settings(number, bootstrap),
            *(Clock(), create_metrics(None, 0, f"m{number}")),
        )
        handle = member._handle

        async def handle_step(link: links.Link, message: object):
            match message:
                case control.Describe() | control.Form():
                    return await self._handle_step(
                        number, handle, link, message
                    )
            return await handle(link, message)

        member._handle = handle_step
        member._peers._handler = handle_step
        running = _Running(member, anyio.CancelScope())
        self.members[number] = member
        self._running[number] = running
        self._group.start_soon(self._run, running)

    async def _run(self, running: _Running) -> None:
        try:
            with running.scope:
                await running.member.run()
        finally:
            running.ended.set()

    async def _handle_step(self, number, handle, link, message) -> object:
        kind = type(message)
        self.steps.append(f"{kind.__name__} {number}")
        self._handled[kind] += 1
        step = (kind, self._handled[kind])
        await self._kill_at((*step, Moment.BEFORE), number, link)
        reply = await handle(link, message)
        if kind is control.Describe:
            await anyio.sleep(self.answer_delay_s)
        await self._kill_at((*step, Moment.AFTER), number, link)
        return reply

    async def _kill_at(
        self, step: tuple[type, int, Moment], number: int, link: links.Link
    ) -> None:
        kill = self._kill
        if kill is None or (kill.message, kill.number, kill.moment) != step:
            return
        for victim in kill.victims:
            self.kill(victim)
        if not kill.victims:
            link.close()
        self.killed.set()
        self._group.start_soon(self._restart, kill)
        if number in kill.victims:
            await anyio.sleep_forever()

    async def _restart(self, kill: Kill) -> None:
        """Starts the killed members again, as a platform does."""
        await anyio.sleep(RESTART_DELAY_S)
        for victim in kill.victims:
            await self._running[victim].ended.wait()
            if kill.wipe:
                shutil.rmtree(self._folder / f"m{victim}")
            self.start(victim, bootstrap=False)

    def kill(self, number: int) -> None:
        """Ends a member before its next operation; its files stay."""
        self.members.pop(number, None)
        self._running[number].scope.cancel()

    async def restart(self, number: int, bootstrap: bool) -> None:
        """Kills a member and starts it again."""
        self.kill(number)
        await self._running[number].ended.wait()
        self.start(number, bootstrap)

    def is_formed(self) -> bool:
        """Returns whether all members follow one leader with one list."""
        replicas = [m._replica for m in self.members.values()]
        return (
            len(replicas) == self._count
            and all(r.knows_group for r in replicas)
            and len({r.leader for r in replicas}) == 1
            and len({frozenset(r.members) for r in replicas}) == 1
        )

    def lists(self) -> list[frozenset[str]]:
        """Returns the different member lists that members hold."""
        lists = {
            frozenset(m.identity for m in member._replica.members)
            for member in self.members.values()
        }
        return sorted(lists - {frozenset()}, key=sorted)

    async def wait_formed(self, limit_s: float) -> bool:
        """Returns whether the group forms within a time."""
        with anyio.move_on_after(limit_s):
            while True:
                if self.is_formed():
                    return True
                await anyio.sleep(POLL_INTERVAL_S)
        return False

    async def close(self) -> None:
        """Ends the members and removes the folder."""
        for running in self._running.values():
            running.scope.cancel()
        for running in self._running.values():
            await running.ended.wait()
        shutil.rmtree(self._folder)


@contextlib.asynccontextmanager
async def open_forming_site(
    count: int, kill: Kill | None = None
) -> AsyncIterator[FormingSite]:
    """Opens a site without members."""
    async with anyio.create_task_group() as group:
        site = FormingSite(group, count, kill)
        try:
            yield site
        finally:
            with anyio.CancelScope(shield=True):
                await site.close()
            group.cancel_scope.cancel()
