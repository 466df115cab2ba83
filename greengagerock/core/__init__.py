"""Errors, clocks, timers, the timeline and the interface of the decision core."""

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
from greengagerock.core.timers import Timer, TimerService

__all__ = [
    "ERROR_KINDS",
    "OUTCOME_NOT_RUN",
    "OUTCOME_UNKNOWN",
    "ErrorKind",
    "GreengageError",
    "HybridClock",
    "StatementError",
    "StorageError",
    "Timer",
    "Timeline",
    "TimelineEvent",
    "TimelineFilter",
    "TimerService",
    "Timestamp",
    "merge_timelines",
]
