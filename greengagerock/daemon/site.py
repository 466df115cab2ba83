"""Connects the decision core of a site's host to sockets, files and clocks."""

import os
import secrets
import signal
import sys
import threading
import time
import traceback

import msgspec
from loguru import logger

from greengagerock.core import GreengageError
from greengagerock.core.interface import SeedsChanged, StopRequested
from greengagerock.core.signal_masks import block_signals
from greengagerock.daemon.bridge import Bridge
from greengagerock.daemon.log_writer import EventRateLimiter, LineWriter
from greengagerock.daemon.logs import format_pairs
from greengagerock.daemon.loop import EventLoop, format_traceback
from greengagerock.daemon.record_writer import RetryingRecordWriter
from greengagerock.daemon.server_drain import ServerDrain
from greengagerock.node.router_node import RouterNode
from greengagerock.node.site_config import SiteConfig
from greengagerock.settings.link_speed import slow_link_bytes_per_s
from greengagerock.settings.site import split_address
from greengagerock.storage import DataFolder
from greengagerock.transport import Links
from greengagerock.web import own_requests
from greengagerock.web.caller_application import CallerApplication
from greengagerock.web.metrics import Metrics, SiteCollector
from greengagerock.web.relay_dialect import RelayDialect
from greengagerock.web.route_dialect import NativeRouteDialect
from greengagerock.web.server import HttpServer
from greengagerock.web.upstream import Upstream

EXIT_OK = 0
EXIT_FAILED = 1
CONTROL_THREADS = 12
AUXILIARY_THREADS = 2
# More than the requests of other routers that are forwarded at once, so that each further one is
# refused immediately.
RELAY_THREADS = 64
MIN_RELAY_THREADS = 1
# Time after which a connection of another router is closed; that router closes it earlier.
RELAY_IDLE_S = 60.0
# Time for which a request on such a connection is waited for at a planned stop. Most are opened
# long before they are used, and the other router closes them only then.
RELAY_LINGER_S = 0.1
# Interval at which the settings file is checked for changes without a signal.
SETTINGS_CHECK_INTERVAL_S = 1.0
# Time without an acknowledgement of a sent message after which a link is dialled again.
LINK_SILENCE_TIMEOUT_S = 1.0
# Thread switch interval of the interpreter.
SWITCH_INTERVAL_S = 0.002


class SiteDaemon:
    """One process of a site: its hosts discover each other through seed addresses.

    Args:
        settings: The ``SiteSettings``.
        log: Callable that writes one log line.
        dialect: Dialect of requests from callers and to endpoints.
        control_dialect: Dialect of endpoints' reports and operators' calls to controllers.

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
            settings.host, settings.link_address, LINK_SILENCE_TIMEOUT_S, settings.link_listen
        )
        self.node = self._make_node()
        if self.folder is not None:
            self.writer = RetryingRecordWriter(self.folder, self._post, log)
        self.upstream = Upstream(settings.limits)
        self.loop = EventLoop(self.node, self.links, self.bridge, self.writer, self.upstream, log)
        self.loop.apply_limits = self._apply_limits
        self.bridge.post = self.loop.post
        self.bridge.post_deferred = self.loop.post_deferred
        self.bridge.unwatch_caller = self.loop.unwatch_caller
        self.metrics.registry.register(SiteCollector(self.node, self.links, self.loop))
        dialect = dialect or NativeRouteDialect()
        shares_address = settings.readiness == settings.callers
        self.caller_application = self._make_application(
            dialect, own_requests.CALLERS_AND_READINESS if shares_address else own_requests.CALLERS
        )
        self.relay_application = self._make_application(RelayDialect(dialect), own_requests.RELAY)
        self.control_dialect = control_dialect
        self.caller_server = None
        self.servers = self._make_servers()
        self.loop.drain = ServerDrain(self.servers)

    def run(self):
        """Serve until stopped.

        Returns:
            The empty string after a planned stop, or an error code.
        """
        with block_signals():
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
        self.log(
            "ended",
            code=self.loop.stop_code,
            in_progress=self._count_in_progress(),
            **self.loop.drain.report(self.log),
        )
        self.links.close()
        return self.loop.stop_code

    def stop(self):
        """Start a planned stop; called from a signal handler, which runs on the loop's thread."""
        # Requests that wait for a decision may have arrived long after the signal.
        self.loop.post_first(StopRequested(self.loop.checked_s))

    def reload(self, settings):
        """Apply changed settings; only a change of the seeds takes effect while running."""
        if settings.seeds != self.settings.seeds:
            self.loop.post(SeedsChanged(settings.seeds))
        self.settings = settings

    def _count_in_progress(self):
        """Return the number of callers' requests that the HTTP server is processing."""
        return self.caller_server.count_in_progress() if self.caller_server else 0

    def _post(self, event):
        self.loop.post(event)

    def _apply_limits(self, limits):
        if self.caller_server is not None:
            self.caller_server.apply_limits(limits)

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
            slow_link_bytes_per_s(settings.link_mbit_s),
            settings.zone_preference,
            settings.relay,
            settings.evacuate_s,
            settings.warm_up.rate_factor,
            settings.warm_up.rate_slack,
            settings.admits_by_load,
        )
        now_s = time.monotonic()
        if settings.role == "router":
            return RouterNode(config, now_s, wall_clock_us)
        # Routers, of which there are many, do without this module and all that it imports.
        from greengagerock.node.controller_node import ControllerNode

        self.folder = DataFolder(settings.data_folder, settings.host)
        return ControllerNode(config, self.folder.durable_state, now_s, wall_clock_us)

    def _make_application(self, dialect, purpose):
        return CallerApplication(
            self.settings.host,
            self.bridge,
            self.upstream,
            self.metrics,
            self.log,
            dialect,
            purpose,
        )

    def _make_own_application(self, purpose):
        """Return the application of an address that serves neither callers nor controllers."""
        answers = {
            own_requests.READINESS_CHECK: self.caller_application.respond_to_readiness_check,
            own_requests.METRICS_PAGE: self._respond_with_metrics,
        }
        ready_path = self.caller_application.dialect.ready_path
        return own_requests.OwnRequestsApplication(
            own_requests.OwnRequests(purpose, ready_path, answers)
        )

    def _make_servers(self):
        settings = self.settings
        servers = []
        if settings.callers:
            self.caller_server = self._make_server(
                settings.callers,
                self.caller_application,
                settings.limits.caller_threads,
                self.caller_application.farewell(),
            )
            servers.append(self.caller_server)
        if settings.readiness and settings.readiness != settings.callers:
            servers.append(
                self._make_server(
                    settings.readiness,
                    self._make_own_application(own_requests.READINESS),
                    AUXILIARY_THREADS,
                    b"",
                )
            )
        if settings.relay:
            limits = msgspec.structs.replace(settings.limits, idle_connection_s=RELAY_IDLE_S)
            ip, port = split_address(settings.relay)
            servers.append(
                HttpServer(
                    ip,
                    port,
                    self.relay_application,
                    limits,
                    RELAY_THREADS,
                    self.log,
                    MIN_RELAY_THREADS,
                    self.relay_application.farewell(),
                    RELAY_LINGER_S,
                )
            )
        if settings.control:
            # As for the controller's node, routers do without it.
            from greengagerock.web.control_application import ControlApplication

            application = ControlApplication(
                self.bridge, self.log, self.control_dialect, self.metrics
            )
            servers.append(self._make_server(settings.control, application, CONTROL_THREADS))
        if settings.metrics:
            servers.append(
                self._make_server(
                    settings.metrics,
                    self._make_own_application(own_requests.METRICS),
                    AUXILIARY_THREADS,
                    b"",
                )
            )
        return servers

    def _make_server(self, address, application, threads, farewell=None):
        ip, port = split_address(address)
        return HttpServer(
            ip,
            port,
            application,
            self.settings.limits,
            threads,
            self.log,
            farewell=farewell,
        )

    def _respond_with_metrics(self, environ, start_response):
        body = self.metrics.render()
        start_response(
            "200 OK",
            [("Content-Type", self.metrics.content_type), ("Content-Length", str(len(body)))],
        )
        return [body]


class SettingsWatcher:
    """Reloads the settings after a signal and when the file has changed.

    Args:
        path: Path of the settings file.
        load: Callable that reads the file and returns the settings.
        apply: Callable that receives the reloaded settings.
        log: Callable that writes one log line.
    """

    def __init__(self, path, load, apply, log):
        self.path = path
        self.load = load
        self.apply = apply
        self.log = log
        self.last_stamp = self._read_stamp()
        self.reload_requested = threading.Event()
        threading.Thread(target=self._run, name="settings", daemon=True).start()

    def request_reload(self):
        """Request a reload on the watcher thread; safe in a signal handler."""
        self.reload_requested.set()

    def _read_stamp(self):
        try:
            file_status = self.path.stat()
        except OSError:
            return None
        return file_status.st_mtime_ns, file_status.st_size

    def _run(self):
        while True:
            is_requested = self.reload_requested.wait(SETTINGS_CHECK_INTERVAL_S)
            self.reload_requested.clear()
            stamp = self._read_stamp()
            if is_requested or stamp != self.last_stamp:
                self.last_stamp = stamp
                self._reload("signal" if is_requested else "file changed")

    def _reload(self, reason):
        try:
            settings = self.load()
        except GreengageError as error:
            self.log("reload-failed", code=error.code, detail=error.detail, reason=reason)
            return
        self.log("reloaded", reason=reason, seeds=",".join(settings.seeds))
        self.apply(settings)


def wall_clock_us():
    """Return the wall clock in microseconds since 1970."""
    return time.time_ns() // 1000


def make_site_log(settings, line_writer):
    """Return a function that logs an event, with a rate limit for each kind of event.

    Args:
        settings: The ``SiteSettings``.
        line_writer: The ``LineWriter`` that receives the lines.
    """
    logger.remove()
    logger.add(
        line_writer.write, level=settings.log.level.upper(), format="{message}", backtrace=False
    )
    common_fields = {"host": settings.host, "zone": settings.availability_zone}
    rate_limiter = EventRateLimiter()

    def log(event, **fields):
        now_s = time.monotonic()
        for name, count in rate_limiter.collect_dropped(now_s).items():
            write("lines-dropped", {"of": name, "count": count})
        if rate_limiter.allow(event, now_s):
            write(event, fields)

    def write(event, fields):
        time_of_day = (
            time.strftime("%H:%M:%S", time.gmtime()) + f".{wall_clock_us() // 1000 % 1000:03d}"
        )
        logger.opt(raw=True).info(
            "{}\n", format_pairs({"time": time_of_day, "event": event, **common_fields, **fields})
        )

    return log


def make_thread_hook(log, line_writer, end_process=os._exit):
    """Return a hook that ends the process when a thread ends with an exception.

    A process without its record writer, log or HTTP server would go on without a part of its
    work; ended, it is started again.

    Args:
        log: Callable that writes one log line.
        line_writer: The ``LineWriter`` of the log.
        end_process: Callable that ends the process with a status.
    """

    def end(arguments):
        lines = traceback.format_exception(
            arguments.exc_type, arguments.exc_value, arguments.exc_traceback
        )
        detail = "".join(lines).replace("\n", " | ")
        thread = arguments.thread.name if arguments.thread else ""
        log("fatal", code="internal-error", thread=thread, detail=detail)
        line_writer.close()
        end_process(EXIT_FAILED)

    return end


def serve_site(settings, load, path, dialect=None, control_dialect=None):
    """Serve until SIGTERM or SIGINT.

    Args:
        settings: The ``SiteSettings``.
        load: Callable that reads the settings file again.
        path: Path of the settings file.
        dialect: Dialect of requests from callers and to endpoints.
        control_dialect: Dialect of endpoints' reports and operators' calls to controllers.

    Returns:
        The exit status 1 if the daemon could not start. After a stop it does not return: it
        ends the process.
    """
    # Only the thread of the event loop takes signals.
    with block_signals():
        line_writer = LineWriter()
        log = make_site_log(settings, line_writer)
        threading.excepthook = make_thread_hook(log, line_writer)
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        try:
            daemon = SiteDaemon(settings, log, dialect, control_dialect)
        except GreengageError as error:
            log("fatal", code=error.code, detail=error.detail)
            line_writer.close()
            return EXIT_FAILED
        settings_watcher = SettingsWatcher(path, load, daemon.reload, log)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.stop())
    signal.signal(signal.SIGHUP, lambda *_: settings_watcher.request_reload())
    try:
        code = daemon.run()
    except Exception:
        # Other threads would keep a process alive that serves nothing.
        code = "internal-error"
        log("fatal", code=code, detail=format_traceback())
    line_writer.close()
    # Worker threads may be blocked on callers' idle connections. A normal exit of the interpreter
    # would wait for them until the process is killed.
    os._exit(EXIT_FAILED if code else EXIT_OK)
