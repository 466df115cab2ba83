"""Baseline request policy that measurements and tests compare the router with."""

from greengagerock.core import OUTCOME_NOT_RUN, GreengageError
from greengagerock.core.interface import RespondWithError
from greengagerock.routing.router import Router

MAX_ATTEMPTS = 4


class BaselineRouter(Router):
    """Baseline router that retries three times on any failure, without limits or stored results.

    It chooses endpoints in turn. It uses the routes and the lease of the real router, so that
    only the request policy differs. A request whose attempts all fail is reported as not run.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.choice_count = 0

    def on_request(self, event):
        """Send a request without claiming its idempotency key."""
        try:
            request = self._parse_request(event)
            self.registry.add(request)
            self._send(request)
        except GreengageError as error:
            self._refuse(event, error, OUTCOME_NOT_RUN)

    def on_attempt_failed(self, event):
        """Send the request again, even if the failed attempt may have run."""
        request = self.registry.get(event.token)
        if request is None:
            return
        self.registry.unassign(request)
        try:
            if len(request.tried_endpoints) >= MAX_ATTEMPTS:
                raise GreengageError("answer-lost", "all attempts failed")
            self._send(request)
        except GreengageError as error:
            self._refuse(request.event, error, OUTCOME_NOT_RUN)

    def _choose(self, request):
        endpoints = self.history.routes.endpoints_of(request.service.name)
        if not endpoints:
            raise GreengageError("no-endpoint", "the service has no endpoint")
        self.choice_count += 1
        return endpoints[self.choice_count % len(endpoints)]

    def _check_limit(self, endpoint):
        """Admit every request: there is no limit for an endpoint."""

    def _check_silent_connections(self):
        """Do nothing: requests on silent connections wait until their deadline."""

    def _refuse(self, event, error, outcome):
        request = self.registry.remove(event.token)
        self.outbox.add(RespondWithError(event.token, error.code, outcome, error.detail))
        return request


def use_baseline_routers(system):
    """Replace the request policy of every host of a fake system by the baseline."""
    for host in system.hosts.values():
        use_baseline_router(host.node)


def use_baseline_router(node):
    """Replace the request policy of one node by the baseline."""
    node.router = BaselineRouter(
        node.config.host.zone,
        node.history,
        node.lease_manager_client.lease,
        node.timers,
        node.outbox,
        node.random,
    )
