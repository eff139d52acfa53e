"""Customer limits, waiting requests, and the order in which they are served.

Waiting requests are ordered by class; within a class, customers share by
start-time fair queueing over prompt tokens. A class may fill a runner only
up to its limit, which keeps places for the classes above it; a request that
has waited long enough is treated as one class higher, so that no class
starves.
"""

import heapq
import math
from collections.abc import Iterable, Iterator

import attrs

from knapweedarch import models

# Rate limits admit bursts of up to this many seconds' worth of requests.
BURST_S = 2.0


@attrs.frozen
class AdmissionConfig:
    """Limits of the queue.

    Attributes:
        fill: Requests in batch and queue of a runner, as a part of its
            slots, up to which each class is sent.
        age_s: Wait after which a request counts as one class higher.
        queue_limit: Most waiting requests of one model.
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
    """Rate and concurrency limits of customers."""

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerState] = {}

    def set_rules(self, rules: models.Rules) -> None:
        """Takes over new rules; counts of known customers continue."""
        old = self._customers
        self._customers = {}
        for rule in rules.customers:
            state = old.get(rule.name) or _CustomerState(rule)
            state.rule = rule
            self._customers[rule.name] = state

    def share(self, customer: str) -> float:
        """Weight of a customer in the fair sharing."""
        state = self._customers.get(customer)
        return state.rule.share if state and state.rule.share > 0 else 1.0

    def admit(self, ticket: models.Ticket, now: float) -> float | None:
        """Counts a request if its customer's limits allow it.

        Returns:
            None if admitted, otherwise seconds after which a new try is
            worth it.
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
        """Counts a request again that is retried."""
        state = self._customers.get(ticket.customer)
        if state is not None:
            state.active.add(ticket.id)

    def release(self, ticket: models.Ticket) -> None:
        """Stops counting a request."""
        state = self._customers.get(ticket.customer)
        if state is not None:
            state.active.discard(ticket.id)


@attrs.define
class QueuedRequest:
    """A request that waits.

    Attributes:
        ticket: The request.
        since: Arrival in the queue, in seconds.
        not_before: Earliest dispatch, for the back-off of a retry.
        avoid: Runners that failed this request.
        tag: Start tag of the fair queueing.
        tried_at: When a runner was last looked for.
        target: Runner that it waits for; empty if none was chosen yet.
    """

    ticket: models.Ticket
    queued_at: float
    not_before: float = 0.0
    avoid: frozenset[str] = frozenset()
    start_tag: float = 0.0
    target: str = ""
    last_tried_at: float = 0.0


class RequestQueue:
    """Requests of one model that wait for a runner."""

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
        """Tells whether no further request may wait."""
        return len(self._waiting) >= self._cfg.queue_limit

    def add(self, entry: QueuedRequest, share: float) -> None:
        """Queues a request with its customer's weight."""
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
        """Takes a request out of the queue."""
        return self._waiting.pop(ticket_id, None)

    def mark_dispatched(self, entry: QueuedRequest) -> None:
        """Takes out a dispatched request and advances the virtual time."""
        self.remove(entry.ticket.id)
        priority = entry.ticket.priority
        virtual = self._virtual_time.get(priority, 0.0)
        self._virtual_time[priority] = max(virtual, entry.start_tag)

    def least_recently_tried(self, count: int, now: float) -> set[str]:
        """Ids of the requests that were not tried for the longest time."""
        ready = (w for w in self._waiting.values() if w.not_before <= now)
        oldest = heapq.nsmallest(count, ready, key=lambda w: w.last_tried_at)
        return {w.ticket.id for w in oldest}

    def ranked(
        self, entries: Iterable[QueuedRequest], now: float
    ) -> list[QueuedRequest]:
        """Sorts requests into the order in which they are served."""
        return sorted(entries, key=lambda w: self._order(w, now))

    def _order(
        self, entry: QueuedRequest, now: float
    ) -> tuple[int, bool, float, float]:
        """Sort key; requests of lower classes come first once raised.

        Tags of different classes cannot be compared.
        """
        rank = self.rank(entry, now)
        raised = rank < entry.ticket.priority
        return rank, not raised, entry.start_tag, entry.queued_at

    def rank(self, entry: QueuedRequest, now: float) -> int:
        """Class of a request after ageing."""
        priority = int(entry.ticket.priority)
        raised = int((now - entry.queued_at) / self._cfg.ageing_s)
        return max(min(priority, int(models.Priority.GUEST)), priority - raised)

    def fill_limit(self, rank: int) -> float:
        """Part of a runner's slots that a class may fill."""
        return self._cfg.fill[models.Priority(rank)]
