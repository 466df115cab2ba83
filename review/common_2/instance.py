"""A stand-in instance, which reports to controllers and holds the keys that they grant."""

import contextlib
import http.client
import json
import secrets
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

KEY_COUNT = 65_536
REPORT_INTERVAL_S = 0.87
RELEASE_REPORT_S = 0.09
RETRY_PAUSE_S = 0.1
# A report is acknowledged by a 2xx response that arrives within a second and is at most 4 KiB.
ACK_TIMEOUT_S = 1.0
MAX_ACK_BYTES = 4096
WORK_S = 0.02


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64


class Instance:
    """An instance of a service.

    Args:
        record: The ``Record``.
        name: Its id.
        service: Its service.
        address: ``IP:PORT`` at which it serves.
        controls: The ``control`` addresses that it reports to.
        has_keys: Whether the service is divided by key.
        first_report_after_s: Delay of the first report.
        work_s: Time that it takes to run a request.
        zone: Its zone.

    Attributes:
        rows: The rows [first key, last key, fence] that it holds.
        until_s: When its hold ends, in monotonic seconds.
        ack_sizes: Sizes of all responses with a 2xx status, in bytes.
        acks: Number of acknowledged reports.
        too_long: Number of responses that were longer than 4 KiB.
        drained_s: When draining was acknowledged, or ``None``.
        run_ids: Ids of the requests that it has run.
        is_cut_off: Whether its reports get nowhere, while requests still reach it.
    """

    def __init__(
        self,
        record,
        name,
        service,
        address,
        controls,
        has_keys=True,
        first_report_after_s=0.0,
        work_s=WORK_S,
        zone="zone-a",
    ):
        self.record = record
        self.name, self.service, self.address = name, service, address
        self.controls = list(controls)
        self.has_keys = has_keys
        self.first_report_after_s = first_report_after_s
        self.work_s = work_s
        self.zone = zone
        self.woken = threading.Event()
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.lock = threading.RLock()
        self.rows, self.until_s = [], 0.0
        self.highest_fences = [0] * KEY_COUNT
        self.freed = []
        self.ack_sizes, self.acks, self.too_long = [], 0, 0
        self.drained_s = None
        self.run_ids = []
        self.is_cut_off = False
        self.ended = threading.Event()
        ip, port = address.split(":")
        self.server = _Server((ip, int(port)), _make_handler(self))
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._report_until_end, daemon=True).start()

    # --- Requests ------------------------------------------------------------------

    def serve(self, handler):
        """Run a request, or turn it away."""
        length = int(handler.headers.get("Content-Length") or 0)
        handler.rfile.read(length)
        request_id = handler.headers.get("X-Request-Id", "")
        expected = handler.headers.get("X-Expect-Instance", self.name)
        key = handler.headers.get("X-Shard-Key")
        if expected != self.name or (self.has_keys and not self._holds(int(key or 0))):
            self.record.note(f"{self.name} turns away {request_id} key={key}")
            self._answer(handler, 421, b"", {"X-Not-Executed": "1"})
            return
        self.record.note(f"{self.name} runs {request_id} {handler.command} {handler.path}")
        self.run_ids.append(request_id)
        time.sleep(self.work_s)
        self._answer(handler, 200, f"{self.name} {handler.path}".encode(), {})

    def _answer(self, handler, status, body, headers):
        handler.send_response(status)
        handler.send_header("X-Request-Id", handler.headers.get("X-Request-Id", ""))
        handler.send_header("X-Response-Seal", f"{self.name}.{len(body)}")
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def _holds(self, key):
        with self.lock:
            self._drop_expired()
            return any(first <= key <= last for first, last, _ in self.rows)

    def _drop_expired(self):
        if self.rows and time.monotonic() >= self.until_s:
            self.record.note(f"{self.name}: its hold of {len(self.rows)} rows runs out")
            self.rows = []

    def held_keys(self):
        """Return the keys that it holds now."""
        with self.lock:
            self._drop_expired()
            return {key for first, last, _ in self.rows for key in range(first, last + 1)}

    # --- Reports -------------------------------------------------------------------

    def _report_until_end(self):
        self.ended.wait(self.first_report_after_s)
        number = 0
        while not self.ended.is_set():
            if self.is_cut_off:
                self.ended.wait(RETRY_PAUSE_S)
                continue
            began_s = time.monotonic()
            is_acknowledged, has_freed = self._report(self.controls[number % len(self.controls)])
            if not is_acknowledged:
                number += 1
                self.ended.wait(RETRY_PAUSE_S)
                continue
            interval_s = RELEASE_REPORT_S if has_freed else REPORT_INTERVAL_S
            self.woken.wait(max(0.0, began_s + interval_s - time.monotonic()))
            self.woken.clear()

    def _report(self, control):
        """Send a report; return whether it was acknowledged, and whether keys were released."""
        with self.lock:
            self._drop_expired()
            self.sequence += 1
            state, freed_count = self.state, len(self.freed)
            message = {
                "address": self.address,
                "born": self.born_ms,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "max-concurrency": 3,
                },
                "status": {"state": state, "sequence": self.sequence, "warmup-left": "0ms"},
            }
            if self.has_keys:
                message |= {"holds": [list(row) for row in self.rows], "freed": self.freed}
            data = json.dumps(message)
        sent_s = time.monotonic()
        answer = self._post(control, "heartbeat", data)
        if answer is None or time.monotonic() - sent_s > ACK_TIMEOUT_S:
            return False, False
        self.ack_sizes.append(len(answer))
        if len(answer) > MAX_ACK_BYTES:
            self.too_long += 1
            self.record.note(f"{self.name}: the response has {len(answer)} bytes, so it is no ack")
            return False, False
        self.acks += 1
        if state == "draining" and self.drained_s is None:
            self.drained_s = time.monotonic()
            self.record.note(f"{self.name}: draining is acknowledged")
        with self.lock:
            del self.freed[:freed_count]
            return True, self._take(json.loads(answer or b"{}"), sent_s)

    def _take(self, answer, sent_s):
        """Take the grants of a response; return whether keys were released."""
        if not self.has_keys or "holds" not in answer:
            return False
        taken = []
        granted = bytearray(KEY_COUNT + 1)
        for first, last, fence, _ in answer["holds"]:
            if max(self.highest_fences[first : last + 1]) > fence:
                continue
            self.highest_fences[first : last + 1] = [fence] * (last - first + 1)
            granted[first : last + 1] = b"\1" * (last - first + 1)
            taken.append((first, last, fence))
        released = []
        for first, last, _ in self.rows:
            begin = None
            for key in range(first, last + 2):
                is_left_out = key <= last and not granted[key]
                if is_left_out and begin is None:
                    begin = key
                elif not is_left_out and begin is not None:
                    released.append([begin, key - 1, secrets.token_hex(8)])
                    begin = None
        self.freed += released
        self.rows = taken
        self.until_s = sent_s + float(answer["hold_time"].removesuffix("ms")) / 1000
        return bool(released)

    def _post(self, control, call, data):
        ip, port = control.split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=ACK_TIMEOUT_S)
        try:
            path = f"/greengagerock/instances/{self.name}/{call}"
            connection.request("POST", path, data, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = response.read()
            return answer if 200 <= response.status < 300 else None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    # --- End -----------------------------------------------------------------------

    def drain_and_leave(self, notice_s):
        """Report draining at once, serve on, and leave ``notice_s`` after the notice."""
        self.record.note(f"{self.name} gets notice and begins to drain")
        gone_s = time.monotonic() + notice_s
        self.state = "draining"
        self.woken.set()
        self.ended.wait(max(0.0, gone_s - time.monotonic()))
        leaving = json.dumps({"born": self.born_ms})
        is_acknowledged = any(self._post(c, "leave", leaving) is not None for c in self.controls)
        self.record.note(f"{self.name} leaves, acknowledged: {is_acknowledged}")
        self.end()

    def end(self):
        """End at once."""
        self.ended.set()
        self.woken.set()
        with contextlib.suppress(OSError):
            self.server.shutdown()
            self.server.server_close()


def _make_handler(instance):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *arguments):
            """Write nothing."""

        def do_GET(self):
            """Serve a request."""
            instance.serve(self)

        do_POST = do_GET  # noqa: N815

    return Handler
