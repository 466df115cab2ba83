"""What routers know of items, endpoints and holders, and how it reaches them."""

from greengagerock.view.messages import (
    EndpointRecord,
    ItemsDelta,
    LiveDelta,
    NotLeading,
    OwnerRun,
    ViewDelta,
    ViewPoll,
)
from greengagerock.view.publisher import ItemsHistory, LiveHistory
from greengagerock.view.replica import ViewReplica

__all__ = [
    "EndpointRecord",
    "ItemsDelta",
    "ItemsHistory",
    "LiveDelta",
    "LiveHistory",
    "NotLeading",
    "OwnerRun",
    "ViewDelta",
    "ViewPoll",
    "ViewReplica",
]
