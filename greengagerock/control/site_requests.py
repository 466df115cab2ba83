"""Messages by which a controller passes requests on to the leader."""

import msgspec

from greengagerock.holdings import EndpointLeaving, EndpointReport, ReportAnswer
from greengagerock.items import Items, Patch, PatchVerdict


class ReportRelay(msgspec.Struct, frozen=True, tag="report-relay"):
    """An endpoint's report, or its last word, on its way to the leader."""

    token: int
    report: EndpointReport | EndpointLeaving


class PatchRelay(msgspec.Struct, frozen=True, tag="patch-relay"):
    """An operator's patch on its way to the leader."""

    token: int
    patch: Patch


class ItemsRelay(msgspec.Struct, frozen=True, tag="items-relay"):
    """A wish to read the items, on its way to the leader."""

    token: int


class RelayAnswer(msgspec.Struct, frozen=True, tag="relay-answer"):
    """The leader's answer.

    Attributes:
        token: Token of the request at the host that relayed it.
        report: Answer to a report, if it was one.
        verdict: Verdict on a patch, if it was one.
        items: The items, if they were asked for.
    """

    token: int
    report: ReportAnswer | None = None
    verdict: PatchVerdict | None = None
    items: Items | None = None

    @property
    def value(self):
        """What was asked for, or ``None`` if the leader could not answer."""
        return self.report or self.verdict or self.items
