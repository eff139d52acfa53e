"""Routers, members and runners in virtual time, with requests that crash.

Messages between routers and members are delivered after a delay. A runner that
begins to answer a request with the crash part ends, and breaks off everything
that it runs; it comes back as another incarnation.
"""

import collections
import random

import attrs

from knapweedarch.control_messages import CONTROL
from knapweedarch.crash_guard import SOUND_EVENTS, create_crash_guard
from knapweedarch.quarantine_messages import part_digest, runner_digest
from knapweedarch.quarantine_relay import QuarantineRelay
from knapweedarch.request_digests import RequestDigests

STEP_S = 0.05
ROUTER_INTERVAL_S = 0.1
MEMBER_INTERVAL_S = 0.1
MESSAGE_DELAY_S = 0.05
RESTART_S = 3.0
# Time from the start of an answer to its first event, and between events.
EVENT_S = 0.06
# Time from the start of an answer until its runner crashes.
CRASH_S = 0.04
MODEL = "m"


@attrs.define(kw_only=True, eq=False)
class Call:
    """A request at a runner.

    Attributes:
        router: Number of its router.
        request: Digest of the request; copies have the same.
        parts: Ids of its shared parts, in order.
        sends_left: How often it may be sent once more after a crash.
        answer_at: When its answer begins.
        end_at: When its answer ends.
        crashes: Whether it crashes its runner.
        is_sound_known: Whether the router has recorded it as sound.
    """

    router: int
    request: int
    parts: tuple[str, ...]
    sends_left: int
    answer_at: float
    end_at: float
    crashes: bool
    is_sound_known: bool = False

    def digests(self) -> RequestDigests:
        """Returns the digests of the request."""
        parts = tuple(part_digest(MODEL, part) for part in self.parts)
        return RequestDigests(self.request, parts)

    def events(self, now: float) -> int:
        """Returns the number of complete events."""
        if self.crashes:
            return 0
        return max(0, int((now - self.answer_at) / EVENT_S))


@attrs.define
class Runner:
    """A runner; `down_until` is when its next incarnation starts."""

    name: str
    incarnation: int = 1
    down_until: float = 0.0
    calls: list[Call] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Load:
    """What callers send.

    Attributes:
        crashing_per_s: Requests a second with the crash part.
        sound_per_s: Other requests a second.
        first_parts: Number of different first parts.
        second_parts: Number of different second parts of sound requests.
        place: `second` or `first`: place of the crash part in its prompts.
        is_answered: Whether callers see the head of an answer that crashes.
        copies: Number of different crashing requests, which come again and
            again; 0 if each comes once.
        has_prompts: Whether requests have parts.
        repeats: How often a router sends a request once more after a crash.
    """

    crashing_per_s: float
    sound_per_s: float
    first_parts: int = 20
    second_parts: int = 200
    place: str = "second"
    is_answered: bool = True
    copies: int = 0
    has_prompts: bool = True
    repeats: int = 0


class CrashWorld:
    """Routers, members and runners.

    Attributes:
        now: The time in seconds.
        crashes: Times at which runners ended by a request.
        crashes_of: Times at which runners ended by each crashing request.
        starts_of: Times at which each crashing request was sent.
        crash_starts: Times at which requests with the crash part were sent.
        sound_sent: Times at which sound requests were sent.
        sound_held: Times at which sound requests were refused as held back.
        bytes_to: Bytes received by each router.
    """

    def __init__(self, routers: int, members: int, runners: int, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.routers = [create_crash_guard(seed + i) for i in range(routers)]
        self.members = {i: QuarantineRelay() for i in range(members)}
        self.member_of = [i % members for i in range(routers)]
        self.runners = [Runner(f"i-{i}") for i in range(runners)]
        self.crashes: list[float] = []
        self.crashes_of: dict[int, list[float]] = collections.defaultdict(list)
        self.starts_of: dict[int, list[float]] = collections.defaultdict(list)
        self.crash_starts: list[float] = []
        self.sound_sent: list[float] = []
        self.sound_held: list[float] = []
        self.bytes_to: collections.Counter[int] = collections.Counter()
        self._messages: list = []
        self._sends = 0
        self._requests = 0

    def run(self, load: Load, seconds: float) -> None:
        """Lets callers send for a time."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for _ in range(self._count(load.crashing_per_s)):
                self._send(load, crashes=True)
            for _ in range(self._count(load.sound_per_s)):
                self._send(load, crashes=False)
            self._run_calls(load)
            self._deliver()
            self._review()

    def end_runners(self, count: int) -> None:
        """Ends runners for a reason that no request has."""
        for runner in self.rng.sample(self._up(), count):
            self._end(runner, is_answered=True)

    def lose_member(self, number: int) -> None:
        """Ends a member; its routers subscribe to another one."""
        del self.members[number]
        left = sorted(self.members)
        for router, member in enumerate(self.member_of):
            if member == number:
                self._subscribe(router, left[router % len(left)])

    def replace_members(self) -> None:
        """Restarts all members, which keep nothing in memory."""
        self.members = {number: QuarantineRelay() for number in self.members}
        for router, member in enumerate(self.member_of):
            self._subscribe(router, member)

    def restart_router(self, number: int) -> None:
        """Restarts a router, which subscribes again."""
        self.routers[number] = create_crash_guard(1000 + number)
        self._subscribe(number, self.member_of[number])

    def is_held(self, router: int, part: str) -> bool:
        """Returns whether a router holds a part back."""
        digests = RequestDigests(0, (part_digest(MODEL, part),))
        return self.routers[router].held_s(digests, self.now) > 0

    def is_request_held(self, router: int, request: int) -> bool:
        """Returns whether a router holds a request back."""
        guard = self.routers[router]
        return guard.held_s(RequestDigests(request), self.now) > 0

    def _subscribe(self, router: int, member: int) -> None:
        self.member_of[router] = member
        self.routers[router].reset(self.now)
        if notices := self.members[member].known_notices(self.now):
            self._post("router", router, notices)

    def _count(self, per_s: float) -> int:
        whole, rest = divmod(per_s * STEP_S, 1.0)
        return int(whole) + (self.rng.random() < rest)

    def _up(self) -> list[Runner]:
        return [r for r in self.runners if r.down_until <= self.now]

    def _request(self, load: Load, crashes: bool) -> int:
        if crashes and load.copies:
            return 1 + self.rng.randrange(load.copies)
        self._requests += 1
        return 1000 + self._requests

    def _parts(self, load: Load, crashes: bool) -> tuple[str, ...]:
        if not load.has_prompts:
            return ()
        rng = self.rng
        first = f"a{rng.randrange(load.first_parts)}"
        second = f"b{rng.randrange(load.second_parts)}"
        if not crashes:
            return first, second
        if load.copies:
            # Only the request crashes runners; others share its parts.
            return first, second
        if load.place == "first":
            return "crash", second
        return "a0", "crash"

    def _send(self, load: Load, crashes: bool) -> None:
        if not crashes:
            self.sound_sent.append(self.now)
        call = Call(
            router=self.rng.randrange(len(self.routers)),
            request=self._request(load, crashes),
            parts=self._parts(load, crashes),
            sends_left=load.repeats,
            answer_at=0.0,
            end_at=0.0,
            crashes=crashes,
        )
        if self.routers[call.router].held_s(call.digests(), self.now):
            if not crashes:
                self.sound_held.append(self.now)
            return
        self._start(call)

    def _start(self, call: Call) -> None:
        """Sends a call to a runner, if there is one."""
        if not (runners := self._up()):
            return
        if call.crashes:
            self.crash_starts.append(self.now)
            self.starts_of[call.request].append(self.now)
        answer_at = self.now + self.rng.uniform(0.05, 0.4)
        call.answer_at = answer_at
        call.end_at = answer_at + self.rng.uniform(0.3, 3.0)
        self.rng.choice(runners).calls.append(call)

    def _repeat(self, call: Call) -> None:
        """Sends a call that broke once more, if its router does."""
        guard, digests = self.routers[call.router], call.digests()
        if not call.sends_left or guard.held_s(digests, self.now):
            return
        if guard.may_repeat(digests, self.now):
            call.sends_left -= 1
            self._start(call)

    def _run_calls(self, load: Load) -> None:
        for runner in self._up():
            causes = [
                call
                for call in runner.calls
                if call.crashes and call.answer_at + CRASH_S <= self.now
            ]
            if causes:
                self.crashes.append(self.now)
                for call in causes:
                    self.crashes_of[call.request].append(self.now)
                self._end(runner, load.is_answered)
            for call in runner.calls:
                if call.events(self.now) >= SOUND_EVENTS:
                    self._record_sound(call)
            runner.calls = [c for c in runner.calls if c.end_at > self.now]

    def _record_sound(self, call: Call) -> None:
        if not call.is_sound_known:
            call.is_sound_known = True
            guard = self.routers[call.router]
            guard.record_sound(call.digests(), self.now)

    def _end(self, runner: Runner, is_answered: bool) -> None:
        digest = runner_digest(runner.name, str(runner.incarnation))
        for call in runner.calls:
            if call.events(self.now) < SOUND_EVENTS:
                answered = call.answer_at <= self.now
                if call.crashes:
                    answered = answered and is_answered
                self.routers[call.router].record_broken(
                    digest, call.digests(), answered, self.now
                )
        broken, runner.calls = runner.calls, []
        runner.incarnation += 1
        runner.down_until = self.now + RESTART_S
        for call in broken:
            self._repeat(call)

    def _post(self, kind: str, receiver: int, message, **details) -> None:
        data = CONTROL.encode(message)
        if kind == "router":
            self.bytes_to[receiver] += len(data)
        due = self.now + MESSAGE_DELAY_S
        self._messages.append((due, kind, receiver, data, details))

    def _deliver(self) -> None:
        due = [m for m in self._messages if m[0] <= self.now]
        self._messages = [m for m in self._messages if m[0] > self.now]
        for _, kind, receiver, data, details in due:
            message = CONTROL.decode(data)
            if kind == "router":
                self.routers[receiver].receive(message, self.now)
            elif receiver in self.members:
                member = self.members[receiver]
                member.receive(message, now=self.now, **details)

    def _review(self) -> None:
        # Each router and member has its turn at another time.
        self._sends += 1
        turns = round(ROUTER_INTERVAL_S / STEP_S)
        for number, guard in enumerate(self.routers):
            if (number + self._sends) % turns == 0:
                guard.review(self.now)
                if reports := guard.take_reports(self.now):
                    member = self.member_of[number]
                    self._post("member", member, reports, is_member=False)
        turns = round(MEMBER_INTERVAL_S / STEP_S)
        for number, relay in self.members.items():
            if (number + self._sends) % turns == 0:
                self._review_member(number, relay)

    def _review_member(self, number: int, relay: QuarantineRelay) -> None:
        relay.review(self.now)
        if reports := relay.take_reports(self.now):
            for other in self.members.keys() - {number}:
                self._post("member", other, reports, is_member=True)
        if notices := relay.take_notices():
            for router, member in enumerate(self.member_of):
                if member == number:
                    self._post("router", router, notices)
