"""Responses of endpoints that are refused if they are truncated, ambiguous or without end."""

import io
from collections import deque
from http.client import SWITCHING_PROTOCOLS, HTTPResponse, RemoteDisconnected

from urllib3.connection import HTTPConnection

from greengagerock.web.connection_state import ConnectionState, ObservedSocketIO
from greengagerock.web.message_head import (
    MalformedResponseError,
    parse_chunk_size,
    parse_status_line,
    read_field_lines,
)

# Largest head of a response, interim responses included.
MAX_HEAD_BYTES = 64 * 1024
# Longest line of a response's head, chunk sizes and trailers.
MAX_LINE_BYTES = 64 * 1024
# Longest sequence of lines without data between them, such as trailers; they are not passed on.
MAX_TRAILER_BYTES = 64 * 1024


class LineReader:
    """The file of a socket, with lines that are complete and of bounded length and number.

    The standard library and urllib3 take the end of the connection for the end of a line, so
    that a truncated head or chunk size would pass for a complete one.

    Args:
        file: The file of the socket.

    Attributes:
        left_head_bytes: Number of bytes that the head may still have, ``None`` after the head.
        left_line_bytes: Number of bytes that lines may still have before the next data.
        left_chunk_bytes: Number of bytes that are left of the current chunk, ``None`` between two
            chunks and in a body without chunks.
        is_chunked: Whether the lines before the next data are sizes of chunks.
        checked_lines: Lines of the head that have been read already.
    """

    def __init__(self, file):
        self.file = file
        self.left_head_bytes = MAX_HEAD_BYTES
        self.left_line_bytes = MAX_TRAILER_BYTES
        self.left_chunk_bytes = None
        self.is_chunked = False
        self.checked_lines = deque()

    def readline(self, limit=MAX_LINE_BYTES):
        """Read a line.

        Raises:
            MalformedResponseError: If the line is truncated or longer than ``MAX_LINE_BYTES``,
                the head is truncated or longer than ``MAX_HEAD_BYTES``, the trailers are too long,
                or the size of a chunk is malformed.
        """
        if self.checked_lines:
            return self.checked_lines.popleft()
        line = self.file.readline(min(limit, MAX_LINE_BYTES) if limit >= 0 else MAX_LINE_BYTES)
        if self.left_head_bytes is not None:
            if not line and self.left_head_bytes < MAX_HEAD_BYTES:
                raise MalformedResponseError("response head truncated")
            self.left_head_bytes -= len(line)
            if self.left_head_bytes < 0:
                raise MalformedResponseError(f"response head longer than {MAX_HEAD_BYTES} bytes")
        else:
            self.left_line_bytes -= len(line)
            if self.left_line_bytes < 0:
                raise MalformedResponseError(f"trailers longer than {MAX_TRAILER_BYTES} bytes")
        if line and not line.endswith(b"\n"):
            raise MalformedResponseError(f"line truncated or too long: got {len(line)} bytes")
        if line and self.is_chunked:
            self.left_chunk_bytes = parse_chunk_size(line)
            # Behind the last chunk there are trailers.
            self.is_chunked = self.left_chunk_bytes > 0
        return line

    def read(self, size=-1):
        """Read data, after which lines may follow again.

        Raises:
            MalformedResponseError: If a chunk is longer than its size.
        """
        self.left_line_bytes = MAX_TRAILER_BYTES
        data = self.file.read(size)
        if self.is_chunked and self.left_chunk_bytes is not None:
            if self.left_chunk_bytes:
                self.left_chunk_bytes -= len(data)
            elif data == b"\r\n":
                self.left_chunk_bytes = None
            elif len(data) == size:
                raise MalformedResponseError("chunk longer than its size")
        return data

    def __getattr__(self, name):
        return getattr(self.file, name)


class StrictResponse(HTTPResponse):
    """A response of the standard library that is read through a ``LineReader``.

    Args:
        state: The ``ConnectionState`` of its connection.
    """

    def __init__(self, state, *arguments, **options):
        super().__init__(state.sock, *arguments, **options)
        self.fp.close()
        self.fp = io.BufferedReader(self.make_file(state))

    def make_file(self, state):
        """Return the unbuffered file of a connection, from which the response is read."""
        return ObservedSocketIO(state)

    def begin(self):
        """Read the head.

        Raises:
            MalformedResponseError: If the head is truncated, too long, malformed, or does not
                tell where the body ends.
        """
        reader = self.fp = LineReader(self.fp)
        super().begin()
        reader.left_head_bytes = None
        reader.is_chunked = self.chunked
        check_framing(self.headers)

    def _read_status(self):
        """Read the head of the final response; leave its field lines to the library's parser.

        The library skips interim responses with status 100 only.
        """
        while True:
            line = self.fp.readline()
            if not line:
                raise RemoteDisconnected("connection closed without a response")
            version, status, reason = parse_status_line(line)
            if status == SWITCHING_PROTOCOLS:
                # No request asks for another protocol (RFC 9110, section 15.2.2).
                raise MalformedResponseError("switch to another protocol")
            lines = read_field_lines(self.fp)
            if status >= 200:
                self.fp.checked_lines.extend(lines)
                return version, status, reason


def check_framing(headers):
    """Refuse headers from which servers and clients conclude different ends of the body.

    Args:
        headers: The ``http.client.HTTPMessage`` of a response.

    Raises:
        MalformedResponseError: If the headers of the length contradict each other.

    References:
        RFC 9112, HTTP/1.1, section 6.3.
    """
    lengths = set(headers.get_all("Content-Length", ()))
    encodings = headers.get_all("Transfer-Encoding", ())
    if len(lengths) > 1 or not all(text.isascii() and text.isdigit() for text in lengths):
        raise MalformedResponseError("malformed or contradictory Content-Length")
    if encodings and (lengths or [text.lower() for text in encodings] != ["chunked"]):
        raise MalformedResponseError(
            "Transfer-Encoding is not chunked, or comes with a Content-Length"
        )


class StrictConnection(HTTPConnection):
    """A connection whose responses are complete only if the other side has ended them.

    Attributes:
        state: The ``ConnectionState``, ``None`` before it is connected.
        strict_response_class: Class of its responses.
    """

    strict_response_class = StrictResponse

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.state = None
        self._is_writing_body = False

    @property
    def is_connected(self):
        """Whether another request can be sent on the connection."""
        return super().is_connected and self.state.is_reusable

    def connect(self):
        """Open the connection."""
        super().connect()
        self.state = ConnectionState(self.sock)

    def putrequest(self, *arguments, **options):
        """Begin a request."""
        self._is_writing_body = False
        super().putrequest(*arguments, **options)

    def endheaders(self, *arguments, **options):
        """Send the head of a request."""
        super().endheaders(*arguments, **options)
        self._is_writing_body = True

    def send(self, data):
        """Send ``data``, and keep the error if that fails.

        urllib3 ignores a reset here, so that a response that was sent before it can be read.
        """
        try:
            if self._is_writing_body:
                self.state.write_body(data)
            else:
                super().send(data)
        except OSError as error:
            if self.state is not None:
                self.state.note_write_error(error)
            raise

    def response_class(self, sock, *arguments, **options):
        """Return a response that is read from the connection; called by the library."""
        return self.strict_response_class(self.state, *arguments, **options)
