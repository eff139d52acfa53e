"""Registry of metrics, sent to `statsd` by UDP and kept in the process.

`docs/METRICS.md` is generated from the registry. An unregistered name raises
KeyError, so a misspelled name fails in the first scenario that uses it.
`Metrics.page` returns all metrics in the Prometheus text format.
"""

import bisect
import enum
import itertools
from collections import Counter

import attrs
import statsd

from knapweedarch.caller_ends import CallerRefusal, DropCause
from knapweedarch.deployments import Repeatability
from knapweedarch.models import (
    MemberChangeKind,
    RefusalReason,
    RequestEnd,
    RetryReason,
)

NAMESPACE = "knapweedarch"
# Upper bounds of the histogram buckets: from one step of a runner to the
# longest timeout of a route.
BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4),
    *(0.6, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0, 15.0),
)


class MetricKind(str, enum.Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class Label:
    """A label that distinguishes metrics of one family."""

    name: str
    value: str


@attrs.frozen
class Metric:
    """A registered metric.

    Attributes:
        name: Name without the prefix of the process.
        kind: Type of the metric.
        text: Description of the value, with its unit. Timings are in seconds
            on the metrics page and in milliseconds in statsd.
        family: Name shared by metrics that differ only in label values.
        labels: Labels that distinguish it within the family.
    """

    name: str
    kind: MetricKind
    text: str
    family: str = attrs.Factory(lambda self: self.name, takes_self=True)
    labels: tuple[Label, ...] = ()

    @property
    def exported_family(self) -> str:
        """Name of the family on the metrics page."""
        unit = "_seconds" if self.kind is MetricKind.TIMING else ""
        return f"{NAMESPACE}_{self.family.replace('.', '_')}{unit}"


_C, _G, _T = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMING

_UNLABELLED_METRICS = (
    Metric("requests.started", _C, "Requests received from callers."),
    Metric("requests.finished", _C, "Requests answered completely."),
    Metric("requests.running", _G, "Requests in progress."),
    Metric("requests.waiting", _G, "Requests in the queue."),
    Metric("streams.resumed", _C, "Streams continued on another runner."),
    Metric("first_token", _T, "Time to the first token."),
    Metric("journal.save", _T, "Duration of one journal write with its sync."),
    Metric("journal.full", _C, "Waits for space on the disk of the journal."),
    Metric(
        "journal.waits_for_space",
        _G,
        "1 while a record waits for space on the disk, else 0.",
    ),
    Metric("deployment.version", _G, "Version of the configuration in use."),
    Metric("lease.left_s", _G, "Seconds until the lease expires."),
    Metric(
        "loop.delay_s",
        _G,
        "Delay in seconds that each recent turn of the event loop had.",
    ),
    Metric(
        "loads.age_s",
        _G,
        "Age in seconds of the loads reported by other routers.",
    ),
    Metric(
        "feeds.followed", _G, "Runners and stores with a connected event feed."
    ),
    Metric(
        "relay.subscribed",
        _G,
        "1 while a member relays loads and cached parts here, else 0.",
    ),
    Metric("tokens.cached", _C, "Prompt tokens found in a runner's cache."),
    Metric("tokens.computed", _C, "Prompt tokens computed by runners."),
    Metric(
        "tokens.wasted",
        _C,
        "Prompt tokens expected in a runner's cache but not found there.",
    ),
    Metric("paths.lost", _C, "Times that this router reached no endpoint."),
    Metric("tunnels.opened", _C, "Connections through other routers."),
    Metric("tunnels.refused", _C, "Connections that no other router had."),
    Metric("tunnels.served", _C, "Connections opened for other routers."),
    Metric(
        "capacity.samples", _C, "Samples of the speed of endpoints reported."
    ),
    Metric("capacity.slow", _G, "Endpoints that were learnt to be slow."),
    Metric(
        "capacity.limited",
        _G,
        "Endpoints with a learnt limit below their slots.",
    ),
    Metric("origins.found", _C, "Streams taken up whose version was found."),
    Metric("origins.unknown", _C, "Streams taken up whose version was not."),
    Metric("quotas.granted", _G, "Weight granted to routers since the start."),
    Metric("quotas.lent", _G, "Weight lent to other members since the start."),
    Metric(
        "quotas.lapsed",
        _G,
        "Weight that expired unspent since the start, granted or borrowed.",
    ),
    Metric("quotas.refused", _G, "Weight not granted since the start."),
    Metric(
        "quotas.member_silent",
        _C,
        "Times that the member did not answer for quotas.",
    ),
    Metric("identities.unsaid", _C, "Endpoints that did not say who they are."),
    Metric("identities.unanswered", _C, "Endpoints asked that did not answer."),
    Metric("identities.replaced", _C, "Endpoints that had started again."),
    Metric(
        "parts.held",
        _C,
        "Times that a part of prompts was held back as it crashes runners.",
    ),
    Metric(
        "statements.malformed",
        _C,
        "Answers whose statement of their endpoint could not be read.",
    ),
    Metric(
        "silences.borne",
        _C,
        "Long silences of endpoints during which no other could go on.",
    ),
    Metric("fair.waiting", _G, "Requests that wait for room at a runner."),
    Metric("fair.waited", _C, "Requests that had to wait for such room."),
    Metric("fair.wait", _T, "Time for which a request waited for room."),
    Metric(
        "fair.over_share",
        _C,
        "Requests refused as their customer has its fair share.",
    ),
    Metric(
        "fair.too_late",
        _C,
        "Requests refused as room would come too late for them.",
    ),
    Metric(
        "fair.too_large",
        _C,
        "Requests refused as they exceed the memory of a runner.",
    ),
    Metric("fair.shared", _G, "1 while usage of others is known, else 0."),
    Metric("cancelled", _C, "Requests whose caller disconnected early."),
    Metric(
        "crossed.dropped",
        _C,
        "Responses dropped because they match no attempt.",
    ),
    Metric("credential.refused", _C, "Peers with a wrong credential."),
    Metric("lease.held", _G, "1 while this router holds a lease, else 0."),
    Metric("lease.renewed", _C, "Lease grants received."),
    Metric("lease.expired", _C, "Leases that expired without a renewal."),
    Metric("lease.renewal_failed", _C, "Lease renewals that were not granted."),
    Metric("rules.version", _G, "Version of the rules in use."),
    Metric("endpoints.active", _G, "Endpoints that may receive new requests."),
    Metric("endpoints.announced", _C, "Announcements received."),
    Metric(
        "feeds.failed", _C, "Unexpected errors in feeds of runners and stores."
    ),
    Metric(
        "feeds.events_malformed",
        _C,
        "Events of runners and stores that could not be read.",
    ),
    Metric("feed.lost", _C, "Failures of the event feeds of runners."),
    Metric("orders.failed", _C, "Orders that a runner did not confirm."),
    Metric("member.leads", _G, "1 while this member leads, else 0."),
    Metric("member.term", _G, "Term of this member."),
    Metric("member.commit_index", _G, "Highest committed log index."),
    Metric("member.routers", _G, "Routers with an unexpired lease."),
    Metric("member.voters", _G, "Voters in this member's list of members."),
    Metric("member.learners", _G, "Learners in this member's list of members."),
    Metric(
        "member.silent_voters",
        _G,
        "Voters that have not answered this leader lately; 0 elsewhere.",
    ),
    Metric("member.follows", _G, "1 while this member hears a leader, else 0."),
    Metric(
        "member.joins_failed",
        _C,
        "Attempts of this member to form or join a group that failed.",
    ),
    Metric(
        "member.messages_ignored",
        _C,
        "Messages of other members ignored while a record waits for space.",
    ),
    Metric(
        "callers.held_bytes",
        _G,
        "Bytes held for callers: requests and answers that are not read.",
    ),
    Metric("callers.connections", _G, "Open connections of callers."),
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
    *(
        _create_reason_counter("dropped", "Requests without a whole answer", c)
        for c in DropCause
    ),
    *(
        _create_reason_counter(
            "callers.refused", "Requests not read and connections ended", c
        )
        for c in CallerRefusal
    ),
    *(
        _create_reason_counter("member.changes", "Changes of the members", k)
        for k in MemberChangeKind
    ),
    *(_create_answer_timing(k, o) for k in Repeatability for o in RequestEnd),
)
METRICS = {metric.name: metric for metric in ALL_METRICS}


class Histogram:
    """Durations counted in buckets.

    Attributes:
        total_s: Sum of all durations in seconds.
    """

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Adds a duration."""
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def buckets(self) -> list[tuple[str, int]]:
        """Returns each upper bound with its cumulative count."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        return list(
            zip(bounds, itertools.accumulate(self._counts), strict=True)
        )


class Metrics:
    """Metrics of one process.

    Attributes:
        counts: Totals of the counters since the process started.
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
        """Returns all metrics in the Prometheus text format."""
        # Imported on first use: most processes never serve the page, and a
        # faster start shortens the wait of callers after a restart.
        from knapweedarch.metrics_page import format_page

        return format_page(self)

    def close(self) -> None:
        """Closes the statsd socket."""
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
        host: IP address of the statsd server; None sends nothing.
        port: UDP port of the server.
        prefix: Prepended to each name sent to statsd, with a full stop.
    """
    if host is None:
        return Metrics(None)
    client = statsd.StatsClient(host, port, prefix=prefix, ipv6=":" in host)
    # With a full socket buffer, a metric is dropped instead of blocking the
    # event loop. The client ignores the error but has no option for this.
    client._sock.setblocking(False)
    return Metrics(client)
