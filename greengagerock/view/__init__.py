"""Routers' copies of items, endpoints and unit owners, and the deltas that update them."""

from greengagerock.view.histories import ItemsHistory, LiveHistory
from greengagerock.view.messages import (
    EndpointRecord,
    EndpointTimes,
    HeldUnits,
    ItemsDelta,
    LiveDelta,
    NotLeading,
    ViewDelta,
    ViewPoll,
)
from greengagerock.view.packing import PackedDeltas, pack, unpack
from greengagerock.view.replica import ViewReplica

__all__ = [
    "EndpointRecord",
    "EndpointTimes",
    "HeldUnits",
    "ItemsDelta",
    "ItemsHistory",
    "LiveDelta",
    "LiveHistory",
    "NotLeading",
    "PackedDeltas",
    "ViewDelta",
    "ViewPoll",
    "ViewReplica",
    "pack",
    "unpack",
]
