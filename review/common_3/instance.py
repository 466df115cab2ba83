"""A stand-in instance of a service, as the users' pages describe one.

It reports to the controllers, holds the keys that they grant, runs requests in a few slots, queues
a few more and refuses what is beyond.
"""

import contextlib
import json
import os
import socket
import struct
import threading
import time
from array import array
from collections import Counter
from pathlib import Path

from review.common_3.system import call

KEY_COUNT = 65_536
REPORT_TIMEOUT_S = 1.0
RELEASE_REPORT_S = 0.08
LEAVE_TIMEOUT_S = 6.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class KeyHolder:
    """The keys that one boot of an instance holds."""

    def __init__(self):
        self.lock = threading.RLock()
        self.fences = array("q", bytes(8 * KEY_COUNT))
        self.seen = array("q", bytes(8 * KEY_COUNT))
        self.until_s = 0.0
        self.running = Counter()
        self.lingering = {}
        self.freed = {}
        self.token = 0

    def _expire(self):
        if self.until_s and time.monotonic() >= self.until_s:
            self.fences = array("q", bytes(8 * KEY_COUNT))
            self.until_s = 0.0

    def begin(self, key):
        """Begin a run for a key; return its fence, or 0 if the key is not held."""
        with self.lock:
            self._expire()
            fence = self.fences[key]
            if fence:
                self.running[key] += 1
            return fence

    def end(self, key):
        """End a run for a key."""
        with self.lock:
            self.running[key] -= 1
            if not self.running[key]:
                del self.running[key]
                if key in self.lingering:
                    del self.lingering[key]
                    self._free(key)

    def _free(self, key):
        self.freed[key] = f"{self.token:016x}"

    def report(self):
        """Return the rows of ``holds`` and ``freed`` for a status report."""
        with self.lock:
            self._expire()
            fences = array("q", self.fences)
            for key, fence in self.lingering.items():
                fences[key] = fence
            holds = _rows(fences)
            freed = []
            for key in sorted(self.freed):
                token = self.freed[key]
                if freed and freed[-1][1] == key - 1 and freed[-1][2] == token:
                    freed[-1][1] = key
                else:
                    freed.append([key, key, token])
            return holds, freed

    def apply(self, rows, hold_s, sent_s, reported_freed):
        """Apply the response to a status report; return whether keys were released."""
        with self.lock:
            self._expire()
            for first, last, _ in reported_freed:
                for key in range(first, last + 1):
                    self.freed.pop(key, None)
            new = array("q", bytes(8 * KEY_COUNT))
            for first, last, fence, _ in rows:
                if max(self.seen[first : last + 1]) > fence:
                    continue
                block = array("q", [fence]) * (last - first + 1)
                new[first : last + 1] = block
                self.seen[first : last + 1] = block
            self.token += 1
            has_released = False
            if new != self.fences:
                for key in range(KEY_COUNT):
                    old = self.fences[key]
                    if old and not new[key]:
                        has_released = True
                        if self.running.get(key):
                            self.lingering[key] = old
                        else:
                            self._free(key)
            self.fences = new
            self.until_s = sent_s + hold_s
            return has_released or bool(self.lingering)


def _rows(fences):
    rows = []
    key = 0
    while key < KEY_COUNT:
        fence = fences[key]
        if not fence:
            key += 1
            continue
        first = key
        while key < KEY_COUNT and fences[key] == fence:
            key += 1
        rows.append([first, key - 1, fence])
    return rows


class Instance:
    """An instance on threads of this process.

    Args:
        record: The ``Record``.
        name: Its id.
        service: Its service.
        zone: Its zone.
        address: ``IP:PORT`` to listen on.
        controllers: Addresses of the controllers.
        heartbeat_s: Interval between two status reports.
        is_sharded: Whether the service is divided by key.
        slots: Number of requests that it runs at once.
        queue: Number of requests that wait at most.
        work_s: How long a request takes.

    Attributes:
        runs: Number of runs by request id.
        refusals: Number of refused requests.
        extra_share: Share of the answers of which a copy comes late, where the next answer on
            the connection is expected.
        cut_pid: Process whose connections are reset, or ``None``.
        pids: Processes whose connections are told apart.
    """

    def __init__(
        self,
        record,
        name,
        service,
        zone,
        address,
        controllers,
        heartbeat_s=0.87,
        is_sharded=True,
        slots=3,
        queue=3,
        work_s=0.04,
    ):
        self.record = record
        self.name, self.service, self.zone = name, service, zone
        self.address, self.controllers = address, list(controllers)
        self.heartbeat_s, self.is_sharded = heartbeat_s, is_sharded
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_drain_acknowledged = False
        self.keys = KeyHolder()
        self.runs = Counter()
        self.refusals = 0
        self.answers = 0
        self.extras = 0
        self.extra_total = 0
        self.extra_share = 0.0
        self.cut_pid = None
        self.pids = ()
        self.lock = threading.Lock()
        self.slots_free = threading.Semaphore(slots)
        self.waiting = 0
        self.connections = {}
        self.stops = threading.Event()
        ip, _, port = address.rpartition(":")
        self.listener = socket.create_server((ip, int(port)), backlog=256)

    def start(self):
        """Start to listen and to report."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._report_periodically, daemon=True).start()

    def stop(self):
        """Close the port and all connections."""
        self.stops.set()
        self.listener.close()
        with self.lock:
            open_ones = list(self.connections)
        for sock in open_ones:
            sock.close()

    def cut(self, pid):
        """Reset the connections of a process, and all that it opens from now on."""
        self.cut_pid = pid
        with self.lock:
            open_ones = list(self.connections.items())
        for sock, owner in open_ones:
            if owner == pid:
                _reset(sock)

    def heal(self):
        """Accept all connections again."""
        self.cut_pid = None

    def begin_extras(self, share):
        """Let copies of up to ``share`` of the answers from now on come late."""
        with self.lock:
            self.extra_share = share
            self.answers = self.extras = 0

    def leave(self, drain_s):
        """Say that it drains, serve on after the ack, say that it leaves, and end."""
        self.state = "draining"
        end_s = time.monotonic() + LEAVE_TIMEOUT_S
        while not self.is_drain_acknowledged and time.monotonic() < end_s:
            time.sleep(0.02)
        self.record.note("drain-acknowledged", instance=self.name, ok=self.is_drain_acknowledged)
        time.sleep(drain_s)
        path = f"/greengagerock/instances/{self.name}/leave"
        for controller in self.controllers:
            with contextlib.suppress(OSError):
                status, _ = call(controller, "POST", path, json.dumps({"born": self.born}))
                if status == 200:
                    break
        self.stop()
        self.record.note("ended", instance=self.name)

    # --- Status reports ------------------------------------------------------------

    def _report_periodically(self):
        index = 0
        while not self.stops.is_set():
            pause_s = self._report(self.controllers[index % len(self.controllers)])
            if pause_s is None:
                index += 1
                pause_s = 0.05
            self.stops.wait(pause_s)

    def _report(self, controller):
        self.sequence += 1
        is_draining = self.state == "draining"
        holds, freed = self.keys.report()
        report = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "max-concurrency": self.slots,
            },
            "status": {
                "state": "draining" if is_draining else "ready",
                "sequence": self.sequence,
                "warmup-left": "0ms",
            },
        }
        if self.is_sharded:
            report |= {"holds": holds, "freed": freed}
        path = f"/greengagerock/instances/{self.name}/heartbeat"
        sent_s = time.monotonic()
        try:
            status, body = call(
                controller, "POST", path, json.dumps(report), timeout_s=REPORT_TIMEOUT_S
            )
        except OSError:
            return None
        if status != 200 or time.monotonic() - sent_s > REPORT_TIMEOUT_S:
            return None
        if is_draining:
            self.is_drain_acknowledged = True
        response = json.loads(body)
        if "holds" in response:
            hold_s = float(response["hold_time"].removesuffix("ms")) / 1000
            if self.keys.apply(response["holds"], hold_s, sent_s, freed):
                return RELEASE_REPORT_S
        return self.heartbeat_s

    # --- Requests ------------------------------------------------------------------

    def _accept(self):
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError:
                return
            cut_pid = self.cut_pid
            try:
                if cut_pid is not None and find_owner(sock, peer, (cut_pid,)):
                    _reset(sock)
                    continue
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:
                # The connection was closed before it was accepted.
                sock.close()
                continue
            threading.Thread(target=self._serve, args=(sock, peer), daemon=True).start()

    def _serve(self, sock, peer):
        file = sock.makefile("rb")
        extra = b""
        try:
            owner = find_owner(sock, peer, self.pids)
            with self.lock:
                self.connections[sock] = owner
            if owner is not None and owner == self.cut_pid:
                _reset(sock)
                return
            while (request := read_request(file)) is not None:
                if extra:
                    sock.sendall(extra)
                    extra = b""
                status, headers, content = self._run(request, owner)
                answer = self._encode(request, status, headers, content)
                sock.sendall(answer)
                extra = self._choose_extra(request, status, answer)
        except (OSError, ValueError):
            # The router has closed the connection.
            pass
        finally:
            with self.lock:
                self.connections.pop(sock, None)
            file.close()
            sock.close()

    def _choose_extra(self, request, status, answer):
        """Return a copy of an answer that comes again later, as far as the share allows."""
        with self.lock:
            self.answers += 1
            if status != 503 or self.extras + 1 > self.extra_share * self.answers:
                return b""
            self.extras += 1
            self.extra_total += 1
        self.record.note(
            "answer-will-come-again",
            instance=self.name,
            id=request["headers"].get("x-request-id"),
            status=status,
        )
        return answer

    def _encode(self, request, status, headers, content):
        lines = [f"HTTP/1.1 {status} X"]
        request_id = request["headers"].get("x-request-id")
        if request_id:
            lines.append(f"X-Request-Id: {request_id}")
        if not headers.get("X-Not-Executed"):
            lines.append(f"X-Response-Seal: {self.name}.{len(content)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Keep-Alive: timeout=10", f"Content-Length: {len(content)}", "", ""]
        return "\r\n".join(lines).encode() + content

    def _run(self, request, owner):
        """Run a request, or refuse it; return status, headers and body."""
        headers = request["headers"]
        request_id = headers.get("x-request-id")
        if not request_id:
            return 400, {"X-Not-Executed": "1"}, b""
        if request["path"] == "/health":
            return 200, {"X-Instance-Id": self.name}, b"ok"
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"X-Not-Executed": "1"}, b""
        if not self._take_slot():
            with self.lock:
                self.refusals += 1
            self.record.note("refused", instance=self.name, id=request_id, by=owner)
            return 503, {"X-Not-Executed": "1"}, b""
        key = headers.get("x-shard-key")
        try:
            if self.is_sharded and (key is None or not self.keys.begin(int(key))):
                return 421, {"X-Not-Executed": "1"}, b""
            try:
                with self.lock:
                    self.runs[request_id] += 1
                    count = self.runs[request_id]
                self.record.note("run", instance=self.name, id=request_id, count=count, by=owner)
                time.sleep(self.work_s)
            finally:
                if self.is_sharded:
                    self.keys.end(int(key))
        finally:
            self.slots_free.release()
        return 200, {}, f"{self.name} ran {request_id}\n".encode()

    def _take_slot(self):
        with self.lock:
            if self.slots_free.acquire(blocking=False):
                return True
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
        self.slots_free.acquire()
        with self.lock:
            self.waiting -= 1
        return True


def read_request(file):
    """Read a request; return it, or ``None`` at the end of the connection."""
    line = file.readline()
    if not line.strip():
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(file.readline().split(b";")[0], 16):
            body += file.read(size)
            file.readline()
        file.readline()
    else:
        length = int(headers.get("content-length", 0))
        body = file.read(length)
        if len(body) < length:
            raise ValueError("truncated request")
    return {"method": method, "path": path, "headers": headers, "body": body}


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


def find_owner(sock, peer, pids):
    """Return which of some processes has opened a connection, or ``None``.

    Args:
        sock: The accepted socket.
        peer: Address and port of the other side.
        pids: Processes that the case has started.
    """
    if not pids:
        return None
    ends = f"{_format_address(peer)} {_format_address(sock.getsockname())} ".encode()
    table = Path("/proc/net/tcp").read_bytes()
    start = table.find(ends)
    if start < 0:
        return None
    inode = table[start : table.find(b"\n", start)].split()[8].decode()
    for pid in pids:
        folder = f"/proc/{pid}/fd"
        try:
            names = os.listdir(folder)
        except OSError:
            # The process has ended.
            continue
        for name in names:
            try:
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return pid
            except OSError:
                # The descriptor was closed meanwhile.
                continue
    return None


def _format_address(address):
    ip, port = address
    packed = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    return f"{packed}:{port:04X}"
