"""Steps for the keys that a router asks its callers for."""

import json

import anyio
from behave import given, then, when

from adapter.configuration import read_deployment
from features.proxy_harness import HOST, KEY, open_proxy, request
from knapweedarch.control_messages import pack_deployment, unpack_deployment
from knapweedarch.state import COMMANDS, ControlState, PutDeployment

SERVICE = "desk"


def route(name: str, public: bool) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": "non_idempotent",
        "timeoutMs": 2000,
        "service": SERVICE,
        "public": public,
    }


@given("a configuration with {customers}")
def given_configuration(context, customers):
    document = {
        "version": 1,
        "routes": [route("private", False), route("public", True)],
        "services": [{"name": SERVICE}],
    }
    match customers.split(" with"):
        case ["no list of customers"]:
            pass
        case ["an empty list of customers"]:
            document["tenants"] = []
        case ["a customer", "out keys"]:
            document["tenants"] = [{"name": "huts", "apiKeys": []}]
        case ["a customer", key]:
            keys = [json.loads(key)]
            document["tenants"] = [{"name": "huts", "apiKeys": keys}]
        case _:
            raise AssertionError(customers)
    context.document = json.dumps(document).encode()


@when("it is stored, restored from a snapshot and sent to a router")
def send_configuration(context):
    state, restored = ControlState(), ControlState()
    command = PutDeployment(read_deployment(context.document), context.document)
    state.apply(COMMANDS.encode(command))
    restored.restore(state.snapshot())
    context.deployment = unpack_deployment(pack_deployment(restored.deployment))


@then("a request with {key} to a {kind} route gets status {status:d}")
def check_status(context, key, kind, status):
    sent = request(kind)
    if key == "no key":
        sent = sent.replace(f"Authorization: Token {KEY}\r\n".encode(), b"")
    else:
        sent = sent.replace(KEY.encode(), json.loads(key).encode())

    async def run():
        async with open_proxy() as fixture:
            await fixture.add_runner("answers")
            fixture.gateway.set_deployment(context.deployment)
            return await fixture.send(sent)

    answer = anyio.run(run)
    assert answer.status == status, answer.data[:300]
