"""Steps for clients that look for the leader."""

import pathlib
import random
import shutil
import socket
import struct
import tempfile

import anyio
import anyio.abc
from behave import given, then, when

from features.hanging_address import hanging_address
from knapweedarch import control, links
from knapweedarch.exceptions import ControlError
from knapweedarch.member import create_member
from knapweedarch.member_directory import MemberDirectory
from knapweedarch.metrics import create_metrics
from knapweedarch.settings import Address, MemberSettings
from knapweedarch.settings_watch import watch_settings
from knapweedarch.timers import Clock
from standins.deployment import CREDENTIAL
from standins.relay import Relay

HOST = "127.0.0.1"


class Search:
    """A client and the members that it may find.

    Attributes:
        seeds: Addresses that the client begins with.
        lists: Lists of members that it is told, one after the other.
        outcomes: What the requests returned, or why they failed.
        before: Called with the client before the requests, in order.
        slowest_s: Longest time in seconds that a request took.
        group: Tasks of the members while an action runs.
    """

    def __init__(self):
        self.seeds = []
        self.lists = []
        self.outcomes = []
        self.before = []
        self.slowest_s = 0.0
        self._listening = []

    def add_member(self, name, handle, after_s=0.0):
        """Adds a member that answers with `handle`; returns its address.

        It accepts no connections for `after_s` seconds, but does not refuse
        them.
        """
        sock = socket.create_server((HOST, 0))
        self._listening.append((sock, handle, after_s))
        return control.MemberAddress(name, *sock.getsockname())

    def run(self, action):
        """Runs an action with the client while the members listen."""

        async def run():
            async with anyio.create_task_group() as group:
                self.group = group
                for listening in self._listening:
                    group.start_soon(self._serve, *listening)
                async with create_client(self.seeds) as client:
                    for members in self.lists:
                        client.set_members(members)
                    for prepare in self.before:
                        await prepare(client)
                    await action(client)
                group.cancel_scope.cancel()

        anyio.run(run)

    async def _serve(self, sock, handle, after_s):
        await anyio.sleep(after_s)
        listener = await anyio.abc.SocketListener.from_socket(sock)
        await links.serve(
            *(listener, CREDENTIAL.encode(), control.CONTROL, handle, print)
        )

    async def request(self, client, timeout_s, name="r"):
        """Sends a request and records its outcome."""
        began_at = anyio.current_time()
        try:
            reply = await client.request(control.FindPeers(name), timeout_s)
        except ControlError as exc:
            reply = exc
        self.outcomes.append(reply)
        taken_s = anyio.current_time() - began_at
        self.slowest_s = max(self.slowest_s, taken_s)


def create_client(seeds):
    return control.create_control_client(seeds, CREDENTIAL.encode(), Clock())


async def lead(link, message):
    """Answers as the leader."""
    return control.PeersFound(())


def gone(name):
    """Returns an address at which nothing listens."""
    with socket.create_server((HOST, 0)) as sock:
        return control.MemberAddress(name, *sock.getsockname())


@given("a client whose seeds are {seeds} and whose list is {members}")
def client_with_addresses(context, seeds, members):
    context.search = search = Search()

    def address(state, name):
        return search.add_member(name, lead) if state == "alive" else gone(name)

    search.seeds = [address(seeds, "seed"), gone("old-seed")]
    search.lists.append([gone("a"), address(members, "b"), gone("c")])


@when("the list is replaced {count:d} times by members that are gone")
def replace_list(context, count):
    for number in range(count):
        names = (f"{letter}{number}" for letter in "abc")
        context.search.lists.append([gone(name) for name in names])


@when("it sends a request with a timeout of {timeout_s:f} s")
def send_request(context, timeout_s):
    search = context.search
    search.run(lambda client: search.request(client, timeout_s))


@then("the request is answered")
def request_answered(context):
    assert context.search.outcomes == [control.PeersFound(())], (
        context.search.outcomes
    )


def addresses(prefix, number, count):
    """Returns addresses that no other number has."""
    return [
        control.MemberAddress(f"{prefix}{number}-{i}", f"{prefix}{number}", i)
        for i in range(count)
    ]


@given("a client with an open link to the leader")
def client_with_link(context):
    context.search = search = Search()
    leader = search.add_member("leader", lead)
    context.relay = Relay(HOST, (leader.host, leader.port))
    context.add_cleanup(context.relay.__exit__)
    search.seeds = [control.MemberAddress("leader", HOST, context.relay.port)]

    async def open_link(client):
        await client.request(control.FindPeers("r"), 3.0)

    search.before.append(open_link)


def without_power(context, name):
    """Returns an address at which connection attempts hang."""
    hanging = hanging_address(HOST)
    context.add_cleanup(hanging.__exit__, None, None, None)
    return control.MemberAddress(name, *hanging.__enter__())


@given("a client that knows {count:d} members without power")
def client_without_members(context, count):
    context.search = Search()
    context.search.seeds = [
        without_power(context, f"m{number}") for number in range(count)
    ]


def follower_of(search, leader):
    """Adds a member that names a leader."""

    async def redirect(link, message):
        return control.Redirect(leader.name, leader)

    return search.add_member(f"follower of {leader.name}", redirect)


@given(
    "a client that knows a follower of a leader without power, one of the"
    " leader, and another member without power"
)
def client_amid_outage(context):
    context.search = search = Search()
    old, other = (without_power(context, name) for name in ("old", "other"))
    new = search.add_member("new", lead)
    search.seeds = [follower_of(search, old), follower_of(search, new), other]


@when(
    "each of {count:d} such clients sends a request with a timeout of"
    " {timeout_s:f} s"
)
def send_from_each(context, count, timeout_s):
    search = context.search

    async def send(client):
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(send_from_new_client, timeout_s)

    async def send_from_new_client(timeout_s):
        async with create_client(search.seeds) as client:
            await search.request(client, timeout_s)

    search.run(send)
    assert len(search.outcomes) == count


@then("each request is answered")
def requests_answered(context):
    wrong = [
        str(outcome)
        for outcome in context.search.outcomes
        if outcome != control.PeersFound(())
    ]
    assert not wrong, wrong


@given("a client that knows the leader and a program that sends other frames")
def client_amid_others(context):
    context.search = search = Search()
    search.seeds = [search.add_member("leader", lead)]

    async def add_program(client):
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        search.seeds.append(control.MemberAddress("other", HOST, port))
        search.group.start_soon(listener.serve, send_other_frame)

    async def send_other_frame(stream):
        async with stream:
            await stream.send(struct.pack(">I", 3) + b"xyz")

    search.before.append(add_program)


@given(
    "a client that knows a follower of a leader that accepts after"
    " {after_s:f} s"
)
def client_of_slow_leader(context, after_s):
    context.search = search = Search()
    context.links = set()

    async def lead_and_count(link, message):
        context.links.add(link)
        return control.PeersFound(())

    leader = search.add_member("leader", lead_and_count, after_s)
    search.seeds = [follower_of(search, leader)]


@then("the last one ended after at most {limit_s:f} s")
def ended_in_time(context, limit_s):
    assert context.search.slowest_s <= limit_s, context.search.slowest_s


@given("a follower that names this leader, and another one {later_s:f} s later")
def follower_after_change(context, later_s):
    search = context.search
    (old,) = search.seeds
    new = search.add_member("new", lead)

    async def redirect(link, message):
        lost_s = anyio.current_time() - context.lost_at
        leader = new if lost_s > later_s else old
        return control.Redirect(leader.name, leader)

    follower = search.add_member("follower", redirect)

    async def add_follower(client):
        client.add_members([follower])

    search.before.append(add_follower)


@when("the leader loses power")
def leader_loses_power(context):
    async def lose_power(client):
        context.relay.set_partitioned(True)
        context.lost_at = anyio.current_time()

    context.search.before.append(lose_power)


@when("the link falls silent")
def silence_link(context):
    async def silence(client):
        assert context.relay.silence() == 1

    context.search.before.append(silence)


@given(
    "a client of a member that answers only the second call, {later_s:f} s"
    " later, and redirects the others"
)
def redirecting_member(context, later_s):
    context.search = search = Search()
    calls = context.calls = []

    async def redirect(link, message):
        calls.append(message.router)
        if len(calls) != 2:
            return control.Redirect("leader", gone("leader"))
        await anyio.sleep(later_s)
        return control.PeersFound(())

    search.seeds = [search.add_member("other", redirect)]


@given(
    "a client of a leader that never answers the first call and the second"
    " after {later_s:f} s"
)
def late_leader(context, later_s):
    context.search = search = Search()
    context.at_leader = []

    async def answer_late(link, message):
        context.at_leader.append(message)
        if len(context.at_leader) == 1:
            return None
        await anyio.sleep(later_s)
        return control.PeersFound(())

    search.seeds = [search.add_member("leader", answer_late)]


@when("it sends {count:d} requests with a timeout of {timeout_s:f} s at once")
def send_requests(context, count, timeout_s):
    send_at_once(context.search, [timeout_s] * count)


@when(
    "it sends requests with timeouts of {first_s:f} s and {second_s:f} s at"
    " once"
)
def send_two_requests(context, first_s, second_s):
    send_at_once(context.search, [first_s, second_s])


def send_at_once(search, timeouts_s):
    """Sends requests at once, over one link if the first one opens it."""

    async def send(client):
        async with anyio.create_task_group() as group:
            for number, timeout_s in enumerate(timeouts_s):
                group.start_soon(search.request, client, timeout_s, f"{number}")

    search.run(send)


@then("the leader got each request once")
def leader_got_each_once(context):
    names = sorted(message.router for message in context.at_leader)
    assert names == ["0", "1"], names


@then("the second request is answered and was sent once")
def second_answered(context):
    assert control.PeersFound(()) in context.search.outcomes
    assert context.calls.count("1") == 1, context.calls


@then("each request ends as {reason}")
def requests_end_as(context, reason):
    reasons = [outcome.reason for outcome in context.search.outcomes]
    assert reasons and set(reasons) == {reason}, reasons


@then("only the request with the longer timeout is answered")
def longer_one_answered(context):
    first, second = context.search.outcomes
    assert isinstance(first, ControlError), first
    assert first.reason == "unknown_outcome", first
    assert second == control.PeersFound(()), second


@given("a directory with {count:d} seeds")
def directory_with_seeds(context, count):
    seeds = addresses("seed", 0, count)
    context.directory = MemberDirectory(seeds, random.Random(1))


@when("the seeds, the {count:d} members and the leader change {times:d} times")
def change_addresses(context, count, times):
    for number in range(1, times + 1):
        context.newest = addresses("seed", number, 3)
        context.newest += addresses("member", number, count)
        context.directory.add_seeds(context.newest[:3])
        context.directory.set_members(context.newest[3:])
        (leader,) = addresses("leader", number, 1)
        context.directory.set_leader(leader.name, leader)
        for _ in range(20):
            context.directory.next_address(float(number))


@then("it knows at most {most:d} addresses")
def knows_few(context, most):
    assert len(context.directory.addresses()) <= most


@then("the newest seeds and members are among them")
def knows_newest(context):
    assert set(context.newest) <= set(context.directory.addresses())


@when("an attempt to connect to the first seed fails")
def first_seed_fails(context):
    context.first = context.directory.addresses()[0]
    context.directory.note_failure(context.first, 0.0)


@when("a redirect names the first seed as the leader {later_s:f} s later")
def redirect_to_first_seed(context, later_s):
    context.now = later_s
    context.directory.set_leader(context.first.name, context.first)


@then("the next {count:d} addresses are others")
def next_are_others(context, count):
    for _ in range(count):
        assert context.directory.next_address(context.now) != context.first


@then("the next address is the first seed")
def next_is_first(context):
    assert context.directory.next_address(context.now) == context.first


@given("settings that changed after they were applied")
def changed_settings(context):
    context.in_force, context.in_file = ("old-seed",), ("new-seed",)


@when("they are watched for {seconds:f} s")
def watch(context, seconds):
    context.applied = []

    async def run():
        with anyio.move_on_after(seconds):
            await watch_settings(
                lambda: context.in_file,
                context.applied.append,
                context.in_force,
            )

    anyio.run(run)


@then("the changed settings are applied once")
def applied_once(context):
    assert context.applied == [context.in_file], context.applied


@given(
    "a new member whose seed answers one request to join, and loses its disk"
)
def member_with_seed(context):
    context.search = search = Search()
    context.asked = anyio.Event()
    at_seed = []

    async def lead_later(link, message):
        if isinstance(message, control.Join):
            context.asked.set()
        return control.Joining((later,))

    later = search.add_member("later", lead_later)

    async def lead_once(link, message):
        if not isinstance(message, control.Join):
            return None
        at_seed.append(message)
        if len(at_seed) == 1:
            return control.Joining((later,))
        return control.Redirect("")

    seed = search.add_member("seed", lead_once)
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    settings = MemberSettings(
        name="new",
        data_centre="z",
        credential=CREDENTIAL,
        members=(),
        listen=Address(HOST, 0),
        data_folder=pathlib.Path(folder),
        seeds=(Address(seed.host, seed.port),),
        voters=3,
    )
    metrics = create_metrics(None, 0, "new")
    context.member = create_member(settings, Clock(), metrics)


@when(
    "it runs until another member of that list gets its request, or for"
    " {limit_s:f} s"
)
def run_member(context, limit_s):
    async def run(client):
        async with anyio.create_task_group() as group:
            await group.start(context.member.run)
            with anyio.move_on_after(limit_s):
                await context.asked.wait()
            group.cancel_scope.cancel()

    context.search.seeds = [gone("unused")]
    context.search.run(run)


@then("that member got its request to join")
def later_member_asked(context):
    assert context.asked.is_set()
