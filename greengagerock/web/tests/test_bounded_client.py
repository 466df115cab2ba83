"""The command line and the agent end responses that have no end."""

import time

import pytest
from urllib3.exceptions import HTTPError

from greengagerock.agent.announcer import RETRY_INTERVAL_S, Announcer
from greengagerock.cli.client import OperatorClient
from greengagerock.core import GreengageError
from greengagerock.testing.raw_endpoint import RawEndpoint, end_then_close_after, reset_after
from greengagerock.web.bounded_client import BoundedClient

MAX_BYTES = 100_000
TIMEOUT_S = 1.0
END_S = 6.0
INTERVAL_S = 0.05

ENDLESS = {
    "body with a length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n",
        b"a" * 4096,
    ),
    "body until close": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 4096),
    "chunks": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nhello\r\n" * 400),
    "chunk size": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1" * 4096),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"a: b\r\n" * 400,
    ),
    "status line": (b"HTTP/1.1 200 ", b"a" * 4096),
    "header line": (b"HTTP/1.1 200 OK\r\nA: ", b"a" * 4096),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 400),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
}


def write_without_end(data, pause_s):
    """Return a callable that writes ``data`` again and again to a socket."""

    def write(connection):
        while True:
            connection.sendall(data)
            time.sleep(pause_s)

    return write


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("is_slow", [False, True])
def test_response_without_end_is_given_up(kind, is_slow):
    start, repeated = ENDLESS[kind]
    write = write_without_end(repeated[:1] if is_slow else repeated, INTERVAL_S * is_slow)
    with RawEndpoint("127.47.0.2", start, write) as endpoint:
        client = BoundedClient(TIMEOUT_S, MAX_BYTES)
        began_s = time.monotonic()
        with pytest.raises(HTTPError):
            client.request("GET", f"http://{endpoint.address}/")
        assert time.monotonic() - began_s < END_S


def test_whole_responses_are_read_and_connections_kept():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    with RawEndpoint("127.47.0.2", response) as endpoint:
        client = BoundedClient(TIMEOUT_S, MAX_BYTES)
        for _ in range(3):
            assert client.request("GET", f"http://{endpoint.address}/") == (200, b"ok")
        assert endpoint.accepted_count == 1


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_response_that_is_reset_while_a_long_body_is_sent_is_not_whole(delay_s):
    start = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 3000
    with RawEndpoint("127.47.0.2", start, reset_after(delay_s)) as endpoint:
        client = BoundedClient(TIMEOUT_S, MAX_BYTES)
        with pytest.raises(HTTPError):
            client.request("POST", f"http://{endpoint.address}/", body=bytes(8_000_000))


def test_response_that_is_ended_while_a_long_body_is_sent_is_whole():
    start = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"
    with RawEndpoint("127.47.0.2", start, end_then_close_after(0.05)) as endpoint:
        client = BoundedClient(TIMEOUT_S, MAX_BYTES)
        url = f"http://{endpoint.address}/"
        assert client.request("POST", url, body=bytes(8_000_000)) == (200, b"ok")


def test_command_line_reports_a_response_without_end(monkeypatch):
    monkeypatch.setattr("greengagerock.cli.client.MAX_RESPONSE_BYTES", MAX_BYTES)
    start, repeated = ENDLESS["chunks"]
    write = write_without_end(repeated, 0)
    with (
        RawEndpoint("127.47.0.2", start, write) as endpoint,
        pytest.raises(GreengageError, match="longer than"),
    ):
        OperatorClient(endpoint.address).status()


@pytest.mark.parametrize("kind", ["chunks", "header line"])
def test_agent_gives_up_a_reply_without_end(kind):
    start, repeated = ENDLESS[kind]
    write = write_without_end(repeated[:1], INTERVAL_S)
    with RawEndpoint("127.47.0.2", start, write) as endpoint:
        announcer = Announcer([endpoint.address], dict, lambda reply, sent_s: False)
        began_s = time.monotonic()
        assert announcer.announce_once() == RETRY_INTERVAL_S
        assert time.monotonic() - began_s < END_S
