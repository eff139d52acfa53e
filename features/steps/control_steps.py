"""Steps for the control client, the control state and the member."""

import pathlib
import shutil
import subprocess
import sys
import tempfile

import anyio
import attrs
from behave import given, then, when

from features.hanging_address import hanging_address
from knapweedarch import control, links, replica, state
from knapweedarch.dispatcher import Dispatcher
from knapweedarch.endpoint_table import EndpointTable
from knapweedarch.exceptions import ControlError, LinkError
from knapweedarch.member import create_member
from knapweedarch.metrics import create_metrics
from knapweedarch.models import (
    Attempt,
    Dispatch,
    Endpoint,
    EndpointKind,
    EndpointStatus,
    ModelRule,
    Priority,
    Rules,
    Ticket,
    Wait,
)
from knapweedarch.orders import Rollout
from knapweedarch.settings import Address, MemberSettings
from knapweedarch.timers import Clock, ManualClock, Timers
from standins.deployment import CREDENTIAL, ROOT, Deployment

RULES_COMMAND = state.PutRules("a", 0, "model guide  # asked by T: x\n")


def submit(members, command, timeout_s):
    """Submits a command; returns its result or the reason for its failure."""

    async def run():
        client = control.create_control_client(
            members, CREDENTIAL.encode(), Clock()
        )
        async with client:
            try:
                return await client.submit(command, timeout_s)
            except ControlError as exc:
                return exc.reason

    return anyio.run(run)


def apply(machine, command):
    """Applies a command to a control state; returns the decoded result."""
    data = machine.apply(state.COMMANDS.encode(command))
    return state.RESULTS.decode(data)


@given("a member that drops the first command and redirects all later ones")
def dropping_and_redirecting_member(context):
    context.received_commands = 0


@when("a command is submitted")
def submit_command(context):
    async def handle(link, message):
        context.received_commands += 1
        if context.received_commands == 1:
            link.close()
            return None
        return control.Redirect("")

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = control.MemberAddress("m", "127.0.0.1", port)
        async with anyio.create_task_group() as group:
            group.start_soon(
                *(links.serve, listener, CREDENTIAL.encode()),
                *(control.CONTROL, handle, print),
            )
            client = control.create_control_client(
                [address], CREDENTIAL.encode(), Clock()
            )
            async with client:
                try:
                    await client.submit(RULES_COMMAND, 1.0)
                except ControlError as exc:
                    context.reason = exc.reason
            group.cancel_scope.cancel()

    anyio.run(run)
    assert context.received_commands > 1, context.received_commands


@then("the command ends as {reason}")
def command_ends(context, reason):
    assert context.reason == reason, context.reason


@given('the rules were replaced under request id "a"')
def rules_replaced(context):
    context.machine = state.ControlState()
    assert apply(context.machine, RULES_COMMAND) == state.RulesAccepted(1)


@then('the same command under request id "a" gets the first answer')
def same_command_again(context):
    assert apply(context.machine, RULES_COMMAND) == state.RulesAccepted(1)
    assert context.machine.rules_version == 1


@then('another command under request id "a" is refused as RequestIdReused')
def other_command(context):
    other = attrs.evolve(RULES_COMMAND, base_version=1)
    assert apply(context.machine, other) == state.RequestIdReused()
    assert context.machine.rules_version == 1


def endpoint(number, **changes):
    """Builds a runner that serves one model; `changes` replace fields."""
    return Endpoint(
        *(f"r{number}", f"i{number}", "http://127.0.0.1:1"),
        **{"kind": EndpointKind.RUNNER, "serves": ("guide",), **changes},
    )


@given("a full endpoint table in which two endpoints left")
def full_table(context):
    context.machine = state.ControlState()
    for number in range(state.MAX_ENDPOINTS):
        apply(context.machine, state.Announce(endpoint(number)))
    for number in (9, 4):
        apply(context.machine, state.Retire(f"retire-{number}", f"r{number}"))


@when("a new endpoint announces itself")
def announce_new(context):
    context.result = apply(context.machine, state.Announce(endpoint("new")))


@then("it is accepted and the endpoint that left first is gone")
def first_departed_removed(context):
    assert context.result.status is EndpointStatus.ACTIVE
    known = context.machine.endpoints
    assert len(known) == state.MAX_ENDPOINTS
    assert "rnew" in known and "r4" in known and "r9" not in known


@given("a runner that serves two models and rules that set w2 and w3 for them")
def two_models(context):
    context.runner = endpoint(1, serves=("guide", "scribe"))
    context.rules = Rules(
        models=(ModelRule("guide", "w2"), ModelRule("scribe", "w3"))
    )


@then("it gets exactly {count:d} load order")
def load_orders(context, count):
    rollout, order_count, runner = Rollout(), 0, context.runner
    for step in range(100):
        for order in rollout.next_orders(context.rules, [runner], step * 1.0):
            order_count += 1
            runner = attrs.evolve(runner, weights_version=order.version)
    assert order_count == count, order_count


@given("a deployment of 1 member")
def one_member(context):
    cluster = context.cluster = Deployment(members=1)
    context.closing.append(lambda: cluster.__exit__(None, None, None))
    cluster.start_member("member-1")
    context.members = [control.MemberAddress(**m) for m in cluster.members]

    async def form():
        client = control.create_control_client(
            context.members, CREDENTIAL.encode(), Clock()
        )
        async with client:
            await client.form(context.members)

    anyio.run(form)


@when("an operator submits rules that do not parse")
def submit_faulty(context):
    command = state.PutRules("b", 0, "modle guide\n")
    context.reason = submit(context.members, command, 10)


@then("the rules version is still {version:d}")
def still_version(context, version):
    # Based on `version`, so that it conflicts if the version has changed.
    command = state.PutRules("c", version, RULES_COMMAND.text)
    result = submit(context.members, command, 10)
    assert result == state.RulesAccepted(version + 1), result


@when("the daemon is started with settings of the tool")
def daemon_with_tool_settings(context):
    path = Deployment(members=1).write_tool_settings()
    context.done = subprocess.run(
        [
            *(sys.executable, "-m", "knapweedarch.daemon", "--settings"),
            path,
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )


@then('it exits with code {code:d} and names "{word}"')
def exits_with(context, code, word):
    assert context.done.returncode == code, context.done
    assert word in context.done.stderr
    assert "Traceback" not in context.done.stderr


@given("a router that knows an active endpoint")
def router_knows(context):
    class StubScheduler:
        def set_endpoints(self, endpoints, now):
            """Ignores the endpoints."""

    context.known = endpoint(1, kind=EndpointKind.SERVICE)
    context.endpoints = EndpointTable(
        StubScheduler(), None, Clock(), None, {}, "seed"
    )
    context.endpoints.update([state.EndpointEntry(context.known, 1)])


@then("its announcement is not forwarded")
def announcement_not_forwarded(context):
    assert not context.endpoints.needs_announcement(context.known)


@then("its announcement with another incarnation is forwarded")
def new_incarnation_forwarded(context):
    changed = attrs.evolve(context.known, incarnation="other")
    assert context.endpoints.needs_announcement(changed)


@then("its announcement as leaving is forwarded until the members have replied")
def leaving_status_forwarded(context):
    leaving = attrs.evolve(context.known, status=EndpointStatus.LEAVING)
    context.endpoints.update([state.EndpointEntry(leaving, 2)])
    assert context.endpoints.needs_announcement(leaving)
    context.endpoints.mark_announced(leaving)
    assert not context.endpoints.needs_announcement(leaving)


@given("a request that waits for its decision")
def waiting_request(context):
    ticket = Ticket("t", "c", "guide", Priority.GUEST, (), 10, 10, 9.0)
    dispatch = Dispatch(Attempt(1, ticket, endpoint(1)))

    class SingleDecisionScheduler:
        def __init__(self):
            self.results = []

        def submit(self, ticket, now):
            """Makes the request wait."""
            return Wait()

        def poll(self, now):
            """Decides at the first poll."""
            return [(ticket.id, dispatch)]

        def finished(self, attempt, result, now):
            """Records the end of an attempt."""
            self.results.append((attempt.number, result.cancelled))

    context.ticket, context.scheduler = ticket, SingleDecisionScheduler()


@when("its caller leaves at the moment of the decision")
def caller_leaves(context):
    async def run():
        clock = ManualClock()
        timers = Timers(clock)
        dispatcher = Dispatcher(context.scheduler, timers)
        async with anyio.create_task_group() as group:
            group.start_soon(dispatcher.place, context.ticket)
            await anyio.wait_all_tasks_blocked()
            clock.time = 1.0
            group.cancel_scope.cancel()
            timers.fire()

    anyio.run(run)


@then("the attempt is finished as cancelled")
def finished_as_cancelled(context):
    assert context.scheduler.results == [(1, True)], context.scheduler.results


@given("an address where connection attempts hang")
def address_that_hangs(context):
    hanging = hanging_address()
    context.hanging = hanging.__enter__()
    context.add_cleanup(hanging.__exit__, None, None, None)


@when("a link to it is opened")
def open_link(context):
    async def run():
        host, port = context.hanging
        began_at = anyio.current_time()
        try:
            await links.connect(
                *(host, port, CREDENTIAL.encode()),
                *(control.CONTROL, lambda link, message: None),
            )
        except LinkError:
            context.elapsed_s = anyio.current_time() - began_at

    anyio.run(run)


@then("the attempt fails within {limit:f} s")
def not_connected(context, limit):
    # The lower bound rules out a refused connection, which fails at once.
    assert 0.1 <= context.elapsed_s <= limit, context.elapsed_s


class RecordingLink:
    """Link that records the messages sent over it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Records a message."""
        self.sent.append(message)


@given('a member that has not connected to member "{name}" yet')
def unreached_peer(context, name):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    names = ("a", name)
    settings = MemberSettings(
        name="a",
        data_centre="z",
        credential=CREDENTIAL,
        members=tuple(control.MemberAddress(n, "127.0.0.1", 1) for n in names),
        listen=Address("127.0.0.1", 0),
        data_folder=pathlib.Path(folder),
    )
    context.member = create_member(
        settings, ManualClock(), create_metrics(None, 0, "a")
    )


@when('member "{name}" opens a link and identifies itself')
def peer_opens_link(context, name):
    context.link = RecordingLink()
    hello = control.Hello(name, "00")
    anyio.run(context.member._handle, context.link, hello)


def send_to(context, name):
    reply = replica.VoteReply("00", 1, False, True)
    data = replica.MESSAGES.encode(reply)
    context.member._peers.send(name, control.Peer("a", data))
    return len(context.link.sent)


@then('messages to member "{name}" are sent over that link')
def messages_sent_over_link(context, name):
    assert send_to(context, name) == 1


@when("that link closes")
def link_closes(context):
    context.member._on_link_closed(context.link)
    context.link.sent.clear()


@then('messages to member "{name}" are not sent')
def messages_not_sent(context, name):
    assert send_to(context, name) == 0
