"""A stand-in instance of a service that is divided by key."""

import http.client
import itertools
import json
import secrets
import threading
import time

from common.instance import Instance, read_body, send_response
from common.site import HEARTBEAT_S

KEY_COUNT = 65536
# An instance that has to release keys reports again within 100 ms.
RELEASE_REPORT_S = 0.08
ACK_TIMEOUT_S = 1.0
SLOTS = 3
# Pause before the next node is called, doubled with each further failure.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8


class KeyedInstance(Instance):
    """An instance that holds keys as PROTOCOL.md says.

    Attributes:
        fences: Fence of each key that it holds, 0 for the others.
        until_s: When its hold expires.
        seen: Highest fence that it has seen, by key.
        freed: Rows that it has released since its last acknowledged report.
        observer: Called with this instance, its keys' fences before and after a response.
        phase_s: Wait before its first report.
        draw_work_s: Callable that returns for how long it works on a request.
        working: Fence and number of requests that it works on, by key.
        promised_until_s: When the newest hold of each key that it was granted runs out.
    """

    def __init__(self, name, service, address, controllers, record, number=0, observer=None):
        super().__init__(name, service, address, controllers, record, number)
        self.controller_index = number
        self.fences = [0] * KEY_COUNT
        self.seen = [0] * KEY_COUNT
        self.until_s = 0.0
        self.freed = []
        self.observer = observer
        self.phase_s = 0.0
        self.handler = self.respond_if_held
        self.draw_work_s = lambda: 0.0
        self.working = {}
        self.promised_until_s = [0.0] * KEY_COUNT
        self.slots = threading.BoundedSemaphore(SLOTS)

    def held_rows(self):
        """Return first key, last key and fence of what it holds or still works on."""
        rows, first = [], 0
        fences = list(self.fences)
        for key, (fence, _) in self.working.items():
            fences[key] = fences[key] or fence
        for fence, group in itertools.groupby(fences):
            count = len(list(group))
            if fence:
                rows.append([first, first + count - 1, fence])
            first += count
        return rows

    def report_body(self):
        """Return the body of the next report."""
        body = super().report_body()
        with self.lock:
            self._drop_expired()
            body["holds"] = self.held_rows()
            body["freed"] = list(self.freed)
        return body

    def send_report(self, address, body, timeout_s=ACK_TIMEOUT_S):
        """Send one report.

        Returns:
            The decoded response, or ``None`` if there is no acknowledgement in time.
        """
        ip, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=timeout_s)
        try:
            path = f"/greengagerock/instances/{self.name}/heartbeat"
            data = json.dumps(body).encode()
            connection.request("POST", path, data, {"Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read(4097)
            return json.loads(data) if response.status == 200 and len(data) <= 4096 else None
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()

    def _report_repeatedly(self):
        self.ends.wait(self.phase_s)
        backoff_s = FIRST_BACKOFF_S
        while not self.ends.is_set():
            address = self.controllers[self.controller_index % len(self.controllers)]
            sent_s = time.monotonic()
            body = self.report_body()
            response = self.send_report(address, body)
            if response is None or time.monotonic() - sent_s > ACK_TIMEOUT_S:
                self.controller_index += 1
                self.ends.wait(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
                continue
            backoff_s = FIRST_BACKOFF_S
            self.acknowledged += 1
            if self.apply_response(response, sent_s, len(body["freed"])):
                self.ends.wait(RELEASE_REPORT_S)
            else:
                self.ends.wait(max(0.0, HEARTBEAT_S - (time.monotonic() - sent_s)))

    def apply_response(self, response, sent_s, reported_freed):
        """Apply the response to a report; return whether keys were released."""
        with self.lock:
            self._drop_expired()
            self.freed = self.freed[reported_freed:]
            if "holds" not in response:
                return False
            before = list(self.fences)
            after = [0] * KEY_COUNT
            for first, last, fence, _ in response["holds"]:
                if max(self.seen[first : last + 1]) > fence:
                    continue
                count = last - first + 1
                after[first : last + 1] = [fence] * count
                self.seen[first : last + 1] = [fence] * count
            self.fences = after
            self.until_s = sent_s + float(response["hold_time"].removesuffix("ms")) / 1000
            self.promised_until_s = [
                self.until_s if fence else promised_s
                for fence, promised_s in zip(after, self.promised_until_s, strict=True)
            ]
            released = self._note_released(before, after)
        if self.observer is not None and before != after:
            self.observer(self, before, after)
        return released

    def _note_released(self, before, after):
        lost = [bool(b) and not a for b, a in zip(before, after, strict=True)]
        for key in self.working:
            lost[key] = False
        first = 0
        for is_lost, group in itertools.groupby(lost):
            count = len(list(group))
            if is_lost:
                self.freed.append([first, first + count - 1, secrets.token_hex(8)])
            first += count
        return any(lost) or any(not after[key] for key in self.working)

    def _drop_expired(self):
        if time.monotonic() >= self.until_s and any(self.fences):
            before, self.fences = self.fences, [0] * KEY_COUNT
            if self.observer is not None:
                threading.Thread(target=self.observer, args=(self, before, self.fences)).start()

    def respond_if_held(self, sock, file, request):
        """Run a request if the instance holds its key, else refuse it."""
        read_body(file, request)
        key = int(request.headers.get("x-shard-key", -1))
        with self.slots:
            has_run = self._run_if_held(key, request)
        if has_run:
            send_response(sock, 200, b"ran " + request.request_id.encode(), {}, request)
        else:
            send_response(sock, 421, b"", {"X-Not-Executed": "1"}, request)
        return True

    def _run_if_held(self, key, request):
        """Work on a request in a free slot; return whether the instance holds its key."""
        with self.lock:
            self._drop_expired()
            if not (0 <= key < KEY_COUNT and self.fences[key]):
                return False
            fence, count = self.working.get(key, (self.fences[key], 0))
            self.working[key] = (fence, count + 1)
        self.note_run(request)
        time.sleep(self.draw_work_s())
        with self.lock:
            fence, count = self.working.pop(key)
            if count > 1:
                self.working[key] = (fence, count - 1)
            elif not self.fences[key]:
                self.freed.append([key, key, secrets.token_hex(8)])
        return True
