"""Families of Prometheus metrics that the collectors of both data paths are made of."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector


def render_collector(collector: Collector) -> bytes:
    """Returns a collector's metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)


def make_gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    """Returns a gauge."""
    return GaugeMetricFamily(f"marjoramford_{name}", text, value=value)


def make_counter(name: str, text: str, label: str, counts: Mapping) -> CounterMetricFamily:
    """Returns a counter with one label, for a count by its values."""
    family = CounterMetricFamily(f"marjoramford_{name}", text, labels=[label])
    for value, count in sorted(counts.items()):
        family.add_metric([str(value)], count)
    return family
