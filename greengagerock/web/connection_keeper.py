"""Idle connections to other routers, which are opened before a request needs them."""

import queue
import threading

from urllib3.exceptions import HTTPError

from greengagerock.core.signal_masks import block_signals

# An idle connection is replaced before the other router closes it for being idle, since a request
# that is sent at that moment is lost.
MAX_IDLE_S = 45.0
# Timeout of opening a connection. No request waits for it.
CONNECT_TIMEOUT_S = 2.0


class ConnectionKeeper:
    """Keeps idle connections open, on a thread that starts with the first one.

    ``keep`` may be called from any thread and does not block.

    Args:
        upstream: The ``Upstream`` with the connection pools.
        log: Callable that writes one log line.
    """

    def __init__(self, upstream, log):
        self.upstream = upstream
        self.log = log
        self._orders = queue.SimpleQueue()
        self._counts = {}
        self._lock = threading.Lock()
        self._thread = None

    def keep(self, address, count):
        """Have ``count`` idle connections to ``address``, as soon as they can be opened."""
        with self._lock:
            is_pending = address in self._counts
            self._counts[address] = count
        if not is_pending:
            self._orders.put(address)
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="connections", daemon=True)
            with block_signals():
                self._thread.start()

    def _run(self):
        while True:
            address = self._orders.get()
            with self._lock:
                count = self._counts.pop(address)
            try:
                self.upstream.pool(address).keep_idle(count, MAX_IDLE_S, CONNECT_TIMEOUT_S)
            except (HTTPError, OSError) as error:
                self.log("relay-not-connected", relay=address, detail=type(error).__name__)
