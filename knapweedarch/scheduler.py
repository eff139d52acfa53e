"""Decides when and on which runner each request runs.

The scheduler is called by the router and by the bench. It performs no I/O;
the caller passes the current time in seconds of one monotonic clock.
"""

import random
from collections.abc import Sequence

import attrs

from knapweedarch import (
    admission,
    index,
    loads,
    models,
    placement,
    prefixes,
    retries,
)

# Number of waiting requests per model that a poll tries to place although their
# target runner is full, least recently tried first. Bounds the duration of a
# poll.
STALE_TRIES_PER_POLL = 4

# Waiting requests are also tried periodically, because the expected load
# decreases with time and not only on events.
POLL_INTERVAL_S = 0.05


@attrs.frozen
class SchedulerConfig:
    """Configuration of all components of the scheduler.

    Attributes:
        placement_cfg: Parameters of the cost function.
        admission_cfg: Configuration of the queues.
        retry_cfg: Configuration of retries, ejection and slow start.
        assumed_ttl_s: Time in seconds after which blocks that no cache event
            has confirmed count as absent.
    """

    placement_cfg: placement.PlacementConfig = attrs.field(
        factory=placement.PlacementConfig
    )
    admission_cfg: admission.AdmissionConfig = attrs.field(
        factory=admission.AdmissionConfig
    )
    retry_cfg: retries.RetryConfig = attrs.field(factory=retries.RetryConfig)
    assumed_ttl_s: float = index.ASSUMED_TTL_S


@attrs.define
class _Running:
    attempt: models.Attempt
    sent_at: float
    choice: placement.Candidate
    first_token_at: float | None = None


def create_scheduler(cfg: SchedulerConfig, seed: int) -> "Scheduler":
    """Creates a scheduler; equal seeds and calls yield equal decisions."""
    return Scheduler(cfg, placement.Placer(cfg.placement_cfg), seed)


class Scheduler:
    """Combines the cache index, placement, admission and retries.

    `now` is the current time in seconds on one monotonic clock.
    """

    def __init__(
        self, cfg: SchedulerConfig, placer: placement.Placer, seed: int
    ):
        self._cfg = cfg
        self._rng = random.Random(seed)
        self._placer = placer
        self._index = index.CacheIndex(cfg.assumed_ttl_s)
        self._limits = admission.CustomerLimits()
        self._versions: dict[str, str] = {}
        self._budget = retries.RetryBudget(cfg.retry_cfg)
        self._health = retries.HealthTable(cfg.retry_cfg, self._rng)
        self._endpoints: dict[str, models.Endpoint] = {}
        self._loads: dict[str, loads.RunnerLoad] = {}
        self._feed_lost: set[str] = set()
        self._queues: dict[str, admission.RequestQueue] = {}
        self._running: dict[int, _Running] = {}
        self._retry_counts: dict[str, int] = {}
        self._next_number = 1

    def set_endpoints(
        self, endpoints: Sequence[models.Endpoint], now: float
    ) -> None:
        """Replaces the list of endpoints; plain services are ignored."""
        initial = not self._endpoints
        runners = {
            e.id: e for e in endpoints if e.kind is models.EndpointKind.RUNNER
        }
        for removed in sorted(self._endpoints.keys() - runners.keys()):
            self._index.drop_endpoint(removed)
            self._loads.pop(removed, None)
            self._feed_lost.discard(removed)
            self._health.reset(removed)
        for runner in runners.values():
            known = self._endpoints.get(runner.id)
            if known is None or known.incarnation != runner.incarnation:
                self._add_runner(runner, initial, now)
        self._endpoints = runners

    def set_limits(self, rules: models.Rules) -> None:
        """Applies customer limits and the required model versions."""
        self._limits.set_rules(rules)
        self._versions = {m.name: m.version for m in rules.models}

    def set_router_count(self, count: int) -> None:
        """Sets the number of routers that use the same load reports.

        Args:
            count: Number of routers, including this one.
        """
        self._placer.set_router_count(count)

    def version_for(self, model: str) -> str:
        """Returns the weights version used to hash a prompt.

        This is the version that the rules require, otherwise the one that
        most runners serve. The cached blocks of runners with another version
        never match, because the version is part of the block hashes.
        """
        if self._versions.get(model):
            return self._versions[model]
        served = sorted(
            e.weights_version
            for e in self._endpoints.values()
            if model in e.serves
        )
        return max(served, key=served.count, default="")

    def report_load(self, report: models.LoadReport, now: float) -> None:
        """Applies a load report; one of another incarnation is ignored."""
        endpoint = self._endpoints.get(report.endpoint_id)
        if endpoint is None or endpoint.incarnation != report.incarnation:
            return
        self._feed_lost.discard(endpoint.id)
        self._loads[endpoint.id].apply_report(report, now)

    def cache_event(self, event: models.CacheEvent, now: float) -> None:
        """Applies an event to the known cache contents of a runner."""
        self._index.apply(event)

    def cache_snapshot(
        self, snapshot: models.CacheSnapshot, now: float
    ) -> None:
        """Replaces the known cache contents of a runner."""
        self._index.apply_snapshot(snapshot)

    def take_snapshot_requests(self) -> list[str]:
        """Returns and clears the runners that need a cache snapshot."""
        return self._index.take_snapshot_requests()

    def feed_lost(self, endpoint_id: str, now: float) -> None:
        """Records that a runner's feed was lost and drops its cache entries.

        Until its next report the runner is used only if no other is eligible.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        self._feed_lost.add(endpoint_id)
        self._index.drop_endpoint(endpoint_id)
        self._index.set_endpoint(endpoint_id, endpoint.incarnation)

    def submit(self, ticket: models.Ticket, now: float) -> models.Decision:
        """Decides on a new request."""
        retry_after = self._limits.admit(ticket, now)
        if retry_after is not None:
            return models.Refuse(models.RefusalReason.OVER_LIMIT, retry_after)
        self._placer.record_arrival(ticket, now)
        decision = self._decide(admission.QueuedRequest(ticket, now), now)
        match decision:
            case models.Dispatch():
                self._budget.record_first_attempt()
            case models.Refuse():
                self._release(ticket)
        return decision

    def reserve_retry(
        self, ticket: models.Ticket, silent: models.Attempt, now: float
    ) -> bool:
        """Counts a retry of a silent attempt if another runner may go on.

        Its runner must be healthy, in time and have capacity now. The following
        `retry` of the request is then called with `is_reserved`.

        Returns:
            Whether the retry is counted; if not, nothing has changed.
        """
        count = self._retry_counts.get(ticket.id, 0) + 1
        if count > self._cfg.retry_cfg.max_retries_per_request:
            return False
        others = [
            e
            for e in self._capable(ticket)
            if e.id != silent.endpoint.id
            and e.id not in self._feed_lost
            and not self._health.is_ejected(e.id, now)
        ]
        rank = self._queue(ticket.model).rank(
            admission.QueuedRequest(ticket, now), now
        )
        choices = self._timely(
            self._candidates(ticket, others, now), ticket, now
        )
        return (
            any(
                self._has_capacity(c.endpoint, ticket, rank, now)
                for c in choices[: self._placer.tries]
            )
            and self._budget.try_spend()
        )

    def retry(
        self,
        ticket: models.Ticket,
        failed: models.Attempt,
        now: float,
        is_reserved: bool = False,
    ) -> models.Decision:
        """Queues a request whose attempt failed, or refuses a further attempt.

        The ticket may differ from that of the failed attempt: a resumed
        stream requires a weights version and has a new deadline.

        Args:
            ticket: The request.
            failed: Its attempt that failed.
            now: Time in seconds.
            is_reserved: Whether `reserve_retry` has counted the retry.
        """
        if failed.number in self._running:
            self.finished(
                failed,
                models.AttemptResult(models.RetryReason.ENDPOINT_ERROR),
                now,
            )
        count = self._retry_counts.get(ticket.id, 0) + 1
        if count > self._cfg.retry_cfg.max_retries_per_request or not (
            is_reserved or self._budget.try_spend()
        ):
            self._release(ticket)
            return models.Refuse(models.RefusalReason.RETRIES_EXHAUSTED)
        self._retry_counts[ticket.id] = count
        self._limits.resume(ticket)
        delay = retries.back_off_s(self._cfg.retry_cfg, count, self._rng)
        entry = admission.QueuedRequest(
            ticket, now, now + delay, frozenset({failed.endpoint.id})
        )
        self._queue(ticket.model).add(
            entry, self._limits.share(ticket.customer)
        )
        return models.Wait()

    def first_token(self, attempt: models.Attempt, now: float) -> None:
        """Records the first token of an attempt."""
        running = self._running.get(attempt.number)
        if running is None or running.first_token_at is not None:
            return
        running.first_token_at = now
        load = self._loads.get(attempt.endpoint.id)
        if load is not None:
            load.record_prefill(attempt.number)
        if not self._is_current(attempt):
            return
        self._index.assume(attempt.endpoint.id, attempt.ticket.blocks, now)
        lateness_s = now - running.sent_at - running.choice.first_token_s
        peers = self._peer_ids(attempt.ticket.model)
        self._health.record_success(attempt.endpoint.id, lateness_s, peers, now)

    def finished(
        self,
        attempt: models.Attempt,
        outcome: models.AttemptResult,
        now: float,
    ) -> None:
        """Records the end of an attempt: complete, failed or cancelled."""
        running = self._running.pop(attempt.number, None)
        if running is None:
            return
        self._limits.release(attempt.ticket)
        if outcome.failure is None:
            self._retry_counts.pop(attempt.ticket.id, None)
        if not self._is_current(attempt):
            return
        self._loads[attempt.endpoint.id].record_end(attempt.number)
        if outcome.failure is not None:
            peers = self._peer_ids(attempt.ticket.model)
            self._health.record_failure(attempt.endpoint.id, peers, now)
        elif outcome.cached_tokens is not None:
            count = outcome.cached_tokens // prefixes.BLOCK_TOKENS
            self._index.assume(
                attempt.endpoint.id, attempt.ticket.blocks[:count], now
            )

    def withdraw(self, ticket_id: str, now: float) -> None:
        """Removes a request whose caller left or that will not be retried."""
        self._retry_counts.pop(ticket_id, None)
        for queue in self._queues.values():
            entry = queue.remove(ticket_id)
            if entry is not None:
                self._set_target(entry, "")
                self._release(entry.ticket)

    def poll(self, now: float) -> list[tuple[str, models.Decision]]:
        """Refuses expired requests and tries to place the other waiting ones.

        Returns:
            Request id and decision of each request that no longer waits.
        """
        done: list[tuple[str, models.Decision]] = []
        for queue in self._queues.values():
            if len(queue):
                done += self._poll_queue(queue, now)
        return done

    def next_wake(self, now: float) -> float | None:
        """Returns the time of the next poll, or None if no request waits."""
        if not any(len(queue) for queue in self._queues.values()):
            return None
        return now + POLL_INTERVAL_S

    def _poll_queue(
        self, queue: admission.RequestQueue, now: float
    ) -> list[tuple[str, models.Decision]]:
        expired = [w for w in queue if now >= w.ticket.deadline]
        done = [self._refuse_waiting(queue, entry) for entry in expired]
        stale = queue.least_recently_tried(STALE_TRIES_PER_POLL, now)
        for entry in queue.ranked(
            self._requests_to_try(queue, stale, now), now
        ):
            if entry.ticket.id not in stale and not self._target_has_capacity(
                entry, queue, now
            ):
                continue
            entry.last_tried_at = now
            decision = self._place(entry, queue.rank(entry, now), now)
            match decision:
                case models.Dispatch():
                    queue.mark_dispatched(entry)
                    done.append((entry.ticket.id, decision))
                case models.Refuse(reason=reason):
                    done.append(self._refuse_waiting(queue, entry, reason))
        return done

    def _requests_to_try(
        self, queue: admission.RequestQueue, stale: set[str], now: float
    ) -> list[admission.QueuedRequest]:
        """Returns the requests in `stale` and those whose target has capacity.

        Requests whose back-off has not ended are left out.
        """
        free: dict[tuple[str, int], bool] = {}
        found = []
        for entry in queue:
            if entry.not_before > now:
                continue
            key = (entry.target, queue.rank(entry, now))
            if key not in free:
                free[key] = self._target_has_capacity(entry, queue, now)
            if free[key] or entry.ticket.id in stale:
                found.append(entry)
        return found

    def _target_has_capacity(
        self,
        entry: admission.QueuedRequest,
        queue: admission.RequestQueue,
        now: float,
    ) -> bool:
        """Returns whether the target has capacity; True if it is unknown."""
        endpoint = self._endpoints.get(entry.target)
        return endpoint is None or self._has_capacity(
            endpoint, entry.ticket, queue.rank(entry, now), now
        )

    def _refuse_waiting(
        self,
        queue: admission.RequestQueue,
        entry: admission.QueuedRequest,
        reason: models.RefusalReason = models.RefusalReason.DEADLINE,
    ) -> tuple[str, models.Decision]:
        queue.remove(entry.ticket.id)
        self._set_target(entry, "")
        self._release(entry.ticket)
        return (
            entry.ticket.id,
            models.Refuse(reason),
        )

    def _decide(
        self, entry: admission.QueuedRequest, now: float
    ) -> models.Decision:
        """Decides on a new request and queues it if it must wait."""
        queue = self._queue(entry.ticket.model)
        decision = self._place(
            entry, queue.rank(entry, now), now, arriving=True
        )
        if isinstance(decision, models.Wait):
            if queue.is_full():
                self._set_target(entry, "")
                return models.Refuse(models.RefusalReason.QUEUE_FULL)
            queue.add(entry, self._limits.share(entry.ticket.customer))
        return decision

    def _place(
        self,
        entry: admission.QueuedRequest,
        rank: int,
        now: float,
        arriving: bool = False,
    ) -> models.Decision:
        """Dispatches or refuses a request, or lets it wait for a runner.

        An arriving request does not overtake requests of the same or a higher
        class that wait for the same runner.
        """
        ticket = entry.ticket
        self._set_target(entry, "")
        endpoints = self._eligible(ticket, entry.avoid, now)
        if not endpoints:
            return models.Refuse(models.RefusalReason.NO_CAPACITY)
        candidates = self._candidates(ticket, endpoints, now)
        timely = self._timely(candidates, ticket, now)
        if not timely:
            soonest = min(c.first_token_s for c in candidates)
            return models.Refuse(models.RefusalReason.DEADLINE, soonest)
        for choice in timely[: self._placer.tries]:
            waiting = self._loads[choice.endpoint.id].waiting_by_class
            overtakes = arriving and any(waiting[: rank + 1])
            if not overtakes and self._has_capacity(
                choice.endpoint, ticket, rank, now
            ):
                return self._dispatch(ticket, choice, now)
        self._set_target(entry, timely[0].endpoint.id)
        return models.Wait()

    def _candidates(
        self,
        ticket: models.Ticket,
        endpoints: Sequence[models.Endpoint],
        now: float,
    ) -> list[placement.Candidate]:
        """Returns runners with their costs, cheapest first."""
        if not endpoints:
            return []
        return self._placer.candidates(
            ticket,
            endpoints,
            self._loads,
            self._index.depths(ticket.blocks, now),
            {e.id: self._cache_fill(e) for e in endpoints},
            now,
        )

    def _timely(
        self,
        candidates: Sequence[placement.Candidate],
        ticket: models.Ticket,
        now: float,
    ) -> list[placement.Candidate]:
        """Returns those that would send the first token in time."""
        return [
            c for c in candidates if now + c.first_token_s < ticket.deadline
        ]

    def _set_target(self, entry: admission.QueuedRequest, target: str) -> None:
        """Sets a request's target and updates the counts per runner."""
        priority = entry.ticket.priority
        if entry.target in self._loads:
            self._loads[entry.target].waiting_by_class[priority] -= 1
        if target:
            self._loads[target].waiting_by_class[priority] += 1
        entry.target = target

    def _has_capacity(
        self,
        endpoint: models.Endpoint,
        ticket: models.Ticket,
        rank: int,
        now: float,
    ) -> bool:
        """Returns whether a runner's occupancy is below the limit of a class.

        A runner with an occupancy below 1 always has capacity.
        """
        load = self._loads[endpoint.id]
        limit = self._queue(ticket.model).fill_limit(rank) * endpoint.slots
        limit *= retries.slow_start_fraction(
            self._cfg.retry_cfg, load.slow_start_at, now
        )
        return self._placer.occupancy(load) < max(1.0, limit)

    def _dispatch(
        self, ticket: models.Ticket, choice: placement.Candidate, now: float
    ) -> models.Dispatch:
        endpoint = choice.endpoint
        number, self._next_number = self._next_number, self._next_number + 1
        attempt = models.Attempt(number, ticket, endpoint, choice.cached_blocks)
        hit = choice.cached_blocks * prefixes.BLOCK_TOKENS
        missing = max(0, ticket.prompt_tokens - hit)
        urgent = loads.is_urgent(ticket.priority)
        self._loads[endpoint.id].record_send(number, missing, urgent, now)
        self._running[number] = _Running(attempt, now, choice)
        self._index.assume(endpoint.id, ticket.blocks, now)
        return models.Dispatch(attempt)

    def _eligible(
        self, ticket: models.Ticket, avoid: frozenset[str], now: float
    ) -> list[models.Endpoint]:
        """Returns the runners that may run a request.

        Ejected runners, runners whose feed is lost and runners in `avoid` are
        excluded as long as others remain.
        """
        capable = self._capable(ticket)
        healthy = [e for e in capable if not self._health.is_ejected(e.id, now)]
        with_feed = [e for e in healthy if e.id not in self._feed_lost]
        untried = [e for e in with_feed if e.id not in avoid]
        return untried or with_feed or healthy or capable

    def _capable(self, ticket: models.Ticket) -> list[models.Endpoint]:
        """Returns the active runners with the versions of a request."""
        # Only a resumed stream requires versions. During a roll-out runners
        # with the older version keep serving, otherwise capacity would drop
        # to the few that have loaded the new one. A runner that reports no
        # version is excluded if the rules require one.
        version, software = ticket.weights_version, ticket.software_version
        return [
            e
            for e in self._endpoints.values()
            if ticket.model in e.serves
            and e.status is models.EndpointStatus.ACTIVE
            and (not version or e.weights_version == version)
            and software in (None, e.software_version)
            and (e.weights_version or not self._versions.get(ticket.model))
        ]

    def _cache_fill(self, endpoint: models.Endpoint) -> float:
        if not endpoint.cache_blocks:
            return 1.0
        known = self._index.block_count(endpoint.id)
        return min(1.0, known / endpoint.cache_blocks)

    def _add_runner(
        self, runner: models.Endpoint, initial: bool, now: float
    ) -> None:
        """Adds a new or restarted runner.

        It gets slow start unless the router knew no runners before.
        """
        self._index.set_endpoint(runner.id, runner.incarnation)
        load = loads.RunnerLoad(reported_at=now)
        if not initial:
            load.slow_start_at = now
        for queue in self._queues.values():
            for entry in queue:
                if entry.target == runner.id:
                    load.waiting_by_class[entry.ticket.priority] += 1
        self._loads[runner.id] = load
        self._feed_lost.discard(runner.id)
        self._health.reset(runner.id)

    def _is_current(self, attempt: models.Attempt) -> bool:
        """Returns whether the runner still has the attempt's incarnation."""
        known = self._endpoints.get(attempt.endpoint.id)
        return (
            known is not None
            and known.incarnation == attempt.endpoint.incarnation
        )

    def _peer_ids(self, model: str) -> list[str]:
        return [e.id for e in self._endpoints.values() if model in e.serves]

    def _queue(self, model: str) -> admission.RequestQueue:
        queue = self._queues.get(model)
        if queue is None:
            queue = admission.RequestQueue(self._cfg.admission_cfg)
            self._queues[model] = queue
        return queue

    def _release(self, ticket: models.Ticket) -> None:
        self._limits.release(ticket)
        self._retry_counts.pop(ticket.id, None)
