"""Evacuations of an availability zone: durable, in effect in time, one holder for each key."""

import pytest

from greengagerock.assignment.response_size import MAX_TAKEN_BYTES
from greengagerock.control.protocol_versions import FIRST_HELLO_WINDOW_S
from greengagerock.control.relay_messages import EvacuationRelay
from greengagerock.core.interface import PatchArrived, SendMessage
from greengagerock.core.protocol import PROTOCOL_VERSION
from greengagerock.items import Patch
from greengagerock.replication import voter
from greengagerock.testing.evacuation_load import (
    EVACUATE_S,
    KEYS_LEFT_S,
    TRAVEL_S,
    EvacuationLoad,
    build_zoned_site,
    make_order,
    order,
    watch_body_sizes,
    watch_view_sizes,
)
from greengagerock.testing.fake_site import find_leader_name
from greengagerock.testing.item_builders import build_route

CORES = ("core-1", "core-2", "core-3")


@pytest.mark.parametrize("seed", range(4))
def test_keys_leave_in_time_with_one_holder_each_and_return(seed):
    """Guards against two holders, late requests and keys that stay, also with lost messages."""
    site = build_zoned_site(seed, message_loss_rate=0.02 * (seed % 2))
    load = EvacuationLoad(site)
    load.begin(22.0)
    site.run_for(1.0)
    ordered_s = site.now_s
    acknowledged_s = order(site)
    assert acknowledged_s - ordered_s < 1.0
    site.run_for(ordered_s + KEYS_LEFT_S - site.now_s)
    assert load.held_units() == 0
    site.run_for(6.0)
    assert load.arrivals(acknowledged_s + EVACUATE_S) == []
    without_keys = [a for a in load.arrivals(acknowledged_s + TRAVEL_S) if a[1].startswith("docs")]
    assert without_keys == []
    assert {refusal.code for refusal in load.refusals()} <= {"key-moving"}
    assert load.served_share(ordered_s, site.now_s - 1.0) > 0.97
    order(site, is_active=False)
    site.run_for(10.0)
    assert load.held_units() > 0
    assert site.double_holds == []


def test_keys_do_not_move_twice_when_an_order_is_withdrawn_at_once():
    """Guards against keys that follow each change of an order."""
    site = build_zoned_site()
    load = EvacuationLoad(site)
    evacuated = load.endpoints()
    before = {unit for endpoint in evacuated for unit in endpoint.holds}
    order(site)
    site.run_for(1.6)
    others = [e for e in site.reporting_endpoints.values() if e not in evacuated]
    moved = {unit: e for e in others for unit in e.holds if unit in before}
    assert len(moved) > len(before) / 2
    order(site, is_active=False)
    for _ in range(8):
        site.run_for(0.1)
        assert all(unit in endpoint.holds for unit, endpoint in moved.items())


@pytest.mark.parametrize("seed", range(3))
def test_leader_lost_between_commit_and_acknowledgement(seed):
    """Guards against an order that takes effect only with the leader that committed it."""
    site = build_zoned_site(seed)
    leader = find_leader_name(site)
    store = site.hosts[leader].node.store
    token = site.patch(leader, make_order())
    assert site.run_until(lambda: store.items.evacuations, 1.0)
    assert token not in site.replies
    site.crash_host(leader)
    load = EvacuationLoad(site)
    load.begin(20.0)
    acknowledged_s = order(site)
    site.run_for(acknowledged_s + EVACUATE_S - site.now_s)
    site.start_host(leader, may_bootstrap=False)
    site.run_for(8.0)
    assert load.arrivals(acknowledged_s + EVACUATE_S) == []
    assert load.held_units() == 0
    assert site.double_holds == []


@pytest.mark.parametrize("entries_before_snapshot", [1024, 4])
def test_disk_lost_after_the_acknowledgement(entries_before_snapshot, monkeypatch):
    """Guards against an order that only the lost disk held, in its log or its snapshot."""
    monkeypatch.setattr(voter, "SNAPSHOT_AFTER_ENTRIES", entries_before_snapshot)
    site = build_zoned_site()
    order(site, "zone-2")
    order(site, "zone-2", is_active=False)
    order(site)
    leader = find_leader_name(site)
    for version in range(2, 8):
        route = build_route("extra", version, weighted_services=(("docs", 1),))
        assert site.patch_until_replied(Patch(routes=(route,))).code == ""
    for name in CORES:
        site.crash_host(name)
    site.lose_disk(leader, f"{leader}#again")
    for name in CORES:
        site.start_host(name, may_bootstrap=False)
    site.run_for(6.0)
    assert set(site.read_items(find_leader_name(site)).evacuations) == {"zone-1"}
    for router in ("edge-1", "edge-2"):
        assert site.hosts[router].node.replica.evacuated_zones == {"zone-1"}


@pytest.mark.parametrize("restarts", [False, True])
def test_router_that_slept_through_the_start_or_restarts(restarts):
    """Guards against a router that counts the time for held keys from when it wakes up."""
    site = build_zoned_site(till_zones=(1, 1))
    site.pause_host("edge-1")
    acknowledged_s = order(site)
    site.run_for(acknowledged_s + EVACUATE_S + 1.0 - site.now_s)
    if restarts:
        site.start_host("edge-1")
    else:
        site.resume_host("edge-1")
    # It is in contact after its next poll.
    site.run_for(0.7)
    in_contact_s = site.now_s
    assert site.call_and_wait("edge-1", key=7) == "zone-evacuated"
    assert EvacuationLoad(site).arrivals(in_contact_s) == []


def test_last_zone_of_a_service():
    """Guards against waiting callers, and against keys that nobody serves after the end."""
    site = build_zoned_site(till_zones=(1, 1))
    load = EvacuationLoad(site)
    load.begin(14.0)
    acknowledged_s = order(site)
    site.run_for(acknowledged_s + EVACUATE_S - site.now_s)
    since_s = site.now_s
    site.run_for(2.0)
    refusals = load.refusals(since_s)
    assert {(r.code, r.outcome) for r in refusals} == {("zone-evacuated", "not-run")}
    assert all(refusal.retry_after_s > 0 for refusal in refusals)
    waits = [site.responded_at_s[t] - s for s, t in load.tokens if since_s <= s < site.now_s - 0.1]
    assert max(waits) < TRAVEL_S
    assert load.arrivals(since_s) == []
    ended_s = order(site, is_active=False)
    site.run_for(6.0)
    assert load.served_share(ended_s + 1.0, ended_s + 4.0) == 1.0


def test_first_assignment_leaves_an_evacuated_zone_out():
    """Guards against grants to an evacuated zone after all endpoints have started anew."""
    site = build_zoned_site()
    order(site)
    for name in [*CORES, "edge-1", "edge-2", "edge-3"]:
        site.crash_host(name)
    for endpoint in site.reporting_endpoints.values():
        endpoint.holds = {}
    for name in [*CORES, "edge-1", "edge-2", "edge-3"]:
        site.start_host(name, may_bootstrap=False)
    load = EvacuationLoad(site)
    site.after_step = lambda: load.held_units() == 0 or pytest.fail("a grant to the zone")
    site.run_for(14.0)
    assert sum(len(e.holds) for e in site.reporting_endpoints.values()) == 8192


@pytest.mark.parametrize(
    "module", ["greengagerock.view.replica", "greengagerock.node.controller_node"]
)
def test_older_router_or_voter_in_the_system(module, monkeypatch):
    """Guards against an acknowledgement while a host would ignore the order."""
    site = build_zoned_site()
    monkeypatch.setattr(f"{module}.PROTOCOL_VERSION", 0)
    site.run_for(2.0)
    result = site.patch_until_replied(make_order())
    assert result.code == "not-ready"
    assert site.read_items("core-1").evacuations == {}
    monkeypatch.undo()
    site.run_for(2.0)
    order(site)
    assert set(site.read_items("core-1").evacuations) == {"zone-1"}


@pytest.mark.parametrize(("version", "code"), [(0, "not-ready"), (PROTOCOL_VERSION, "")])
def test_new_leader_decides_once_it_has_heard_the_hosts(version, code, monkeypatch):
    """Guards against an order that an older router, which polls a moment later, ignores."""
    site = build_zoned_site()
    monkeypatch.setattr("greengagerock.view.replica.PROTOCOL_VERSION", version)
    site.crash_host(find_leader_name(site))
    assert site.run_until(lambda: find_leader_name(site), 5.0)
    token = site.patch(find_leader_name(site), make_order())
    site.run_for(FIRST_HELLO_WINDOW_S + 0.7)
    assert site.replies[token].code == code


def test_order_is_relayed_in_a_message_that_an_older_leader_does_not_acknowledge():
    """Guards against a leader that reads a patch without its orders and accepts it."""
    site = build_zoned_site()
    follower = next(name for name in CORES if name != find_leader_name(site))
    effects = site.hosts[follower].node.handle(PatchArrived(1, make_order()), site.now_s)
    messages = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    assert any(isinstance(message, EvacuationRelay) for message in messages)


def test_moving_keys_are_sent_to_routers_about_once():
    """Guards against pushes that repeat all changes since a router's poll, on slow links."""
    site = build_zoned_site(till_zones=[1 + number % 3 for number in range(30)])
    sizes = watch_view_sizes(site, "edge-1")
    order(site)
    site.run_for(KEYS_LEFT_S)
    # 683 stripes change their holder twice, at four bytes each; the rest is for names.
    assert sum(sizes) < 8_000


def test_two_of_three_zones_leave_without_overlong_responses():
    """Guards against responses of more rows than 4 KiB hold, and keys that stay because of it."""
    site = build_zoned_site(3, till_zones=(1, 2, 3) * 4)
    body_sizes = watch_body_sizes(site)
    loads = [EvacuationLoad(site, zone) for zone in ("zone-1", "zone-2")]
    ordered_s = site.now_s
    for load in loads:
        order(site, load.zone)
    site.run_for(ordered_s + KEYS_LEFT_S - site.now_s)
    assert max(body_sizes) <= MAX_TAKEN_BYTES
    assert [load.held_units() for load in loads] == [0, 0]
