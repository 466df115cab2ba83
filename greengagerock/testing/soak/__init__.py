"""Randomized soak test: real processes, faults injected from outside, guarantees checked."""

from greengagerock.testing.soak.checks import find_violations
from greengagerock.testing.soak.faults import plan_faults
from greengagerock.testing.soak.history import History
from greengagerock.testing.soak.site import SoakSite

__all__ = ["History", "SoakSite", "find_violations", "plan_faults"]
