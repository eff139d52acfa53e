"""Simulated runner with continuous batching and a block cache."""

import collections
import heapq
from collections.abc import Callable
from typing import Protocol

import attrs

from knapweedarch import models, prefixes

# Prefill speed in tokens per second, and time of a decoding step, both before
# the slowdown by the batch.
PREFILL_TOKENS_S = 20_000.0
DECODE_STEP_S = 0.015

# Fraction by which a full batch lengthens prefill and each decoding step.
BATCH_SLOWDOWN = 0.6

# Tokens computed before the next request's turn. Requests of one class take
# turns, so that a short prompt does not wait for a long one to finish.
CHUNK_TOKENS = prefixes.BLOCK_TOKENS


class Clock(Protocol):
    """Virtual clock that runs a runner's timers."""

    now: float

    def call_later(
        self, delay_s: float, action: Callable[..., None], *args: object
    ) -> None:
        """Runs an action after a delay in seconds."""


@attrs.define(eq=False)
class Job:
    """A request attempt at a runner.

    Attributes:
        attempt: The attempt, with the ticket of its request.
        router: Number of the router that sent it.
        out_tokens: Length of the answer in tokens.
        cached: Number of prompt blocks found in the cache.
        position: Number of prompt tokens computed or found in the cache.
        cancelled: Whether the job was cancelled or lost in a crash.
        in_batch: Whether it occupies a slot of the batch.
    """

    attempt: models.Attempt
    router: int
    out_tokens: int
    cached: int = 0
    position: int = 0
    cancelled: bool = False
    in_batch: bool = False

    @property
    def remaining(self) -> int:
        """Prompt tokens still to compute; an empty prompt counts as one."""
        return max(1, self.attempt.ticket.prompt_tokens) - self.position

    @property
    def tail_tokens(self) -> int:
        """Prompt tokens after the last full block."""
        ticket = self.attempt.ticket
        full = len(ticket.blocks) * prefixes.BLOCK_TOKENS
        return ticket.prompt_tokens - full


class Observer(Protocol):
    """Receives the events of a runner."""

    def job_first_token(self, runner: "Runner", job: Job) -> None:
        """Called when the runner sends the first token."""

    def job_finished(self, runner: "Runner", job: Job) -> None:
        """Called when the answer is complete."""

    def cache_changed(
        self,
        runner: "Runner",
        change: models.CacheChange,
        blocks: tuple[int, ...],
    ) -> None:
        """Called when blocks were stored or evicted."""

    def load_changed(self, runner: "Runner") -> None:
        """Called when the queue or the batch has changed."""


class Runner:
    """A runner that computes jobs in virtual time.

    Attributes:
        endpoint: The runner's present announcement.
        speed: Speed relative to a normal runner.
        alive: Whether it runs; False between a crash and the restart.
        cache: Cached blocks, least recently used first.
        event_count: Number of the last cache event since the start.
        computed_tokens: Prompt tokens computed since the start of the run.
        jobs: Jobs that are queued or in the batch.
        acknowledged: Highest attempt number received from each router.
    """

    def __init__(
        self, endpoint: models.Endpoint, clock: Clock, observer: Observer
    ):
        self.endpoint = endpoint
        self.speed = 1.0
        self.alive = True
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.event_count = 0
        self.computed_tokens = 0
        self.jobs: set[Job] = set()
        self.acknowledged: dict[int, int] = {}
        self._clock = clock
        self._observer = observer
        self._queue: list[tuple[int, int, Job]] = []
        self._prefill: list[tuple[int, int, Job]] = []
        self._batch_size = 0
        self._prefilling = False
        self._sequence = 0

    def accept(self, job: Job) -> None:
        """Queues a job."""
        self.jobs.add(job)
        number = job.attempt.number
        self.acknowledged[job.router] = max(
            number, self.acknowledged.get(job.router, 0)
        )
        heapq.heappush(self._queue, self._queue_key(job))
        self._schedule_jobs()
        self._observer.load_changed(self)

    def cancel(self, job: Job) -> None:
        """Cancels a job and frees its slot immediately."""
        if job in self.jobs:
            job.cancelled = True
            self._release(job)
            self._schedule_jobs()

    def crash(self) -> list[Job]:
        """Stops the runner and clears its cache; returns the lost jobs."""
        jobs = sorted(self.jobs, key=lambda j: (j.router, j.attempt.number))
        for job in jobs:
            job.cancelled = True
        self.jobs.clear()
        self.cache.clear()
        self.acknowledged.clear()
        self._queue, self._prefill = [], []
        self._batch_size, self._prefilling, self.alive = 0, False, False
        return jobs

    def start(self, incarnation: str) -> None:
        """Restarts after a crash with an empty cache."""
        self.endpoint = attrs.evolve(self.endpoint, incarnation=incarnation)
        self.alive, self.event_count = True, 0

    def report(self, router: int) -> models.LoadReport:
        """Returns the load report for one router."""
        waiting = [job for _, _, job in self._queue if not job.cancelled]
        return models.LoadReport(
            self.endpoint.id,
            self.endpoint.incarnation,
            self._batch_size,
            len(waiting),
            self._queued_tokens(models.Priority.BATCH),
            self.acknowledged.get(router, 0),
            self._queued_tokens(models.Priority.GUEST),
        )

    def _queued_tokens(self, lowest: models.Priority) -> int:
        """Returns the prompt tokens still to compute.

        A block that several jobs lack counts once. Jobs of a class below
        `lowest` are left out.
        """
        tails, blocks = 0, set()
        for job in self.jobs:
            if job.attempt.ticket.priority > lowest:
                continue
            if job.position < job.attempt.ticket.prompt_tokens:
                tails += job.tail_tokens
                start = job.position // prefixes.BLOCK_TOKENS
                blocks.update(job.attempt.ticket.blocks[start:])
        missing = sum(block not in self.cache for block in blocks)
        return tails + missing * prefixes.BLOCK_TOKENS

    def _queue_key(self, job: Job) -> tuple[int, int, Job]:
        self._sequence += 1
        return (int(job.attempt.ticket.priority), self._sequence, job)

    def _schedule_jobs(self) -> None:
        while self._queue and self._batch_size < self.endpoint.slots:
            _, _, job = heapq.heappop(self._queue)
            if not job.cancelled:
                job.in_batch = True
                self._batch_size += 1
                heapq.heappush(self._prefill, self._queue_key(job))
        while not self._prefilling and self._prefill:
            key = heapq.heappop(self._prefill)
            if not key[2].cancelled:
                self._start_chunk(key)

    def _start_chunk(self, key: tuple[int, int, Job]) -> None:
        job = key[2]
        self._skip_cached_blocks(job)
        tokens = min(CHUNK_TOKENS, job.remaining)
        slowdown = 1 + BATCH_SLOWDOWN * self._batch_size / self.endpoint.slots
        duration_s = tokens * slowdown / (PREFILL_TOKENS_S * self.speed)
        self._prefilling = True
        incarnation = self.endpoint.incarnation
        self._clock.call_later(
            duration_s, self._finish_chunk, key, tokens, incarnation
        )

    def _skip_cached_blocks(self, job: Job) -> None:
        """Skips blocks that are now in the cache."""
        blocks = job.attempt.ticket.blocks
        start = block_index = job.position // prefixes.BLOCK_TOKENS
        while block_index < len(blocks) and blocks[block_index] in self.cache:
            block_index += 1
        # Marked as used from the end, so that the least recently used blocks
        # of a chain, which are evicted first, are its last ones.
        for block in reversed(blocks[:block_index]):
            if block in self.cache:
                self.cache.move_to_end(block)
        job.cached += block_index - start
        job.position = max(job.position, block_index * prefixes.BLOCK_TOKENS)

    def _finish_chunk(
        self, key: tuple[int, int, Job], tokens: int, incarnation: str
    ) -> None:
        if not self.alive or incarnation != self.endpoint.incarnation:
            return
        job = key[2]
        self._prefilling = False
        self.computed_tokens += tokens
        job.position += tokens
        self._store_blocks(job)
        if job.remaining <= 0 and not job.cancelled:
            self._decode(job)
        elif not job.cancelled:
            heapq.heappush(self._prefill, self._queue_key(job))
        self._schedule_jobs()
        self._observer.load_changed(self)

    def _store_blocks(self, job: Job) -> None:
        """Caches the blocks computed so far; evicts the least recently used."""
        full = job.position // prefixes.BLOCK_TOKENS
        chain = job.attempt.ticket.blocks[:full]
        stored = [block for block in chain if block not in self.cache]
        for block in reversed(chain):
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > self.endpoint.cache_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        notify = self._observer.cache_changed
        if stored:
            notify(self, models.CacheChange.STORED, tuple(stored))
        if evicted:
            notify(self, models.CacheChange.EVICTED, tuple(evicted))

    def _decode(self, job: Job) -> None:
        slowdown = 1 + BATCH_SLOWDOWN * self._batch_size / self.endpoint.slots
        step_s = DECODE_STEP_S * slowdown / self.speed
        self._clock.call_later(step_s, self._send_first_token, job)
        self._clock.call_later(step_s * job.out_tokens, self._finish, job)

    def _send_first_token(self, job: Job) -> None:
        if not job.cancelled:
            self._observer.job_first_token(self, job)

    def _finish(self, job: Job) -> None:
        if job.cancelled:
            return
        self._release(job)
        self._observer.job_finished(self, job)
        self._schedule_jobs()
        self._observer.load_changed(self)

    def _release(self, job: Job) -> None:
        self.jobs.discard(job)
        if job.in_batch:
            self._batch_size -= 1
            job.in_batch = False
