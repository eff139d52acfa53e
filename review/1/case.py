"""One event that a faulty runner has spoiled ends member after member."""

import asyncio
import collections
import pathlib
import time

from common.site import (
    KEY,
    MODEL,
    Record,
    Site,
    configuration,
    route,
    run_case,
    tenant,
)

MEMBERS = 5
RUNNERS = 4
# One event of so many is spoiled.
EVENTS = 60
WATCH_S = 25.0
RESTART_S = 1.0
ALLOWED_ENDS = 2


async def case(record: Record, is_disturbed: bool) -> int:
    """Runs the case."""
    site = Site(record, members=MEMBERS)
    try:
        site.start_all()
        for _ in range(RUNNERS):
            runner = await site.add_runner("guide-models", model=MODEL)
            runner.events = [
                [n + 1, "+", "1.", f"{n:08x}", 800, MODEL]
                for n in range(EVENTS - 1)
            ]
        chat = route("chat", "streaming", "guide-models", attempts=2)
        config = configuration(1, [chat], [tenant("huts", KEY)])
        if not await site.put_config(config) or not await site.wait_ready():
            return 2
        await asyncio.sleep(2.0)
        if is_disturbed:
            spoiled = [EVENTS, "+", "1.", "5c1e\ud83d7a2", 800, MODEL]
            site.runners[0].events.append(spoiled)
            record.line(f"{site.runners[0].id} spoils an event: {spoiled!r}")
        ends = await watch(site)
        record.line(f"ends of members by themselves: {dict(ends)}")
        for process in site.members:
            lines = process.log.read_text().splitlines()
            failed = [x for x in lines if '"process_failed"' in x]
            record.line(
                f"{process.name}: {failed[-1][-120:] if failed else ''}"
            )
        often = [n for n, count in ends.items() if count > ALLOWED_ENDS]
        return 1 if len(often) >= MEMBERS / 2 else 0
    finally:
        site.close()


async def watch(site: Site) -> collections.Counter:
    """Starts members again that end, as the platform does; counts them."""
    ends: collections.Counter[str] = collections.Counter()
    until = time.monotonic() + WATCH_S
    number = 0
    while time.monotonic() < until:
        for member in site.members:
            if (code := member.popen.poll()) is not None:
                ends[member.name] += 1
                site.record.line(f"{member.name} has ended with code {code}")
                await asyncio.sleep(RESTART_S / 5)
                site.start(member)
        number += 1
        if number % 10 == 0:
            await site.send(
                "/chat/1",
                proxy=number // 10 % 2,
                extra=site.prompt_headers(number, 1),
            )
        await asyncio.sleep(0.1)
    return ends


run_case(case, pathlib.Path(__file__).resolve().parent)
