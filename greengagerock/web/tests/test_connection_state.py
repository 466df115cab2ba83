"""How connections end, as the operating system reports it."""

import contextlib
import errno
import select
import socket

import pytest

from greengagerock.testing.raw_endpoint import reset
from greengagerock.web.connection_state import ConnectionEnd, ConnectionState, ObservedSocketIO

TIMEOUT_S = 5.0


@pytest.fixture
def pair():
    """Return the state of a connection, and the socket of its other side."""
    with socket.create_server(("127.37.0.44", 0)) as listener:
        sock = socket.create_connection(listener.getsockname(), TIMEOUT_S)
        peer, _ = listener.accept()
    with sock, peer:
        yield ConnectionState(sock), peer


def wait_for_reset(sock):
    """Wait until a connection has been reset, without taking the report."""
    poll = select.poll()
    poll.register(sock, select.POLLHUP)
    assert poll.poll(TIMEOUT_S * 1000)


def write(state):
    """Write to a connection; keep the error as the connection of an endpoint does."""
    try:
        state.sock.sendall(b"x")
    except OSError as error:
        state.note_write_error(error)


def read_to_end(state):
    """Return all bytes of a connection.

    Raises:
        OSError: If they are not followed by the end of the stream.
    """
    received, buffer = b"", bytearray(100)
    with ObservedSocketIO(state) as file:
        while count := file.readinto(buffer):
            received += buffer[:count]
    return received


def test_ended_stream(pair):
    state, peer = pair
    peer.sendall(b"part")
    peer.shutdown(socket.SHUT_WR)
    assert read_to_end(state) == b"part"
    assert state.end() is ConnectionEnd.ENDED


@pytest.mark.parametrize("is_written", [False, True])
def test_stream_that_is_ended_before_a_reset(pair, is_written):
    """A write that fails takes the report of the reset, which says that the end came first."""
    state, peer = pair
    peer.sendall(b"part")
    peer.shutdown(socket.SHUT_WR)
    state.sock.sendall(b"unread")
    reset(peer)
    wait_for_reset(state.sock)
    if is_written:
        write(state)
        assert isinstance(state.write_error, BrokenPipeError)
    assert read_to_end(state) == b"part"


@pytest.mark.parametrize("taken_by", ["read", "write", "two writes", "option"])
def test_reset_connection(pair, taken_by):
    """Whoever takes the report of the reset, the read that follows does not return an end."""
    state, peer = pair
    peer.sendall(b"part")
    reset(peer)
    wait_for_reset(state.sock)
    match taken_by:
        case "write":
            write(state)
        case "two writes":
            write(state)
            write(state)
        case "option":
            assert state.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNRESET
    with pytest.raises(ConnectionResetError):
        read_to_end(state)


@pytest.mark.parametrize("is_writing", [False, True])
def test_connection_that_this_host_shuts_down(pair, is_writing):
    state, peer = pair
    peer.sendall(b"part")
    state.shut_down()
    if is_writing:
        write(state)
        assert isinstance(state.write_error, BrokenPipeError)
    peer.close()
    with pytest.raises(ConnectionAbortedError):
        read_to_end(state)


def test_data_that_is_not_acknowledged(pair):
    state, peer = pair
    state.note_write_error(TimeoutError(errno.ETIMEDOUT, "timed out"))
    peer.close()
    with pytest.raises(TimeoutError):
        read_to_end(state)


def test_pause_of_a_write_is_not_the_end_of_a_connection(pair):
    state, peer = pair
    state.sock.settimeout(0.05)
    with contextlib.suppress(TimeoutError):
        while True:
            state.sock.sendall(bytes(65_536))
    state.note_write_error(TimeoutError("timed out"))
    peer.sendall(b"whole")
    peer.shutdown(socket.SHUT_WR)
    assert read_to_end(state) == b"whole"


def test_socket_without_a_state_of_the_protocol():
    sock, peer = socket.socketpair()
    with sock, peer:
        state = ConnectionState(sock)
        peer.sendall(b"whole")
        peer.close()
        assert read_to_end(state) == b"whole"
