"""A dispatcher with endpoints of known load that routes of two priorities share."""

from greengagerock.core.interface import EndpointNoticed, LoadNotice, RequestEnded
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.testing.item_builders import build_first_patch, build_route
from greengagerock.view import ItemsDelta

URGENT = "search"
LESS_URGENT = "export"
FULL = LoadNotice(3, 3, 3, 100)
IDLE = LoadNotice(0, 0, 3, 100)


class AdmissionHarness(DispatcherHarness):
    """A dispatcher with an urgent and a less urgent route to the service ``docs``.

    Attributes:
        admission: The ``CallAdmission``.
        loads: The ``EndpointLoads``.
    """

    def __init__(self, endpoints=1, objective_s=1.0, link_bytes_per_s=None):
        super().__init__(endpoints, link_bytes_per_s=link_bytes_per_s)
        patch = build_first_patch()
        routes = [
            build_route(
                name,
                weighted_services=(("docs", 1),),
                priority=priority,
                objective_s=objective_s,
                timeout_s=10.0,
            )
            for priority, name in enumerate((URGENT, LESS_URGENT))
        ]
        self.replica.apply_items(
            ItemsDelta(1, 2, True, (*patch.routes, *routes), patch.services, patch.limits)
        )
        self.dispatcher.on_items()
        self.admission = self.dispatcher.sender.admission
        self.admission.is_enabled = True
        self.loads = self.dispatcher.observations.loads
        self.loads.work_s_by_service["docs"] = 0.1

    def state_load(self, load, endpoint="docs-0"):
        """Let an endpoint state its load in a response to this router."""
        self.loads.note(endpoint, 0, load, self.timers.now_s)

    def advance(self, duration_s, load=None):
        """Advance time in steps of 50 ms, at each of which an endpoint states a load."""
        for _ in range(round(duration_s / 0.05)):
            if load is not None:
                self.state_load(load)
            self.timers.advance(self.timers.now_s + 0.05)

    def end(self, token, load):
        """End a call with a response that states a load."""
        self.dispatcher.on_notice(EndpointNoticed(token, load=load))
        self.dispatcher.on_ended(RequestEnded(token, True, 0.1))

    def call_held(self, count=1, **options):
        """Dispatch less urgent calls that get no room, and return their tokens."""
        tokens = []
        while len(tokens) < count:
            # The least share of the route is used up, so that it does not admit the call.
            self.admission.shares.credits.clear()
            tokens.append(self.call(LESS_URGENT, None, **options))
        return tokens
