"""Relays are spread over all routers that can forward requests."""

from collections import Counter

import pytest

from greengagerock.control.relay_directory import RELAYS_PER_ROUTER, RelayDirectory

ROUTERS = [f"10.{1 + number // 22}.0.{10 + number % 22}:7000" for number in range(88)]
ENDPOINTS = 190


def build_directory(lost):
    """Return a directory of ``ROUTERS``, of which some have lost all endpoints."""
    directory = RelayDirectory(lambda: ENDPOINTS)
    for router in ROUTERS:
        directory.note(router, f"relay of {router}", ENDPOINTS if router in lost else 0)
    return directory


@pytest.mark.parametrize("first", [0, 11, 44, 66])
@pytest.mark.parametrize("count", [6, 22, 40, 70])
def test_neighbouring_routers_without_endpoints_do_not_share_a_few_relays(first, count):
    """All of an availability zone got the same six relays."""
    lost = set((ROUTERS * 2)[first : first + count])
    directory = build_directory(lost)
    users = Counter(relay for router in lost for relay in directory.relays_for(router))
    mean = len(lost) * RELAYS_PER_ROUTER / (len(ROUTERS) - len(lost))
    assert max(users.values()) <= mean + 3


def test_router_gets_as_many_different_relays_as_there_are_and_never_itself():
    for lost_count in (0, 1, 82, 85, 86, 87, 88):
        directory = build_directory(set(ROUTERS[:lost_count]))
        for router in ROUTERS:
            relays = directory.relays_for(router)
            usable = ROUTERS[lost_count:] or ROUTERS
            assert len(set(relays)) == len(relays)
            assert len(relays) == min(RELAYS_PER_ROUTER, len(set(usable) - {router}))
            assert f"relay of {router}" not in relays


def test_router_that_has_not_reported_gets_relays():
    assert len(build_directory(set()).relays_for("10.9.0.1:7000")) == RELAYS_PER_ROUTER


def test_restart_of_a_router_changes_only_the_relays_of_those_that_used_it():
    """Routers keep connections to their relays open, and would all open new ones."""
    directory = build_directory(set())
    before = {router: directory.relays_for(router) for router in ROUTERS}
    restarted = ROUTERS[30]
    directory.remove(restarted)
    without = {router: directory.relays_for(router) for router in ROUTERS if router != restarted}
    directory.note(restarted, f"relay of {restarted}", 0)
    after = {router: directory.relays_for(router) for router in ROUTERS}
    for router in ROUTERS:
        assert f"relay of {restarted}" not in without.get(router, ())
        if f"relay of {restarted}" not in before[router] and router != restarted:
            assert before[router] == without[router] == after[router]
    changed = sum(before[router] != after[router] for router in ROUTERS)
    assert changed <= 2 * RELAYS_PER_ROUTER + 1


def test_routers_get_other_relays_at_once_when_theirs_have_lost_their_endpoints():
    directory = build_directory(set())
    for router in ROUTERS:
        directory.relays_for(router)
    lost = ROUTERS[22:44]
    for router in lost:
        directory.note(router, f"relay of {router}", ENDPOINTS)
    users = Counter(relay for router in lost for relay in directory.relays_for(router))
    assert not users.keys() & {f"relay of {router}" for router in lost}
    assert max(users.values()) <= len(lost) * RELAYS_PER_ROUTER / (len(ROUTERS) - len(lost)) + 3
