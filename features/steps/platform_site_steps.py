"""Steps for a platform site that runs as separate processes."""

import contextlib
import io
import random
import re

import anyio
import attrs
import httpx
from behave import given, then, when

from knapweedarch import cli
from standins.platform_runner import count_runs
from standins.platform_site import StreamCall, configuration, open_site

SCENARIO_TIMEOUT_S = 60.0
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


def check_containment(site, sound, crashes, seconds, most, is_crashing):
    """Checks what reaches runners some time after they have crashed.

    Args:
        site: The site.
        sound: Requests beside those that crash runners.
        crashes: Number of crashes after which the time begins.
        seconds: The time in seconds.
        most: Most runs of crashing requests that may start after it.
        is_crashing: Returns whether a run is one of them.
    """
    crashed_at = sorted(t for r in site.runners for t in r.crashed_at)
    assert len(crashed_at) >= crashes, crashed_at
    bound_at = crashed_at[crashes - 1] + seconds
    runs = [run for r in site.runners for run in r.runs]
    later = [r for r in runs if is_crashing(r) and r.started_at > bound_at]
    assert len(later) <= most, (len(later), len(crashed_at))
    after = [s for s in sound if s.sent_at > bound_at]
    answered = [s for s in after if s.answered]
    assert len(answered) >= len(after) / 2, (len(answered), len(after))


CRASH_BODY = b'{"crash":true}'
DESKS = 3


@when("a request that crashes servers is repeated for {seconds:f} s")
def repeat_crashing_request(context, seconds):
    plan = context.plan
    plan.sound = []

    async def send(site, body, sound=None):
        proxy = f"proxy-{random.randint(1, plan.shape[1])}"
        with contextlib.suppress(httpx.HTTPError):
            answer = await site.send_request(proxy, "/booking/x", body=body)
            if sound is not None:
                sound.answered = answer.status_code == 200

    async def send_all(site, group):
        every = round(SOUND_PER_S / CRASHING_PER_S)
        for number in range(round(seconds * SOUND_PER_S)):
            sound = SoundStream(anyio.current_time())
            plan.sound.append(sound)
            group.start_soon(send, site, b'{"seat":%d}' % number, sound)
            if number % every == 0:
                group.start_soon(send, site, CRASH_BODY)
            await anyio.sleep(1 / SOUND_PER_S)

    async def action(site):
        for _ in range(DESKS - 1):
            await site.add_runner("desk")
        for runner in site.runners:
            runner.crash_body = CRASH_BODY
        async with anyio.create_task_group() as group:
            group.start_soon(send_all, site, group)

    plan.actions.append(action)


@then(
    "at most {most:d} copies of it start later than {seconds:f} s after the"
    " third crash"
)
def check_crashing_copies(context, most, seconds):
    plan = context.plan
    plan.bound = (most, seconds)


@then("at least half of the other requests after that are answered")
def check_other_requests(context):
    plan = context.plan
    most, seconds = plan.bound

    async def check(site):
        check_containment(
            *(site, plan.sound, 3, seconds, most),
            lambda run: run.body == CRASH_BODY,
        )

    plan.run(check)


# Requests with the part that crashes runners, and sound ones, per second.
CRASHING_PER_S = 4.0
SOUND_PER_S = 10.0
CRASH_PART = "crash"
CRASHING_PARTS = f"a1:2000,{CRASH_PART}:3000"
SOUND_PARTS = ("a1:2000,sound1:3000", "a1:2000,sound2:3000")
SOUND_TOKENS = 8


@attrs.define
class SoundStream:
    """A request beside those that crash runners.

    Attributes:
        sent_at: When it was sent, in seconds on the event loop's clock.
        answered: Whether its whole stream was received.
    """

    sent_at: float
    answered: bool = False


@when("requests for {seconds:f} s share a part that crashes runners")
def send_crashing_requests(context, seconds):
    plan = context.plan
    plan.sound = []

    async def send(site, parts, sound=None):
        proxy = f"proxy-{random.randint(1, plan.shape[1])}"
        # A stream that is broken off raises an error of the client.
        with contextlib.suppress(httpx.HTTPError):
            answer = await site.send_request(
                proxy, "/chat/x", SOUND_TOKENS, parts
            )
            if sound is not None:
                sound.answered = is_complete(answer, SOUND_TOKENS)

    async def send_crashing(site, group):
        for _ in range(round(seconds * CRASHING_PER_S)):
            group.start_soon(send, site, CRASHING_PARTS)
            await anyio.sleep(1 / CRASHING_PER_S)

    async def send_sound(site, group):
        for number in range(round(seconds * SOUND_PER_S)):
            sound = SoundStream(anyio.current_time())
            plan.sound.append(sound)
            group.start_soon(send, site, SOUND_PARTS[number % 2], sound)
            await anyio.sleep(1 / SOUND_PER_S)

    async def action(site):
        for runner in site.runners:
            runner.crash_part = CRASH_PART
        async with anyio.create_task_group() as group:
            group.start_soon(send_crashing, site, group)
            group.start_soon(send_sound, site, group)

    plan.actions.append(action)


@then(
    "at most {most:d} of them start later than {seconds:f} s after the fifth"
    " crash"
)
def check_crashing_requests(context, most, seconds):
    plan = context.plan
    plan.bound = (most, seconds)


@then("at least half of the sound requests after that are answered")
def check_sound_requests(context):
    plan = context.plan
    most, seconds = plan.bound

    async def check(site):
        check_containment(
            *(site, plan.sound, 5, seconds, most),
            lambda run: CRASH_PART in run.parts,
        )

    plan.run(check)


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
        await site.try_stream(proxy, call, tokens)
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


@then("no stream has events of two software versions")
def check_one_software(context):
    plan = context.plan

    async def action(site):
        software = {
            run.request_id: run.software
            for runner in site.runners
            for run in runner.runs
        }
        assert any(len(call.events) for call in plan.calls)
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
        statuses = {s for call in plan.calls for s in call.statuses}
        assert 503 in statuses and 200 not in statuses, statuses
        logs = [p.read_text() for p in site.folder.glob("proxy-*.log")]
        assert any("stream_version_gone" in log for log in logs)

    plan.run(check)


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
