"""Carries out the events of a soak, within the budget of losses."""

import collections
import random
import signal

import anyio
import anyio.abc
import attrs

from standins.member_site import MemberSite
from standins.polling import POLL_INTERVAL_S, wait_until
from standins.soak_findings import Findings
from standins.soak_losses import SYNC_S, Losses
from standins.soak_plan import Event, Kind

CALM_S = 2.0
# All processes that are killed at once are back within this time.
MAX_SWITCH_S = 1.0
# A process that gets SIGTERM before it has started may end by the signal.
STOP_CODES = (0, -signal.SIGTERM)
SEED_CHECK_INTERVAL_S = 1.0
# A calm moment that does not come within this time is not waited for.
MAX_CALM_WAIT_S = 15.0


@attrs.define
class EventPlayer:
    """Plays events on the members of a site.

    Attributes:
        counts: Number of events played by kind.
        changed_members: Number of members that were lost, frozen or new.
    """

    _site: MemberSite
    _losses: Losses
    _findings: Findings
    _group: anyio.abc.TaskGroup
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    changed_members: int = 0
    _busy: set[str] = attrs.field(factory=set)

    async def play(self, event: Event) -> None:
        """Starts an event as soon as the budget allows it."""
        await anyio.sleep(event.after_s)
        choice = random.Random(event.choice)
        match event.kind:
            case Kind.CALM:
                await self.wait_calm()
            case Kind.SWITCH_PROXY:
                await self._switch_proxy(choice)
            case _:
                await self._play_on_members(event, choice)

    async def _play_on_members(
        self, event: Event, choice: random.Random
    ) -> None:
        names = await self._take_members(event, choice)
        self.counts[event.kind.value] += 1
        self._site.record(
            f"{event.kind.value} of {names} for {event.down_s:.2f} s"
        )
        if event.kind is Kind.RESTART_ALL:
            self._group.start_soon(self._restart_all, names, event)
            return
        for name in names:
            self._group.start_soon(self._play_on, name, event, choice)

    async def wait_calm(self) -> None:
        """Waits until nothing has been lost for a moment."""
        with anyio.move_on_after(MAX_CALM_WAIT_S):
            await wait_until(self._is_calm)

    async def wait_idle(self) -> None:
        """Waits until every event has ended."""
        await wait_until(lambda: not self._busy)

    def _is_calm(self) -> bool:
        return anyio.current_time() >= self._losses.calm_since() + CALM_S

    async def _take_members(
        self, event: Event, choice: random.Random
    ) -> list[str]:
        """Waits for members that the event may happen to, and claims them."""
        while True:
            free = [n for n in self._site.member_names() if n not in self._busy]
            if event.kind is Kind.RESTART_ALL and free:
                names = free
                break
            names = self._pick(event, free, choice)
            places = {self._site.places[n].number for n in names}
            now = anyio.current_time()
            enough = len(names) == event.members
            if enough and self._losses.has_room(places, now):
                break
            await anyio.sleep(POLL_INTERVAL_S)
        self._busy.update(names)
        return names

    def _pick(
        self, event: Event, free: list[str], choice: random.Random
    ) -> list[str]:
        names = choice.sample(free, min(event.members, len(free)))
        leader = self._site.leader() if event.prefers_leader else ""
        if leader in free and leader not in names:
            names[0] = leader
        return names

    async def _play_on(
        self, name: str, event: Event, choice: random.Random
    ) -> None:
        try:
            match event.kind:
                case Kind.RESTART:
                    await self._restart(name, event, choice, loses_disk=False)
                case Kind.LOSE_DISK:
                    await self._restart(name, event, choice, loses_disk=True)
                case Kind.REPLACE:
                    await self._replace(name, event, choice)
                case Kind.REPLACE_PLANNED:
                    await self._replace_planned(name, event, choice)
                case Kind.FREEZE:
                    await self._freeze(name, event)
                case Kind.RELOAD:
                    self._reload(name)
                case Kind.CHANGE_SEEDS:
                    self._change_seeds(name, event, choice)
                case Kind.SWITCH_BUILD:
                    await self._switch_build(name, event, choice)
        finally:
            self._busy.discard(name)

    def _choose_seeds(self, event: Event, choice: random.Random) -> list[str]:
        now = anyio.current_time()
        sound = [
            self._site.address_of(name)
            for name, place in self._site.places.items()
            if not self._losses.is_lost(place.number, now)
        ]
        return self._site.choose_seeds(choice, event.stale_seeds, sound)

    def _start_again(
        self, name: str, event: Event, choice: random.Random
    ) -> None:
        self._site.start_again(name, self._choose_seeds(event, choice))

    def _reload(self, name: str) -> None:
        if self._site.may_reload(name):
            self._site.send_signal(name, signal.SIGHUP)

    async def renew_seeds(self) -> None:
        """Renews seeds that are all gone from the list, without end."""
        choice = random.Random(0)
        while True:
            await anyio.sleep(SEED_CHECK_INTERVAL_S)
            for name in self._site.member_names():
                if not self._site.has_present_seed(name):
                    seeds = self._site.choose_seeds(choice, False, [])
                    self._site.change_seeds(name, seeds)

    def _begin_loss(self, name: str) -> int:
        place = self._site.places[name].number
        self._losses.begin(place)
        self.changed_members += 1
        return place

    def _end_loss(self, place: int) -> None:
        self._losses.end(place, anyio.current_time())

    async def _restart(
        self,
        name: str,
        event: Event,
        choice: random.Random,
        loses_disk: bool,
    ) -> None:
        place = self._begin_loss(name)
        self._site.kill(name)
        if loses_disk:
            self._site.remove_disk(name)
        await anyio.sleep(event.down_s)
        self._start_again(name, event, choice)
        self._end_loss(place)

    async def _replace(
        self, name: str, event: Event, choice: random.Random
    ) -> None:
        place = self._begin_loss(name)
        self._site.kill(name)
        self._site.remove_disk(name)
        self._site.remove_member(name)
        await anyio.sleep(event.down_s)
        self._add_successor(place, event, choice)

    def _add_successor(
        self, place: int, event: Event, choice: random.Random
    ) -> None:
        seeds = self._choose_seeds(event, choice)
        self._site.add_member(place, seeds, choice.randrange(2))
        self._end_loss(place)

    async def _replace_planned(
        self, name: str, event: Event, choice: random.Random
    ) -> None:
        place = self._begin_loss(name)
        self._add_successor(place, event, choice)
        await anyio.sleep(SYNC_S + event.down_s)
        await self._stop(name)
        self._site.remove_member(name)

    async def _stop(self, name: str) -> None:
        try:
            code = await self._site.stop(name)
        except TimeoutError:
            self._findings.add(f"{name} does not end after SIGTERM")
            self._site.kill(name)
            return
        if code not in STOP_CODES:
            self._findings.add(f"{name} ended with code {code} after SIGTERM")

    async def _freeze(self, name: str, event: Event) -> None:
        place = self._begin_loss(name)
        self._site.send_signal(name, signal.SIGSTOP)
        await anyio.sleep(event.down_s)
        self._site.send_signal(name, signal.SIGCONT)
        self._end_loss(place)

    def _change_seeds(
        self, name: str, event: Event, choice: random.Random
    ) -> None:
        seeds = self._choose_seeds(event, choice)
        self._site.change_seeds(name, seeds)
        self._reload(name)

    async def _switch_build(
        self, name: str, event: Event, choice: random.Random
    ) -> None:
        place = self._begin_loss(name)
        await self._stop(name)
        self._site.use_next_build(name)
        await anyio.sleep(min(event.down_s, MAX_SWITCH_S))
        self._start_again(name, event, choice)
        self._end_loss(place)

    async def _switch_proxy(self, choice: random.Random) -> None:
        name = choice.choice(self._site.proxy_names())
        self.counts[Kind.SWITCH_PROXY.value] += 1
        with anyio.CancelScope(shield=True):
            await self._stop(name)
            self._site.use_next_build(name)
            self._site.start_again(name)

    async def _restart_all(self, names: list[str], event: Event) -> None:
        places = [self._begin_loss(name) for name in names]
        self._site.kill_all(names)
        await anyio.sleep(min(event.down_s, MAX_SWITCH_S))
        choice = random.Random(event.choice)
        for name in names:
            self._start_again(name, event, choice)
        for place in places:
            self._end_loss(place)
        self._losses.all_back_at = anyio.current_time()
        self._busy.difference_update(names)
