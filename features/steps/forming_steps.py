"""Steps for the forming of the group."""

import anyio
from behave import then, when

from knapweedarch import control
from standins.forming_site import Kill, Moment, open_forming_site

START_LIMIT_S = 8.0


MESSAGES = {"Describe": control.Describe, "Form": control.Form}


@when(
    "{count:d} members start, and seeds {seeds} are killed {moment} {kind} "
    "message {number:d}"
)
def start_and_kill(context, count, seeds, moment, kind, number):
    victims = tuple(map(int, seeds.split(",")))
    context.count = count
    context.kill = Kill(MESSAGES[kind], number, Moment(moment), victims)


@when(
    "{count:d} members start, and the first seed comes back with an empty disk"
)
def start_and_wipe(context, count):
    context.count = count
    context.kill = Kill(control.Describe, 1, Moment.AFTER, (1,), wipe=True)


async def form_group(count: int, kill: Kill, limit_s: float) -> str:
    """Plays one start; returns what is wrong with it, if anything."""
    async with open_forming_site(count, kill) as site:
        for number in range(count, 0, -1):
            site.start(number, bootstrap=True)
        with anyio.move_on_after(START_LIMIT_S):
            await site.killed.wait()
        if not site.killed.is_set():
            return f"{kill}: not reached, {site.steps}"
        if not await site.wait_formed(limit_s):
            return f"{kill}: lists {site.lists()}, {site.steps[:20]}"
        return ""


@then("one group forms with all members within {limit_s:f} s")
def check_formed(context, limit_s):
    fault = anyio.run(form_group, context.count, context.kill, limit_s)
    assert not fault, fault
