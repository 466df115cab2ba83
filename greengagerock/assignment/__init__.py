"""Grants of keys to endpoints, renewed in the responses to their reports."""

from greengagerock.assignment.instance_directory import Admission, Directory, EndpointInstance
from greengagerock.assignment.key_assignments import Ledger
from greengagerock.assignment.reports import (
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
