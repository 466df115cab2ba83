"""Checks of an upgrade from one build to another, over what callers and endpoints observed."""

import json
from collections import Counter

from greengagerock.testing.soak.checks import find_violations

# Bound for the acceptance of an evacuation order after the last old process was replaced.
ACCEPTANCE_LIMIT_S = 2.0
# Share of all requests that may be refused as not run. Each change of leader leaves released keys
# without a holder until earlier holds have run out.
MAX_REFUSED_SHARE = 0.05
# Codes with which an order is refused while an old build takes part. An old leader cannot read
# the relayed order, so the controller that received it finds no leader. If the leader changed, its
# build at the time of the response is unknown.
REFUSALS = {
    "new": {"not-ready"},
    "old": {"no-leader"},
    "changed": {"no-leader", "not-ready"},
}


def find_upgrade_violations(upgrade):
    """Return a line for each violation.

    Args:
        upgrade: The ended ``Upgrade``.
    """
    history = upgrade.site.history
    violations = list(upgrade.failures) + find_violations(history)
    violations += _check_attempts(history, upgrade.pauses)
    violations += _check_evacuations(upgrade)
    for build in ("old", "new"):
        if (build, True) not in upgrade.leaders:
            violations.append(f"the {build} build never led while the other one took part")
    if not history.acknowledged:
        violations.append("no change was acknowledged")
    return violations


def _check_attempts(history, pauses):
    attempts = history.attempts
    run_by_id = {run.request_id: run for run in history.runs}
    for attempt in attempts:
        if (attempt.status == 200 and attempt.whole) or (
            attempt.whole and attempt.outcome == "not-run"
        ):
            continue
        run = run_by_id.get(attempt.request_id)
        reached = "reached no endpoint"
        if run is not None:
            reached = f"reached {run.endpoint} after {run.at_s - attempt.sent_s:.2f} s"
        pause_s = pauses.longest_s(attempt.sent_s, attempt.ended_s)
        got = f"got {attempt.status} {attempt.outcome}"
        if not attempt.whole:
            got = f"got no complete response (status {attempt.status})"
        yield (
            f"{attempt.request_id} {got} after {attempt.ended_s - attempt.sent_s:.2f} s,"
            f" {reached}; callers and endpoints paused for {pause_s:.2f} s meanwhile"
        )
    refused_count = sum(attempt.outcome == "not-run" for attempt in attempts)
    if refused_count > MAX_REFUSED_SHARE * len(attempts):
        yield f"{refused_count} of {len(attempts)} requests were refused as not run"


def _check_evacuations(upgrade):
    for (code, leader_build), count in upgrade.early_orders.items():
        if code not in REFUSALS[leader_build]:
            yield (
                f"{count} orders under a leader of the {leader_build} build got"
                f" {code or 'accepted'} while an old build took part"
            )
    if not any(code == "not-ready" for code, _ in upgrade.early_orders):
        yield "no order was refused with not-ready"
    if upgrade.acceptance_s is None or upgrade.acceptance_s > ACCEPTANCE_LIMIT_S:
        yield f"an order was accepted {upgrade.acceptance_s} s after the last replacement"
    if upgrade.late_runs:
        yield f"{upgrade.late_runs} requests reached the evacuated zone after the bound"


def _code_of(attempt):
    """Return the error code in the body of a refusal."""
    return json.loads(attempt.content).get("code", "") if attempt.content else ""


def summarize(upgrade, violations):
    """Return a line with the counts of an upgrade and its violations."""
    history = upgrade.site.history
    refused = Counter(_code_of(a) for a in history.attempts if a.outcome == "not-run")
    orders = ", ".join(
        f"{count} {code or 'accepted'} ({build} leader)"
        for (code, build), count in sorted(upgrade.early_orders.items())
    )
    acceptance = "none" if upgrade.acceptance_s is None else f"{upgrade.acceptance_s:.2f} s"
    return (
        f"{len(history.attempts)} requests, {history.served()} served, refused {dict(refused)},"
        f" {upgrade.routers.refused_connections} connections refused,"
        f" {len(history.acknowledged)} changes, {upgrade.election_count} elections; early orders:"
        f" {orders}; accepted after {acceptance}; longest pause of callers and endpoints"
        f" {upgrade.pauses.longest_s():.2f} s; {len(violations)} violations"
    )
