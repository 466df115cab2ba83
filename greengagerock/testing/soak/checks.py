"""The promises that a soak checks, as pure functions over its history."""

from collections import defaultdict

# An endpoint gets no new work so long after its leave was acknowledged.
DRAIN_S = 2.0
# Threads of the soak note times a little late on a busy machine.
NOTING_S = 0.25


def find_violations(history):
    """Return a line for each promise that was broken.

    Args:
        history: The ``History``.

    Examples:
        >>> from greengagerock.testing.soak.history import Attempt, History, Run
        >>> history = History()
        >>> history.note(Attempt("r1", "charge", "POST /c", b"", 0.0, 0.1, 503, "not-run"))
        >>> history.note(Run("r1", "e1", "POST /c", b"", 0.05))
        >>> find_violations(history)
        ['r1 was answered 503 not-run and has run at e1']
    """
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    found = list(history.double_holders) + list(history.unexpected_ends)
    if history.not_recovered:
        found.append(history.not_recovered)
    for attempt in history.attempts:
        found += _check_attempt(attempt, runs[attempt.request_id])
    sent = {attempt.request_id: attempt for attempt in history.attempts}
    for run in history.runs:
        found += _check_run(run, sent.get(run.request_id))
    found += _check_changes(history)
    return found


def _check_attempt(attempt, runs):
    name = attempt.request_id
    if attempt.kind == "charge" and len(runs) > 1:
        yield f"{name} may run once and ran at {', '.join(run.endpoint for run in runs)}"
    if attempt.outcome == "not-run" and runs:
        yield f"{name} was answered {attempt.status} not-run and has run at {runs[0].endpoint}"
    if attempt.status == 200 and attempt.whole:
        method_and_path = f" ran {attempt.target}\n".encode()
        if method_and_path not in attempt.content:
            yield f"{name} got the answer to another request: {attempt.content[:80]!r}"
        elif not attempt.content.endswith(attempt.body):
            yield f"{name} got a part of its answer as if it were whole"
        elif not runs:
            yield f"{name} got a success that no endpoint made"
    if attempt.answered_id not in ("", name):
        yield f"{name} got an answer that carries the id {attempt.answered_id}"


def _check_run(run, attempt):
    if run.drained_s is not None and run.at_s > run.drained_s + DRAIN_S + NOTING_S:
        late_s = round(run.at_s - run.drained_s, 2)
        yield f"{run.request_id} reached {run.endpoint} {late_s} s after its leave"
    if attempt is None:
        # Its caller was still waiting when the soak ended.
        return
    if run.target != attempt.target or run.body != attempt.body:
        yield f"{run.request_id} reached {run.endpoint} changed: {run.target}"


def _check_changes(history):
    for read in history.read_back:
        for change in history.acknowledged:
            is_earlier = change.at_s < read.asked_s
            if is_earlier and read.versions.get(change.name, 0) < change.version:
                shown = read.versions.get(change.name, 0)
                yield (
                    f"{change.name} was read back as version {shown} after"
                    f" {change.version} had been acknowledged"
                )
