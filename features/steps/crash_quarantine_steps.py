"""Steps for parts of prompts that crash runners, in virtual time."""

from behave import given, then, when

from features.crash_world import MODEL, CrashWorld, Load
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.part_quarantine import PartQuarantine
from knapweedarch.quarantine_messages import (
    CrashedPart,
    CrashReport,
    HeldPart,
    PartReports,
    SoundPart,
    part_digest,
)
from knapweedarch.quarantine_relay import QuarantineRelay
from knapweedarch.request_digests import RequestDigests

SEED = 7


def send(context, seconds: float, **options) -> None:
    options.setdefault("is_answered", context.is_answered)
    context.world.run(Load(**options), seconds)


@given(
    "{routers:d} routers, {members:d} members and {runners:d} runners that"
    " crash on a part"
)
def create_world(context, routers, members, runners):
    context.world = CrashWorld(routers, members, runners, SEED)
    context.is_answered = True


@given("the crashing requests get no byte of an answer")
def hide_answers(context):
    context.is_answered = False


@when(
    "{crashing:g} requests a second with it as {place} part and {sound:g}"
    " others come for {seconds:g} s"
)
def send_crashing(context, crashing, place, sound, seconds):
    send(
        *(context, seconds),
        crashing_per_s=crashing,
        sound_per_s=sound,
        place=place,
    )


@when(
    "{copies:d} crashing request comes {crashing:g} times a second, and"
    " {sound:g} others, {prompts} prompts, for {seconds:g} s"
)
@when(
    "{copies:d} crashing requests come {crashing:g} times a second, and"
    " {sound:g} others, {prompts} prompts, for {seconds:g} s"
)
def repeat_crashing(context, copies, crashing, sound, prompts, seconds):
    send(
        *(context, seconds),
        crashing_per_s=crashing,
        sound_per_s=sound,
        copies=copies,
        has_prompts=prompts == "with",
        repeats=1,
        is_answered=False,
    )


@when(
    "{crashing:g} requests a second with it as second part are sent up to"
    " {sends:d} times each, and {sound:g} others, for {seconds:g} s"
)
def send_crashing_repeatedly(context, crashing, sends, sound, seconds):
    send(
        *(context, seconds),
        crashing_per_s=crashing,
        sound_per_s=sound,
        repeats=sends - 1,
    )


@when("{sound:g} sound requests a second come for {seconds:g} s")
def send_sound(context, sound, seconds):
    send(context, seconds, crashing_per_s=0, sound_per_s=sound)


@when("requests with it are answered for {seconds:g} s")
def answer_crash_part(context, seconds):
    world = context.world
    for _ in range(round(seconds)):
        send(context, 1.0, crashing_per_s=0, sound_per_s=40)
        parts = tuple(part_digest(MODEL, part) for part in ("a0", "crash"))
        digests = RequestDigests(0, parts)
        for guard in world.routers:
            guard.record_sound(digests, world.now)


@when(
    "runners fail, {count:d} each {pause:g} s, while {sound:g} sound requests a"
    " second come for {seconds:g} s"
)
def fail_runners(context, count, pause, sound, seconds):
    for _ in range(round(seconds / pause)):
        send(
            *(context, pause),
            crashing_per_s=0,
            sound_per_s=sound,
            first_parts=4,
        )
        context.world.end_runners(count)


@when("member 1 stops for good")
def lose_member(context):
    context.world.lose_member(1)


@when("all members restart")
def restart_members(context):
    context.world.replace_members()


@when("the routers restart in turn")
def restart_routers(context):
    for number in range(len(context.world.routers)):
        context.world.restart_router(number)
        send(context, 1.0, crashing_per_s=5, sound_per_s=40)


ORDINALS = {"third": 3, "fifth": 5}


@then(
    "at most {most:d} are sent later than {seconds:g} s after the {nth} crash"
)
def check_sent(context, most, seconds, nth):
    world, number = context.world, ORDINALS[nth]
    assert world.crash_starts
    if len(world.crashes) < number:
        return
    bound = world.crashes[number - 1] + seconds
    later = [at for at in world.crash_starts if at > bound]
    assert len(later) <= most, (len(later), len(world.crashes), bound, later)


@then(
    "no sound request is refused later than {seconds:g} s after the {nth} crash"
)
def check_sound_after(context, seconds, nth):
    world, number = context.world, ORDINALS[nth]
    bound = 0.0
    if len(world.crashes) >= number:
        bound = world.crashes[number - 1] + seconds
    later = [at for at in world.sound_held if at > bound]
    sent = [at for at in world.sound_sent if at > bound]
    assert sent
    assert not later, (len(later), len(sent), later[:3])


@then(
    "at most {most:d} of each are sent later than {seconds:g} s after its third"
    " crash"
)
def check_each(context, most, seconds):
    world = context.world
    assert len(world.crashes_of) > 1
    for request, crashes in world.crashes_of.items():
        if len(crashes) >= 3:
            bound = crashes[2] + seconds
            later = [at for at in world.starts_of[request] if at > bound]
            assert len(later) <= most, (request, bound, later)


@given("a router that holds a request back")
def create_router_with_request(context):
    context.guard = create_crash_guard(SEED)
    context.digests = RequestDigests(1)
    for runner in range(3):
        context.guard.record_broken(runner, context.digests, False, runner)
        context.guard.review(runner + 0.4)
    context.guard.review(3.5)
    assert context.guard.held_s(context.digests, 4.0)


@when("a copy of it is answered after the hold")
def answer_after_hold(context):
    assert not context.guard.held_s(context.digests, 100.0)
    context.guard.record_sound(context.digests, 100.0)


@then("the router does not hold it back, also after one more crash")
def check_not_held_again(context):
    context.guard.record_broken(9, context.digests, False, 101.0)
    context.guard.review(102.0)
    assert not context.guard.held_s(context.digests, 102.0)


@then("no sound request is refused")
def check_sound(context):
    world = context.world
    assert world.sound_sent
    assert not world.sound_held, (len(world.sound_held), world.sound_held[0])


@then("no router receives more than {most:d} bytes a second for it")
def check_bytes(context, most):
    world = context.world
    received = max(world.bytes_to.values(), default=0) / world.now
    assert received <= most, received


@then("no router holds the part back")
def check_not_held(context):
    world = context.world
    held = [i for i in range(len(world.routers)) if world.is_held(i, "crash")]
    assert not held, held


@then("no process remembers a crash")
def check_forgotten(context):
    world = context.world
    for process in (*world.routers, *world.members.values()):
        quarantine = process._quarantine
        assert not quarantine.tracker._crashes
        assert not quarantine.tracker.watched
        assert not quarantine._holds


@given("a member that is told of {count:d} crashes within 0.1 s")
def report_crashes_at_once(context, count):
    context.runners = count


@given("at {shared:d} of them a request with a new part had an answer")
def report_new_part(context, shared):
    context.member = QuarantineRelay()
    context.part = 1
    for number in range(context.runners):
        other = CrashedPart(100 + number, 1, answered=True)
        new = CrashedPart(context.part, 1, answered=True)
        parts = (new, other) if number < shared else (other,)
        crash = CrashReport(number, 0.0, parts)
        context.member.receive(
            PartReports(crashes=(crash,)),
            is_member=False,
            now=10.0 + 0.1 * number / context.runners,
        )
    for turn in range(20):
        context.member.review(10.2 + 0.1 * turn)


@then("the member {does} the part back")
def check_held_by_member(context, does):
    notices = context.member.known_notices(12.2)
    held = [h.part for h in notices.held] if notices else []
    assert held == ([context.part] if does == "holds" else []), held


@given('a member that watches part "{part}" since two crashes')
def create_watching_member(context, part):
    context.member = QuarantineRelay()
    crashed = CrashedPart(part_digest(MODEL, part), 0, answered=True)
    for number in range(2):
        crash = CrashReport(number, 0.0, (crashed,))
        context.member.receive(
            PartReports(crashes=(crash,)), is_member=False, now=10.0 + number
        )
    context.member.review(12.0)


@when('a request with part "{part}" was answered before them')
def report_earlier_answer(context, part):
    report_answer(context, part, age_s=5.0)


@when('a request with part "{part}" is answered after them')
def report_later_answer(context, part):
    report_answer(context, part, age_s=0.1)


def report_answer(context, part, age_s: float) -> None:
    sound = SoundPart(part_digest(MODEL, part), age_s)
    context.member.receive(
        PartReports(sound=(sound,)), is_member=False, now=12.5
    )
    # Long after the last crash, when nothing is left to be found.
    context.member.review(20.0)
    notices = context.member.take_notices() or context.notices
    context.notices = notices


@then('the member watches part "{part}"')
def check_watched(context, part):
    assert context.notices.watched == (part_digest(MODEL, part),)


@then('the member does not watch part "{part}"')
def check_not_watched(context, part):
    assert context.notices.watched == ()


@given('a router that holds part "{part}" back')
def create_holding_router(context, part):
    context.guard = create_crash_guard(SEED)
    context.part = part_digest(MODEL, part)
    context.guard._quarantine.hold(HeldPart(context.part, 60.0, 1), 10.0)
    context.digests = RequestDigests(0, (context.part,))
    assert context.guard.held_s(context.digests, 11.0)


@when('an answer to a request with part "{part}" goes on')
def record_answer(context, part):
    context.guard.record_sound(context.digests, 11.0)


@then('the router does not hold part "{part}" back')
def check_released(context, part):
    assert not context.guard.held_s(context.digests, 11.1)


@given(
    "a router at which {answered:d} requests are answered and {broken:d} others"
    " break off"
)
def fill_router(context, answered, broken):
    context.guard = create_crash_guard(SEED)
    for number in range(answered):
        context.guard.record_sound(RequestDigests(number), 1.0)
    for number in range(broken):
        digests = RequestDigests(-number - 1, (number % 500,))
        context.guard.record_broken(number % 50, digests, True, 2.0)


@then("it remembers at most {most:d} of each kind")
def check_requests_bounded(context, most):
    assert len(context.guard._answered_at) <= most
    assert len(context.guard._broken_at) <= most


@then("its report has at most {crashes:d} crashes of at most {parts:d} parts")
def check_report_bounded(context, crashes, parts):
    reports = context.guard.take_reports(2.1)
    assert len(reports.crashes) <= crashes
    assert max(len(crash.parts) for crash in reports.crashes) <= parts


@given("a member that is told of {count:d} crashes with parts of their own")
def report_crashes(context, count):
    context.count = count
    context.member = QuarantineRelay()
    for number in range(count):
        parts = tuple(
            CrashedPart(number * 100 + i, i, answered=True) for i in range(100)
        )
        report = CrashReport(number, 0.0, parts)
        context.member.receive(
            PartReports(crashes=(report,)), is_member=False, now=number * 0.01
        )


@given("of as many parts that are held back, and as many that are sound")
def report_parts(context):
    for number in range(context.count):
        reports = PartReports(
            sound=(SoundPart(number, 0.0),),
            held=(HeldPart(-number - 1, 60.0 + number * 0.01, 1),),
        )
        context.member.receive(reports, is_member=False, now=100.0)


@then(
    "it remembers at most {crashes:d} crashes, {held:d} held and {sound:d}"
    " sound parts"
)
def check_sizes(context, crashes, held, sound):
    quarantine: PartQuarantine = context.member._quarantine
    assert len(quarantine.tracker._crashes) <= crashes
    assert len(quarantine._holds) <= held
    assert len(quarantine.tracker._sound) <= sound
    assert all(
        len(c.parts) <= 128 for c in quarantine.tracker._crashes.values()
    )


@then("its messages have at most {most:d} entries of a kind")
def check_messages(context, most):
    member = context.member
    reports, notices = member.take_reports(100.0), member.take_notices()
    for entries in (*_fields(reports), *_fields(notices)):
        assert len(entries) <= most, len(entries)
    for entries in _fields(member.known_notices(100.0)):
        assert len(entries) <= most, len(entries)


def _fields(message) -> list[tuple]:
    names = ("crashes", "sound", "watched", "held", "released")
    return [getattr(message, n) for n in names if hasattr(message, n)]
