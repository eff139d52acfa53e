"""A runner loses power and starts again under its id; proxies end."""

import asyncio
import pathlib

from common import http1
from common.site import (
    KEY,
    MODEL,
    Record,
    Site,
    configuration,
    route,
    run_case,
    tenant,
    total_runs,
)

PROXIES = 2
RUNNERS = 4
SERVERS = 3
LONG_STREAMS = 24
DARK_S = 1.5
# The runner is in use again before new streams come.
BACK_S = 1.8
# The long streams would last for 5 s; those at the dark runner end at 6 s.
LONG_TOKENS = 50
STREAM_LIMIT_MS = 6000
SHORT_TOKENS = 25
LOAD_S = 5.0
KEPT_PER_PROXY = 8
STREAMS_PER_PROXY = 30
SEAT_WORK_S = 0.2
ALLOWED_LOSSES = 3


class Load:
    """Callers on kept connections, until their proxy is gone.

    Attributes:
        lost: Requests of kept connections that a sound server has run, and
            whose connection was closed without an answer.
    """

    def __init__(self, site: Site):
        self.lost: list[str] = []
        self._site = site
        self._ends_at = asyncio.get_running_loop().time() + LOAD_S

    def _goes_on(self) -> bool:
        return asyncio.get_running_loop().time() < self._ends_at

    async def check_seats(self, proxy: int) -> None:
        """Asks for seats, one request after the other on one connection."""
        site = self._site
        conn = http1.Connection(site.front(proxy))
        served = 0
        try:
            await conn.open()
            while self._goes_on():
                request_id = site.next_id()
                site.record.line(f"sent {request_id} kept, proxy {proxy}")
                answer, end = await conn.send(
                    *("GET", "/seats/1", site.headers(request_id), b"", 3.0),
                )
                status = answer.status if answer else 0
                site.record.line(f"answer to {request_id}: {status} {end}")
                if end != "whole":
                    ran = total_runs(site, request_id)
                    if served and answer is None and end == "closed" and ran:
                        self.lost.append(request_id)
                    return
                served += 1
        except OSError:
            site.record.line(f"proxy {proxy} accepts no connection")
        finally:
            conn.close()


async def digest(site: Site, proxy: int, number: int, tokens: int) -> None:
    """Asks for a stream."""
    await site.send(
        "/digest/1",
        proxy=proxy,
        limit_ms=STREAM_LIMIT_MS,
        extra=site.prompt_headers(number, tokens),
    )


async def case(record: Record, is_disturbed: bool) -> int:
    """Runs the case."""
    site = Site(record, proxies=PROXIES)
    try:
        site.start_all()
        for _ in range(RUNNERS):
            await site.add_runner("guide-models", model=MODEL)
        for _ in range(SERVERS):
            await site.add_runner("hut-desk", work_s=SEAT_WORK_S)
        routes = [
            route(
                *("digest", "streaming", "guide-models"),
                timeoutMs=STREAM_LIMIT_MS,
                goalMs=1000,
            ),
            route("seats", "idempotent", "hut-desk", timeoutMs=3000),
        ]
        config = configuration(1, routes, [tenant("huts", KEY)])
        if not await site.put_config(config) or not await site.wait_ready():
            return 2
        await asyncio.sleep(1.5)
        return await disturb(site, is_disturbed)
    finally:
        site.close()


async def disturb(site: Site, is_disturbed: bool) -> int:
    """Lets a runner return under its id while it has streams to answer."""
    tasks = [
        asyncio.create_task(digest(site, n % PROXIES, n, LONG_TOKENS))
        for n in range(LONG_STREAMS)
    ]
    await asyncio.sleep(1.0)
    if is_disturbed:
        await site.runners[0].go_dark()
    await asyncio.sleep(DARK_S)
    if is_disturbed:
        await site.runners[0].restart()
    await asyncio.sleep(BACK_S)
    load = Load(site)
    for proxy in range(len(site.proxies)):
        tasks += [
            asyncio.create_task(load.check_seats(proxy))
            for _ in range(KEPT_PER_PROXY)
        ]
        tasks += [
            asyncio.create_task(
                digest(site, proxy, 100 * (proxy + 1) + n, SHORT_TOKENS)
            )
            for n in range(STREAMS_PER_PROXY)
        ]
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    ends = {p.name: p.popen.poll() for p in site.proxies}
    site.record.line(f"exit codes of the proxies: {ends}")
    site.record.line(f"{len(load.lost)} requests of kept connections lost")
    for process in site.proxies:
        lines = process.log.read_text().splitlines()
        failed = [x for x in lines if '"process_failed"' in x]
        if failed:
            site.record.line(f"{process.name} logs: {failed[-1][-100:]}")
    is_broken = len(load.lost) > ALLOWED_LOSSES
    return 1 if is_broken else 0


run_case(case, pathlib.Path(__file__).resolve().parent)
