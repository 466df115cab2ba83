"""Tests of the item store: patches are atomic, and the highest version of an item wins."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.items import EndpointWarmUp, ItemStore, Patch, Removal
from greengagerock.items.store import LeaveRecord, encode_leave
from greengagerock.replication import Entry
from greengagerock.testing.item_builders import (
    build_first_patch,
    build_limits,
    build_route,
    build_service,
)


def build_store():
    """Return a store that has accepted the first patch."""
    store = ItemStore()
    assert store.apply_patch(build_first_patch()).code == ""
    return store


def test_first_patch_sets_all_items():
    store = build_store()
    assert set(store.items.routes) == {"balance", "charge", "prices"}
    assert store.items.limits == build_limits()


def test_higher_version_wins_and_lower_version_changes_nothing():
    store = build_store()
    assert store.apply_patch(Patch(routes=(build_route(version=7, timeout_s=0.4),))).changed
    assert store.apply_patch(Patch(routes=(build_route(version=5, timeout_s=0.9),))).code == ""
    assert store.items.routes["balance"].timeout_s == 0.4


def test_removed_item_stays_removed_unless_a_higher_version_sets_it():
    store = build_store()
    store.apply_patch(Patch(removed_routes=(Removal("prices", 5),)))
    store.apply_patch(
        Patch(routes=(build_route("prices", version=4, weighted_services=(("docs", 1),)),))
    )
    assert "prices" not in store.items.routes
    store.apply_patch(
        Patch(routes=(build_route("prices", version=6, weighted_services=(("docs", 1),)),))
    )
    assert "prices" in store.items.routes


def test_resent_patch_is_accepted_again_after_the_removal_of_its_service():
    store = build_store()
    patch = Patch(routes=(build_route("extra", weighted_services=(("docs", 1),)),))
    assert store.apply_patch(patch).code == ""
    later = Patch(
        removed_routes=(Removal("extra", 9), Removal("prices", 9)),
        removed_services=(Removal("docs", 9),),
    )
    assert store.apply_patch(later).code == ""
    assert store.apply_patch(patch) == ItemStore().apply_patch(Patch())


def test_equal_version_with_other_content_is_a_conflict():
    store = build_store()
    result = store.apply_patch(Patch(routes=(build_route(timeout_s=0.2),)))
    assert result.code == "version-conflict"
    assert store.items.routes["balance"].timeout_s == 1.0


@pytest.mark.parametrize(
    "route",
    [
        build_route("new", timeout_s=0.0),
        build_route("new", attempts=0),
        build_route("new", weighted_services=(("till", -1), ("docs", 2))),
        build_route("new", weighted_services=(("nowhere", 1),)),
        build_route("new", prefix="/balance/"),
        build_route("new", objective_s=61.0),
        build_route("new", prefix="/open"),
        build_route("new", weighted_services=()),
    ],
)
def test_invalid_route_refuses_the_whole_patch(route):
    store = build_store()
    good = build_route("good", weighted_services=(("docs", 1),))
    result = store.apply_patch(Patch(routes=(good, route)))
    assert result.code == "invalid-item"
    assert set(store.items.routes) == {"balance", "charge", "prices"}


def test_service_in_use_cannot_be_removed():
    store = build_store()
    assert store.apply_patch(Patch(removed_services=(Removal("docs", 9),))).code == "invalid-item"


def test_snapshot_keeps_tombstones_and_accepted_patches():
    store = build_store()
    store.apply_patch(Patch(removed_routes=(Removal("prices", 5),)))
    restored = ItemStore()
    restored.load(store.dump())
    assert restored.items == store.items
    restored.apply_patch(
        Patch(routes=(build_route("prices", version=4, weighted_services=(("docs", 1),)),))
    )
    assert "prices" not in restored.items.routes
    assert restored.apply_patch(build_first_patch()).code == ""


def test_entries_and_snapshots_of_builds_without_warm_up_are_decoded():
    """Older builds encode a service as an array that ends before the warm-up."""
    services = {"till": ["till", 1, "/health", 100, [2.0, None], None, None]}
    snapshot = {
        "items": {"routes": {}, "services": services, "limits": None},
        "tombstones": {},
        "accepted": [],
        "leavers": {},
    }
    store = ItemStore()
    store.load(msgspec.msgpack.encode(snapshot))
    assert store.items.services["till"] == build_service()
    patch = [[], [["docs", 1, "/health", 100, None, None, None]], None, [], []]
    store.apply(Entry(7, 1, b"P" + msgspec.msgpack.encode(patch)))
    assert store.items.services["docs"] == build_service("docs", keyed=False)


@pytest.mark.parametrize("warm_up", [EndpointWarmUp(-1.0), EndpointWarmUp(3.0, -0.5)])
def test_negative_warm_up_is_refused(warm_up):
    result = build_store().apply_patch(Patch(services=(build_service("x", warm_up=warm_up),)))
    assert result.code == "invalid-item"


def test_leaving_endpoints_are_stored_in_snapshots():
    store = build_store()
    store.apply(Entry(2, 1, encode_leave(LeaveRecord("i-1", 1000))))
    restored = ItemStore()
    restored.load(store.dump())
    assert restored.leaving_endpoints == {"i-1": 1000}


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]), st.integers(1, 12), st.booleans(), st.integers(1, 3)
        ),
        max_size=25,
    )
)
def test_store_agrees_with_a_reference_model(changes):
    """The reference model takes the highest version of each name from all accepted changes."""
    store = build_store()
    accepted = []
    for name, version, removes, tenths in changes:
        if removes:
            patch = Patch(removed_routes=(Removal(name, version),))
        else:
            patch = Patch(routes=(build_route(name, version=version, timeout_s=tenths / 10),))
        if store.apply_patch(patch).code == "":
            accepted.append((name, version, removes, tenths))
    for name in ("a", "b", "c"):
        newest = None
        for change in accepted:
            if change[0] == name and (newest is None or change[1] > newest[1]):
                newest = change
        route = store.items.routes.get(name)
        if newest is None or newest[2]:
            assert route is None
        else:
            assert (route.version, route.timeout_s) == (newest[1], newest[3] / 10)
