"""A naive request policy, to compare the router with."""

from greengagerock.core import OUTCOME_NOT_RUN, GreengageError
from greengagerock.core.seam import Answer
from greengagerock.routing import Router

ATTEMPTS = 4


class NaiveRouter(Router):
    """Retries three times on any failure, in turn, without limits or memory.

    It shares the routes and the lease with the real router, so that only the
    request policy differs. Whatever fails in the end is reported as not run.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.turn = 0

    def on_request(self, event):
        """Send a request without claiming its key."""
        try:
            request = self._accept(event)
            self.registry.add(request)
            self._send(request)
        except GreengageError as error:
            self._give_up(event, error, OUTCOME_NOT_RUN)

    def on_attempt_failed(self, event):
        """Send the request again, whatever happened to it."""
        request = self.registry.get(event.token)
        if request is None:
            return
        self.registry.unassign(request)
        try:
            if len(request.tried) >= ATTEMPTS:
                raise GreengageError("answer-lost", "all attempts failed")
            self._send(request)
        except GreengageError as error:
            self._give_up(request.event, error, OUTCOME_NOT_RUN)

    def _choose(self, request):
        endpoints = self.history.routes.endpoints_of(request.service.name)
        if not endpoints:
            raise GreengageError("no-endpoint", "no endpoint")
        self.turn += 1
        return endpoints[self.turn % len(endpoints)]

    def _admit(self, endpoint):
        """Admit everything."""

    def _sweep(self):
        """Wait for every answer until its deadline."""

    def _give_up(self, event, error, outcome):
        request = self.registry.remove(event.token)
        self.outbox.add(Answer(event.token, error.code, outcome, error.detail))
        return request


def use_naive_routers(system):
    """Replace the request policy of every host of a fake system."""
    for host in system.hosts.values():
        make_naive(host.node)


def make_naive(node):
    """Replace the request policy of one node."""
    node.router = NaiveRouter(
        node.config.host.zone,
        node.history,
        node.follower.lease,
        node.timers,
        node.outbox,
        node.random,
    )
