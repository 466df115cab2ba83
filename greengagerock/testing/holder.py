"""An HTTP endpoint that reports to controllers and holds keys by their answers."""

import contextlib
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import urllib3

from greengagerock.holdings import EndpointReport, FreedRange, HeldRange, ReportAnswer
from greengagerock.holdings.units import UNIT_KEYS
from greengagerock.web.calls import KEY_HEADER, NOT_OWNER_VALUE, REQUEST_ID_HEADER
from greengagerock.web.dialect import REFUSED_HEADER

REPORT_INTERVAL_S = 0.3
RELEASE_REPORT_S = 0.05
REPORT_TIMEOUT_S = 1.0


class Holder:
    """A stand-in endpoint of a keyed or plain service.

    Args:
        name: Its name.
        service: Its service.
        zone: Its availability zone.
        address: ``IP:PORT`` to listen on.
        controllers: ``IP:PORT`` of the controllers.
        advertised: ``IP:PORT`` that it reports, if others reach it through a relay.
        watcher: Told of runs and holds with ``on_run`` and ``on_holds``, or ``None``.

    Attributes:
        runs: How often each request id began to run.
        behaviour: How the next answers go wrong: ``whole`` not at all, ``late``, ``torn``,
            ``foreign`` with another request's id, ``extra`` with a second answer,
            ``late-extra`` with a second answer when the next request has come, ``close``
            without an answer, ``full`` refused.
        delay_s: Time that a request takes.
        drained_s: When its leave was acknowledged, or ``None``.
    """

    def __init__(self, name, service, zone, address, controllers, advertised="", watcher=None):
        self.name = name
        self.advertised = advertised or address
        self.watcher = watcher
        self.drained_s = None
        self.service = service
        self.zone = zone
        self.address = address
        self.controllers = list(controllers)
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.draining = False
        self.holds = {}
        self.freed = {}
        self.runs = Counter()
        self.bodies = {}
        self.behaviour = "whole"
        self.delay_s = 0.0
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        ip, _, port = address.rpartition(":")
        self.server = _Server((ip, int(port)), _Handler)
        self.server.holder = self
        self.http = urllib3.PoolManager(retries=False, timeout=REPORT_TIMEOUT_S)

    def start(self):
        """Serve and report on threads."""
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._report_again_and_again, daemon=True).start()

    def stop(self):
        """Stop serving and reporting."""
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
        self.server.break_connections()

    def holds_key(self, key):
        """Return whether a request for a key may run."""
        with self.lock:
            until_s = self.holds.get(key // UNIT_KEYS, (0, 0.0))[1]
        return time.monotonic() < until_s

    def _report_again_and_again(self):
        turn = 0
        while not self.stopped.is_set():
            controller = self.controllers[turn % len(self.controllers)]
            delay_s = self._report(controller)
            if delay_s is None:
                turn += 1
                delay_s = RELEASE_REPORT_S
            self.stopped.wait(delay_s)

    def _report(self, controller):
        """Report once; returns when to report again, or ``None`` after a failure."""
        with self.lock:
            now_s = time.monotonic()
            self.holds = {u: hold for u, hold in self.holds.items() if hold[1] > now_s}
            self.sequence += 1
            report = EndpointReport(
                self.name,
                self.born_ms,
                self.sequence,
                self.advertised,
                self.service,
                self.zone,
                3,
                self.draining,
                0.0,
                tuple(HeldRange(*_keys(u), hold[0]) for u, hold in self.holds.items()),
                tuple(FreedRange(*_keys(u), token) for u, token in self.freed.items()),
            )
        url = f"http://{controller}/endpoints/{self.name}/report"
        try:
            response = self.http.request("POST", url, body=msgspec.json.encode(report))
            if response.status != 200:
                return None
            answer = msgspec.json.decode(response.data, type=ReportAnswer)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None
        if report.draining and self.drained_s is None:
            self.drained_s = time.monotonic()
        return self._take(answer, now_s)

    def _take(self, answer, sent_s):
        with self.lock:
            self.freed = {}
            if answer.grants is None:
                return REPORT_INTERVAL_S
            wanted = {}
            for row in answer.grants:
                for unit in range(row.first // UNIT_KEYS, row.last // UNIT_KEYS + 1):
                    wanted[unit] = (row.fence, sent_s + answer.hold_s)
            self.freed = {u: f"token-{u}" for u in self.holds if u not in wanted}
            self.holds = wanted
            if self.watcher is not None:
                self.watcher.on_holds(self, {u: until_s for u, (_, until_s) in wanted.items()})
            return RELEASE_REPORT_S if self.freed else REPORT_INTERVAL_S


def _keys(unit):
    return unit * UNIT_KEYS, unit * UNIT_KEYS + UNIT_KEYS - 1


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.connections = set()

    def get_request(self):
        """Accept a connection, and remember it."""
        sock, address = super().get_request()
        self.connections.add(sock)
        return sock, address

    def shutdown_request(self, request):
        """Close a connection."""
        self.connections.discard(request)
        super().shutdown_request(request)

    def break_connections(self):
        """Close all connections, as the end of a process does."""
        for sock in list(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address):
        """Ignore connections that the other side broke off."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    stray_id = ""

    def log_message(self, format, *args):
        """Write nothing."""

    def do_GET(self):
        """Run a request."""
        self._run()

    def do_POST(self):
        """Run a request."""
        self._run()

    def _run(self):
        holder = self.server.holder
        body = self._read_body()
        key = self.headers.get(KEY_HEADER)
        if key is not None and not holder.holds_key(int(key)):
            self._answer(503, b"", {REFUSED_HEADER: NOT_OWNER_VALUE})
            return
        if holder.behaviour == "full":
            self._answer(503, b"", {REFUSED_HEADER: "full"})
            return
        request_id = self.headers.get(REQUEST_ID_HEADER, "")
        with holder.lock:
            holder.runs[request_id] += 1
            holder.bodies[request_id] = body
        if holder.watcher is not None:
            holder.watcher.on_run(holder, request_id, f"{self.command} {self.path}", body)
        time.sleep(holder.delay_s)
        if self.stray_id:
            self._answer(200, b"stray\n", {}, request_id=self.stray_id)
            self.stray_id = ""
        if holder.behaviour == "close":
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
            return
        content = f"{holder.name} ran {self.command} {self.path}\n".encode() + body
        if holder.behaviour == "torn":
            self._answer(200, content, {}, len(content) + 10)
            self.close_connection = True
            return
        self._answer(200, content, {"Request-Path": self.path})
        if holder.behaviour == "extra":
            self._answer(200, b"stray\n", {})
        elif holder.behaviour == "late-extra":
            self.stray_id = request_id

    def _read_body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            while size := int(self.rfile.readline().split(b";")[0], 16):
                parts.append(self.rfile.read(size))
                self.rfile.readline()
            self.rfile.readline()
            return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _answer(self, status, content, headers, length=None, request_id=""):
        self.send_response(status)
        request_id = request_id or self.headers.get(REQUEST_ID_HEADER, "")
        if request_id:
            self.send_header(REQUEST_ID_HEADER, request_id)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content) if length is None else length))
        self.end_headers()
        self.wfile.write(content)
