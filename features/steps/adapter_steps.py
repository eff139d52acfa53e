"""Steps for the platform's messages, in the format of its examples."""

import copy
import json
import math
import random

import anyio
from behave import given, then, when

from adapter.configuration import read_deployment
from adapter.control_api import ControlApi
from adapter.documents import (
    read_cache_changes,
    read_heartbeat,
    read_incarnation,
)
from adapter.headers import PlatformDialect
from adapter.settings import Node, member_settings
from knapweedarch.caller_guard import CallerGuard
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.exceptions import DocumentError, SettingsError
from knapweedarch.http_messages import Request
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.relay_messages import pack_loads, unpack_loads
from knapweedarch.state import COMMANDS, RESULTS, Announce, ControlState
from knapweedarch.stored_parts import PartsIndex

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-27eya6u",
            "host": "jepu9.example",
            "pathPrefix": "/lepu270/",
            "routeType": "streaming",
            "timeoutMs": 6000,
            "goalMs": 1000,
            "priority": 1,
            "trafficSplit": [
                {"service": "huvo11a", "weight": 90},
                {"service": "kafi81c", "weight": 10},
            ],
            "attempts": 1,
            "public": False,
            "sessionAffinity": True,
            "resumable": False,
            "gapTargetMs": 400,
        },
        {
            "name": "r-6sz9frg",
            "host": "hulo84.example",
            "pathPrefix": "/xapu221/ny95/",
            "routeType": "streaming",
            "timeoutMs": 15000,
            "goalMs": 600,
            "priority": 0,
            "service": "huvo11a",
            "attempts": 2,
            "public": False,
            "sessionAffinity": True,
            "resumable": True,
            "gapTargetMs": 400,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConns": 310,
            "protocol": "h1",
            "tls": False,
            "backendEngine": {
                "concurrency": 48,
                "kvCapacity": 75060,
                "kvTokenBytes": 131072,
                "linkMbps": 280000.0,
                "maxInflight": 12,
                "models": [{"name": "daka510000"}],
            },
        },
        {"name": "kafi81c", "healthPath": "/health", "maxConns": 110},
        {
            "name": "wuno96b",
            "kvStoreAddr": "172.20.0.2:8781",
            "zone": "sapporo-b",
            "kvCapacity": 600829,
            "linkMbps": 170000.0,
            "maxInflight": 12,
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "sese880",
            "apiKeys": ["ctnfzs989anu6wsjnban", "fqasnmgkcuyj8pjbvk9m"],
            "priority": 1,
            "isolated": True,
        }
    ],
}
HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "sapporo-b",
    "version": "v1",
    "concurrency": 48,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "unified",
    "models": [{"name": "daka510000", "version": 1, "adapters": []}],
    "callSeq": 4,
}
SETTINGS = {
    "nodeName": "core-dinsho-1",
    "bindIp": "10.1.0.33",
    "zone": "dinsho",
    "zones.dinsho": "bale-highlands",
    "endpoints.control": "10.1.0.33:8783",
    "portRange": "7340,7355",
    "seedNodes": "10.1.0.33:8783,10.2.0.25:8783,10.3.0.15:8783",
    "bootstrap": "true",
    "dataDir": "/data/my-core",
    "faultBudget.machines": "2",
    "bounds.revokeMs": "5000",
    "bounds.leaseMs": "3000",
    "some.newField": "7",
}


def encode(document: object) -> bytes:
    return json.dumps(document).encode()


def is_rejected(read, *arguments) -> bool:
    """Returns whether a decoder raises `DocumentError` with its fault."""
    try:
        read(*arguments)
    except DocumentError as exc:
        return bool(str(exc))
    return False


@given("the platform's example configuration")
def load_example_configuration(context):
    context.document = copy.deepcopy(CONFIGURATION)
    context.body = b""
    context.deployment = read_deployment(encode(context.document))


def find_by_name(things, name):
    return next(thing for thing in things if thing.name == name)


@then(
    'route "{name}" splits {one:d} to {other:d} and times out after {limit:d} s'
)
def check_route_split(context, name, one, other, limit):
    route = find_by_name(context.deployment.routes, name)
    assert [s.weight for s in route.split] == [one, other]
    assert route.timeout_s == limit and not route.repeatable


@then('route "{name}" is resumable and sends all traffic to "{service}"')
def check_resumable_route(context, name, service):
    route = find_by_name(context.deployment.routes, name)
    assert route.resumable and route.repeatable and route.streams
    assert [s.service for s in route.split] == [service]


@then('the store holds {tokens:d} tokens in "{data_centre}"')
def check_store(context, tokens, data_centre):
    (store,) = context.deployment.stores
    assert (store.memory_tokens, store.data_centre) == (tokens, data_centre)


@then('customer "{name}" holds {count:d} keys and is isolated')
def check_customer(context, name, count):
    customer = find_by_name(context.deployment.customers, name)
    assert len(customer.keys) == count and customer.isolated


@then("a configuration with unknown fields is decoded to the same value")
def check_unknown_fields_ignored(context):
    document = copy.deepcopy(CONFIGURATION)
    document["mood"] = "new"
    document["routes"][0]["mood"] = {"new": 1}
    document["services"][0]["backendEngine"]["mood"] = []
    assert read_deployment(encode(document)) == context.deployment


@when("its last {count:d} bytes are missing")
def truncate_body(context, count):
    context.body = encode(context.document)[:-count]


@when("a route names an unknown service")
def set_unknown_service(context):
    context.document["routes"][1]["service"] = "nobody"


@when("two routes have one host and prefix")
def duplicate_route_prefix(context):
    route = dict(context.document["routes"][0], name="other")
    context.document["routes"].append(route)


@when("the weights of a route add up to 0")
def set_zero_weights(context):
    for share in context.document["routes"][0]["trafficSplit"]:
        share["weight"] = 0


@when("a weight is negative")
def set_negative_weight(context):
    context.document["routes"][0]["trafficSplit"][0]["weight"] = -1


@when("a timeout is 0")
def set_zero_timeout(context):
    context.document["routes"][0]["timeoutMs"] = 0


@when("two customers share a key")
def share_customer_key(context):
    other = dict(context.document["tenants"][0], name="other")
    context.document["tenants"].append(other)


@when("the version is a string")
def set_text_version(context):
    context.document["version"] = "7"


@when("the routes are missing")
def remove_routes(context):
    del context.document["routes"]


@when("a prefix has no slash at its end")
def set_prefix_without_slash(context):
    context.document["routes"][0]["pathPrefix"] = "/lepu270"


@when("the body is a list")
def set_list_body(context):
    context.body = encode([context.document])


@then("the configuration is refused")
def check_configuration_refused(context):
    # Only steps that make the body malformed set `context.body`.
    body = context.body or encode(context.document)
    assert is_rejected(read_deployment, body)


@given("the platform's example heartbeat")
def load_example_heartbeat(context):
    context.heartbeat = dict(HEARTBEAT)


@when("its {field} is {value}")
def set_heartbeat_field(context, field, value):
    context.heartbeat[field] = json.loads(value)


@when("it has no field {field}")
def remove_heartbeat_field(context, field):
    del context.heartbeat[field]


@when("its {field} nests {depth:d} lists")
def nest_heartbeat_field(context, field, depth):
    value = "[" * depth + "]" * depth
    plain = {k: v for k, v in context.heartbeat.items() if k != field}
    context.body = f'{json.dumps(plain)[:-1]}, "{field}": {value}}}'.encode()


@then("the heartbeat is refused")
def check_heartbeat_refused(context):
    assert not is_rejected(read_heartbeat, "i-1", encode(HEARTBEAT))
    body = getattr(context, "body", b"") or encode(context.heartbeat)
    assert is_rejected(read_heartbeat, "i-1", body)


@then('the endpoint has incarnation "{incarnation}" and weights "{weights}"')
def check_incarnation(context, incarnation, weights):
    found = read_heartbeat("i-1", encode(context.heartbeat)).endpoint
    assert (found.incarnation, found.weights_version) == (incarnation, weights)


@then('the endpoint serves "{service}" and "{model}"')
def check_served_names(context, service, model):
    found = read_heartbeat("i-1", encode(context.heartbeat)).endpoint
    assert found.serves == (service, model)


@when("a runner's report has {field}")
def build_report(context, field):
    context.report = b'{"stage": "unified", ' + field.encode() + b"}"


@then("it is of {incarnation}")
def check_report(context, incarnation):
    try:
        found = read_incarnation(context.report) or "unknown"
    except DocumentError:
        found = "refused"
    assert found == incarnation, found


@when("a caller names the token count {count} and the parts {parts}")
def name_counts(context, count, parts):
    named = {"token-count": count, "prefix-hash": parts}
    headers = [
        (b"x-knapweedarch-" + name.encode(), value.encode())
        for name, value in named.items()
        if value != "none"
    ]
    req = Request(
        method=b"POST",
        target=b"/",
        headers=((b"x-knapweedarch-model", b"m"), *headers),
    )
    context.options = PlatformDialect().read_options(req)


@then(
    "the prompt has {tokens:d} tokens, and a runner that has all parts reads "
    "{read:d}"
)
def check_counts(context, tokens, read):
    prompt = context.options.prompt
    unread_tokens = prompt.tokens - prompt.shared_tokens
    assert (prompt.tokens, unread_tokens) == (tokens, read), prompt
    chooser = EndpointChooser(ChoiceConfig(), PartsIndex())
    runner = Endpoint(
        *("i-1", "1", "http://10.0.0.1:80", EndpointKind.RUNNER, ("m",))
    )
    chooser.record_sent(runner, prompt, unread_tokens, 0.0)
    (load,) = unpack_loads(pack_loads(chooser.own_loads()))
    assert load.requests == 1


@then("the header is {reported}")
def check_reported(context, reported):
    found = "x-knapweedarch-token-count" in context.options.malformed
    assert found == (reported == "reported"), context.options.malformed


@when("cache events with the row {row} arrive")
def build_cache_events(context, row):
    good, other = [1, "+", "s", "p", 5, "m"], [2, "+", "s", "q", 5, "m"]
    context.bodies = [
        {"bootEpoch": 1, "nextToken": 3, "lost": False, "changes": entries}
        for entries in ([good, other], [json.loads(row), other])
    ]


@then("the row is left out and counted, and the others are kept")
def check_row_left_out(context):
    good, bad = (read_cache_changes(encode(body)) for body in context.bodies)
    assert (good.malformed, bad.malformed) == (0, 1), bad
    assert len(good.changes) == 2, good
    assert bad.changes == good.changes[1:], bad
    assert (bad.epoch, bad.next_number) == (1, 3)
    context.changes = bad.changes


@then("each part that is kept has a digest")
def check_digests(context):
    assert all(change.key.digest for change in context.changes)


def random_value(rng: random.Random, depth: int = 0) -> object:
    """Returns a value as a faulty runner may send it."""
    texts = ("+", "-", "s", "", "\ud83d", "5c1e\udc007a", "\0", "é")
    numbers = (0, 1, -1, 2**53, 2**70, 1.5, math.inf, True, None)
    if depth < 2 and rng.random() < 0.2:
        size = rng.randrange(7)
        return [random_value(rng, depth + 1) for _ in range(size)]
    return rng.choice(rng.choice((texts, numbers)))


def random_row(rng: random.Random) -> object:
    """Returns a cache event of which some values are spoiled."""
    row = [1, rng.choice("+-"), "s", "5c1e07a2", 800, "m"]
    for _ in range(rng.randrange(3)):
        row[rng.randrange(len(row))] = random_value(rng)
    return random_value(rng) if rng.random() < 0.1 else row


@then(
    "{count:d} random lists of cache events are refused or can be used, "
    "seed {seed:d}"
)
def check_random_events(context, count, seed):
    rng = random.Random(seed)
    used = 0
    for _ in range(count):
        body = {
            "bootEpoch": 1 if rng.random() < 0.9 else random_value(rng),
            "nextToken": 3 if rng.random() < 0.9 else random_value(rng),
            "lost": False,
            "changes": [random_row(rng) for _ in range(rng.randrange(4))],
        }
        try:
            changes = read_cache_changes(encode(body))
        except DocumentError:
            continue
        used += sum(1 for change in changes.changes if change.key.digest)
    assert used > count / 2, used


@when("a list of cache events with {field} arrives")
def build_cache_list(context, field):
    body = {"bootEpoch": 1, "nextToken": 2, "lost": False, "changes": []}
    name = field.partition(":")[0].strip('"')
    del body[name]
    context.body = encode(body)[:-1] + b", " + field.encode() + b"}"


@then("the list is refused")
def check_list_refused(context):
    assert is_rejected(read_cache_changes, context.body)


@given("the platform's settings of a core instance")
def load_core_settings(context):
    context.fields = dict(SETTINGS)


@then(
    "the member has {seeds:d} seeds, {voters:d} voters and a lease of {s:f} s"
)
def check_member_settings(context, seeds, voters, s):
    found = member_settings(Node(context.fields))
    assert len(found.seeds) == seeds and found.voters == voters
    assert abs(found.lease_s - s) < 1e-9 and found.bootstrap


def is_settings_refused(fields) -> bool:
    try:
        member_settings(Node(fields))
    except SettingsError as exc:
        return bool(exc.faults)
    return False


@then('a settings file without "{key}" is refused')
def check_settings_without(context, key):
    fields = {k: v for k, v in context.fields.items() if k != key}
    assert is_settings_refused(fields)


@then('a settings file with "{key}" set to "{value}" is refused')
def check_settings_with(context, key, value):
    assert is_settings_refused({**context.fields, key: value})


class LaggingMember:
    """Member whose own state lags behind the leader's log."""

    def __init__(self):
        self.state = ControlState()
        self.log = ControlState()

    async def submit(self, command, timeout_s):
        """Applies a command to the leader's state."""
        return RESULTS.decode(self.log.apply(COMMANDS.encode(command)))


class RecordingResponder:
    """Records the answer to a call."""

    async def send(self, answer):
        """Records the answer."""
        self.answer = answer


@given("a member whose own state holds no endpoint")
def create_lagging_member(context):
    context.member = LaggingMember()


@given('the log holds runner "{name}" of incarnation "{incarnation}"')
def add_runner_to_log(context, name, incarnation):
    endpoint = Endpoint(
        *(name, incarnation, "http://10.0.0.1:80"),
        *(EndpointKind.RUNNER, ("models",)),
    )
    context.member.log.apply(COMMANDS.encode(Announce(endpoint)))


@when('the member handles a DELETE request for instance "{name}"')
def send_leave(context, name):
    req = Request(
        method=b"DELETE",
        target=f"/api/instances/{name}".encode(),
        headers=(),
        body=b"",
    )
    context.responder = RecordingResponder()
    anyio.run(
        ControlApi(context.member, CallerGuard()).handle, req, context.responder
    )


@then('the call is confirmed and runner "{name}" has status leaving')
def check_leaving(context, name):
    assert context.responder.answer.status == 200
    found = context.member.log.endpoints[name].endpoint.status
    assert found is EndpointStatus.LEAVING, found
