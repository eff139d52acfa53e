"""Connects a router's prompt guard with the member that it subscribes to."""

from collections.abc import Sequence

from knapweedarch.crash_guard import CrashGuard
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.quarantine_messages import HeldPart, PartNotices
from knapweedarch.relay_client import RelayClient
from knapweedarch.timers import Clock, Timers

REVIEW_INTERVAL_S = 0.1


class QuarantineClient:
    """Sends the guard's reports and applies the member's notices.

    Args:
        name: Name of this router.
        guard: Crashes and sound parts seen by this router.
        relay: The router's subscription.
        clock: Clock of the process.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        name: str,
        guard: CrashGuard,
        relay: RelayClient,
        clock: Clock,
        metrics: Metrics,
    ):
        self._name = name
        self._guard = guard
        self._relay = relay
        self._clock = clock
        self._metrics = metrics
        relay.on_notices = self._receive
        relay.on_subscribed.append(self._reset)

    def subscribe(self, timers: Timers) -> None:
        """Starts the periodic reports."""
        timers.every(REVIEW_INTERVAL_S, self._review)

    def _review(self, now: float) -> None:
        log_held(self._guard.review(now), self._name, self._metrics)
        # Reports wait until there is a subscription.
        if not self._relay.is_subscribed:
            return
        if reports := self._guard.take_reports(now):
            self._relay.send_reports(reports)

    def _receive(self, notices: PartNotices) -> None:
        held = self._guard.receive(notices, self._clock.now())
        log_held(held, "relay", self._metrics)

    def _reset(self) -> None:
        self._guard.reset(self._clock.now())


def log_held(held: Sequence[HeldPart], source: str, metrics: Metrics) -> None:
    """Logs and counts parts that are newly held back.

    Args:
        held: The parts.
        source: Name of the process that decided it.
        metrics: Metrics of the process.
    """
    for entry in held:
        metrics.count("parts.held")
        log(
            "part_held",
            part=entry.part,
            left_s=round(entry.left_s, 1),
            holds=entry.holds,
            source=source,
        )
