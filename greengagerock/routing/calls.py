"""Calls of callers that are in progress at one router."""


class Call:
    """One caller's request from its arrival to its end.

    Attributes:
        token: Identifies it on this host.
        request_id: The caller's id of the request.
        route: Its ``RouteItem``.
        service: Name of the service that it goes to.
        key: Its key, or ``None``.
        arrived_s: When it arrived.
        deadline_s: When nobody waits for its answer any more.
        fingerprint: Digest of what it asks for.
        endpoint: Name of the endpoint that it was sent to, empty while it waits.
        sent_s: When it was sent there.
        tried: Names of all endpoints that it was sent to.
        arrivals: How often it may have reached an endpoint.
        unit: The (service, unit) that it waits for, or ``None``.
        timer: What happens if it goes on waiting.
        is_abandoned: Whether its caller has gone.
        may_have_run: Whether an endpoint may have run it.
        body_used: Whether its body was read, so that it cannot be sent again.
    """

    __slots__ = (
        "arrivals",
        "arrived_s",
        "body_used",
        "deadline_s",
        "endpoint",
        "fingerprint",
        "is_abandoned",
        "key",
        "may_have_run",
        "request_id",
        "route",
        "sent_s",
        "service",
        "timer",
        "token",
        "tried",
        "unit",
    )

    def __init__(self, event, route, service, now_s, deadline_s):
        self.token = event.token
        self.request_id = event.request_id
        self.route = route
        self.service = service
        self.key = event.key
        self.arrived_s = now_s
        self.deadline_s = deadline_s
        self.fingerprint = ""
        self.endpoint = ""
        self.sent_s = 0.0
        self.tried = []
        self.arrivals = 0
        self.unit = None
        self.timer = None
        self.is_abandoned = False
        self.may_have_run = False
        self.body_used = False

    def stop_timer(self):
        """Cancel what was planned for the case that the call goes on waiting."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
