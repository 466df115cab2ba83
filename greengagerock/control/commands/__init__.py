"""Commands of the replicated state machine."""

from greengagerock.control.commands.actions import (
    Action,
    AlterService,
    CreateService,
    DrainEndpoint,
    DropService,
    PinKey,
    ReplaceVoter,
    ResumeEndpoint,
    UnpinKey,
)
from greengagerock.control.commands.entries import (
    Assignment,
    Command,
    EndpointForgotten,
    EndpointReported,
    GrantUnits,
    HostForgotten,
    HostRecord,
    HostReported,
    KeeperAppointed,
    OperatorChange,
    RevokeUnits,
)

__all__ = [
    "Action",
    "AlterService",
    "Assignment",
    "Command",
    "CreateService",
    "DrainEndpoint",
    "DropService",
    "EndpointForgotten",
    "EndpointReported",
    "GrantUnits",
    "HostForgotten",
    "HostRecord",
    "HostReported",
    "KeeperAppointed",
    "OperatorChange",
    "PinKey",
    "ReplaceVoter",
    "ResumeEndpoint",
    "RevokeUnits",
    "UnpinKey",
]
