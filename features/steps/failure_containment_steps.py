"""Steps for errors that must not spread to the whole process."""

import functools
import io
import json
import logging
import pathlib
import shutil
import tempfile

import anyio
import anyio.abc
import attrs
from behave import given, then, when

from knapweedarch import control, links, logs, process, replica
from knapweedarch.exceptions import JournalError, LinkError, ReplicaError
from knapweedarch.journal import open_journal
from knapweedarch.member import create_member
from knapweedarch.metrics import create_metrics
from knapweedarch.relay_client import RelayClient
from knapweedarch.relay_messages import Subscribed
from knapweedarch.relayed_parts import RelayedParts
from knapweedarch.settings import Address, MemberSettings
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import Clock

CREDENTIAL = "credential of the failure scenarios"
STEP_TIMEOUT_S = 5.0


def open_member(context, name: str = "a"):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    settings = MemberSettings(
        name=name,
        data_centre="z",
        credential=CREDENTIAL,
        members=(),
        listen=Address("127.0.0.1", 0),
        data_folder=pathlib.Path(folder),
    )
    return create_member(settings, Clock(), create_metrics(None, 0, name))


@given("a member with links to no other member yet")
def create_lonely_member(context):
    context.member = open_member(context)


@when("another member is added and removed before its link is opened")
def add_and_remove_peer(context):
    async def run():
        with anyio.fail_after(STEP_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                await group.start(context.member.run)
                peers = context.member._peers
                peers.set_members([control.MemberAddress("b", "127.0.0.1", 1)])
                peers.set_members([])
                await anyio.sleep(0.1)
                context.runs = not group.cancel_scope.cancel_called
                group.cancel_scope.cancel()

    context.runs = False
    anyio.run(run)


@then("the member still runs")
def check_runs(context):
    assert context.runs


@given("a blank member of a group of 3")
def create_blank_member(context):
    context.member = open_member(context)
    identity = context.member._journal.identity
    others = [("b", "bb" * 8), ("c", "cc" * 8)]
    context.form = control.Form(
        tuple(
            control.FormMember(name, i, "127.0.0.1", 1)
            for name, i in [("a", identity), *others]
        )
    )


@when("the leader's message of a later term arrives before the first entry")
def receive_append(context):
    member = context.member
    append = replica.AppendRequest(
        *("bb" * 8, member._journal.identity, 3, 5, 3, (), 5, 0.0)
    )
    member._replica.receive("b", append, Clock().now())
    anyio.run(member._writer.save, member._replica.take_output())


@when("the member is asked to form the group")
def ask_to_form(context):
    context.reply = anyio.run(context.member._handle, None, context.form)


@when("the member is asked to form the group with another identity for it")
def ask_with_other_identity(context):
    members = [
        attrs.evolve(m, identity="aa" * 8) if m.name == "a" else m
        for m in context.form.members
    ]
    message = control.Form(tuple(members))
    context.reply = anyio.run(context.member._handle, None, message)


@then("it refuses, and forms the group that lists it")
def check_refused_then_formed(context):
    assert isinstance(context.reply, control.Refused), context.reply
    assert context.member._journal.blank
    reply = anyio.run(context.member._handle, None, context.form)
    assert reply == control.Formed(), reply


class StubLink:
    """A link that only tells who sent a message."""


@when("two processes ask who it is, one after the other")
def ask_who_it_is(context):
    context.links = [StubLink(), StubLink()]
    for link in context.links:
        anyio.run(context.member._handle, link, control.Describe())


@then("it refuses the group of the first one and forms that of the second one")
def check_newest_forms(context):
    first, second = context.links
    earlier = [
        attrs.evolve(m, identity="dd" * 8) if m.name == "b" else m
        for m in context.form.members
    ]
    ask = context.member._handle
    reply = anyio.run(ask, first, control.Form(tuple(earlier)))
    assert isinstance(reply, control.Refused), reply
    reply = anyio.run(ask, second, context.form)
    assert reply == control.Formed(), reply


@then("it answers that the group is formed")
def check_formed(context):
    assert context.reply == control.Formed(), context.reply


@then("the member holds the first entry in term {term:d}, also after a restart")
def check_first_entry(context, term):
    assert context.reply == control.Formed(), context.reply
    member = context.member
    identities = [m.identity for m in context.form.members]
    assert [m.identity for m in member._replica.members] == identities
    assert member.term == term, member.term
    member._journal.close()
    journal = open_journal(str(member._settings.data_folder))
    context.add_cleanup(journal.close)
    assert len(journal.restored.entries) == 1, journal.restored
    assert journal.restored.hard_state.term == term, journal.restored


@then("it grants no vote while that leader may hold its lease")
def check_no_vote(context):
    request = replica.VoteRequest("cc" * 8, 4, 1, 1, False, False, False)
    context.member._replica.receive("c", request, Clock().now())
    output = context.member._replica.take_output()
    votes = [m for _, m in output.messages if isinstance(m, replica.VoteReply)]
    assert votes and not any(v.granted for v in votes), output


ERRORS = {
    "an unexpected error": KeyError("unexpected"),
    "a journal error": JournalError("the disk failed"),
}


@given("a server whose handler raises {error} for some messages")
def set_handler_error(context, error):
    context.error = ERRORS[error]


async def handle(error: Exception, link: links.Link, message: object):
    """Fails for the name "bad", and answers any other name."""
    match message:
        case control.Describe():
            return control.Description("server", "00", True)
        case control.Hello(name="bad"):
            raise error
    return None


async def serve_clients(context) -> None:
    """Runs a server and two clients, of which one sends the message."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    handler = functools.partial(handle, context.error)
    secret = CREDENTIAL.encode()

    async def serve():
        await links.serve(
            *(listener, secret, control.CONTROL, handler, lambda exc: None)
        )

    async def connect(group):
        link = await links.connect(
            *("127.0.0.1", port, secret, control.CONTROL, handler)
        )
        group.start_soon(link.run)
        return link

    with anyio.fail_after(STEP_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(serve)
            bad, good = await connect(group), await connect(group)
            bad.send(control.Hello("bad", "00"))
            await bad.closed.wait()
            try:
                context.answer = await good.call(control.Describe(), 1.0)
            except LinkError as exc:
                context.answer = exc
            group.cancel_scope.cancel()


@given("a member that closes the first subscription of a router {when_closed}")
def closing_member(context, when_closed):
    context.when_closed = when_closed


async def subscribe_to_closing_member(context) -> None:
    """Runs a router's subscription until the member has kept one."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    secret = CREDENTIAL.encode()
    subscribers = []

    async def answer(link: links.Link, message: object) -> None:
        is_first = not subscribers
        subscribers.append(link)
        if not is_first or context.when_closed != "before it answers":
            is_far = is_first and "far off" in context.when_closed
            link.send(Subscribed("a", "far" if is_far else "near", ()))
            await anyio.sleep(0.05)
        if is_first:
            link.close()

    relay = RelayClient(
        *("r", "near", secret, [control.MemberAddress("a", "127.0.0.1", port)]),
        *(RelayedParts(PartsIndex(), None), lambda loads: None),
    )
    subscribed_again = anyio.Event()

    def on_subscribed() -> None:
        if len(subscribers) > 1:
            subscribed_again.set()

    relay.on_subscribed.append(on_subscribed)
    with anyio.fail_after(STEP_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(
                *(links.serve, listener, secret, control.CONTROL, answer),
                lambda exc: None,
            )
            group.start_soon(relay.run)
            await subscribed_again.wait()
            context.has_subscribed = True
            group.cancel_scope.cancel()


@when("the router subscribes")
def router_subscribes(context):
    context.has_subscribed = False
    anyio.run(subscribe_to_closing_member, context)


@then("the router still runs and has subscribed again")
def check_subscribed_again(context):
    assert context.has_subscribed


@when("a client sends such a message")
def send_bad_message(context):
    context.answer = context.failure = None
    try:
        anyio.run(serve_clients, context)
    except BaseException as exc:
        context.failure = exc


@then("only that client's link closes")
def check_server_runs(context):
    assert context.failure is None, context.failure


@then("another client still gets answers")
def check_other_client(context):
    assert isinstance(context.answer, control.Description), context.answer


@then("the server ends with the journal error")
def check_server_ended(context):
    errors = list(process.leaf_errors(context.failure))
    assert context.error in errors, errors


async def fail_with(error: Exception) -> None:
    """Raises an error, in nested groups unless it is a replica error."""
    if isinstance(error, ReplicaError):
        raise error
    async with anyio.create_task_group(), anyio.create_task_group():
        raise error


PROCESS_ERRORS = {
    "a key error in a nested group": KeyError("name"),
    "a journal error in a nested group": JournalError("the disk failed"),
    "a replica error": ReplicaError("entries conflict"),
}


@when("a process ends with {error}")
def end_process(context, error):
    stream = io.StringIO()
    logger = logging.getLogger("knapweedarch")
    handlers = list(logger.handlers)
    context.add_cleanup(setattr, logger, "handlers", handlers)
    logs.setup_logging("info", stream)
    context.code = None
    try:
        process.run_process(fail_with, PROCESS_ERRORS[error])
    except SystemExit as exc:
        context.code = exc.code
    for handler in logger.handlers:
        handler.flush()
    context.lines = [json.loads(x) for x in stream.getvalue().splitlines()]


@then('it logs "{event}" and exits with code {code:d}')
def check_failure_logged(context, event, code):
    names = [line["event_name"] for line in context.lines]
    assert names == [event], names
    assert context.code == code
