"""Routers and modelled endpoints in virtual time, with and without learning.

Routers know each other's loads late, as they do through the members. What they
learn passes through real relays as encoded messages, whose bytes are counted.
"""

import collections
import heapq
import itertools
import random
import statistics
from collections.abc import Callable

import attrs

from knapweedarch.capacity_messages import (
    SpeedReport,
    SpeedSample,
    group_digest,
    pack_samples,
    unpack_capacities,
)
from knapweedarch.capacity_relay import CapacityRelay
from knapweedarch.control_messages import CONTROL
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.prompt_parts import Prompt, PromptPart
from knapweedarch.relay_messages import EndpointLoad
from knapweedarch.stored_parts import PartsIndex, part_digest

MODEL = "m"
SERVICE = "desk"
SALT = "1."
# Loads of the other routers are known this much later.
LOADS_INTERVAL_S = 0.1
LOADS_AGE_INTERVALS = 2
REVIEW_INTERVAL_S = 0.25
MAX_SAMPLES = 32
RELAY_INTERVAL_S = 0.05
LINK_DELAY_S = 0.01
# Modelled runners: tokens a second, time of any request, and per answer token.
TOKENS_S = 20_000.0
BASE_S = 0.03
TOKEN_S = 0.01
# Time to fetch cached parts from another runner as a ratio of their prefill.
FETCH_RATIO = 0.25
MEMORY_TOKENS = 100_000
MAX_ATTEMPTS = 3


def steadily(value: float) -> Callable[[float], float]:
    """Returns a function of the time that is constant."""
    return lambda now: value


@attrs.frozen(kw_only=True)
class EndpointModel:
    """How an endpoint behaves.

    Attributes:
        slots: Requests that it runs at the same time.
        slowness: Factor of all its times, by the time in seconds.
        knee: Requests above which it slows down, by the time.
        slope: Relative increase of its times per request above the knee, as a
            ratio of the knee.
        hidden: Requests that others than the routers run there, by the time.
        delay_s: One-way delay of the link to it.
        data_centre: Its data centre.
    """

    slots: int = 12
    slowness: Callable[[float], float] = attrs.field(
        factory=lambda: steadily(1.0)
    )
    knee: Callable[[float], float] = attrs.field(factory=lambda: steadily(1e9))
    slope: float = 1.0
    hidden: Callable[[float], float] = attrs.field(
        factory=lambda: steadily(0.0)
    )
    delay_s: float = 0.0
    data_centre: str = ""

    def factor(self, running: int, now: float) -> float:
        """Returns the factor of the times of a request that begins now."""
        knee = self.knee(now)
        above = max(0.0, running + self.hidden(now) - knee)
        return self.slowness(now) * (1.0 + self.slope * above / knee)


@attrs.frozen(kw_only=True)
class Load:
    """Requests of one kind.

    Attributes:
        kind: Its name.
        per_s: Requests a second of all routers together, by the time.
        shared: Tokens of the parts that requests share; 0 for plain services.
        documents: Number of different shared documents.
        own: Tokens of a prompt's own part.
        answer: Tokens of an answer.
        work_s: Time that a plain service takes.
        spread: Largest work of a request as a multiple of the smallest.
    """

    kind: str
    per_s: Callable[[float], float]
    shared: int = 0
    documents: int = 1
    own: int = 0
    answer: int = 0
    work_s: float = 0.0
    spread: float = 2.5


@attrs.frozen(kw_only=True)
class Plan:
    """A run.

    Attributes:
        models: The endpoints.
        loads: The requests.
        routers: Number of routers.
        members: Number of members.
        seconds: Duration.
        false_samples: Samples that the first router reports each time in place
            of its own, given the world.
        members_reach: Whether members relay, by the time.
    """

    models: tuple[EndpointModel, ...]
    loads: tuple[Load, ...]
    routers: int = 9
    members: int = 3
    seconds: float = 20.0
    false_samples: Callable[[object], list[SpeedSample]] | None = None
    members_reach: Callable[[float], bool] = lambda now: True


@attrs.frozen
class Served:
    """A request that has got its first event or byte.

    Attributes:
        kind: Kind of the request.
        sent_at: When it arrived.
        endpoint: Number of the endpoint.
        first_s: Time to the first event, that of other attempts included.
        moved_tokens: Shared tokens that its runner had to prefill or fetch.
    """

    kind: str
    sent_at: float
    endpoint: int
    first_s: float
    moved_tokens: int


@attrs.define
class Outcome:
    """What a run has shown."""

    served: list[Served] = attrs.field(factory=list)
    refused: list[tuple[str, float]] = attrs.field(factory=list)
    rejections: int = 0
    bytes_to: collections.Counter = attrs.field(factory=collections.Counter)
    bytes_from: collections.Counter = attrs.field(factory=collections.Counter)
    messages: int = 0

    def times(
        self, kind: str = "", begin: float = 0.0, end: float = 1e9
    ) -> list[float]:
        """Returns the times to the first event within a period."""
        return sorted(
            s.first_s
            for s in self.served
            if begin <= s.sent_at < end and kind in ("", s.kind)
        )

    def mean(
        self, kind: str = "", begin: float = 0.0, end: float = 1e9
    ) -> float:
        """Returns the mean of `times`."""
        return statistics.fmean(self.times(kind, begin, end))

    def percentile(
        self, share: float, kind: str = "", begin: float = 0.0, end: float = 1e9
    ) -> float:
        """Returns a percentile of `times`."""
        times = self.times(kind, begin, end)
        return times[min(len(times) - 1, int(share * len(times)))]

    def share_at(
        self, numbers: set[int], begin: float = 0.0, end: float = 1e9
    ) -> float:
        """Returns the share of requests that went to some endpoints."""
        within = [s for s in self.served if begin <= s.sent_at < end]
        return sum(s.endpoint in numbers for s in within) / max(1, len(within))

    def moved(self, begin: float = 0.0) -> float:
        """Returns the shared tokens moved or prefilled again per request."""
        within = [s for s in self.served if s.sent_at >= begin]
        return sum(s.moved_tokens for s in within) / max(1, len(within))


@attrs.define(eq=False)
class _Request:
    load: Load
    prompt: Prompt | None
    work: float
    arrived_at: float
    router: int
    tried: list[str] = attrs.field(factory=list)
    unread_tokens: int = 0
    moved_tokens: int = 0
    prefill_tokens: float = 0.0
    observation: object = None
    first_tokens: int = 0
    attempt_at: float = 0.0
    endpoint: Endpoint | None = None


class _ModelledEndpoint:
    """One endpoint: slots, a queue, one prefill at a time, a cache."""

    def __init__(self, number: int, model: EndpointModel, kind: EndpointKind):
        self.number = number
        self.model = model
        self.restart(0, kind)

    def restart(self, incarnation: int, kind: EndpointKind) -> None:
        name = MODEL if kind is EndpointKind.RUNNER else SERVICE
        self.endpoint = Endpoint(
            *(f"i-{self.number}", str(incarnation)),
            *(f"http://10.0.{self.number}.1:80", kind, (name,), "1"),
            data_centre=self.model.data_centre,
            slots=self.model.slots,
        )
        self.running = 0
        self.queue: collections.deque[_Request] = collections.deque()
        self.prefilled_until = 0.0


class CapacityWorld:
    """Runs a plan.

    Args:
        plan: The plan.
        learns: Whether routers learn the capacity of endpoints.
        seed: Seed of all random numbers.
        config: Changes of the parameters of the choice.
    """

    def __init__(self, plan: Plan, learns: bool, seed: int = 1, **config):
        self.plan = plan
        self.learns = learns
        self.outcome = Outcome()
        self.now = 0.0
        self._rng = random.Random(seed)
        self._events: list = []
        self._count = itertools.count()
        is_plain = not plan.loads[0].shared
        kind = EndpointKind.SERVICE if is_plain else EndpointKind.RUNNER
        self.endpoints = [
            _ModelledEndpoint(number, model, kind)
            for number, model in enumerate(plan.models)
        ]
        distances_s = {m.data_centre: m.delay_s for m in plan.models}
        self.group = group_digest(self.endpoints[0].endpoint.serves)
        self._index = PartsIndex()
        self._by_id = {e.endpoint.id: e for e in self.endpoints}
        self.choosers = [
            EndpointChooser(
                ChoiceConfig(
                    learnt_capacity=learns, distance_s=distances_s, **config
                ),
                *(self._index, seed * 1000 + number),
            )
            for number in range(plan.routers)
        ]
        self._listed = [e.endpoint for e in self.endpoints]
        for chooser in self.choosers:
            chooser.set_router_count(plan.routers)
            chooser.set_listed(self._listed, -10.0)
        self.relays = [CapacityRelay() for _ in range(plan.members)]
        self._loads: collections.deque = collections.deque(
            maxlen=LOADS_AGE_INTERVALS + 1
        )

    def run(self) -> Outcome:
        """Runs the plan and returns what it has shown."""
        for load in self.plan.loads:
            self._at(0.0, lambda load=load: self._arrive(load))
        self._every(LOADS_INTERVAL_S, self._share_loads)
        if self.learns:
            for number in range(self.plan.routers):
                begin = self._rng.uniform(0, REVIEW_INTERVAL_S)
                self._every(
                    REVIEW_INTERVAL_S, lambda n=number: self._review(n), begin
                )
            self._every(RELAY_INTERVAL_S, self._relay)
        while self._events and self._events[0][0] <= self.plan.seconds:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self.outcome

    def list_again(self, number: int, **changes) -> None:
        """Lists an endpoint with changes, such as other weights."""
        modelled = self.endpoints[number]
        modelled.endpoint = attrs.evolve(modelled.endpoint, **changes)
        self._listed = [e.endpoint for e in self.endpoints]
        for chooser in self.choosers:
            chooser.set_listed(self._listed, self.now)

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Plans something before the run."""
        self._at(when, act)

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._count), act))

    def _every(
        self, interval_s: float, act: Callable[[], None], begin: float = 0.0
    ) -> None:
        def again():
            act()
            self._at(self.now + interval_s, again)

        self._at(begin, again)

    def _arrive(self, load: Load) -> None:
        rate = load.per_s(self.now)
        self._at(
            self.now + self._rng.expovariate(max(rate, 0.1)),
            lambda: self._arrive(load),
        )
        work = 2 / (1 + load.spread) * self._rng.uniform(1.0, load.spread)
        request = _Request(
            *(load, self._prompt(load, work), work, self.now),
            self._rng.randrange(self.plan.routers),
        )
        if rate:
            self._send(request)

    def _prompt(self, load: Load, work: float) -> Prompt | None:
        if not load.shared:
            return None
        document = self._rng.randrange(load.documents)
        own = round(load.own * work)
        parts = (
            PromptPart(f"{load.kind}-{document}", load.shared),
            PromptPart(f"own-{self._rng.random()}", own),
        )
        return Prompt(
            model=MODEL,
            tokens=load.shared + own,
            max_tokens=load.answer,
            parts=parts,
        )

    def _send(self, request: _Request) -> None:
        chooser, prompt = self.choosers[request.router], request.prompt
        endpoint = chooser.choose(
            *(self._listed, prompt, request.tried, self.now),
            lambda endpoint: SALT,
            memory_tokens=MEMORY_TOKENS if prompt else 0,
            **({"kind": request.load.kind} if self.learns else {}),
        )
        if endpoint is None or len(request.tried) >= MAX_ATTEMPTS:
            self.outcome.refused.append((request.load.kind, request.arrived_at))
            return
        modelled = self._by_id[endpoint.id]
        request.tried.append(endpoint.id)
        self._count_tokens(request, modelled)
        self._start_attempt(chooser, request, endpoint)
        delay_s = modelled.model.delay_s
        self._at(self.now + delay_s, lambda: self._offer(modelled, request))

    def _count_tokens(self, request, modelled) -> None:
        """Sets which tokens are to be prefilled, and which are fetched."""
        prompt = request.prompt
        if prompt is None:
            return
        cached = self._cached_at(modelled, prompt)
        request.unread_tokens = prompt.tokens - cached
        request.moved_tokens = prompt.shared_tokens - cached
        request.prefill_tokens = float(request.unread_tokens)
        if any(self._cached_at(e, prompt) for e in self.endpoints):
            request.prefill_tokens -= (1 - FETCH_RATIO) * request.moved_tokens
        digests = [part_digest(SALT, p.id) for p in prompt.parts[:-1]]
        address = modelled.endpoint.address
        self._index.parts_at(address).update(digests, ())

    def _cached_at(self, modelled, prompt) -> int:
        parts = self._index.parts_at(modelled.endpoint.address)
        return parts.prefix_tokens(prompt, SALT, self.now)

    def _start_attempt(self, chooser, request, endpoint) -> None:
        ahead = chooser.tokens_ahead(endpoint)
        tokens = ahead + request.unread_tokens
        if self.learns:
            request.observation = chooser.start_observation(
                *(endpoint, request.prompt, request.load.kind),
                *(request.unread_tokens, self.now),
            )
        request.first_tokens = tokens
        chooser.record_sent(
            *(endpoint, request.prompt, request.unread_tokens, self.now)
        )
        request.attempt_at = self.now
        request.endpoint = endpoint

    def _offer(self, modelled: _ModelledEndpoint, request: _Request) -> None:
        busy = modelled.running + modelled.model.hidden(self.now)
        if busy < modelled.model.slots:
            self._begin(modelled, request)
        elif request.prompt is not None:
            modelled.queue.append(request)
        else:
            self._reject(modelled, request)

    def _reject(self, modelled: _ModelledEndpoint, request: _Request) -> None:
        self.outcome.rejections += 1
        chooser = self.choosers[request.router]
        if request.observation is not None:
            chooser.drop_observation(request.observation)
        chooser.record_ended(request.endpoint, request.prompt)
        chooser.record_overload(request.endpoint, self.now)
        self._send(request)

    def _begin(self, modelled: _ModelledEndpoint, request: _Request) -> None:
        factor = modelled.model.factor(modelled.running, self.now)
        modelled.running += 1
        if request.prompt is None:
            first_at = self.now + request.load.work_s * request.work * factor
            end_at = first_at
        else:
            start_at = max(self.now, modelled.prefilled_until)
            prefill_s = request.prefill_tokens / TOKENS_S * factor
            modelled.prefilled_until = start_at + prefill_s
            first_at = start_at + prefill_s + BASE_S * factor
            end_at = first_at + request.load.answer * TOKEN_S * factor
        delay_s = modelled.model.delay_s
        self._at(first_at + delay_s, lambda: self._first(modelled, request))
        self._at(end_at + delay_s, lambda: self._end(modelled, request))

    def _first(self, modelled: _ModelledEndpoint, request: _Request) -> None:
        chooser = self.choosers[request.router]
        taken_s = self.now - request.attempt_at
        if request.prompt is not None:
            chooser.record_first_event(
                *(request.prompt, request.first_tokens, taken_s, self.now)
            )
        if request.observation is not None:
            chooser.end_observation(request.observation, self.now)
        chooser.record_success(request.endpoint, 0.0, self.now)
        chooser.record_prompt_read(request.endpoint, request.unread_tokens)
        self.outcome.served.append(
            Served(
                *(request.load.kind, request.arrived_at, modelled.number),
                *(self.now - request.arrived_at, request.moved_tokens),
            )
        )

    def _end(self, modelled: _ModelledEndpoint, request: _Request) -> None:
        chooser = self.choosers[request.router]
        chooser.record_ended(request.endpoint, request.prompt)
        modelled.running -= 1
        if modelled.queue:
            self._begin(modelled, modelled.queue.popleft())

    def _share_loads(self) -> None:
        own = [
            {load.endpoint: load for load in chooser.own_loads()}
            for chooser in self.choosers
        ]
        self._loads.append(own)
        old = self._loads[0]
        totals: dict[int, list[int]] = {}
        for loads in old:
            for digest, load in loads.items():
                total = totals.setdefault(digest, [0, 0, 0])
                total[0] += load.requests
                total[1] += load.unread_tokens
                total[2] += load.held_tokens
        for chooser, loads in zip(self.choosers, old, strict=True):
            others = (
                _others(digest, total, loads.get(digest))
                for digest, total in totals.items()
            )
            chooser.set_peer_loads(others, self.now)

    def _review(self, number: int) -> None:
        """Does what `CapacityClient` does."""
        chooser = self.choosers[number]
        learnt = chooser.learnt
        learnt.is_shared = self.plan.members_reach(self.now)
        learnt.review(self.now)
        samples = learnt.take_samples(MAX_SAMPLES)
        if number == 0 and self.plan.false_samples is not None:
            samples = self.plan.false_samples(self)
        if samples and learnt.is_shared:
            data = CONTROL.encode(SpeedReport(pack_samples(samples)))
            self.outcome.bytes_from[number] += len(data)
            self.outcome.messages += 1
            relay = self.relays[number % len(self.relays)]
            self._at(
                self.now + LINK_DELAY_S,
                lambda: relay.receive(
                    number, CONTROL.decode(data), False, self.now
                ),
            )
        chooser.review_capacities(REVIEW_INTERVAL_S, self.now)

    def _relay(self) -> None:
        if not self.plan.members_reach(self.now):
            return
        for number, relay in enumerate(self.relays):
            if report := relay.take_member_report(self.now):
                self._to_members(number, report)
            if report := relay.take_router_report(self.now):
                self._to_routers(number, CONTROL.encode(report))

    def _to_members(self, number: int, report: SpeedReport) -> None:
        for other, relay in enumerate(self.relays):
            if other != number:
                self._at(
                    self.now + LINK_DELAY_S,
                    lambda relay=relay: relay.receive(
                        ("member", number), report, True, self.now
                    ),
                )

    def _to_routers(self, number: int, data: bytes) -> None:
        members = len(self.relays)
        for router in range(number, self.plan.routers, members):
            self.outcome.bytes_to[router] += len(data)
            self.outcome.messages += 1
            learnt = self.choosers[router].learnt
            self._at(
                self.now + LINK_DELAY_S,
                lambda learnt=learnt: learnt.receive(
                    unpack_capacities(CONTROL.decode(data).packed)
                ),
            )


def _others(
    digest: int, total: list[int], own: EndpointLoad | None
) -> EndpointLoad:
    mine = (
        (own.requests, own.unread_tokens, own.held_tokens) if own else (0,) * 3
    )
    return EndpointLoad(
        digest, *(t - m for t, m in zip(total, mine, strict=True))
    )
