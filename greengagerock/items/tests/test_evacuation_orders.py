"""Evacuation orders take effect in the order of the log, and older data is still read."""

import msgspec

from greengagerock.items import EvacuationOrder, Items, ItemStore, Patch, PatchResult
from greengagerock.items.store import encode_patch
from greengagerock.replication import Entry
from greengagerock.testing.evacuation_load import make_order
from greengagerock.testing.item_builders import build_first_patch, build_limits, build_route
from greengagerock.view import ItemsDelta, ItemsHistory, ViewReplica

encode = msgspec.msgpack.encode
OLDER_LIMITS = bytes.fromhex("9501cd4000ce00100000cb4008000000000000cb402e000000000000")
OLDER_PAYLOAD = b"P\x95\x90\x90" + OLDER_LIMITS + b"\x90\x90"
OLDER_SNAPSHOT = (
    b"\x84\xa5items\x83\xa6routes\x80\xa8services\x80\xa6limits"
    + OLDER_LIMITS
    + b"\xaatombstones\x80\xa8accepted\x91\xcf]3\xfaq&\xe4\xddY\xa7leavers\x80"
)


def apply(store, *patches):
    """Apply patches as log entries 1, 2, ... and return the evacuations."""
    for index, patch in enumerate(patches, 1):
        store.apply(Entry(index, 1, encode_patch(patch)))
    return store.items.evacuations


def test_end_wins_over_a_start_that_was_resent_before_it():
    """Guards against an end that only ends the first of two equal starts."""
    start, end = make_order(), make_order(is_active=False)
    assert apply(ItemStore(), start, start) == {"zone-1": 1}
    assert apply(ItemStore(), start, start, end) == {}


def test_second_start_is_not_taken_for_a_resent_first_one():
    start, end = make_order(), make_order(is_active=False)
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


def test_repeated_order_is_no_change():
    store = ItemStore()
    apply(store, make_order())
    assert store.apply_patch(make_order(), 2).changed == ()
    assert store.revision == 1


def test_refused_items_refuse_the_order_in_the_same_patch():
    order = EvacuationOrder("zone-1", True)
    bad = Patch(routes=(build_route(weighted_services=(("nowhere", 1),)),), evacuations=(order,))
    assert apply(ItemStore(), bad) == {}


def test_resent_items_keep_the_order_in_the_same_patch():
    order = EvacuationOrder("zone-1", True)
    first = build_first_patch()
    both = msgspec.structs.replace(first, evacuations=(order,))
    store = ItemStore()
    assert apply(store, first, both) == {"zone-1": 2}
    assert set(store.items.routes) == set(r.name for r in first.routes)


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


def test_snapshot_keeps_evacuations():
    store, restored = ItemStore(), ItemStore()
    apply(store, make_order())
    restored.load(store.dump())
    assert restored.items.evacuations == {"zone-1": 1}


def test_delta_of_an_older_leader_keeps_what_a_router_knows():
    store = ItemStore()
    history = ItemsHistory(store)
    replica = ViewReplica()
    apply(store, make_order())
    assert replica.apply_items(history.delta_since(0))
    assert replica.evacuated_zones == {"zone-1"}
    older = msgspec.msgpack.decode(encode([1, 2, False]), type=ItemsDelta)
    assert replica.apply_items(older)
    assert replica.evacuated_zones == {"zone-1"}
    apply(store, Patch(), Patch(), make_order(is_active=False))
    assert replica.apply_items(history.delta_since(2))
    assert replica.evacuated_zones == frozenset()
