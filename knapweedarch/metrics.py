"""Registry of metrics, sent to `statsd` by UDP and kept in process.

`docs/METRICS.md` is generated from the registry. An unknown name raises, so a
misspelt counter fails in the first scenario that reaches it. `Metrics.page`
returns them in the text format that common scrapers read.
"""

import bisect
import enum
import itertools
from collections import Counter

import attrs
import statsd

from knapweedarch.deployments import Repeatability
from knapweedarch.models import RefusalReason, RequestEnd, RetryReason

NAMESPACE = "knapweedarch"
# Upper bounds of the histograms in seconds: from a step of a runner to the
# longest time limit of a route.
BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4),
    *(0.6, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0, 15.0),
)


class MetricKind(str, enum.Enum):
    """What a metric records."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class Label:
    """A property by which a scraper tells metrics of one family apart."""

    name: str
    value: str


@attrs.frozen
class Metric:
    """A registered metric.

    Attributes:
        name: Name without the prefix of the process.
        kind: What it records.
        text: What is counted or measured, with its unit.
        family: Name that it shares with others of the same labels.
        labels: What tells it apart from those.
    """

    name: str
    kind: MetricKind
    text: str
    family: str = attrs.Factory(lambda self: self.name, takes_self=True)
    labels: tuple[Label, ...] = ()

    @property
    def exported_family(self) -> str:
        """Name of the family as scrapers see it."""
        unit = "_seconds" if self.kind is MetricKind.TIMING else ""
        return f"{NAMESPACE}_{self.family.replace('.', '_')}{unit}"


_C, _G, _T = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMING

_UNLABELLED_METRICS = (
    Metric("requests.started", _C, "Requests read from callers."),
    Metric("requests.finished", _C, "Requests answered in full."),
    Metric("requests.running", _G, "Requests in progress."),
    Metric("requests.waiting", _G, "Requests in the queue."),
    Metric("streams.resumed", _C, "Streams continued on another runner."),
    Metric("first_token", _T, "Time to the first token."),
    Metric("journal.save", _T, "Time of one save with its sync."),
    Metric("deployment.version", _G, "Number of the configuration in use."),
    Metric("lease.left_s", _G, "Seconds until the lease ends."),
    Metric("loads.age_s", _G, "Age of what other routers told of their load."),
    Metric("feeds.followed", _G, "Runners and stores whose events arrive."),
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


def _create_reason_counter(family: str, text: str, reason: enum.Enum) -> Metric:
    value = reason.value
    return Metric(
        *(f"{family}.{value}", _C, f"{text}: {value}.", family),
        (Label("reason", value),),
    )


def _create_answer_timing(kind: Repeatability, end: RequestEnd) -> Metric:
    return Metric(
        *(f"answer_time.{kind.value}.{end.value}", _T),
        f"Time from request to end, {kind.value}: {end.value}.",
        "answer_time",
        (Label("kind", kind.value), Label("outcome", end.value)),
    )


ALL_METRICS = (
    *_UNLABELLED_METRICS,
    *(_create_reason_counter("refused", "Refusals", r) for r in RefusalReason),
    *(
        _create_reason_counter("retried", "Failed attempts", r)
        for r in RetryReason
    ),
    *(_create_answer_timing(k, o) for k in Repeatability for o in RequestEnd),
)
METRICS = {metric.name: metric for metric in ALL_METRICS}


class Histogram:
    """Counts of durations up to each bound.

    Attributes:
        total_s: Sum of all durations in seconds.
    """

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Counts a duration."""
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self) -> list[tuple[str, int]]:
        """Returns each bound and how many durations were not above it."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        return list(
            zip(bounds, itertools.accumulate(self._counts), strict=True)
        )


class Metrics:
    """Metrics of one process.

    Attributes:
        counts: Totals of the counters since the start.
        gauges: Latest values of the gauges.
        histograms: Distributions of the timings.
    """

    def __init__(self, client: statsd.StatsClient | None):
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}
        self._client = client

    def count(self, name: str, number: int = 1) -> None:
        """Adds to a counter.

        Raises:
            KeyError: No counter has this name.
        """
        _check_registered(name, MetricKind.COUNTER)
        self.counts[name] += number
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Raises:
            KeyError: No gauge has this name.
        """
        _check_registered(name, MetricKind.GAUGE)
        self.gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration given in seconds; it is sent in milliseconds.

        Raises:
            KeyError: No timing has this name.
        """
        _check_registered(name, MetricKind.TIMING)
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(seconds)
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def page(self) -> bytes:
        """Returns all metrics as a page for scrapers."""
        # Most processes never serve the page, and callers wait for a process
        # that was restarted, so the library is loaded with the first one.
        from knapweedarch.metrics_page import format_page

        return format_page(self)

    def close(self) -> None:
        """Closes the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _check_registered(name: str, kind: MetricKind) -> None:
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
