"""Choice of owners for units, which trades even load against few moves."""

from greengagerock.placement.unit_counts import (
    CAUSE_BALANCE,
    CAUSE_DRAIN,
    CAUSE_FIRST,
    CAUSE_LOST,
    CAUSE_UNPIN,
    Move,
    plan_moves,
)

__all__ = [
    "CAUSE_BALANCE",
    "CAUSE_DRAIN",
    "CAUSE_FIRST",
    "CAUSE_LOST",
    "CAUSE_UNPIN",
    "Move",
    "plan_moves",
]
