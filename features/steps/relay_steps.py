"""Steps for the relay of cached parts and loads, without network."""

import collections
import random

import anyio
from behave import given, then, when

from knapweedarch.cache_feeds import CacheFeeds
from knapweedarch.control_messages import CONTROL
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.exceptions import ExchangeError
from knapweedarch.load_relay import LoadRelay
from knapweedarch.member_relay import FLUSH_INTERVAL_S, MemberRelay
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind, RetryReason
from knapweedarch.peer_loads import PeerLoads
from knapweedarch.relay_messages import (
    EndpointLoad,
    LoadChanges,
    Relayed,
    SourceChanges,
    SourceSnapshot,
    Subscribe,
    endpoint_digest,
    pack_loads,
    unpack_loads,
)
from knapweedarch.relayed_parts import RelayedParts
from knapweedarch.source_relay import FeedSource, SourceRelay
from knapweedarch.stored_parts import (
    CacheChanges,
    PartChange,
    PartKey,
    PartsIndex,
)
from knapweedarch.timers import ManualClock, Timers

SALT = "1."


class Group:
    """Members that pass messages to each other, and one router.

    Attributes:
        relays: Relay of each reachable member, by name.
        truth: Parts that each source holds, by address.
        epochs: Epoch of each source, by address.
    """

    def __init__(self, members: int, centres: int):
        self._centres = centres
        self.places = {f"m{i}": f"z{i % centres}" for i in range(members)}
        self.relays: dict[str, SourceRelay] = {}
        self.sources: list[FeedSource] = []
        self.truth: dict[str, set[str]] = {}
        self.epochs: dict[str, int] = {}
        self.unreachable: set[tuple[str, str]] = set()
        # Pairs of a member and another to which it has no subscription.
        self.cut: set[tuple[str, str]] = set()
        # Epoch and parts that a member has read from a source.
        self._read: dict[tuple[str, str], tuple[int, set[str]]] = {}
        self.index = PartsIndex()
        self.chooser = EndpointChooser(ChoiceConfig(), self.index)
        self.parts = RelayedParts(self.index, self.chooser)
        self.router_at = ""
        for name in self.places:
            self.add_member(name)

    def set_sources(self, count: int) -> None:
        """Replaces the sources of all members."""
        self.sources = [
            FeedSource(f"10.0.0.{i}:80", f"z{i % self._centres}")
            for i in range(count)
        ]
        self.truth = {s.address: set() for s in self.sources}
        self.epochs = {s.address: 1 for s in self.sources}
        for relay in self.relays.values():
            relay.set_sources(self.sources)

    def add_member(self, name: str) -> None:
        """Starts a member, which connects to all others."""
        relay = SourceRelay(name, self.places[name])
        relay.set_sources(self.sources)
        self.relays[name] = relay
        for other in self.relays.keys() - {name}:
            self.connect(name, other)
            self.connect(other, name)

    def connect(self, name: str, other: str) -> None:
        """Subscribes a member to another one."""
        self.cut.discard((name, other))
        relay = self.relays[name]
        relay.add_member(other, self.places[other])
        for batch in self.relays[other].snapshots(is_member=True):
            relay.receive(other, batch)

    def disconnect(self, name: str, other: str) -> None:
        """Ends the subscription of a member to another one."""
        self.cut.add((name, other))
        self.relays[name].remove_member(other)

    def heal(self) -> None:
        """Restores all links."""
        self.unreachable.clear()
        for name, other in sorted(self.cut):
            if name in self.relays and other in self.relays:
                self.connect(name, other)
        self.cut.clear()

    def remove_member(self, name: str) -> None:
        """Stops a member; the router subscribes to another one."""
        del self.relays[name]
        for key in [k for k in self._read if k[0] == name]:
            del self._read[key]
        for relay in self.relays.values():
            relay.remove_member(name)
        if self.router_at == name:
            self.subscribe(sorted(self.relays)[0])

    def subscribe(self, name: str) -> None:
        """Subscribes the router to a member."""
        self.router_at = name
        self.parts.reset()
        for batch in self.relays[name].snapshots(is_member=False):
            self.parts.receive(batch)

    def poll(self) -> None:
        """Lets each member read the events of the sources that it follows."""
        for name, relay in self.relays.items():
            followed = {s.address for s in relay.followed()}
            for key in [k for k in self._read if k[0] == name]:
                if key[1] not in followed:
                    del self._read[key]
            for address in sorted(followed):
                if (name, address) in self.unreachable:
                    relay.record_silence(address)
                    self._read.pop((name, address), None)
                else:
                    self._read_events(name, relay, address)

    def _read_events(self, name, relay, address) -> None:
        epoch, seen = self._read.get((name, address), (0, set()))
        is_first = epoch != self.epochs[address]
        if is_first:
            seen = set()
        parts = self.truth[address]
        changes = [
            PartChange(part in parts, PartKey(SALT, part))
            for part in sorted(parts ^ seen)
        ]
        self._read[name, address] = (self.epochs[address], set(parts))
        relay.record_changes(
            address,
            CacheChanges(self.epochs[address], 1, False, tuple(changes)),
            is_first,
        )

    def flush(self) -> None:
        """Delivers what the members have to pass on."""
        for name, relay in list(self.relays.items()):
            batch = relay.take_batch()
            if batch is None:
                continue
            for other, peer in self.relays.items():
                if other != name and (other, name) not in self.cut:
                    peer.receive(name, batch.own)
                    for request in peer.take_requests().values():
                        peer.receive(name, relay.resend(request))
            if name == self.router_at:
                self.parts.receive(batch.all)

    def settle(self) -> None:
        """Polls and delivers until nothing changes any more."""
        for _ in range(6):
            self.poll()
            self.flush()

    def followers(self, source: FeedSource) -> list[str]:
        """Returns the members that follow a source."""
        return [n for n, r in self.relays.items() if source in r.followed()]

    def knows_all(self) -> bool:
        """Returns whether the router knows the parts of every source."""
        return all(
            self.index.parts_at(address).digests
            == {PartKey(SALT, part).digest for part in parts}
            for address, parts in self.truth.items()
        )


@given("{members:d} members in {centres:d} data centres")
def create_group(context, members, centres):
    context.group = Group(members, centres)


@given("{count:d} sources spread over the data centres")
def add_sources(context, count):
    context.group.set_sources(count)


@given("a router that subscribes to member {number:d}")
def subscribe_router(context, number):
    context.group.subscribe(f"m{number - 1}")


@then("each source is followed by one member of its data centre")
def check_near_followers(context):
    group = context.group
    for source in group.sources:
        (name,) = group.followers(source)
        assert group.places[name] == source.data_centre, (source, name)


@then("each source is followed by one member")
def check_one_follower(context):
    context.group.settle()
    for source in context.group.sources:
        assert len(context.group.followers(source)) == 1, source


@then("no member follows more than {most:d} sources")
def check_most_followed(context, most):
    counts = {n: len(r.followed()) for n, r in context.group.relays.items()}
    assert max(counts.values()) <= most, counts


@when("member {number:d} is lost")
def lose_member(context, number):
    context.group.settle()
    context.group.remove_member(f"m{number - 1}")


@given('the source stores part "{part}"')
def store_part(context, part):
    group = context.group
    group.truth[group.sources[0].address].add(part)
    group.settle()


@when("the follower of the source gets no answers")
def cut_follower(context):
    group = context.group
    (context.follower,) = group.followers(group.sources[0])
    group.unreachable.add((context.follower, group.sources[0].address))
    group.relays[context.follower].record_silence(group.sources[0].address)
    group.flush()
    group.flush()


def router_uses_source(context) -> bool:
    address = context.group.sources[0].address
    runner = Endpoint(
        *("r1", "1", f"http://{address}", EndpointKind.RUNNER, ("m",), "1")
    )
    return context.group.chooser.is_usable(runner, 0.0)


@then("the router does not use the source")
def check_not_used(context):
    assert not router_uses_source(context)


@when("the other members poll the sources they follow")
def poll_sources(context):
    context.group.settle()


@then('the router uses the source and knows its part "{part}"')
def check_used(context, part):
    assert router_uses_source(context)
    assert context.group.knows_all()


@when("the first follower reaches the source again")
def heal_follower(context):
    context.group.heal()
    context.group.settle()


@when("parts, members and sources change at random with seed {seed:d}")
def change_at_random(context, seed):
    group, rng = context.group, random.Random(seed)
    for _ in range(300):
        change_group(group, rng)
        if rng.random() < 0.7:
            group.poll()
        if rng.random() < 0.7:
            group.flush()
    group.heal()
    group.settle()
    # A change lets each member notice which one follows a source.
    for parts in group.truth.values():
        parts ^= {"last"}
    group.settle()


def change_group(group: Group, rng: random.Random) -> None:
    """Makes one random change."""
    address = rng.choice(group.sources).address
    away = sorted(group.places.keys() - group.relays.keys())
    match rng.randrange(20):
        case 0 if len(group.relays) > 2:
            group.remove_member(rng.choice(sorted(group.relays)))
        case 1 if away:
            group.add_member(rng.choice(away))
        case 2:
            group.epochs[address] += 1
            group.truth[address] = set()
        case 3:
            name = rng.choice(sorted(group.relays))
            group.unreachable ^= {(name, address)}
        case 4:
            name, other = rng.sample(sorted(group.relays), 2)
            if (name, other) in group.cut:
                group.connect(name, other)
            else:
                group.disconnect(name, other)
        case 5:
            group.subscribe(rng.choice(sorted(group.relays)))
        case _:
            group.truth[address] ^= {f"part-{rng.randrange(9)}"}


@then("the router knows the parts of every source")
def check_knows_all(context):
    assert context.group.knows_all()


class LoadNetwork:
    """Routers that report loads to members, with messages under way."""

    def __init__(self, routers: int, members: int):
        self.relays = [LoadRelay() for _ in range(members)]
        self.own = [collections.Counter() for _ in range(routers)]
        self.peers = [PeerLoads() for _ in range(routers)]
        # Messages from routers that have not arrived, in order.
        self.under_way: list[list[LoadChanges]] = [[] for _ in range(routers)]

    def loads(self, router: int) -> tuple[EndpointLoad, ...]:
        """Returns a router's own loads."""
        return tuple(
            EndpointLoad(endpoint, count, 64 * count, 128 * count)
            for endpoint, count in self.own[router].items()
            if count
        )

    def report(self, router: int) -> None:
        """Sends the report of a router."""
        message = self.peers[router].take_changes(self.loads(router))
        if message is not None:
            self.under_way[router].append(message)

    def deliver(self, router: int) -> None:
        """Delivers the reports of a router, and confirms them."""
        relay = self.relays[router % len(self.relays)]
        for message in self.under_way[router]:
            loads = unpack_loads(message.packed)
            relay.apply(router, loads, is_member=False)
            self.peers[router].confirm(message.number)
        self.under_way[router].clear()

    def flush(self) -> None:
        """Passes the loads on among members, and to their routers."""
        for number, relay in enumerate(self.relays):
            changes = relay.local.take_changes()
            for other in self.relays:
                if other is not relay:
                    other.apply(f"member-{number}", changes, is_member=True)
        for number, relay in enumerate(self.relays):
            totals = relay.total.take_changes()
            for peer in self.peers[number :: len(self.relays)]:
                peer.receive(totals)


@given("{routers:d} routers that report their loads to {members:d} members")
def create_load_network(context, routers, members):
    context.network = LoadNetwork(routers, members)


@when("requests start and end at random with seed {seed:d}")
def change_loads(context, seed):
    network, rng = context.network, random.Random(seed)
    routers = range(len(network.own))
    for _ in range(2_000):
        router = rng.choice(routers)
        endpoint = rng.randrange(6)
        if rng.random() < 0.5:
            network.own[router][endpoint] += 1
        elif network.own[router][endpoint]:
            network.own[router][endpoint] -= 1
        network.report(router)
        if rng.random() < 0.3:
            network.deliver(rng.choice(routers))
        if rng.random() < 0.1:
            network.flush()
    for router in routers:
        network.deliver(router)
    network.flush()


@then("each router knows the load of the others")
def check_peer_loads(context):
    network = context.network
    total = sum(network.own, collections.Counter())
    for router, peer in enumerate(network.peers):
        expected = {
            endpoint: count - network.own[router][endpoint]
            for endpoint, count in total.items()
            if count > network.own[router][endpoint]
        }
        found = {load.endpoint: load.requests for load in peer.others()}
        assert found == expected, (router, found, expected)


@when("router {number:d} is lost")
def lose_router(context, number):
    network = context.network
    router = number - 1
    network.relays[router % len(network.relays)].remove(router, False)
    network.own[router].clear()
    network.flush()


@then("no member counts its requests")
def check_loads_removed(context):
    total = sum(context.network.own, collections.Counter())
    for relay in context.network.relays:
        for endpoint, count in total.items():
            found = relay.total.load_of(endpoint).requests
            assert found == count, (endpoint, found, count)


class CountingLink:
    """Counts the messages and bytes that a subscriber receives."""

    peer = "subscriber"

    def __init__(self):
        self.messages = 0
        self.bytes = 0

    def send(self, message: object) -> None:
        """Encodes and counts a message."""
        self.send_encoded(CONTROL.encode(message))

    def send_encoded(self, message: bytes) -> None:
        """Counts a message."""
        self.messages += 1
        self.bytes += len(message)


@given(
    "{routers:d} subscribed routers, {members:d} members and {runners:d}"
    " runners"
)
def create_member_relay(context, routers, members, runners):
    """Creates one of the members, to which its share of routers subscribes."""
    context.clock = ManualClock()
    context.timers = Timers(context.clock)
    context.relay = MemberRelay(
        *("m0", "z0", context.clock, create_metrics(None, 0, "m0"), None)
    )
    context.relay.start(None, context.timers)
    context.runners = [endpoint_digest(f"i-{i}") for i in range(runners)]
    sources = [FeedSource(f"10.0.0.{i}:80", "z0") for i in range(runners)]
    context.relay.set_sources(sources)
    context.sources = [s.address for s in sources]
    context.links = [CountingLink() for _ in range(-(-routers // members))]
    for number, link in enumerate(context.links):
        context.relay.handle(link, Subscribe(f"router-{number}", "z0"))


@when("{rate:d} requests a second are served for {seconds:d} s")
def serve_requests(context, rate, seconds):
    """Serves requests that store and evict three parts each.

    Each request changes the load of its runner three times: when it is sent,
    when its prompt is read and when it ends.
    """
    rng, number = random.Random(1), 0
    clock, relay = context.clock, context.relay
    for link in context.links:
        link.messages = link.bytes = 0
    for _ in range(round(seconds / FLUSH_INTERVAL_S)):
        for _ in range(round(rate * FLUSH_INTERVAL_S)):
            number += 1
            for _ in range(3):
                runner, count = rng.choice(context.runners), rng.randrange(9)
                load = EndpointLoad(runner, count, number, 900 * count)
                link = rng.choice(context.links)
                relay.handle(link, LoadChanges(number, pack_loads((load,))))
            parts = [
                PartChange(
                    i < 3, PartKey(SALT, f"{number - 100 * (i // 3)}-{i % 3}")
                )
                for i in range(6)
            ]
            relay._sources.record_changes(
                rng.choice(context.sources),
                CacheChanges(1, 1, False, tuple(parts)),
                is_first=False,
            )
        clock.time += FLUSH_INTERVAL_S
        context.timers.fire()
    context.seconds = seconds


@then("no router receives more than {most:d} bytes a second")
def check_bytes(context, most):
    found = max(link.bytes for link in context.links) / context.seconds
    assert found <= most, found


@then("no router receives more than {most:d} messages a second")
def check_messages(context, most):
    found = max(link.messages for link in context.links) / context.seconds
    assert found <= most, found


class ScriptedFeed:
    """Answers each source once, and then according to `errors`.

    Attributes:
        errors: Reasons of the next errors, by address; without one the call
            gets no answer.
    """

    def __init__(self):
        self.errors: dict[str, list[RetryReason]] = {}
        self.changed = anyio.Event()
        self._answered: set[str] = set()

    def fail(self, address: str, reasons: list[RetryReason]) -> None:
        """Lets the next calls to a source fail."""
        self.errors[address] = reasons
        self.changed.set()
        self.changed = anyio.Event()

    async def cache_changes(self, address, since, wait_s) -> CacheChanges:
        """Answers the first call, and then only with errors."""
        if address not in self._answered:
            self._answered.add(address)
            return CacheChanges(1, 1, False, ())
        while not self.errors.get(address):
            await self.changed.wait()
        reason = self.errors[address].pop()
        raise ExchangeError(reason, "scripted", written=False)


class SilenceLog:
    """Records which sources are reported as silent."""

    def __init__(self):
        self.silent: set[str] = set()

    def record_changes(self, address, changes, is_first) -> None:
        """Records that a source answers."""
        self.silent.discard(address)

    def record_silence(self, address) -> None:
        """Records that a source is silent."""
        self.silent.add(address)


@given("a member that follows {count:d} runners which answered {age:f} s ago")
def create_feeds(context, count, age):
    context.feed, context.silence = ScriptedFeed(), SilenceLog()
    context.sources = {FeedSource(f"r{i + 1}", "z") for i in range(count)}
    context.age = age
    context.actions = []


def run_feeds(context) -> None:
    """Runs the recorded actions while the sources are followed."""

    async def run():
        clock = ManualClock()
        async with anyio.create_task_group() as group:
            feeds = CacheFeeds(
                *(context.feed, context.silence, clock),
                *(create_metrics(None, 0, "m"), group),
            )
            feeds.set_sources(context.sources)
            await anyio.sleep(0.05)
            clock.time += context.age
            for action in context.actions:
                await action(feeds, clock)
            feeds.check_silence(clock.now())
            group.cancel_scope.cancel()

    anyio.run(run)


@when("the member is paused for {pause:d} s")
def pause_member(context, pause):
    async def action(feeds, clock):
        clock.time += pause
        feeds.exclude_pause(pause)

    context.actions.append(action)


@then("no runner counts as silent")
def check_none_silent(context):
    run_feeds(context)
    assert context.silence.silent == set()


@then(
    "all {count:d} runners count as silent after {seconds:d} s without an"
    " answer"
)
def check_all_silent(context, count, seconds):
    async def action(feeds, clock):
        clock.time += seconds

    context.feed = ScriptedFeed()
    context.actions.append(action)
    run_feeds(context)
    assert len(context.silence.silent) == count


@when("runner {number:d} refuses {count:d} connections")
def refuse_connections(context, number, count):
    async def action(feeds, clock):
        context.feed.fail(f"r{number}", [RetryReason.CONNECT_REFUSED] * count)
        await anyio.sleep(0.6)

    context.actions.append(action)


@then("only runner {number:d} counts as silent")
def check_only_silent(context, number):
    run_feeds(context)
    assert context.silence.silent == {f"r{number}"}


@when("runner {number:d} answers only with errors for {seconds:d} s")
def answer_with_errors(context, number, seconds):
    async def action(feeds, clock):
        for _ in range(seconds):
            clock.time += 1.0
            context.feed.fail(f"r{number}", [RetryReason.ENDPOINT_ERROR])
            await anyio.sleep(0.4)

    context.actions.append(action)


@then("runner {number:d} does not count as silent")
def check_not_silent(context, number):
    run_feeds(context)
    assert f"r{number}" not in context.silence.silent


MALFORMED = {
    "digests of 7 bytes": Relayed(
        (SourceSnapshot(1, "10.0.0.0:80", b"7 bytes"),)
    ),
    "changes of an unknown source": Relayed(
        changes=(SourceChanges(77, b"1234", b""),), silent=(78,)
    ),
}


@when("member 1 receives {message} from member 2")
def receive_malformed(context, message):
    group = context.group
    group.settle()
    context.error = None
    try:
        group.relays["m0"].receive("m1", MALFORMED[message])
    except ValueError as exc:
        context.error = exc


@then("the message is refused")
def check_message_refused(context):
    """Nothing that the message named has become known."""
    group = context.group
    group.settle()
    group.subscribe("m0")
    assert group.knows_all()
