"""Wires the decision core of a host with discovered peers to sockets, files and time."""

import os
import secrets
import signal
import sys
import threading
import time

from loguru import logger

from greengagerock.core import GreengageError, StorageError
from greengagerock.core.seam import Persisted, SeedsChanged, StopRequested
from greengagerock.daemon.bridge import Bridge
from greengagerock.daemon.logs import format_pairs
from greengagerock.daemon.loop import EventLoop
from greengagerock.daemon.pump import EventQuota, LinePump
from greengagerock.daemon.writer import RecordWriter
from greengagerock.node.controller_node import ControllerNode
from greengagerock.node.router_node import RouterNode
from greengagerock.node.site import SiteConfig
from greengagerock.settings.site import split_address
from greengagerock.storage import DataFolder
from greengagerock.transport import Links
from greengagerock.web import CallerApplication, HttpServer, Metrics, Upstream
from greengagerock.web.calls import OwnCallDialect
from greengagerock.web.control import ControlApplication
from greengagerock.web.metrics import SiteCollector

EXIT_OK = 0
EXIT_FAILED = 1
CONTROL_THREADS = 12
SMALL_THREADS = 2
# How often the settings file is looked at for changes without a signal.
SETTINGS_CHECK_S = 1.0
# A disk that refuses writes is tried again so often.
DISK_RETRY_S = 0.25
# A link on which the peer was silent for so long is dialled anew.
LINK_SILENCE_S = 1.0
SWITCH_INTERVAL_S = 0.002


class PatientRecordWriter(RecordWriter):
    """Goes on trying while the disk refuses writes; nothing is acknowledged meanwhile.

    After a failed write or sync the file's contents are not certain, so the whole file
    is written anew.

    Args:
        folder: The ``DataFolder``.
        post: Callable that hands an event to the loop.
        log: Callable that writes one log line.
    """

    def __init__(self, folder, post, log):
        self.log = log
        super().__init__(folder, post)

    def _write(self, effects):
        records = [record for effect in effects for record in effect.records]
        try:
            self.folder.write(records)
        except StorageError as error:
            self.log("disk-refused", code=error.code, detail=error.detail)
            self._write_anew()
        self.post(Persisted(effects[-1].sequence))
        return True

    def _write_anew(self):
        began_s = time.monotonic()
        while True:
            time.sleep(DISK_RETRY_S)
            try:
                self.folder.rewrite()
            except StorageError:
                # Said once above; the regained disk is logged below.
                continue
            self.log("disk-regained", after_s=round(time.monotonic() - began_s, 2))
            return


class SiteDaemon:
    """One process of a system whose hosts find each other from seeds.

    Args:
        settings: The ``SiteSettings``.
        log: Callable that writes one log line.
        dialect: Names on the wire between callers and endpoints.
        control_dialect: Names on the wire between controllers, endpoints and operators.

    Raises:
        GreengageError: If the data folder or a port cannot be used.
    """

    def __init__(self, settings, log, dialect=None, control_dialect=None):
        self.settings = settings
        self.log = log
        self.bridge = Bridge()
        self.metrics = Metrics()
        self.folder = None
        self.writer = None
        self.links = Links(
            settings.host, settings.link_address, LINK_SILENCE_S, settings.link_listen
        )
        self.node = self._make_node()
        if self.folder is not None:
            self.writer = PatientRecordWriter(self.folder, self._post, log)
        self.upstream = Upstream(settings.limits)
        self.loop = EventLoop(self.node, self.links, self.bridge, self.writer, self.upstream, log)
        self.loop.on_limits = self._use_limits
        self.bridge.post = self.loop.post
        self.bridge.post_lazily = self.loop.post_lazily
        self.bridge.unwatch_caller = self.loop.unwatch_caller
        self.metrics.registry.register(SiteCollector(self.node, self.links))
        self.callers = CallerApplication(
            settings.host,
            self.bridge,
            self.upstream,
            self.metrics,
            log,
            dialect or OwnCallDialect(),
        )
        self.control = ControlApplication(self.bridge, log, control_dialect)
        self.caller_server = None
        self.servers = self._make_servers()

    def run(self):
        """Serve until stopped.

        Returns:
            The empty string after a planned stop, or an error code.
        """
        for server in self.servers:
            server.start()
        settings = self.settings
        self.log(
            "started",
            role_listens=settings.callers or settings.control,
            link=settings.link_address,
            seeds=",".join(settings.seeds),
            may_found=settings.may_found,
        )
        self.loop.run()
        self.log("ended", code=self.loop.stop_code)
        self.links.close()
        return self.loop.stop_code

    def stop(self):
        """Begin a planned stop, from a signal handler."""
        self.loop.post(StopRequested())

    def reload(self, settings):
        """Use changed settings; only seeds can change while the daemon runs."""
        if settings.seeds != self.settings.seeds:
            self.loop.post(SeedsChanged(settings.seeds))
        self.settings = settings

    def _post(self, event):
        self.loop.post(event)

    def _use_limits(self, limits):
        if self.caller_server is not None:
            self.caller_server.use_limits(limits)

    def _make_node(self):
        settings = self.settings
        config = SiteConfig(
            settings.host,
            settings.availability_zone,
            settings.link_address,
            settings.seeds,
            settings.may_found,
            secrets.randbits(64),
            settings.report_interval_s,
            settings.hold_s,
            settings.retries.ratio,
            settings.retries.slack,
            settings.retries.window_s,
            settings.stop_grace_s,
        )
        now_s = time.monotonic()
        if settings.role == "router":
            return RouterNode(config, now_s, wall_clock_us)
        self.folder = DataFolder(settings.data_folder, settings.host)
        return ControllerNode(config, self.folder.durable, now_s, wall_clock_us)

    def _make_servers(self):
        settings = self.settings
        servers = []
        if settings.callers:
            self.caller_server = self._server(
                settings.callers, self.callers, settings.limits.caller_threads
            )
            servers.append(self.caller_server)
        if settings.readiness and settings.readiness != settings.callers:
            servers.append(self._server(settings.readiness, self.callers, SMALL_THREADS))
        if settings.control:
            servers.append(self._server(settings.control, self.control, CONTROL_THREADS))
        if settings.metrics:
            servers.append(self._server(settings.metrics, self._answer_metrics, SMALL_THREADS))
        return servers

    def _server(self, address, application, threads):
        ip, port = split_address(address)
        return HttpServer(ip, port, application, self.settings.limits, threads, self.log)

    def _answer_metrics(self, environ, start_response):
        body = self.metrics.render()
        start_response(
            "200 OK",
            [("Content-Type", self.metrics.content_type), ("Content-Length", str(len(body)))],
        )
        return [body]


class SettingsWatch:
    """Loads the settings anew after a signal, and when the file has changed.

    Args:
        path: The settings file.
        load: Callable that returns the settings.
        use: Called with changed settings.
        log: Callable that writes one log line.
    """

    def __init__(self, path, load, use, log):
        self.path = path
        self.load = load
        self.use = use
        self.log = log
        self.seen = self._stamp()
        self.signalled = threading.Event()
        threading.Thread(target=self._run, name="settings", daemon=True).start()

    def signal(self):
        """Load the settings soon; safe in a signal handler."""
        self.signalled.set()

    def _stamp(self):
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def _run(self):
        while True:
            signalled = self.signalled.wait(SETTINGS_CHECK_S)
            self.signalled.clear()
            stamp = self._stamp()
            if signalled or stamp != self.seen:
                self.seen = stamp
                self._reload("signal" if signalled else "file changed")

    def _reload(self, reason):
        try:
            settings = self.load()
        except GreengageError as error:
            self.log("reload-failed", code=error.code, detail=error.detail, reason=reason)
            return
        self.log("reloaded", reason=reason, seeds=",".join(settings.seeds))
        self.use(settings)


def wall_clock_us():
    """Return the wall clock in microseconds since 1970."""
    return time.time_ns() // 1000


def make_site_log(settings, pump):
    """Return a function that writes one event, in bounded volume.

    Args:
        settings: The ``SiteSettings``.
        pump: The ``LinePump``.
    """
    logger.remove()
    logger.add(pump.write, level=settings.log.level.upper(), format="{message}", backtrace=False)
    common = {"host": settings.host, "zone": settings.availability_zone}
    quota = EventQuota()

    def log(event, **fields):
        now_s = time.monotonic()
        for name, count in quota.collect_dropped(now_s).items():
            write("lines-dropped", {"of": name, "count": count})
        if quota.take(event, now_s):
            write(event, fields)

    def write(event, fields):
        at = time.strftime("%H:%M:%S", time.gmtime()) + f".{wall_clock_us() // 1000 % 1000:03d}"
        logger.opt(raw=True).info(
            "{}\n", format_pairs({"time": at, "event": event, **common, **fields})
        )

    return log


def serve_site(settings, load, path, dialect=None, control_dialect=None):
    """Serve until SIGTERM.

    Args:
        settings: The ``SiteSettings``.
        load: Callable that reads the settings anew.
        path: The settings file.
        dialect: Names on the wire between callers and endpoints.
        control_dialect: Names on the wire between controllers, endpoints and operators.

    Returns:
        The exit status 1 if the daemon could not start; after a stop the process ends.
    """
    pump = LinePump()
    log = make_site_log(settings, pump)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        daemon = SiteDaemon(settings, log, dialect, control_dialect)
    except GreengageError as error:
        log("fatal", code=error.code, detail=error.detail)
        pump.close()
        return EXIT_FAILED
    watch = SettingsWatch(path, load, daemon.reload, log)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    signal.signal(signal.SIGHUP, lambda *_: watch.signal())
    code = daemon.run()
    pump.close()
    # Workers may be blocked on callers' idle connections, and the interpreter would wait for
    # them until the process is killed.
    os._exit(EXIT_FAILED if code else EXIT_OK)
