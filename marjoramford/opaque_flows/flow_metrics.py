"""Prometheus metrics of an entry VM for opaque flows, collected from the core on each scrape."""

import time
from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily, HistogramMetricFamily, Metric

from ..shared.metric_families import make_counter, make_gauge, render_collector
from .flow_balancers import FlowBalancer
from .latencies import LATENCY_BOUNDS_SECONDS, LatencyHistogram
from .server_lists import ServerList


class FlowBalancerCollector:
    """Collects one balancer's counters, gauges and histograms."""

    def __init__(self, balancer: FlowBalancer):
        self._balancer = balancer

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics with their current values."""
        balancer = self._balancer
        counters = balancer.counters
        yield make_counter("packet_events", "Events by name since the start", "name", counters)
        yield make_gauge("packet_flows", "Flows seen lately", len(balancer.flows))
        yield make_gauge(
            "list_revision", "Revision of the server list", balancer.server_list.version.revision
        )
        yield make_gauge("list_era", "Era of the server list", balancer.server_list.version.era)
        version = balancer.routes.version if balancer.routes else 0
        yield make_gauge("routes_version", "Version of the routes in force", version)
        if balancer.evidence.is_shared:
            count = balancer.evidence.count_condemned(time.monotonic())
            text = "Servers that the zone considers dead"
            yield make_gauge("condemned_servers", text, count)
        yield make_gauge("ready", "1 while flows can be placed", balancer.ready)
        yield _make_zones_gauge(balancer.server_list)
        yield _make_histogram(
            "flow_opening_seconds",
            "From a flow's first packet to the caller's answer to the server's",
            balancer.opening_latencies,
        )
        yield _make_histogram(
            "flow_answer_seconds",
            "From a caller's data to its acknowledgement of an answer",
            balancer.answer_latencies,
        )


def render_flow_metrics(balancer: FlowBalancer) -> bytes:
    """Returns the metrics in the Prometheus text format."""
    return render_collector(FlowBalancerCollector(balancer))


def _make_zones_gauge(server_list: ServerList) -> GaugeMetricFamily:
    """Returns the gauge of all zones that have servers or are drained."""
    metric = GaugeMetricFamily(
        "marjoramford_zone_drained", "1 while no new flow opens in the zone", labels=["zone"]
    )
    zones = {server.zone for server in server_list.servers.values() if not server.gone}
    for zone in sorted(zones | server_list.drains.drained_zones().keys()):
        metric.add_metric([zone], server_list.drains.is_drained(zone))
    return metric


def _make_histogram(name: str, text: str, latencies: LatencyHistogram) -> HistogramMetricFamily:
    buckets = []
    cumulative = 0
    for bound, count in zip((*LATENCY_BOUNDS_SECONDS, "+Inf"), latencies.counts, strict=True):
        cumulative += count
        buckets.append((str(bound), cumulative))
    return HistogramMetricFamily(
        f"marjoramford_{name}", text, buckets=buckets, sum_value=latencies.total_seconds
    )
