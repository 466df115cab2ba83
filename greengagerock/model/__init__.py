"""Data model: services, endpoints, units, owners and the routes that combine them."""

from greengagerock.model.ban import Ban
from greengagerock.model.endpoint import (
    STATE_DRAINING,
    STATE_LOST,
    STATE_READY,
    Announcement,
    AnnouncementReply,
    Endpoint,
    GrantedUnit,
)
from greengagerock.model.history import RouteHistory
from greengagerock.model.keys import (
    HeaderKey,
    KeyRule,
    NoKey,
    PathKey,
    QueryKey,
    extract_key,
    slot_of_key,
)
from greengagerock.model.ownership import NO_OWNER, OwnedUnit, Owner, Unit
from greengagerock.model.routes import RouteDelta, RouteHost, Routes, merge_deltas
from greengagerock.model.service import DEFAULT_SLOTS, MAX_SLOTS, Service
from greengagerock.model.timing import lessor_duration

__all__ = [
    "DEFAULT_SLOTS",
    "MAX_SLOTS",
    "NO_OWNER",
    "STATE_DRAINING",
    "STATE_LOST",
    "STATE_READY",
    "Announcement",
    "Ban",
    "AnnouncementReply",
    "Endpoint",
    "GrantedUnit",
    "HeaderKey",
    "KeyRule",
    "NoKey",
    "OwnedUnit",
    "Owner",
    "PathKey",
    "QueryKey",
    "RouteDelta",
    "RouteHistory",
    "RouteHost",
    "Routes",
    "Service",
    "Unit",
    "extract_key",
    "lessor_duration",
    "merge_deltas",
    "slot_of_key",
]
