"""Selection of the log lines that explain a request."""

import pytest

from greengagerock.cli.explain import explain_request, read_log_line
from greengagerock.core import GreengageError

LOG_TEXT = """\
time=10:00:01.000 event=endpoint-leaving host=core-1 endpoint=i-1
time=10:00:01.500 event=endpoint-joined host=core-1 endpoint=i-9
time=10:00:02.000 event=attempt-failed host=edge-1 request_id=r1 endpoint=i-1 reason=connect
time=10:00:02.010 event=request-failed host=edge-1 request_id=r1 code=connect-failed tried=i-1
time=10:00:02.020 event=request-failed host=edge-2 request_id=r2 code=no-room
time=09:59:00.000 event=leader-lost host=edge-1 leader=10.0.0.1:7000
"""


def test_selects_lines_of_request_and_state_changes_of_its_endpoint():
    lines = [read_log_line(text) for text in LOG_TEXT.splitlines()]
    request_lines, context_lines = explain_request("r1", lines)
    assert [line.event for line in request_lines] == ["attempt-failed", "request-failed"]
    assert [line.event for line in context_lines] == ["endpoint-leaving"]


def test_load_that_was_believed_of_an_endpoint_is_shown():
    """Without it nobody can say later why a call of one kind was refused."""
    belief = "running 2, waiting 9, sent since 1, 2 slots, 160 ms of work, 340 ms ago"
    texts = (
        f'time=10:00:01.000 event=call-waits host=edge-1 request_id=r1 detail="{belief}"',
        "time=10:00:02.000 event=bad-load host=edge-1 endpoint=i-1 detail=-1,0,2",
        f'time=10:00:02.100 event=request-failed host=edge-1 request_id=r1 detail="{belief}"',
    )
    lines = [read_log_line(text) for text in texts]
    request_lines, context_lines = explain_request("r1", lines)
    assert [line.fields["detail"] for line in request_lines] == [belief, belief]
    assert [line.event for line in context_lines] == ["bad-load"]


def test_cold_endpoint_that_the_router_knew_of_explains_a_refusal():
    text = """\
time=10:00:01.000 event=endpoint-cold host=edge-1 endpoint=i-3 left_ms=2900 per_s=3.5
time=10:00:01.900 event=request-failed host=edge-1 request_id=r1 code=endpoint-cold tried=
"""
    lines = [read_log_line(line) for line in text.splitlines()]
    _, context_lines = explain_request("r1", lines)
    assert [line.event for line in context_lines] == ["endpoint-cold"]


def test_unknown_request_is_an_error():
    with pytest.raises(GreengageError):
        explain_request("r9", [])
