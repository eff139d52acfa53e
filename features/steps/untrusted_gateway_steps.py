"""Steps for hostile callers of a gateway of real processes.

The crowds and the bounds were fixed before the product was changed. The bounds
are those of the settings: the memory and the descriptors of the machine.
"""

import anyio
import attrs
import httpx
from behave import given, when

from features.steps.deployment_steps import (
    BASE_RULES,
    CUSTOMER,
    HEADERS,
    KEY,
    call_members,
    submit,
)
from knapweedarch import control
from knapweedarch.settings import RouterSettings
from knapweedarch.state import PutRules
from standins.deployment import Deployment
from standins.gateway_crowds import GATEWAY_KINDS
from standins.hostile_callers import BODY_BYTES, Crowd, Peak, Target

# An ordinary caller gives up after this long, in seconds.
GIVE_UP_S = 15.0
MIB = 1024 * 1024
ORDINARY_BODY = b'{"seat":1}' * 100
# The desk pads its answers, so that unread ones take memory.
LONG_ANSWERS = "big:900000:100000"
CHATS = "whole chats of many values"


@given("a gateway with {ram:d} MiB of memory and {descriptors:d} descriptors")
def start_gateway(context, ram, descriptors):
    context.ram_bytes, context.descriptors = ram * MIB, descriptors
    cluster = context.cluster = Deployment(members=1)
    context.closing.append(lambda: cluster.__exit__(None, None, None))
    cluster.start_member("member-1")
    members = [control.MemberAddress(**m) for m in cluster.members]
    call_members(cluster, lambda client: client.form(members))
    submit(cluster, PutRules("setup", 0, BASE_RULES + CUSTOMER))
    settings = {"memory_mb": ram, "max_descriptors": descriptors}
    # Without these settings the product has no bound to derive.
    known = attrs.fields_dict(RouterSettings)
    cluster.start_router(
        "router-1",
        max_body_bytes=BODY_BYTES,
        **{key: n for key, n in settings.items() if key in known},
    )
    cluster.wait_ready("router-1")
    cluster.start_service("desk-1", "booking", fail=LONG_ANSWERS)
    cluster.wait_for("an answer", lambda: ask(cluster) == 200)


def ask(cluster):
    """Sends an ordinary request on a connection of its own."""
    url = f"{cluster.url('router-1')}/services/booking/orders"
    answer = httpx.post(
        url, content=ORDINARY_BODY, headers=HEADERS, timeout=GIVE_UP_S
    )
    return answer.status_code


def target_of(cluster, kind):
    """Returns what hostile callers send to."""
    headers = f"Host: a\r\nAuthorization: Bearer {KEY}\r\n"
    path = (
        "/v1/chat/completions" if kind == CHATS else "/services/booking/orders"
    )
    return Target(
        *(cluster.host, cluster.processes["router-1"].port),
        f"POST {path} HTTP/1.1\r\n{headers}".encode(),
        f"GET /services/booking/availability HTTP/1.1\r\n{headers}".encode(),
    )


@when("{count:d} hostile clients of the gateway send {kind}")
def send_crowd(context, count, kind):
    cluster = context.cluster
    peak = context.peak = Peak(cluster.processes["router-1"].popen.pid)
    crowd = Crowd(GATEWAY_KINDS[kind], target_of(cluster, kind), count)

    def ask_once():
        try:
            return ask(cluster)
        except httpx.HTTPError as exc:
            return repr(exc)

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(peak.watch)
            async with crowd.run():
                context.answer = await anyio.to_thread.run_sync(ask_once)
                peak.sample()
            group.cancel_scope.cancel()

    anyio.run(run)
    processes = cluster.processes.values()
    context.exits = [process.popen.poll() for process in processes]
    context.peak_bytes = peak.memory_bytes()
    print(
        f"{kind}: {context.peak_bytes / MIB:.0f} MiB,"
        f" {peak.descriptors} descriptors, {context.answer}"
    )
