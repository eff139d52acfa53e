"""Routers, customers and runners in virtual time, without network.

A runner takes the most urgent requests first into its batch, and preempts less
urgent ones there for them. It reads prompts one after another and generates
answers beside that. Loads of other routers are known some time late.
"""

import heapq
import itertools
import random
from collections.abc import Iterable

import attrs

from adapter.headers import PlatformDialect
from features.proxy_harness import KnownOrigins
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.deployments import (
    Customer,
    Engine,
    Repeatability,
    Route,
    Service,
    SplitShare,
)
from knapweedarch.dialects import CallerOptions
from knapweedarch.endpoint_choice import ChoiceConfig, EndpointChooser
from knapweedarch.endpoint_identity import EndpointIdentities
from knapweedarch.endpoint_rates import create_endpoint_limits
from knapweedarch.endpoint_statements import create_endpoint_waits
from knapweedarch.fair_admission import create_fair_admission
from knapweedarch.fair_placement import FairPlacement
from knapweedarch.http_messages import Request
from knapweedarch.metrics import create_metrics
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.prompt_parts import Prompt, PromptPart
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import ProxyCall
from knapweedarch.proxy_refusals import make_refusal
from knapweedarch.relay_messages import EndpointLoad
from knapweedarch.repeat_budget import RepeatLimits
from knapweedarch.stored_parts import PartsIndex
from knapweedarch.timers import ManualClock
from knapweedarch.usage_relay import UsageRelay

MODEL = "m"
STEP_S = 0.01
# Steps between two looks of waiting requests and reports of loads, reports of
# usage, and the age of the loads that other routers know.
LOOK_STEPS = 5
USAGE_STEPS = 25
LOADS_AGE_LOOKS = 4
START_S = 100.0
# Documents that several prompts begin with. Their parts are never cached.
DOCUMENTS = 60


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes:
        name: Name of its route.
        priority: Priority of its route; 0 is the most urgent.
        tokens: Mean size of a prompt.
        answer_tokens: Tokens of an answer.
        goal_s: Latency goal in seconds.
        limit_s: Time limit in seconds.
    """

    name: str
    priority: int
    tokens: int
    answer_tokens: int
    goal_s: float
    limit_s: float


URGENT = Kind("short", 0, 800, 40, 0.415, 10.0)
PATIENT = Kind("long", 1, 9_200, 40, 1.035, 4.1)


@attrs.frozen
class Flow:
    """Requests of one customer and kind at some routers.

    Attributes:
        customer: Name of the customer.
        kind: Kind of the requests.
        rate: Requests a second.
        burst: Factor of the rate between `begin` and `end`.
        begin: Start of the burst, in seconds from the start.
        end: End of the burst.
        routers: Numbers of the routers; empty for all.
    """

    customer: str
    kind: Kind
    rate: float
    burst: float = 1.0
    begin: float = 0.0
    end: float = 0.0
    routers: tuple[int, ...] = ()

    def rate_at(self, now: float) -> float:
        """Returns the requests a second."""
        in_burst = self.begin <= now < self.end
        return self.rate * (self.burst if in_burst else 1.0)


@attrs.define(eq=False)
class Sent:
    """A caller's request.

    Attributes:
        flow: Where it belongs to.
        at: When it was first sent.
        tokens: Size of the prompt.
        router: Number of the router that it is sent to.
        document: Number of the document that it shares with others.
        call: Its state at the router.
        first_at: When its first event was received; None if none was.
        end: `answered`, `refused` or `late`; empty while it is open.
        refused_at: When it was refused for good.
        has_returned: Whether it came back after a refusal.
        unread: Tokens still to be read.
        ungenerated: Tokens of its answer still to be generated.
        entered_at: When the runner began with it.
    """

    flow: Flow
    at: float
    tokens: int
    router: int
    document: int
    call: ProxyCall | None = None
    first_at: float | None = None
    end: str = ""
    refused_at: float = 0.0
    has_returned: bool = False
    sent_at: float = 0.0
    unread: float = 0.0
    ungenerated: float = 0.0

    @property
    def needed(self) -> int:
        """Memory that it needs, in tokens."""
        return self.tokens + self.flow.kind.answer_tokens

    @property
    def is_in_time(self) -> bool:
        """Whether its first event met the goal."""
        return (
            self.end == "answered"
            and self.first_at - self.at <= self.flow.kind.goal_s
        )

    @property
    def is_answered(self) -> bool:
        """Whether it was answered within its time limit."""
        return self.end == "answered"


@attrs.define(eq=False)
class Runner:
    """A runner with slots, memory and a queue by priority.

    Attributes:
        endpoint: Its endpoint.
        memory: Its memory in tokens.
        speed: Prompt tokens read in a second.
        token_s: Time to generate one token.
        most_held: Most tokens of requests that it had at any time.
    """

    endpoint: Endpoint
    memory: int
    speed: float
    token_s: float
    queue: list[tuple[int, int, Sent]] = attrs.field(factory=list)
    batch: list[Sent] = attrs.field(factory=list)
    most_held: int = 0
    preempted: int = 0

    def add(self, sent: Sent, number: int) -> None:
        """Takes a request."""
        heapq.heappush(self.queue, (sent.flow.kind.priority, number, sent))
        held = sum(s.needed for _, _, s in self.queue)
        held += sum(s.needed for s in self.batch)
        self.most_held = max(self.most_held, held)

    def _admit(self) -> None:
        while self.queue and len(self.batch) < self.endpoint.slots:
            first = self.queue[0][2]
            if not self._make_room(first):
                return
            self.batch.append(heapq.heappop(self.queue)[2])

    def _make_room(self, sent: Sent) -> bool:
        """Preempts less urgent requests, which lose what was read of them."""
        while sum(s.needed for s in self.batch) + sent.needed > self.memory:
            last = max(self.batch, key=lambda s: s.flow.kind.priority)
            if last.flow.kind.priority <= sent.flow.kind.priority:
                return False
            self.batch.remove(last)
            last.unread = float(last.tokens)
            last.ungenerated = float(last.flow.kind.answer_tokens)
            self.preempted += 1
            self.add(last, -1)
        return True

    def step(self, seconds: float) -> tuple[list[Sent], list[Sent]]:
        """Returns the requests with a first event, and those that end."""
        self._admit()
        reading = sorted(
            (s for s in self.batch if s.unread > 0),
            key=lambda s: s.sent_at,
        )
        budget, first, ended = self.speed * seconds, [], []
        for sent in reading:
            read = min(budget, sent.unread)
            sent.unread -= read
            budget -= read
            if sent.unread <= 0:
                first.append(sent)
        # Steps that read prompts take twice as long.
        pace = seconds / self.token_s / (2 if reading else 1)
        for sent in self.batch:
            if sent.unread <= 0 and sent not in first:
                sent.ungenerated -= pace
                if sent.ungenerated <= 0:
                    ended.append(sent)
        self.batch = [s for s in self.batch if s not in ended]
        return first, ended


class World:
    """Routers in front of runners.

    Args:
        routers: Number of routers.
        runners: Number of runners.
        flows: Requests of the callers.
        is_fair: Whether the routers divide the runners fairly.
        seed: Seed of the requests.
        is_shared: Whether the relay works.
        slots: Slots of a runner.
        memory: Memory of a runner in tokens.
        speed: Prompt tokens that a runner reads in a second.
    """

    def __init__(
        self,
        routers: int,
        runners: int,
        flows: Iterable[Flow],
        *,
        is_fair: bool = True,
        seed: int = 1,
        is_shared: bool = True,
        slots: int = 12,
        memory: int = 101_000,
        speed: float = 80_000.0,
        token_s: float = 0.012,
    ):
        self.clock = ManualClock(START_S)
        self.flows = list(flows)
        # Separate, so that worlds that decide differently get equal requests.
        self.arrivals, self.rng = random.Random(seed), random.Random(seed)
        random.seed(seed)
        self.is_shared = is_shared
        self.engine = Engine(slots, memory, 1, 1e9, 8, (MODEL,))
        self.runners = [
            self._create_runner(n, slots, memory, speed, token_s)
            for n in range(runners)
        ]
        self._by_id = {r.endpoint.id: r for r in self.runners}
        self.attempts = [
            self._create_attempts(n, routers, is_fair) for n in range(routers)
        ]
        self.sent: list[Sent] = []
        # Requests that had to wait at a router.
        self.waited = 0
        self._numbers = itertools.count()
        self._queues: list[dict[int, list[Sent]]] = [{} for _ in self.attempts]
        self._returns: list[tuple[float, int, Sent]] = []
        self._own_loads: list[list[dict[int, EndpointLoad]]] = []
        self._usage = UsageRelay()

    def _create_runner(self, number, slots, memory, speed, token_s) -> Runner:
        endpoint = Endpoint(
            *(f"r{number}", "1", f"http://10.0.0.{number}:80"),
            *(EndpointKind.RUNNER, ("models", MODEL), "1"),
            slots=slots,
        )
        return Runner(endpoint, memory, speed, token_s)

    def _create_attempts(self, number, routers, is_fair) -> Attempts:
        index, metrics = PartsIndex(), create_metrics(None, 0, "test")
        chooser = EndpointChooser(ChoiceConfig(), index, number)
        fair = None
        if is_fair:
            fair = FairPlacement(
                create_fair_admission(number), chooser, self.clock, metrics
            )
        attempts = Attempts(
            clock=self.clock,
            metrics=metrics,
            dialect=PlatformDialect(),
            pool=None,
            chooser=chooser,
            index=index,
            guard=create_crash_guard(1),
            endpoint_limits=create_endpoint_limits(1),
            endpoint_waits=create_endpoint_waits(1),
            origins=KnownOrigins(),
            identities=EndpointIdentities(
                None, self.clock, metrics, lambda: 0.0
            ),
            limits=RepeatLimits(0.2, 50.0, 10.0),
            start_refusal=lambda: None,
            started_at=0.0,
            fair=fair,
        )
        attempts.set_endpoints([r.endpoint for r in self.runners])
        attempts.set_router_count(routers)
        return attempts

    def run(self, seconds: float) -> None:
        """Lets time pass; what is open at the end is refused."""
        for step in range(round(seconds / STEP_S)):
            self.clock.time += STEP_S
            elapsed_s = self.clock.time - START_S
            if step % LOOK_STEPS == 0:
                self._share_loads()
                self._look()
            if self.is_shared and step % USAGE_STEPS == 0:
                self._share_usage()
            self._arrive(elapsed_s)
            self._return()
            for runner in self.runners:
                self._step(runner)

    def _arrive(self, elapsed_s: float) -> None:
        for flow in self.flows:
            expected = flow.rate_at(elapsed_s) * STEP_S
            while expected > 0 and self.arrivals.random() < expected:
                expected -= 1
                sent = self._create_sent(flow)
                self.sent.append(sent)
                self._offer(sent)

    def _create_sent(self, flow: Flow) -> Sent:
        rng = self.arrivals
        routers = flow.routers or range(len(self.attempts))
        tokens = round(flow.kind.tokens * rng.uniform(0.5, 1.5))
        router, document = rng.choice(routers), rng.randrange(DOCUMENTS)
        return Sent(flow, self.clock.time, tokens, router, document)

    def _offer(self, sent: Sent) -> None:
        sent.call = self._create_call(sent)
        self._try(sent)

    def _create_call(self, sent: Sent) -> ProxyCall:
        kind = sent.flow.kind
        prompt = Prompt(
            model=MODEL,
            tokens=sent.tokens,
            max_tokens=kind.answer_tokens,
            parts=(
                PromptPart(f"d{sent.document}", sent.tokens // 2),
                PromptPart("own", 1),
            ),
        )
        route = Route(
            name=kind.name,
            host="h",
            path_prefix="/",
            repeatability=Repeatability.STREAM,
            timeout_s=kind.limit_s,
            goal_s=kind.goal_s,
            priority=kind.priority,
            split=(SplitShare("models", 1.0),),
        )
        return ProxyCall(
            req=Request(method=b"POST", target=b"/", headers=()),
            options=CallerOptions(request_id="r", prompt=prompt),
            route=route,
            service=Service("models", engine=self.engine),
            customer=Customer(sent.flow.customer, ()),
            deadline=sent.at + kind.limit_s,
            started_at=self.clock.time,
        )

    def _try(self, sent: Sent) -> bool:
        """Returns whether a request is decided about, and not waiting."""
        attempts, call = self.attempts[sent.router], sent.call
        endpoint = attempts.choose(call)
        if endpoint is not None:
            self._send(sent, endpoint)
            return True
        if call.waits_for_room and call.deadline > self.clock.time:
            self._enqueue(sent)
            return False
        self._refuse(sent)
        return True

    def _enqueue(self, sent: Sent) -> None:
        queues = self._queues[sent.router]
        if any(sent in queue for queue in queues.values()):
            return
        fair = self.attempts[sent.router].fair
        is_over = fair.is_over(sent.call, self.clock.time)
        key = (sent.call.route.priority, is_over)
        queues.setdefault(key, []).append(sent)
        self.waited += 1
        self._demand(sent).enter_queue(sent.call.work, is_over)

    def _demand(self, sent: Sent):
        fair = self.attempts[sent.router].fair
        return fair.admission.demand("models", 1 + sent.flow.kind.priority)

    def _look(self) -> None:
        """Lets the first of each class look for room, until one finds none."""
        for attempts, queues in zip(self.attempts, self._queues, strict=True):
            if attempts.fair is not None:
                attempts.fair.refresh(self.clock.time)
            for (_, is_over), queue in sorted(queues.items()):
                while queue and self._try(queue[0]):
                    sent = queue.pop(0)
                    self._demand(sent).leave_queue(sent.call.work, is_over)

    def _send(self, sent: Sent, endpoint: Endpoint) -> None:
        attempts, now = self.attempts[sent.router], self.clock.time
        prompt = sent.call.options.prompt
        sent.sent_at, sent.unread = now, float(sent.tokens)
        sent.ungenerated = float(sent.flow.kind.answer_tokens)
        attempts.chooser.record_sent(endpoint, prompt, sent.tokens, now)
        if attempts.fair is not None:
            attempts.fair.start(sent.call, sent.tokens)
        self._by_id[endpoint.id].add(sent, next(self._numbers))

    def _refuse(self, sent: Sent) -> None:
        attempts, now = self.attempts[sent.router], self.clock.time
        answer = make_refusal(sent.call, self.clock, attempts.metrics)
        retry_s = float(dict(answer.headers)[b"retry-after"])
        if sent.has_returned or now + retry_s >= sent.call.deadline:
            sent.end, sent.refused_at = "refused", now
            return
        sent.has_returned = True
        heapq.heappush(
            self._returns, (now + retry_s, next(self._numbers), sent)
        )

    def _return(self) -> None:
        """Callers that were told when to return do so."""
        while self._returns and self._returns[0][0] <= self.clock.time:
            _, _, sent = heapq.heappop(self._returns)
            sent.router = self.rng.randrange(len(self.attempts))
            self._offer(sent)

    def _step(self, runner: Runner) -> None:
        now = self.clock.time
        first, ended = runner.step(STEP_S)
        for sent in first:
            if sent.first_at is not None:
                continue
            sent.first_at = now
            chooser = self.attempts[sent.router].chooser
            prompt = sent.call.options.prompt
            chooser.record_prompt_read(runner.endpoint, sent.tokens)
            chooser.record_first_event(
                prompt, sent.tokens, now - sent.sent_at, now
            )
        for sent in ended:
            attempts = self.attempts[sent.router]
            attempts.chooser.record_ended(
                runner.endpoint, sent.call.options.prompt
            )
            if attempts.fair is not None:
                attempts.fair.end(sent.call, sent.sent_at)
            in_limit = now - sent.at <= sent.flow.kind.limit_s
            sent.end = "answered" if in_limit else "late"

    def _share_loads(self) -> None:
        """Tells each router what the others had under way some time ago."""
        own = [
            {load.endpoint: load for load in a.chooser.own_loads()}
            for a in self.attempts
        ]
        self._own_loads.append(own)
        if len(self._own_loads) <= LOADS_AGE_LOOKS or not self.is_shared:
            return
        old = self._own_loads.pop(0)
        totals: dict[int, list[int]] = {}
        for loads in old:
            for digest, load in loads.items():
                total = totals.setdefault(digest, [0, 0, 0])
                for i, value in enumerate(_values(load)):
                    total[i] += value
        for attempts, loads in zip(self.attempts, old, strict=True):
            others = []
            for digest, total in totals.items():
                mine = _values(loads[digest]) if digest in loads else (0, 0, 0)
                rest = (t - m for t, m in zip(total, mine, strict=True))
                others.append(EndpointLoad(digest, *rest))
            attempts.chooser.set_peer_loads(others, self.clock.time)

    def _share_usage(self) -> None:
        fair = [a.fair for a in self.attempts if a.fair is not None]
        for number, placement in enumerate(fair):
            report = placement.admission.usage.take_report()
            if report is not None:
                self._usage.receive(number, report, is_member=False)
        if not self._usage.has_news:
            return
        for number, placement in enumerate(fair):
            news = self._usage.news_for(number)
            placement.admission.usage.receive(news, self.clock.time)
        self._usage.clear()

    def of(
        self,
        customer: str = "",
        kind: str = "",
        begin: float = 0.0,
        end: float = 1e9,
    ) -> list[Sent]:
        """Returns requests by customer, kind and time of arrival."""
        return [
            s
            for s in self.sent
            if (not customer or s.flow.customer == customer)
            and (not kind or s.flow.kind.name == kind)
            and begin <= s.at - START_S < end
        ]


def _values(load: EndpointLoad) -> tuple[int, int, int]:
    return load.requests, load.unread_tokens, load.held_tokens


def in_time_share(found: list[Sent]) -> float:
    """Returns the part of requests that met their goal."""
    return sum(s.is_in_time for s in found) / max(1, len(found))


def answered_share(found: list[Sent]) -> float:
    """Returns the part of requests that were answered within their limit."""
    return sum(s.is_answered for s in found) / max(1, len(found))
