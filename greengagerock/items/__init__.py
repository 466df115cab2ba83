"""Named configuration items, each with a version of its own."""

from greengagerock.items.item import (
    CallerLimits,
    Items,
    KeyedRules,
    Kind,
    Part,
    Patch,
    Removal,
    RouteItem,
    ServiceItem,
)
from greengagerock.items.store import ItemStore, PatchResult
from greengagerock.items.validation import check_patch

__all__ = [
    "CallerLimits",
    "ItemStore",
    "Items",
    "KeyedRules",
    "Kind",
    "Part",
    "Patch",
    "PatchResult",
    "Removal",
    "RouteItem",
    "ServiceItem",
    "check_patch",
]
