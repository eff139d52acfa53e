"""A router ends when a connection through another router is reset at once."""

import asyncio
import collections
import pathlib
import random

from lab import (
    HOST,
    KEY,
    MODEL,
    CannotRunError,
    Lab,
    Runner,
    configuration,
    read_message,
    route,
    run_case,
)

RUNNERS = 3
SLOTS = 4
MAX_CONNS = 16
WORK_S = 0.1
# Proxies that have clients; the hash has left the last one without.
BUSY_PROXIES = 3
PROXIES = 4
CLIENTS = 27
BODY = b"x" * 18_000
CYCLES = 15
DOWN_S = 2.1
ALONE_S = 2.0
CALM_S = 3.0
BETWEEN_S = 1.5
THINK_S = 0.1
PROCESS_DOWN_S = 0.5
WATCH_S = 0.02
# Fault: three times on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


class Site:
    """Runners, the callers of one router and the platform."""

    def __init__(self, lab: Lab):
        self.lab = lab
        self.answers = collections.Counter()
        self.ends = collections.Counter()
        self._slots = {
            runner: asyncio.Semaphore(SLOTS) for runner in lab.runners
        }

    async def serve(self, runner: Runner, req, writer) -> None:
        """Answers with a short stream."""
        _, _, headers, _ = req
        request_id = headers["x-knapweedarch-request-id"]
        self.lab.note(f"{request_id} reaches {runner.id}")
        slots = self._slots.setdefault(runner, asyncio.Semaphore(SLOTS))
        async with slots:
            await asyncio.sleep(WORK_S)
        events = b"".join(b"id: %d\ndata: x\n\n" % i for i in range(1, 4))
        answer = {
            "Content-Type": "text/event-stream",
            "X-Knapweedarch-Request-Id": request_id,
            "X-Knapweedarch-Response-Stamp": f"s-{request_id}",
        }
        await runner.send(writer, 200, answer, events)

    async def client(self, number: int) -> None:
        """Sends prompts to one router on a kept connection."""
        proxy = self.lab.of("proxy")[number % BUSY_PROXIES]
        address = (proxy.host, self.lab.front_port)
        writer, count = None, 0
        while True:
            count += 1
            await asyncio.sleep(THINK_S * random.uniform(0.5, 1.5))
            request_id = f"q{number}-{count}"
            head = (
                f"POST /digest/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Authorization: Token {KEY}\r\n"
                f"X-Knapweedarch-Request-Id: {request_id}\r\n"
                "X-Knapweedarch-Deadline-Ms: 6000\r\n"
                f"X-Knapweedarch-Model: {MODEL}\r\n"
                "X-Knapweedarch-Token-Count: 60,3\r\n"
                f"X-Knapweedarch-Prefix-Hash: aa:20,c{number:x}:40\r\n"
                f"Content-Length: {len(BODY)}\r\n\r\n"
            )
            try:
                async with asyncio.timeout(6.0):
                    if writer is None:
                        reader, writer = await asyncio.open_connection(*address)
                    writer.write(head.encode() + BODY)
                    first, headers, _ = await read_message(reader)
                self.answers[int(first.split()[1])] += 1
                if headers.get("connection") != "close":
                    continue
            except (OSError, EOFError, TimeoutError):
                self.answers["none"] += 1
                self.lab.note(f"{request_id} gets no answer")
            if writer is not None:
                writer.close()
            writer = None

    @property
    def is_broken(self) -> bool:
        """Whether processes ended by themselves as often as Fault says."""
        often = [name for name, count in self.ends.items() if count >= ENDS]
        return len(often) >= MACHINES

    async def watch(self) -> None:
        """Starts processes again that have ended by themselves."""
        while True:
            await asyncio.sleep(WATCH_S)
            for process in self.lab.processes.values():
                if process.lives:
                    continue
                self.lab.note(f"{process.name} has ended by itself")
                self.ends[process.name] += 1
                await asyncio.sleep(PROCESS_DOWN_S)
                self.lab.start(process.name)


async def play_trouble(lab: Lab) -> None:
    """Lets all runners crash; one is back before the others."""
    lab.note("all runners crash")
    for runner in lab.runners:
        runner.crash()
    await asyncio.sleep(DOWN_S)
    lab.note("one is back, and resets connections beyond its number")
    await lab.runners[0].restart()
    await asyncio.sleep(ALONE_S)
    lab.note("the others are back")
    for runner in lab.runners[1:]:
        await runner.restart()


async def case(has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    lab = Lab(pathlib.Path(__file__).parent, 5, PROXIES)
    site = Site(lab)
    lab.runners = [
        Runner(lab, "guide-models", i, SLOTS, MODEL, site.serve)
        for i in range(RUNNERS)
    ]
    for runner in lab.runners:
        runner.max_conns = MAX_CONNS
    engine = {
        "concurrency": SLOTS,
        "kvCapacity": 70946,
        "kvTokenBytes": 131072,
        "linkMbps": 280000.0,
        "maxInflight": 12,
        "models": [{"name": MODEL}],
    }
    service = {
        "name": "guide-models",
        "healthPath": "/health",
        "maxConns": MAX_CONNS,
        "backendEngine": engine,
    }
    digest = route("digest", "streaming", "guide-models", goalMs=1000)
    tasks = []
    try:
        await lab.open(configuration(1, [digest], [service]))
        tasks = [asyncio.create_task(site.client(i)) for i in range(CLIENTS)]
        tasks.append(asyncio.create_task(site.watch()))
        await asyncio.sleep(CALM_S)
        if site.answers[200] < 0.9 * sum(site.answers.values()):
            raise CannotRunError(f"answers in calm: {dict(site.answers)}")
        for _ in range(CYCLES):
            if has_trouble:
                await play_trouble(lab)
            await asyncio.sleep(BETWEEN_S)
            lab.note(f"answers so far: {dict(site.answers)}")
            if site.is_broken:
                break
        lab.note(f"ended by themselves: {dict(site.ends)}")
        print(f"ended by themselves: {dict(site.ends)}")
        return site.is_broken
    finally:
        for task in tasks:
            task.cancel()
        lab.close()


run_case(case)
