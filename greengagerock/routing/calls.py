"""Calls in progress at one router."""


class Call:
    """One caller's request from its arrival to its end.

    Attributes:
        token: Identifier of the call on this host.
        request_id: The caller's id of the request.
        route: Its ``RouteItem``.
        service: Name of the service that it goes to.
        key: Its key, or ``None``.
        arrived_s: When it arrived at this host.
        deadline_s: When its time limit expires.
        fingerprint: Digest of the request.
        endpoint: Name of the endpoint of the current attempt, empty while there is none.
        endpoint_started_ms: Start of that endpoint instance, in milliseconds since 1970.
        sent_s: When it was sent to that endpoint.
        tried_endpoints: Names of all endpoints that it was sent to.
        attempt_count: Number of attempts, those that did not get to an endpoint included.
        delivery_count: Number of times that it may have reached an endpoint.
        awaited_unit: The (service, unit) whose holder it waits for, or ``None``.
        body_bytes: Size of its body as far as this host holds it.
        event_s: When the decision core got it or its last attempt ended; a decision is due some
            time later.
        known_load: The ``KnownLoad`` of the endpoint considered last, or ``None`` if unknown.
        verdict: ``Wait`` or ``Refuse`` by the load of endpoints, or ``None`` if one admits it.
        is_share_counted: Whether it has been counted for the least share of its route.
        timer: Pending timer of the call, such as the end of a wait, or ``None``.
        relay: Address of the relay of the current attempt, empty for an own connection.
        relays_without_endpoint: Number of relays that could not connect to the endpoint.
        tried_relays: Addresses of relays that could not forward it.
        unreached_endpoints: Names of endpoints to which connecting failed.
        connect_failures: Number of attempts that failed to connect.
        has_stream: Whether a long response is being relayed.
        is_overdue: Whether the attempt was cancelled because it was incomplete at the deadline.
        is_abandoned: Whether its caller has disconnected.
        is_first_there: Whether the current attempt is the first at its endpoint.
        may_have_run: Whether an endpoint may have run it.
        is_body_consumed: Whether its body was read, so that it cannot be sent again.
    """

    __slots__ = (
        "arrived_s",
        "attempt_count",
        "awaited_unit",
        "body_bytes",
        "connect_failures",
        "is_body_consumed",
        "deadline_s",
        "delivery_count",
        "endpoint",
        "endpoint_started_ms",
        "event_s",
        "fingerprint",
        "has_stream",
        "is_abandoned",
        "is_overdue",
        "is_first_there",
        "is_share_counted",
        "key",
        "known_load",
        "may_have_run",
        "relay",
        "relays_without_endpoint",
        "request_id",
        "route",
        "sent_s",
        "service",
        "timer",
        "token",
        "tried_endpoints",
        "tried_relays",
        "unreached_endpoints",
        "verdict",
    )

    def __init__(self, event, route, service, now_s, deadline_s, arrived_s=None):
        self.token = event.token
        self.request_id = event.request_id
        self.route = route
        self.service = service
        self.key = event.key
        self.arrived_s = now_s if arrived_s is None else arrived_s
        self.deadline_s = deadline_s
        self.event_s = now_s
        self.body_bytes = event.body_bytes
        self.known_load = None
        self.verdict = None
        self.is_share_counted = False
        self.fingerprint = ""
        self.endpoint = ""
        self.endpoint_started_ms = 0
        self.sent_s = 0.0
        self.tried_endpoints = []
        self.relay = ""
        self.relays_without_endpoint = 0
        self.tried_relays = []
        self.unreached_endpoints = []
        self.connect_failures = 0
        self.attempt_count = 0
        self.delivery_count = 0
        self.awaited_unit = None
        self.timer = None
        self.has_stream = False
        self.is_overdue = False
        self.is_abandoned = False
        self.is_first_there = False
        self.may_have_run = False
        self.is_body_consumed = False

    def end_attempt(self, now_s):
        """End the current attempt; return its endpoint and relay, empty if there was none."""
        endpoint, self.endpoint = self.endpoint, ""
        relay, self.relay = self.relay, ""
        self.event_s = now_s
        self.cancel_timer()
        return endpoint, relay

    def begin_attempt(self, now_s):
        """Record that an attempt begins, before anything may have reached its endpoint."""
        self.sent_s = now_s
        self.has_stream = self.is_overdue = False
        self.attempt_count += 1
        self.delivery_count += 1

    def cancel_timer(self):
        """Cancel the timer, if one is set."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
