"""A router in this process that can be partitioned from endpoints."""

import threading

from greengagerock.daemon.site import SiteDaemon
from greengagerock.settings.checker import load_settings

STOP_TIMEOUT_S = 20.0


class PartitionedRouter:
    """A router of a site of processes, run on threads of this process.

    Args:
        site: The ``SiteProcesses``; the process of the router with this name is stopped first.
        name: Name of the host.
        refusing_address: ``IP:PORT`` at which nobody listens.

    Attributes:
        log_lines: Pairs of event name and fields of its log.
        unreachable_addresses: Addresses of endpoints to which new connections are refused.
    """

    def __init__(self, site, name, refusing_address):
        process = site.processes.pop(name)
        process.terminate()
        process.wait(STOP_TIMEOUT_S)
        self.log_lines = []
        self.unreachable_addresses = set()
        self.refusing_address = refusing_address
        self.daemon = SiteDaemon(load_settings(site.folder / f"{name}.yaml"), self._log)
        upstream = self.daemon.upstream
        self._reachable_pool = upstream.pool
        upstream.pool = self._pool
        self.thread = threading.Thread(target=self.daemon.run, daemon=True)
        self.thread.start()

    def partition(self, addresses):
        """Close the connections to endpoints and refuse new ones."""
        self.unreachable_addresses = set(addresses)
        for address in addresses:
            self.daemon.upstream.close_pool(address)

    def heal(self):
        """End the partition."""
        self.unreachable_addresses = set()

    def logged(self, event):
        """Return how often an event was logged."""
        return sum(name == event for name, _ in list(self.log_lines))

    def stop(self):
        """Stop the router."""
        self.daemon.stop()
        self.thread.join(STOP_TIMEOUT_S)

    def _log(self, event, **fields):
        self.log_lines.append((event, fields))

    def _pool(self, address):
        is_cut = address in self.unreachable_addresses
        return self._reachable_pool(self.refusing_address if is_cut else address)
