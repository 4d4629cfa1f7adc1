"""Helpers that build and render Prometheus metrics, shared by both data paths."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector


def render_collector(collector: Collector) -> bytes:
    """Returns a collector's metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)


def make_gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    """Returns a gauge with the program's name prefix."""
    return GaugeMetricFamily(f"marjoramford_{name}", help_text, value=value)


def make_counter(
    name: str, help_text: str, label: str, counts_by_value: Mapping
) -> CounterMetricFamily:
    """Returns a counter with one label; `counts_by_value` holds the count of each label value."""
    metric = CounterMetricFamily(f"marjoramford_{name}", help_text, labels=[label])
    for value, count in sorted(counts_by_value.items()):
        metric.add_metric([str(value)], count)
    return metric
