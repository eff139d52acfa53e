"""Waits for the scheduler's decisions on requests."""

import anyio
import attrs

from knapweedarch.models import (
    Attempt,
    AttemptResult,
    Decision,
    Dispatch,
    Refuse,
    Ticket,
    Wait,
)
from knapweedarch.scheduler import Scheduler
from knapweedarch.timers import Timers

POLL_INTERVAL_S = 0.02


@attrs.define
class _Waiter:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    decision: Dispatch | Refuse | None = None


class Dispatcher:
    """Polls the scheduler while requests wait for a decision."""

    def __init__(self, scheduler: Scheduler, timers: Timers):
        self._scheduler = scheduler
        self._timers = timers
        self._waiting: dict[str, _Waiter] = {}
        self._polling = False

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Submits a request and waits for the decision on it."""
        decision = self._scheduler.submit(ticket, self._timers.clock.now())
        return await self._await_decision(ticket, decision)

    async def place_retry(
        self, ticket: Ticket, failed: Attempt, is_reserved: bool
    ) -> Dispatch | Refuse:
        """Requests a further attempt and waits for the decision on it."""
        now = self._timers.clock.now()
        decision = self._scheduler.retry(ticket, failed, now, is_reserved)
        return await self._await_decision(ticket, decision)

    async def _await_decision(
        self, ticket: Ticket, decision: Decision
    ) -> Dispatch | Refuse:
        if not isinstance(decision, Wait):
            return decision
        self._schedule_poll()
        waiter = self._waiting[ticket.id] = _Waiter()
        try:
            await waiter.done.wait()
        except BaseException:
            self._release(ticket.id, waiter.decision)
            raise
        finally:
            self._waiting.pop(ticket.id, None)
        return waiter.decision

    def _release(
        self, ticket_id: str, decision: Dispatch | Refuse | None
    ) -> None:
        """Releases the scheduler state of a request whose caller left."""
        now = self._timers.clock.now()
        match decision:
            case None:
                self._scheduler.withdraw(ticket_id, now)
            case Dispatch(attempt=attempt):
                self._scheduler.finished(
                    attempt, AttemptResult(cancelled=True), now
                )

    def _schedule_poll(self) -> None:
        if not self._polling:
            self._polling = True
            self._timers.after(POLL_INTERVAL_S, self._poll)

    def _poll(self, now: float) -> None:
        self._polling = False
        for ticket_id, decision in self._scheduler.poll(now):
            if waiter := self._waiting.get(ticket_id):
                waiter.decision = decision
                waiter.done.set()
            else:
                self._release(ticket_id, decision)
        if self._waiting:
            self._schedule_poll()
