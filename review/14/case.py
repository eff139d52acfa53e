"""What a tenant cached before it became isolated is used by others."""

import asyncio
import json
import pathlib

from lab import (
    HOST,
    KEY,
    MODEL,
    CannotRunError,
    Lab,
    Runner,
    call,
    configuration,
    route,
    run_case,
)

RUNNERS = 3
REQUESTS = 9
OTHER_KEY = "fqasnmgkcuyj8pjbvk9m"
WALLED, OTHER = "sese880", "kafi81c"
# The bound `applyMs` of the site, and one second more.
APPLY_S = 3.0
PARTS = "5c1e07a2:2500,91bd3f06:410"


class Site:
    """Runners with caches, and two tenants."""

    def __init__(self, lab: Lab):
        self.lab = lab
        self.is_walled = False
        self.foreign = 0
        # Tenant that made each part, by runner, salt and id.
        self._made_by: dict[tuple[str, str, str], str] = {}

    async def serve(self, runner: Runner, req, writer) -> None:
        """Runs a request: uses the parts that are cached, makes the others."""
        _, _, headers, _ = req
        request_id = headers["x-knapweedarch-request-id"]
        tenant = headers.get("x-knapweedarch-tenant", "")
        salt = headers.get("x-knapweedarch-cache-salt", "")
        entries = headers["x-knapweedarch-prefix-hash"].split(",")
        is_cached = True
        for entry in entries:
            key = (runner.id, salt, entry.partition(":")[0])
            is_cached = is_cached and key in self._made_by
            if not is_cached:
                self._made_by[key] = tenant
                continue
            maker = self._made_by[key]
            self.lab.note(
                f"{request_id} of {tenant} uses {key[2]} of {maker}"
                f" at {runner.id}, salt {salt!r}"
            )
            if self.is_walled and maker != tenant and WALLED in (maker, tenant):
                self.foreign += 1
        events = b"".join(b"id: %d\ndata: x\n\n" % i for i in range(1, 4))
        answer = {
            "Content-Type": "text/event-stream",
            "X-Knapweedarch-Request-Id": request_id,
            "X-Knapweedarch-Response-Stamp": f"s-{request_id}",
        }
        await runner.send(writer, 200, answer, events)

    async def send(self, key: str, name: str) -> int:
        """Sends requests with one prompt; returns how many were served."""
        served = 0
        proxies = self.lab.of("proxy")
        for number in range(REQUESTS):
            proxy = proxies[number % len(proxies)]
            headers = {
                "X-Knapweedarch-Request-Id": f"{name}-{number}",
                "X-Knapweedarch-Deadline-Ms": "6000",
                "X-Knapweedarch-Model": MODEL,
                "X-Knapweedarch-Token-Count": "2960,3",
                "X-Knapweedarch-Prefix-Hash": f"{PARTS},{name}{number}:50",
                "Authorization": f"Token {key}",
            }
            address = (proxy.host, self.lab.front_port)
            reply = await call(address, "POST", "/chat/x", headers, b"{}", 6.0)
            served += reply is not None and reply[0] == 200
        return served


def make_configuration(version: int, isolated: bool) -> bytes:
    """Returns a configuration with two tenants."""
    engine = {
        "concurrency": 48,
        "kvCapacity": 70946,
        "kvTokenBytes": 131072,
        "linkMbps": 280000.0,
        "maxInflight": 12,
        "models": [{"name": MODEL}],
    }
    service = {
        "name": "guide-models",
        "healthPath": "/health",
        "maxConns": 300,
        "backendEngine": engine,
    }
    chat = route("chat", "streaming", "guide-models", goalMs=1000)
    found = configuration(version, [chat], [service])
    found["tenants"] = [
        {"name": WALLED, "apiKeys": [KEY], "isolated": isolated},
        {"name": OTHER, "apiKeys": [OTHER_KEY], "isolated": False},
    ]
    return json.dumps(found).encode()


async def case(has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    lab = Lab(pathlib.Path(__file__).parent, 5, 2)
    site = Site(lab)
    lab.runners = [
        Runner(lab, "guide-models", i, 48, MODEL, site.serve)
        for i in range(RUNNERS)
    ]
    try:
        await lab.open(json.loads(make_configuration(1, isolated=False)))
        served = await site.send(KEY, "a")
        if served < REQUESTS:
            raise CannotRunError(f"{HOST}: {served} of {REQUESTS} are served")
        if has_trouble:
            data = make_configuration(2, isolated=True)
            status, _, _ = await lab.operate("PUT", "/api/config", data)
            if status != 200:
                raise CannotRunError(f"the change is refused: {status}")
            lab.note(f"confirmed: {WALLED} is isolated")
        await asyncio.sleep(APPLY_S)
        site.is_walled = has_trouble
        served = await site.send(OTHER_KEY, "b")
        if not served:
            raise CannotRunError("the other tenant is not served")
        lab.note(f"{site.foreign} foreign parts of {served} requests were used")
        print(f"{site.foreign} foreign parts used by {served} requests")
        return site.foreign > 0
    finally:
        lab.close()


run_case(case)
