"""From a request's id to its cause."""

import pytest

from greengagerock.cli.explain import explain_request, read_log_line
from greengagerock.core import GreengageError

LOG = """\
time=10:00:01.000 event=endpoint-leaving host=core-1 endpoint=i-1
time=10:00:01.500 event=endpoint-joined host=core-1 endpoint=i-9
time=10:00:02.000 event=attempt-failed host=edge-1 request_id=r1 endpoint=i-1 reason=connect
time=10:00:02.010 event=request-failed host=edge-1 request_id=r1 code=connect-failed tried=i-1
time=10:00:02.020 event=request-failed host=edge-2 request_id=r2 code=no-room
time=09:59:00.000 event=leader-lost host=edge-1 leader=10.0.0.1:7000
"""


def test_lines_of_the_request_and_of_its_endpoint():
    lines = [read_log_line(text) for text in LOG.splitlines()]
    own, context = explain_request("r1", lines)
    assert [line.event for line in own] == ["attempt-failed", "request-failed"]
    assert [line.event for line in context] == ["endpoint-leaving"]


def test_unknown_request():
    with pytest.raises(GreengageError):
        explain_request("r9", [])
