"""Steps for a platform site of real processes."""

import contextlib
import io
import re

import anyio
from behave import given, then, when

from knapweedarch import cli
from standins.platform_runner import count_runs
from standins.platform_site import configuration, open_site

SCENARIO_S = 60.0
EVENT = re.compile(r"id: (\d+)\n")


class Script:
    """What a scenario does while its site is up.

    A site lives in one event loop, so the steps collect actions and the last
    ones run them.
    """

    def __init__(self, members, proxies, runners):
        self.shape = (members, proxies, runners)
        self.actions = []
        self.streams = []
        self.bookings = []
        self.expected = configuration(1)

    def run(self, check):
        """Plays the actions, then the check."""

        async def play():
            async with open_site(*self.shape, SCENARIO_S) as site:
                for action in self.actions:
                    await action(site)
                await check(site)

        anyio.run(play)


def proxy(number):
    return f"proxy-{1 + number % 2}"


def is_whole(answer, tokens):
    numbers = [int(n) for n in EVENT.findall(answer.text)]
    return answer.status_code == 200 and numbers == list(range(1, tokens + 1))


@given(
    "a platform site of {members:d} members, {proxies:d} proxies and"
    " {runners:d} runners"
)
def platform_site(context, members, proxies, runners):
    context.script = Script(members, proxies, runners)


@given("configuration {version:d} with a route more is confirmed")
def later_configuration(context, version):
    script = context.script
    script.expected = configuration(version, "seats")

    async def action(site):
        status = await site.order("PUT", "/api/config", script.expected)
        assert status == 200, status

    script.actions.append(action)


@when(
    "{streams:d} streams of {tokens:d} tokens and {bookings:d} bookings are"
    " asked for"
)
def asked_for(context, streams, tokens, bookings):
    script = context.script
    script.tokens = tokens

    async def stream(site, number):
        answer = await site.ask(proxy(number), "/chat/x", tokens)
        script.streams.append(answer)

    async def book(site, number):
        script.bookings.append(await site.ask(proxy(number), "/booking/x"))

    async def action(site):
        async with anyio.create_task_group() as group:
            for number in range(streams):
                group.start_soon(stream, site, number)
            for number in range(bookings):
                group.start_soon(book, site, number)

    script.actions.append(action)


@when(
    "{count:d} streams of {tokens:d} tokens are asked for one after the other"
)
def asked_in_turn(context, count, tokens):
    async def action(site):
        for number in range(count):
            answer = await site.ask(proxy(number), "/chat/x", tokens)
            assert is_whole(answer, tokens), answer.text

    context.script.actions.append(action)


@when("weights {version:d} are named while streams go on")
def weights_named(context, version):
    script = context.script
    script.tokens = 15

    async def stream(site):
        for number in range(12):
            answer = await site.ask(proxy(number), "/chat/x", script.tokens)
            script.streams.append(answer)

    async def action(site):
        script.ended = anyio.Event()

        async def streams():
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(stream, site)
            script.ended.set()

        site._group.start_soon(streams)
        named = {"model": "guide", "version": version}
        assert await site.order("POST", "/api/version-put", named) == 200

    script.actions.append(action)


@then("every runner has weights {version:d} within {limit:f} s")
def runners_reach(context, version, limit):
    script = context.script

    async def action(site):
        async def reached():
            models = [r for r in site.runners if r.model]
            return all(r.weights == version for r in models)

        await site.wait(reached, limit)
        await script.ended.wait()

    script.actions.append(action)


@then("each stream is whole")
def streams_whole(context):
    script = context.script

    async def check(site):
        assert script.streams
        for answer in script.streams:
            assert is_whole(answer, script.tokens), answer.text
        context.exit_codes = await exit_codes(site, script)

    script.run(check)


async def exit_codes(site, script):
    """Waits for the processes that the scenario stopped."""
    codes = {}
    for name in getattr(script, "stopped", ()):
        popen = site.processes[name].popen
        codes[name] = await anyio.to_thread.run_sync(popen.wait)
    return codes


@then("each stream is whole and each booking was run once")
def whole_and_once(context):
    script = context.script

    async def action(site):
        runs = count_runs(site.runners)
        for answer in script.streams:
            assert is_whole(answer, script.tokens), answer.text
        for answer in script.bookings:
            assert answer.status_code == 200, answer.text
            assert runs[answer.json()["request"]] == 1
        customers = {r.customer for x in site.runners for r in x.runs}
        assert customers == {"huts"}, customers

    script.actions.append(action)


@then("the configuration is read back as it was sent")
def read_back(context):
    script = context.script

    async def check(site):
        assert await site.order("GET", "/api/config") == 200
        assert site.answer.json() == script.expected

    script.run(check)


@then("less than half of the prompts' tokens were read")
def half_read(context):
    async def check(site):
        runs = [r for x in site.runners if x.model for r in x.runs]
        read = sum(r.read_tokens for r in runs)
        assert read < 0.5 * 5090 * len(runs), read

    context.script.run(check)


@when("every process is killed and started again")
def restart_all(context):
    async def action(site):
        site.restart_all()

    context.script.actions.append(action)


@then("a request on the new route is answered within {limit:f} s")
def answered_within(context, limit):
    async def action(site):
        async def answered():
            if not await site.is_ready("proxy-1"):
                return False
            answer = await site.ask("proxy-1", "/seats/x")
            return answer.status_code == 200

        context.taken_s = await site.wait(answered, limit)

    context.script.actions.append(action)


@when("runner {number:d} leaves and that is confirmed")
def runner_leaves(context, number):
    async def action(site):
        site.runners[number - 1].leaving = True
        await site.runners[number - 1].left.wait()

    context.script.actions.append(action)


@then("{later:f} s later runner {number:d} gets none of {count:d} streams")
def gets_none(context, later, number, count):
    async def check(site):
        await anyio.sleep(later)
        runner = site.runners[number - 1]
        before = len(runner.runs)
        for turn in range(count):
            answer = await site.ask(proxy(turn), "/chat/x", 2)
            assert is_whole(answer, 2), answer.text
        assert len(runner.runs) == before

    context.script.run(check)


@when("proxy {number:d} gets SIGTERM during a stream of {tokens:d} tokens")
def stopped_in_stream(context, number, tokens):
    script = context.script
    script.tokens, name = tokens, f"proxy-{number}"
    script.stopped = (name,)

    async def action(site):
        async def stream():
            answer = await site.ask(name, "/chat/x", tokens)
            script.streams.append(answer)

        async with anyio.create_task_group() as group:
            group.start_soon(stream)

            async def begun():
                return any(r.runs for r in site.runners)

            await site.wait(begun)
            site.terminate(name)

    script.actions.append(action)


@then("proxy {number:d} ends with code {code:d}")
def proxy_ends(context, number, code):
    assert context.exit_codes == {f"proxy-{number}": code}


@then("the tool tells where request {number:d} was answered")
def tool_tells(context, number):
    async def check(site):
        logs = [str(path) for path in site.folder.glob("*.log")]
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = cli.run(["explain", f"request-{number}", *logs])
        last = out.getvalue().splitlines()[-1]
        assert code == 0, out.getvalue()
        assert last.startswith("a whole stream of 3 events at proxy-"), last

    context.script.run(check)
