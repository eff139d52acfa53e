"""A route moves to another service; the old one goes on running requests."""

import asyncio
import pathlib
import sys

from common2.site import (
    BOUNDS,
    LIMITS,
    Site,
    model_service,
    run_case,
    stream_route,
)

# The new service is called like the model that both services have.
MODEL = "guide"
OLD, NEW = "guide-models", "guide"
KEY = "ctnfzs989anu6wsjnban"
APPLY_S = BOUNDS["applyMs"] / 1000
# Requests are sent so much later than the configuration must be in force.
MARGIN_S = 1.0
REQUESTS = 10


def configuration(version: int, service: str) -> dict:
    """Returns a configuration whose route leads to a service."""
    return {
        "version": version,
        "routes": [stream_route("chat", service)],
        "services": [model_service(OLD, MODEL), model_service(NEW, MODEL)],
        "limits": LIMITS,
        "tenants": [{"name": "huts", "apiKeys": [KEY]}],
    }


async def case(site: Site, is_troubled: bool) -> bool:
    """Moves the route and counts the requests that the old service runs."""
    await site.start()
    for number in range(3):
        await site.add_runner(f"i-old-{number}", OLD, {MODEL: 1})
        await site.add_runner(f"i-new-{number}", NEW, {MODEL: 1})
    await site.put_config(configuration(1, OLD))
    await site.wait_ready()
    await asyncio.sleep(2.0)
    route_to = OLD
    for front in site.fronts():
        await site.request(front, "/chat/1", KEY, MODEL)
    if is_troubled:
        route_to = NEW
        await site.put_config(configuration(2, NEW))
    await asyncio.sleep(APPLY_S + MARGIN_S)
    wrong = total = 0
    for number in range(REQUESTS):
        for front in site.fronts():
            name, _ = await site.request(
                *(front, "/chat/1", KEY, MODEL), f"a{number}:1000"
            )
            services = site.run_services(name)
            total += len(services)
            wrong += sum(service != route_to for service in services)
    print(f"{wrong} of {total} runs were not at {route_to}")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case))
