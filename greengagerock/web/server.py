"""HTTP servers on CherryPy's WSGI server, with coded errors."""

import json
import threading

from cheroot.connections import ConnectionManager
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10
from cherrypy._cpserver import Server
from cherrypy._cpwsgi_server import CPWSGIServer

from greengagerock.core import ERROR_KINDS, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN

# Statuses that can interrupt a request which has already been forwarded.
_STATUSES_OF_UNKNOWN_OUTCOME = frozenset({"408", "500"})

_CODE_BY_STATUS = {
    "413": "body-too-large",
    "414": "headers-too-large",
    "431": "headers-too-large",
    "408": "request-timeout",
    "500": "internal-error",
}


# Headers that say where a request ends or goes; two of them can be read in two ways.
_SINGLE_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"host"})


class CheckedHeaderLines:
    """Header lines of a request; those that servers read in different ways are refused.

    Args:
        rfile: Where lines come from.
    """

    def __init__(self, rfile):
        self.rfile = rfile
        self.seen = set()

    def readline(self, *size):
        """Return the next line.

        Raises:
            ValueError: If it repeats a header that frames the request, continues the line
                before it, or holds a lone carriage return.
        """
        line = self.rfile.readline(*size)
        if line[:1] in (b" ", b"\t"):
            raise ValueError("a header line is continued")
        if b"\r" in line[:-2]:
            raise ValueError("a header line holds a carriage return")
        name, _, value = line.partition(b":")
        name = name.lower()
        if name in _SINGLE_HEADERS:
            if name in self.seen:
                raise ValueError("a header that frames the request is repeated")
            self.seen.add(name)
            if name == b"content-length" and not value.strip().isdigit():
                raise ValueError("the length is not a number")
        return line


class StrictHeaderReader(HeaderReader):
    """Reads headers and refuses ambiguous ones."""

    def __call__(self, rfile, hdict=None):
        """Read headers into ``hdict`` and return it."""
        return super().__call__(CheckedHeaderLines(rfile), hdict)

    def _allow_header(self, key_name):
        # WSGI would give a name with an underscore the key of the one with a dash.
        return b"_" not in key_name


class CodedRequest(HTTPRequest):
    """A request whose protocol faults are answered with a coded JSON body."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self):
        """Read the headers, and refuse a body that is framed in two ways."""
        if not super().read_request_headers():
            return False
        if self.chunked_read and b"Content-Length" in self.inheaders:
            self.simple_response("400 Bad Request", "both a length and chunks are given")
            return False
        return True

    def simple_response(self, status, msg=""):
        """Answer a request that never reached the application."""
        status = str(status)
        code = _CODE_BY_STATUS.get(status[:3], "bad-request")
        if status.startswith("413") and "headers" in str(msg).lower():
            code = "headers-too-large"
        unknown = status[:3] in _STATUSES_OF_UNKNOWN_OUTCOME
        outcome = OUTCOME_UNKNOWN if unknown else OUTCOME_NOT_RUN
        body = error_body(code, outcome, str(msg) or status)
        head = [
            f"{self.server.protocol} {status}\r\n",
            f"Content-Length: {len(body)}\r\n",
            "Content-Type: application/json\r\n",
            f"Greengage-Outcome: {outcome}\r\n",
            "Connection: close\r\n",
            "\r\n",
        ]
        self.close_connection = True
        self.server.on_protocol_fault(code, status, str(msg))
        try:
            self.conn.wfile.write("".join(head).encode("latin-1") + body)
        except OSError:
            # The caller has closed its side; there is nobody left to tell.
            return


class SocketGateway(Gateway_10):
    """A WSGI gateway that lets the application see the caller's connection."""

    def get_environ(self):
        """Return the environment with the descriptor of the caller's socket."""
        environ = super().get_environ()
        environ["greengage.descriptor"] = self.req.conn.socket.fileno()
        return environ


class PatientConnectionManager(ConnectionManager):
    """Hands a new connection to a worker only once something can be read from it.

    A caller that connects and says nothing thus holds no thread.
    """

    def _from_server_socket(self, server_socket):
        connection = super()._from_server_socket(server_socket)
        if connection is not None:
            connection.socket.settimeout(self.server.read_timeout_s)
            self.put(connection)
        return None


class CodedConnection(HTTPConnection):
    """A connection that uses ``CodedRequest``."""

    RequestHandlerClass = CodedRequest


def error_body(code, outcome, detail=""):
    """Return the JSON body of an answer that is not an endpoint's."""
    kind = ERROR_KINDS[code]
    body = {"code": code, "outcome": outcome, "summary": kind.summary, "detail": detail}
    if kind.retry_after_s is not None:
        body["retry_after_s"] = kind.retry_after_s
    return json.dumps(body).encode() + b"\n"


def error_headers(code, outcome, body):
    """Return the headers of an answer that is not an endpoint's."""
    kind = ERROR_KINDS[code]
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Greengage-Outcome", outcome),
    ]
    if kind.retry_after_s is not None:
        headers.append(("Retry-After", str(kind.retry_after_s)))
    return headers


class HttpServer:
    """One HTTP port.

    Args:
        ip: IP number to listen on.
        port: Port to listen on.
        application: A WSGI application.
        limits: The ``LimitSettings``.
        threads: Number of worker threads.
        log: Callable that writes one log line.
    """

    def __init__(self, ip, port, application, limits, threads, log):
        self.log = log
        adapter = Server()
        adapter.socket_host = ip
        adapter.socket_port = port
        adapter.socket_queue_size = limits.queued_connections
        adapter.socket_timeout = limits.idle_connection_s
        adapter.thread_pool = threads
        adapter.max_request_header_size = limits.header_bytes
        adapter.max_request_body_size = limits.body_bytes
        self.server = CPWSGIServer(adapter)
        self.server.wsgi_app = application
        self.server.ConnectionClass = CodedConnection
        self.server.gateway = SocketGateway
        self.server.on_protocol_fault = self._on_protocol_fault
        self.server.error_log = self._on_server_error
        self.server.server_name = ip
        # The descriptors of the process are the only limit.
        self.server.keep_alive_conn_limit = None
        self.server.read_timeout_s = limits.idle_connection_s
        self.thread = None

    def start(self):
        """Start listening, then serve on a thread."""
        self.server.prepare()
        # The server has no setting for its connection manager.
        self.server._connections._selector.close()
        self.server._connections = PatientConnectionManager(self.server)
        self.thread = threading.Thread(target=self.server.serve, name="http", daemon=True)
        self.thread.start()

    def stop(self):
        """Stop serving; requests in progress may end within the server's shutdown time."""
        self.server.stop()
        self.thread.join(timeout=self.server.shutdown_timeout)

    def use_limits(self, limits):
        """Apply the operator's ``CallerLimits`` to requests that come from now on."""
        self.server.max_request_header_size = limits.header_bytes
        self.server.max_request_body_size = limits.body_bytes
        self.server.timeout = limits.idle_timeout_s
        self.server.read_timeout_s = limits.header_timeout_s

    def _on_protocol_fault(self, code, status, detail):
        self.log("bad-http", code=code, status=status, detail=detail)

    def _on_server_error(self, msg="", level=20, traceback=False):
        self.log("http-server", detail=msg, severity=level)
