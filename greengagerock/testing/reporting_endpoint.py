"""HTTP endpoint for tests that reports to controllers and holds the keys that they grant."""

import contextlib
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import urllib3

from greengagerock.assignment import EndpointReport, FreedRange, HeldRange, ReportResponse
from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.testing.raw_endpoint import RESET_ON_CLOSE
from greengagerock.web.native_dialect import REFUSED_HEADER
from greengagerock.web.route_dialect import (
    KEY_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    LOAD_HEADER,
    REFUSED_NOT_OWNER,
    REQUEST_ID_HEADER,
)

REPORT_INTERVAL_S = 0.3
RELEASE_REPORT_S = 0.05
REPORT_TIMEOUT_S = 1.0


class ReportingEndpoint:
    """A stand-in endpoint of a service with or without keys, which reports to controllers.

    Args:
        name: Unique name.
        service: Service it belongs to.
        zone: Availability zone.
        address: ``IP:PORT`` to listen on.
        controllers: ``IP:PORT`` of the controllers; after a failed report the next one is used.
        advertised_address: ``IP:PORT`` that it reports, if routers reach it through a proxy.
        observer: Object whose methods ``on_run`` and ``on_holds`` are called for each run and
            each report response with grants, or ``None``.

    Attributes:
        holds: Fence and end of the hold by unit.
        freed: Handover token by unit, for units that it has released but not yet reported.
        runs: Number of runs by request id.
        refusals: Number of requests refused by ``response_fault``.
        refused_ids: Ids of the requests refused by ``refused-then-again``.
        misleading_copies: Number of refusals that came again before the response to another
            attempt of the same request.
        bodies: Last request body by request id.
        response_fault: Fault of the following responses. ``whole``: none; ``torn``: the body
            ends early; ``extra``: a second response follows; ``late-extra``: a response with
            the id of the previous request comes before the next response; ``close``: the
            connection is closed without a response; ``full``: the request is refused;
            ``refused-again``: a refusal without an id comes before each response but the first
            of a connection; ``refused-then-again``: the first attempt of each request is refused,
            and the refusal comes again before the next response of its connection;
            ``torn-head``: the connection is closed within the head;
            ``early``: the response is sent before the body is read, and the connection closed;
            ``early-reset``: a part of a response without a length is sent before the body is
            read, and the connection reset.
        retry_after: Value of the header with which refused requests are to come back, or empty.
        says_leaving: Whether its responses say that it leaves.
        endless_responses: Number of responses without end that it sends at the moment.
        limit: Value of the header that names how many requests a second it takes, or empty.
        load: Value of the header that states its load, or empty.
        delay_s: Time that it takes to run a request.
        drain_acknowledged_s: Monotonic time of the first accepted report that announced draining,
            or ``None``.
    """

    def __init__(
        self, name, service, zone, address, controllers, advertised_address="", observer=None
    ):
        self.name = name
        self.advertised_address = advertised_address or address
        self.observer = observer
        self.drain_acknowledged_s = None
        self.service = service
        self.zone = zone
        self.address = address
        self.controllers = list(controllers)
        self.started_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.draining = False
        self.holds = {}
        self.freed = {}
        self.runs = Counter()
        self.refusals = 0
        self.refused_ids = set()
        self.misleading_copies = 0
        self.bodies = {}
        self.response_fault = "whole"
        self.retry_after = ""
        self.says_leaving = False
        self.endless_responses = 0
        self.limit = ""
        self.load = ""
        self.delay_s = 0.0
        self.lock = threading.Lock()
        self.stop_requested = threading.Event()
        ip, _, port = address.rpartition(":")
        self.server = _Server((ip, int(port)), _Handler)
        self.server.endpoint = self
        self.http = urllib3.PoolManager(retries=False, timeout=REPORT_TIMEOUT_S)

    def start(self):
        """Start the threads that serve requests and send reports."""
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._report_periodically, daemon=True).start()

    def stop(self):
        """Stop serving and reporting, and close all connections."""
        self.stop_requested.set()
        self.server.shutdown()
        self.server.server_close()
        self.server.break_connections()

    def restart(self):
        """Become a later instance of the same endpoint, which holds nothing."""
        with self.lock:
            self.started_ms = max(self.started_ms + 1, time.time_ns() // 1_000_000)
            self.sequence = 0
            self.draining = self.says_leaving = False
            self.holds, self.freed = {}, {}

    def holds_key(self, key):
        """Return whether the endpoint holds a key and may run a request for it."""
        with self.lock:
            until_s = self.holds.get(key // KEYS_PER_UNIT, (0, 0.0))[1]
        return time.monotonic() < until_s

    def _report_periodically(self):
        controller_index = 0
        while not self.stop_requested.is_set():
            controller = self.controllers[controller_index % len(self.controllers)]
            delay_s = self._report(controller)
            if delay_s is None:
                controller_index += 1
                delay_s = RELEASE_REPORT_S
            self.stop_requested.wait(delay_s)

    def _report(self, controller):
        """Send one report.

        Returns:
            Seconds until the next report, or ``None`` after a failure.
        """
        with self.lock:
            now_s = time.monotonic()
            self.holds = {u: hold for u, hold in self.holds.items() if hold[1] > now_s}
            self.sequence += 1
            report = EndpointReport(
                self.name,
                self.started_ms,
                self.sequence,
                self.advertised_address,
                self.service,
                self.zone,
                3,
                self.draining,
                0.0,
                tuple(HeldRange(*_key_range(u), hold[0]) for u, hold in self.holds.items()),
                tuple(FreedRange(*_key_range(u), token) for u, token in self.freed.items()),
            )
        url = f"http://{controller}/endpoints/{self.name}/report"
        try:
            response = self.http.request("POST", url, body=msgspec.json.encode(report))
            if response.status != 200:
                return None
            report_response = msgspec.json.decode(response.data, type=ReportResponse)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None
        if report.draining and self.drain_acknowledged_s is None:
            self.drain_acknowledged_s = time.monotonic()
        return self._apply_response(report_response, now_s)

    def _apply_response(self, response, sent_s):
        with self.lock:
            self.freed = {}
            if response.grants is None:
                return REPORT_INTERVAL_S
            granted_holds = {}
            for row in response.grants:
                for unit in range(row.first // KEYS_PER_UNIT, row.last // KEYS_PER_UNIT + 1):
                    granted_holds[unit] = (row.fence, sent_s + response.hold_s)
            self.freed = {u: f"token-{u}" for u in self.holds if u not in granted_holds}
            self.holds = granted_holds
            if self.observer is not None:
                self.observer.on_holds(
                    self, {u: until_s for u, (_, until_s) in granted_holds.items()}
                )
            return RELEASE_REPORT_S if self.freed else REPORT_INTERVAL_S


def _key_range(unit):
    return unit * KEYS_PER_UNIT, unit * KEYS_PER_UNIT + KEYS_PER_UNIT - 1


# First bytes and repeated bytes of responses without end, by name of the fault.
ENDLESS_RESPONSES = {
    "endless-line": (b"HTTP/1.1 200 O", b"K"),
    "endless-headers": (b"HTTP/1.1 200 OK\r\n", b"Same: line\r\n"),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless-short-body": (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x"),
    "endless-chunk-size": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0"),
    "endless-chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "endless-trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        b"Same: trailer\r\n",
    ),
    "endless-garbage": (b"", b"\x00\xff garbage"),
}
REFUSED_LINE = f"{REFUSED_HEADER}: full\r\n".encode()
ENDLESS_INTERVAL_S = 0.005
SLOW_BODY_S = 0.6
LINGER_S = 0.5
# Bytes of a response that is interrupted.
PART_BYTES = 3000


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.connections = set()

    def get_request(self):
        """Accept a connection and add it to ``connections``."""
        sock, address = super().get_request()
        self.connections.add(sock)
        return sock, address

    def shutdown_request(self, request):
        """Close a connection and remove it from ``connections``."""
        self.connections.discard(request)
        super().shutdown_request(request)

    def break_connections(self):
        """Shut all connections down, as happens when a process ends."""
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        """Ignore errors of connections that the peer has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    delayed_request_id = ""
    has_responded = False
    repeated_refusal = b""
    refused_id = ""

    def log_message(self, format, *args):
        """Disable the access log."""

    def do_GET(self):
        """Handle a request."""
        self._run()

    def do_POST(self):
        """Handle a request."""
        self._run()

    def _run(self):
        endpoint = self.server.endpoint
        if endpoint.response_fault == "early":
            self._respond_early()
            return
        if endpoint.response_fault == "early-reset":
            self._reset_early()
            return
        body = self._read_body()
        if self.repeated_refusal:
            with endpoint.lock:
                is_misleading = self.headers.get(REQUEST_ID_HEADER) == self.refused_id
                endpoint.misleading_copies += is_misleading
            self.wfile.write(self.repeated_refusal)
            self.repeated_refusal = b""
        if endpoint.response_fault == "endless-refusal":
            self._send_without_end(b"HTTP/1.1 503 Busy\r\n" + REFUSED_LINE + b"\r\n", b"x" * 64)
            return
        key = self.headers.get(KEY_HEADER)
        if key is not None and not endpoint.holds_key(int(key)):
            self._send_response(503, b"", {REFUSED_HEADER: REFUSED_NOT_OWNER})
            return
        if endpoint.response_fault == "full":
            pause = {"Retry-After": endpoint.retry_after} if endpoint.retry_after else {}
            with endpoint.lock:
                endpoint.refusals += 1
            self._send_response(503, b"", {REFUSED_HEADER: "full", **pause})
            return
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        if endpoint.response_fault == "refused-then-again" and self._refuses_first(request_id):
            return
        if endpoint.response_fault == "refused-again" and self.has_responded:
            self.wfile.write(
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + REFUSED_LINE + b"\r\n"
            )
        self.has_responded = True
        with endpoint.lock:
            endpoint.runs[request_id] += 1
            endpoint.bodies[request_id] = body
        if endpoint.observer is not None:
            endpoint.observer.on_run(endpoint, request_id, f"{self.command} {self.path}", body)
        time.sleep(endpoint.delay_s)
        if self.delayed_request_id:
            self._send_response(200, b"stray\n", {}, request_id=self.delayed_request_id)
            self.delayed_request_id = ""
        if endpoint.response_fault in ENDLESS_RESPONSES:
            self._send_without_end(*ENDLESS_RESPONSES[endpoint.response_fault])
            return
        if endpoint.response_fault == "close":
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
            return
        if endpoint.response_fault == "torn-head":
            head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\nContent-Le"
            self.wfile.write(head.encode())
            self.close_connection = True
            return
        content = f"{endpoint.name} ran {self.command} {self.path}\n".encode() + body
        if endpoint.response_fault == "slow-body":
            self._send_response(200, b"", {}, len(content))
            for byte in content:
                self.wfile.write(bytes([byte]))
                time.sleep(SLOW_BODY_S / len(content))
            return
        if endpoint.response_fault == "torn":
            self._send_response(200, content, {}, len(content) + 10)
            self.close_connection = True
            return
        # ``path`` has one slash where the request line has two at the beginning.
        self._send_response(200, content, {"Request-Path": self.requestline.split()[1]})
        if endpoint.response_fault == "extra":
            self._send_response(200, b"stray\n", {})
        elif endpoint.response_fault == "late-extra":
            self.delayed_request_id = request_id

    def _refuses_first(self, request_id):
        """Refuse the first attempt of a request; return whether it was that."""
        endpoint = self.server.endpoint
        with endpoint.lock:
            if request_id in endpoint.refused_ids:
                return False
            endpoint.refused_ids.add(request_id)
        self.refused_id = request_id
        head = f"HTTP/1.1 503 Busy\r\n{REQUEST_ID_HEADER}: {request_id}\r\nContent-Length: 0\r\n"
        self.repeated_refusal = head.encode() + REFUSED_LINE + b"\r\n"
        self.wfile.write(self.repeated_refusal)
        return True

    def _respond_early(self):
        """Respond, close this side, and read on for a moment, as RFC 9112, section 9.6, says."""
        self._send_response(200, b"early\n", {"Connection": "close"})
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_WR)
        self.connection.settimeout(LINGER_S)
        with contextlib.suppress(OSError):
            end_s = time.monotonic() + LINGER_S
            while time.monotonic() < end_s and self.connection.recv(65_536):
                pass

    def _reset_early(self):
        """Send a part of a response without a length, and reset the connection."""
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\nConnection: close\r\n"
        self.wfile.write(head.encode() + b"\r\n" + b"x" * PART_BYTES)
        self.close_connection = True
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.server.close_request(self.request)

    def _send_without_end(self, first, repeated):
        """Send bytes without end, in small pieces, until the peer closes the connection."""
        self.close_connection = True
        endpoint = self.server.endpoint
        with endpoint.lock:
            endpoint.endless_responses += 1
        try:
            self.connection.sendall(first)
            while True:
                self.connection.sendall(repeated)
                time.sleep(ENDLESS_INTERVAL_S)
        except OSError:
            # The peer has closed the connection.
            with endpoint.lock:
                endpoint.endless_responses -= 1

    def _read_body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while size := int(self.rfile.readline().split(b";")[0], 16):
                parts.append(self._read_exactly(size))
                self.rfile.readline()
            self.rfile.readline()
            return b"".join(parts)
        return self._read_exactly(int(self.headers.get("Content-Length", 0)))

    def _read_exactly(self, size):
        data = self.rfile.read(size)
        if len(data) < size:
            # An incomplete request is not processed (RFC 9112, section 8).
            raise ConnectionError(f"request ended after {len(data)} of {size} bytes")
        return data

    def _send_response(self, status, content, headers, length=None, request_id=""):
        self.send_response(status)
        request_id = request_id or self.headers.get(REQUEST_ID_HEADER, "")
        if request_id:
            self.send_header(REQUEST_ID_HEADER, request_id)
        if self.server.endpoint.says_leaving:
            self.send_header(LEAVING_HEADER, "1")
        if self.server.endpoint.limit:
            self.send_header(LIMIT_HEADER, self.server.endpoint.limit)
        if self.server.endpoint.load:
            self.send_header(LOAD_HEADER, self.server.endpoint.load)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content) if length is None else length))
        self.end_headers()
        self.wfile.write(content)
