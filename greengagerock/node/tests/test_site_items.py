"""Acknowledged patches survive restarts, freezes and a lost disk.

The versions of a router's items only rise until the router restarts.
"""

import pytest

from greengagerock.items import Patch, Removal
from greengagerock.testing.fake_site import build_fake_site, find_leader_name
from greengagerock.testing.item_builders import build_route

CORES = ("core-1", "core-2", "core-3")
NAMES = ("a", "b", "c")


class ItemsModel:
    """The operator's record: newest acknowledged version by name, and all values sent."""

    def __init__(self):
        self.acknowledged = {}
        self.sent = {}
        self.version = 10

    def next_patch(self, random):
        """Return a patch of one name with a higher version than all earlier patches."""
        name = random.choice(NAMES)
        self.version += random.randint(1, 4)
        if random.random() < 0.25:
            patch = Patch(removed_routes=(Removal(name, self.version),))
            value = None
        else:
            timeout_s = random.randint(1, 50) / 10
            route = build_route(name, version=self.version, timeout_s=timeout_s)
            patch, value = Patch(routes=(route,)), timeout_s
        self.sent[name, self.version] = value
        return name, self.version, patch

    def check(self, routes):
        """Check routes that were read against the acknowledged versions."""
        for name, version in self.acknowledged.items():
            route = routes.get(name)
            if route is None:
                newer = [v for (n, v), value in self.sent.items() if n == name and value is None]
                assert max(newer, default=0) >= version, (name, version)
            else:
                assert route.version >= version
                assert self.sent[name, route.version] == route.timeout_s


def watch_versions(site, router):
    """Return a function that checks that a router's versions only rise until it restarts."""
    newest_versions = {}

    def check():
        node = site.hosts[router].node
        if node is None:
            return
        for name, route in node.replica.routes.items():
            key = (id(node), name)
            assert newest_versions.get(key, 0) <= route.version
            newest_versions[key] = route.version

    return check


def cause_fault(site, random):
    """Cause one random fault."""
    match random.randrange(6):
        case 0:
            name = random.choice(CORES)
            site.crash_host(name)
            site.at(random.uniform(0.3, 2.0), lambda: restart(site, name))
        case 1:
            for name in CORES:
                site.crash_host(name)
            site.run_for(0.5)
            for name in CORES:
                restart(site, name)
        case 2 if find_leader_name(site):
            name = find_leader_name(site)
            site.pause_host(name)
            site.at(random.uniform(0.5, 3.0), lambda: resume(site, name))
        case 3:
            name = random.choice(CORES)
            others = [other for other in site.hosts if other != name]
            site.drop_messages([name], others)
            site.drop_messages(others, [name])
            site.at(random.uniform(0.5, 4.0), site.heal)
        case 4:
            site.crash_host("edge-2")
            restart(site, "edge-2")


def restart(site, name):
    """Start a process again if it is down."""
    if site.hosts[name].node is None:
        site.start_host(name, may_bootstrap=False)


def resume(site, name):
    """Resume a process if it is still paused."""
    if site.hosts[name].paused_events is not None:
        site.resume_host(name)


@pytest.mark.parametrize("seed", range(5))
def test_acknowledged_patches_survive(seed):
    site = build_fake_site(
        seed=300 + seed,
        reporting_endpoints=3,
        message_loss_rate=0.02,
        message_duplication_rate=0.05,
    )
    random = site.random
    model = ItemsModel()
    checks = [watch_versions(site, name) for name in ("edge-1", "edge-2")]
    site.after_step = lambda: [check() for check in checks]
    for _ in range(25):
        if random.random() < 0.4:
            cause_fault(site, random)
        name, version, patch = model.next_patch(random)
        token = site.patch(random.choice(CORES), patch)
        site.run_for(random.uniform(0.02, 1.2))
        result = site.replies.get(token)
        if result is not None and result.code == "":
            newest = model.acknowledged.get(name, 0)
            model.acknowledged[name] = max(newest, version)
        if find_leader_name(site):
            items = site.read_items(find_leader_name(site))
            if items is not None:
                model.check(items.routes)
    site.heal()
    site.run_for(8.0)
    leader = find_leader_name(site)
    model.check(site.read_items(leader).routes)
    for router in ("edge-1", "edge-2"):
        assert site.hosts[router].node.replica.routes == site.read_items(leader).routes
    assert site.double_holds == []


def test_second_disk_loss_right_after_a_repair():
    """A wiped voter is a member again before another disk is lost."""
    site = build_fake_site()
    model = ItemsModel()
    for lost in ("core-1", "core-2", "core-3"):
        name, version, patch = model.next_patch(site.random)
        assert site.patch_until_replied(patch).code == ""
        model.acknowledged[name] = version
        site.crash_host(lost)
        site.lose_disk(lost, f"{lost}#again")
        site.run_for(0.5)
        restart(site, lost)
        site.run_for(4.0)
    model.check(site.read_items(find_leader_name(site)).routes)
