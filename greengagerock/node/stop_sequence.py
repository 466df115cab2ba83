"""Planned stop of a host without interrupted requests."""

from greengagerock.core.interface import StopProcess

# Time for the platform's load balancer to detect that the host is unready.
UNREADY_PERIOD_S = 1.0
# Time after which the process ends even if requests are still in flight.
STOP_LIMIT_S = 30.0
# Time after the last request until which the process waits for requests on open connections.
STOP_WAIT_S = 2.0


class StopSequence:
    """Stops a node in steps.

    First the host transfers its roles as leader and lease manager and reports itself
    unready, so that the load balancer sends no further callers; requests are still
    served. Then new requests are refused, those in flight are finished, and the
    process ends.

    Args:
        node: The node.
    """

    def __init__(self, node):
        self.node = node
        self.has_begun = False
        self.is_finished = False

    def begin(self):
        """Begin the stop; further calls have no effect."""
        if self.has_begun:
            return
        self.has_begun = True
        self.node.router.is_closing = True
        self.node.timeline.record("stopping")
        self.node.outbox.log("stopping", in_flight=len(self.node.router.registry))
        self.node.lease_manager_client.is_leaving = True
        self.node.transfer_roles()
        self.node.timers.subscribe(UNREADY_PERIOD_S, self._refuse_new_requests)
        self.node.timers.subscribe(STOP_LIMIT_S, self._finish)

    def finish_if_idle(self):
        """End the process if new requests are refused and none is in flight."""
        if self.node.router.is_stopping and not len(self.node.router.registry):
            self._finish()

    def _refuse_new_requests(self):
        self.node.router.is_stopping = True
        self.finish_if_idle()

    def _finish(self):
        if not self.is_finished:
            self.is_finished = True
            self.node.outbox.log("stopped", cut_off=len(self.node.router.registry))
            self.node.outbox.add(StopProcess(wait_s=STOP_WAIT_S))
