"""Grants of keys to endpoints, renewed in the responses to their reports."""

from greengagerock.assignment.instance_directory import (
    Admission,
    EndpointInstance,
    InstanceDirectory,
)
from greengagerock.assignment.key_assignments import KeyAssignments
from greengagerock.assignment.reports import (
    EndpointLeaving,
    EndpointReport,
    FreedRange,
    GrantRow,
    HeldRange,
    ReportResponse,
)

__all__ = [
    "Admission",
    "InstanceDirectory",
    "EndpointLeaving",
    "EndpointReport",
    "FreedRange",
    "GrantRow",
    "HeldRange",
    "KeyAssignments",
    "EndpointInstance",
    "ReportResponse",
]
