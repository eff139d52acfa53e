"""Lets requests wait for the scheduler's decision."""

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

POLL_S = 0.02


@attrs.define
class _Waiter:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    decision: Dispatch | Refuse | None = None


class Dispatcher:
    """Asks the scheduler again as long as a request waits."""

    def __init__(self, scheduler: Scheduler, timers: Timers):
        self._scheduler = scheduler
        self._timers = timers
        self._waiting: dict[str, _Waiter] = {}
        self._polling = False

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Waits for the decision on a request."""
        decision = self._scheduler.submit(ticket, self._timers.clock.now())
        return await self._decided(ticket, decision)

    async def place_again(
        self, ticket: Ticket, failed: Attempt
    ) -> Dispatch | Refuse:
        """Waits for the decision on a further attempt."""
        now = self._timers.clock.now()
        return await self._decided(
            ticket, self._scheduler.retry(ticket, failed, now)
        )

    async def _decided(
        self, ticket: Ticket, decision: Decision
    ) -> Dispatch | Refuse:
        if not isinstance(decision, Wait):
            return decision
        self._poll_soon()
        waiter = self._waiting[ticket.id] = _Waiter()
        try:
            await waiter.done.wait()
        except BaseException:
            self._give_back(ticket.id, waiter.decision)
            raise
        finally:
            self._waiting.pop(ticket.id, None)
        return waiter.decision

    def _give_back(
        self, ticket_id: str, decision: Dispatch | Refuse | None
    ) -> None:
        """Frees what a request holds whose caller left."""
        now = self._timers.clock.now()
        match decision:
            case None:
                self._scheduler.withdraw(ticket_id, now)
            case Dispatch(attempt=attempt):
                self._scheduler.finished(
                    attempt, AttemptResult(cancelled=True), now
                )

    def _poll_soon(self) -> None:
        if not self._polling:
            self._polling = True
            self._timers.after(POLL_S, self._poll)

    def _poll(self, now: float) -> None:
        self._polling = False
        for ticket_id, decision in self._scheduler.poll(now):
            if waiter := self._waiting.get(ticket_id):
                waiter.decision = decision
                waiter.done.set()
            else:
                self._give_back(ticket_id, decision)
        if self._waiting:
            self._poll_soon()
