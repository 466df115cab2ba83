"""Errors, time, the time line and the seam between decisions and I/O."""

from greengagerock.core.errors import (
    ERROR_KINDS,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    ErrorKind,
    GreengageError,
    StatementError,
    StorageError,
)
from greengagerock.core.hlc import HybridClock, Timestamp
from greengagerock.core.timeline import (
    Timeline,
    TimelineEvent,
    TimelineFilter,
    merge_timelines,
)
from greengagerock.core.timers import Subscription, TimerService

__all__ = [
    "ERROR_KINDS",
    "OUTCOME_NOT_RUN",
    "OUTCOME_UNKNOWN",
    "ErrorKind",
    "GreengageError",
    "HybridClock",
    "StatementError",
    "StorageError",
    "Subscription",
    "Timeline",
    "TimelineEvent",
    "TimelineFilter",
    "TimerService",
    "Timestamp",
    "merge_timelines",
]
