"""Changes are acknowledged in time whatever other changes, routers and leaders do."""

import pytest

from greengagerock.testing.fake_operator import FakeOperator, hold_items_back
from greengagerock.testing.fake_site import build_fake_site, find_leader_name

# Operators expect a response within this time, and more for each item of the change itself.
ACKNOWLEDGED_WITHIN_S = 4.0
PER_ITEM_S = 0.003
LARGE_CHANGE = 1400


@pytest.fixture
def site():
    """Return a settled site of four controllers."""
    return build_fake_site(controllers=4, routers=4)


def late_changes(operator):
    """Return the wait of each change that was not acknowledged in time."""
    now_s = operator.site.now_s
    return [
        round(change.wait_s(now_s), 2)
        for change in operator.changes
        if change.wait_s(now_s) > ACKNOWLEDGED_WITHIN_S + PER_ITEM_S * change.item_count()
    ]


def test_series_of_changes_beside_a_router_that_stays_behind(site):
    """Each change extended the wait of all earlier ones."""
    hold_items_back(site, "edge-1")
    operator = FakeOperator(site)
    operator.send_each(0.33, 8.0)
    site.run_for(12.0)
    assert late_changes(operator) == []
    assert all(change.acknowledged_s for change in operator.changes)


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.4, 1.0, 3.0])
def test_small_change_after_a_large_one_beside_a_router_that_stays_behind(site, delay_s):
    """The small one waited for as long as the many items of the large one may take."""
    hold_items_back(site, "edge-1")
    operator = FakeOperator(site)
    operator.change_routes(LARGE_CHANGE, "large")
    site.run_for(delay_s)
    operator.change_routes()
    site.run_for(12.0)
    assert late_changes(operator) == []
    assert all(change.acknowledged_s for change in operator.changes)


def test_change_that_is_sent_again_is_stored_once(site):
    """Each try of a large change added all its items to the log."""
    hold_items_back(site, "edge-1")
    leader = site.hosts[find_leader_name(site)].node
    before = leader.voter.log.last_index
    operator = FakeOperator(site)
    large = operator.change_routes(LARGE_CHANGE, "large")
    site.run_for(10.0)
    assert large.acknowledged_s and large.tries > 1
    stored = [e for e in leader.voter.log.entries if e.index > before and e.payload[:1] == b"P"]
    assert len(stored) == 1


def test_change_of_leader_ends_the_wait_for_routers_at_once(site):
    """A change that waited for routers got no reply when its leader stepped down."""
    hold_items_back(site, "edge-1")
    leader = site.hosts[find_leader_name(site)].node
    token = site.patch(leader.config.host, FakeOperator(site).change_routes(300).patch)
    site.run_for(0.3)
    assert token not in site.replies
    leader.voter.transfer_leadership()
    site.run_for(0.2)
    assert token in site.replies
    assert site.replies[token] is None
