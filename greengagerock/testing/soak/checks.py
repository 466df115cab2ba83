"""Checks of the guarantees that a soak must not violate, as pure functions over its history."""

from collections import defaultdict

# Time after the acknowledgement of a drain from which the endpoint gets no new requests.
DRAIN_LIMIT_S = 2.0
# Tolerance for times that the threads of the soak record late on a busy machine.
RECORDING_DELAY_S = 0.25


def find_violations(history):
    """Return a line for each violation of a guarantee.

    Args:
        history: The ``History``.

    Examples:
        >>> from greengagerock.testing.soak.history import Attempt, History, Run
        >>> history = History()
        >>> history.add(Attempt("r1", "charge", "POST /c", b"", 0.0, 0.1, 503, "not-run"))
        >>> history.add(Run("r1", "e1", "POST /c", b"", 0.05))
        >>> find_violations(history)
        ['r1 got 503 not-run and has run at e1']
    """
    runs_by_id = defaultdict(list)
    for run in history.runs:
        runs_by_id[run.request_id].append(run)
    violations = list(history.double_holders) + list(history.unexpected_ends)
    if history.recovery_failure:
        violations.append(history.recovery_failure)
    for attempt in history.attempts:
        violations += _check_attempt(attempt, runs_by_id[attempt.request_id])
    attempts_by_id = {attempt.request_id: attempt for attempt in history.attempts}
    for run in history.runs:
        violations += _check_run(run, attempts_by_id.get(run.request_id))
    violations += _check_changes(history)
    return violations


def _check_attempt(attempt, runs):
    request_id = attempt.request_id
    if attempt.kind == "charge" and len(runs) > 1:
        yield f"{request_id} may run once and ran at {', '.join(run.endpoint for run in runs)}"
    if attempt.outcome == "not-run" and runs:
        yield f"{request_id} got {attempt.status} not-run and has run at {runs[0].endpoint}"
    if attempt.status == 200 and attempt.whole:
        method_and_path = f" ran {attempt.target}\n".encode()
        if method_and_path not in attempt.content:
            yield f"{request_id} got the response to another request: {attempt.content[:80]!r}"
        elif not attempt.content.endswith(attempt.body):
            yield f"{request_id} got a part of its response as if it were complete"
        elif not runs:
            yield f"{request_id} got status {attempt.status} but ran at no endpoint"
    if attempt.answered_id not in ("", request_id):
        yield f"{request_id} got a response that carries the id {attempt.answered_id}"


def _check_run(run, attempt):
    if run.drained_s is not None and run.at_s > run.drained_s + DRAIN_LIMIT_S + RECORDING_DELAY_S:
        late_s = round(run.at_s - run.drained_s, 2)
        yield f"{run.request_id} reached {run.endpoint} {late_s} s after its leave"
    if attempt is None:
        # The soak ended before the caller got a response.
        return
    if run.target != attempt.target or run.body != attempt.body:
        sizes = f"{len(run.body)} of {len(attempt.body)} bytes"
        yield f"{run.request_id} reached {run.endpoint} changed: {run.target}, {sizes}"


def _check_changes(history):
    for read in history.read_back:
        for change in history.acknowledged:
            is_earlier = change.at_s < read.asked_s
            if is_earlier and read.versions.get(change.name, 0) < change.version:
                read_version = read.versions.get(change.name, 0)
                yield (
                    f"{change.name} was read back as version {read_version} after"
                    f" {change.version} had been acknowledged"
                )
