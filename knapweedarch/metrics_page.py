"""Formats the metrics of a process in the Prometheus text format."""

from collections.abc import Iterator

import attrs
import prometheus_client
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from knapweedarch.metrics import ALL_METRICS, Metric, MetricKind, Metrics

_FAMILIES = {
    MetricKind.COUNTER: CounterMetricFamily,
    MetricKind.GAUGE: GaugeMetricFamily,
    MetricKind.TIMING: HistogramMetricFamily,
}


@attrs.frozen
class _Collector:
    """Collector that prometheus_client calls for the metric families."""

    metrics: Metrics

    def collect(self) -> Iterator[object]:
        families: dict[str, list[Metric]] = {}
        for metric in ALL_METRICS:
            families.setdefault(metric.exported_family, []).append(metric)
        for name, family_metrics in families.items():
            yield _create_family(self.metrics, name, family_metrics)


def _create_family(metrics: Metrics, name: str, family_metrics: list[Metric]):
    first_metric = family_metrics[0]
    labels = [label.name for label in first_metric.labels]
    family = _FAMILIES[first_metric.kind](
        name, first_metric.text, labels=labels
    )
    for metric in family_metrics:
        values = [label.value for label in metric.labels]
        match metric.kind:
            case MetricKind.COUNTER:
                family.add_metric(values, metrics.counts[metric.name])
            case MetricKind.GAUGE if metric.name in metrics.gauges:
                family.add_metric(values, metrics.gauges[metric.name])
            case MetricKind.TIMING if metric.name in metrics.histograms:
                histogram = metrics.histograms[metric.name]
                family.add_metric(
                    values, histogram.buckets(), histogram.total_s
                )
    return family


def format_page(metrics: Metrics) -> bytes:
    """Returns the metrics page of a process."""
    return prometheus_client.generate_latest(_Collector(metrics))
