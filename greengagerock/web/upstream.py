"""Connections to endpoints."""

import select
import socket
import threading

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.exceptions import TimeoutError as UrllibTimeoutError

from greengagerock.core.seam import AttemptFailed
from greengagerock.routing.failures import (
    REASON_CALLER,
    REASON_CONNECT,
    REASON_LOST,
    REASON_TIMEOUT,
)

CONNECTIONS_PER_ENDPOINT = 32
BODY_CHUNK_BYTES = 64 * 1024
# urllib3 refuses a timeout of 0, which a request on its deadline would have.
SHORTEST_TIMEOUT_S = 0.001

# Retries are decided by the core; one shared object spares building it each time.
NO_RETRIES = urllib3.Retry(total=False, redirect=0)

# An endpoint that is over its limit of connections resets new ones at once. Before a request
# is sent on a new connection, a reset has so long to arrive, so that nothing has been run.
SETTLING_S = 0.006

# Data that the other side does not acknowledge for so long ends a connection.
UNACKNOWLEDGED_LIMIT_MS = 2000
KEEPALIVE_AFTER_S = 5

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)

_current = threading.local()


class Attempt:
    """What is known of one attempt while it runs.

    Attributes:
        bytes_left: Whether any byte may have left this host.
        connection: The connection in use, or ``None``.
        cancelled: Whether the loop asked to give up.
        is_new: Whether the connection was opened for this attempt.
        target: Path and query as the caller wrote them.
    """

    __slots__ = (
        "_caller",
        "_lock",
        "_watched",
        "bytes_left",
        "cancelled",
        "connection",
        "is_new",
        "target",
    )

    def __init__(self, caller_descriptor=None):
        self._caller = caller_descriptor
        self._lock = threading.Lock()
        self._watched = False
        self.bytes_left = False
        self.connection = None
        self.cancelled = False
        self.is_new = False
        self.target = ""

    def begin_watch(self, register):
        """Have the caller's socket watched, unless the attempt has ended.

        The attempt cannot end meanwhile, so the watch never ends before it begins.

        Args:
            register: Takes the descriptor of the socket and returns whether it is
                watched now.
        """
        with self._lock:
            if self._caller is not None:
                self._watched = register(self._caller)

    def end(self):
        """End the attempt; returns the descriptor if it was being watched, else ``None``."""
        with self._lock:
            descriptor = self._caller if self._watched else None
            self._caller = None
            return descriptor

    def cancel(self):
        """Break the connection; called from the loop thread."""
        self.cancelled = True
        sock = getattr(self.connection, "sock", None)
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It was closed already, which is what is wanted.
                return


class TrackedConnection(HTTPConnection):
    """A connection that notes whether bytes of the current attempt have left."""

    def request(self, method, url, *arguments, **options):
        """Send a request whose target is passed on exactly as the caller wrote it."""
        attempt = getattr(_current, "attempt", None)
        if attempt is not None and attempt.target:
            url = attempt.target
        return super().request(method, url, *arguments, **options)

    def send(self, data):
        """Connect if needed, then send."""
        attempt = getattr(_current, "attempt", None)
        if self.sock is None and self.auto_open:
            self.connect()
            self._settle()
            if attempt is not None:
                attempt.is_new = True
                if attempt.cancelled:
                    # The caller left while the connection was being opened.
                    self.close()
                    raise NewConnectionError(self, "the attempt was given up")
        if attempt is not None:
            attempt.connection = self
            attempt.bytes_left = True
        super().send(data)

    def _settle(self):
        """Wait whether a new connection is reset.

        Raises:
            NewConnectionError: If it is, so that nothing of the request has been sent.
        """
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        if poll.poll(SETTLING_S * 1000):
            # An endpoint says nothing before it is asked, so this is the end of it.
            self.close()
            raise NewConnectionError(self, "the endpoint closed a new connection")


class TrackedPool(urllib3.HTTPConnectionPool):
    """A connection pool of ``TrackedConnection`` objects."""

    ConnectionCls = TrackedConnection


class CallerBodyError(Exception):
    """A caller's body broke off or is malformed, which is no fault of the endpoint."""


class CallerBody:
    """The caller's request body, read while it is sent on.

    Attributes:
        used: Whether any byte was read from the caller.
        is_whole: Whether it can be sent again.
    """

    is_whole = False

    def __init__(self, stream):
        self.stream = stream
        self.used = False

    def __iter__(self):
        while True:
            try:
                chunk = self.stream.read(BODY_CHUNK_BYTES)
            except (OSError, ValueError) as error:
                raise CallerBodyError(str(error)) from error
            if not chunk:
                if getattr(self.stream, "remaining", 0):
                    # The endpoint must not take a part for the whole.
                    raise CallerBodyError("the caller left in the middle of its body")
                return
            self.used = True
            yield chunk


class ShortBody:
    """A caller's body that has been read, and can be sent more than once.

    Attributes:
        data: The body.
        used: False, since nothing of it is lost by sending it.
        is_whole: Whether it can be sent again.
    """

    is_whole = True
    used = False

    def __init__(self, data):
        self.data = data

    def __iter__(self):
        yield self.data


class Upstream:
    """Connection pools of one host, one for each endpoint address.

    Args:
        limits: The ``LimitSettings``.
    """

    def __init__(self, limits):
        self.limits = limits
        self.pools = {}

    def pool(self, address):
        """Return the pool of an endpoint address."""
        pool = self.pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = TrackedPool(
                host.strip("[]"),
                int(port),
                maxsize=CONNECTIONS_PER_ENDPOINT,
                socket_options=SOCKET_OPTIONS,
            )
            pool = self.pools.setdefault(address, pool)
        return pool

    def drop(self, address):
        """Close the idle connections to an endpoint; called by the loop."""
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()

    def send(self, forward, method, uri, headers, body, attempt, failure_of):
        """Send a request and wait for the head of the answer.

        Args:
            forward: The ``Forward`` effect.
            method: HTTP method.
            uri: Path and query, still encoded.
            headers: Headers to send.
            body: A ``CallerBody``, or ``None``.
            attempt: An ``Attempt`` that notes what happens.
            failure_of: Returns why a response is no answer to pass on, or ``None``.

        Returns:
            A urllib3 response whose body is unread, or an ``AttemptFailed`` event.
        """
        left_s = max(forward.timeout_s, SHORTEST_TIMEOUT_S)
        connect_s = min(self.limits.connect_timeout_s, left_s)
        timeout = urllib3.Timeout(connect=connect_s, read=left_s)
        attempt.target = uri
        _current.attempt = attempt
        try:
            response = self.pool(forward.address).urlopen(
                method,
                uri,
                body=body,
                headers=headers,
                retries=NO_RETRIES,
                redirect=False,
                preload_content=False,
                decode_content=False,
                assert_same_host=False,
                timeout=timeout,
            )
        except CallerBodyError:
            return AttemptFailed(forward.token, REASON_CALLER, attempt.bytes_left, True)
        except (HTTPError, OSError, ValueError) as error:
            return self._failure(forward, error, attempt, body)
        finally:
            _current.attempt = None
        reason = failure_of(response)
        if reason is None:
            return response
        if reason == REASON_LOST:
            # What else comes on this connection belongs to no request.
            response.close()
            return AttemptFailed(forward.token, reason, True, bool(body and body.used))
        response.drain_conn()
        response.release_conn()
        return AttemptFailed(forward.token, reason, False, bool(body and body.used))

    def _failure(self, forward, error, attempt, body):
        if isinstance(error, (NewConnectionError, ConnectTimeoutError)):
            reason = REASON_CONNECT
        elif isinstance(error, UrllibTimeoutError):
            reason = REASON_TIMEOUT
        else:
            reason = REASON_LOST
        used = bool(body and body.used)
        return AttemptFailed(forward.token, reason, attempt.bytes_left, used)
