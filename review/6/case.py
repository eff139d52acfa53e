"""One entry for each server's address; no server is used any more."""

import asyncio
import json
import pathlib
import signal
import sys
import time

from common2.runner import CONFIRM_S, Runner
from common2.site import (
    BOUNDS,
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
PHASE_S = 8.0
RECOVER_S = BOUNDS["recoverS"]
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


async def write_entry(site: Site, number: int, runner: Runner) -> None:
    """Sends an entry without `concurrency` until it is confirmed."""
    entry = {
        "service": runner.service,
        "address": f"{runner.host}:{runner.port}",
        "zone": runner.zone,
        "version": "v1",
        "state": "ready",
        "coldLeftMs": 0,
        "callSeq": 1,
        "born": int(time.time() * 1000),
    }
    status = None
    while status != 200:
        for address in site.controls():
            answer = await exchange(
                *(address, "PUT", f"/api/instances/w-{number}", {}),
                *(json.dumps(entry).encode(), CONFIRM_S),
            )
            status = answer.status if answer else None
            site.record.write("entry", runner=runner.name, status=status)
            if status is not None and status < 500:
                break
        if status == 400:
            return
        await asyncio.sleep(0.1)


async def served_share(site: Site) -> float:
    """Sends bookings and chats; returns the share that is served."""
    sent = served = 0
    until = site.record.now() + PHASE_S
    while site.record.now() < until:
        for front in site.fronts():
            for _, answer in (
                await site.request(front, "/booking/1", KEY, limit_ms=1500),
                await site.request(front, "/chat/1", KEY, MODEL),
            ):
                sent += 1
                served += answer is not None and answer.status == 200
        await asyncio.sleep(REQUEST_PAUSE_S)
    print(f"{served} of {sent} served")
    return served / sent


async def case(site: Site, is_troubled: bool) -> bool:
    """Kills all processes, sends the entries and looks what is served."""
    await site.start()
    for number in range(MODEL_RUNNERS):
        await site.add_runner(f"i-guide-{number}", MODELS, {MODEL: 1})
    for number in range(DESK_SERVERS):
        await site.add_runner(f"i-desk-{number}", DESK)
    await site.put_config(configuration())
    await site.wait_ready()
    await asyncio.sleep(2.0)
    before = await served_share(site)
    if is_troubled:
        for name in site.processes:
            site.send_signal(name, signal.SIGKILL)
        for name in list(site.processes):
            site.processes[name].wait()
            site.write_settings(name, bootstrap=False)
            site.start_process(name)
        for number, runner in enumerate(site.runners):
            await write_entry(site, number, runner)
    await asyncio.sleep(RECOVER_S)
    after = await served_share(site)
    return after < 0.25 <= before


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).resolve().parent, case))
