"""Callers on raw connections, which count the requests that end without a whole response."""

import contextlib
import random
import socket
import threading
import time

SOCKET_TIMEOUT_S = 10.0
LONGEST_PAUSE_S = 0.02
LONGEST_SPLIT_S = 0.3
RECONNECT_PAUSE_S = 0.02
SPLIT_AT_BYTES = 40
SLOW_LINK_BUFFER_BYTES = 8192
SLOW_LINK_SEGMENT_BYTES = 1448

# Callers that keep connections, that open one for each request, and that send a request in two
# pieces.
KEPT = "kept"
NEW = "new"
SPLIT = "split"
KINDS = (KEPT, NEW, SPLIT)

PATHS = ("/balance/", "/charge/", "/prices/")


class RawCallers:
    """Callers of one address, each on a thread and with one request at a time.

    Args:
        address: IP address and port.
        count: Number of callers.
        seed: Seed of what they send, and when.

    Attributes:
        statuses: Number of whole responses by status.
        cut: Kind and path of each request that ended without a whole response although its
            connection was not reset before the first byte of one.
        unread: Number of requests whose connection was reset before the first byte, so that they
            were not read.
    """

    def __init__(self, address, count, seed=1):
        self.address = address
        self.statuses = {}
        self.cut = []
        self.unread = 0
        self.ends = threading.Event()
        self.lock = threading.Lock()
        self.threads = [
            threading.Thread(
                target=self._call_repeatedly,
                args=(KINDS[number % len(KINDS)], random.Random(seed * 1000 + number)),
                daemon=True,
            )
            for number in range(count)
        ]

    def start(self):
        """Start all callers."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """End all callers after their current requests."""
        self.ends.set()
        for thread in self.threads:
            thread.join(SOCKET_TIMEOUT_S)

    def _call_repeatedly(self, kind, draw):
        sock = None
        while not self.ends.is_set():
            if sock is None:
                try:
                    sock = socket.create_connection(self.address, SOCKET_TIMEOUT_S)
                except OSError:
                    # Nobody listens while the process starts again.
                    time.sleep(RECONNECT_PAUSE_S)
                    continue
            keeps_open = self._call(sock, kind, draw)
            if kind == NEW or not keeps_open:
                sock.close()
                sock = None
            time.sleep(draw.random() * LONGEST_PAUSE_S)
        if sock is not None:
            sock.close()

    def _call(self, sock, kind, draw):
        """Send one request; return whether its connection stays open."""
        path = draw.choice(PATHS)
        body = b"x" * 300 if path == "/charge/" else b""
        request = (
            f"{'POST' if body else 'GET'} {path}{draw.randrange(10_000)} HTTP/1.1\r\n"
            f"Host: shop.example\r\nGreengage-Key: {draw.randrange(65_536)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        received = b""
        try:
            if kind == SPLIT:
                sock.sendall(request[:SPLIT_AT_BYTES])
                time.sleep(draw.random() * LONGEST_SPLIT_S)
                request = request[SPLIT_AT_BYTES:]
            sock.sendall(request)
            while not is_whole(received):
                piece = sock.recv(65_536)
                if not piece:
                    break
                received += piece
        except (BrokenPipeError, ConnectionResetError):
            if not received:
                with self.lock:
                    self.unread += 1
                return False
        if not is_whole(received):
            with self.lock:
                self.cut.append((kind, path, len(received)))
            return False
        status = received.split()[1].decode()
        with self.lock:
            self.statuses[status] = self.statuses.get(status, 0) + 1
        return b"connection: close" not in received.lower()


def is_whole(received):
    r"""Return whether bytes are a whole response with a length.

    Examples:
        >>> is_whole(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
        True
        >>> is_whole(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
        False
    """
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    lines = head.lower().split(b"\r\n")
    lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
    return bool(lengths) and len(body) >= lengths[0]


def connect_on_a_slow_link(address):
    """Return a socket whose peer can send little before its bytes are read, as on a slow link."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_LINK_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SLOW_LINK_SEGMENT_BYTES)
    sock.settimeout(SOCKET_TIMEOUT_S)
    sock.connect(address)
    return sock


class ScheduledCaller:
    """A caller that sends one request at a given time.

    Args:
        address: IP address and port.
        connects_s: When it opens its connection, in monotonic seconds.
        sends_s: When it sends its request.

    Attributes:
        received: The bytes it got until the response was whole or the connection ended.
    """

    def __init__(self, address, connects_s, sends_s):
        self.address = address
        self.connects_s = connects_s
        self.sends_s = sends_s
        self.received = b""
        self.thread = threading.Thread(target=self._call, daemon=True)
        self.thread.start()

    def result(self):
        """Wait for the end; return the status of the response, or ``None`` without a whole one."""
        self.thread.join()
        return int(self.received.split()[1]) if is_whole(self.received) else None

    def _call(self):
        time.sleep(max(0.0, self.connects_s - time.monotonic()))
        # A connection that is refused, or ends early, leaves the caller without a response.
        with (
            contextlib.suppress(ConnectionError),
            socket.create_connection(self.address, SOCKET_TIMEOUT_S) as sock,
        ):
            time.sleep(max(0.0, self.sends_s - time.monotonic()))
            sock.sendall(b"GET /prices/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
            while not is_whole(self.received) and (piece := sock.recv(65_536)):
                self.received += piece
