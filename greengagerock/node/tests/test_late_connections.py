"""Endpoints that are busy and accept connections late are not taken for lost ones."""

import pytest

from greengagerock.testing.fake_site import build_fake_site
from greengagerock.testing.log_recorder import record_log_lines
from greengagerock.testing.partition_load import PartitionLoad

LOSS_EVENTS = ("endpoint-unreachable", "partition-begins")
BUSY = ("till-1", "till-2", "docs-1")


def offer_load(seed):
    """Offer load while some endpoints are slow and accept connections late.

    Returns:
        The ``PartitionLoad``, and the log lines about losses.
    """
    load = PartitionLoad(build_fake_site(seed=seed, routers=10), budget_s=2.0)
    site = load.site
    lines = record_log_lines(site, LOSS_EVENTS)
    load.offer(60, 2.0)
    for name in BUSY:
        site.reporting_endpoints[name].processing_time_s = 0.15
        site.reporting_endpoints[name].max_connect_delay_s = 0.5
    for _ in range(8):
        # Endpoints close idle connections.
        site.paths.idle_connections.clear()
        load.offer(60, 1.0)
    site.run_for(2.5)
    return load, lines


@pytest.mark.parametrize("seed", range(4))
def test_busy_endpoints_that_accept_connections_late_do_not_count_as_lost(seed):
    load, lines = offer_load(seed)
    assert (load.site.relayed_count, lines) == (0, [])
    assert load.broken_invariants() == []
    served, sent = load.served_and_sent(load.routers, 0.0, load.site.now_s)
    assert served >= 0.97 * sent
