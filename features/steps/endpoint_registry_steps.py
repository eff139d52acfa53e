"""Steps for the leader's registry of endpoints, without a replica."""

import anyio
import attrs
from behave import given, then, when

from knapweedarch import control
from knapweedarch.endpoint_registry import EndpointRegistry
from knapweedarch.exceptions import NotLeaderError
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Announce,
    ControlState,
    NameWeights,
)
from knapweedarch.timers import ManualClock

MODEL = "m"
SILENT_S = 4.8


class Log:
    """Applies commands as a group of one would.

    Attributes:
        state: The state that the commands change.
        leads: Whether commands are taken.
        answers: Whether the outcome of a command becomes known.
    """

    def __init__(self):
        self.state = ControlState()
        self.leads = self.answers = True

    async def propose(self, command: object) -> object | None:
        """Commits a command."""
        if not self.leads:
            raise NotLeaderError("another member leads")
        if not self.answers:
            return None
        return RESULTS.decode(self.state.apply(COMMANDS.encode(command)))

    def store(self, command: object) -> None:
        """Commits a command from a step."""
        anyio.run(self.propose, command)


def runner(name, weights, incarnation="100", port=80):
    return Endpoint(
        *(name, incarnation, f"http://10.0.0.1:{port}"),
        *(EndpointKind.RUNNER, ("models", MODEL), str(weights)),
    )


def tell(context, endpoint):
    heartbeat = control.Heartbeat(endpoint, 1)
    return anyio.run(context.registry.note, heartbeat)


@given('active runner "{name}" with weights {weights:d}')
def active_runner(context, name, weights):
    context.log = Log()
    context.log.store(Announce(runner(name, weights)))
    context.registry = EndpointRegistry(
        context.log.state, ManualClock(), context.log.propose, SILENT_S
    )


@given('runner "{name}" with weights {weights:d} is {status}')
def runner_is(context, name, weights, status):
    if status != "unknown":
        endpoint = runner(name, weights, port=81)
        context.log.store(
            Announce(attrs.evolve(endpoint, status=EndpointStatus(status)))
        )


@given("weights {version:d} are named")
def weights_named(context, version):
    context.log.store(NameWeights(MODEL, version))


@when('runner "{name}" sends a heartbeat with weights {weights:d}')
def heartbeat(context, name, weights):
    told = tell(context, runner(name, weights, port=81))
    assert told == control.HeartbeatNoted(), told


@when('runner "{name}" starts later at the address of runner "{other}"')
def starts_later(context, name, other):
    tell(context, runner(name, 1, incarnation="200"))


@when("the member loses the lead")
def loses_lead(context):
    context.log.leads = False


@when("the leader changes before the commit")
def leader_changes(context):
    context.log.answers = False


@then('runner "{name}" is {status}')
def status_is(context, name, status):
    found = context.log.state.endpoints[name].endpoint.status
    assert found is EndpointStatus(status), found


@then("a heartbeat of a new runner raises an error and stores nothing")
def raises(context):
    try:
        tell(context, runner("n", 1, port=82))
    except NotLeaderError:
        assert "n" not in context.log.state.endpoints
    else:
        raise AssertionError("the heartbeat was confirmed")


@then("the heartbeat of a new runner is refused as {reason}")
def refused(context, reason):
    told = tell(context, runner("n", 1, port=82))
    assert isinstance(told, control.Refused), told
    assert told.reason == reason, told


@when("the leader is known again")
def leader_known(context):
    context.log.answers = True


@then("the same heartbeat is confirmed and stored")
def confirmed(context):
    told = tell(context, runner("n", 1, port=82))
    assert told == control.HeartbeatNoted(), told
    assert "n" in context.log.state.endpoints
