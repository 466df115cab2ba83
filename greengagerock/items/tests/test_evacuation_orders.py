"""Evacuation orders take effect in the order of the log, and older data is still read."""

import msgspec

from greengagerock.items import Items, ItemStore, Patch, PatchResult
from greengagerock.items.store import encode_patch
from greengagerock.replication import Entry
from greengagerock.testing.evacuation_load import make_order
from greengagerock.testing.item_builders import build_first_patch, build_limits, build_route
from greengagerock.testing.older_items import OLDER_PAYLOAD, OLDER_SNAPSHOT
from greengagerock.view import ItemsDelta, ItemsHistory, ViewReplica


def apply(store, *patches):
    """Apply patches as log entries 1, 2, ... and return the evacuations."""
    for index, patch in enumerate(patches, 1):
        store.apply(Entry(index, 1, encode_patch(patch)))
    return store.items.evacuations


def test_newest_order_wins():
    """Guards against an end of the first start only, and a second start taken for resent."""
    start, end = make_order(), make_order(is_active=False)
    store = ItemStore()
    assert apply(store, start, start) == {"zone-1": 1}
    assert store.revision == 1
    assert apply(ItemStore(), start, start, end) == {}
    assert apply(ItemStore(), start, end, start) == {"zone-1": 3}


def test_order_that_was_held_up_on_its_way_does_not_revert_a_later_one():
    """Guards against an order that was resent, then followed by its opposite, and then arrives."""
    store = ItemStore()
    orders = [make_order(), make_order(is_active=False), make_order()]
    held_up = []
    for index, patch in enumerate(orders, 1):
        held_up.append(store.stamp_orders(patch))
        assert store.apply_patch(held_up[-1], index).code == ""
    restored = ItemStore()
    restored.load(store.dump())
    for each in (store, restored):
        assert each.apply_patch(held_up[1], 4).code == "not-ready"
        assert each.apply_patch(held_up[0], 5) == PatchResult()
        assert each.items.evacuations == {"zone-1": 3}
        assert each.apply_patch(each.stamp_orders(held_up[1]), 6).code == ""
        assert each.items.evacuations == {}


def test_order_beside_items():
    """Guards against half of a refused patch, and an order lost with resent items."""
    orders = make_order().evacuations
    bad = Patch(routes=(build_route(weighted_services=(("nowhere", 1),)),), evacuations=orders)
    assert apply(ItemStore(), bad) == {}
    first = build_first_patch()
    both = msgspec.structs.replace(first, evacuations=orders)
    assert apply(ItemStore(), first, both) == {"zone-1": 2}


def test_snapshot_and_payload_of_an_older_build_are_read():
    """Guards against a voter that cannot read its disk, or takes a resent patch for a new one.

    The data was written by the build before evacuations.
    """
    restored = ItemStore()
    restored.load(OLDER_SNAPSHOT)
    assert restored.items == Items(limits=build_limits())
    store = ItemStore()
    store.apply(Entry(1, 1, OLDER_PAYLOAD))
    assert store.items == restored.items
    assert store.accepted == restored.accepted


def test_delta_of_an_older_leader_keeps_what_a_router_knows():
    store = ItemStore()
    history = ItemsHistory(store)
    replica = ViewReplica()
    apply(store, make_order())
    assert replica.apply_items(history.delta_since(0))
    assert replica.evacuated_zones == {"zone-1"}
    older = msgspec.convert([1, 2, False], ItemsDelta)
    assert replica.apply_items(older)
    assert replica.evacuated_zones == {"zone-1"}
    apply(store, Patch(), Patch(), make_order(is_active=False))
    assert replica.apply_items(history.delta_since(2))
    assert replica.evacuated_zones == frozenset()
