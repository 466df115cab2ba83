"""What a router does when a request did not get to its endpoint on the path that was chosen."""

from greengagerock.core import OUTCOME_NOT_RUN
from greengagerock.routing.call_sender import MIN_TIME_LEFT_S
from greengagerock.routing.failures import REASON_RELAY

# Number of relays that fail to reach an endpoint from which on relays are not tried for a while.
MIN_RELAYS_OF_LOST_ENDPOINT = 2


class PathFailures:
    """Sends calls that certainly did not run on another path or to another endpoint.

    Nothing was delivered, so no attempt and none of the retry budget is used.

    Args:
        replica: The ``ViewReplica``.
        observations: The ``EndpointObservations``.
        notices: The ``EndpointNotices``.
        paths: The ``EndpointPaths``.
        sender: The ``CallSender``.
        timers: The timer service.
        outbox: Receives effects.
        finish: Callable that responds to a call with an error code and an outcome.
    """

    __slots__ = (
        "finish",
        "notices",
        "observations",
        "outbox",
        "paths",
        "replica",
        "sender",
        "timers",
    )

    def __init__(self, replica, observations, notices, paths, sender, timers, outbox, finish):
        self.replica = replica
        self.observations = observations
        self.notices = notices
        self.paths = paths
        self.sender = sender
        self.timers = timers
        self.outbox = outbox
        self.finish = finish

    def on_unreachable(self, call, endpoint):
        """Handle a failure to connect to an endpoint."""
        now_s = self.timers.now_s
        observation = self.observations.observation_of(endpoint)
        is_first_failure = not observation.is_unreachable
        record = self.replica.endpoints.get(endpoint)
        if record is None:
            observation.note_unreachable(now_s)
        else:
            self.paths.note_lost(record)
        if is_first_failure:
            self.outbox.log(
                "endpoint-unreachable",
                endpoint=endpoint,
                service=call.service,
                request_id=call.request_id,
                unreachable=self.observations.unreachable_count(),
            )
        self._note_not_delivered(call, endpoint)
        has_time = call.deadline_s - now_s >= MIN_TIME_LEFT_S
        if has_time and is_first_failure and self._may_connect_again(call, record):
            # One lost packet has the same effect; two failures show an unreachable endpoint.
            self.sender.forward(call, record)
        else:
            self._send_elsewhere(call)

    def on_not_relayed(self, call, event, endpoint, relay):
        """Handle a request that a relay did not deliver."""
        call.tried_relays.append(relay)
        if event.reason == REASON_RELAY:
            self.paths.relays.note_failure(relay)
        else:
            self.paths.relays.note_miss(relay)
            if len(call.tried_relays) >= MIN_RELAYS_OF_LOST_ENDPOINT:
                self.paths.note_unrelayed(endpoint)
        self._note_not_delivered(call, endpoint)
        self._send_elsewhere(call)

    def _may_connect_again(self, call, record):
        """Return whether a call may be sent again to the only endpoint that can run it."""
        return (
            record is not None
            and self.sender.is_keyed(call)
            and not call.is_body_consumed
            and self.notices.accepts_held_keys(record, self.timers.now_s)
            and self.sender.zone_evacuations.accepts_held(record, self.timers.now_s)
            and not self.notices.pause_left_s(record, self.timers.now_s)
            and not self.paths.pick_relay(call, record)
        )

    def _note_not_delivered(self, call, endpoint):
        """Record that the attempt that has ended did not reach its endpoint."""
        call.delivery_count -= 1
        if endpoint not in call.unreached_endpoints:
            call.unreached_endpoints.append(endpoint)
        if call.is_first_there:
            call.tried_endpoints.remove(endpoint)

    def _send_elsewhere(self, call):
        """Send a call on another path or to another endpoint, or refuse it."""
        if call.is_body_consumed:
            self.finish(call, "connect-failed", OUTCOME_NOT_RUN)
        else:
            self.sender.send(call)
