"""Prometheus metrics, read from the core's counters when scraped."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from .balancers import Balancer


class BalancerCollector:
    """Collects one balancer's counters and gauges."""

    def __init__(self, balancer: Balancer):
        self._balancer = balancer

    def collect(self) -> Iterator[Metric]:
        """Yields every metric with its value now."""
        node = self._balancer.node
        events = CounterMetricFamily(
            "marjoramford_events", "Events by name since the start", labels=["name"]
        )
        for name, count in sorted(node.counters.items()):
            events.add_metric([name], count)
        yield events
        violations = CounterMetricFamily(
            "marjoramford_violations", "Violated invariants", labels=["invariant"]
        )
        for invariant, count in node.invariants.violations.items():
            violations.add_metric([str(invariant)], count)
        yield violations
        yield _gauge("flows", "Flows coordinated here", len(node.flows))
        yield _gauge("running", "Requests with backend servers", self._balancer.running)
        yield _gauge("waiting", "Requests waiting for a server", self._balancer.waiting)
        yield _gauge("catalogue_revision", "Revision in force", node.catalogue.through)
        yield _gauge("vm_list_revision", "VM list revision in force", node.vm_list.through)
        yield _gauge("draining", "1 during a planned stop", self._balancer.draining)


def render_metrics(balancer: Balancer) -> bytes:
    """Returns the metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(BalancerCollector(balancer))
    return generate_latest(registry)


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"marjoramford_{name}", text, value=value)
