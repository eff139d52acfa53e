"""What a router knows about the load of its runners.

Load reports arrive late. The router adds its own sends that a report does
not include yet, and takes off its own attempts that ended since.
"""

import math

import attrs

from knapweedarch import models

# Own sends older than this count as included in a report of a runner that
# does not tell which attempts its report includes. Two report intervals.
UNACKNOWLEDGED_LAG_S = 0.5


def is_urgent(priority: models.Priority) -> bool:
    """Tells whether runners serve a class before the work of all others."""
    return priority <= models.Priority.GUEST


@attrs.define
class PendingSend:
    """An own attempt that no report includes yet.

    Attributes:
        tokens: Prompt tokens that the runner has to compute for it.
        urgent: Whether it is a guest's request or an availability check.
        sent_at: When it was sent, in seconds.
    """

    tokens: int
    urgent: bool
    sent_at: float


@attrs.define
class RunnerLoad:
    """Load of one runner.

    Attributes:
        running: Reported requests in the batch.
        queued: Reported requests waiting.
        queued_tokens: Reported prompt tokens not yet computed.
        urgent_tokens: The part of them that belongs to guests and
            availability checks; all of them if the runner does not tell.
        reported_at: Arrival of the report on this router's clock.
        finished: Own attempts that the report includes and that ended since.
        pending: Own attempts that the report does not include, by number.
        awaiting: Requests by class in this router's queue that wait for this
            runner.
        ramp_from: When slow start began; minus infinity if it did not.
    """

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    urgent_tokens: int = 0
    reported_at: float = 0.0
    ended_since_report: int = 0
    pending: dict[int, PendingSend] = attrs.field(factory=dict)
    waiting_by_class: list[int] = attrs.field(
        factory=lambda: [0] * len(models.Priority)
    )
    slow_start_at: float = -math.inf

    def apply_report(self, report: models.LoadReport, now: float) -> None:
        """Takes over a report and forgets the sends that it includes."""
        self.running, self.queued = report.running, report.queued
        self.queued_tokens = report.queued_tokens
        self.urgent_tokens = (
            report.queued_tokens
            if report.urgent_tokens is None
            else report.urgent_tokens
        )
        self.reported_at, self.ended_since_report = now, 0
        self.pending = {
            number: send
            for number, send in self.pending.items()
            if not self._is_included(number, send, report, now)
        }

    def record_send(
        self, number: int, tokens: int, urgent: bool, now: float
    ) -> None:
        """Notes an own attempt."""
        self.pending[number] = PendingSend(tokens, urgent, now)

    def record_prefill(self, number: int) -> None:
        """Notes that the prompt of an own attempt is computed."""
        if number in self.pending:
            self.pending[number].tokens = 0

    def record_end(self, number: int) -> None:
        """Notes the end of an own attempt."""
        if self.pending.pop(number, None) is None:
            self.ended_since_report += 1

    def reported_requests(self) -> int:
        """Requests of the last report, without own ones that ended since."""
        return max(0, self.running + self.queued - self.ended_since_report)

    def tokens_ahead(
        self, priority: models.Priority, pending_weight: float
    ) -> float:
        """Prompt tokens computed before those of a new request.

        Args:
            priority: Class of the new request.
            pending_weight: Sends by all routers per own pending send.
        """
        if is_urgent(priority):
            own = sum(s.tokens for s in self.pending.values() if s.urgent)
            return self.urgent_tokens + own * pending_weight
        own = sum(s.tokens for s in self.pending.values())
        return self.queued_tokens + own * pending_weight

    def _is_included(
        self,
        number: int,
        send: PendingSend,
        report: models.LoadReport,
        now: float,
    ) -> bool:
        if report.acknowledged:
            return number <= report.acknowledged
        return send.sent_at < now - UNACKNOWLEDGED_LAG_S
