"""Load estimates of runners.

Load reports arrive with a delay. The router adds its own attempts that a
report does not include yet, and subtracts those that ended after it.
"""

import math

import attrs

from knapweedarch import models

# Attempts of this router that are older than this count as included in a report
# without an acknowledged attempt number. Two report intervals.
UNACKNOWLEDGED_LAG_S = 0.5


def is_urgent(priority: models.Priority) -> bool:
    """Returns whether runners serve a class before all other work."""
    return priority <= models.Priority.GUEST


@attrs.define
class PendingSend:
    """An attempt of this router that no report includes yet.

    Attributes:
        tokens: Prompt tokens that the runner has to compute for it.
        urgent: Whether it is a guest's request or an availability check.
        sent_at: Time at which it was sent, in seconds.
    """

    tokens: int
    urgent: bool
    sent_at: float


@attrs.define
class RunnerLoad:
    """Load of one runner.

    Times are in seconds on this router's clock.

    Attributes:
        running: Reported number of requests in the batch.
        queued: Reported number of queued requests.
        queued_tokens: Reported prompt tokens not yet computed.
        urgent_tokens: Part of `queued_tokens` that belongs to guests and
            availability checks; all of them if the runner does not report it.
        reported_at: Arrival time of the last report; before the first one,
            the time at which the runner was added.
        ended_since_report: Number of this router's attempts that the report
            includes and that ended after it.
        pending: Attempts of this router that the report does not include, by
            number.
        waiting_by_class: Number of requests by class in this router's queue
            that wait for this runner.
        slow_start_at: Start time of slow start; minus infinity without one.
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
        """Applies a report and drops the pending attempts it includes."""
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
        """Adds an attempt of this router."""
        self.pending[number] = PendingSend(tokens, urgent, now)

    def record_prefill(self, number: int) -> None:
        """Records that the prompt of an attempt has been computed."""
        if number in self.pending:
            self.pending[number].tokens = 0

    def record_end(self, number: int) -> None:
        """Records the end of an attempt of this router."""
        if self.pending.pop(number, None) is None:
            self.ended_since_report += 1

    def reported_requests(self) -> int:
        """Returns the reported requests less this router's that ended since.

        Requests of other routers count until the next report.
        """
        return max(0, self.running + self.queued - self.ended_since_report)

    def tokens_ahead(
        self, priority: models.Priority, pending_weight: float
    ) -> float:
        """Estimates the prompt tokens computed before those of a new request.

        Args:
            priority: Class of the new request.
            pending_weight: Estimated attempts of all routers per pending
                attempt of this router.
        """
        if is_urgent(priority):
            pending_tokens = sum(
                s.tokens for s in self.pending.values() if s.urgent
            )
            return self.urgent_tokens + pending_tokens * pending_weight
        pending_tokens = sum(s.tokens for s in self.pending.values())
        return self.queued_tokens + pending_tokens * pending_weight

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
