"""Virtual-time world: routers with the real scheduler, runners, delays."""

import heapq
import random
from collections.abc import Callable, Sequence

import attrs

from bench import runners, workloads
from knapweedarch import models, scheduler

RUNNERS = 9
DATA_CENTRES = 3
ROUTERS = 8
SAME_CENTRE_S = 0.0003
REPORT_S = 0.25
SNAPSHOT_CHECK_S = 0.05

# Time that a runner needs to answer with a snapshot. Events sent before may
# arrive after it; their numbers tell.
SNAPSHOT_S = 0.02

# Time after which routers notice a broken feed, and after which a restarted
# runner's announcement has reached the routers through the log.
FEED_LOST_S = 0.3
ANNOUNCE_S = 0.8

# Callers whose router stopped try another one after this time.
RESUBMIT_S = 0.2


@attrs.frozen
class Lag:
    """Delay and loss of what routers know.

    Attributes:
        base_s: Least delay of events and reports.
        jitter_s: Mean of the exponential part of the delay.
        loss: Probability that one event does not reach one router.
    """

    base_s: float = 0.1
    jitter_s: float = 0.05
    loss: float = 0.001


NO_LAG = Lag(0.0, 0.0, 0.0)


@attrs.define(eq=False)
class Record:
    """What happened to one request.

    Attributes:
        request: The request.
        first_at: Arrival of the first token at the router.
        refused: Reason if it was refused or its deadline passed.
        retries: Retries by routers.
        resubmits: Resubmissions by the caller after its router stopped.
        cached: Cached blocks of the answering attempt.
        done: Whether the answer is complete.
    """

    request: workloads.Request
    first_at: float | None = None
    refused: str = ""
    retries: int = 0
    resubmits: int = 0
    cached: int | None = None
    done: bool = False


class Router:
    """A router: one scheduler and its attempts under way."""

    def __init__(self, number: int, data_centre: str):
        self.number = number
        self.data_centre = data_centre
        self.life = 0
        self.alive = True
        self.scheduler: scheduler.Scheduler | None = None
        self.jobs: dict[int, tuple[runners.Job, Record]] = {}
        self.waiting: dict[str, Record] = {}
        self.poll_at: float | None = None


class World:
    """Runs one trace against one kind of scheduler."""

    def __init__(
        self,
        deployment: workloads.Deployment,
        requests: Sequence[workloads.Request],
        make_scheduler: Callable[[str, int, "World"], scheduler.Scheduler],
        lag: Lag,
        seed: int,
        routers: int = ROUTERS,
        look_up: bool = False,
    ):
        self._look_up = look_up
        self.now = 0.0
        self.deployment = deployment
        self.lag = lag
        self.rng = random.Random(f"world/{seed}")
        self.records = [Record(r) for r in requests]
        self.runners = {r.endpoint.id: r for r in self._make_runners()}
        self.routers = [
            Router(i, f"dc{i % DATA_CENTRES}") for i in range(routers)
        ]
        self._make_scheduler = make_scheduler
        self._seed = seed
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = 0
        self._fifo: dict[tuple[int, str], float] = {}
        self._owner: dict[runners.Job, Record] = {}
        self._announced = [r.endpoint for r in self.runners.values()]

    def after(
        self, delay_s: float, action: Callable[..., None], *args: object
    ) -> None:
        """Runs an action after a delay in seconds."""
        self.at(self.now + delay_s, action, *args)

    def at(self, when: float, action: Callable[..., None], *args) -> None:
        """Runs an action at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, action, args))

    def run(self, until: float) -> None:
        """Runs the trace and lets the last answers finish."""
        for router in self.routers:
            self._start_router(router)
        for record in self.records:
            self.at(record.request.at, self._arrive, record)
        for i, runner in enumerate(self.runners.values()):
            self.after(REPORT_S * i / RUNNERS, self._report, runner)
        if self.lag.base_s:
            self.after(SNAPSHOT_CHECK_S, self._check_snapshots)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)

    # Faults.

    def crash_runner(self, name: str, back_after_s: float) -> None:
        """Crashes a runner; it comes back empty after a time."""
        runner = self.runners[name]
        for job in runner.crash():
            router = self.routers[job.router]
            delay = self._distance(router, runner)
            self.after(
                delay, self._fail, job, models.RetryReason.CONNECTION_CLOSED
            )
        for router in self.routers:
            self.after(FEED_LOST_S, self._feed_lost, router, name)
        self.after(back_after_s, self._restart_runner, runner)

    def _restart_runner(self, runner: runners.Runner) -> None:
        runner.start(f"{runner.endpoint.incarnation}+")
        self._announced = [r.endpoint for r in self.runners.values()]
        for router in self.routers:
            self.after(ANNOUNCE_S, self._announce, router, self._announced)

    def stop_router(self, number: int, back_after_s: float) -> None:
        """Stops a router; its requests fail and callers resubmit them."""
        router = self.routers[number]
        router.alive = False
        router.life += 1
        lost = list(router.waiting.values())
        for job, record in router.jobs.values():
            self.runners[job.attempt.endpoint.id].cancel(job)
            if record.first_at is None:
                lost.append(record)
        router.jobs.clear()
        router.waiting.clear()
        for record in lost:
            record.resubmits += 1
            self.after(RESUBMIT_S, self._arrive, record)
        self.after(back_after_s, self._start_router, router)

    def _start_router(self, router: Router) -> None:
        router.alive = True
        router.scheduler = self._make_scheduler(
            router.data_centre, self._seed * 1000 + router.number, self
        )
        router.scheduler.set_endpoints(self._announced, self.now)
        for name, runner in self.runners.items():
            if not runner.alive:
                router.scheduler.endpoint_lost(name, self.now)
        self._ask_snapshots(router)

    def _announce(
        self, router: Router, endpoints: Sequence[models.Endpoint]
    ) -> None:
        if router.alive:
            router.scheduler.set_endpoints(endpoints, self.now)

    def _feed_lost(self, router: Router, name: str) -> None:
        if router.alive:
            router.scheduler.endpoint_lost(name, self.now)

    # Requests.

    def _arrive(self, record: Record) -> None:
        alive = [r for r in self.routers if r.alive]
        if not alive:
            self.after(RESUBMIT_S, self._arrive, record)
            return
        router = self.rng.choice(alive)
        if self._look_up and self.rng.random() > 1 / len(self.routers):
            # The index part of this prefix is at another router.
            delay = 2 * self.deployment.one_way_s
            self.after(delay, self._submit, router, record)
        else:
            self._submit(router, record)

    def _submit(self, router: Router, record: Record) -> None:
        if not router.alive:
            self._arrive(record)
            return
        request = record.request
        ticket = models.Ticket(
            request.id,
            request.customer,
            self.deployment.model,
            request.priority,
            request.blocks,
            request.prompt_tokens,
            request.out_tokens,
            request.at + request.deadline_s,
        )
        decision = router.scheduler.submit(ticket, self.now)
        self._handle(router, record, decision)

    def _handle(
        self, router: Router, record: Record, decision: models.Decision
    ) -> None:
        match decision:
            case models.Dispatch(attempt=attempt):
                self._send(router, record, attempt)
            case models.Wait():
                router.waiting[record.request.id] = record
                self._schedule_poll(router)
            case models.Refuse(reason=reason):
                record.refused = reason.value

    def _send(
        self, router: Router, record: Record, attempt: models.Attempt
    ) -> None:
        job = runners.Job(attempt, router.number, record.request.out_tokens)
        router.jobs[attempt.number] = (job, record)
        self._owner[job] = record
        runner = self.runners[attempt.endpoint.id]
        delay = self._distance(router, runner)
        self.after(delay, self._deliver, router.life, job)
        self.at(
            max(attempt.ticket.deadline, self.now),
            self._check_first_token,
            job,
        )

    def _deliver(self, life: int, job: runners.Job) -> None:
        router = self.routers[job.router]
        if router.life != life or job.cancelled:
            return
        runner = self.runners[job.attempt.endpoint.id]
        known = job.attempt.endpoint.incarnation
        delay = self._distance(router, runner)
        if not runner.alive:
            reason = models.RetryReason.CONNECT_REFUSED
            self.after(delay, self._fail, job, reason)
        elif runner.endpoint.incarnation != known:
            reason = models.RetryReason.WRONG_INCARNATION
            self.after(delay, self._fail, job, reason)
        else:
            runner.accept(job)

    def _fail(self, job: runners.Job, reason: models.RetryReason) -> None:
        router = self.routers[job.router]
        entry = router.jobs.pop(job.attempt.number, None)
        if entry is None or entry[0] is not job:
            return
        record = entry[1]
        result = models.AttemptResult(reason)
        router.scheduler.finished(job.attempt, result, self.now)
        if record.first_at is not None:
            # The rest of a broken stream is not part of any measure here.
            return
        record.retries += 1
        decision = router.scheduler.retry(
            job.attempt.ticket, job.attempt, self.now
        )
        self._handle(router, record, decision)

    def _check_first_token(self, job: runners.Job) -> None:
        record = self._owner.get(job)
        if record is None or record.first_at is not None or job.cancelled:
            return
        router = self.routers[job.router]
        entry = router.jobs.get(job.attempt.number)
        if entry is None or entry[0] is not job:
            return
        del router.jobs[job.attempt.number]
        runner = self.runners[job.attempt.endpoint.id]
        runner.cancel(job)
        job.cancelled = True
        record.refused = "first_token_timeout"
        router.scheduler.finished(
            job.attempt,
            models.AttemptResult(models.RetryReason.FIRST_TOKEN_TIMEOUT),
            self.now,
        )

    def _schedule_poll(self, router: Router) -> None:
        wake = router.scheduler.next_wake(self.now)
        if wake is not None and router.poll_at is None:
            router.poll_at = wake
            self.at(wake, self._poll, router, router.life)

    def _poll(self, router: Router, life: int) -> None:
        router.poll_at = None
        if not router.alive:
            return
        for ticket_id, decision in router.scheduler.poll(self.now):
            record = router.waiting.pop(ticket_id)
            self._handle(router, record, decision)
        self._schedule_poll(router)

    # What runners tell.

    def job_first_token(self, runner: runners.Runner, job: runners.Job) -> None:
        """Sends the first token to the router."""
        delay = self._distance(self.routers[job.router], runner)
        self.after(delay, self._first_token, job)

    def job_finished(self, runner: runners.Runner, job: runners.Job) -> None:
        """Sends the end of the answer to the router."""
        delay = self._distance(self.routers[job.router], runner)
        self.after(delay, self._finished, job)

    def _first_token(self, job: runners.Job) -> None:
        router = self.routers[job.router]
        entry = router.jobs.get(job.attempt.number)
        if entry is None or entry[0] is not job:
            return
        record = entry[1]
        record.first_at, record.cached = self.now, job.cached
        router.scheduler.first_token(job.attempt, self.now)

    def _finished(self, job: runners.Job) -> None:
        router = self.routers[job.router]
        entry = router.jobs.get(job.attempt.number)
        self._owner.pop(job, None)
        if entry is None or entry[0] is not job:
            return
        del router.jobs[job.attempt.number]
        entry[1].done = True
        cached = (job.cached or 0) * runners.prefixes.BLOCK_TOKENS
        router.scheduler.finished(
            job.attempt, models.AttemptResult(None, cached), self.now
        )

    def cache_changed(
        self,
        runner: runners.Runner,
        change: models.CacheChange,
        blocks: tuple[int, ...],
    ) -> None:
        """Sends an event to every router, late, or not at all."""
        runner.events += 1
        event = models.CacheEvent(
            runner.endpoint.id,
            runner.endpoint.incarnation,
            runner.events,
            change,
            blocks,
        )
        for router in self.routers:
            if self.lag.loss and self.rng.random() < self.lag.loss:
                continue
            when = self._feed_time(router, runner)
            self.at(when, self._event, router, event)

    def _event(self, router: Router, event: models.CacheEvent) -> None:
        if router.alive:
            router.scheduler.cache_event(event, self.now)

    def load_changed(self, runner: runners.Runner) -> None:
        """Reports at once in a world without lag."""
        if not self.lag.base_s:
            for router in self.routers:
                self._load(router, runner.report(router.number))

    def _report(self, runner: runners.Runner) -> None:
        if runner.alive:
            for router in self.routers:
                delay = self._delay()
                report = runner.report(router.number)
                self.after(delay, self._load, router, report)
        self.after(REPORT_S, self._report, runner)

    def _load(self, router: Router, report: models.LoadReport) -> None:
        if router.alive and self.runners[report.endpoint_id].alive:
            router.scheduler.report_load(report, self.now)

    def _ask_snapshots(self, router: Router) -> None:
        for name in router.scheduler.take_snapshot_requests():
            runner = self.runners[name]
            delay = self._distance(router, runner)
            self.after(delay, self._snapshot, router, runner)

    def _check_snapshots(self) -> None:
        for router in self.routers:
            if router.alive:
                self._ask_snapshots(router)
        self.after(SNAPSHOT_CHECK_S, self._check_snapshots)

    def _snapshot(self, router: Router, runner: runners.Runner) -> None:
        if not runner.alive:
            return
        snapshot = models.CacheSnapshot(
            runner.endpoint.id,
            runner.endpoint.incarnation,
            runner.events,
            tuple(runner.cache),
        )
        delay = SNAPSHOT_S + self._distance(router, runner)
        self.after(delay, self._take_snapshot, router, snapshot)

    def _take_snapshot(
        self, router: Router, snapshot: models.CacheSnapshot
    ) -> None:
        if router.alive:
            router.scheduler.cache_snapshot(snapshot, self.now)

    def _delay(self) -> float:
        if not self.lag.base_s:
            return 0.0
        return self.lag.base_s + self.rng.expovariate(1 / self.lag.jitter_s)

    def _feed_time(self, router: Router, runner: runners.Runner) -> float:
        """Arrival of the next event; a feed keeps its order."""
        key = (router.number, runner.endpoint.id)
        when = max(self._fifo.get(key, 0.0), self.now + self._delay())
        self._fifo[key] = when
        return when

    def _distance(self, router: Router, runner: runners.Runner) -> float:
        near = router.data_centre == runner.endpoint.data_centre
        if near or not self.lag.base_s:
            return SAME_CENTRE_S
        return self.deployment.one_way_s

    def _make_runners(self) -> list[runners.Runner]:
        return [
            runners.Runner(
                models.Endpoint(
                    f"r{i}",
                    f"i{i}",
                    "",
                    models.EndpointKind.RUNNER,
                    (self.deployment.model,),
                    "v1",
                    f"dc{i % DATA_CENTRES}",
                    self.deployment.slots,
                    self.deployment.cache_blocks,
                ),
                self,
                self,
            )
            for i in range(RUNNERS)
        ]
