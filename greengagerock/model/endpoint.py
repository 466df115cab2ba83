"""Endpoints, their announcements and their grants."""

from typing import Literal

import msgspec

STATE_READY = "ready"
STATE_DRAINING = "draining"
STATE_LOST = "lost"

EndpointState = Literal["ready", "draining", "lost"]


class Endpoint(msgspec.Struct, frozen=True):
    """The replicated record of one endpoint.

    Attributes:
        name: Unique name.
        service: Service that it belongs to.
        zone: Availability zone.
        address: ``IP:PORT`` of its HTTP server.
        incarnation: Identifier that differs after each restart.
        concurrency: Number of requests that it processes concurrently.
        checks_orders: Whether it refuses requests with an outdated fence.
        state: ``ready``, ``draining`` or ``lost``.
        drained_by_operator: Whether an operator requested the drain.
        since: Version of this record; 0 before the record is first committed. A report
            that is based on another version of the record is ignored.
    """

    name: str
    service: str
    zone: str
    address: str
    incarnation: str
    concurrency: int = 3
    checks_orders: bool = True
    state: EndpointState = STATE_READY
    drained_by_operator: bool = False
    since: int = 0

    @property
    def accepts_new_requests(self):
        """Whether new requests may be sent to the endpoint."""
        return self.state == STATE_READY


class Announcement(msgspec.Struct, frozen=True):
    """An endpoint's periodic report about itself.

    Attributes:
        name: Unique name.
        service: Service that it belongs to.
        zone: Availability zone.
        address: ``IP:PORT`` of its HTTP server.
        incarnation: Identifier that differs after each restart.
        concurrency: Number of requests that it processes concurrently.
        checks_orders: Whether it refuses requests with an outdated fence.
        state: ``ready`` or ``draining``.
        in_flight: Number of requests in progress.
        applied_version: Version of the newest grants that it has applied.
    """

    name: str
    service: str
    zone: str
    address: str
    incarnation: str
    concurrency: int = 3
    checks_orders: bool = True
    state: Literal["ready", "draining"] = STATE_READY
    in_flight: int = 0
    applied_version: int = 0


class GrantedUnit(msgspec.Struct, frozen=True, array_like=True):
    """A granted unit.

    Attributes:
        unit: Label of the unit: a slot, or a pinned key.
        fence: Fence of the grant.
    """

    unit: str
    fence: int


class AnnouncementReply(msgspec.Struct, frozen=True):
    """The reply to an announcement: a session lease, and grants if they changed.

    Attributes:
        lease_s: Seconds for which the grants are valid, counted from the moment at
            which the endpoint sent its announcement.
        version: Version of the routes that ``grants`` reflects.
        grants: All units of the endpoint, or ``None`` if nothing has changed
            since the version that it announced.
    """

    lease_s: float
    version: int
    grants: tuple[GrantedUnit, ...] | None = None
