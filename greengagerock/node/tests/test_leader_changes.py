"""Promises of a new leader that does not know all routers yet."""

import pytest

from greengagerock.items import Patch
from greengagerock.testing.fake_site import build_fake_site, find_leader_name
from greengagerock.testing.item_builders import build_route

ROUTERS = 6


def replace_leader(site):
    """Crash the leader and return the next one."""
    site.crash_host(find_leader_name(site))
    site.run_until(lambda: find_leader_name(site) is not None, 5.0)
    return find_leader_name(site)


@pytest.mark.parametrize("seed", range(4))
def test_change_acknowledged_by_a_new_leader_is_in_effect_at_routers(seed):
    site = build_fake_site(seed=seed, routers=ROUTERS)
    leader = replace_leader(site)
    token = site.patch(leader, Patch(routes=(build_route("fresh", version=9),)))
    site.run_until(lambda: token in site.replies, 3.0)
    assert site.replies[token].code == ""
    edges = [site.hosts[f"edge-{number}"].node for number in range(1, ROUTERS + 1)]
    assert [edge.replica.routes.get("fresh") is not None for edge in edges] == [True] * ROUTERS


@pytest.mark.parametrize("seed", range(2))
def test_routers_do_not_raise_their_part_of_the_retry_budget_when_the_leader_changes(seed):
    site = build_fake_site(seed=seed, routers=ROUTERS)
    counts = []
    edges = [site.hosts[f"edge-{number}"].node for number in range(1, ROUTERS + 1)]
    site.run_for(1.0)
    site.after_step = lambda: counts.append(min(edge.budget.router_count for edge in edges))
    replace_leader(site)
    site.run_for(3.0)
    assert min(counts) == ROUTERS
