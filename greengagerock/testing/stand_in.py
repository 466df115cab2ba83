"""Stand-in endpoint for tests, with switches that simulate faults of real endpoints."""

import json
import os
import secrets
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import msgspec

from greengagerock.agent.announcer import Announcer
from greengagerock.agent.grant_table import GrantTable
from greengagerock.agent.orders import ORDER_HEADER, Order
from greengagerock.model import STATE_DRAINING, STATE_READY, Announcement
from greengagerock.testing.fault_switches import Switches

SWITCH_PATH = "/-/switches"
RUNS_PATH = "/-/runs"
FREEZE_POLL_S = 0.01
SILENCE_DURATION_S = 3600.0
CRASH_HEADER = "Crash"
BODY_BLOCK = bytes(range(256)) * 256


class StandIn:
    """An HTTP endpoint that announces itself, holds grants and counts the requests that it runs.

    Args:
        name: Unique name.
        service: Service it belongs to.
        zone: Availability zone.
        ip: IP address to listen on.
        port: Port to listen on; 0 for any free one.
        entry_addresses: ``IP:PORT`` of the endpoint ports of the zone's entry hosts.
        concurrency: Number of requests that it runs at once.
        checks_orders: Whether it refuses requests with an outdated fence.
        exits_on_crash: Whether a crash ends the whole process instead of only this endpoint.

    Attributes:
        runs: Number of runs by request id.
        keys_run: Number of runs by idempotency key.
    """

    def __init__(
        self,
        name,
        service,
        zone,
        ip,
        port,
        entry_addresses,
        concurrency=3,
        checks_orders=True,
        exits_on_crash=False,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.concurrency = concurrency
        self.checks_orders = checks_orders
        self.exits_on_crash = exits_on_crash
        self.switches = Switches()
        self.incarnation = secrets.token_hex(4)
        self.lock = threading.Lock()
        self.grant_table = GrantTable()
        self.slots = threading.BoundedSemaphore(concurrency)
        self.runs = Counter()
        self.keys_run = Counter()
        self.in_flight = 0
        self.silenced_before_s = 0.0
        self.server = _Server((ip, port), _Handler)
        self.server.stand_in = self
        self.address = f"{ip}:{self.server.server_address[1]}"
        self.announcer = Announcer(entry_addresses, self.make_announcement, self.apply_reply)
        self._thread = threading.Thread(
            target=self.server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True
        )

    def start(self):
        """Start serving requests and sending announcements."""
        self._thread.start()
        self.announcer.start()

    def stop(self):
        """Stop without draining, as a killed process does."""
        self.announcer.stop()
        self.server.shutdown()
        self.server.server_close()
        self.server.close_connections()

    def set_switches(self, switches):
        """Set the switches and pause or resume announcements accordingly."""
        if switches.silent_connections and not self.switches.silent_connections:
            self.silenced_before_s = time.monotonic()
        self.switches = switches
        if switches.frozen or not switches.announces:
            self.announcer.paused_event.set()
        else:
            self.announcer.paused_event.clear()

    def make_announcement(self):
        """Return an announcement of the current state."""
        with self.lock:
            self.grant_table.expire(time.monotonic())
            applied_version = self.grant_table.applied_version
        in_flight_override = self.switches.reported_in_flight
        return Announcement(
            self.name,
            self.service,
            self.zone,
            self.address,
            self.incarnation,
            self.concurrency,
            self.checks_orders,
            STATE_DRAINING if self.switches.draining else STATE_READY,
            self.in_flight if in_flight_override is None else in_flight_override,
            applied_version,
        )

    def apply_reply(self, reply, sent_s):
        """Apply the reply to an announcement; returns whether its grants are applied."""
        with self.lock:
            self.grant_table.apply_reply(reply, sent_s, time.monotonic())
            return reply.grants is not None and self.grant_table.applied_version == reply.version

    def admit(self, order):
        """Return whether a request with this order may run; see ``GrantTable.start_request``."""
        if not self.checks_orders or order is None:
            return True
        if order.incarnation != self.incarnation:
            return False
        with self.lock:
            return self.grant_table.start_request(order.unit, order.fence, time.monotonic())

    def finish(self, order):
        """End an admitted request."""
        if self.checks_orders and order is not None:
            with self.lock:
                self.grant_table.end_request(order.unit)

    def commit(self, order, headers):
        """Record the effect of a request unless its order has become outdated.

        Returns:
            Whether it took effect and was counted as run.
        """
        with self.lock:
            is_checked = self.checks_orders and order is not None
            now_s = time.monotonic()
            if is_checked and not self.grant_table.still_owns(order.unit, order.fence, now_s):
                return False
            self.runs[headers.get("Greengage-Request-Id", "")] += 1
            if headers.get("Idempotency-Key"):
                self.keys_run[headers["Idempotency-Key"]] += 1
            return True

    def crash(self):
        """Simulate a crash: exit the process, or stop only this endpoint."""
        if self.exits_on_crash:
            os._exit(70)
        threading.Thread(target=self.stop, daemon=True).start()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, address, handler):
        self.open_sockets = set()
        super().__init__(address, handler)

    def handle_error(self, request, client_address):
        """Ignore errors of connections that the peer has closed."""

    def close_connections(self):
        """Close every open connection."""
        for sock in list(self.open_sockets):
            try:
                sock.close()
            except OSError:
                continue


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024

    def setup(self):
        super().setup()
        self.opened_s = time.monotonic()
        self.server.open_sockets.add(self.connection)

    def finish(self):
        self.server.open_sockets.discard(self.connection)
        super().finish()

    def log_message(self, format, *args):
        """Disable the access log; tests read the counters instead."""

    def parse_request(self):
        """Block while frozen or silenced, then parse the request."""
        self.wait_while_frozen()
        stand_in = self.server.stand_in
        if stand_in.switches.silent_connections and self.opened_s < stand_in.silenced_before_s:
            time.sleep(SILENCE_DURATION_S)
        return super().parse_request()

    def wait_while_frozen(self):
        """Block while the stand-in is frozen."""
        while self.server.stand_in.switches.frozen:
            time.sleep(FREEZE_POLL_S)

    def __getattr__(self, name):
        if name.startswith("do_"):
            return self.serve
        raise AttributeError(name)

    def serve(self):
        """Handle one request of any method."""
        path = urlsplit(self.path).path
        if path == SWITCH_PATH:
            self.serve_switches()
        elif path == RUNS_PATH:
            self.serve_runs()
        else:
            self.serve_work()

    def serve_switches(self):
        """Set the switches on POST, and respond with them."""
        stand_in = self.server.stand_in
        if self.command == "POST":
            stand_in.set_switches(msgspec.json.decode(self.read_body(), type=Switches))
        self.send_response_body(200, msgspec.json.encode(stand_in.switches))

    def serve_runs(self):
        """Respond with the number of runs by request id and by idempotency key."""
        stand_in = self.server.stand_in
        with stand_in.lock:
            counts = {"runs": dict(stand_in.runs), "keys_run": dict(stand_in.keys_run)}
        self.send_response_body(200, json.dumps(counts).encode())

    def serve_work(self):
        """Handle one request as the switches require."""
        stand_in = self.server.stand_in
        switches = stand_in.switches
        body = self.read_body()
        if switches.sheds:
            self.refuse("shedding")
            return
        if switches.crash_on_mark and self.headers.get(CRASH_HEADER):
            stand_in.crash()
            self.drop_connection()
            return
        if switches.silent:
            time.sleep(SILENCE_DURATION_S)
        order = Order.from_header(self.headers.get(ORDER_HEADER))
        if not stand_in.admit(order):
            self.refuse("outdated-order")
            return
        try:
            self.run(switches, body, order)
        finally:
            stand_in.finish(order)

    def run(self, switches, body, order):
        """Run the request in one of the slots, then respond."""
        stand_in = self.server.stand_in
        stand_in.in_flight += 1
        try:
            with stand_in.slots:
                self.wait_while_frozen()
                if switches.delay_s:
                    time.sleep(switches.delay_s)
                if not stand_in.commit(order, self.headers):
                    self.refuse("outdated-order")
                    return
        finally:
            stand_in.in_flight -= 1
        if switches.drops_answers:
            self.drop_connection()
            return
        query = parse_qs(urlsplit(self.path).query)
        if "bytes" in query:
            self.send_document_response(int(query["bytes"][0]), switches)
        else:
            self.send_echo_response(body)

    def send_echo_response(self, body):
        """Respond with a description of the received request."""
        echo = {
            "endpoint": self.server.stand_in.name,
            "method": self.command,
            "path": self.path,
            "order": self.headers.get(ORDER_HEADER, ""),
            "body_bytes": len(body),
        }
        self.send_response_body(200, json.dumps(echo).encode())

    def send_document_response(self, length, switches):
        """Respond with a document of ``length`` bytes, or with the requested range of it."""
        first, last = parse_range(self.headers.get("Range"), length)
        self.send_response(206 if self.headers.get("Range") else 200)
        self.send_header("Content-Type", "application/octet-stream")
        if not switches.hides_ranges:
            self.send_header("Accept-Ranges", "bytes")
            self.send_header("ETag", f'"{length}"')
        if self.headers.get("Range"):
            self.send_header("Content-Range", f"bytes {first}-{last}/{length}")
        self.send_header("Content-Length", str(last - first + 1))
        self.end_headers()
        if self.command != "HEAD":
            self.send_document(first, last, switches.breaks_after_bytes)

    def send_document(self, first, last, breaks_after_bytes):
        """Send a range of the document; close the connection after ``breaks_after_bytes``."""
        end = last + 1
        if breaks_after_bytes is not None:
            end = min(end, first + breaks_after_bytes)
        position = first
        while position < end:
            start = position % 256
            block = BODY_BLOCK[start : start + min(end - position, len(BODY_BLOCK) - start)]
            self.wfile.write(block)
            position += len(block)
        self.wfile.flush()
        if end <= last:
            self.drop_connection()

    def refuse(self, reason):
        """Respond that the request was not run."""
        self.send_response_body(
            503, reason.encode(), (("Greengage-Refused", reason), ("Retry-After", "1"))
        )

    def read_body(self):
        """Read the request body, chunked or with a content length."""
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            return self.read_chunks()
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def read_chunks(self):
        """Read a chunked body."""
        parts = []
        while True:
            size = int(self.rfile.readline().split(b";")[0], 16)
            data = self.rfile.read(size + 2)[:size]
            if not size:
                return b"".join(parts)
            parts.append(data)

    def send_response_body(self, status, body, headers=()):
        """Send a complete response."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def drop_connection(self):
        """Close the connection without a further response."""
        self.close_connection = True
        self.wfile.flush()
        self.connection.shutdown(2)


def parse_range(value, length):
    """Return the first and last byte positions of a ``Range`` header.

    Examples:
        >>> parse_range("bytes=10-", 100), parse_range(None, 100)
        ((10, 99), (0, 99))
    """
    if not value:
        return 0, length - 1
    first, _, last = value.removeprefix("bytes=").partition("-")
    return int(first), int(last) if last else length - 1


def document_bytes(first, last):
    """Return the bytes of a stand-in's document at positions ``first`` to ``last``."""
    return bytes(position % 256 for position in range(first, last + 1))
