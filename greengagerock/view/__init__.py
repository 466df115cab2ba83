"""Routers' copies of items, endpoints and unit owners, and the deltas that update them."""

from greengagerock.view.histories import EndpointsHistory, ItemsHistory
from greengagerock.view.load_packing import (
    EndpointLoadReports,
    InstanceDigests,
    LoadReport,
    digest_instance,
    pack_loads,
    unpack_loads,
)
from greengagerock.view.messages import (
    EndpointRecord,
    EndpointResponseTimes,
    EndpointsDelta,
    ItemsDelta,
    LeavingObserved,
    LimitReport,
    LimitShare,
    NotLeading,
    OwnedUnitRanges,
    ViewDelta,
    ViewPoll,
    digest_relays,
)
from greengagerock.view.packing import PackedDeltaCache, decode_delta, encode_delta
from greengagerock.view.replica import ViewReplica

__all__ = [
    "EndpointLoadReports",
    "EndpointRecord",
    "EndpointResponseTimes",
    "InstanceDigests",
    "LoadReport",
    "OwnedUnitRanges",
    "ItemsDelta",
    "ItemsHistory",
    "EndpointsDelta",
    "EndpointsHistory",
    "LeavingObserved",
    "LimitReport",
    "LimitShare",
    "NotLeading",
    "PackedDeltaCache",
    "ViewDelta",
    "ViewPoll",
    "ViewReplica",
    "encode_delta",
    "decode_delta",
    "digest_instance",
    "digest_relays",
    "pack_loads",
    "unpack_loads",
]
