"""HTTP servers on CherryPy's WSGI server, with error codes in JSON bodies."""

import contextlib
import json
import socket
import struct
import threading

from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest, KnownLengthRFile
from cheroot.wsgi import Gateway_10
from cherrypy._cpserver import Server
from cherrypy._cpwsgi_server import CPWSGIServer

from greengagerock.core import ERROR_KINDS, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.web.bounded_input import BoundedChunks, make_file
from greengagerock.web.bounded_output import grow_send_buffer
from greengagerock.web.connection_limits import LINGER_S
from greengagerock.web.connection_manager import (
    DeferringConnectionManager,
    make_farewell,
)
from greengagerock.web.connection_progress import (
    DECIDING,
    IDLE,
    LINGERING,
    READING,
    READING_BODY,
    ConnectionProgress,
    OpenConnections,
)
from greengagerock.web.message_head import (
    END_OF_HEAD,
    has_valid_characters,
    parse_field_line,
    strip_line_end,
)
from greengagerock.web.worker_pool import ElasticWorkerPool

# Number of worker threads that a server keeps while it has no requests.
MIN_THREADS = 4

# ``SO_LINGER`` with a time of 0, with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Error statuses that can occur after a request has been forwarded.
_STATUSES_OF_UNKNOWN_OUTCOME = frozenset({"408", "500"})

_CODE_BY_STATUS = {
    "413": "body-too-large",
    "414": "headers-too-large",
    "431": "headers-too-large",
    "408": "request-timeout",
    "500": "internal-error",
}


# Headers that determine the end or the destination of a request. If one is repeated, servers
# differ in which value they use.
_UNIQUE_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"host"})


class CheckedHeaderLines:
    """Reads the header lines of a request; rejects lines that servers interpret differently.

    Args:
        rfile: The file to read from.
    """

    def __init__(self, rfile):
        self.rfile = rfile
        self.seen_names = set()

    def readline(self, *size):
        """Return the next line.

        Raises:
            ValueError: If it repeats a header of ``_UNIQUE_HEADERS``, continues the previous
                line, is malformed, or if the content length is not a number.
        """
        line = self.rfile.readline(*size)
        if line[:1] in (b" ", b"\t"):
            raise ValueError("header line is folded")
        if b"\r" in line[:-2]:
            raise ValueError("header line contains a lone carriage return")
        if not line.endswith(END_OF_HEAD) or line == END_OF_HEAD:
            # The library refuses a truncated line.
            return line
        name_and_value = parse_field_line(strip_line_end(line))
        if name_and_value is None:
            raise ValueError("header line is malformed")
        name, value = name_and_value
        name = name.lower()
        if name in _UNIQUE_HEADERS:
            if name in self.seen_names:
                raise ValueError(f"header {name.decode()!r} is repeated")
            self.seen_names.add(name)
            if name == b"content-length" and not value.isdigit():
                raise ValueError("Content-Length is not a number")
        return line


class JoinedHeaders(dict):
    """Headers of which a repeated one has all of its values.

    The library joins only the values of headers that it knows as lists; of others the last value
    replaced the earlier ones.

    Examples:
        >>> headers = JoinedHeaders()
        >>> headers[b"Cookie"] = b"a=1"
        >>> headers[b"Cookie"] = b"b=2"
        >>> headers
        {b'Cookie': b'a=1; b=2'}

    References:
        RFC 9110, HTTP Semantics, section 5.3; RFC 6265, section 4.2.
    """

    def __setitem__(self, name, value):
        earlier = self.get(name)
        if earlier is not None and not value.startswith(earlier + b", "):
            value = earlier + (b"; " if name == b"Cookie" else b", ") + value
        super().__setitem__(name, value)


class StrictHeaderReader(HeaderReader):
    """Reads headers and rejects ambiguous ones."""

    def __call__(self, rfile, hdict=None):
        """Read headers into ``hdict`` and return it."""
        hdict = {} if hdict is None else hdict
        hdict.update(super().__call__(CheckedHeaderLines(rfile), JoinedHeaders()))
        return hdict

    def _allow_header(self, key_name):
        # In a WSGI environment, a name with underscores has the same key as one with dashes.
        return b"_" not in key_name


class PathLine:
    """Reads a request line, whose target is a path also if it begins with two slashes.

    The library takes what follows two slashes for the name of a host. ``/.`` before the path
    says that it is none (RFC 3986, section 3.3 and 5.2.4).

    Args:
        rfile: The file to read from.

    Attributes:
        has_mark: Whether the target that was returned begins with ``MARK``.
    """

    MARK = b"/."

    def __init__(self, rfile):
        self.rfile = rfile
        self.has_mark = False

    def readline(self):
        """Return the next line."""
        line = self.rfile.readline()
        method, _, rest = line.partition(b" ")
        self.has_mark = rest.startswith(b"//")
        return b"%s %s%s" % (method, self.MARK, rest) if self.has_mark else line


class JsonErrorRequest(HTTPRequest):
    """A request whose protocol errors get a response with an error code in a JSON body.

    The limits that are in force when it begins to be read apply until it ends, since its caller
    cannot know of a later change.

    Attributes:
        read_timeout_s: Time for the head, and for the body, in seconds.
        max_body_bytes: Largest size of the body.
    """

    header_reader = StrictHeaderReader()

    def parse_request(self):
        """Read the head within the time that callers have for it; the body has as long.

        The application gives a body that it passes on the time of its request instead.
        """
        self.read_timeout_s = self.server.read_timeout_s
        self.conn.progress.enter(READING, self.read_timeout_s)
        self.max_body_bytes = self.server.max_request_body_size
        self.conn.limit_pauses(self.read_timeout_s)
        self.conn.rfile.end_at(self.conn.progress.ends_s)
        super().parse_request()
        if not self.ready:
            return
        if self.server.is_closing:
            self.close_connection = True
            self.conn.buffer_response()
        progress = self.conn.progress
        progress.note_request()
        if self.chunked_read or self.inheaders.get(b"Content-Length", b"0") != b"0":
            progress.enter(READING_BODY, self.read_timeout_s)
            self.conn.rfile.end_at(progress.ends_s)
        else:
            progress.enter(DECIDING)

    def read_request_line(self):
        """Read the request line."""
        rfile = self.rfile
        self.rfile = path_line = PathLine(rfile)
        try:
            is_valid = super().read_request_line()
        finally:
            self.rfile = rfile
        if is_valid and path_line.has_mark:
            self.uri = self.uri.removeprefix(PathLine.MARK)
            self.path = self.path.removeprefix(PathLine.MARK)
        if is_valid and not has_valid_characters(self.method, self.uri):
            self.simple_response("400 Bad Request", "malformed method or target")
            return False
        return is_valid

    def read_request_headers(self):
        """Read the headers; reject a request with a content length and chunked encoding."""
        if not super().read_request_headers():
            return False
        if self.chunked_read and b"Content-Length" in self.inheaders:
            self.simple_response(
                "400 Bad Request", "both Content-Length and chunked encoding are given"
            )
            return False
        return True

    def respond(self):
        """Send the response; the length of the body, if it is known, was checked with the head."""
        if self.chunked_read:
            self.rfile = BoundedChunks(self.conn.rfile, self.max_body_bytes)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")

    def send_headers(self):
        """Send the headers; the last response on a connection closes it.

        Others say for how long the connection is kept without a request. That is a little less
        than the timeout, so that a request sent in time arrives in time.
        """
        names_and_values = [(name.lower(), value.lower()) for name, value in self.outheaders]
        if (b"connection", b"close") in names_and_values:
            self.close_connection = True
        elif not self.close_connection:
            self.conn.progress.idle_timeout_s = self.server.timeout
            kept_s = int(self.server.timeout - LINGER_S)
            if kept_s >= 1 and self.response_protocol == "HTTP/1.1":
                self.outheaders.append((b"Keep-Alive", b"timeout=%d" % kept_s))
        super().send_headers()

    def ends_with_connection(self):
        """Return whether the end of the connection is the end of the response."""
        names = {name.lower() for name, _ in self.outheaders}
        return self.sent_headers and not self.chunked_write and b"content-length" not in names

    def simple_response(self, status, msg=""):
        """Send an error response that the server creates itself, and close the connection."""
        status = str(status)
        code = _CODE_BY_STATUS.get(status[:3], "bad-request")
        if status.startswith("413") and "headers" in str(msg).lower():
            code = "headers-too-large"
        is_unknown = status[:3] in _STATUSES_OF_UNKNOWN_OUTCOME
        outcome = OUTCOME_UNKNOWN if is_unknown else OUTCOME_NOT_RUN
        body = error_body(code, outcome, str(msg) or status)
        head_lines = [
            f"{self.server.protocol} {status}\r\n",
            f"Content-Length: {len(body)}\r\n",
            "Content-Type: application/json\r\n",
            f"Greengage-Outcome: {outcome}\r\n",
            "Connection: close\r\n",
            "\r\n",
        ]
        self.close_connection = True
        self.server.on_protocol_error(code, status, str(msg))
        try:
            self.conn.wfile.write("".join(head_lines).encode("latin-1") + body)
        except OSError:
            # The caller has closed the connection, so the response cannot be sent.
            return


class DescriptorGateway(Gateway_10):
    """A WSGI gateway that adds the caller's connection to the environment.

    ``greengage.descriptor`` is the descriptor of its socket, ``greengage.close_connection`` a
    function after whose call the server reads no further request on it,
    ``greengage.end_reading_within`` a function that sets the time for the rest of the body, and
    ``greengage.progress`` the ``ConnectionProgress``.
    """

    def get_environ(self):
        """Return the WSGI environment."""
        environ = super().get_environ()
        environ["greengage.descriptor"] = self.req.conn.socket.fileno()
        environ["greengage.close_connection"] = self.close_connection
        environ["greengage.end_reading_within"] = self.req.conn.rfile.end_within
        environ["greengage.progress"] = self.req.conn.progress
        return environ

    def respond(self):
        """Send the response of the application.

        If it is interrupted, the end of the connection must not look like that of the response.
        """
        try:
            super().respond()
        except Exception:
            if self.req.ends_with_connection():
                self.req.conn.reset_on_close()
            raise

    def close_connection(self):
        """Close the connection after the response."""
        self.req.close_connection = True


class JsonErrorConnection(HTTPConnection):
    """A connection whose requests are ``JsonErrorRequest`` objects, with bounded input.

    Attributes:
        progress: The ``ConnectionProgress``.
    """

    RequestHandlerClass = JsonErrorRequest

    def __init__(self, server, sock, makefile=make_file):
        super().__init__(server, sock, make_file)
        self.progress = ConnectionProgress()
        self._is_reset_on_close = False

    def limit_pauses(self, pause_s):
        """Let a read end if nothing arrives for ``pause_s`` seconds."""
        if self.socket.gettimeout() != pause_s:
            self.socket.settimeout(pause_s)

    def reset_on_close(self):
        """Let closing the connection reset it instead of ending the stream."""
        self._is_reset_on_close = True

    def buffer_response(self):
        """Let the operating system take a whole response, however slowly the caller reads it."""
        if self.progress.stage in (IDLE, LINGERING):
            return
        # The connection may be closed already.
        with contextlib.suppress(OSError):
            grow_send_buffer(self.socket)

    def close(self):
        """Close the connection; the server does not count it any longer."""
        try:
            super().close()
        finally:
            self.server.open_connections.remove(self)

    def _close_kernel_socket(self):
        if self._is_reset_on_close:
            # Shutting the socket down first would end the stream.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        else:
            super()._close_kernel_socket()


def error_body(code, outcome, detail=""):
    """Return the JSON body of an error response from this host."""
    kind = ERROR_KINDS[code]
    body = {"code": code, "outcome": outcome, "summary": kind.summary, "detail": detail}
    if kind.retry_after_s is not None:
        body["retry_after_s"] = kind.retry_after_s
    return json.dumps(body).encode() + b"\n"


def error_headers(code, outcome, body):
    """Return the headers of an error response from this host."""
    kind = ERROR_KINDS[code]
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Greengage-Outcome", outcome),
    ]
    if kind.retry_after_s is not None:
        headers.append(("Retry-After", str(kind.retry_after_s)))
    return headers


def refusal_of_stopping_server():
    """Return the bytes of the response to requests that arrive too late to be read."""
    body = error_body("stopping", OUTCOME_NOT_RUN)
    headers = error_headers("stopping", OUTCOME_NOT_RUN, body)
    return make_farewell("503 Service Unavailable", headers, body)


class HttpServer:
    """An HTTP server on one port.

    Args:
        ip: IP address to listen on.
        port: Port to listen on.
        application: A WSGI application.
        limits: The ``LimitSettings``.
        threads: Largest number of worker threads.
        log: Callable that writes one log line.
        min_threads: Number of worker threads that it keeps while it has no requests.
        farewell: The bytes of the response that a planned stop sends on connections without a
            request, since one may be on its way; a refusal by default, empty to close them
            without.
        linger_s: Time for which these connections then stay open at most, and in which the first
            request on a new one arrives, in seconds.

    Attributes:
        address: ``IP:PORT``.
        open_connections: The ``OpenConnections``.
    """

    def __init__(
        self,
        ip,
        port,
        application,
        limits,
        threads,
        log,
        min_threads=MIN_THREADS,
        farewell=None,
        linger_s=LINGER_S,
    ):
        self.log = log
        self.address = f"{ip}:{port}"
        self.linger_s = linger_s
        self.farewell = refusal_of_stopping_server() if farewell is None else farewell
        min_threads = min(min_threads, threads)
        adapter = Server()
        adapter.socket_host = ip
        adapter.socket_port = port
        adapter.socket_queue_size = limits.queued_connections
        adapter.socket_timeout = limits.idle_connection_s
        adapter.thread_pool = min_threads
        adapter.max_request_header_size = limits.header_bytes
        adapter.max_request_body_size = limits.body_bytes
        self.server = CPWSGIServer(adapter)
        self.server.wsgi_app = application
        self.server.open_connections = OpenConnections()
        self.server.is_closing = False
        self.server.requests = ElasticWorkerPool(self.server, min_threads, threads, log)
        self.server.ConnectionClass = JsonErrorConnection
        self.server.gateway = DescriptorGateway
        self.server.on_protocol_error = self._on_protocol_error
        self.server.error_log = self._on_server_error
        self.server.server_name = ip
        # Idle connections are limited only by the file descriptors of the process.
        self.server.keep_alive_conn_limit = None
        self.server.read_timeout_s = limits.idle_connection_s
        self.open_connections = self.server.open_connections
        self.thread = None

    def start(self):
        """Start listening, then serve on a separate thread."""
        self.server.prepare()
        # The server has no option for its connection manager, so replace its private attribute.
        self.server._connections._selector.close()
        self.server._connections = DeferringConnectionManager(self.server)
        self.thread = threading.Thread(target=self.server.serve, name="http", daemon=True)
        self.thread.start()

    def stop(self):
        """Stop the server; requests in progress may finish within its shutdown timeout."""
        self.server.stop()
        self.thread.join(timeout=self.server.shutdown_timeout)

    def count_in_progress(self):
        """Return the number of connections whose requests are being read or answered."""
        return self.server.requests.pending

    def begin_closing(self):
        """Let each response from now on close its connection, and outlive this process."""
        self.server.is_closing = True
        for connection in self.open_connections.all():
            connection.buffer_response()

    def stop_accepting(self):
        """Close the port; requests on open connections are still served."""
        self.server._connections.stop_accepting()

    def close_idle_connections(self):
        """Close the connections on which no request has begun to arrive."""
        self.server._connections.close_idle()

    def dismiss_idle_connections(self, now_s):
        """End connections without a request so that one on its way gets a response.

        Has to be called again until none is open.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Whether those that had been open before have ended.
        """
        manager = self.server._connections
        if self.farewell:
            manager.begin_lingering(self.farewell, now_s, self.linger_s)
            manager.end_lingering(now_s)
        else:
            manager.close_idle()
        return not manager.lingering

    def apply_limits(self, limits):
        """Apply the operator's ``CallerLimits`` to later requests."""
        self.server.max_request_header_size = limits.header_bytes
        self.server.max_request_body_size = limits.body_bytes
        self.server.timeout = limits.idle_timeout_s
        self.server.read_timeout_s = limits.header_timeout_s

    def _on_protocol_error(self, code, status, detail):
        self.log("bad-http", code=code, status=status, detail=detail)

    def _on_server_error(self, msg="", level=20, traceback=False):
        self.log("http-server", detail=msg, severity=level)
