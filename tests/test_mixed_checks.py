"""Tests that the checks of an upgrade find each kind of fault; no processes."""

from collections import Counter
from types import SimpleNamespace

import pytest

from greengagerock.testing.mixed_checks import find_upgrade_violations, summarize
from greengagerock.testing.ready_callers import PauseRecorder
from greengagerock.testing.soak.history import AcknowledgedChange, Attempt, History, ReadBack, Run


def build_upgrade():
    """Return an upgrade without faults: 100 requests, a change and two refused orders."""
    history = History()
    for number in range(100):
        request_id, target = f"r{number}", f"POST /charge/r{number}"
        content = f"till-1 ran {target}\n".encode()
        history.add(Run(request_id, "till-1", target, b"", 1.0))
        history.add(
            Attempt(
                request_id, "charge", target, b"", 1.0, 1.1, 200, "", content, True, request_id
            )
        )
    history.add(AcknowledgedChange("extra-1", 2, 1.0))
    history.add(ReadBack(2.0, {"extra-1": 2}))
    return SimpleNamespace(
        site=SimpleNamespace(history=history),
        routers=SimpleNamespace(refused_connections=0),
        pauses=PauseRecorder(),
        failures=[],
        early_orders=Counter({("not-ready", "new"): 1, ("no-leader", "old"): 1}),
        acceptance_s=0.1,
        late_runs=0,
        election_count=3,
        leaders={("old", True), ("new", True)},
    )


def add_attempt(upgrade, status, outcome, whole):
    """Add a request that got this response and did not run."""
    upgrade.site.history.add(
        Attempt("r-x", "prices", "GET /prices/r-x", b"", 1.0, 1.1, status, outcome, b"", whole)
    )


def refuse_many(upgrade):
    """Add refused requests, more than the bound allows."""
    for number in range(10):
        upgrade.site.history.add(
            Attempt(f"n{number}", "charge", "", b"", 1.0, 1.1, 503, "not-run", b"", True)
        )


FAULTS = {
    "no complete response": lambda u: add_attempt(u, 200, "", False),
    "got 502 unknown": lambda u: add_attempt(u, 502, "unknown", True),
    "were refused as not run": refuse_many,
    "may run once and ran at": lambda u: u.site.history.add(
        Run("r1", "till-2", "POST /charge/r1", b"", 1.2)
    ),
    "was read back as version": lambda u: u.site.history.add(ReadBack(3.0, {"extra-1": 1})),
    "held it until": lambda u: u.site.history.double_holders.append("a held it until b"),
    "got accepted": lambda u: u.early_orders.update({("", "new"): 1}),
    "got no-leader": lambda u: u.early_orders.update({("no-leader", "new"): 1}),
    "refused with not-ready": lambda u: u.early_orders.pop(("not-ready", "new")),
    "after the last replacement": lambda u: setattr(u, "acceptance_s", 2.5),
    "after the bound": lambda u: setattr(u, "late_runs", 1),
    "old build never led": lambda u: u.leaders.discard(("old", True)),
    "exit code": lambda u: u.failures.append("edge-1 ended with exit code 1"),
}


def test_upgrade_without_faults_has_no_violations():
    upgrade = build_upgrade()
    assert find_upgrade_violations(upgrade) == []
    assert summarize(upgrade, []).startswith("100 requests, 100 served")


@pytest.mark.parametrize("text", FAULTS)
def test_each_fault_is_found(text):
    """Guards against an upgrade that passes although it lost requests, changes or holds."""
    upgrade = build_upgrade()
    FAULTS[text](upgrade)
    violations = find_upgrade_violations(upgrade)
    assert len(violations) == 1 and text in violations[0]
