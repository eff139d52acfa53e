"""Steps for the leader's endpoint registry without a replica."""

import anyio
import attrs
from behave import given, then, when

from knapweedarch import control
from knapweedarch.deployments import Deployment, Engine, Service
from knapweedarch.endpoint_registry import EndpointRegistry
from knapweedarch.exceptions import NotLeaderError
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Announce,
    ControlState,
    NameWeights,
    PutDeployment,
)
from knapweedarch.timers import ManualClock

MODEL = "m"
SILENT_S = 4.8


class SingleMemberGroup:
    """Applies commands like a control group with a single member.

    Attributes:
        state: State that the commands change.
        is_leader: Whether commands are accepted.
        outcomes_known: Whether `propose` returns the outcome of a command.
    """

    def __init__(self):
        self.state = ControlState()
        self.is_leader = self.outcomes_known = True

    async def propose(self, command: object) -> object | None:
        """Commits a command; returns its result, or None if it is unknown.

        Raises:
            NotLeaderError: The member is not the leader.
        """
        if not self.is_leader:
            raise NotLeaderError("another member leads")
        if not self.outcomes_known:
            return None
        return RESULTS.decode(self.state.apply(COMMANDS.encode(command)))

    def store(self, command: object) -> None:
        """Commits a command outside the event loop."""
        anyio.run(self.propose, command)


def runner(name, weights, incarnation="100", port=80):
    return Endpoint(
        *(name, incarnation, f"http://10.0.0.1:{port}"),
        *(EndpointKind.RUNNER, ("models", MODEL), str(weights)),
    )


def send_heartbeat(context, endpoint, number=1):
    heartbeat = control.Heartbeat(endpoint, number)
    return anyio.run(context.registry.record_heartbeat, heartbeat)


@given('active runner "{name}" with weights {weights:d}')
def active_runner(context, name, weights):
    context.group = SingleMemberGroup()
    context.group.store(Announce(runner(name, weights)))
    context.clock = ManualClock()
    context.registry = EndpointRegistry(
        context.group.state, context.clock, context.group.propose, SILENT_S
    )


@given('runner "{name}" with weights {weights:d} is {status}')
def runner_is(context, name, weights, status):
    if status != "unknown":
        endpoint = runner(name, weights, port=81)
        context.group.store(
            Announce(attrs.evolve(endpoint, status=EndpointStatus(status)))
        )


def namesake_runner(name, weights, port):
    """Returns a runner of another model, whose service is called `MODEL`."""
    return attrs.evolve(
        runner(name, weights, port=port), serves=(MODEL, "other")
    )


@given(
    'an active runner "{name}" of a service called like the model, with'
    " weights {weights:d}"
)
def active_namesake(context, name, weights):
    active_runner(context, name, weights)
    context.group.store(Announce(namesake_runner(name, weights, 80)))


@given(
    'a runner "{name}" of the same service with weights {weights:d} is {status}'
)
def namesake_is(context, name, weights, status):
    context.namesake = namesake_runner(name, weights, 81)
    context.group.store(
        Announce(attrs.evolve(context.namesake, status=EndpointStatus(status)))
    )


@when('that runner "{name}" sends a heartbeat')
def namesake_heartbeat(context, name):
    send_heartbeat(context, context.namesake)


@given("weights {version:d} are the target")
def target_weights(context, version):
    context.group.store(NameWeights(MODEL, version))


@when('runner "{name}" sends a heartbeat with weights {weights:d}')
def heartbeat(context, name, weights):
    reply = send_heartbeat(context, runner(name, weights, port=81))
    assert reply == control.HeartbeatNoted(), reply


@when('runner "{name}" starts later at the address of runner "{other}"')
def starts_later(context, name, other):
    send_heartbeat(context, runner(name, 1, incarnation="200"))


@given('a configuration whose service "{service}" has runners')
def configured_service(context, service):
    engine = Engine(8, 1000, 1, 1.0, 1, (MODEL,))
    deployment = Deployment(1, services=(Service(service, engine=engine),))
    context.group.store(PutDeployment(deployment, b"{}"))


@when('a heartbeat of {service} without models arrives as "{name}"')
def report_without_models(context, service, name):
    endpoint = attrs.evolve(
        runner(name, 1, incarnation="200"),
        kind=EndpointKind.SERVICE,
        serves=(service,),
        weights_version="",
    )
    send_heartbeat(context, endpoint)


@given("another member becomes the leader")
def change_leader(context):
    context.registry = EndpointRegistry(
        context.group.state, context.clock, context.group.propose, SILENT_S
    )


@when(
    'a heartbeat of service "{service}" that started at {start} arrives as'
    ' "{name}"'
)
def report_earlier_start(context, service, start, name):
    endpoint = runner(name, 1, incarnation=start)
    send_heartbeat(context, attrs.evolve(endpoint, serves=(service,)))


@then('runner "{name}" is active and serves its model')
def still_serves(context, name):
    found = context.group.state.endpoints[name].endpoint
    assert found == runner(name, 1), found
    assert send_heartbeat(context, found, 2) == control.HeartbeatNoted()
    assert context.group.state.endpoints[name].endpoint == found


@when(
    'runner "{name}" sends heartbeats, and "{other}" none, until "{silent}" is '
    "silent"
)
def goes_on(context, name, other, silent):
    beats = 6
    for number in range(2, 2 + beats):
        context.clock.time += 1.1 * SILENT_S / beats
        send_heartbeat(context, runner(name, 1), number)
        anyio.run(context.registry.mark_silent)


@when("the member is no longer the leader")
def loses_leadership(context):
    context.group.is_leader = False


@when("the leader changes before the commit")
def leader_changes(context):
    context.group.outcomes_known = False


@then('runner "{name}" is {status}')
def status_is(context, name, status):
    found = context.group.state.endpoints[name].endpoint.status
    assert found is EndpointStatus(status), found


@then("a heartbeat of a new runner raises an error and stores nothing")
def raises(context):
    try:
        send_heartbeat(context, runner("n", 1, port=82))
    except NotLeaderError:
        assert "n" not in context.group.state.endpoints
    else:
        raise AssertionError("the heartbeat was confirmed")


@then("the heartbeat of a new runner is refused as {reason}")
def refused(context, reason):
    reply = send_heartbeat(context, runner("n", 1, port=82))
    assert isinstance(reply, control.Refused), reply
    assert reply.reason == reason, reply


@when("the leader is known again")
def leader_known(context):
    context.group.outcomes_known = True


@then("the same heartbeat is confirmed and stored")
def confirmed(context):
    reply = send_heartbeat(context, runner("n", 1, port=82))
    assert reply == control.HeartbeatNoted(), reply
    assert "n" in context.group.state.endpoints
