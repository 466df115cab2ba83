"""A stand-in endpoint that accepts connections and writes given bytes, right or wrong."""

import contextlib
import socket
import struct
import threading
import time

# Largest head of a request that it reads.
MAX_REQUEST_BYTES = 64 * 1024
# ``SO_LINGER`` with a time of 0, with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawEndpoint:
    """Accepts connections and writes the same bytes in response to each request.

    Used as a context manager; it ends its threads by closing their sockets.

    Args:
        ip: Loopback address to listen on.
        response: Bytes that it writes for each request.
        write: Callable that writes to a connected socket after ``response``, or ``None``.

    Attributes:
        address: ``IP:PORT`` where it listens.
        connections: Accepted sockets.
    """

    def __init__(self, ip, response, write=None):
        self.response = response
        self.write = write
        self.connections = []
        self.listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.listener.close()
        for number in range(len(self.connections)):
            self.close_connection(number)

    @property
    def accepted_count(self):
        """Number of accepted connections."""
        return len(self.connections)

    def close_connection(self, number):
        """Close an accepted connection."""
        with contextlib.suppress(OSError):  # the other side may have closed it
            self.connections[number].shutdown(socket.SHUT_RDWR)
        self.connections[number].close()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            while read_head(connection):
                connection.sendall(self.response)
                if self.write is not None:
                    self.write(connection)
        except OSError:
            # The other side has closed the connection.
            return


def read_head(connection):
    """Read the head of a request; return it, empty if the connection ended before."""
    data = b""
    while b"\r\n\r\n" not in data and len(data) < MAX_REQUEST_BYTES:
        received = connection.recv(4096)
        if not received:
            return b""
        data += received
    return data


def reset(connection):
    """Reset a connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def reset_after(delay_s):
    """Return a callable that resets a connection after some seconds."""

    def write(connection):
        time.sleep(delay_s)
        reset(connection)

    return write


def close_unread_after(delay_s):
    """Return a callable that closes a connection after some seconds, with bytes left unread.

    The system then sends a reset, and no end of the stream before it.
    """

    def write(connection):
        time.sleep(delay_s)
        connection.recv(1, socket.MSG_PEEK)
        connection.close()

    return write


def end_then_close_after(delay_s):
    """Return a callable that ends the stream, and closes the connection after some seconds."""

    def write(connection):
        connection.shutdown(socket.SHUT_WR)
        time.sleep(delay_s)
        connection.close()

    return write
