"""Every accepted item is read back as it was sent, and can be sent again."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.core import GreengageError
from greengagerock.items import ItemStore, Patch
from greengagerock.items.store import encode_patch
from greengagerock.platform.durations import format_duration, parse_duration
from greengagerock.platform.item_strategies import decode_listing, encode_change, first_changes
from greengagerock.platform.wire_items import decode_patch, encode_items
from greengagerock.replication import Entry
from greengagerock.testing.item_builders import build_route
from greengagerock.view.histories import ItemsHistory

ROUTE = {
    "name": "prices",
    "host": "shop.example",
    "path-prefix": "/prices/",
    "type": "safe",
    "timeout": "1.2s",
    "max-attempts": 2,
    "version": 7,
    "service": "docs",
}
SERVICE = {"name": "docs", "health-path": "/health", "max-conns": 130, "version": 7}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1048576,
    "header-timeout": "3s",
    "idle-timeout": "15s",
    "version": 7,
}


def build_change(route=None, service=None, limits=None):
    """Return a change of three items with some fields replaced."""
    return {
        "routes": [ROUTE | (route or {})],
        "services": [SERVICE | (service or {})],
        "limits": LIMITS | (limits or {}),
    }


def commit(store, index, body):
    """Apply a change as a voter does that reads it from the log; return its result."""
    results = []
    store.on_patch_result = lambda _, result: results.append(result)
    store.apply(Entry(index, 1, encode_patch(decode_patch(body))))
    return results[-1]


def assert_read_back(change):
    """Assert that a change is read back equal, everywhere, and accepted once more."""
    store, late_store = ItemStore(), ItemStore()
    result = commit(store, 1, encode_change(change))
    assert result.code == "", result.detail
    late_store.load(store.dump())
    for each in (store, late_store):
        listing = encode_items(each.items)
        assert decode_listing(listing) == change
        sent_again = commit(each, 2, encode_change(decode_listing(listing)))
        assert sent_again.code == "" and sent_again.changed == ()
        assert encode_items(each.items) == listing


@given(first_changes())
@settings(deadline=None)
def test_no_field_of_an_item_is_changed_by_storing_it(change):
    assert_read_back(change)


@pytest.mark.parametrize("field", ["timeout", "target-latency"])
@pytest.mark.parametrize(
    "text", ["1.234567s", "123.4567s", "1.23456789ms", "100000.5ms", "99999.95ms", "1.500s"]
)
def test_times_of_a_route_keep_their_digits(field, text):
    assert_read_back(build_change(route={"timeout": "200s", field: text}))


@pytest.mark.parametrize(
    "fields",
    [
        {"sharded": False},
        {"sharded": False, "warm": "2s", "grants": "heartbeat"},
        {"sharded": True, "warm": "2.0000001s"},
        {"tls": False, "protocol": ""},
        {"warmup-per-s": 0},
        {"x-unknown": [1, {"deep": 2**80}]},
    ],
)
def test_fields_of_a_service_that_have_no_effect_are_kept(fields):
    assert_read_back(build_change(service=fields))


@pytest.mark.parametrize("text", ["0.0000001ms", "0.0000000001s"])
def test_a_timeout_below_a_nanosecond_is_not_zero(text):
    assert_read_back(build_change(route={"timeout": text}))


def test_another_notation_of_the_stored_version_is_accepted_without_a_change():
    """Voters of builds without ``sent_fields`` accept it, so all voters have to."""
    store = ItemStore()
    assert commit(store, 1, encode_change(build_change())).code == ""
    listing = encode_items(store.items)
    other = commit(store, 2, encode_change(build_change(route={"timeout": "1200.0ms"})))
    assert (other.code, other.changed) == ("", ())
    assert encode_items(store.items) == listing


@pytest.mark.parametrize("kind", ["routes", "services"])
def test_two_contents_of_one_version_are_refused(kind):
    change = build_change()
    change[kind].append(change[kind][0] | {"x-owner": "night"})
    with pytest.raises(GreengageError, match="comes twice with different content"):
        decode_patch(encode_change(change))
    change[kind][1]["version"] = 8
    store = ItemStore()
    assert commit(store, 1, encode_change(change)).code == ""
    assert decode_listing(encode_items(store.items))[kind] == [change[kind][1]]


def test_an_item_and_its_removal_with_one_version_are_refused():
    body = json.loads(encode_change(build_change()))
    body["remove"] = {"routes": [{"name": ROUTE["name"], "version": ROUTE["version"]}]}
    with pytest.raises(GreengageError, match="comes twice with different content"):
        decode_patch(json.dumps(body).encode())


def test_other_content_of_the_stored_version_is_a_conflict():
    store = ItemStore()
    commit(store, 1, encode_change(build_change()))
    other = commit(store, 2, encode_change(build_change(route={"timeout": "1.2000001s"})))
    assert other.code == "version-conflict"


@given(st.floats(1e-9, 1e9).map(lambda seconds: round(seconds, 9)))
def test_a_duration_that_was_stored_without_its_notation_is_read_back_equal(seconds):
    """State of earlier builds has numbers only."""
    assert parse_duration(format_duration(seconds)) == seconds


def test_routers_get_no_notations():
    store = ItemStore()
    commit(store, 1, encode_change(build_change({"timeout": "1.50s"}, {"tls": False})))
    history = ItemsHistory(store)
    history.reset(1)
    delta = history.delta_since(0)
    items = (*delta.routes, *delta.services, delta.limits)
    assert [item.sent_fields for item in items] == [None, None, None]


def test_items_of_earlier_builds_are_listed_and_accepted_again():
    store = ItemStore()
    services = decode_patch(encode_change(build_change())).services
    route = build_route("old", weighted_services=(("docs", 1.0),), timeout_s=1.234567)
    assert store.apply_patch(Patch((route,), services)).code == ""
    store.apply_patch(decode_patch(encode_change(build_change())))
    listing = encode_items(store.items)
    assert json.loads(listing)["routes"]["rows"][0][4] == "1234.567ms"
    sent_again = store.apply_patch(decode_patch(encode_change(decode_listing(listing))))
    assert (sent_again.code, sent_again.changed) == ("", ())
