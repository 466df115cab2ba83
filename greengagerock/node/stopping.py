"""A planned stop, which cuts off no request."""

from greengagerock.core.seam import StopProcess

# The platform's balancer needs this long to notice that the host is unready.
UNREADY_PERIOD_S = 1.0
STOP_LIMIT_S = 30.0


class StopSequence:
    """Stops a node in steps.

    First the host hands over what it leads and keeps, and is reported unready,
    so that the balancer sends no further callers, while requests are still
    served. Then new requests are refused, those in flight are finished, and the
    process ends.

    Args:
        node: The node.
    """

    def __init__(self, node):
        self.node = node
        self.begun = False
        self.done = False

    def begin(self):
        """Begin the stop; a second call has no effect."""
        if self.begun:
            return
        self.begun = True
        self.node.router.closing = True
        self.node.timeline.record("stopping")
        self.node.outbox.log("stopping", in_flight=len(self.node.router.registry))
        self.node.follower.is_leaving = True
        self.node.hand_over_roles()
        self.node.timers.subscribe(UNREADY_PERIOD_S, self._refuse_new)
        self.node.timers.subscribe(STOP_LIMIT_S, self._finish)

    def check(self):
        """Finish if the last request has ended."""
        if self.node.router.stopping and not len(self.node.router.registry):
            self._finish()

    def _refuse_new(self):
        self.node.router.stopping = True
        self.check()

    def _finish(self):
        if not self.done:
            self.done = True
            self.node.outbox.log("stopped", cut_off=len(self.node.router.registry))
            self.node.outbox.add(StopProcess())
