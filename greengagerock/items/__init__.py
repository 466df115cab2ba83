"""Named configuration items, each with a version of its own."""

from greengagerock.items.item import (
    CallerLimits,
    EndpointWarmUp,
    EvacuationOrder,
    Items,
    KeyedRules,
    Patch,
    Removal,
    RequestKind,
    RouteItem,
    ServiceItem,
    WeightedService,
    without_sent_fields,
)
from greengagerock.items.store import ItemStore, PatchResult
from greengagerock.items.validation import check_patch

__all__ = [
    "CallerLimits",
    "EvacuationOrder",
    "EndpointWarmUp",
    "ItemStore",
    "Items",
    "KeyedRules",
    "RequestKind",
    "WeightedService",
    "Patch",
    "PatchResult",
    "Removal",
    "RouteItem",
    "ServiceItem",
    "check_patch",
    "without_sent_fields",
]
