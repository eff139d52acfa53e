"""Steps for proxies that are cut off from the endpoints of a platform site."""

import contextlib

import anyio
import attrs
import httpx
from behave import then, when
from steps.platform_site_steps import SOUND_TOKENS, is_complete

# Rate at which each router gets requests that are tried once.
FIRST_TRIES_PER_S = 8.0
AFTER_CUT_S = 4.0
# Of the first tries at routers without paths, at least this part of the share
# of the others must be served.
SERVED_RATIO = 2 / 3


@attrs.define
class FirstTry:
    """A request that its caller sends once.

    Attributes:
        proxy: Name of the proxy.
        sent_s: When it was sent, in seconds after the cut.
        served: Whether its whole answer was received.
    """

    proxy: str
    sent_s: float
    served: bool = False


@when("the connections of proxies 1 and 2 to endpoints {how} for {seconds:f} s")
def cut_paths(context, how, seconds):
    plan = context.plan
    plan.tries, plan.cut_s = [], seconds
    mode = how.split()[0]

    async def send(site, number, first_try):
        with contextlib.suppress(httpx.HTTPError):
            if number % 2:
                answer = await site.send_request(
                    first_try.proxy, "/chat/x", SOUND_TOKENS
                )
                first_try.served = is_complete(answer, SOUND_TOKENS)
            else:
                body = b'{"order":%d}' % len(plan.tries)
                answer = await site.send_request(
                    first_try.proxy, "/booking/x", body=body
                )
                first_try.served = answer.status_code == 200

    async def action(site):
        for runner in site.runners:
            runner.concurrency = 64
        names = [f"proxy-{n}" for n in (1, 2, 3)]
        async with anyio.create_task_group() as group:
            began_at = anyio.current_time() + 1.0
            is_cut = False
            for number in range(
                round((1.0 + seconds + AFTER_CUT_S) * FIRST_TRIES_PER_S)
            ):
                since_s = anyio.current_time() - began_at
                if is_cut != (0 <= since_s < seconds):
                    is_cut = not is_cut
                    for name in names[:2]:
                        site.set_paths_cut(name, mode if is_cut else "")
                for name in names:
                    plan.tries.append(FirstTry(name, since_s))
                    group.start_soon(send, site, number, plan.tries[-1])
                await anyio.sleep(1 / FIRST_TRIES_PER_S)

    plan.actions.append(action)


def served_share(tries):
    assert len(tries) >= 10, len(tries)
    return sum(t.served for t in tries) / len(tries)


@then(
    "from {begin:f} s on their callers' first tries are served like the others'"
)
def check_first_tries(context, begin):
    plan = context.plan

    async def action(site):
        during = [t for t in plan.tries if begin <= t.sent_s < plan.cut_s]
        others = served_share([t for t in during if t.proxy == "proxy-3"])
        share = served_share([t for t in during if t.proxy != "proxy-3"])
        assert share >= SERVED_RATIO * others, (share, others)

    plan.actions.append(action)


@then("so are those after the end")
def check_after_cut(context):
    plan = context.plan

    async def check(site):
        after = [t for t in plan.tries if t.sent_s >= plan.cut_s + 2.0]
        assert served_share(after) >= 0.9, served_share(after)

    plan.run(check)
