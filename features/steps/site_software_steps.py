"""Steps for software versions and resumed streams at a platform site."""

import random

import anyio
from behave import given, then, when

from standins.platform_site import StreamCall

# Time that streams run before all proxies are killed, and in which callers take
# them up again.
STREAMS_RUN_S = 0.8
TAKE_UP_S = 5.0
TAKE_UP_PAUSE_S = 0.2
NEW_SOFTWARE = "v2"


@given("{count:d} runners with software v2")
def add_new_software(context, count):
    async def action(site):
        await start_new_software(site, count)

    context.plan.actions.append(action)


async def start_new_software(site, count):
    """Starts runners of the new version; returns once all proxies use them."""
    for _ in range(count):
        await site.add_runner("guide-models", "guide", NEW_SOFTWARE)

    async def are_known():
        logs = [p.read_text() for p in site.folder.glob("proxy-*.log")]
        return all(
            log.count(f'"software": "{NEW_SOFTWARE}"') >= count for log in logs
        )

    await site.wait(are_known)


@given("{count:d} runners with software v2 come as the others leave")
def replace_software(context, count):
    context.plan.replaced_by = count


@when("all proxies are killed while {count:d} streams of {tokens:d} tokens run")
def kill_proxies_under_streams(context, count, tokens):
    plan = context.plan
    plan.calls = [StreamCall() for _ in range(count)]
    plan.tokens = tokens

    async def call_again(site, call):
        with anyio.move_on_after(TAKE_UP_S):
            while len(call.events) < tokens:
                await anyio.sleep(TAKE_UP_PAUSE_S * random.uniform(0.5, 1.5))
                proxy = f"proxy-{random.randint(1, plan.shape[1])}"
                call.statuses.append(await site.try_stream(proxy, call, tokens))

    async def call_stream(site, number, call):
        proxy = f"proxy-{1 + number % plan.shape[1]}"
        call.first_status = await site.try_stream(proxy, call, tokens)
        if call.events:
            await call_again(site, call)

    async def action(site):
        for runner in site.runners:
            runner.concurrency = count
        async with anyio.create_task_group() as group:
            for number, call in enumerate(plan.calls):
                group.start_soon(call_stream, site, number, call)
            await anyio.sleep(STREAMS_RUN_S)
            if replaced_by := getattr(plan, "replaced_by", 0):
                await replace_runners(site, replaced_by)
            site.restart_proxies()

    plan.actions.append(action)


async def replace_runners(site, count):
    """Starts runners of the new version and lets the others leave."""
    old = [r for r in site.runners if r.model]
    await start_new_software(site, count)
    for runner in old:
        runner.leaving = True
        await runner.leave_confirmed.wait()


def software_by_request(site):
    """Returns the software version that has run each request, by its id."""
    return {
        run.request_id: run.software
        for runner in site.runners
        for run in runner.runs
    }


@then("no stream has events of two software versions")
def check_one_software(context):
    plan = context.plan

    async def action(site):
        software = software_by_request(site)
        assert any(len(call.events) for call in plan.calls), plan.calls
        for call in plan.calls:
            versions = {software[request_id] for request_id in call.tries}
            assert len(versions) <= 1, (call.tries, versions, call.statuses)
            assert call.events == list(range(1, len(call.events) + 1)), call

    plan.actions.append(action)


@then("at least {least:d} of the streams taken up are complete")
def check_taken_up(context, least):
    plan = context.plan

    async def check(site):
        taken_up = [c for c in plan.calls if len(c.tries) > 1]
        whole = [c for c in taken_up if len(c.events) == plan.tokens]
        statuses = [c.statuses for c in plan.calls]
        assert len(whole) >= least, (len(whole), len(taken_up), statuses)

    plan.run(check)


@then("callers of streams whose version is gone are told so")
def check_version_gone(context):
    plan = context.plan

    async def check(site):
        software = software_by_request(site)
        # Beside load, streams that wait for a place may begin on the new one.
        gone = [
            call
            for call in plan.calls
            if call.tries and software[call.tries[0]] != NEW_SOFTWARE
        ]
        assert gone, plan.calls
        statuses = {s for call in gone for s in call.statuses}
        assert 503 in statuses and 200 not in statuses, gone
        logs = [p.read_text() for p in site.folder.glob("proxy-*.log")]
        assert any("stream_version_gone" in log for log in logs)

    plan.run(check)
