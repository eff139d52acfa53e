"""Steps for hostile callers of real processes.

The crowds and the bounds were fixed before the product was changed. The bounds
are those of the settings: the memory and the descriptors of the machine.
"""

import anyio
import httpx
from behave import given, then, when

from standins.hostile_callers import KINDS, Crowd, Peak, Target
from standins.platform_site import HOST, KEY, open_site

SCENARIO_TIMEOUT_S = 90.0
# An ordinary caller gives up after this long, in seconds.
GIVE_UP_S = 15.0
MEMBERS, PROXIES, RUNNERS = 3, 1, 1
MIB = 1024 * 1024
# What an ordinary caller of each listener asks for.
ORDINARY = {
    "proxy": ("POST", "/booking/x"),
    "ready": ("GET", "/api/ready"),
    "control": ("GET", "/api/config"),
    "metrics": ("GET", "/metrics"),
}


def target_of(site, listener):
    """Returns what hostile callers of a listener send to."""
    method, path = ORDINARY[listener]
    headers = f"Host: {HOST}\r\nAuthorization: Token {KEY}\r\n"
    post = "PUT" if method == "GET" else method
    return Target(
        *site.listener(listener),
        f"{post} {path} HTTP/1.1\r\n{headers}".encode(),
        f"GET {path} HTTP/1.1\r\n{headers}".encode(),
    )


async def send_ordinary(site, listener):
    """Sends an ordinary request on a connection of its own."""
    host, port = site.listener(listener)
    method, path = ORDINARY[listener]
    headers = {"Host": HOST, "Authorization": f"Token {KEY}"}
    async with httpx.AsyncClient(timeout=GIVE_UP_S) as client:
        return await client.request(
            method,
            f"http://{host}:{port}{path}",
            headers=headers,
            content=b'{"seat":1}' if method == "POST" else None,
        )


@given("processes with {ram:d} MiB of memory and {descriptors:d} descriptors")
def settings_of_processes(context, ram, descriptors):
    context.ram_bytes, context.descriptors = ram * MIB, descriptors
    context.settings = {
        "limits.ramMb": str(ram),
        "limits.maxFds": str(descriptors),
    }


@when("{count:d} callers of the {listener} send {kind}")
def send_crowd(context, count, listener, kind):
    async def run():
        shape = (MEMBERS, PROXIES, RUNNERS, SCENARIO_TIMEOUT_S)
        async with open_site(*shape, context.settings) as site:
            process = site.listening_process(listener)
            peak = context.peak = Peak(process.popen.pid)
            crowd = Crowd(KINDS[kind], target_of(site, listener), count)
            async with anyio.create_task_group() as group:
                group.start_soon(peak.watch)
                async with crowd.run():
                    context.answer = await try_ordinary(site, listener)
                    peak.sample()
                group.cancel_scope.cancel()
            context.exits = [p.popen.poll() for p in site.processes.values()]
            context.peak_bytes = peak.memory_bytes()

    async def try_ordinary(site, listener):
        try:
            return (await send_ordinary(site, listener)).status_code
        except httpx.HTTPError as exc:
            return repr(exc)

    anyio.run(run)
    print(
        f"{kind} to {listener}: {context.peak_bytes / MIB:.0f} MiB,"
        f" {context.peak.descriptors} descriptors, {context.answer}"
    )


@then("every process lives")
def check_alive(context):
    assert not any(code is not None for code in context.exits), context.exits


@then("it stays within its memory and descriptors")
def check_bounds(context):
    bounds = (context.ram_bytes, context.descriptors)
    found = (context.peak_bytes, context.peak.descriptors)
    assert found[0] <= bounds[0] and found[1] <= bounds[1], (found, bounds)


@then("an ordinary request is answered afterwards")
def check_ordinary(context):
    assert context.answer == 200, context.answer
