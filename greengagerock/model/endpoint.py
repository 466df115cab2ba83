"""Endpoints, their announcements, and the grants that they receive."""

from typing import Literal

import msgspec

STATE_READY = "ready"
STATE_DRAINING = "draining"
STATE_LOST = "lost"

EndpointState = Literal["ready", "draining", "lost"]


class Endpoint(msgspec.Struct, frozen=True):
    """What the system agrees on about one endpoint.

    Attributes:
        name: Unique name.
        service: Service it belongs to.
        zone: Availability zone.
        address: ``IP:PORT`` of its HTTP server.
        incarnation: Differs after each restart.
        concurrency: Requests it runs at once.
        checks_orders: Whether it refuses requests with an outdated fence.
        state: Whether it takes work.
        drained_by_operator: Whether an operator ordered the drain.
        since: Version of this record; 0 before it is first agreed on. A report that
            is based on another version of the record is ignored.
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
    def takes_work(self):
        """Whether new requests may be sent to it."""
        return self.state == STATE_READY


class Announcement(msgspec.Struct, frozen=True):
    """An endpoint's periodic report about itself.

    Attributes:
        name: Unique name.
        service: Service it belongs to.
        zone: Availability zone.
        address: ``IP:PORT`` of its HTTP server.
        incarnation: Differs after each restart.
        concurrency: Requests it runs at once.
        checks_orders: Whether it refuses requests with an outdated fence.
        state: ``ready`` or ``draining``.
        in_flight: Requests in progress, by its own report.
        applied_version: Newest grant version that it has put into force.
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
    """One slot, or one pinned key, with the fence it was granted under."""

    unit: str
    fence: int


class AnnouncementReply(msgspec.Struct, frozen=True):
    """The answer to an announcement: a session lease and perhaps grants.

    Attributes:
        lease_s: Seconds, from the moment the endpoint sent its announcement,
            for which its grants are valid.
        version: Version that ``grants`` reflects.
        grants: All units of the endpoint, or ``None`` if nothing has changed
            since the version that it announced.
    """

    lease_s: float
    version: int
    grants: tuple[GrantedUnit, ...] | None = None
