"""Passes connections between the selector of a server and its worker threads.

It answers a server that stops, and callers whose connections expire, while requests arrive: a
connection is closed only if nothing has arrived on it.
"""

import select
import socket
import threading
import time

from cheroot.connections import ConnectionManager

from greengagerock.web.connection_progress import IDLE, LINGERING


class DeferringConnectionManager(ConnectionManager):
    """Passes a connection to a worker thread only when it is readable.

    A caller that connects and sends nothing therefore does not occupy a thread.

    Args:
        server: The CherryPy server.

    Attributes:
        lock: Held while connections are taken out of the selector. Its holder finds each open
            connection either there or with the worker threads.
        is_accepting: Whether the port is open.
        lingering: Descriptor and connection of those that have had their last response.
    """

    def __init__(self, server):
        super().__init__(server)
        self.lock = threading.RLock()
        self.is_accepting = True
        self.lingering = []
        # A caller may have closed its connection before it is accepted.
        server.socket.setblocking(False)

    def put(self, conn):
        """Wait for the next request on a connection."""
        conn.progress.enter(IDLE, conn.progress.idle_timeout_s)
        super().put(conn)

    def stop_accepting(self):
        """Accept the connections that wait to be accepted, then close the port."""
        listener = self.server.socket
        with self.lock:
            self.is_accepting = False
            self._selector.unregister(listener.fileno())
            try:
                for _ in range(self.server.request_queue_size):
                    if not _poll(listener.fileno(), select.POLLIN):
                        break
                    self._from_server_socket(listener)
            except OSError as error:
                # Without a free descriptor, the connections that still wait are reset unread.
                self.server.error_log(f"connections not accepted: {error}", 30)
            finally:
                listener.close()

    def begin_lingering(self, farewell, now_s, linger_s):
        """Send a last response on connections on which no request has begun to arrive.

        A request that is on its way gets it as its response and is never read. A caller that has
        sent none drops a connection on which it receives bytes. The connection stays open for the
        other direction, since bytes that reach a closed socket reset it, and a reset may overtake
        the response. Connections accepted less than ``linger_s`` ago are left out until their
        first request arrives.

        Args:
            farewell: The bytes of a response that closes the connection.
            now_s: Monotonic time in seconds.
            linger_s: How long the connections stay open at most, in seconds.
        """
        with self.lock:
            for descriptor, connection in self._idle_connections():
                if connection.progress.awaits_first_request(now_s, linger_s):
                    continue
                if _poll(descriptor, select.POLLIN) or not _poll(descriptor, select.POLLOUT):
                    # A request has begun to arrive, or a long response is still being sent.
                    continue
                self._selector.unregister(descriptor)
                connection.progress.enter(LINGERING, linger_s, now_s)
                if _send_last(connection.socket, farewell):
                    self.lingering.append((descriptor, connection))
                else:
                    connection.close()
                self.server.open_connections.closed_idle_count += 1

    def end_lingering(self, now_s):
        """Close the lingering connections that callers have closed, or that have lasted long."""
        remaining = []
        for descriptor, connection in self.lingering:
            if now_s >= connection.progress.ends_s or _poll(descriptor, select.POLLRDHUP):
                connection.close()
            else:
                remaining.append((descriptor, connection))
        self.lingering = remaining

    def close_idle(self):
        """Close the connections on which no request has begun to arrive."""
        self._close_unread(lambda progress: True)

    def close_expired(self, now_s):
        """Close the idle connections whose timeout has passed.

        It is the timeout that was in force when the last response was sent, since the caller
        relies on that one.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._close_unread(lambda progress: now_s > progress.ends_s)

    def _close_unread(self, is_due):
        with self.lock:
            for descriptor, connection in self._idle_connections():
                if is_due(connection.progress) and not _poll(descriptor, select.POLLIN):
                    self._selector.unregister(descriptor)
                    connection.close()
                    self.server.open_connections.closed_idle_count += 1

    def _run(self, expiration_interval):
        """Handle readable sockets, and close idle connections in intervals, until stopped."""
        expires_s = time.monotonic() + expiration_interval
        while not self._stop_requested:
            try:
                ready = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                with self.lock:
                    self._remove_invalid_sockets()
                continue
            with self.lock:
                for descriptor, connection in ready:
                    self._handle_ready(descriptor, connection)
            now_s = time.monotonic()
            if now_s >= expires_s:
                self.close_expired(now_s)
                expires_s = now_s + expiration_interval

    def _handle_ready(self, descriptor, connection):
        if connection is self.server:
            if self.is_accepting:
                self._from_server_socket(self.server.socket)
            return
        key = self._selector._selector.get_map().get(descriptor)
        if key is None or key.data is not connection:
            # It was closed since the selector returned it; another may have its descriptor now.
            return
        self._selector.unregister(descriptor)
        self.server.process_conn(connection)

    def _from_server_socket(self, server_socket):
        connection = super()._from_server_socket(server_socket)
        if connection is not None:
            connection.progress.idle_timeout_s = self.server.timeout
            self.server.open_connections.add(connection)
            connection.socket.settimeout(self.server.read_timeout_s)
            self.put(connection)

    def _idle_connections(self):
        return [pair for pair in self._selector.connections if pair[1] is not self.server]


def _poll(descriptor, events):
    """Return whether a descriptor has one of some events, or an error, now."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def _send_last(sock, data):
    """Send a short response and the end of the stream; return whether that succeeded."""
    try:
        is_sent = sock.send(data, socket.MSG_DONTWAIT) == len(data)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        # The caller has closed the connection, or reads nothing.
        return False
    return is_sent


def make_farewell(status, headers, body):
    r"""Return the bytes of a response that closes its connection.

    Args:
        status: Status code and reason phrase.
        headers: Pairs of name and value, with the length of the body.
        body: The body.

    Examples:
        >>> make_farewell("503 Busy", [("Content-Length", "0")], b"")
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
    """
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in [*headers, ("Connection", "close")]]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
