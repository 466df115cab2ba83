"""Messages and stored records of build b4c97cb and of this one, decoded by each other.

``wire_b4c97cb.json`` was made by that build with ``greengagerock/testing/wire_samples.py``. A test
that fails here means that a rolling upgrade, or a downgrade, would lose messages or data.
"""

import json
from pathlib import Path

import msgspec
import pytest

from greengagerock.control.relay_messages import EvacuationRelay
from greengagerock.items import EvacuationOrder, ItemStore, Patch, PatchResult
from greengagerock.items.store import encode_patch
from greengagerock.replication import Entry
from greengagerock.testing.wire_samples import (
    ROOTS,
    build_stored_patch,
    make_samples,
    make_stored_records,
)
from greengagerock.testing.wire_schema import TypeRebuilder, describe

OLD = json.loads((Path(__file__).parent / "wire_b4c97cb.json").read_text())
OLD_STORED = {name: bytes.fromhex(data) for name, data in OLD["stored"].items()}
_REBUILDER = TypeRebuilder(OLD["structs"])
OLD_TYPES = {name: _REBUILDER.rebuild(description) for name, description in OLD["roots"].items()}
OLD_SAMPLES = [(root, name) for root, samples in OLD["samples"].items() for name in samples]
NEW_SAMPLES = [
    (root, name) for root, root_type in ROOTS.items() for name, _ in make_samples(root_type)
]
# Messages that the old build does not decode, so that it cannot acknowledge what it ignores.
NEW_MESSAGES = {EvacuationRelay.__name__}


def assert_same_fields(old_value, new_value, place=""):
    """Assert that all fields that the old build has are equal in both values."""
    if isinstance(old_value, msgspec.Struct):
        assert type(old_value).__name__ == type(new_value).__name__, place
        for field in old_value.__struct_fields__:
            assert_same_fields(
                getattr(old_value, field), getattr(new_value, field), f"{place}.{field}"
            )
    elif isinstance(old_value, dict):
        assert old_value.keys() == new_value.keys(), place
        for key, inner in old_value.items():
            assert_same_fields(inner, new_value[key], f"{place}[{key!r}]")
    elif isinstance(old_value, tuple | list):
        assert len(old_value) == len(new_value), place
        for index, pair in enumerate(zip(old_value, new_value, strict=True)):
            assert_same_fields(*pair, f"{place}[{index}]")
    else:
        assert old_value == new_value, place


def test_all_kinds_of_samples_are_there():
    """Guards against a sample file that was cut off or made with an incomplete list."""
    assert OLD["samples"].keys() == ROOTS.keys()
    assert len(OLD["samples"]["message"]) == 2 * 37
    assert not OLD["samples"]["message"].keys() & {f"{n}/full" for n in NEW_MESSAGES}


@pytest.mark.parametrize(("root", "name"), OLD_SAMPLES)
def test_this_build_reads_the_old_one(root, name):
    data = bytes.fromhex(OLD["samples"][root][name])
    new_value = msgspec.msgpack.decode(data, type=ROOTS[root])
    assert_same_fields(msgspec.msgpack.decode(data, type=OLD_TYPES[root]), new_value)


@pytest.mark.parametrize(("root", "name"), NEW_SAMPLES)
def test_the_old_build_reads_this_one(root, name):
    new_value = dict(make_samples(ROOTS[root]))[name]
    data = msgspec.msgpack.encode(new_value)
    if name.partition("/")[0] in NEW_MESSAGES:
        with pytest.raises(msgspec.ValidationError):
            msgspec.msgpack.decode(data, type=OLD_TYPES[root])
        return
    assert_same_fields(msgspec.msgpack.decode(data, type=OLD_TYPES[root]), new_value)


@pytest.mark.parametrize("root", ["message", "record"])
def test_no_message_of_the_old_build_is_missing(root):
    """A message type that was removed or given another tag would be refused by the other build."""
    tags = {
        kind: {structs[part[1]]["tag"] for part in description[1:]}
        for kind, description, structs in (
            ("old", OLD["roots"][root], OLD["structs"]),
            ("new", *_describe_root(root)),
        )
    }
    assert tags["old"] <= tags["new"]
    assert len(tags["new"] - tags["old"]) == (len(NEW_MESSAGES) if root == "message" else 0)


def _describe_root(root):
    structs = {}
    return describe(ROOTS[root], structs), structs


def test_snapshot_of_the_old_build_has_all_its_items():
    store = ItemStore()
    store.load(OLD_STORED["snapshot"])
    assert store.items.routes["balance"] == build_stored_patch().routes[0]
    assert store.items.services["till"] == build_stored_patch().services[0]
    assert store.items.limits == build_stored_patch().limits
    assert store.items.evacuations == {} and store.last_orders == {}
    assert store.leaving_endpoints == {"till-1": 1000}


def test_entries_of_the_old_build_lead_to_the_same_state():
    store = ItemStore()
    store.apply(Entry(1, 1, OLD_STORED["patch-entry"]))
    store.apply(Entry(2, 1, OLD_STORED["leave-entry"]))
    restored = ItemStore()
    restored.load(OLD_STORED["snapshot"])
    assert store.items == restored.items
    assert store.accepted == restored.accepted
    assert store.leaving_endpoints == restored.leaving_endpoints


def test_change_that_the_old_build_accepted_is_recognised_when_it_is_sent_again():
    """Its digest is in the snapshot; another digest here refuses a change that was accepted."""
    store = ItemStore()
    store.load(OLD_STORED["snapshot"])
    patch = build_stored_patch()
    later = msgspec.structs.replace(patch.routes[0], version=4)
    assert store.apply_patch(Patch(routes=(later,)), 3).changed == ("balance",)
    digests = dict(store.accepted)
    results = []
    store.on_patch_result = lambda index, result: results.append(result)
    store.apply(Entry(4, 2, encode_patch(patch)))
    assert results == [PatchResult()]
    assert store.accepted == digests


def test_the_old_build_reads_the_snapshot_and_entries_of_this_one():
    """A downgrade: the old build ignores evacuations and keeps all other items."""
    store = ItemStore()
    store.load(OLD_STORED["snapshot"])
    store.apply(Entry(3, 2, encode_patch(Patch(evacuations=(EvacuationOrder("zone-1", True),)))))
    snapshot = msgspec.msgpack.decode(store.dump(), type=OLD_TYPES["stored-items"])
    assert_same_fields(snapshot.items, store.items)
    assert snapshot.accepted == list(store.accepted)
    patch = msgspec.msgpack.decode(
        make_stored_records()["patch-entry"][1:], type=OLD_TYPES["patch"]
    )
    assert_same_fields(patch, build_stored_patch())
