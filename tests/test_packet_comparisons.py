"""Placement of opaque flows nearly matches an oracle, and service recovers soon after an outage.

The load patterns are a series of faults at half the capacity, and the loss of all entry VMs at
once, after which the callers retry the requests that waited.
"""

import pytest

from marjoramford.flow_balancers import FlowBalancer
from marjoramford.packet_comparisons import OUTAGE_AT_SECONDS, PATTERNS, measure_policy, run_pattern
from marjoramford.packet_experiments import WARMUP_SECONDS, WINDOW_SECONDS

# How much lower the mean worth may be than with the oracle.
MAX_WORTH_LOSS = 0.01
RECOVERY_SECONDS = 8.0


@pytest.mark.parametrize("name", ["all faults, load 0.5", "outage, load 0.9"])
def test_placement_nearly_matches_the_oracle(name):
    measured = measure_policy("grievance", "estimated", PATTERNS[name], (1, 2))
    oracle = measure_policy("grievance", "oracle", PATTERNS[name], (1, 2))
    assert measured.worth >= oracle.worth - MAX_WORTH_LOSS, (measured, oracle)


@pytest.mark.parametrize("name", ["outage, load 0.6", "outage, load 0.9"])
def test_service_recovers_soon_after_an_outage_of_all_entry_vms(name):
    measures = run_pattern("grievance", FlowBalancer, PATTERNS[name], 1)
    assert measures.promises_kept, measures.findings
    recovered_window = (
        int((WARMUP_SECONDS + OUTAGE_AT_SECONDS + RECOVERY_SECONDS) / WINDOW_SECONDS) + 1
    )
    first_window = int(WARMUP_SECONDS / WINDOW_SECONDS)
    assert min(measures.windows[recovered_window - first_window :]) >= 0.95, measures.windows
