"""The bound on how long a client may leave the bytes of a response unread.

It answers clients that read nothing, each of which holds a worker thread. It is independent of the
times that clients have for sending, and a client that reads slowly does not reach it.
"""

import _pyio
import fcntl
import functools
import select
import socket
import struct
import termios
import time

from cheroot.makefile import StreamWriter

from greengagerock.web.connection_limits import WRITE_STALL_S

# Interval at which a write that waits checks whether the client has taken bytes, in seconds.
WRITE_CHECK_S = 1.0
# Size of the send buffers of a server that stops, in bytes. They hold the rest of a response of
# usual length, which the operating system sends after the end of the process.
LAST_SEND_BUFFER_BYTES = 1024 * 1024

_INT = struct.Struct("i")


class PatientSocketIO(socket.SocketIO):
    """A socket's file whose writes wait for as long as the other end takes bytes.

    Whether a socket can be written to does not show that: on Linux it can be only once a third of
    its send buffer is free, which a slow link takes long for.

    Attributes:
        may_wait: Whether writes may wait for longer than ``WRITE_CHECK_S``.
    """

    may_wait = True

    def write(self, data):
        """Write a part of some bytes; return how many.

        Raises:
            TimeoutError: If the other end takes nothing for ``WRITE_STALL_S``.
        """
        self._checkClosed()
        poll = select.poll()
        poll.register(self, select.POLLOUT)
        if not poll.poll(0):
            self._wait_until_writable(poll)
        return super().write(data)

    def _wait_until_writable(self, poll):
        untaken_bytes = self._count_untaken()
        progress_s = time.monotonic()
        while not poll.poll(1000 * WRITE_CHECK_S):
            earlier_bytes, untaken_bytes = untaken_bytes, self._count_untaken()
            now_s = time.monotonic()
            if untaken_bytes < earlier_bytes:
                progress_s = now_s
            elif not self.may_wait or now_s - progress_s >= WRITE_STALL_S:
                raise TimeoutError("timed out")

    def _count_untaken(self):
        """Return the number of written bytes that the other end has not acknowledged."""
        (count,) = _INT.unpack(fcntl.ioctl(self, termios.TIOCOUTQ, bytes(_INT.size)))
        return count


@functools.cache
def _granted_bytes():
    """Return the size that the system gives a send buffer of ``LAST_SEND_BUFFER_BYTES``."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LAST_SEND_BUFFER_BYTES)
        return probe.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


def grow_send_buffer(sock):
    """Let the system hold ``LAST_SEND_BUFFER_BYTES`` of a socket's output, as far as it allows.

    The system may have made the buffer larger by itself, which setting a size would undo.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < _granted_bytes():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LAST_SEND_BUFFER_BYTES)


class PatientWriter(StreamWriter):
    """The buffered output of a connection, whose bound counts from the last progress."""

    def __init__(self, sock, buffer_size):
        _pyio.BufferedWriter.__init__(self, PatientSocketIO(sock, "wb"), buffer_size)
        self.bytes_written = 0
