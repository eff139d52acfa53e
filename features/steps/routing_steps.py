"""Steps for configurations, heartbeats and membership."""

import attrs
from behave import given, then, when

from knapweedarch.control import Heartbeat
from knapweedarch.deployments import (
    Customer,
    Deployment,
    Repeatability,
    Route,
    RouteTable,
    Service,
    SplitShare,
)
from knapweedarch.heartbeats import HeartbeatTable
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.replica import Member
from knapweedarch.replica_membership import PeerIdentity, next_change
from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Announce,
    ChangeStatus,
    ControlState,
    DeploymentAccepted,
    PutDeployment,
)

HOST = "hut.example"
SILENT_S = 4.8


def route(name: str, prefix: str, *weights: float) -> Route:
    shares = [SplitShare(f"s{i}", w) for i, w in enumerate(weights or (1,))]
    return Route(
        name=name,
        host=HOST,
        path_prefix=prefix,
        repeatability=Repeatability.STREAM,
        timeout_s=1.0,
        goal_s=0.5,
        priority=0,
        split=tuple(shares),
    )


def deployment(version: int, *routes: Route) -> Deployment:
    services = tuple(Service(f"s{i}") for i in range(3))
    return Deployment(
        version, routes, services, customers=(Customer("c", ("k",)),)
    )


@given('routes for "{one}", "{two}" and "{three}" of one host')
def given_routes(context, one, two, three):
    routes = [route(prefix, prefix) for prefix in (one, two, three)]
    context.routes = RouteTable(deployment(1, *routes))


@then('path "{a}" selects "{one}" and path "{b}" selects "{two}"')
def selects(context, a, one, b, two):
    assert context.routes.route(HOST, a).name == one
    assert context.routes.route(HOST.upper(), b).name == two


@then('path "{path}" selects "{name}" and another host selects none')
def selects_none(context, path, name):
    assert context.routes.route(HOST, path).name == name
    assert context.routes.route("other.example", path) is None


@given("a route split {one:d} to {two:d} to {three:d}")
def split_route(context, one, two, three):
    context.route = route("r", "/", one, two, three)
    context.routes = RouteTable(deployment(1, context.route))


@then(
    "{count:d} evenly spaced draws give {one:d}, {two:d} and {three:d} requests"
)
def draws(context, count, one, two, three):
    chosen = [
        context.routes.choose_service(context.route, i / count)
        for i in range(count)
    ]
    assert [chosen.count(f"s{i}") for i in range(3)] == [one, two, three]


@given("a control state")
def control_state(context):
    context.state, context.results = ControlState(), []


def submit(context, version: int, sender: str) -> None:
    command = PutDeployment(
        deployment(version, route(sender, "/")), f"{sender}".encode()
    )
    result = context.state.apply(COMMANDS.encode(command))
    context.results.append(RESULTS.decode(result))


@when("configurations 5, 3, 5 and 9 are submitted")
def submit_four(context):
    submit(context, 5, "one")
    submit(context, 3, "two")
    submit(context, 5, "two")
    submit(context, 9, "one")


@when("configuration 5 is submitted twice with different routes")
def submit_two(context):
    submit(context, 5, "one")
    submit(context, 5, "two")


@then(
    "each is accepted and configuration {version:d} of the first sender is in"
    " force"
)
def in_force(context, version):
    assert all(isinstance(r, DeploymentAccepted) for r in context.results)
    assert context.results[-1].version == version
    assert context.state.deployment.version == version
    assert context.state.document == b"one"


@then("a snapshot restores it")
def restored(context):
    other = ControlState()
    other.restore(context.state.snapshot())
    assert other.deployment == context.state.deployment
    assert other.document == context.state.document


def endpoint(incarnation: str = "1", weights: str = "1") -> Endpoint:
    return Endpoint(
        *("e", incarnation, "http://127.0.0.1:1", EndpointKind.RUNNER),
        *(("s0", "m"), weights),
    )


def apply(context, command: object) -> None:
    context.state.apply(COMMANDS.encode(command))


@given("an endpoint that announced itself")
def announced(context):
    apply(context, Announce(endpoint()))


@when("its status becomes {status} and it announces itself")
def status_and_announce(context, status):
    apply(context, ChangeStatus("e", "1", EndpointStatus(status)))
    apply(context, Announce(endpoint()))


@when("it announces itself with new weights")
def new_weights(context):
    apply(context, Announce(endpoint(weights="2")))


@when("it restarts and a status of its previous incarnation arrives")
def status_of_earlier_incarnation(context):
    apply(context, Announce(endpoint(incarnation="2")))
    apply(context, ChangeStatus("e", "1", EndpointStatus.SILENT))


@then("its status is {status}")
def has_status(context, status):
    found = context.state.endpoints["e"].endpoint.status
    assert found is EndpointStatus(status), found


@given("a heartbeat of incarnation {incarnation:d} with number {number:d}")
def first_heartbeat(context, incarnation, number):
    context.heartbeats = HeartbeatTable(0.0, SILENT_S)
    context.known_endpoint = endpoint(str(incarnation))
    assert context.heartbeats.record(
        Heartbeat(context.known_endpoint, number), 10.0
    )


@when(
    "a heartbeat of incarnation {incarnation:d} with number {number:d} arrives"
)
def next_heartbeat(context, incarnation, number):
    heartbeat = Heartbeat(endpoint(str(incarnation)), number)
    context.result = context.heartbeats.record(heartbeat, 11.0)


@then("it is {result:w}")
def heartbeat_result(context, result):
    assert (context.result is not None) == (result == "accepted")


@then("it is silent after {silent_after:f} s but not after {active_until:f} s")
def is_silent(context, silent_after, active_until):
    table, known_endpoint = context.heartbeats, context.known_endpoint
    assert table.silent_endpoints([known_endpoint], 10.0 + silent_after) == [
        known_endpoint
    ]
    assert table.silent_endpoints([known_endpoint], 10.0 + active_until) == []


@then(
    "one without a heartbeat is silent {silent_after:f} s after the table was"
    " created"
)
def silent_without_heartbeat(context, silent_after):
    other = attrs.evolve(context.known_endpoint, id="other")
    assert context.heartbeats.silent_endpoints([other], silent_after) == [other]
    assert context.heartbeats.silent_endpoints([other], SILENT_S - 0.1) == []


def member(name: str, voter: bool = True) -> Member:
    return Member(name, f"identity-{name}", "127.0.0.1", 1, voter)


OWN_IDENTITY = "identity-v1"


def silence_s(context, identity: str) -> float:
    """Returns the silence of a peer; the leader itself is not a peer."""
    assert identity != OWN_IDENTITY
    return context.silence_s.get(identity, 0.0)


@given("a group of {count:d} voters that wants {wanted:d}")
def group_of(context, count, wanted):
    context.members = tuple(member(f"v{i}") for i in range(1, count + 1))
    context.wanted, context.announced, context.silence_s = wanted, {}, {}


@when("{count:d} members request to join and all answer")
@when("{count:d} member requests to join and all answer")
def ask_to_join(context, count):
    for i in range(count):
        name = f"j{i}"
        context.announced[name] = PeerIdentity(
            name, f"identity-{name}", "127.0.0.1", 1
        )
    apply_changes(context)


@when('voter "{name}" is silent for {seconds:f} s')
def voter_silent(context, name, seconds):
    context.silence_s[f"identity-{name}"] = seconds
    apply_changes(context)


def apply_changes(context) -> None:
    """Applies changes until none is due, each of one voter at most.

    Majorities before and after such a change always overlap.
    """
    for _ in range(50):
        change = next_change(
            *(context.members, context.announced),
            *(context.announced.values(), OWN_IDENTITY),
            lambda identity: silence_s(context, identity) < 1.0,
            lambda identity: silence_s(context, identity),
            lambda identity: silence_s(context, identity),
            context.wanted,
        )
        if change is None:
            return
        before = {m.identity for m in context.members if m.voter}
        after = {m.identity for m in change.members if m.voter}
        assert len(before ^ after) <= 1
        context.members = change.members
    raise AssertionError("the membership changes did not end")


@then("the group has {voters:d} voters and {learners:d} learners")
@then("the group has {voters:d} voters and {learners:d} learner")
def group_has(context, voters, learners):
    found = [m.voter for m in context.members]
    assert (found.count(True), found.count(False)) == (voters, learners), (
        context.members
    )


@then('"{name}" is no member')
def no_member(context, name):
    assert name not in {m.name for m in context.members}


@then('"{name}" is a member')
def a_member(context, name):
    assert name in {m.name for m in context.members}
