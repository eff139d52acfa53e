"""Decides where and when each request runs.

The scheduler is driven by the router and by the bench. It performs no input
or output; the caller passes the time, in seconds on one monotonic clock.
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

# Waiting requests of full runners for which one poll looks for another runner,
# those not tried for longest first. Bounds the time of a poll.
POLL_TRIES = 4

# Interval in seconds at which waiting requests are tried again, because
# expected load falls with time and not only with events.
POLL_S = 0.05


@attrs.frozen
class SchedulerConfig:
    """Figures of all parts of the scheduler."""

    placement_cfg: placement.PlacementConfig = attrs.field(
        factory=placement.PlacementConfig
    )
    admission_cfg: admission.AdmissionConfig = attrs.field(
        factory=admission.AdmissionConfig
    )
    retry_cfg: retries.RetryConfig = attrs.field(factory=retries.RetryConfig)
    assumed_s: float = index.ASSUMED_S


@attrs.define
class _Running:
    attempt: models.Attempt
    sent_at: float
    choice: placement.Candidate
    first_at: float | None = None


def create_scheduler(cfg: SchedulerConfig, seed: int) -> "Scheduler":
    """Creates a scheduler; equal seeds and calls give equal decisions."""
    return Scheduler(cfg, placement.Placer(cfg.placement_cfg), seed)


class Scheduler:
    """Facade of index, placement, admission and retries."""

    def __init__(
        self, cfg: SchedulerConfig, placer: placement.Placer, seed: int
    ):
        self._cfg = cfg
        self._rng = random.Random(seed)
        self._placer = placer
        self._index = index.CacheIndex(cfg.assumed_s)
        self._limits = admission.Limits()
        self._versions: dict[str, str] = {}
        self._budget = retries.RetryBudget(cfg.retry_cfg)
        self._health = retries.HealthTable(cfg.retry_cfg, self._rng)
        self._endpoints: dict[str, models.Endpoint] = {}
        self._loads: dict[str, loads.RunnerLoad] = {}
        self._lost: set[str] = set()
        self._rooms: dict[str, admission.WaitingRoom] = {}
        self._running: dict[int, _Running] = {}
        self._retried: dict[str, int] = {}
        self._next_number = 1

    def set_endpoints(
        self, endpoints: Sequence[models.Endpoint], now: float
    ) -> None:
        """Takes over the list of endpoints; plain services are ignored."""
        first = not self._endpoints
        runners = {
            e.id: e for e in endpoints if e.kind is models.EndpointKind.RUNNER
        }
        for gone in sorted(self._endpoints.keys() - runners.keys()):
            self._index.drop_endpoint(gone)
            self._loads.pop(gone, None)
            self._lost.discard(gone)
            self._health.reset(gone)
        for runner in runners.values():
            known = self._endpoints.get(runner.id)
            if known is None or known.incarnation != runner.incarnation:
                self._start_runner(runner, first, now)
        self._endpoints = runners

    def set_limits(self, rules: models.Rules) -> None:
        """Takes over the limits of customers and versions of models."""
        self._limits.set_rules(rules)
        self._versions = {m.name: m.version for m in rules.models}

    def set_peer_routers(self, count: int) -> None:
        """Tells how many routers choose from the same load reports."""
        self._placer.set_peer_routers(count)

    def version_for(self, model: str) -> str:
        """Weights version to hash a prompt for.

        It is the version that the rules require, or else the one that most
        runners serve. A runner of another version never counts as having
        the blocks, as their hashes differ.
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
        """Takes over a load report."""
        endpoint = self._endpoints.get(report.endpoint_id)
        if endpoint is None or endpoint.incarnation != report.incarnation:
            return
        self._lost.discard(endpoint.id)
        self._loads[endpoint.id].take_report(report, now)

    def cache_event(self, event: models.CacheEvent, now: float) -> None:
        """Takes over a cache event."""
        self._index.apply(event)

    def cache_snapshot(
        self, snapshot: models.CacheSnapshot, now: float
    ) -> None:
        """Takes over the whole cache of a runner."""
        self._index.apply_snapshot(snapshot)

    def take_snapshot_requests(self) -> list[str]:
        """Returns once each runner whose blocks must be asked for."""
        return self._index.take_gaps()

    def endpoint_lost(self, endpoint_id: str, now: float) -> None:
        """Notes that a runner's feed broke; its entries are dropped.

        The runner gets work only if no other can, until its next report.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        self._lost.add(endpoint_id)
        self._index.drop_endpoint(endpoint_id)
        self._index.set_endpoint(endpoint_id, endpoint.incarnation)

    def submit(self, ticket: models.Ticket, now: float) -> models.Decision:
        """Decides on a new request."""
        retry_after = self._limits.admit(ticket, now)
        if retry_after is not None:
            return models.Refuse(models.RefusalReason.OVER_LIMIT, retry_after)
        self._placer.arrived(ticket, now)
        decision = self._decide(admission.Waiting(ticket, now), now)
        match decision:
            case models.Dispatch():
                self._budget.first_attempt()
            case models.Refuse():
                self._forget(ticket)
        return decision

    def retry(
        self, ticket: models.Ticket, failed: models.Attempt, now: float
    ) -> models.Decision:
        """Decides on a request whose attempt failed.

        The ticket may differ from the failed attempt's: a resumed stream
        names its weights version and has a new deadline.
        """
        if failed.number in self._running:
            self.finished(
                failed,
                models.AttemptResult(models.RetryReason.ENDPOINT_ERROR),
                now,
            )
        count = self._retried.get(ticket.id, 0) + 1
        if (
            count > self._cfg.retry_cfg.most_per_ticket
            or not self._budget.take()
        ):
            self._forget(ticket)
            return models.Refuse(models.RefusalReason.RETRIES_EXHAUSTED)
        self._retried[ticket.id] = count
        self._limits.resume(ticket)
        delay = retries.back_off_s(self._cfg.retry_cfg, count, self._rng)
        entry = admission.Waiting(
            ticket, now, now + delay, frozenset({failed.endpoint.id})
        )
        self._room(ticket.model).add(entry, self._limits.share(ticket.customer))
        return models.Wait()

    def first_token(self, attempt: models.Attempt, now: float) -> None:
        """Notes the first token of an attempt."""
        running = self._running.get(attempt.number)
        if running is None or running.first_at is not None:
            return
        running.first_at = now
        load = self._loads.get(attempt.endpoint.id)
        if load is not None:
            load.computed(attempt.number)
        if not self._current(attempt):
            return
        self._index.assume(attempt.endpoint.id, attempt.ticket.blocks, now)
        late = now - running.sent_at - running.choice.first_token_s
        peers = self._peers(attempt.ticket.model)
        self._health.succeeded(attempt.endpoint.id, late, peers, now)

    def finished(
        self,
        attempt: models.Attempt,
        outcome: models.AttemptResult,
        now: float,
    ) -> None:
        """Notes the end of an attempt, whole, failed or cancelled."""
        running = self._running.pop(attempt.number, None)
        if running is None:
            return
        self._limits.release(attempt.ticket)
        if outcome.failure is None:
            self._retried.pop(attempt.ticket.id, None)
        if not self._current(attempt):
            return
        self._loads[attempt.endpoint.id].ended(attempt.number)
        if outcome.failure is not None:
            peers = self._peers(attempt.ticket.model)
            self._health.failed(attempt.endpoint.id, peers, now)
        elif outcome.cached_tokens is not None:
            count = outcome.cached_tokens // prefixes.BLOCK_TOKENS
            self._index.assume(
                attempt.endpoint.id, attempt.ticket.blocks[:count], now
            )

    def withdraw(self, ticket_id: str, now: float) -> None:
        """Forgets a request: its caller left, or it will not be retried."""
        self._retried.pop(ticket_id, None)
        for room in self._rooms.values():
            entry = room.remove(ticket_id)
            if entry is not None:
                self._aim(entry, "")
                self._forget(entry.ticket)

    def poll(self, now: float) -> list[tuple[str, models.Decision]]:
        """Returns the requests that no longer wait."""
        done: list[tuple[str, models.Decision]] = []
        for room in self._rooms.values():
            if len(room):
                done += self._poll_room(room, now)
        return done

    def next_wake(self, now: float) -> float | None:
        """Time of the next poll that may return something."""
        if not any(len(room) for room in self._rooms.values()):
            return None
        return now + POLL_S

    def _poll_room(
        self, room: admission.WaitingRoom, now: float
    ) -> list[tuple[str, models.Decision]]:
        late = [w for w in room if now >= w.ticket.deadline]
        done = [self._refuse_waiting(room, entry) for entry in late]
        stale = room.least_recently_tried(POLL_TRIES, now)
        for entry in room.ranked(self._triable(room, stale, now), now):
            if entry.ticket.id not in stale and not self._target_free(
                entry, room, now
            ):
                continue
            entry.tried_at = now
            decision = self._place(entry, room.rank(entry, now), now)
            match decision:
                case models.Dispatch():
                    room.served(entry)
                    done.append((entry.ticket.id, decision))
                case models.Refuse(reason=reason):
                    done.append(self._refuse_waiting(room, entry, reason))
        return done

    def _triable(
        self, room: admission.WaitingRoom, stale: set[str], now: float
    ) -> list[admission.Waiting]:
        """Lists the requests that are stale or whose runner has room now."""
        free: dict[tuple[str, int], bool] = {}
        found = []
        for entry in room:
            if entry.not_before > now:
                continue
            key = (entry.target, room.rank(entry, now))
            if key not in free:
                free[key] = self._target_free(entry, room, now)
            if free[key] or entry.ticket.id in stale:
                found.append(entry)
        return found

    def _target_free(
        self,
        entry: admission.Waiting,
        room: admission.WaitingRoom,
        now: float,
    ) -> bool:
        """Tells whether the runner that a request waits for has room."""
        endpoint = self._endpoints.get(entry.target)
        return endpoint is None or self._has_room(
            endpoint, entry.ticket, room.rank(entry, now), now
        )

    def _refuse_waiting(
        self,
        room: admission.WaitingRoom,
        entry: admission.Waiting,
        reason: models.RefusalReason = models.RefusalReason.DEADLINE,
    ) -> tuple[str, models.Decision]:
        room.remove(entry.ticket.id)
        self._aim(entry, "")
        self._forget(entry.ticket)
        return (
            entry.ticket.id,
            models.Refuse(reason),
        )

    def _decide(self, entry: admission.Waiting, now: float) -> models.Decision:
        """Decides on an arriving request; queues it if it must wait."""
        room = self._room(entry.ticket.model)
        decision = self._place(entry, room.rank(entry, now), now, new=True)
        if isinstance(decision, models.Wait):
            if room.full():
                self._aim(entry, "")
                return models.Refuse(models.RefusalReason.QUEUE_FULL)
            room.add(entry, self._limits.share(entry.ticket.customer))
        return decision

    def _place(
        self,
        entry: admission.Waiting,
        rank: int,
        now: float,
        new: bool = False,
    ) -> models.Decision:
        """Dispatches a request, or tells whether it may wait."""
        ticket = entry.ticket
        self._aim(entry, "")
        endpoints = self._eligible(ticket, entry.avoid, now)
        if not endpoints:
            return models.Refuse(models.RefusalReason.NO_CAPACITY)
        choices = self._placer.candidates(
            ticket,
            endpoints,
            self._loads,
            self._index.depths(ticket.blocks, now),
            {e.id: self._fill(e) for e in endpoints},
            now,
        )
        timely = [c for c in choices if now + c.first_token_s < ticket.deadline]
        if not timely:
            soonest = min(c.first_token_s for c in choices)
            return models.Refuse(models.RefusalReason.DEADLINE, soonest)
        for choice in timely[: self._placer.tries]:
            queue = self._loads[choice.endpoint.id].awaiting
            passed = new and any(queue[: rank + 1])
            if not passed and self._has_room(
                choice.endpoint, ticket, rank, now
            ):
                return self._send(ticket, choice, now)
        self._aim(entry, timely[0].endpoint.id)
        return models.Wait()

    def _aim(self, entry: admission.Waiting, target: str) -> None:
        """Moves a waiting request's count to the runner it waits for."""
        priority = entry.ticket.priority
        if entry.target in self._loads:
            self._loads[entry.target].awaiting[priority] -= 1
        if target:
            self._loads[target].awaiting[priority] += 1
        entry.target = target

    def _has_room(
        self,
        endpoint: models.Endpoint,
        ticket: models.Ticket,
        rank: int,
        now: float,
    ) -> bool:
        load = self._loads[endpoint.id]
        limit = self._room(ticket.model).fill_limit(rank) * endpoint.slots
        limit *= retries.ramp(self._cfg.retry_cfg, load.ramp_from, now)
        return self._placer.occupancy(load) < max(1.0, limit)

    def _send(
        self, ticket: models.Ticket, choice: placement.Candidate, now: float
    ) -> models.Dispatch:
        endpoint = choice.endpoint
        number, self._next_number = self._next_number, self._next_number + 1
        attempt = models.Attempt(number, ticket, endpoint, choice.cached_blocks)
        hit = choice.cached_blocks * prefixes.BLOCK_TOKENS
        missing = max(0, ticket.prompt_tokens - hit)
        urgent = loads.is_urgent(ticket.priority)
        self._loads[endpoint.id].sent(number, missing, urgent, now)
        self._running[number] = _Running(attempt, now, choice)
        self._index.assume(endpoint.id, ticket.blocks, now)
        return models.Dispatch(attempt)

    def _eligible(
        self, ticket: models.Ticket, avoid: frozenset[str], now: float
    ) -> list[models.Endpoint]:
        """Runners that may get the request, without the avoidable ones."""
        # Only a resumed stream is bound to a version. During a roll-out the
        # runners of the older version serve on, or capacity would drop to
        # the few that have loaded the new one.
        version = ticket.weights_version
        able = [
            e
            for e in self._endpoints.values()
            if ticket.model in e.serves
            and e.status is models.EndpointStatus.ACTIVE
            and (not version or e.weights_version == version)
            and (e.weights_version or not self._versions.get(ticket.model))
        ]
        healthy = [e for e in able if not self._health.ejected(e.id, now)]
        present = [e for e in healthy if e.id not in self._lost]
        fresh = [e for e in present if e.id not in avoid]
        return fresh or present or healthy or able

    def _fill(self, endpoint: models.Endpoint) -> float:
        if not endpoint.cache_blocks:
            return 1.0
        known = self._index.blocks_of(endpoint.id)
        return min(1.0, known / endpoint.cache_blocks)

    def _start_runner(
        self, runner: models.Endpoint, first: bool, now: float
    ) -> None:
        """Starts a runner's state; slow start unless the router is new."""
        self._index.set_endpoint(runner.id, runner.incarnation)
        load = loads.RunnerLoad(reported_at=now)
        if not first:
            load.ramp_from = now
        for room in self._rooms.values():
            for entry in room:
                if entry.target == runner.id:
                    load.awaiting[entry.ticket.priority] += 1
        self._loads[runner.id] = load
        self._lost.discard(runner.id)
        self._health.reset(runner.id)

    def _current(self, attempt: models.Attempt) -> bool:
        """Tells whether the attempt's incarnation of the runner still runs."""
        known = self._endpoints.get(attempt.endpoint.id)
        return (
            known is not None
            and known.incarnation == attempt.endpoint.incarnation
        )

    def _peers(self, model: str) -> list[str]:
        return [e.id for e in self._endpoints.values() if model in e.serves]

    def _room(self, model: str) -> admission.WaitingRoom:
        room = self._rooms.get(model)
        if room is None:
            room = admission.WaitingRoom(self._cfg.admission_cfg)
            self._rooms[model] = room
        return room

    def _forget(self, ticket: models.Ticket) -> None:
        self._limits.release(ticket)
        self._retried.pop(ticket.id, None)
