"""The last tenant loses its key; requests with the key go on running."""

import asyncio
import pathlib
import sys

from common2.site import (
    BOUNDS,
    LIMITS,
    Site,
    once_route,
    plain_service,
    run_case,
)

KEY = "ctnfzs989anu6wsjnban"
NEVER_HELD = "fqasnmgkcuyj8pjbvk9m"
REVOKE_S = BOUNDS["revokeMs"] / 1000
# Requests are sent so much later than the rule demands.
MARGIN_S = 1.0
REQUESTS = 10


def configuration(version: int, tenants: list[dict]) -> dict:
    """Returns a configuration with one route to the desk."""
    return {
        "version": version,
        "routes": [once_route("booking", "hut-desk")],
        "services": [plain_service("hut-desk")],
        "limits": LIMITS,
        "tenants": tenants,
    }


async def case(site: Site, is_troubled: bool) -> bool:
    """Takes the key away and counts the requests that run all the same."""
    await site.start()
    for number in range(3):
        await site.add_runner(f"i-desk-{number}", "hut-desk")
    tenant = {"name": "huts", "apiKeys": [KEY], "priority": 1}
    await site.put_config(configuration(1, [tenant]))
    await site.wait_ready()
    await asyncio.sleep(2.0)
    for front in site.fronts():
        await site.request(front, "/booking/1", KEY)
        await site.request(front, "/booking/1", NEVER_HELD)
    if is_troubled:
        await site.put_config(configuration(2, []))
    await asyncio.sleep(REVOKE_S + MARGIN_S)
    late = []
    for _ in range(REQUESTS):
        for front in site.fronts():
            late.append(await site.request(front, "/booking/2", KEY))
            late.append(await site.request(front, "/booking/2", NEVER_HELD))
    sent = {r["request"]: r["key"] for r in site.record.lines("sent")}
    late_ids = {name for name, _ in late}
    ran = {run["request"] for runner in site.runners for run in runner.runs}
    revoked = [i for i in ran & late_ids if is_troubled and sent[i] == KEY]
    never_held = [i for i in ran if sent[i] == NEVER_HELD]
    print(f"{len(revoked)} ran with the key that was taken away")
    print(f"{len(never_held)} ran with a key that no configuration held")
    return bool(revoked or never_held)


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case))
