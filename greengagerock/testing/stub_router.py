"""A router of which only the decisions are a stand-in: it forwards each call to one endpoint."""

import contextlib
import time
from collections import Counter

from greengagerock.core import OUTCOME_UNKNOWN
from greengagerock.core.interface import (
    AttemptFailed,
    CallArrived,
    Forward,
    RelayArrived,
    RequestArrived,
    RespondWithError,
    ResponseInterrupted,
)
from greengagerock.daemon.bridge import Bridge
from greengagerock.settings.schema import LimitSettings
from greengagerock.testing.log_recorder import LogRecorder
from greengagerock.web.caller_application import CallerApplication
from greengagerock.web.metrics import Metrics
from greengagerock.web.relay_dialect import RelayDialect
from greengagerock.web.route_dialect import NativeRouteDialect
from greengagerock.web.server import HttpServer
from greengagerock.web.upstream import Upstream

TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 0.15
WAIT_S = 5.0
WAIT_STEP_S = 0.01
THREADS = 4


class StubRouter:
    """An HTTP server for callers, or for another router, with connections to one endpoint.

    Used as a context manager. A failed attempt ends its call with an error, unless the request
    has certainly not run and ``resend_relays`` says how to send it again.

    Args:
        ip: Loopback address to listen on.
        port: Port to listen on.
        relay: Another ``StubRouter``, which reaches the endpoint for this one, or ``None``.
        serves_router: Whether the requests come from another router.
        dialect: Dialect of callers and endpoints; ``NativeRouteDialect`` by default.

    Attributes:
        address: IP address and port.
        before_resend: Callable that is called before a request is sent again, or ``None``.
        bridge: The ``Bridge``.
        endpoint: ``IP:PORT`` of the endpoint.
        range_endpoint: ``IP:PORT`` of an endpoint that is asked once for the rest of an
            interrupted response, or empty.
        events: All events of calls since the endpoint was set, in order.
        log: The ``LogRecorder``.
        resend_relays: For each further attempt of a call, the ``StubRouter`` through which the
            request is sent again, ``None`` for an own connection.
    """

    def __init__(self, ip, port, relay=None, serves_router=False, dialect=None):
        self.address = (ip, port)
        self.endpoint = self.range_endpoint = ""
        self.relay = relay
        self.events = []
        self.resend_relays = ()
        self.before_resend = None
        self.resend_counts = Counter()
        self.log = LogRecorder()
        self.bridge = Bridge()
        self.bridge.post = self.bridge.post_deferred = self._decide
        self.bridge.unwatch_caller = lambda descriptor: None
        dialect = dialect or NativeRouteDialect()
        application = CallerApplication(
            "h",
            self.bridge,
            Upstream(LimitSettings(connect_timeout_s=CONNECT_TIMEOUT_S)),
            Metrics(),
            self.log,
            RelayDialect(dialect) if serves_router else dialect,
        )
        self.server = HttpServer(ip, port, application, LimitSettings(), THREADS, self.log)

    def __enter__(self):
        self.server.start()
        return self

    def __exit__(self, *exception):
        self.server.stop()

    def reach(self, endpoint, range_endpoint=""):
        """Forward the following calls to an endpoint, and drop the events of earlier ones."""
        self.endpoint, self.range_endpoint = endpoint, range_endpoint
        self.events = []
        if self.relay is not None:
            self.relay.reach(endpoint, range_endpoint)

    def wait_for(self, event_type):
        """Return the first event of a type, once it has come.

        Raises:
            AssertionError: If there is none within ``WAIT_S``.
        """
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            for event in list(self.events):
                if isinstance(event, event_type):
                    return event
            time.sleep(WAIT_STEP_S)
        raise AssertionError(f"no {event_type.__name__} among {self.events}")

    def _decide(self, event):
        self.events.append(event)
        match event:
            case CallArrived(token) | RelayArrived(token):
                self._forward(token, self.endpoint, self.relay)
            case RequestArrived(token, request_id):
                headers = {"Greengage-Request-Id": request_id}
                self.bridge.deliver(token, Forward(token, "e", self.endpoint, headers, TIMEOUT_S))
            case AttemptFailed(token, has_sent_bytes=False) if self._has_attempts_left(token):
                if self.before_resend is not None:
                    self.before_resend()
                relay = self.resend_relays[self.resend_counts[token]]
                self.resend_counts[token] += 1
                self._forward(token, self.endpoint, relay)
            case ResponseInterrupted(token, is_resumable) if is_resumable and self.range_endpoint:
                range_endpoint, self.range_endpoint = self.range_endpoint, ""
                self._forward(token, range_endpoint, self.relay)
            case AttemptFailed(token) | ResponseInterrupted(token):
                error = RespondWithError(token, "answer-lost", OUTCOME_UNKNOWN, "", True)
                self.bridge.deliver(token, error)

    def _has_attempts_left(self, token):
        return self.resend_counts[token] < len(self.resend_relays)

    def _forward(self, token, endpoint, relay):
        relay_address = "" if relay is None else "{}:{}".format(*relay.address)
        forward = Forward(token, "e", endpoint, {}, TIMEOUT_S, relay=relay_address)
        self.bridge.deliver(token, forward)


@contextlib.contextmanager
def start_router(address, relay_address=None):
    """Start a router that reaches the endpoint itself, or through another one.

    Args:
        address: IP address and port.
        relay_address: Those of the other router, or ``None``.

    Yields:
        The ``StubRouter``.
    """
    if relay_address is None:
        with StubRouter(*address) as router:
            yield router
    else:
        with (
            StubRouter(*relay_address, serves_router=True) as relay,
            StubRouter(*address, relay=relay) as router,
        ):
            yield router
