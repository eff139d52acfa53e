"""Steps for requests that crash runners of a platform site."""

import contextlib
import random

import anyio
import attrs
import httpx
from behave import then, when
from steps.platform_site_steps import SOUND_TOKENS, is_complete

CRASH_BODY = b'{"crash":true}'
DESKS = 3
# Requests with the part that crashes runners, and sound ones, per second.
CRASHING_PER_S = 4.0
SOUND_PER_S = 10.0
CRASH_PART = "crash"
CRASHING_PARTS = f"a1:2000,{CRASH_PART}:3000"
SOUND_PARTS = ("a1:2000,sound1:3000", "a1:2000,sound2:3000")


@attrs.define
class SoundStream:
    """A request beside those that crash runners.

    Attributes:
        sent_at: When it was sent, in seconds on the event loop's clock.
        answered: Whether its whole stream was received.
    """

    sent_at: float
    answered: bool = False


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
