"""Registry of metrics, sent to `statsd` by UDP and counted in process.

`docs/METRICS.md` is generated from the registry. An unknown name raises, so a
misspelt counter fails in the first scenario that reaches it.
"""

import enum
from collections import Counter

import attrs
import statsd

from knapweedarch.models import RefusalReason, RetryReason


class MetricKind(str, enum.Enum):
    """What a metric records."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class Metric:
    """A registered metric.

    Attributes:
        name: Name without the prefix of the process.
        kind: What it records.
        text: What is counted or measured, with its unit.
    """

    name: str
    kind: MetricKind
    text: str


_C, _G, _T = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMING

_SINGLE = (
    Metric("requests.started", _C, "Requests read from callers."),
    Metric("requests.finished", _C, "Requests answered in full."),
    Metric("requests.running", _G, "Requests in progress."),
    Metric("requests.waiting", _G, "Requests in the queue."),
    Metric("streams.resumed", _C, "Streams continued on another runner."),
    Metric("first_token", _T, "Time to the first token in milliseconds."),
    Metric("tokens.cached", _C, "Prompt tokens found in a runner's cache."),
    Metric("tokens.computed", _C, "Prompt tokens computed by runners."),
    Metric("tokens.wasted", _C, "Prompt tokens missed in an expected cache."),
    Metric("cancelled", _C, "Requests whose caller left before the end."),
    Metric("crossed.dropped", _C, "Answers dropped that match no attempt."),
    Metric("credential.refused", _C, "Peers with a wrong credential."),
    Metric("lease.held", _G, "1 while this router holds a lease, else 0."),
    Metric("lease.renewed", _C, "Grants received."),
    Metric("lease.expired", _C, "Leases that ended without a renewal."),
    Metric("lease.renewal_failed", _C, "Renewals that got no grant."),
    Metric("rules.version", _G, "Version of the rules in use."),
    Metric("endpoints.active", _G, "Endpoints that may get new work."),
    Metric("endpoints.announced", _C, "Announcements received."),
    Metric("feed.lost", _C, "Feeds of runners that broke."),
    Metric("orders.failed", _C, "Orders that a runner did not confirm."),
    Metric("member.leads", _G, "1 while this member leads, else 0."),
    Metric("member.term", _G, "Term of this member."),
    Metric("member.commit_index", _G, "Highest committed log index."),
    Metric("member.routers", _G, "Routers with a running lease."),
    Metric("member.records", _G, "At-most-once records kept."),
)

_REFUSALS = tuple(
    Metric(f"refused.{reason.value}", _C, f"Refusals: {reason.value}.")
    for reason in RefusalReason
)
_RETRIES = tuple(
    Metric(f"retried.{reason.value}", _C, f"Failed attempts: {reason.value}.")
    for reason in RetryReason
)
ALL_METRICS = _SINGLE + _REFUSALS + _RETRIES
METRICS = {metric.name: metric for metric in ALL_METRICS}


class Metrics:
    """Metrics of one process.

    Attributes:
        counts: Totals of the counters since the start.
        gauges: Latest values of the gauges.
    """

    def __init__(self, client: statsd.StatsClient | None):
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self._client = client

    def count(self, name: str, number: int = 1) -> None:
        """Adds to a counter.

        Raises:
            KeyError: No counter has this name.
        """
        _check(name, MetricKind.COUNTER)
        self.counts[name] += number
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Raises:
            KeyError: No gauge has this name.
        """
        _check(name, MetricKind.GAUGE)
        self.gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration given in seconds; it is sent in milliseconds.

        Raises:
            KeyError: No timing has this name.
        """
        _check(name, MetricKind.TIMING)
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def close(self) -> None:
        """Closes the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _check(name: str, kind: MetricKind) -> None:
    metric = METRICS.get(name)
    if metric is None or metric.kind is not kind:
        raise KeyError(f"{kind.value} {name!r} is not registered in metrics.py")


def create_metrics(host: str | None, port: int, prefix: str) -> Metrics:
    """Creates the metrics of this process.

    Args:
        host: IP number of the statsd server; None keeps counts in process.
        port: UDP port of the server.
        prefix: Put before each name, with a full stop.
    """
    if host is None:
        return Metrics(None)
    client = statsd.StatsClient(host, port, prefix=prefix, ipv6=":" in host)
    # A full socket buffer must drop the metric and not block the event loop.
    # The client ignores the error but offers no option for it.
    client._sock.setblocking(False)
    return Metrics(client)
