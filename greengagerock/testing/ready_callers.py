"""Callers that send requests to routers that are ready, as a load balancer does."""

import http.client
import select
import threading
import time
from random import Random

import urllib3

from greengagerock.testing.launch_site import CALLER_PORT, READY_PORT
from greengagerock.testing.soak.traffic import SOCKET_TIMEOUT_S, send

# Interval at which the readiness of routers is checked. A stopping router serves for 3.2 s after
# it has reported itself unready.
CHECK_INTERVAL_S = 0.1
CHECK_TIMEOUT_S = 0.5
# With eight callers, about 200 requests per second; processes still start within seconds.
REQUEST_PAUSE_S = 0.03
# Pauses from this length on are recorded; the interval is short against a request's time-out.
MIN_PAUSE_S = 0.1
PAUSE_CHECK_S = 0.05


class ReadyRouters:
    """The routers that report themselves ready.

    Args:
        routers: IP addresses of the routers.

    Attributes:
        ready: IP addresses of those that were ready at their last check.
        refused_connections: Number of connections that ready routers did not accept.
    """

    def __init__(self, routers):
        self.routers = list(routers)
        self.ready = ()
        self.refused_connections = 0
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(retries=False, timeout=CHECK_TIMEOUT_S)

    def run(self, stop_event):
        """Check all routers periodically until an event is set."""
        while not stop_event.is_set():
            self.ready = tuple(ip for ip in self.routers if self.is_ready(ip))
            stop_event.wait(CHECK_INTERVAL_S)

    def is_ready(self, ip):
        """Return whether a router reports itself ready."""
        try:
            return self._http.request("GET", f"http://{ip}:{READY_PORT}/-/ready").status == 200
        except urllib3.exceptions.HTTPError:
            # The process does not run, or is not yet listening.
            return False

    def connect(self, random):
        """Return an open connection to a ready router, or ``None`` if there is none."""
        ready = self.ready
        for ip in random.sample(ready, len(ready)):
            connection = http.client.HTTPConnection(
                f"{ip}:{CALLER_PORT}", timeout=SOCKET_TIMEOUT_S
            )
            try:
                connection.connect()
            except OSError:
                # Nothing was sent, so the caller tries the next router.
                with self._lock:
                    self.refused_connections += 1
                continue
            return connection
        return None


class PauseRecorder:
    """Records how long this process, with callers and endpoints, was not scheduled.

    A failure that coincides with a long pause says little about the routers.

    Attributes:
        pauses: Pairs of the end of a pause, in monotonic seconds, and its length.

    Examples:
        >>> recorder = PauseRecorder()
        >>> recorder.pauses += [(10.0, 0.5), (20.0, 0.7)]
        >>> recorder.longest_s(), recorder.longest_s(9.0, 11.0), recorder.longest_s(30.0, 31.0)
        (0.7, 0.5, 0.0)
    """

    def __init__(self):
        self.pauses = []

    def run(self, stop_event):
        """Sleep for short times until an event is set, and record what exceeds them."""
        expected_s = time.monotonic() + PAUSE_CHECK_S
        while not stop_event.wait(PAUSE_CHECK_S):
            now_s = time.monotonic()
            if now_s - expected_s >= MIN_PAUSE_S:
                self.pauses.append((now_s, now_s - expected_s))
            expected_s = time.monotonic() + PAUSE_CHECK_S

    def longest_s(self, from_s=0.0, until_s=float("inf")):
        """Return the length of the longest pause that overlaps a time span."""
        return max(
            (
                length_s
                for end_s, length_s in list(self.pauses)
                if end_s >= from_s and end_s - length_s <= until_s
            ),
            default=0.0,
        )


def run_ready_caller(seed, number, routers, history, stop_event):
    """Send requests one after the other until an event is set.

    Args:
        seed: Seed of the run.
        number: Number of this caller.
        routers: The ``ReadyRouters``.
        history: The ``History``.
        stop_event: Event that ends the caller.
    """
    random = Random(seed * 1000 + number)
    connection = None
    sent_count = 0
    while not stop_event.is_set():
        if connection is not None and is_closed_by_peer(connection):
            connection.close()
            connection = None
        connection = connection or routers.connect(random)
        if connection is not None:
            sent_count += 1
            kind = random.choice(("balance", "balance", "charge", "prices"))
            body = random.randbytes(random.choice((0, 40, 3000))) if kind == "charge" else b""
            key = str(random.randrange(65_536))
            request_id = f"m{seed}-c{number}-{sent_count}"
            attempt, is_reusable = send(connection, kind, request_id, body, key)
            history.add(attempt)
            # A fifth of the requests ends its connection, so that the callers of a replaced
            # router return to it.
            if not is_reusable or random.random() < 0.2:
                connection.close()
                connection = None
        stop_event.wait(REQUEST_PAUSE_S)
    if connection is not None:
        connection.close()


def is_closed_by_peer(connection):
    """Return whether an idle connection can be read, which means that the peer has closed it."""
    return connection.sock is None or bool(select.select([connection.sock], [], [], 0)[0])
