"""Callers of routers that lost all endpoints are served like others, on links that fill."""

import pytest

from greengagerock.testing.fake_paths import HANGS, RESETS
from greengagerock.testing.grown_site import GrownLoad
from greengagerock.testing.partition_load import CONTACT_S


def check_service(grown, routers, begun_s):
    """Check what callers of routers got from ``CONTACT_S`` after ``begun_s`` until now."""
    load, until_s = grown.load, grown.site.now_s
    grown.site.run_for(2.5)
    counts = load.served_and_sent(routers, begun_s + CONTACT_S, until_s)
    assert not load.is_far_worse(routers, begun_s + CONTACT_S, until_s), f"served, sent: {counts}"
    assert load.broken_invariants() == []
    assert load.excess_arrivals(0.2, 60.0) <= 0


@pytest.mark.parametrize(("seed", "fault"), [(2, RESETS), (3, HANGS)])
def test_callers_of_neighbouring_routers_without_endpoints_are_served_on_full_links(seed, fault):
    grown = GrownLoad(seed)
    grown.offer(4)
    lost = sorted(grown.load.routers)[:24]
    begun_s = grown.cut(lost, fault)
    grown.offer(8)
    check_service(grown, lost, begun_s)


def test_callers_of_routers_that_have_lost_different_services_are_served_on_full_links():
    grown = GrownLoad(4)
    grown.offer(4)
    routers = sorted(grown.load.routers)
    without_till, without_docs = routers[:24], routers[12:36]
    begun_s = grown.cut(without_till, HANGS, ["till"])
    grown.cut(without_docs, HANGS, ["docs"])
    grown.offer(8)
    check_service(grown, routers[:36], begun_s)
    check_service(grown, routers[12:24], begun_s)
