"""Steps for a platform site that runs as separate processes."""

import contextlib
import io
import re

import anyio
from behave import given, then, when

from knapweedarch import cli
from standins.platform_runner import count_runs
from standins.platform_site import configuration, open_site

SCENARIO_TIMEOUT_S = 60.0
# Length of a stream beside what a scenario disturbs.
SOUND_TOKENS = 8
# Number of a server-sent event; a stream numbers its events from 1.
EVENT_ID = re.compile(r"id: (\d+)\n")


class ScenarioPlan:
    """Actions of a scenario against a running site.

    A site is bound to one event loop, so the steps collect actions and the
    final step runs them all in one loop. Some steps also set `tokens`, the
    length of each stream; `ended`, an event set when all streams have ended; or
    `stopped`, the names of the processes that were told to stop.

    Attributes:
        shape: Numbers of members, proxies and runners.
        actions: Coroutine functions that are called with the site, in order.
        streams: Responses to streamed requests.
        bookings: Responses to bookings.
        expected: Configuration that the site must return.
    """

    def __init__(self, members, proxies, runners):
        self.shape = (members, proxies, runners)
        self.actions = []
        self.streams = []
        self.bookings = []
        self.expected = configuration(1)

    def run(self, check):
        """Opens the site and runs the actions, then the check."""

        async def run_actions():
            async with open_site(*self.shape, SCENARIO_TIMEOUT_S) as site:
                for action in self.actions:
                    await action(site)
                await check(site)

        anyio.run(run_actions)


def proxy_for_request(number):
    """Returns the proxy of a request; requests alternate between two."""
    return f"proxy-{1 + number % 2}"


def is_complete(answer, tokens):
    """Returns whether the answer is a stream of events 1 to `tokens`."""
    numbers = [int(n) for n in EVENT_ID.findall(answer.text)]
    return answer.status_code == 200 and numbers == list(range(1, tokens + 1))


@given(
    "a platform site of {members:d} members, {proxies:d} proxies and"
    " {runners:d} runners"
)
def plan_site(context, members, proxies, runners):
    context.plan = ScenarioPlan(members, proxies, runners)


@given("configuration {version:d} with an additional route is confirmed")
def put_configuration(context, version):
    plan = context.plan
    plan.expected = configuration(version, "seats")

    async def action(site):
        status = await site.call_control("PUT", "/api/config", plan.expected)
        assert status == 200, status

    plan.actions.append(action)


@when(
    "{streams:d} streams of {tokens:d} tokens and {bookings:d} bookings are"
    " requested"
)
def send_streams_and_bookings(context, streams, tokens, bookings):
    plan = context.plan
    plan.tokens = tokens

    async def stream(site, number):
        answer = await site.send_request(
            proxy_for_request(number), "/chat/x", tokens
        )
        plan.streams.append(answer)

    async def book(site, number):
        plan.bookings.append(
            await site.send_request(proxy_for_request(number), "/booking/x")
        )

    async def action(site):
        async with anyio.create_task_group() as group:
            for number in range(streams):
                group.start_soon(stream, site, number)
            for number in range(bookings):
                group.start_soon(book, site, number)

    plan.actions.append(action)


@when(
    "{count:d} streams of {tokens:d} tokens are requested one after the other"
)
def send_streams_in_turn(context, count, tokens):
    async def action(site):
        for number in range(count):
            answer = await site.send_request(
                proxy_for_request(number), "/chat/x", tokens
            )
            assert is_complete(answer, tokens), answer.text

    context.plan.actions.append(action)


@when("weights {version:d} are named while streams are running")
def put_weights_version(context, version):
    plan = context.plan
    plan.tokens = 15

    async def stream(site):
        for number in range(12):
            answer = await site.send_request(
                proxy_for_request(number), "/chat/x", plan.tokens
            )
            plan.streams.append(answer)

    async def action(site):
        plan.ended = anyio.Event()

        async def streams():
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(stream, site)
            plan.ended.set()

        site._group.start_soon(streams)
        named = {"model": "guide", "version": version}
        assert await site.call_control("POST", "/api/version-put", named) == 200

    plan.actions.append(action)


@then("every runner has weights {version:d} within {limit:f} s")
def check_runner_weights(context, version, limit):
    plan = context.plan

    async def action(site):
        async def reached():
            model_runners = [r for r in site.runners if r.model]
            return all(r.weights == version for r in model_runners)

        await site.wait(reached, limit)
        await plan.ended.wait()

    plan.actions.append(action)


@then("each stream is complete")
def check_streams(context):
    plan = context.plan

    async def check(site):
        assert plan.streams
        for answer in plan.streams:
            assert is_complete(answer, plan.tokens), answer.text
        context.exit_codes = await wait_for_exit_codes(site, plan)

    plan.run(check)


async def wait_for_exit_codes(site, plan):
    """Waits for the stopped processes; returns their exit codes by name."""
    codes = {}
    for name in getattr(plan, "stopped", ()):
        popen = site.processes[name].popen
        codes[name] = await anyio.to_thread.run_sync(popen.wait)
    return codes


@then("each stream is complete and each booking was executed once")
def check_streams_and_bookings(context):
    plan = context.plan

    async def action(site):
        runs = count_runs(site.runners)
        for answer in plan.streams:
            assert is_complete(answer, plan.tokens), answer.text
        for answer in plan.bookings:
            assert answer.status_code == 200, answer
            assert runs[answer.json()["request"]] == 1
        customers = {r.customer for x in site.runners for r in x.runs}
        assert customers == {"huts"}, customers

    plan.actions.append(action)


@then("the configuration is read back as it was sent")
def check_configuration(context):
    plan = context.plan

    async def check(site):
        assert await site.call_control("GET", "/api/config") == 200
        assert site.answer.json() == plan.expected

    plan.run(check)


@then("less than half of the prompt tokens were computed")
def check_computed_tokens(context):
    async def check(site):
        runs = [r for x in site.runners if x.model for r in x.runs]
        computed_tokens = sum(r.computed_tokens for r in runs)
        # The prompt of each chat request has 5090 tokens.
        assert computed_tokens < 0.5 * 5090 * len(runs), computed_tokens

    context.plan.run(check)


@when("every process is killed and started again")
def kill_and_restart_all(context):
    async def action(site):
        site.restart_all()

    context.plan.actions.append(action)


@then("a request on the new route is answered within {limit:f} s")
def check_answered_within(context, limit):
    async def action(site):
        async def answered():
            if not await site.is_ready("proxy-1"):
                return False
            answer = await site.send_request("proxy-1", "/seats/x")
            return answer.status_code == 200

        context.taken_s = await site.wait(answered, limit)

    context.plan.actions.append(action)


@when("runner {number:d} leaves and the leave is confirmed")
def drain_runner(context, number):
    async def action(site):
        site.runners[number - 1].leaving = True
        await site.runners[number - 1].leave_confirmed.wait()

    context.plan.actions.append(action)


@then("{later:f} s later runner {number:d} receives none of {count:d} streams")
def check_no_new_streams(context, later, number, count):
    async def check(site):
        await anyio.sleep(later)
        runner = site.runners[number - 1]
        before = len(runner.runs)
        for turn in range(count):
            answer = await site.send_request(
                proxy_for_request(turn), "/chat/x", 2
            )
            assert is_complete(answer, 2), answer.text
        assert len(runner.runs) == before

    context.plan.run(check)


@when("proxy {number:d} gets SIGTERM during a stream of {tokens:d} tokens")
def stop_proxy_during_stream(context, number, tokens):
    plan = context.plan
    plan.tokens, name = tokens, f"proxy-{number}"
    plan.stopped = (name,)

    async def action(site):
        async def stream():
            answer = await site.send_request(name, "/chat/x", tokens)
            plan.streams.append(answer)

        async with anyio.create_task_group() as group:
            group.start_soon(stream)

            async def started():
                return any(r.runs for r in site.runners)

            await site.wait(started)
            site.terminate(name)

    plan.actions.append(action)


@then("proxy {number:d} exits with code {code:d}")
def check_proxy_exit_code(context, number, code):
    assert context.exit_codes == {f"proxy-{number}": code}


@then("the tool explains where request {number:d} was answered")
def check_explanation(context, number):
    async def check(site):
        logs = [str(path) for path in site.folder.glob("*.log")]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = cli.run(["explain", f"request-{number}", *logs])
        last = out.getvalue().splitlines()[-1]
        assert code == 0, out.getvalue()
        assert last.startswith("complete stream of 3 events at proxy-"), last

    context.plan.run(check)
