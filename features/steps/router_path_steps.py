"""Steps for routers of the product that lose their paths to endpoints."""

import concurrent.futures
import time

import attrs
import httpx
from behave import then, when

from features.steps.deployment_steps import chat, deposit

TRY_INTERVAL_S = 0.2
AFTER_CUT_S = 5.0
# A router looks once a second whether its links are back.
BACK_S = 2.5
# At least this part of the share of router-2's callers must be served.
SERVED_RATIO = 2 / 3
ROUTERS = ("router-1", "router-2")


@attrs.define
class Try:
    """A request that its caller sends once.

    Attributes:
        router: Name of the router.
        sent_s: When it was sent, in seconds after the cut.
        served: Whether its whole answer was received.
    """

    router: str
    sent_s: float
    served: bool = False


def send(cluster, one, number):
    try:
        if number % 2:
            answer = chat(cluster, one.router)
        else:
            answer = deposit(cluster, one.router, f"{one.router}-cut-{number}")
        one.served = answer.status_code == 200
    except httpx.HTTPError:
        one.served = False


@when("the connections of router-1 to endpoints {how} for {seconds:f} s")
def cut_paths(context, how, seconds):
    cluster = context.cluster
    context.tries, context.cut_s = [], seconds
    began_at = time.monotonic()
    cluster.set_paths_cut("router-1", how.split()[0])
    is_cut = True
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        for number in range(round((seconds + AFTER_CUT_S) / TRY_INTERVAL_S)):
            since_s = time.monotonic() - began_at
            if is_cut and since_s >= seconds:
                is_cut = False
                cluster.set_paths_cut("router-1", "")
            for router in ROUTERS:
                context.tries.append(Try(router, since_s))
                pool.submit(send, cluster, context.tries[-1], number)
            time.sleep(TRY_INTERVAL_S)


def served_share(tries):
    assert len(tries) >= 10, len(tries)
    return sum(one.served for one in tries) / len(tries)


@then("from {begin:f} s on its callers are served like those of router-2")
def check_served(context, begin):
    during = [t for t in context.tries if begin <= t.sent_s < context.cut_s]
    own, other = (
        served_share([t for t in during if t.router == router])
        for router in ROUTERS
    )
    assert other >= 0.9, other
    assert own >= SERVED_RATIO * other, (own, other)


@then("its callers are served once the links are back")
def check_after(context):
    begin = context.cut_s + BACK_S
    after = [t for t in context.tries if t.sent_s >= begin]
    own = served_share([t for t in after if t.router == "router-1"])
    assert own >= 0.9, own
