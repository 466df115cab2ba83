"""Bounds in size and in time on the bytes that clients send to a server.

It answers clients that send bytes slowly or without end, on many connections at once: each holds a
worker thread, and what the server keeps of its bytes counts towards the memory of the process.
"""

import _pyio
import socket
import string
import time

from cheroot.makefile import StreamReader
from cheroot.server import ChunkedRFile

from greengagerock.web.bounded_output import PatientWriter

# Longest line with the size of a chunk, extensions included, and all trailers together.
MAX_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16 * 1024
# Largest part of a chunk that is read at once; a chunk may be as long as the whole body.
PIECE_BYTES = 64 * 1024
# A time-out that differs from the remaining time by less than this share is left as it is, which
# saves two system calls for each read of a request that arrives at once.
EXCESS_SHARE = 0.1


class TimedSocketIO(socket.SocketIO):
    """A socket's file whose reads all end by a deadline.

    The time-out of a socket starts again with each byte.

    Attributes:
        deadline_s: When reads end, in monotonic seconds; infinite if only pauses are limited.
    """

    def __init__(self, sock, mode):
        super().__init__(sock, mode)
        self.deadline_s = float("inf")

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes.

        Raises:
            TimeoutError: If the deadline passes, or the pause is too long.
        """
        pause_s = self._sock.gettimeout()
        left_s = self.deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        if pause_s is None or left_s >= (1 - EXCESS_SHARE) * pause_s:
            return super().readinto(buffer)
        self._sock.settimeout(left_s)
        try:
            return super().readinto(buffer)
        finally:
            self._sock.settimeout(pause_s)


class TimedReader(StreamReader):
    """The buffered input of a connection, with a deadline."""

    def __init__(self, sock, buffer_size):
        _pyio.BufferedReader.__init__(self, TimedSocketIO(sock, "rb"), buffer_size)
        self.bytes_read = 0

    def end_within(self, limit_s):
        """Let all reads from now on end within ``limit_s`` seconds."""
        self.end_at(time.monotonic() + limit_s)

    def end_at(self, deadline_s):
        """Let all reads from now on end at a monotonic time."""
        self.raw.deadline_s = deadline_s


def make_file(sock, mode="r", buffer_size=_pyio.DEFAULT_BUFFER_SIZE):
    """Return the input or output file of a connection, as the server's own function does."""
    return (TimedReader if "r" in mode else PatientWriter)(sock, buffer_size)


class BoundedChunks(ChunkedRFile):
    """A body in chunks that is read in pieces, with lines of bounded length.

    The library reads a whole chunk into memory, and lines of any length.

    Attributes:
        left_bytes: Number of unread bytes of the current chunk.
    """

    def __init__(self, rfile, max_bytes):
        super().__init__(rfile, max_bytes)
        self.left_bytes = 0

    def _fetch(self):
        if self.closed:
            return
        if not self.left_bytes:
            self.left_bytes = self._read_chunk_size()
            if not self.left_bytes:
                self.closed = True
                return
        piece = self.rfile.read(min(self.left_bytes, PIECE_BYTES))
        if not piece:
            raise ValueError("body ended within a chunk")
        self.bytes_read += len(piece)
        self.left_bytes -= len(piece)
        self.buffer += piece
        if not self.left_bytes and self.rfile.read(2) != b"\r\n":
            raise ValueError("chunk is longer than its size")

    def _read_chunk_size(self):
        """Return the size of the next chunk, 0 for the last one.

        Raises:
            OSError: If the body would be longer than the limit.
            ValueError: If the line is malformed or too long.
        """
        line = self._read_line()
        self.bytes_read += len(line)
        text = line.split(b";", 1)[0].strip().decode("latin-1")
        if not text or not set(text) <= set(string.hexdigits):
            raise ValueError("size of a chunk is not a hexadecimal number")
        size = int(text, 16)
        if self.maxlen and self.bytes_read + size > self.maxlen:
            raise OSError("Request Entity Too Large")
        return size

    def read_trailer_lines(self):
        """Yield the lines after the last chunk.

        Raises:
            ValueError: If a line is malformed or too long, or there are too many.
        """
        left_bytes = MAX_TRAILER_BYTES
        while (line := self._read_line()) != b"\r\n":
            left_bytes -= len(line)
            if left_bytes < 0:
                raise ValueError(f"trailers are longer than {MAX_TRAILER_BYTES} bytes")
            yield line

    def _read_line(self):
        line = self.rfile.readline(MAX_LINE_BYTES)
        if not line.endswith(b"\r\n"):
            raise ValueError(f"line is truncated or longer than {MAX_LINE_BYTES} bytes")
        return line
