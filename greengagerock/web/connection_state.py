"""What was read and written on a connection to another process, and how it ended.

A response without a length is complete if its sender has ended the stream, and truncated if the
connection ended in another way. The operating system reports a failure of a connection once, to
the call that comes first. If a write takes the report, the read that follows returns an end of
the stream.
"""

import enum
import select
import socket

from greengagerock.web.bounded_input import TimedSocketIO
from greengagerock.web.message_head import has_final_head

# Value of ``tcpi_state``, the first byte of the option ``TCP_INFO``, after a reset or a timeout.
# A connection that the other side has ended is in the state ``CLOSE_WAIT`` (8) instead.
TCP_CLOSE = 7
# Most bytes that are kept of a response while the request is still being written. The rest of a
# longer one waits in the buffers of the system.
MAX_EARLY_BYTES = 256 * 1024


class ConnectionEnd(enum.Enum):
    """How a connection ended.

    Attributes:
        ENDED: The other side has ended the stream; everything that it sent has arrived.
        RESET: The other side has reset the connection.
        TIMED_OUT: The other side has not acknowledged data or probes in time.
        CLOSED_HERE: This host has shut the connection down.
    """

    ENDED = "ended"
    RESET = "reset"
    TIMED_OUT = "timed-out"
    CLOSED_HERE = "closed-here"


class ConnectionState:
    """What this host has seen of a connection.

    Args:
        sock: The connected socket.

    Attributes:
        early_bytes: What has been read while the request was still being written.
        is_ended: Whether the other side has ended the stream behind ``early_bytes``.
        is_request_incomplete: Whether the rest of a request was not written.
        is_shut_down: Whether this host has shut the connection down.
        read_error: The ``OSError`` behind ``early_bytes``, or ``None``.
        write_error: The ``OSError`` of the first write that failed, or ``None``.
    """

    __slots__ = (
        "early_bytes",
        "is_ended",
        "is_request_incomplete",
        "is_shut_down",
        "read_error",
        "sock",
        "write_error",
    )

    def __init__(self, sock):
        self.sock = sock
        self.early_bytes = bytearray()
        self.is_ended = self.is_request_incomplete = self.is_shut_down = False
        self.read_error = self.write_error = None

    @property
    def is_reusable(self):
        """Whether another request can be sent, as far as reads and writes tell."""
        has_failed = self.read_error is not None or self.write_error is not None
        is_over = self.is_ended or self.is_shut_down or has_failed
        return not (is_over or self.is_request_incomplete or self.early_bytes)

    def shut_down(self):
        """Shut the connection down, so that reads and writes of other threads end."""
        self.is_shut_down = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection was closed already.
            return

    def note_write_error(self, error):
        """Keep the error of the first write that failed."""
        if self.write_error is None:
            self.write_error = error

    def end(self):
        """Return the ``ConnectionEnd`` of a connection of which a read has returned the end.

        References:
            RFC 9293, Transmission Control Protocol, section 3.10.7. Linux reports a reset that
            follows the end of the stream as ``EPIPE``, any other one as ``ECONNRESET``.
        """
        if self.is_shut_down:
            return ConnectionEnd.CLOSED_HERE
        match self.write_error:
            case ConnectionResetError():
                return ConnectionEnd.RESET
            case TimeoutError(errno=int()):
                return ConnectionEnd.TIMED_OUT
            case BrokenPipeError():
                return ConnectionEnd.ENDED
        # A pending error came after the end of the stream, since a read reports an earlier one.
        if self._is_closed() and not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return ConnectionEnd.RESET
        return ConnectionEnd.ENDED

    def check_end(self):
        """Raise an error unless the other side has ended the stream.

        Raises:
            ConnectionResetError: If the connection was reset.
            ConnectionAbortedError: If this host has shut it down.
            TimeoutError: If the other side has not acknowledged data.
        """
        match self.end():
            case ConnectionEnd.RESET:
                raise ConnectionResetError("the connection was reset")
            case ConnectionEnd.TIMED_OUT:
                raise TimeoutError("data was not acknowledged")
            case ConnectionEnd.CLOSED_HERE:
                raise ConnectionAbortedError("the connection was shut down by this host")

    def write_body(self, data):
        """Write a part of a request's body, and read what the other side sends meanwhile.

        A side that answers before it has read the request may close its connection right after
        that. The part of the response that has not been read by then is lost.

        Raises:
            BrokenPipeError: If the other side reads nothing more, but has begun to respond.
            OSError: If the connection has failed.
            TimeoutError: If the other side reads nothing for the time-out of the socket.
        """
        rest = memoryview(data)
        while rest:
            events = self._wait(self.sock.gettimeout())
            if events & select.POLLIN:
                self._read_early()
            if events & ~select.POLLIN:
                rest = rest[self.sock.send(rest) :]
            elif not events:
                self.is_request_incomplete = True
                if self.is_ended or has_final_head(self.early_bytes):
                    raise BrokenPipeError("the other side responds and reads nothing more")
                raise TimeoutError("timed out")

    def _wait(self, timeout_s):
        """Return the events of the socket once it has one, 0 after the time-out."""
        events = select.POLLOUT
        is_over = self.is_ended or self.read_error is not None
        if not is_over and len(self.early_bytes) < MAX_EARLY_BYTES:
            events |= select.POLLIN
        poll = select.poll()
        poll.register(self.sock, events)
        ready = poll.poll(None if timeout_s is None else timeout_s * 1000)
        return ready[0][1] if ready else 0

    def _read_early(self):
        try:
            data = self.sock.recv(MAX_EARLY_BYTES - len(self.early_bytes))
            if not data:
                self.check_end()
                self.is_ended = True
        except OSError as error:
            # It is raised again when the bytes before it have been read.
            self.read_error = error
        else:
            self.early_bytes += data

    def _is_closed(self):
        """Return whether nothing is left of the connection in the operating system."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            # The socket is none of TCP.
            return False
        return info[0] == TCP_CLOSE


class ObservedSocketIO(TimedSocketIO):
    """A socket's file whose end is the end of the stream that the other side has sent.

    Args:
        state: The ``ConnectionState``.
    """

    def __init__(self, state):
        super().__init__(state.sock, "rb")
        # A socket counts its files, so that the last one closes it.
        state.sock._io_refs += 1
        self.state = state

    def readinto(self, buffer):
        """Read into a buffer; return the number of bytes, 0 at the end of the stream.

        Raises:
            ConnectionResetError: If the connection was reset.
            ConnectionAbortedError: If this host has shut the connection down.
            TimeoutError: If the deadline passes, the pause is too long, or the other side does
                not acknowledge data.
        """
        state = self.state
        if state.early_bytes:
            count = min(len(buffer), len(state.early_bytes))
            buffer[:count] = state.early_bytes[:count]
            del state.early_bytes[:count]
            return count
        if state.read_error is not None:
            raise state.read_error
        if state.is_ended:
            return 0
        count = super().readinto(buffer)
        if count == 0 and len(buffer):
            state.check_end()
        return count
