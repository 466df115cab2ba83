"""What clients send ends in size and in time, whatever they send."""

import socket
import time

import pytest

from greengagerock.settings.schema import LimitSettings
from greengagerock.testing.endless_bytes import DrippingClient, EndlessFile
from greengagerock.web.bounded_input import (
    MAX_LINE_BYTES,
    MAX_TRAILER_BYTES,
    PIECE_BYTES,
    BoundedChunks,
)
from greengagerock.web.server import HttpServer
from greengagerock.web.upstream import StreamedBody, skip_trailers

ADDRESS = ("127.37.0.11", 8612)
THREADS = 4
READ_LIMIT_S = 1.0
# Within this time a connection has ended that would be read for ``READ_LIMIT_S``.
END_S = 5.0
MAX_BODY_BYTES = 1024 * 1024 * 1024

HEAD = b"POST /body HTTP/1.1\r\nHost: a\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def server():
    """Start a server that reads bodies as a router does, and responds with two bytes."""

    def respond(environ, start_response):
        if environ["wsgi.input_terminated"] or environ.get("CONTENT_LENGTH"):
            for _ in StreamedBody(environ["wsgi.input"]):
                pass
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    limits = LimitSettings(idle_connection_s=READ_LIMIT_S)
    http_server = HttpServer(*ADDRESS, respond, limits, THREADS, lambda event, **fields: None)
    http_server.start()
    yield http_server
    http_server.stop()


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"", b"1"),
        (b"5;name=", b"a"),
        (b"5\r\nhello\r\n", b"f"),
        (b"", b" "),
        (b"", b"\xff"),
    ],
)
def test_line_without_end_in_a_chunked_body_is_not_kept(start, repeated):
    """The library read such a line into memory until the client closed."""
    file = EndlessFile(start, repeated)
    chunks = BoundedChunks(file, MAX_BODY_BYTES)
    with pytest.raises(ValueError, match=r"line|size"):
        while chunks.read(PIECE_BYTES):
            pass
    assert file.read_bytes <= len(start) + 2 * MAX_LINE_BYTES


def test_long_chunk_is_read_in_pieces():
    """The library read a whole chunk, which may be as long as the limit of bodies, into memory."""
    file = EndlessFile(b"3000000\r\n", b"a")
    chunks = BoundedChunks(file, MAX_BODY_BYTES)
    for _ in range(100):
        assert len(chunks.read(PIECE_BYTES)) == PIECE_BYTES
    assert file.largest_read <= PIECE_BYTES
    assert len(chunks.buffer) <= PIECE_BYTES


@pytest.mark.parametrize(("start", "repeated"), [(b"", b"a: b\r\n"), (b"", b"a"), (b"a: ", b"b")])
def test_trailers_without_end_are_not_read(start, repeated):
    file = EndlessFile(b"0\r\n" + start, repeated)
    chunks = BoundedChunks(file, MAX_BODY_BYTES)
    assert chunks.read(PIECE_BYTES) == b""
    with pytest.raises(ValueError, match="longer than"):
        skip_trailers(chunks)
    assert file.read_bytes <= MAX_TRAILER_BYTES + 2 * MAX_LINE_BYTES


def test_chunks_without_end_stop_at_the_limit_of_bodies():
    file = EndlessFile(b"", b"5\r\nhello\r\n")
    chunks = BoundedChunks(file, 1000)
    with pytest.raises(OSError, match="Too Large"):
        while chunks.read(PIECE_BYTES):
            pass


@pytest.mark.parametrize("size", [b"-5", b"+5", b"0x5", b"5_0", b"", b" ", b"g"])
def test_chunk_sizes_that_servers_read_differently_are_refused(size):
    chunks = BoundedChunks(EndlessFile(size + b"\r\n", b"a"), MAX_BODY_BYTES)
    with pytest.raises(ValueError, match="hexadecimal"):
        chunks.read(1)


def test_chunks_are_read_whole_whatever_their_sizes():
    sizes = [1, 2, 3, PIECE_BYTES - 1, PIECE_BYTES, PIECE_BYTES + 1, 3 * PIECE_BYTES, 7]
    body = b"".join(b"%x;a=b\r\n" % size + b"x" * size + b"\r\n" for size in sizes)
    chunks = BoundedChunks(EndlessFile(body + b"0\r\nA: b\r\n\r\n", b"next"), MAX_BODY_BYTES)
    received = 0
    while data := chunks.read(PIECE_BYTES):
        received += len(data)
    assert received == sum(sizes)
    assert list(chunks.read_trailer_lines()) == [b"A: b\r\n"]
    assert chunks.rfile.read(4) == b"next"


@pytest.mark.parametrize(
    ("start", "dripped"),
    [
        (b"", b"GET / HTTP/1.1\r\nX: " + 1000 * b"a"),
        (b"GET /", b"a"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX-A: ", b"a"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", b"A: b\r\n"),
        (HEAD + b"Content-Length: 1000\r\n\r\n", b"a"),
        (HEAD + b"Content-Length: 1000000000\r\n\r\n" + 1000 * b"a", b"a"),
        (CHUNKED_HEAD, b"1"),
        (CHUNKED_HEAD, b"1\r\na\r\n"),
        (CHUNKED_HEAD + b"1000\r\n", b"a"),
        (CHUNKED_HEAD + b"0\r\n", b"A: b\r\n"),
    ],
)
def test_bytes_that_come_one_by_one_end_within_the_time_of_a_request(server, start, dripped):
    """Each byte gave the client the whole time again, so each held a thread without end."""
    with DrippingClient(ADDRESS, start, dripped) as client:
        began_s = time.monotonic()
        client.wait_for_end(END_S)
        assert time.monotonic() - began_s < END_S


def test_other_callers_are_served_while_many_clients_drip(server):
    clients = [DrippingClient(ADDRESS, CHUNKED_HEAD, b"1\r\na\r\n") for _ in range(4 * THREADS)]
    try:
        sock = socket.create_connection(ADDRESS, timeout=2 * 4 * END_S)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        received = b""
        while data := sock.recv(1000):
            received += data
        assert received.endswith(b"ok")
    finally:
        for client in clients:
            client.__exit__()


def test_body_that_comes_in_time_is_read_whole(server):
    with DrippingClient(ADDRESS, CHUNKED_HEAD + b"3\r\n", b"abc\r\n0\r\n\r\n", 0.02) as client:
        assert b"200 OK" in client.sock.recv(1000)
