"""Tests of a router's copy: it applies only deltas that follow its own revision."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from greengagerock.items import ItemStore, Patch, Removal
from greengagerock.items.store import encode_patch
from greengagerock.replication import Entry
from greengagerock.testing.item_builders import build_first_patch, build_route
from greengagerock.view import EndpointRecord, EndpointsHistory, ItemsHistory, ViewReplica


def build_history(*patches):
    """Return the history of a store that applied patches as log entries 1, 2, ..."""
    store = ItemStore()
    history = ItemsHistory(store)
    store.on_patch_result = lambda index, result: history.record_changes(index, result.changed)
    for index, patch in enumerate(patches, 1):
        store.apply(Entry(index, 1, encode_patch(patch)))
    return history


def test_delta_based_on_another_routers_revision_is_ignored():
    history = build_history(
        build_first_patch(), Patch(routes=(build_route("balance", version=2, timeout_s=0.5),))
    )
    replica = ViewReplica()
    assert not replica.apply_items(history.delta_since(1))
    assert not replica.has_configuration
    assert replica.apply_items(history.delta_since(0))
    assert replica.routes["balance"].version == 2
    assert set(replica.routes) == {"balance", "charge", "prices"}


def test_removed_route_does_not_come_back():
    first = build_first_patch()
    history = build_history(first, Patch(removed_routes=(Removal("prices", 5),)))
    replica = ViewReplica()
    replica.apply_items(build_history(first).delta_since(0))
    replica.apply_items(history.delta_since(1))
    assert "prices" not in replica.routes
    assert not replica.apply_items(build_history(first).delta_since(0))
    assert "prices" not in replica.routes


def build_endpoints_history(epoch=1):
    """Return a history with two endpoints and owners of ten units."""
    endpoints_history = EndpointsHistory(epoch)
    for name in ("a", "b"):
        endpoints_history.set_endpoint(EndpointRecord(name, f"{name}:80", "till", "z", 3))
    for unit in range(10):
        endpoints_history.set_owner("till", unit, "a" if unit < 5 else "b")
    return endpoints_history


def test_endpoints_delta_with_a_gap_is_ignored():
    endpoints_history = build_endpoints_history()
    endpoints_history.mark_settled()
    settled_revision = endpoints_history.revision
    endpoints_history.set_owner("till", 0, "b")
    replica = ViewReplica()
    replica.apply_endpoints(endpoints_history.delta_since(1, settled_revision))
    assert replica.endpoints_revision == 0
    replica.apply_endpoints(endpoints_history.delta_since(0, 0))
    assert replica.owner_of("till", 0) == "b"
    assert replica.owner_of("till", 9 * 8) == "b"


def test_new_leader_does_not_remove_endpoints_before_it_has_settled():
    replica = ViewReplica()
    old = build_endpoints_history(1)
    old.mark_settled()
    replica.apply_endpoints(old.delta_since(0, 0))
    new = EndpointsHistory(2)
    new.set_endpoint(EndpointRecord("a", "a:80", "till", "z", 3))
    replica.apply_endpoints(new.delta_since(1, replica.endpoints_revision))
    assert set(replica.endpoints) == {"a", "b"}
    assert replica.owner_of("till", 9 * 8) == "b"
    new.mark_settled()
    replica.apply_endpoints(new.delta_since(2, replica.endpoints_revision))
    assert set(replica.endpoints) == {"a"}


def test_earlier_leader_is_ignored():
    replica = ViewReplica()
    new = build_endpoints_history(2)
    replica.apply_endpoints(new.delta_since(0, 0))
    old = EndpointsHistory(1)
    old.set_owner("till", 0, "b")
    assert replica.apply_endpoints(old.delta_since(1, 0)) == ([], [])


@given(
    st.lists(
        st.lists(st.tuples(st.integers(0, 40), st.sampled_from(["", "a", "b"])), max_size=30),
        max_size=5,
    )
)
def test_incremental_and_full_deltas_give_the_same_owners(rounds):
    endpoints_history = EndpointsHistory(3)
    incremental, full = ViewReplica(), ViewReplica()
    for changes in rounds:
        for unit, endpoint in changes:
            endpoints_history.set_owner("till", unit, endpoint)
        delta = endpoints_history.delta_since(incremental.epoch, incremental.endpoints_revision)
        if delta is not None:
            incremental.apply_endpoints(delta)
    full_delta = endpoints_history.delta_since(0, 0)
    if full_delta is not None:
        full.apply_endpoints(full_delta)
    expected = {
        unit: name for unit, name in endpoints_history.owners.get("till", {}).items() if name
    }
    for replica in (incremental, full):
        owners = {unit: name for unit, name in replica.owners.get("till", {}).items() if name}
        assert owners == expected


def test_full_view_of_many_endpoints_fits_a_slow_link():
    """A new leader's full view delays callers by at most 0.1 s on a link of 2.5 Mbit/s."""
    endpoints_history = EndpointsHistory(3)
    for unit in range(8192):
        endpoints_history.set_owner("till", unit, f"i-{unit % 163:08x}")
    assert len(msgspec.msgpack.encode(endpoints_history.delta_since(0, 0))) < 0.1 * 2.5e6 / 8
