"""How a connection to another process ended.

A response without a length is complete if its sender has ended the stream, and truncated if the
connection ended in another way. The operating system reports a failure of a connection once, to
the call that comes first. If a write takes the report, the read that follows returns an end of
the stream.
"""

import enum
import socket
import struct

from greengagerock.web.bounded_input import TimedSocketIO

# Value of ``tcpi_state``, the first byte of the option ``TCP_INFO``, after a reset or a timeout.
# A connection that the other side has ended is in the state ``CLOSE_WAIT`` (8) instead.
TCP_CLOSE = 7


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
        write_error: The ``OSError`` of the first write that failed, or ``None``.
        is_shut_down: Whether this host has shut the connection down.
    """

    __slots__ = ("is_shut_down", "sock", "write_error")

    def __init__(self, sock):
        self.sock = sock
        self.write_error = None
        self.is_shut_down = False

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

    def _is_closed(self):
        """Return whether nothing is left of the connection in the operating system."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            # The socket is none of TCP.
            return False
        return struct.unpack("B", info)[0] == TCP_CLOSE


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
        count = super().readinto(buffer)
        if count == 0 and len(buffer):
            match self.state.end():
                case ConnectionEnd.RESET:
                    raise ConnectionResetError("the connection was reset")
                case ConnectionEnd.TIMED_OUT:
                    raise TimeoutError("data was not acknowledged")
                case ConnectionEnd.CLOSED_HERE:
                    raise ConnectionAbortedError("the connection was shut down by this host")
        return count
