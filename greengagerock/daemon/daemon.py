"""Connects the decision core of one host to sockets, files and clocks."""

import secrets
import tempfile
import time

from greengagerock.control.commands import HostRecord
from greengagerock.core.interface import StopRequested
from greengagerock.daemon.bridge import Bridge
from greengagerock.daemon.loop import EventLoop
from greengagerock.daemon.record_writer import RetryingRecordWriter
from greengagerock.daemon.server_drain import ServerDrain
from greengagerock.daemon.status import describe_host
from greengagerock.node.node import Node
from greengagerock.node.node_config import NodeConfig
from greengagerock.settings.schema import join_address
from greengagerock.storage import DataFolder
from greengagerock.transport import Links
from greengagerock.web.caller_application import CallerApplication
from greengagerock.web.endpoint_handlers import EndpointRoot
from greengagerock.web.metrics import Metrics
from greengagerock.web.operator_handlers import OperatorRoot, make_application
from greengagerock.web.own_requests import CALLERS_AND_READINESS
from greengagerock.web.server import HttpServer
from greengagerock.web.upstream import Upstream

OPERATOR_THREADS = 6
ENDPOINT_THREADS = 8
INCARNATION_BYTES = 6


def wall_clock_us():
    """Return the wall clock in microseconds since 1970."""
    return time.time_ns() // 1000


class Daemon:
    """One ``greengagerockd`` process of a system with configured voters.

    Args:
        settings: The validated settings.
        log: Callable that writes one log line.

    Raises:
        GreengageError: If the data folder or a port cannot be used.
    """

    def __init__(self, settings, log):
        self.settings = settings
        self.log = log
        self.bridge = Bridge()
        self.metrics = Metrics()
        self.temporary_folder = None
        self.folder = self._open_folder()
        self.links = Links(settings.host, settings.link_address)
        self.node = self._make_node()
        self.writer = None
        if self.folder is not None:
            self.writer = RetryingRecordWriter(self.folder, self._post, log)
        self.upstream = Upstream(settings.limits)
        self.loop = EventLoop(self.node, self.links, self.bridge, self.writer, self.upstream, log)
        self.bridge.post = self.loop.post
        self.bridge.post_deferred = self.loop.post_deferred
        self.bridge.unwatch_caller = self.loop.unwatch_caller
        self.metrics.register_node(self.node, self.links)
        self.servers = self._make_servers()
        self.loop.drain = ServerDrain(self.servers)

    def run(self):
        """Serve until stopped.

        Returns:
            The empty string after a planned stop, or an error code.
        """
        for server in self.servers:
            server.start()
        listen = self.settings.listen
        self.log("started", ip=listen.ip, callers=listen.caller_port, link=listen.link_port)
        self.loop.run()
        for server in self.servers:
            server.stop()
        if self.writer:
            self.writer.close()
        self.links.close()
        if self.temporary_folder:
            self.temporary_folder.cleanup()
        self.log("ended", code=self.loop.stop_code)
        return self.loop.stop_code

    def stop(self):
        """Start a planned stop; can be called from any thread or a signal handler."""
        self.loop.post(StopRequested())

    def _post(self, event):
        self.loop.post(event)

    def _open_folder(self):
        if not self.settings.is_voter:
            return None
        path = self.settings.data_folder
        if not path:
            self.temporary_folder = tempfile.TemporaryDirectory(prefix="greengagerock-")
            path = self.temporary_folder.name
        return DataFolder(path, self.settings.host)

    def _make_node(self):
        settings = self.settings
        record = HostRecord(
            settings.host,
            settings.availability_zone,
            settings.region,
            settings.link_address,
            join_address(settings.listen.ip, settings.listen.operator_port),
            secrets.token_hex(INCARNATION_BYTES),
            self.folder.durable_state.identity if self.folder else "",
        )
        voters = settings.voter_addresses
        config = NodeConfig(record, tuple(voters.values()), voters, secrets.randbits(64))
        durable_state = self.folder.durable_state if self.folder else None
        return Node(config, durable_state, time.monotonic(), wall_clock_us)

    def _make_servers(self):
        settings = self.settings
        caller_application = CallerApplication(
            settings.host,
            self.bridge,
            self.upstream,
            self.metrics,
            self.log,
            purpose=CALLERS_AND_READINESS,
        )
        operator_handlers = OperatorRoot(
            self.bridge, self.node.timeline, lambda: describe_host(self), self.metrics
        )
        endpoint_handlers = EndpointRoot(self.bridge, self.log)
        listen = settings.listen
        port_applications = (
            (listen.caller_port, caller_application, settings.limits.caller_threads),
            (listen.operator_port, make_application(operator_handlers), OPERATOR_THREADS),
            (listen.endpoint_port, make_application(endpoint_handlers), ENDPOINT_THREADS),
        )
        return [
            HttpServer(listen.ip, port, application, settings.limits, threads, self.log)
            for port, application, threads in port_applications
        ]
