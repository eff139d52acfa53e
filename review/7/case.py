"""Another writer's entries take over servers once the leader has changed."""

import asyncio
import json
import pathlib
import random
import signal
import sys

from common2.runner import CONFIRM_S, HEARTBEAT_S, Runner
from common2.site import (
    LIMITS,
    Site,
    model_service,
    once_route,
    plain_service,
    run_case,
    stream_route,
)
from common2.wire import exchange

MODEL = "daka510000"
MODELS, DESK = "guide-models", "hut-desk"
KEY = "ctnfzs989anu6wsjnban"
# As in the sheet of tesfaye-huts.
MODEL_RUNNERS, DESK_SERVERS = 9, 3
# Servers don't start at the same moment, nor send their heartbeats so.
START_SPREAD_S = 0.3
CALM_S = 5.0
AFTER_S = 20.0
REQUEST_PAUSE_S = 0.1


def configuration() -> dict:
    """Returns a configuration with two services."""
    return {
        "version": 1,
        "routes": [stream_route("chat", MODELS), once_route("booking", DESK)],
        "services": [model_service(MODELS, MODEL), plain_service(DESK)],
        "limits": LIMITS,
        "tenants": [{"name": "huts", "apiKeys": [KEY]}],
    }


async def write_entries(site: Site, runner: Runner) -> None:
    """Sends entries in which `born` is missing, as often as heartbeats."""
    await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
    entry = {
        "service": DESK,
        "address": f"{runner.host}:{runner.port}",
        "zone": runner.zone,
        "version": "v1",
        "concurrency": 48,
        "state": "ready",
        "coldLeftMs": 0,
        "callSeq": 1,
    }
    while True:
        controls = site.controls()
        random.shuffle(controls)
        for address in controls:
            answer = await exchange(
                *(address, "PUT", f"/api/instances/{runner.name}", {}),
                *(json.dumps(entry).encode(), CONFIRM_S),
            )
            status = answer.status if answer else None
            site.record.write("entry", runner=runner.name, status=status)
            if status is not None and status < 500:
                break
        await asyncio.sleep(HEARTBEAT_S)


async def send_requests(site: Site, seconds: float) -> list[str]:
    """Sends bookings and chats; returns the ids of the bookings."""
    bookings, chats, served = [], 0, 0
    until = site.record.now() + seconds
    while site.record.now() < until:
        for front in site.fronts():
            name, _ = await site.request(
                *(front, "/booking/1", KEY), limit_ms=1500
            )
            bookings.append(name)
            _, answer = await site.request(front, "/chat/1", KEY, MODEL)
            chats += 1
            served += answer is not None and answer.status == 200
        await asyncio.sleep(REQUEST_PAUSE_S)
    print(f"{served} of {chats} chats served")
    return bookings


async def case(site: Site, is_troubled: bool) -> bool:
    """Kills the leader and counts the bookings that model runners run."""
    await site.start()
    for number in range(MODEL_RUNNERS):
        await site.add_runner(f"i-guide-{number}", MODELS, {MODEL: 1})
        await asyncio.sleep(random.uniform(0.0, START_SPREAD_S))
    for number in range(DESK_SERVERS):
        await site.add_runner(f"i-desk-{number}", DESK)
    await site.put_config(configuration())
    await site.wait_ready()
    await asyncio.sleep(2.0)
    guides = [r for r in site.runners if r.service == MODELS]
    if is_troubled:
        writers = [
            asyncio.ensure_future(write_entries(site, g)) for g in guides
        ]
    bookings = await send_requests(site, CALM_S)
    if is_troubled:
        leader = site.leader()
        site.send_signal(leader, signal.SIGKILL)
        site.processes[leader].wait()
        site.write_settings(leader, bootstrap=False)
        site.start_process(leader)
    bookings += await send_requests(site, AFTER_S)
    if is_troubled:
        for writer in writers:
            writer.cancel()
    wrong = [name for name in bookings if MODELS in site.run_services(name)]
    print(f"{len(wrong)} of {len(bookings)} bookings ran at {MODELS}")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case))
