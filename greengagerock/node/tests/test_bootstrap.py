"""The first start of a site in which a controller is killed before the group of voters exists."""

import pytest

from greengagerock.testing.fake_site import FakeSite, find_leader_name
from greengagerock.testing.item_builders import build_first_patch

NAMES = ("core-1", "core-2", "core-3")


def start_site(killed, keeps_disk):
    """Start a site, kill a controller at once, and start it again without ``may_bootstrap``."""
    site = FakeSite(3)
    seeds = [site.address_of(name) for name in NAMES]
    for name in NAMES:
        site.add_site_host(name, f"zone-{name[-1]}", seeds)
        if name == killed:
            site.crash_host(name)
    site.run_for(3.2)
    if not keeps_disk:
        site.lose_disk(killed, f"{killed}#2")
    site.start_host(killed, may_bootstrap=False)
    site.run_for(8.0)
    return site


@pytest.mark.parametrize("keeps_disk", [True, False])
@pytest.mark.parametrize("killed", NAMES)
def test_group_is_formed_after_a_kill_during_the_first_start(killed, keeps_disk):
    """The other seeds waited for its hello for ever (review/5)."""
    site = start_site(killed, keeps_disk)
    assert find_leader_name(site) is not None
    assert site.patch_until_replied(build_first_patch()).code == ""
    memberships = {
        frozenset(m.address for m in host.node.voter.membership.voters)
        for host in site.hosts.values()
    }
    assert memberships == {frozenset(site.address_of(name) for name in NAMES)}


@pytest.mark.parametrize("lost", [("core-1",), ("core-1", "core-2"), NAMES])
def test_disks_that_are_lost_later_do_not_form_a_second_group(lost):
    """No host may bootstrap any more, so none sends a hello that others could take part in."""
    site = start_site("core-3", True)
    assert site.patch_until_replied(build_first_patch()).code == ""
    for name in NAMES:
        site.crash_host(name)
    for name in lost:
        site.lose_disk(name, f"{name}#9")
    for name in NAMES:
        site.start_host(name, may_bootstrap=False)
    site.run_for(15.0)
    identities = {name: site.hosts[name].node.voter.identity for name in NAMES}
    for name in NAMES:
        voters = {m.identity for m in site.hosts[name].node.voter.membership.voters}
        assert not voters or not voters <= {identities[n] for n in lost}
