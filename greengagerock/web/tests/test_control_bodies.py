"""Bodies of endpoints' and operators' calls end in size, and few long ones are kept at once."""

import io
from types import SimpleNamespace

import pytest

from greengagerock.testing.control_calls import post_body
from greengagerock.testing.endless_bytes import EndlessFile
from greengagerock.web.bounded_input import BoundedChunks
from greengagerock.web.control_application import (
    MAX_BODY_BYTES,
    MAX_LONG_BODIES,
    MAX_SHORT_BODY_BYTES,
    ControlApplication,
)
from greengagerock.web.json_bodies import MAX_BODY_BYTES as JSON_BODY_BYTES
from greengagerock.web.json_bodies import read_json

REPORT = "/endpoints/e1/report"
PATCH = "/items"


@pytest.mark.parametrize(
    ("path", "limit", "repeated"),
    [
        (REPORT, MAX_SHORT_BODY_BYTES, b"5\r\nhello\r\n"),
        (REPORT, MAX_SHORT_BODY_BYTES, b"1"),
        (PATCH, MAX_BODY_BYTES, b"1"),
        (PATCH, MAX_BODY_BYTES, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    ],
)
def test_chunked_body_without_end_is_refused(path, limit, repeated):
    file = EndlessFile(b"", repeated)
    status, is_closed = post_body(path, BoundedChunks(file, 1 << 40), None)
    assert status.split()[0] in ("400", "413")
    assert is_closed
    assert file.read_bytes <= 4 * limit


@pytest.mark.parametrize("path", [REPORT, PATCH])
def test_body_with_too_large_a_length_is_refused_unread(path):
    file = EndlessFile(b"", b"a")
    status, is_closed = post_body(path, file, str(1 << 40))
    assert (status.split()[0], is_closed, file.read_bytes) == ("413", True, 0)


def test_report_may_not_be_as_long_as_a_patch():
    status, _ = post_body(REPORT, io.BytesIO(b" " * MAX_BODY_BYTES), str(MAX_BODY_BYTES))
    assert status.split()[0] == "413"


def test_few_long_bodies_are_read_at_once_and_operators_come_back():
    statuses = []

    class Body(io.BytesIO):
        """A body during whose reading another call comes."""

        def __init__(self, depth):
            super().__init__(b"nonsense " * (MAX_SHORT_BODY_BYTES // 8))
            self.depth = depth

        def read(self, *size):
            if self.depth <= MAX_LONG_BODIES:
                length = str(len(self.getvalue()))
                status, _ = post_body(PATCH, Body(self.depth + 1), length, application)
                statuses.append(status)
            return super().read(*size)

    application = ControlApplication(None, lambda event, **fields: None)
    body = Body(1)
    statuses.append(post_body(PATCH, body, str(len(body.getvalue())), application)[0])
    codes = [status.split()[0] for status in statuses]
    assert codes.count("503") == 1
    assert codes.count("400") == MAX_LONG_BODIES
    assert application.long_bodies.acquire(blocking=False)


def test_json_body_without_end_is_refused(monkeypatch):
    """The limit of the server is that of bodies that are passed on, up to a gigabyte."""
    file = EndlessFile(b"", b"[1, ")
    request = SimpleNamespace(body=file)
    monkeypatch.setattr("greengagerock.web.json_bodies.cherrypy.request", request)
    message, error = read_json(dict)
    assert message is None
    assert "longer than" in error
    assert file.read_bytes <= JSON_BODY_BYTES + 1
