"""Messages with which a controller relays requests to the leader."""

import msgspec

from greengagerock.assignment import EndpointLeaving, EndpointReport, ReportResponse
from greengagerock.items import Items, Patch, PatchResult


class ReportRelay(msgspec.Struct, frozen=True, tag="report-relay"):
    """Relays an endpoint's report, or its leave message, to the leader."""

    token: int
    report: EndpointReport | EndpointLeaving


class PatchRelay(msgspec.Struct, frozen=True, tag="patch-relay"):
    """Relays an operator's patch to the leader."""

    token: int
    patch: Patch


class EvacuationRelay(msgspec.Struct, frozen=True, tag="evacuation-relay"):
    """Relays an operator's patch with evacuation orders to the leader.

    A leader of an older build cannot read this message. It would read a ``PatchRelay`` without
    the orders and acknowledge them although it ignores them.
    """

    token: int
    patch: Patch


class ItemsRelay(msgspec.Struct, frozen=True, tag="items-relay"):
    """Relays to the leader a request to read the items."""

    token: int


class RelayReply(msgspec.Struct, frozen=True, tag="relay-answer"):
    """The leader's reply to a relayed request.

    Attributes:
        token: Token of the request at the host that relayed it.
        report: Response to a report, if the request was a report.
        result: Result of a patch, if the request was a patch.
        items: The items, if the request was for the items.
    """

    token: int
    report: ReportResponse | None = None
    result: PatchResult | None = msgspec.field(default=None, name="verdict")
    items: Items | None = None

    @property
    def value(self):
        """The requested value, or ``None`` if the leader could not process the request."""
        return self.report or self.result or self.items
