"""Files and sockets whose bytes have no end, or come one at a time."""

import contextlib
import socket
import threading
import time


class EndlessFile:
    """A file that repeats some bytes, and counts what is read of it.

    Args:
        start: Bytes before the repeated ones.
        repeated: Bytes that follow without end.

    Attributes:
        read_bytes: Number of bytes that were read.
        largest_read: Largest number of bytes that one call returned.
    """

    # Far more than any bound; a reader without one ends here.
    MAX_BYTES = 32 * 1024 * 1024

    def __init__(self, start, repeated):
        self.left = start
        self.repeated = repeated
        self.read_bytes = 0
        self.largest_read = 0

    def read(self, size):
        """Return exactly ``size`` bytes."""
        parts = []
        missing = size
        while missing:
            self._fill()
            part, self.left = self.left[:missing], self.left[missing:]
            parts.append(part)
            missing -= len(part)
        return self._count(b"".join(parts))

    def readline(self, limit=-1):
        """Return a line, or ``limit`` bytes if it is longer."""
        parts, length = [], 0
        while not parts or not parts[-1].endswith(b"\n"):
            self._fill()
            room = len(self.left) if limit < 0 else limit - length
            if not room:
                break
            end = self.left.find(b"\n", 0, room) + 1 or min(room, len(self.left))
            parts.append(self.left[:end])
            self.left = self.left[end:]
            length += end
            assert length <= self.MAX_BYTES, "read without a bound"
        return self._count(b"".join(parts))

    def _fill(self):
        if not self.left:
            self.left = self.repeated * max(1, 4096 // len(self.repeated))

    def _count(self, data):
        self.read_bytes += len(data)
        self.largest_read = max(self.largest_read, len(data))
        assert self.read_bytes <= self.MAX_BYTES, "read without a bound"
        return data


class DrippingClient:
    """A client that sends some bytes at once, and then one at a time until it is stopped.

    Used as a context manager.

    Args:
        address: Host and port.
        start: Bytes that it sends at once.
        dripped: Bytes that it repeats, one each ``interval_s`` seconds.
        interval_s: Time between two of them.

    Attributes:
        sock: Its socket.
        sent_bytes: Number of bytes that it has sent one at a time.
    """

    def __init__(self, address, start, dripped=b"a", interval_s=0.1):
        self.dripped = dripped
        self.interval_s = interval_s
        self.sent_bytes = 0
        self.sock = socket.create_connection(address)
        self.sock.sendall(start)
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._drip, daemon=True)
        self._thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self._is_stopped.set()
        self._thread.join()
        self.sock.close()

    def wait_for_end(self, limit_s):
        """Read until the server closes; return the bytes.

        Raises:
            TimeoutError: If that takes longer than ``limit_s`` seconds.
        """
        received = b""
        end_s = time.monotonic() + limit_s
        with contextlib.suppress(ConnectionResetError):
            while True:
                self.sock.settimeout(max(0.001, end_s - time.monotonic()))
                data = self.sock.recv(65_536)
                if not data:
                    break
                received += data
        return received

    def _drip(self):
        while not self._is_stopped.wait(self.interval_s):
            position = self.sent_bytes % len(self.dripped)
            try:
                self.sock.sendall(self.dripped[position : position + 1])
            except OSError:
                # The server has closed the connection.
                return
            self.sent_bytes += 1
