"""Steps for customer quotas at a platform site of separate processes."""

import os
import signal

import anyio
from behave import given, then, when
from steps.platform_site_steps import proxy_for_request

from standins.platform_runner import count_runs
from standins.platform_site import configuration

QUOTA_VERSION = 2
# Processes apply a confirmed configuration within this time, in seconds.
APPLIED_S = 2.0
BOOKINGS_PER_S = 20
# The group has a leader again after this time, in seconds.
SETTLED_S = 4.0


@given("the customer may make {rate:d} requests a second and {burst:d} at once")
def set_quota(context, rate, burst):
    plan = context.plan
    document = configuration(QUOTA_VERSION)
    document["tenants"][0].update(ratePerS=rate, burstSize=burst)
    plan.expected = document

    async def action(site):
        status = await site.call_control("PUT", "/api/config", document)
        assert status == 200, status
        await anyio.sleep(APPLIED_S)

    plan.actions.append(action)


@when("{count:d} bookings are requested at once")
def book_at_once(context, count):
    plan = context.plan

    async def book(site, number):
        plan.bookings.append(
            await site.send_request(proxy_for_request(number), "/booking/x")
        )

    async def action(site):
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(book, site, number)

    plan.actions.append(action)


@then(
    "at least {least:d} and at most {most:d} bookings were executed, and no"
    " others ran"
)
def check_executed(context, least, most):
    plan = context.plan

    async def check(site):
        done = [b for b in plan.bookings if b.status_code == 200]
        statuses = [b.status_code for b in plan.bookings]
        assert least <= len(done) <= most, statuses
        runs = count_runs(site.runners)
        assert sum(runs.values()) == len(done), (runs, statuses)

    plan.actions.append(check)


@then("the others got 429 with a Retry-After of at most {limit:g} s")
def check_refused(context, limit):
    plan = context.plan

    async def check(site):
        refused = [b for b in plan.bookings if b.status_code != 200]
        for answer in refused:
            assert answer.status_code == 429, answer.status_code
            retry_s = float(answer.headers["retry-after"])
            assert 0 < retry_s <= limit, retry_s
        plan.retry_s = max(float(a.headers["retry-after"]) for a in refused)

    plan.actions.append(check)


@then("a booking after that time is executed")
def check_served_again(context):
    plan = context.plan

    async def check(site):
        await anyio.sleep(plan.retry_s)
        answer = await site.send_request("proxy-1", "/booking/x")
        assert answer.status_code == 200, answer.status_code

    plan.run(check)


@when("bookings are made while each member in turn is frozen for {seconds:g} s")
def book_beside_frozen_members(context, seconds):
    plan = context.plan

    async def book(site, number):
        plan.bookings.append(
            await site.send_request(proxy_for_request(number), "/booking/x")
        )

    async def book_all(site):
        async with anyio.create_task_group() as group:
            for number in range(round(seconds * BOOKINGS_PER_S)):
                group.start_soon(book, site, number)
                await anyio.sleep(1 / BOOKINGS_PER_S)

    async def action(site):
        members = [p for p in site.processes.values() if p.role == "member"]
        for member in members:
            os.kill(member.popen.pid, signal.SIGSTOP)
            try:
                await book_all(site)
            finally:
                os.kill(member.popen.pid, signal.SIGCONT)
            await anyio.sleep(SETTLED_S)

    plan.actions.append(action)


@then("none of them got 429 or 503")
def check_none_refused(context):
    plan = context.plan

    async def check(site):
        statuses = [b.status_code for b in plan.bookings]
        assert len(statuses) > 100, len(statuses)
        refused = [s for s in statuses if s in (429, 503)]
        assert not refused, statuses

    plan.run(check)
