"""Grants of keys to endpoints, renewed in the responses to their reports."""

from greengagerock.holdings.directory import Admission, Directory, EndpointInstance
from greengagerock.holdings.ledger import Ledger
from greengagerock.holdings.report import (
    EndpointLeaving,
    EndpointReport,
    FreedRange,
    GrantRow,
    HeldRange,
    ReportAnswer,
)

__all__ = [
    "Admission",
    "Directory",
    "EndpointLeaving",
    "EndpointReport",
    "FreedRange",
    "GrantRow",
    "HeldRange",
    "Ledger",
    "EndpointInstance",
    "ReportAnswer",
]
