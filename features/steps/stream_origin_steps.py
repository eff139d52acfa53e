"""Steps for the software versions at which streams began."""

import anyio
import attrs
from behave import given, then, when

from knapweedarch.control_messages import CONTROL
from knapweedarch.exceptions import ControlError, LinkError
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.origin_client import OriginClient
from knapweedarch.origin_messages import (
    FindOrigins,
    Origin,
    OriginsFound,
    ServiceVersions,
    StreamOrigins,
    origin_digest,
    pack_digests,
    pack_origins,
    unpack_origins,
)
from knapweedarch.origin_relay import OriginRelay
from knapweedarch.origin_table import OriginTable
from knapweedarch.state import COMMANDS, Announce, ControlState
from knapweedarch.timers import Clock

KEPT_S = 30.0
REPORT_INTERVAL_S = 0.05


class Member:
    """A member's relay, and the messages between it and others."""

    def __init__(self):
        self.relay = OriginRelay()


@attrs.define
class Router:
    """A router's memory and the reports that it has sent."""

    table: OriginTable = attrs.field(factory=lambda: OriginTable(16_384))
    unreported: list[Origin] = attrs.field(factory=list)
    messages: int = 0
    sent_bytes: int = 0

    def begin(self, request_id: str, version: str, now: float) -> None:
        """Records a stream that begins at this router."""
        origin = Origin(origin_digest(request_id), version, KEPT_S)
        self.table.record(origin, now)
        self.unreported.append(origin)


class World:
    """Routers, each of which subscribes to one member."""

    def __init__(self, routers: int, members: int, versions: int):
        self.now = 0.0
        self.versions = [f"v{n}" for n in range(versions)]
        self.routers = [Router() for _ in range(routers)]
        self.members = [Member() for _ in range(members)]
        self.streams: dict[str, str] = {}

    def member_of(self, number: int) -> Member:
        """Returns the member that a router subscribes to."""
        return self.members[number % len(self.members)]

    def begin_streams(self, count: int) -> None:
        """Begins streams at each router."""
        for router in self.routers:
            for _ in range(count):
                request_id = f"r{len(self.streams)}"
                version = self.versions[len(self.streams) % len(self.versions)]
                self.streams[request_id] = version
                router.begin(request_id, version, self.now)

    def exchange(self) -> None:
        """Sends what waits, from routers to members to other members."""
        for number, router in enumerate(self.routers):
            origins, router.unreported = router.unreported, []
            for message in pack_origins(origins):
                router.messages += 1
                router.sent_bytes += len(CONTROL.encode(message))
                relay = self.member_of(number).relay
                relay.receive(message, is_member=False, now=self.now)
        for member in self.members:
            for message in member.relay.take_reports(self.now):
                self._pass_on(member, message)

    def _pass_on(self, sender: Member, message: StreamOrigins) -> None:
        for other in self.members:
            if other is not sender:
                other.relay.receive(message, is_member=True, now=self.now)

    def restart_routers(self) -> None:
        """Replaces all routers by new ones."""
        self.routers = [Router() for _ in self.routers]

    def restart_member(self, number: int) -> None:
        """Replaces a member; the others and its routers tell it anew."""
        new = self.members[number] = Member()
        for other in self.members:
            if other is not new:
                for message in other.relay.known_reports(self.now):
                    new.relay.receive(message, is_member=True, now=self.now)
        for place, router in enumerate(self.routers):
            if self.member_of(place) is new:
                router.unreported = list(router.table.own(self.now))
        self.exchange()

    def find(self, number: int, request_id: str) -> str | None:
        """Looks a stream up at a router, then at its member."""
        digest = origin_digest(request_id)
        known = self.routers[number].table.find(digest, self.now)
        if known is not None:
            return known
        query = FindOrigins(pack_digests([digest]))
        reply = self.member_of(number).relay.find(query, self.now)
        found = unpack_origins(reply.found)
        return found[0].version if found else None


@given(
    "{routers:d} routers, {members:d} members and streams of {versions:d}"
    " versions"
)
def given_world(context, routers, members, versions):
    context.world = World(routers, members, versions)


@when("each router has begun {count:d} streams")
def begin_streams(context, count):
    context.world.begin_streams(count)
    context.world.exchange()
    context.world.now += 5.0


@when("{who} lost all memory")
def lose_memory(context, who):
    world = context.world
    match who:
        case "nobody has":
            pass
        case "all routers have":
            world.restart_routers()
        case "all members have":
            world.members = [Member() for _ in world.members]
            for number in range(len(world.members)):
                world.restart_member(number)
        case "one member after another has":
            for number in range(len(world.members)):
                world.restart_member(number)
            world.restart_routers()
        case "all routers and members have":
            world.restart_routers()
            world.members = [Member() for _ in world.members]
        case _:
            raise AssertionError(who)


@then("each router finds the version of every stream")
def check_found(context):
    world = context.world
    for number in range(len(world.routers)):
        for request_id, version in world.streams.items():
            assert world.find(number, request_id) == version


@then("no router finds the version of any stream")
def check_unknown(context):
    world = context.world
    for number in range(len(world.routers)):
        for request_id in world.streams:
            assert world.find(number, request_id) is None


@when("each router begins {rate:d} streams a second for {seconds:d} s")
def begin_at_rate(context, rate, seconds):
    world = context.world
    context.seconds = seconds
    begun = 0
    for step in range(round(seconds / REPORT_INTERVAL_S)):
        world.now = step * REPORT_INTERVAL_S
        due = round(world.now * rate) + 1
        world.begin_streams(due - begun)
        begun = due
        world.exchange()


@then(
    "each router sends at most {messages:d} messages and {size:d} bytes a"
    " second"
)
def check_cost(context, messages, size):
    for router in context.world.routers:
        assert router.messages > 0
        assert router.messages <= messages * context.seconds, router.messages
        assert router.sent_bytes <= size * context.seconds, router.sent_bytes


@given("a table with room for {most:d} streams")
def given_table(context, most):
    context.origins = OriginTable(most)


@when("{count:d} streams are recorded, each for {kept:d} s")
def record_streams(context, count, kept):
    # One each 0.1 s, so that their ends are in many groups.
    for number in range(count):
        origin = Origin(number, "v1", float(kept))
        context.origins.record(origin, number * 0.1)
    context.count, context.now = count, count * 0.1


@then("at most {most:d} of them are kept, the last ones")
def check_bound(context, most):
    found = [
        n
        for n in range(context.count)
        if context.origins.find(n, context.now) is not None
    ]
    assert 0 < len(found) <= most, len(found)
    assert len(context.origins) <= most
    first = context.count - len(found)
    assert found == list(range(first, context.count)), found


@then("none is kept {seconds:d} s later")
def check_forgotten(context, seconds):
    context.origins.expire(context.now + seconds)
    assert len(context.origins) == 0, len(context.origins)


@when("a member gets a report of streams with {fault}")
def malformed_report(context, fault):
    (message,) = pack_origins([Origin(1, "v1", KEPT_S)])
    if fault == "a byte too few":
        message = attrs.evolve(message, packed=message.packed[:-1])
    else:
        message = attrs.evolve(message, versions=())
    context.relay = OriginRelay()
    context.refused = False
    try:
        context.relay.receive(message, is_member=False, now=0.0)
    except ValueError:
        context.refused = True


@then("it is refused and the member's table is empty")
def check_refused(context):
    assert context.refused
    assert context.relay.known_reports(0.0) == []


@given('a state in which "{service}" was served by software {versions}')
def given_state(context, service, versions):
    context.state = ControlState()
    for number, version in enumerate(versions.split()):
        endpoint = Endpoint(
            *(f"i-{number}", "1", f"http://10.0.0.{number + 1}:80"),
            *(EndpointKind.RUNNER, ("models", service)),
            software_version=version,
        )
        context.state.apply(COMMANDS.encode(Announce(endpoint)))


@given(
    'a state in which service "{first}" served "{model}" by {version} and'
    ' "{second}" served "{other_model}" by {other_version}'
)
def given_services(
    context, first, model, version, second, other_model, other_version
):
    context.state = ControlState()
    for number, (serves, software) in enumerate(
        [((first, model), version), ((second, other_model), other_version)], 1
    ):
        endpoint = Endpoint(
            *(f"i-{number}", "1", f"http://10.0.0.{number}:80"),
            *(EndpointKind.RUNNER, serves),
            software_version=software,
        )
        context.state.apply(COMMANDS.encode(Announce(endpoint)))


@given(
    'a state in which service "{service}" served "{model}" by {version} and the'
    ' plain service "{plain}" was {plain_version}'
)
def given_plain_service(context, service, model, version, plain, plain_version):
    context.state = ControlState()
    for number, (kind, serves, software) in enumerate(
        [
            (EndpointKind.RUNNER, (service, model), version),
            (EndpointKind.SERVICE, (plain,), plain_version),
        ]
    ):
        endpoint = Endpoint(
            *(f"i-{number}", "1", f"http://10.0.0.{number}:80", kind, serves),
            software_version=software,
        )
        context.state.apply(COMMANDS.encode(Announce(endpoint)))


@then('a stream of "" that nobody remembers began at {found}')
def check_any_version(context, found):
    assert only_version(context.state, "") == found


@then('a stream of "{service}" that nobody remembers began at {found}')
def check_only_version(context, service, found):
    context.service, context.found = service, found
    assert only_version(context.state, service) == found


def only_version(state: ControlState, service: str) -> str:
    versions = state.software.versions(service)
    return versions[0] if len(versions) == 1 else "unknown"


@then("it is the same after a snapshot is restored")
def check_restored(context):
    restored = ControlState()
    restored.restore(context.state.snapshot())
    assert only_version(restored, context.service) == context.found


def known_by(says: str) -> OriginsFound:
    """Returns the answer of a member that `knows` a version or nothing."""
    if says == "knows nothing":
        return OriginsFound(StreamOrigins((), b""))
    origin = Origin(origin_digest("r1"), says.removeprefix("knows "), 0.0)
    return OriginsFound(pack_origins([origin])[0])


@attrs.define
class FakeRelay:
    """A subscription to a member that knows some versions, or to none."""

    says: str
    on_subscribed: list = attrs.field(factory=list)
    calls: int = 0

    @property
    def takes_origins(self) -> bool:
        """Whether there is a member."""
        return self.says != "is not reached"

    async def call(self, message: FindOrigins, timeout_s: float) -> object:
        """Answers a look-up."""
        if not self.takes_origins:
            raise LinkError("no member to ask")
        self.calls += 1
        is_late = self.says.startswith("is asked twice") and self.calls == 1
        if self.says == "does not answer" or is_late:
            await anyio.sleep(timeout_s)
            raise LinkError("no reply in time")
        return known_by(self.says.removeprefix("is asked twice and "))


@attrs.define
class FakeControl:
    """A leader that names versions, has a record, or does not answer."""

    says: str

    async def request(self, message: object, timeout_s: float) -> object:
        """Answers with what it remembers or the versions of any service."""
        if self.says == "is not reached":
            raise ControlError("unreachable", "no leader")
        if isinstance(message, FindOrigins):
            has_record = self.says.startswith("knows")
            return known_by(self.says if has_record else "knows nothing")
        names = self.says.removeprefix("names ").removeprefix("only ")
        return ServiceVersions(tuple(names.split(" and ")))


@given("a router whose member {member} and whose leader {leader}")
def given_router(context, member, leader):
    context.client = OriginClient(
        *(FakeRelay(member), FakeControl(leader), Clock()),
        create_metrics(None, 0, "test"),
    )


@when("a stream that the router does not know is looked up")
def look_up(context):
    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(context.client.run)
            began_at = anyio.current_time()
            with anyio.fail_after(5.0):
                context.version = await context.client.find("r1", "chat")
            context.took_s = anyio.current_time() - began_at
            group.cancel_scope.cancel()

    anyio.run(run)


@then("its version is {found} within {limit:g} s")
def check_version(context, found, limit):
    assert (context.version or "unknown") == found, context.version
    assert context.took_s <= limit, context.took_s
