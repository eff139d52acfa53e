"""A call that may run once runs twice where its route has `resumable`."""

import pathlib

from common import http1
from common.site import (
    KEY,
    Record,
    Runner,
    Site,
    configuration,
    route,
    run_case,
    tenant,
    total_runs,
)

SERVERS = 3
CALLS = 120
# The server loses this one of its answers, and no other.
LOST_ANSWER = 10


async def lose_answer(
    runner: Runner, req: http1.Message, writer
) -> bool | None:
    """Resets the connection after one of the runs: its answer is lost."""
    if len(runner.run_times) != LOST_ANSWER:
        return None
    request_id = req.header("x-knapweedarch-request-id")
    runner.site.record.line(f"{runner.id} loses the answer to {request_id}")
    http1.reset(writer)
    return False


async def case(record: Record, is_disturbed: bool) -> int:
    """Runs the case."""
    site = Site(record)
    try:
        site.start_all()
        for _ in range(SERVERS):
            await site.add_runner("hut-desk", work_s=0.0225)
        booking = route(
            *("booking", "non_idempotent", "hut-desk"),
            timeoutMs=1500,
            goalMs=145,
            attempts=2,
            resumable=True,
        )
        config = configuration(1, [booking], [tenant("huts", KEY)])
        if not await site.put_config(config) or not await site.wait_ready():
            return 2
        if is_disturbed:
            site.runners[0].disturb = lose_answer
        ids = []
        for number in range(CALLS):
            body = b'{"booking": %d}' % number
            request_id, _ = await site.send(
                "/booking/1", proxy=number % 2, body=body, limit_ms=1500
            )
            ids.append(request_id)
        twice = [i for i in ids if total_runs(site, i) > 1]
        for request_id in twice:
            record.line(
                f"{request_id} ran {total_runs(site, request_id)} times"
            )
        record.line(f"{len(twice)} of {len(ids)} calls ran more than once")
        return 1 if twice else 0
    finally:
        site.close()


run_case(case, pathlib.Path(__file__).resolve().parent)
