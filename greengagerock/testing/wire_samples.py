"""Samples of all messages between processes and all stored records of one build.

``PYTHONPATH=CHECKOUT python greengagerock/testing/wire_samples.py`` prints, as JSON, the samples
and the descriptions of the types of the build in a checkout, which need not contain this file.
``tests/wire_b4c97cb.json`` was made in this way; it is never made again for that build.
"""

import json
import os
import sys

import msgspec
from msgspec import inspect

from greengagerock.items import (
    CallerLimits,
    ItemStore,
    KeyedRules,
    Patch,
    RouteItem,
    ServiceItem,
    WeightedService,
)
from greengagerock.items.store import LeaveRecord, StoredItems, encode_leave, encode_patch
from greengagerock.replication import Entry, Record
from greengagerock.transport import Envelope, Message
from greengagerock.view.messages import EndpointResponseTimes, EndpointsDelta, ItemsDelta

# Types that are decoded on their own: links, log file, entries, snapshots, packed parts of views.
ROOTS = {
    "envelope": Envelope,
    "message": Message,
    "record": Record,
    "stored-items": StoredItems,
    "patch": Patch,
    "leave": LeaveRecord,
    "items-delta": ItemsDelta,
    "endpoints-delta": EndpointsDelta,
    "response-times": EndpointResponseTimes,
}
SAMPLE_NUMBER = 7


def make_samples(root):
    """Yield pairs of a name and a value: for each struct, one with defaults and one full one.

    Args:
        root: A type of ``ROOTS``.

    Examples:
        >>> [name for name, _ in make_samples(LeaveRecord)]
        ['LeaveRecord/short', 'LeaveRecord/full']
    """
    node = inspect.type_info(root)
    members = node.types if isinstance(node, inspect.UnionType) else (node,)
    for member in members:
        for variant in ("short", "full"):
            yield f"{member.cls.__name__}/{variant}", _value_of(member, variant == "full")


def _value_of(node, is_full):
    """Return a value of a described type; a full one sets all optional fields."""
    match node:
        case inspect.StructType(cls=cls, fields=fields):
            return cls(
                **{
                    field.name: _value_of(field.type, is_full)
                    for field in fields
                    if is_full or field.required
                }
            )
        case inspect.UnionType(types=members):
            present = [m for m in members if not isinstance(m, inspect.NoneType)]
            return _value_of(present[0], is_full)
        case inspect.DictType(key_type=key, value_type=value):
            return {_value_of(key, is_full): _value_of(value, is_full)} if is_full else {}
        case inspect.VarTupleType(item_type=item):
            return (_value_of(item, is_full),) if is_full else ()
        case inspect.TupleType(item_types=items):
            return tuple(_value_of(item, is_full) for item in items)
        case inspect.ListType(item_type=item):
            return [_value_of(item, is_full)] if is_full else []
        case inspect.FrozenSetType(item_type=item):
            return frozenset((_value_of(item, is_full),) if is_full else ())
        case inspect.LiteralType(values=values):
            return values[0]
        case inspect.BoolType():
            return True
        case inspect.IntType():
            return SAMPLE_NUMBER
        case inspect.FloatType():
            return SAMPLE_NUMBER + 0.5
        case inspect.StrType() | inspect.AnyType() | inspect.CustomType():
            return "name"
        case inspect.BytesType():
            return b"\x00data"
    raise TypeError(f"no sample of {node!r}")


def build_stored_patch():
    """Return a patch whose fields all exist in build b4c97cb."""
    return Patch(
        routes=(
            RouteItem(
                "balance",
                3,
                host="shop.example",
                prefix="/balance/",
                kind="safe",
                timeout_s=1.0,
                objective_s=0.3,
                priority=1,
                attempts=2,
                weighted_services=(WeightedService("till", 1), WeightedService("docs", 0)),
            ),
        ),
        services=(
            ServiceItem("till", 2, "/health", 100, KeyedRules(2.0)),
            ServiceItem("docs", 1, "/health", 50),
        ),
        limits=CallerLimits(1, 16_384, 1_048_576, 3.0, 15.0),
    )


def make_stored_records():
    """Return entries of the log, and the snapshot of the state after them, by name."""
    patch, leave = encode_patch(build_stored_patch()), encode_leave(LeaveRecord("till-1", 1000))
    store = ItemStore()
    store.apply(Entry(1, 1, patch))
    store.apply(Entry(2, 1, leave))
    return {"patch-entry": patch, "leave-entry": leave, "snapshot": store.dump()}


def main():
    """Print the samples and descriptions of the build that is imported."""
    from wire_schema import describe

    structs = {}
    contents = {
        "roots": {name: describe(root, structs) for name, root in ROOTS.items()},
        "structs": structs,
        "samples": {
            name: {
                sample_name: msgspec.msgpack.encode(value).hex()
                for sample_name, value in make_samples(root)
            }
            for name, root in ROOTS.items()
        },
        "stored": {name: data.hex() for name, data in make_stored_records().items()},
    }
    json.dump(contents, sys.stdout, separators=(",", ":"), sort_keys=True)
    print()


if __name__ == "__main__":
    sys.path.append(os.path.dirname(os.path.abspath(__file__)))
    main()
