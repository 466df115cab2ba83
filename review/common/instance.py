"""A stand-in instance of a service: a server on threads that sends status reports."""

import json
import socket
import threading
import time

from common.site import HEARTBEAT_S, ZONES, http_call

MAC = "3e1b.07.5a2.600.0.c9f2a4d1"
MAX_HEAD_BYTES = 65536


class Request:
    """A request that an instance has received.

    Attributes:
        method: Its method.
        target: Path and query.
        headers: Headers with lower-case names.
        body: The body as far as it has been read.
    """

    def __init__(self, method, target, headers):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def request_id(self):
        """Id of the request."""
        return self.headers.get("x-request-id", "")


class Instance:
    """One run of an instance.

    Args:
        name: Its id.
        service: Its service.
        address: ``IP:PORT`` to listen on.
        controllers: Addresses of the controllers, called in turn after a failed report.
        record: The ``Record``.
        number: Chooses its zone.

    Attributes:
        handler: Called with the socket, its file and the ``Request`` whose head was read; sends
            the response and returns whether the connection stays open.
        runs: Requests that it ran: pairs of time and ``Request``.
        acknowledged: Number of acknowledged reports.
    """

    def __init__(self, name, service, address, controllers, record, number=0):
        self.name = name
        self.service = service
        self.address = address
        self.controllers = list(controllers)
        self.record = record
        self.zone = ZONES[number % len(ZONES)]
        self.handler = self.respond
        self.runs = []
        self.acknowledged = 0
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.lock = threading.Lock()
        self.ends = threading.Event()
        self.controller_index = 0
        ip, _, port = address.rpartition(":")
        self.listener = socket.create_server((ip, int(port)), backlog=256)

    def start(self):
        """Start the threads that serve requests and send reports."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._report_repeatedly, daemon=True).start()

    def stop(self):
        """Stop serving and reporting."""
        self.ends.set()
        self.listener.close()

    # --- Reports -------------------------------------------------------------------

    def report_body(self):
        """Return the body of the next report."""
        self.sequence += 1
        return {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max-concurrency": 3,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmup-left": "0ms"},
        }

    def _report_repeatedly(self):
        while not self.ends.is_set():
            address = self.controllers[self.controller_index % len(self.controllers)]
            path = f"/greengagerock/instances/{self.name}/heartbeat"
            status, _ = http_call(address, "POST", path, json.dumps(self.report_body()).encode())
            if status == 200:
                self.acknowledged += 1
                self.ends.wait(HEARTBEAT_S)
            else:
                self.controller_index += 1
                self.ends.wait(0.1)

    # --- Requests ------------------------------------------------------------------

    def _accept(self):
        while not self.ends.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        file = sock.makefile("rb")
        try:
            while not self.ends.is_set():
                request = read_head(file)
                if request is None or not self._handle(sock, file, request):
                    return
        except OSError:
            # The router has closed or reset the connection.
            return
        finally:
            file.close()
            sock.close()

    def _handle(self, sock, file, request):
        if request.target == "/health":
            send_response(sock, 200, b"", {"X-Instance-Id": self.name})
            return True
        if request.headers.get("x-expect-instance", self.name) != self.name:
            read_body(file, request)
            send_response(sock, 421, b"", {"X-Not-Executed": "1"}, request)
            return True
        return self.handler(sock, file, request)

    def respond(self, sock, file, request):
        """Run a request: read its whole body and send a success."""
        read_body(file, request)
        self.note_run(request)
        send_response(sock, 200, b"ran " + request.request_id.encode(), {}, request)
        return True

    def note_run(self, request):
        """Record that a request begins to run."""
        with self.lock:
            self.runs.append((time.monotonic(), request))
        self.record.add(f"{self.name} runs {request.method} {request.target} {request.request_id}")


def read_head(file):
    """Return the ``Request`` of the next head, or ``None`` at the end of the connection."""
    line = file.readline(MAX_HEAD_BYTES)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while line := file.readline(MAX_HEAD_BYTES).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers)


def read_body(file, request):
    """Read the body of a request."""
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(file.readline().split(b";")[0] or b"0", 16):
            request.body += file.read(size)
            file.readline()
        file.readline()
    else:
        request.body = file.read(int(request.headers.get("content-length", 0)))


def send_response(sock, status, body, headers, request=None):
    """Send a response with a length, and the MAC if it answers a request."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    if request is not None:
        lines += [f"X-Request-Id: {request.request_id}", f"X-Response-Seal: {MAC}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
