"""Which endpoint holds which keys, granted in the answers to endpoints' reports."""

from greengagerock.holdings.directory import Admission, Directory, Life
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
    "Life",
    "ReportAnswer",
]
