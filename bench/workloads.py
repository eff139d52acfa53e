"""Generates the traffic of the two benchmark deployments.

Prompts consist of nested prefixes: a system prompt, then a fleet or
manuscript, then a conversation. The cache salt differs between customers, so
every customer has its own chains of blocks.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence

import attrs
import xxhash

from knapweedarch import models, prefixes

# Traffic share of each of the eight customers, two of which are large.
CUSTOMER_SHARES = (0.3, 0.24, 0.12, 0.1, 0.08, 0.06, 0.05, 0.05)

# Duration of the load ramp at the start of a run, when all caches are empty.
RAMP_S = 15.0

# Deadline of each class for the first token, in seconds.
HUTS_DEADLINES_S = {
    models.Priority.AVAILABILITY: 1.5,
    models.Priority.GUEST: 4.0,
    models.Priority.INTERACTIVE: 10.0,
    models.Priority.BATCH: 60.0,
}
BINDERY_DEADLINES_S = {
    models.Priority.AVAILABILITY: 1.5,
    models.Priority.GUEST: 8.0,
    models.Priority.INTERACTIVE: 20.0,
    models.Priority.BATCH: 60.0,
}


@attrs.frozen(eq=False)
class Request:
    """A request of a trace.

    Attributes:
        id: Identifier, unique in the trace.
        at: Arrival time in seconds.
        customer: Customer name.
        priority: Priority class.
        blocks: Hashes of the prompt's full blocks.
        prompt_tokens: Length of the prompt in tokens.
        out_tokens: Length of the answer in tokens.
        deadline_s: Deadline for the first token, in seconds after arrival.
    """

    id: str
    at: float
    customer: str
    priority: models.Priority
    blocks: tuple[int, ...]
    prompt_tokens: int
    out_tokens: int
    deadline_s: float


@attrs.frozen
class Deployment:
    """Runners and traffic of one operator.

    Attributes:
        name: Name in reports.
        model: The model that the runners serve.
        one_way_s: One-way delay between data centres in seconds.
        slots: Number of slots in a runner's batch.
        cache_blocks: Size of a runner's prefix cache in blocks.
        service_s: Mean time of a request in the batch, which the scheduler
            uses in its estimates.
        eviction_weight: Weight of evicted blocks in the placement cost.
        deadlines_s: Deadline for the first token by class.
        generate: Function that generates the requests of a run.
        steady: Load of the steady scenario, as a fraction of the ideal
            capacity that `utilisation` uses.
        capacity: Highest multiple of 0.1 of the ideal capacity at which the
            reference answers 99 of 100 requests of each class in time.
    """

    name: str
    model: str
    one_way_s: float
    slots: int
    cache_blocks: int
    service_s: float
    eviction_weight: float
    deadlines_s: dict[models.Priority, float]
    generate: Callable[["TraceBuilder"], None]
    steady: float
    capacity: float


def extend_chain(
    parent: tuple[int, ...], label: str, count: int
) -> tuple[int, ...]:
    """Appends `count` chained block hashes whose content is `label`."""
    chain = list(parent)
    for i in range(count):
        last = chain[-1] if chain else 0
        chain.append(xxhash.xxh3_64_intdigest(f"{last}/{label}/{i}".encode()))
    return tuple(chain)


class TraceBuilder:
    """Builds the trace of one run.

    Attributes:
        deployment: The deployment whose traffic is generated.
        rng: Random numbers of the trace.
        scale: Factor on all arrival rates.
        duration_s: Length of the run.
        shift_at: Time at which the hot set changes, in seconds; None for
            never.
        requests: The requests added so far.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        scale: float,
        duration_s: float,
        shift_at: float | None,
    ):
        self.deployment = deployment
        self.rng = random.Random(f"{deployment.name}/{seed}")
        self.scale = scale
        self.duration_s = duration_s
        self.shift_at = shift_at
        self.requests: list[Request] = []
        self._ids = itertools.count()

    def add(
        self,
        at: float,
        customer: str,
        priority: models.Priority,
        blocks: tuple[int, ...],
        tail_tokens: int,
        out_tokens: int,
    ) -> None:
        """Adds a request, unless it arrives outside the run.

        During the ramp requests are dropped at random, so that the load grows
        from zero.
        """
        if not 0 <= at < self.duration_s:
            return
        if at < RAMP_S and self.rng.random() > at / RAMP_S:
            return
        self.requests.append(
            Request(
                f"q{next(self._ids)}",
                at,
                customer,
                priority,
                blocks,
                len(blocks) * prefixes.BLOCK_TOKENS + tail_tokens,
                out_tokens,
                self.deployment.deadlines_s[priority],
            )
        )

    def draw_customer(self) -> str:
        """Chooses a customer at random, weighted by traffic share."""
        names = [f"c{i}" for i in range(len(CUSTOMER_SHARES))]
        return self.rng.choices(names, CUSTOMER_SHARES)[0]

    def arrivals(
        self, rate: float, start: float = 0.0, burst: float = 0.0
    ) -> Iterator[float]:
        """Yields Poisson arrival times in seconds; `rate` is per second.

        In 3 s of every 20 s the rate is higher by the factor `1 + burst`. A
        negative `start` is for conversations that began before the run.
        """
        now = start
        peak_rate = rate * (1 + burst)
        while peak_rate and now < self.duration_s:
            now += self.rng.expovariate(peak_rate)
            in_burst = now % 20.0 >= 17.0
            if in_burst or self.rng.random() * (1 + burst) < 1:
                yield now

    def hot_set(self, at: float) -> int:
        """Returns the number of the hot set: 0 before the shift, then 1."""
        return int(self.shift_at is not None and at >= self.shift_at)


def _add_conversation(
    trace: TraceBuilder,
    at: float,
    customer: str,
    root: tuple[int, ...],
    label: str,
    turns: int,
) -> None:
    """Adds a guest's chat, whose prompt grows with each turn."""
    tokens = 300
    for _ in range(turns):
        full = tokens // prefixes.BLOCK_TOKENS
        blocks = extend_chain(root, label, full)
        tail = tokens % prefixes.BLOCK_TOKENS
        out = 60 + int(trace.rng.expovariate(1 / 60))
        trace.add(at, customer, models.Priority.GUEST, blocks, tail, out)
        tokens += out + 150 + int(trace.rng.expovariate(1 / 700))
        at += 3.0 + trace.rng.expovariate(1 / 5.0)


def _draw_turn_count(rng: random.Random) -> int:
    return 1 + min(9, int(rng.expovariate(1 / 3.0)))


def huts_traffic(trace: TraceBuilder) -> None:
    """Generates guest chats, availability checks, interactive and batch work.

    Batch requests are the overnight summaries.
    """
    roots = {}
    for i in range(len(CUSTOMER_SHARES)):
        system = extend_chain((), f"huts-system/c{i}", 1)
        roots[f"c{i}"] = extend_chain(system, "fleet", 2)
    for n, at in enumerate(trace.arrivals(5.0 * trace.scale, -30.0, burst=1.0)):
        customer = trace.draw_customer()
        log = extend_chain(roots[customer], f"weather{trace.hot_set(at)}", 5)
        _add_conversation(
            trace, at, customer, log, f"chat{n}", _draw_turn_count(trace.rng)
        )
    for at in trace.arrivals(10.0 * trace.scale, burst=1.0):
        customer = trace.draw_customer()
        root = roots[customer]
        trace.add(at, customer, models.Priority.AVAILABILITY, root, 400, 15)
    for at in trace.arrivals(4.0 * trace.scale):
        customer = trace.draw_customer()
        log = extend_chain(roots[customer], f"weather{trace.hot_set(at)}", 5)
        trace.add(at, customer, models.Priority.INTERACTIVE, log, 900, 200)
    for n, at in enumerate(trace.arrivals(0.7 * trace.scale, -5.0)):
        customer = trace.draw_customer()
        size = trace.rng.randint(6, 16)
        log = extend_chain(roots[customer], f"trail{n}", size)
        for _ in range(3):
            trace.add(at, customer, models.Priority.BATCH, log, 500, 250)
            at += trace.rng.uniform(0.5, 4.0)


def bindery_traffic(trace: TraceBuilder) -> None:
    """Generates page checks against manuscripts, and chats about them."""
    numbers = itertools.count()
    for at in trace.arrivals(0.3 * trace.scale, -40.0):
        _add_manuscript(trace, at, trace.draw_customer(), f"m{next(numbers)}")
    _add_hot_manuscript(trace)


def _add_manuscript(
    trace: TraceBuilder, at: float, customer: str, label: str
) -> None:
    """Adds a manuscript: one batch request, page checks and family chats."""
    rng = trace.rng
    system = extend_chain((), f"bindery-system/{customer}", 1)
    text = extend_chain(system, label, rng.randint(20, 50))
    trace.add(at, customer, models.Priority.BATCH, text, 300, 300)
    page_at = at + 4.0
    for _ in range(rng.randint(60, 160)):
        page_at += rng.expovariate(4.0)
        out = 40 + int(rng.expovariate(1 / 40))
        trace.add(
            page_at, customer, models.Priority.INTERACTIVE, text, 700, out
        )
    for n in range(rng.randint(2, 6)):
        begin = at + rng.uniform(6.0, 40.0)
        _add_conversation(
            trace, begin, customer, text, f"{label}/f{n}", _draw_turn_count(rng)
        )


def _add_hot_manuscript(trace: TraceBuilder) -> None:
    """Adds the largest customer's hot manuscript, used for the whole run."""
    rng = trace.rng
    system = extend_chain((), "bindery-system/c0", 1)
    texts = [extend_chain(system, f"proof{e}", 40) for e in (0, 1)]
    for at in trace.arrivals(9.0 * trace.scale, burst=1.0):
        text = texts[trace.hot_set(at)]
        out = 40 + int(rng.expovariate(1 / 40))
        trace.add(at, "c0", models.Priority.INTERACTIVE, text, 700, out)
    for n, at in enumerate(trace.arrivals(0.8 * trace.scale, burst=1.0)):
        text = texts[trace.hot_set(at)]
        _add_conversation(
            trace, at, "c0", text, f"pf{n}", _draw_turn_count(rng)
        )


HUTS = Deployment(
    name="huts",
    model="guide",
    one_way_s=0.005,
    slots=32,
    cache_blocks=80,
    service_s=2.0,
    eviction_weight=0.3,
    deadlines_s=HUTS_DEADLINES_S,
    generate=huts_traffic,
    steady=0.48,
    capacity=0.8,
)
BINDERY = Deployment(
    name="bindery",
    model="scribe",
    one_way_s=0.003,
    slots=32,
    cache_blocks=160,
    service_s=1.6,
    eviction_weight=1.0,
    deadlines_s=BINDERY_DEADLINES_S,
    generate=bindery_traffic,
    steady=0.3,
    capacity=0.5,
)
DEPLOYMENTS = {d.name: d for d in (HUTS, BINDERY)}


def first_need_tokens(requests: Sequence[Request]) -> int:
    """Returns the tokens to compute: each block once, and all tails."""
    blocks = {block for r in requests for block in r.blocks}
    tails = sum(
        r.prompt_tokens - len(r.blocks) * prefixes.BLOCK_TOKENS
        for r in requests
    )
    return len(blocks) * prefixes.BLOCK_TOKENS + tails


def utilisation(
    requests: Sequence[Request],
    duration_s: float,
    runners: int,
    slots: int,
    prefill_tokens_s: float,
    step_s: float,
    slowdown: float,
) -> float:
    """Returns the load as a fraction of the capacity with ideal caches.

    It is the larger of two shares: of the prefill time and of the batch slots.
    Both assume that every block is computed once and never evicted, and that
    all batches are full.
    """
    prefill = first_need_tokens(requests) / prefill_tokens_s * slowdown
    decode = sum(r.out_tokens for r in requests) * step_s * slowdown
    return max(
        prefill / (duration_s * runners),
        (prefill + decode) / (duration_s * runners * slots),
    )


def make_requests(
    deployment: Deployment,
    seed: int,
    load: float,
    duration_s: float,
    shift_at: float | None,
    measure: Callable[[Sequence[Request]], float],
) -> list[Request]:
    """Generates a trace whose utilisation is close to `load`."""
    scale = 1.0
    for _ in range(3):
        trace = TraceBuilder(deployment, seed, scale, duration_s, shift_at)
        deployment.generate(trace)
        scale *= load / measure(trace.requests)
    trace = TraceBuilder(deployment, seed, scale, duration_s, shift_at)
    deployment.generate(trace)
    return sorted(trace.requests, key=lambda r: (r.at, r.id))
