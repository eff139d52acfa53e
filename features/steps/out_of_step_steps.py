"""Steps for look-ups while routers and members are out of step.

The routers' clients and the members' tables are the product's; a step of the
schedule is the time for which reports wait.
"""

import random

import anyio
import attrs
from behave import given, then, when

from knapweedarch.exceptions import ControlError, LinkError
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.origin_client import OriginClient
from knapweedarch.origin_messages import FindOrigins, ServiceVersions
from knapweedarch.origin_relay import OriginRelay
from knapweedarch.software_versions import SoftwareVersions
from knapweedarch.timers import ManualClock

STEP_S = 0.05
STEPS = 120
LOOK_UP_STEPS = 12
LOOK_UPS = 40
# Records reach all members within two steps; a stream is older than that.
SETTLED_STEPS = 4
LONGEST_FAULT_STEPS = 40
MODEL = "m"


@attrs.define
class Link:
    """A router's way to its member and to the leader; both may be doubles.

    Attributes:
        member: The member that the router subscribes to.
        leader: The leader's records.
        software: What the leader knows of versions.
        fault: Why the router is out of step; empty if it is not.
        heals_at: Step at which it is back.
    """

    member: OriginRelay
    leader: OriginRelay
    software: SoftwareVersions
    clock: ManualClock
    fault: str = ""
    heals_at: int = 0
    on_subscribed: list = attrs.field(factory=list)

    @property
    def takes_origins(self) -> bool:
        """Whether there is a subscription."""
        return not self.fault

    def send_reports(self, message: object) -> None:
        """Delivers a report, unless the link does not go through."""
        if self.fault in ("", "answers are lost"):
            self.member.receive(message, False, self.clock.now())

    async def call(self, message: FindOrigins, timeout_s: float) -> object:
        """Asks the member."""
        if self.fault:
            raise LinkError(self.fault)
        return self.member.find(message, self.clock.now())

    async def request(self, message: object, timeout_s: float) -> object:
        """Asks the leader."""
        if self.fault:
            raise ControlError("unreachable", self.fault)
        if isinstance(message, FindOrigins):
            return self.leader.find(message, self.clock.now())
        return ServiceVersions(self.software.versions(message.service))


class Schedule:
    """Routers and members under seeded faults."""

    def __init__(self, routers: int, members: int, seed: int):
        self.random = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.software = SoftwareVersions()
        self.members = [OriginRelay() for _ in range(members)]
        self.cut_until = dict.fromkeys(range(members), 0)
        # Version, step and router of each stream.
        self.streams: dict[str, tuple[str, int, int]] = {}
        self.versions: list[str] = []
        self.links = [
            Link(self.members[i % members], self.members[0], *self._shared())
            for i in range(routers)
        ]
        # What each router has heard of, and since when it is in step.
        self.known: list[list[str]] = [[] for _ in self.links]
        self.in_step_since = [0] * routers
        self.clients = [self._create_client(link) for link in self.links]
        self.wrong: list = []
        self.missed: list = []
        self.found = 0

    def _shared(self) -> tuple[SoftwareVersions, ManualClock]:
        return self.software, self.clock

    def _create_client(self, link: Link) -> OriginClient:
        link.on_subscribed.clear()
        metrics = create_metrics(None, 0, "test")
        return OriginClient(link, link, self.clock, metrics)

    def join(self) -> None:
        """Lets endpoints of a newer version join."""
        self.versions.append(f"v{len(self.versions)}")
        endpoint = Endpoint(
            *("i", "1", "http://10.0.0.1:80", EndpointKind.RUNNER),
            serves=("models", MODEL),
            software_version=self.versions[-1],
        )
        self.software.record(endpoint)

    def step(self, number: int) -> None:
        """Moves faults, streams and messages on by a step."""
        if number % (STEPS // 3) == 0:
            self.join()
        self._heal(number)
        self._break(number)
        for place, link in enumerate(self.links):
            if not link.fault:
                self.known[place] = list(self.versions)
        self._begin_streams(number)
        for link, client in zip(self.links, self.clients, strict=True):
            if link.fault != "frozen":
                client.report()
        self._pass_on(number)
        self.clock.time += STEP_S

    def _heal(self, number: int) -> None:
        for place, link in enumerate(self.links):
            if link.fault and link.heals_at <= number:
                link.fault = ""
                self.in_step_since[place] = number
                for call_back in link.on_subscribed:
                    call_back()

    def _break(self, number: int) -> None:
        if self.random.random() < 0.3:
            place = self.random.randrange(len(self.links))
            link = self.links[place]
            link.heals_at = number + self.random.randint(1, LONGEST_FAULT_STEPS)
            link.fault = self.random.choice(
                ["cut off", "answers are lost", "frozen", "killed"]
            )
            if link.fault == "killed":
                self.clients[place] = self._create_client(link)
        if self.random.random() < 0.05:
            member = self.random.randrange(1, len(self.members))
            self.cut_until[member] = number + LONGEST_FAULT_STEPS

    def _begin_streams(self, number: int) -> None:
        for _ in range(4):
            place = self.random.randrange(len(self.links))
            if self.known[place] and self.links[place].fault != "frozen":
                name = f"r{len(self.streams)}"
                version = self.random.choice(self.known[place])
                self.streams[name] = version, number, place
                self.clients[place].record(name, version, 60.0)

    def _pass_on(self, number: int) -> None:
        now = self.clock.now()
        for place, member in enumerate(self.members):
            if self.cut_until[place] > number:
                continue
            reports = member.take_reports(now)
            if self.cut_until[place] == number:
                # Its links are new: each side tells what it knows.
                reports = member.known_reports(now)
                for other in self.members:
                    for message in other.known_reports(now):
                        member.receive(message, True, now)
            for other_place, other in enumerate(self.members):
                if (
                    other is not member
                    and self.cut_until[other_place] <= number
                ):
                    for message in reports:
                        other.receive(message, True, now)

    async def look_up(self, number: int) -> None:
        """Looks streams up at routers that run, all at once."""
        running = [
            i for i, link in enumerate(self.links) if link.fault != "frozen"
        ]
        async with anyio.create_task_group() as group:
            for client in self.clients:
                group.start_soon(client.run)
            async with anyio.create_task_group() as finders:
                for _ in range(LOOK_UPS):
                    name = self.random.choice(list(self.streams))
                    place = self.random.choice(running)
                    finders.start_soon(self._check, number, name, place)
            group.cancel_scope.cancel()

    async def _check(self, number: int, name: str, place: int) -> None:
        version, began, origin = self.streams[name]
        found = await self.clients[place].find(name, MODEL)
        if found not in (None, version):
            self.wrong.append((name, version, found))
        self.found += found is not None
        member = origin % len(self.members)
        is_settled = (
            began + SETTLED_STEPS <= number
            and self.in_step_since[origin] <= began
            and not self.links[origin].fault
            and self.cut_until[member] < began
        )
        if is_settled and not self.links[place].fault and found is None:
            self.missed.append((name, version, place))


@given("{routers:d} routers and {members:d} members, seed {seed:d}")
def given_schedule(context, routers, members, seed):
    context.schedule = Schedule(routers, members, seed)


@when("they are out of step in turn while newer versions join")
def run_schedule(context):
    async def run():
        schedule = context.schedule
        for number in range(STEPS):
            schedule.step(number)
            if number % LOOK_UP_STEPS == LOOK_UP_STEPS - 1:
                await schedule.look_up(number)

    anyio.run(run)


@then("no router finds another version than began a stream")
def check_none_wrong(context):
    assert not context.schedule.wrong, context.schedule.wrong


@then("routers in touch find each stream that began at one in touch")
def check_none_missed(context):
    assert not context.schedule.missed, context.schedule.missed
    assert context.schedule.found >= 100, context.schedule.found
