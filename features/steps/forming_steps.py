"""Steps for the forming of the group."""

import shutil

import anyio
from behave import then, when

from knapweedarch import control
from standins.forming_site import Kill, Moment, open_forming_site
from standins.polling import wait_until

START_LIMIT_S = 8.0
MAX_CONCURRENT_SITES = 4
STEPS = [
    (message, number, moment)
    for message in (control.Describe, control.Form)
    for number in (1, 2, 3)
    for moment in Moment
]
CUT = ()
KILLED = [CUT, (1,), (2,), (3,), (1, 2), (1, 2, 3), (1, 2, 3, 4, 5)]
WIPED = [(1,), (2,), (3,)]


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


@when(
    "{count:d} members start, and each step of the forming is interrupted once"
)
def start_and_interrupt(context, count):
    context.count = count
    context.kills = [Kill(*s, victims) for s in STEPS for victims in KILLED]
    context.kills += [
        Kill(*s, victims, wipe=True) for s in STEPS for victims in WIPED
    ]


async def form_groups(
    count: int, kills: list[Kill], limit_s: float
) -> list[str]:
    """Plays many starts; returns what is wrong with them."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_SITES)
    faults = []

    async def form(kill: Kill) -> None:
        async with limiter:
            if fault := await form_group(count, kill, limit_s):
                faults.append(fault)

    async with anyio.create_task_group() as group:
        for kill in kills:
            group.start_soon(form, kill)
    return faults


@then("one group forms with all members within {limit_s:f} s each time")
def check_all_formed(context, limit_s):
    faults = anyio.run(form_groups, context.count, context.kills, limit_s)
    assert not faults, "\n".join([f"{len(faults)} starts:", *faults])


@when(
    "{count:d} members start, whose answers take {delay_s:f} s and of which "
    "the first seed waits"
)
def start_slow_members(context, count, delay_s):
    context.count = count
    context.delay_s = delay_s


async def form_slowly(count: int, delay_s: float, limit_s: float) -> str:
    """Plays a start with slow answers; returns what is wrong with it."""
    async with open_forming_site(count) as site:
        site.answer_delay_s = delay_s
        for number in range(1, count + 1):
            site.start(number, bootstrap=number > 1)
        if not await site.wait_formed(limit_s):
            return f"lists {site.lists()}, {site.steps}"
        return ""


@then(
    "one group forms with all members within {limit_s:f} s in each of "
    "{starts:d} starts"
)
def check_slow_starts(context, limit_s, starts):
    faults = []

    async def form():
        if fault := await form_slowly(context.count, context.delay_s, limit_s):
            faults.append(fault)

    async def run():
        async with anyio.create_task_group() as group:
            for _ in range(starts):
                group.start_soon(form)

    anyio.run(run)
    assert not faults, "\n".join([f"{len(faults)} starts:", *faults])


@when("{count:d} members start without seed {number:d}")
def start_without(context, count, number):
    context.count, context.missing = count, number


async def form_without(count: int, missing: int, limit_s: float) -> str:
    """Plays a start without one member; returns what is wrong with it."""
    async with open_forming_site(count) as site:
        for number in range(count, 0, -1):
            if number != missing:
                site.start(number, bootstrap=True)
        replicas = [m._replica for m in site.members.values()]
        with anyio.move_on_after(limit_s):
            while not all(r.knows_group for r in replicas):
                await anyio.sleep(0.1)
                replicas = [m._replica for m in site.members.values()]
            return ""
        return f"without seed {missing}: lists {site.lists()}"


@then("one group forms with the members that started within {limit_s:f} s")
def check_formed_without(context, limit_s):
    fault = anyio.run(form_without, context.count, context.missing, limit_s)
    assert not fault, fault


@when(
    "{members:d} of {count:d} members form a group, and the seeds lose their "
    "disks as the fifth returns"
)
def play_return(context, members, count):
    context.count = count


async def play_second_group(count: int, limit_s: float) -> str:
    """Returns which other group forms, if any."""
    seeds = (1, 2, 3)
    async with open_forming_site(count) as site:
        site.start(count, bootstrap=True)
        await anyio.sleep(0.5)
        site.kill(count)
        for number in range(count - 1, 0, -1):
            site.start(number, bootstrap=True)
        with anyio.fail_after(START_LIMIT_S):
            await wait_until(
                lambda: (
                    len(site.lists()) == 1
                    and all(
                        m._replica.knows_group for m in site.members.values()
                    )
                )
            )
        first = set(site.lists()[0])
        for number in seeds:
            site.kill(number)
        for number in seeds:
            await site._running[number].ended.wait()
            shutil.rmtree(site._folder / f"m{number}")
            site.start(number, bootstrap=False)
        site.start(count, bootstrap=False)
        with anyio.move_on_after(limit_s):
            while True:
                others = [known for known in site.lists() if not known & first]
                if others:
                    return f"{others} beside {first}"
                await anyio.sleep(0.1)
        return ""


@then("no member takes part in another group within {limit_s:f} s")
def check_no_second_group(context, limit_s):
    fault = anyio.run(play_second_group, context.count, limit_s)
    assert not fault, fault
