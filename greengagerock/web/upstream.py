"""HTTP client for endpoints: connection pools, attempts and request bodies."""

import itertools
import queue
import select
import socket
import threading
import time

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from greengagerock.core.interface import AttemptFailed
from greengagerock.routing.failures import REASON_CALLER, REASON_CONNECTION_LOST
from greengagerock.web.carried_requests import CarriedRequests
from greengagerock.web.connection_errors import fault_of, reason_of
from greengagerock.web.relay_dialect import attribute_to_relay, read_relay_failure
from greengagerock.web.strict_response import StrictConnection

CONNECTIONS_PER_ENDPOINT = 32
# Largest body of a refusal that is read; the bytes of a longer one may have no end.
MAX_DISCARDED_BYTES = 4096
BODY_CHUNK_BYTES = 64 * 1024
# urllib3 rejects a timeout of 0, which a request at its deadline would have.
MIN_TIMEOUT_S = 0.001

# Retries are decided by the decision core, not by urllib3. The object is shared, so that none is
# created per request.
NO_RETRIES = urllib3.Retry(total=False, redirect=0)

# An endpoint at its connection limit resets new connections at once. Before a request is sent on
# a new connection, the worker thread waits this long for a reset; the request has then certainly
# not been executed.
RESET_WAIT_S = 0.006

# A connection is closed when a request stays unacknowledged for this time. The option is set only
# while a request is in progress: on an idle connection it would replace ``TCP_KEEPCNT``, so that
# one lost keep-alive probe closes the connection.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 5

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)

_thread_state = threading.local()


class Attempt:
    """State of one attempt to send a request to an endpoint.

    Used by the worker thread that sends the request and by the loop thread, which may cancel it.

    Args:
        caller_descriptor: Descriptor of the caller's socket, or ``None`` if it is not watched.
        request_id: Id of the request, as the endpoint echoes it.

    Attributes:
        connect_s: Time in seconds that opening a connection took or lasted in vain, ``None`` if
            none was opened.
        connection_number: Number of the connection on which the request was sent, 0 before that.
        connection_requests: How many requests that connection has carried, this one included.
        fault: What is malformed in the response, or an empty string.
        has_head: Whether the head of the response has arrived.
        has_sent_bytes: Whether any byte may have left this host.
        is_answered: Whether the caller may have got a part of the response.
        state: The ``ConnectionState`` in use, or ``None``. The library's connection drops its
            socket when a response is to end with the connection.
        is_cancelled: Whether the loop cancelled the attempt.
        is_named: Whether the response names the request that it belongs to.
        is_new: Whether the connection was opened for this attempt.
        target: Path and query, still encoded.
    """

    __slots__ = (
        "_caller_descriptor",
        "_lock",
        "_is_watched",
        "connect_s",
        "connection_number",
        "connection_requests",
        "fault",
        "has_head",
        "has_sent_bytes",
        "is_answered",
        "is_cancelled",
        "is_named",
        "request_id",
        "state",
        "is_new",
        "target",
    )

    def __init__(self, caller_descriptor=None, request_id=""):
        self.connect_s = None
        self.connection_number = self.connection_requests = 0
        self.fault = ""
        self.request_id = request_id
        self._caller_descriptor = caller_descriptor
        self._lock = threading.Lock()
        self._is_watched = False
        self.has_head = False
        self.has_sent_bytes = False
        self.is_answered = False
        self.state = None
        self.is_cancelled = False
        self.is_named = True
        self.is_new = False
        self.target = ""

    def begin_watch(self, register):
        """Start watching the caller's socket, unless the attempt has ended.

        ``end`` waits on the same lock, so the socket is never unregistered before it is
        registered.

        Args:
            register: Callable that registers a descriptor and returns whether that succeeded.
        """
        with self._lock:
            if self._caller_descriptor is not None:
                self._is_watched = register(self._caller_descriptor)

    def end(self):
        """End the attempt; return the caller's descriptor if it was watched, else ``None``."""
        with self._lock:
            descriptor = self._caller_descriptor if self._is_watched else None
            self._caller_descriptor = None
            return descriptor

    def cancel(self):
        """Shut down the connection to the endpoint; called from the loop thread."""
        self.is_cancelled = True
        if self.state is not None:
            self.state.shut_down()


class TrackedConnection(StrictConnection):
    """A connection that records in the current ``Attempt`` whether bytes were sent.

    Attributes:
        carried: The ``CarriedRequests`` since it was connected.
        idle_since_s: Since when no request is in progress on it, in monotonic seconds.
        number: Tells the connections that this process has opened apart, 0 before it is connected.
    """

    numbers = itertools.count(1)

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.idle_since_s = 0.0
        self.number = 0
        self.carried = CarriedRequests()

    def connect(self):
        """Open the connection."""
        super().connect()
        self.number = next(self.numbers)
        self.carried = CarriedRequests()

    def request(self, method, url, *arguments, **options):
        """Send a request with the unchanged target of the attempt, not normalised by urllib3."""
        attempt = getattr(_thread_state, "attempt", None)
        if attempt is not None:
            url = attempt.target or url
            if not self.carried.may_carry(attempt.request_id):
                # The request is sent on a new connection.
                self.close()
        return super().request(method, url, *arguments, **options)

    def send(self, data):
        """Connect if needed, then send ``data``."""
        attempt = getattr(_thread_state, "attempt", None)
        if self.sock is None and self.auto_open:
            began_s = time.monotonic()
            try:
                self.connect()
                self._wait_for_reset()
            finally:
                if attempt is not None:
                    attempt.connect_s = time.monotonic() - began_s
            if attempt is not None:
                attempt.is_new = True
        if attempt is not None and attempt.state is None:
            attempt.state = self.state
            if attempt.is_cancelled:
                # The attempt was cancelled while a connection was taken or opened.
                self.close()
                raise NewConnectionError(self, "the attempt was cancelled")
            attempt.has_sent_bytes = True
            self.carried.add(attempt.request_id)
            attempt.connection_number = self.number
            attempt.connection_requests = self.carried.count
            self._limit_unacknowledged(UNACKNOWLEDGED_TIMEOUT_MS)
        super().send(data)

    def become_idle(self):
        """Let keep-alive probes alone decide when the connection is lost."""
        self.idle_since_s = time.monotonic()
        if self.sock is not None:
            self._limit_unacknowledged(0)

    def _limit_unacknowledged(self, timeout_ms):
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def _wait_for_reset(self):
        """Wait for a possible reset of a new connection, before the request is sent.

        Raises:
            NewConnectionError: If the endpoint resets or closes the connection.
        """
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        if poll.poll(RESET_WAIT_S * 1000):
            # An endpoint sends nothing before a request, so readable means reset or closed.
            self.close()
            raise NewConnectionError(self, "the endpoint closed a new connection")


class TrackedPool(urllib3.HTTPConnectionPool):
    """A connection pool of ``TrackedConnection`` objects."""

    ConnectionCls = TrackedConnection

    def keep_idle(self, count, max_idle_s, connect_timeout_s):
        """Close idle connections that are lost or old, and open new ones.

        Requests may take and return connections meanwhile.

        Args:
            count: Number of idle connections to have.
            max_idle_s: Time after which an idle connection is old, in seconds.
            connect_timeout_s: Timeout of opening one, in seconds.

        Raises:
            HTTPError: If a connection cannot be opened.
        """
        places = self._take_places()
        oldest_s = time.monotonic() - max_idle_s
        idle = [conn for conn in places if conn is not None]
        kept = [conn for conn in idle if conn.idle_since_s >= oldest_s and conn.is_connected]
        free = len(places) - len(kept)
        missing = min(free, max(0, count - len(kept)))
        # The queue returns the connection that was put last.
        for place in [None] * (free - missing) + kept:
            super()._put_conn(place)
        for conn in idle:
            if conn not in kept:
                conn.close()
        for opened in range(missing):
            self._open_idle(missing - opened, connect_timeout_s)

    def _take_places(self):
        """Take all places of the queue, with an idle connection or ``None``, oldest first."""
        places = []
        try:
            while self.pool is not None:
                places.append(self.pool.get(block=False))
        except (queue.Empty, AttributeError):
            # All are taken, or the pool was closed meanwhile, which drops its queue.
            pass
        return places[::-1]

    def _open_idle(self, free, connect_timeout_s):
        """Open an idle connection; without success, give back all places that are free."""
        conn = self._new_conn()
        conn.timeout = connect_timeout_s
        try:
            conn.connect()
        except (HTTPError, OSError):
            conn.close()
            for _ in range(free):
                super()._put_conn(None)
            raise
        self._put_conn(conn)

    def _put_conn(self, conn):
        if conn is not None:
            conn.become_idle()
        super()._put_conn(conn)


class CallerBodyError(Exception):
    """The caller's body is truncated or malformed; the endpoint has not failed."""


class StreamedBody:
    """A request body that is read from the caller while it is sent to the endpoint.

    Args:
        stream: The WSGI input stream.

    Attributes:
        is_consumed: Whether any byte was read from the caller.
        is_complete: Whether all of it was read from the caller.
        is_repeatable: Whether the body can be sent more than once.
    """

    is_repeatable = False

    def __init__(self, stream):
        self.stream = stream
        self.is_consumed = False
        self.is_complete = False

    def __iter__(self):
        while True:
            try:
                chunk = self.stream.read(BODY_CHUNK_BYTES)
                if not chunk and not self.is_complete:
                    skip_trailers(self.stream)
            except (OSError, ValueError) as error:
                raise CallerBodyError(str(error)) from error
            if not chunk:
                if getattr(self.stream, "remaining", 0):
                    # Ending the iteration would send the truncated body as a complete one.
                    raise CallerBodyError(
                        "the caller closed the connection before the end of its body"
                    )
                self.is_complete = True
                return
            self.is_consumed = True
            yield chunk

    def discard(self, limit_s):
        """Read the rest for some time, so that closing the connection does not reset it.

        A reset could reach the caller before it has read the response.

        Args:
            limit_s: Time after which no further bytes are read, in seconds.
        """
        end_s = time.monotonic() + limit_s
        try:
            for _ in self:
                if time.monotonic() >= end_s:
                    return
        except CallerBodyError:
            # The caller has closed the connection or sends nothing more.
            return


def skip_trailers(stream):
    """Read the end of a body in chunks, which would count as the begin of the next request.

    Args:
        stream: The WSGI input stream, whose body has been read.
    """
    if hasattr(stream, "read_trailer_lines"):
        for _ in stream.read_trailer_lines():
            pass


class BufferedBody:
    """A request body that has been read completely.

    Attributes:
        data: The body.
        is_complete: Always true.
        is_consumed: Always false, since the body can be sent again.
        is_repeatable: Whether the body can be sent more than once.
    """

    is_complete = True
    is_repeatable = True
    is_consumed = False

    def __init__(self, data):
        self.data = data

    def __iter__(self):
        yield self.data


def discard_body(response):
    """Read a short body so that its connection can be used again, else close the connection."""
    length = response.headers.get("Content-Length", "")
    if length.isdigit() and int(length) <= MAX_DISCARDED_BYTES:
        response.drain_conn()
        response.release_conn()
    else:
        response.close()


class Upstream:
    """The connection pools of one host, one for each endpoint address.

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

    def close_pool(self, address):
        """Close the idle connections to an endpoint; called from the loop thread."""
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()

    def send(self, forward, method, uri, headers, body, attempt, failure_reason):
        """Send a request and wait for the head of the response.

        Args:
            forward: The ``Forward`` effect.
            method: HTTP method.
            uri: Path and query, still encoded.
            headers: Headers to send.
            body: A ``StreamedBody``, a ``BufferedBody`` or ``None``.
            attempt: The ``Attempt`` that records the state of this attempt.
            failure_reason: Callable that returns why a response cannot be sent to the caller,
                or ``None`` if it can.

        Returns:
            A urllib3 response whose body is unread, or an ``AttemptFailed`` event.
        """
        read_timeout_s = max(forward.timeout_s, MIN_TIMEOUT_S)
        chosen_s = max(self.limits.connect_timeout_s, forward.connect_timeout_s or 0.0)
        connect_timeout_s = min(chosen_s, read_timeout_s)
        timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)
        attempt.target = uri
        _thread_state.attempt = attempt
        try:
            response = self.pool(forward.relay or forward.address).urlopen(
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
            return AttemptFailed(forward.token, REASON_CALLER, attempt.has_sent_bytes, True)
        except (HTTPError, OSError, ValueError) as error:
            failure = self._failure(forward, error, attempt, body)
            return attribute_to_relay(failure) if forward.relay else failure
        finally:
            _thread_state.attempt = None
        if forward.relay:
            failure = read_relay_failure(forward.token, response, bool(body and body.is_consumed))
            if failure is not None:
                discard_body(response)
                return failure
        reason = failure_reason(response)
        if reason is None:
            return response
        if reason == REASON_CONNECTION_LOST:
            # Further data on this connection cannot be assigned to a request.
            response.close()
            return AttemptFailed(forward.token, reason, True, bool(body and body.is_consumed))
        if attempt.is_named:
            discard_body(response)
        else:
            # A copy of it would be taken for the response to the next request.
            response.close()
        return AttemptFailed(forward.token, reason, False, bool(body and body.is_consumed))

    def _failure(self, forward, error, attempt, body):
        reason = reason_of(error, attempt.is_cancelled)
        attempt.fault = fault_of(error)
        is_consumed = bool(body and body.is_consumed)
        return AttemptFailed(forward.token, reason, attempt.has_sent_bytes, is_consumed)
