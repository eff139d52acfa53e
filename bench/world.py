"""Simulation of routers with the real scheduler, and of runners and delays.

Times are virtual, in seconds from the start of a run.
"""

import heapq
import random
from collections.abc import Callable, Sequence

import attrs

from bench import runners, workloads
from knapweedarch import models, scheduler

RUNNERS = 9
DATA_CENTRES = 3
ROUTERS = 8
SAME_DATA_CENTRE_DELAY_S = 0.0003
REPORT_INTERVAL_S = 0.25
SNAPSHOT_CHECK_INTERVAL_S = 0.05

# Time that a runner takes to answer with a snapshot. Events sent before the
# snapshot may arrive after it; their numbers tell the router to ignore them.
SNAPSHOT_TIME_S = 0.02

# Time until routers detect a broken feed, and until the announcement of a
# restarted runner has reached the routers through the replicated log.
FEED_LOSS_DETECTION_S = 0.3
ANNOUNCE_DELAY_S = 0.8

# Delay after which callers whose router stopped try another one.
RESUBMIT_DELAY_S = 0.2


@attrs.frozen
class Lag:
    """Delay and loss of cache events and load reports.

    Attributes:
        base_s: Minimum delay of events and reports; 0 for no delay at all.
        jitter_s: Mean of the exponential part of the delay.
        loss: Probability that an event does not reach a given router.
    """

    base_s: float = 0.1
    jitter_s: float = 0.05
    loss: float = 0.001


NO_LAG = Lag(0.0, 0.0, 0.0)


@attrs.define(eq=False)
class RequestRecord:
    """Outcome of one request.

    Attributes:
        request: The request.
        first_at: Virtual time at which the first token arrived at the router.
        refused: Reason if it was refused or late, otherwise empty.
        retries: Number of retries by routers.
        resubmits: Number of resubmissions after its router stopped.
        cached: Number of cached blocks of the attempt that answered.
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
    """A router: its scheduler and its attempts in progress.

    Attributes:
        number: Number of the router.
        data_centre: Name of its data centre.
        generation: Number of times that it was stopped. A job sent in an
            earlier generation is not delivered.
        alive: Whether it runs.
        scheduler: Its scheduler; None before the run.
        jobs: Jobs and their records by attempt number.
        waiting: Records of requests that wait at the scheduler, by id.
        poll_at: Virtual time of the next poll; None if none is scheduled.
    """

    def __init__(self, number: int, data_centre: str):
        self.number = number
        self.data_centre = data_centre
        self.generation = 0
        self.alive = True
        self.scheduler: scheduler.Scheduler | None = None
        self.jobs: dict[int, tuple[runners.Job, RequestRecord]] = {}
        self.waiting: dict[str, RequestRecord] = {}
        self.poll_at: float | None = None


class Simulation:
    """Runs one trace against one scheduler variant in virtual time.

    Attributes:
        now: Virtual time in seconds.
        deployment: The deployment that is simulated.
        lag: Delay and loss of cache events and load reports.
        rng: Random numbers of the simulation.
        records: Outcome of each request of the trace.
        runners: The runners by name.
        routers: The routers by number.
    """

    def __init__(
        self,
        deployment: workloads.Deployment,
        requests: Sequence[workloads.Request],
        make_scheduler: Callable[[str, int, "Simulation"], scheduler.Scheduler],
        lag: Lag,
        seed: int,
        routers: int = ROUTERS,
        owner_lookup: bool = False,
    ):
        self._owner_lookup = owner_lookup
        self.now = 0.0
        self.deployment = deployment
        self.lag = lag
        self.rng = random.Random(f"world/{seed}")
        self.records = [RequestRecord(r) for r in requests]
        self.runners = {r.endpoint.id: r for r in self._make_runners()}
        self.routers = [
            Router(i, f"dc{i % DATA_CENTRES}") for i in range(routers)
        ]
        self._make_scheduler = make_scheduler
        self._seed = seed
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = 0
        self._last_feed_delivery: dict[tuple[int, str], float] = {}
        self._records_by_job: dict[runners.Job, RequestRecord] = {}
        self._announced_endpoints = [r.endpoint for r in self.runners.values()]

    def call_later(
        self, delay_s: float, action: Callable[..., None], *args: object
    ) -> None:
        """Runs an action after a delay in seconds."""
        self.call_at(self.now + delay_s, action, *args)

    def call_at(self, when: float, action: Callable[..., None], *args) -> None:
        """Runs an action at a virtual time in seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, action, args))

    def run(self, until: float) -> None:
        """Runs the trace up to a virtual time in seconds."""
        for router in self.routers:
            self._start_router(router)
        for record in self.records:
            self.call_at(record.request.at, self._arrive, record)
        for i, runner in enumerate(self.runners.values()):
            self.call_later(
                REPORT_INTERVAL_S * i / RUNNERS, self._send_load_reports, runner
            )
        if self.lag.base_s:
            self.call_later(SNAPSHOT_CHECK_INTERVAL_S, self._check_snapshots)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)

    # Fault injection.

    def crash_runner(self, name: str, back_after_s: float) -> None:
        """Crashes a runner; it restarts empty after `back_after_s`."""
        runner = self.runners[name]
        for job in runner.crash():
            router = self.routers[job.router]
            delay = self._network_delay(router, runner)
            self.call_later(
                delay,
                self._fail_attempt,
                job,
                models.RetryReason.CONNECTION_CLOSED,
            )
        for router in self.routers:
            self.call_later(
                FEED_LOSS_DETECTION_S, self._feed_lost, router, name
            )
        self.call_later(back_after_s, self._restart_runner, runner)

    def _restart_runner(self, runner: runners.Runner) -> None:
        runner.start(f"{runner.endpoint.incarnation}+")
        self._announced_endpoints = [r.endpoint for r in self.runners.values()]
        for router in self.routers:
            self.call_later(
                ANNOUNCE_DELAY_S,
                self._announce,
                router,
                self._announced_endpoints,
            )

    def stop_router(self, number: int, back_after_s: float) -> None:
        """Stops a router; it restarts after `back_after_s`.

        Callers resubmit its requests that have no first token yet.
        """
        router = self.routers[number]
        router.alive = False
        router.generation += 1
        failed_records = list(router.waiting.values())
        for job, record in router.jobs.values():
            self.runners[job.attempt.endpoint.id].cancel(job)
            if record.first_at is None:
                failed_records.append(record)
        router.jobs.clear()
        router.waiting.clear()
        for record in failed_records:
            record.resubmits += 1
            self.call_later(RESUBMIT_DELAY_S, self._arrive, record)
        self.call_later(back_after_s, self._start_router, router)

    def _start_router(self, router: Router) -> None:
        router.alive = True
        router.scheduler = self._make_scheduler(
            router.data_centre, self._seed * 1000 + router.number, self
        )
        router.scheduler.set_endpoints(self._announced_endpoints, self.now)
        for name, runner in self.runners.items():
            if not runner.alive:
                router.scheduler.feed_lost(name, self.now)
        self._request_snapshots(router)

    def _announce(
        self, router: Router, endpoints: Sequence[models.Endpoint]
    ) -> None:
        if router.alive:
            router.scheduler.set_endpoints(endpoints, self.now)

    def _feed_lost(self, router: Router, name: str) -> None:
        if router.alive:
            router.scheduler.feed_lost(name, self.now)

    # Requests.

    def _arrive(self, record: RequestRecord) -> None:
        alive = [r for r in self.routers if r.alive]
        if not alive:
            self.call_later(RESUBMIT_DELAY_S, self._arrive, record)
            return
        router = self.rng.choice(alive)
        if self._owner_lookup and self.rng.random() > 1 / len(self.routers):
            # Another router owns the index partition of this prefix.
            delay = 2 * self.deployment.one_way_s
            self.call_later(delay, self._submit, router, record)
        else:
            self._submit(router, record)

    def _submit(self, router: Router, record: RequestRecord) -> None:
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
        self, router: Router, record: RequestRecord, decision: models.Decision
    ) -> None:
        match decision:
            case models.Dispatch(attempt=attempt):
                self._send_attempt(router, record, attempt)
            case models.Wait():
                router.waiting[record.request.id] = record
                self._schedule_poll(router)
            case models.Refuse(reason=reason):
                record.refused = reason.value

    def _send_attempt(
        self, router: Router, record: RequestRecord, attempt: models.Attempt
    ) -> None:
        job = runners.Job(attempt, router.number, record.request.out_tokens)
        router.jobs[attempt.number] = (job, record)
        self._records_by_job[job] = record
        runner = self.runners[attempt.endpoint.id]
        delay = self._network_delay(router, runner)
        self.call_later(delay, self._deliver_job, router.generation, job)
        self.call_at(
            max(attempt.ticket.deadline, self.now),
            self._check_first_token,
            job,
        )

    def _deliver_job(self, generation: int, job: runners.Job) -> None:
        router = self.routers[job.router]
        if router.generation != generation or job.cancelled:
            return
        runner = self.runners[job.attempt.endpoint.id]
        expected_incarnation = job.attempt.endpoint.incarnation
        delay = self._network_delay(router, runner)
        if not runner.alive:
            reason = models.RetryReason.CONNECT_REFUSED
            self.call_later(delay, self._fail_attempt, job, reason)
        elif runner.endpoint.incarnation != expected_incarnation:
            reason = models.RetryReason.WRONG_INCARNATION
            self.call_later(delay, self._fail_attempt, job, reason)
        else:
            runner.accept(job)

    def _fail_attempt(
        self, job: runners.Job, reason: models.RetryReason
    ) -> None:
        router = self.routers[job.router]
        entry = router.jobs.pop(job.attempt.number, None)
        if entry is None or entry[0] is not job:
            return
        record = entry[1]
        result = models.AttemptResult(reason)
        router.scheduler.finished(job.attempt, result, self.now)
        if record.first_at is not None:
            # No measure includes the rest of an interrupted stream.
            return
        record.retries += 1
        decision = router.scheduler.retry(
            job.attempt.ticket, job.attempt, self.now
        )
        self._handle(router, record, decision)

    def _check_first_token(self, job: runners.Job) -> None:
        record = self._records_by_job.get(job)
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
            self.call_at(wake, self._poll, router, router.generation)

    def _poll(self, router: Router, generation: int) -> None:
        router.poll_at = None
        if not router.alive:
            return
        for ticket_id, decision in router.scheduler.poll(self.now):
            record = router.waiting.pop(ticket_id)
            self._handle(router, record, decision)
        self._schedule_poll(router)

    # Events of runners.

    def job_first_token(self, runner: runners.Runner, job: runners.Job) -> None:
        """Sends the first token to the router."""
        delay = self._network_delay(self.routers[job.router], runner)
        self.call_later(delay, self._first_token, job)

    def job_finished(self, runner: runners.Runner, job: runners.Job) -> None:
        """Sends the end of the answer to the router."""
        delay = self._network_delay(self.routers[job.router], runner)
        self.call_later(delay, self._finished, job)

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
        self._records_by_job.pop(job, None)
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
        """Sends an event to every router; it may be delayed or lost."""
        runner.event_count += 1
        event = models.CacheEvent(
            runner.endpoint.id,
            runner.endpoint.incarnation,
            runner.event_count,
            change,
            blocks,
        )
        for router in self.routers:
            if self.lag.loss and self.rng.random() < self.lag.loss:
                continue
            when = self._feed_delivery_time(router, runner)
            self.call_at(when, self._deliver_cache_event, router, event)

    def _deliver_cache_event(
        self, router: Router, event: models.CacheEvent
    ) -> None:
        if router.alive:
            router.scheduler.cache_event(event, self.now)

    def load_changed(self, runner: runners.Runner) -> None:
        """Reports the load immediately if there is no lag."""
        if not self.lag.base_s:
            for router in self.routers:
                self._deliver_load_report(router, runner.report(router.number))

    def _send_load_reports(self, runner: runners.Runner) -> None:
        if runner.alive:
            for router in self.routers:
                delay = self._feed_delay()
                report = runner.report(router.number)
                self.call_later(
                    delay, self._deliver_load_report, router, report
                )
        self.call_later(REPORT_INTERVAL_S, self._send_load_reports, runner)

    def _deliver_load_report(
        self, router: Router, report: models.LoadReport
    ) -> None:
        if router.alive and self.runners[report.endpoint_id].alive:
            router.scheduler.report_load(report, self.now)

    def _request_snapshots(self, router: Router) -> None:
        for name in router.scheduler.take_snapshot_requests():
            runner = self.runners[name]
            delay = self._network_delay(router, runner)
            self.call_later(delay, self._send_snapshot, router, runner)

    def _check_snapshots(self) -> None:
        for router in self.routers:
            if router.alive:
                self._request_snapshots(router)
        self.call_later(SNAPSHOT_CHECK_INTERVAL_S, self._check_snapshots)

    def _send_snapshot(self, router: Router, runner: runners.Runner) -> None:
        if not runner.alive:
            return
        snapshot = models.CacheSnapshot(
            runner.endpoint.id,
            runner.endpoint.incarnation,
            runner.event_count,
            tuple(runner.cache),
        )
        delay = SNAPSHOT_TIME_S + self._network_delay(router, runner)
        self.call_later(delay, self._deliver_snapshot, router, snapshot)

    def _deliver_snapshot(
        self, router: Router, snapshot: models.CacheSnapshot
    ) -> None:
        if router.alive:
            router.scheduler.cache_snapshot(snapshot, self.now)

    def _feed_delay(self) -> float:
        if not self.lag.base_s:
            return 0.0
        return self.lag.base_s + self.rng.expovariate(1 / self.lag.jitter_s)

    def _feed_delivery_time(
        self, router: Router, runner: runners.Runner
    ) -> float:
        """Returns the delivery time of the next event.

        It is not before that of the previous one: a feed keeps its order.
        """
        key = (router.number, runner.endpoint.id)
        when = max(
            self._last_feed_delivery.get(key, 0.0),
            self.now + self._feed_delay(),
        )
        self._last_feed_delivery[key] = when
        return when

    def _network_delay(self, router: Router, runner: runners.Runner) -> float:
        same_data_centre = router.data_centre == runner.endpoint.data_centre
        if same_data_centre or not self.lag.base_s:
            return SAME_DATA_CENTRE_DELAY_S
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
