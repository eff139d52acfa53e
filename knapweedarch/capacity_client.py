"""Connects a router's learnt capacities with the member of its subscription."""

import math

from knapweedarch.capacity_messages import (
    CapacityReport,
    SpeedReport,
    pack_samples,
    unpack_capacities,
)
from knapweedarch.endpoint_choice import EndpointChooser
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.relay_client import RelayClient
from knapweedarch.timers import Clock, Timers

REVIEW_INTERVAL_S = 0.25
# Samples of different endpoints in a message; about 1 KB a second.
MAX_SAMPLES = 32
# Interval of log lines about slow endpoints, and the slowness from which on an
# endpoint counts as slow there and in the gauge.
LOG_INTERVAL_S = 10.0
SLOW_RATIO = 1.5


class CapacityClient:
    """Reports samples and applies what the member learnt.

    Args:
        chooser: Uses the capacities.
        relay: The router's subscription.
        clock: Clock of the process.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        chooser: EndpointChooser,
        relay: RelayClient,
        clock: Clock,
        metrics: Metrics,
    ):
        self._chooser = chooser
        self._relay = relay
        self._clock = clock
        self._metrics = metrics
        self._logged_at = -math.inf
        relay.on_capacities = self._receive
        relay.on_subscribed.append(self._reset)

    def subscribe(self, timers: Timers) -> None:
        """Starts the periodic reports."""
        timers.every(REVIEW_INTERVAL_S, self._review)

    def _review(self, now: float) -> None:
        learnt = self._chooser.learnt
        learnt.is_shared = self._relay.member_accepts(SpeedReport)
        learnt.review(now)
        samples = learnt.take_samples(MAX_SAMPLES)
        if samples and learnt.is_shared:
            self._relay.send_reports(SpeedReport(pack_samples(samples)))
        self._metrics.count("capacity.samples", len(samples))
        self._chooser.review_capacities(REVIEW_INTERVAL_S, now)
        self._show(now)

    def _show(self, now: float) -> None:
        """Sets the gauges, and logs which endpoints are slow now and then."""
        slow = self._chooser.slow_endpoints(SLOW_RATIO)
        self._metrics.gauge("capacity.slow", len(slow))
        limited = self._chooser.limited_endpoint_count
        self._metrics.gauge("capacity.limited", limited)
        if not slow or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        log(
            "endpoints_slow",
            endpoints={i: round(ratio, 2) for i, ratio in slow.items()},
            limited=limited,
            shared=self._chooser.learnt.is_shared,
        )

    def _receive(self, report: CapacityReport) -> None:
        try:
            capacities = unpack_capacities(report.packed)
        except ValueError as exc:
            log("relay_message_refused", peer="member", reason=str(exc))
            return
        self._chooser.learnt.receive(capacities)

    def _reset(self) -> None:
        self._chooser.learnt.forget_shared()
