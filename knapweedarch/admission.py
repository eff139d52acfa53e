"""Customer limits and the queue of waiting requests.

Requests are ordered by class. Within a class, customers share capacity by
start-time fair queueing over prompt and output tokens. Each class may fill a
runner only up to its limit, which reserves slots for higher classes. A
request is treated as one class higher after each ageing interval, so that no
class starves.
"""

import heapq
import math
from collections.abc import Iterable, Iterator

import attrs

from knapweedarch import models

# Capacity of a customer's token bucket, in seconds of its request rate.
BURST_S = 2.0


@attrs.frozen
class AdmissionConfig:
    """Configuration of the queue.

    Attributes:
        fill: Occupancy of a runner, as a fraction of its slots, below which
            requests of each class are dispatched to it.
        ageing_s: Interval in seconds; a waiting request counts as one class
            higher after each.
        queue_limit: Maximum number of waiting requests per model.
    """

    fill: dict[models.Priority, float] = attrs.field(
        factory=lambda: {
            models.Priority.AVAILABILITY: 2.0,
            models.Priority.GUEST: 1.5,
            models.Priority.INTERACTIVE: 0.5,
            models.Priority.BATCH: 0.3,
        }
    )
    ageing_s: float = 40.0
    queue_limit: int = 500


@attrs.define
class _CustomerState:
    rule: models.CustomerRule
    tokens: float = 0.0
    refilled_at: float = -math.inf
    active: set[str] = attrs.field(factory=set)


class CustomerLimits:
    """Rate and concurrency limits per customer."""

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerState] = {}

    def set_rules(self, rules: models.Rules) -> None:
        """Applies new rules; counters of known customers are kept."""
        old = self._customers
        self._customers = {}
        for rule in rules.customers:
            state = old.get(rule.name) or _CustomerState(rule)
            state.rule = rule
            self._customers[rule.name] = state

    def share(self, customer: str) -> float:
        """Returns the customer's weight in fair queueing."""
        state = self._customers.get(customer)
        return state.rule.share if state and state.rule.share > 0 else 1.0

    def admit(self, ticket: models.Ticket, now: float) -> float | None:
        """Admits and counts a request if its customer's limits allow it.

        A customer without a rule has no limits.

        Returns:
            None if admitted, otherwise the delay in seconds after which the
            caller should resend the request.
        """
        state = self._customers.get(ticket.customer)
        if state is None:
            return None
        rule = state.rule
        if rule.concurrent and len(state.active) >= rule.concurrent:
            return 1.0
        if rule.rate:
            burst = max(1.0, rule.rate * BURST_S)
            gained = (now - state.refilled_at) * rule.rate
            state.tokens = min(burst, state.tokens + gained)
            state.refilled_at = now
            if state.tokens < 1.0:
                return (1.0 - state.tokens) / rule.rate
            state.tokens -= 1.0
        state.active.add(ticket.id)
        return None

    def resume(self, ticket: models.Ticket) -> None:
        """Counts a retried request as concurrent again, without a check."""
        state = self._customers.get(ticket.customer)
        if state is not None:
            state.active.add(ticket.id)

    def release(self, ticket: models.Ticket) -> None:
        """Stops counting a request as concurrent."""
        state = self._customers.get(ticket.customer)
        if state is not None:
            state.active.discard(ticket.id)


@attrs.define
class QueuedRequest:
    """A waiting request.

    Times are in seconds on the router's clock.

    Attributes:
        ticket: The request.
        queued_at: Time at which it was queued.
        not_before: Earliest dispatch time, set by the back-off of a retry.
        avoid: Ids of runners that failed this request.
        start_tag: Start tag of fair queueing, a virtual time in tokens divided
            by share.
        last_tried_at: Time of the last placement attempt.
        target: Id of the runner that it waits for; empty if none is chosen.
    """

    ticket: models.Ticket
    queued_at: float
    not_before: float = 0.0
    avoid: frozenset[str] = frozenset()
    start_tag: float = 0.0
    target: str = ""
    last_tried_at: float = 0.0


class RequestQueue:
    """Queue of the requests for one model."""

    def __init__(self, cfg: AdmissionConfig):
        self._cfg = cfg
        self._waiting: dict[str, QueuedRequest] = {}
        self._finish_tags: dict[tuple[models.Priority, str], float] = {}
        self._virtual_time: dict[models.Priority, float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._waiting.values()))

    def is_full(self) -> bool:
        """Returns whether the queue limit is reached."""
        return len(self._waiting) >= self._cfg.queue_limit

    def add(self, entry: QueuedRequest, share: float) -> None:
        """Queues a request with its customer's weight in fair queueing."""
        ticket = entry.ticket
        key = (ticket.priority, ticket.customer)
        start = max(
            self._virtual_time.get(ticket.priority, 0.0),
            self._finish_tags.get(key, 0.0),
        )
        work = ticket.prompt_tokens + ticket.max_tokens
        self._finish_tags[key] = start + work / share
        entry.start_tag = start
        self._waiting[ticket.id] = entry

    def remove(self, ticket_id: str) -> QueuedRequest | None:
        """Removes a request; returns None if it was not queued."""
        return self._waiting.pop(ticket_id, None)

    def mark_dispatched(self, entry: QueuedRequest) -> None:
        """Removes a dispatched request and advances the virtual time."""
        self.remove(entry.ticket.id)
        priority = entry.ticket.priority
        virtual = self._virtual_time.get(priority, 0.0)
        self._virtual_time[priority] = max(virtual, entry.start_tag)

    def least_recently_tried(self, count: int, now: float) -> set[str]:
        """Returns the ids of the `count` least recently tried requests.

        Requests whose back-off has not ended are left out.
        """
        ready = (w for w in self._waiting.values() if w.not_before <= now)
        oldest = heapq.nsmallest(count, ready, key=lambda w: w.last_tried_at)
        return {w.ticket.id for w in oldest}

    def ranked(
        self, entries: Iterable[QueuedRequest], now: float
    ) -> list[QueuedRequest]:
        """Sorts requests in dispatch order."""
        return sorted(entries, key=lambda w: self._order(w, now))

    def _order(
        self, entry: QueuedRequest, now: float
    ) -> tuple[int, bool, float, float]:
        """Returns the sort key; requests raised into a class precede others.

        Raised requests are sorted separately, because start tags of different
        classes cannot be compared.
        """
        rank = self.rank(entry, now)
        raised = rank < entry.ticket.priority
        return rank, not raised, entry.start_tag, entry.queued_at

    def rank(self, entry: QueuedRequest, now: float) -> int:
        """Returns the class of a request after ageing, which ends at guest."""
        priority = int(entry.ticket.priority)
        raised = int((now - entry.queued_at) / self._cfg.ageing_s)
        return max(min(priority, int(models.Priority.GUEST)), priority - raised)

    def fill_limit(self, rank: int) -> float:
        """Returns the fraction of a runner's slots that a class may fill."""
        return self._cfg.fill[models.Priority(rank)]
