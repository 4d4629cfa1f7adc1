"""Prometheus metrics of a balancer, read from the core's counters when scraped."""

from collections.abc import Iterator

from prometheus_client.core import Metric

from ..shared.metric_families import make_counter, make_gauge, render_collector
from .balancers import Balancer


class BalancerCollector:
    """Collects one balancer's counters and gauges."""

    def __init__(self, balancer: Balancer):
        self._balancer = balancer

    def collect(self) -> Iterator[Metric]:
        """Yields every metric with its current value."""
        node = self._balancer.node
        yield make_counter("events", "Events by name since the start", "name", node.counters)
        violations = node.invariants.violations
        yield make_counter("violations", "Violated invariants", "invariant", violations)
        yield make_gauge("flows", "Flows coordinated here", len(node.flows))
        yield make_gauge("running", "Requests with backend servers", self._balancer.running_count)
        yield make_gauge("waiting", "Requests waiting for a server", self._balancer.waiting_count)
        yield make_gauge("catalogue_revision", "Revision in force", node.catalogue.through)
        yield make_gauge("vm_list_revision", "VM list revision in force", node.vm_list.through)
        yield make_gauge("draining", "1 during a planned stop", self._balancer.is_draining)


def render_metrics(balancer: Balancer) -> bytes:
    """Returns a balancer's metrics in the Prometheus text format."""
    return render_collector(BalancerCollector(balancer))
