"""What a router does when a request did not get to its endpoint on the path that was chosen."""

from greengagerock.core import OUTCOME_NOT_RUN
from greengagerock.routing.call_sender import MIN_TIME_LEFT_S
from greengagerock.routing.failures import (
    MAX_CONNECT_FAILURES,
    REASON_CONNECT_TIMEOUT,
    REASON_LINK_BUSY,
    REASON_PATH_LOST,
    REASON_RELAY,
    REASON_RELAY_LATE,
)

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

    Attributes:
        late_count: Number of connect timeouts that were taken for signs of load.
    """

    __slots__ = (
        "finish",
        "late_count",
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
        self.late_count = 0

    def on_not_connected(self, call, event, endpoint):
        """Handle a failure to connect; return whether the endpoint counts as lost."""
        call.connect_failures += 1
        record = self.replica.endpoints.get(endpoint)
        is_keyed = self.sender.is_keyed(call)
        is_timeout = event.reason == REASON_CONNECT_TIMEOUT and record is not None
        is_first_failure = not self.observations.observation_of(endpoint).is_unreachable
        if not is_timeout:
            self.observations.observation_of(endpoint).last_reset_s = self.timers.now_s
        if is_timeout and not self.paths.note_timeout(record, call.sent_s, is_keyed):
            self._on_late_connection(call, record)
            return False
        if not is_timeout:
            self._note_lost(endpoint, record)
        self._on_lost(call, endpoint, record, is_first_failure)
        return True

    def _note_lost(self, endpoint, record):
        if record is None:
            self.observations.observation_of(endpoint).note_unreachable(self.timers.now_s)
        else:
            self.paths.note_lost(record)

    def _on_late_connection(self, call, record):
        """Handle a connect timeout of an endpoint that is busy.

        A relay would open one more connection to it. So the call goes to another endpoint, or is
        sent there once more if no other may run it.
        """
        self.late_count += 1
        self.outbox.log(
            "connection-late",
            request_id=call.request_id,
            endpoint=record.name,
            waited_ms=round(1000 * (self.timers.now_s - call.sent_s)),
            group_silent_ms=round(1000 * self.paths.detector.silent_s(record)),
        )
        self._note_not_delivered(call, record.name)
        has_time = call.deadline_s - self.timers.now_s >= MIN_TIME_LEFT_S
        if not self.sender.is_keyed(call):
            # Requests prefer other endpoints for a while.
            self.observations.observation_of(record.name).last_shed_s = self.timers.now_s
            self.paths.health.note_failure(record.name, self.timers.now_s)
            self._send_elsewhere(call)
        elif call.connect_failures >= MAX_CONNECT_FAILURES or not has_time:
            detail = f"endpoint {record.name} accepts connections late"
            self.finish(call, "connect-failed", OUTCOME_NOT_RUN, detail)
        elif self._is_still_holder(call, record) and self._may_send_again(call, record):
            self.sender.forward(call, record)
        else:
            self._send_elsewhere(call)

    def _on_lost(self, call, endpoint, record, is_first_failure):
        """Send a call whose endpoint counts as lost on another path or to another endpoint."""
        if is_first_failure:
            self.outbox.log(
                "endpoint-unreachable",
                endpoint=endpoint,
                service=call.service,
                request_id=call.request_id,
                unreachable=self.observations.unreachable_count(),
            )
        self._note_not_delivered(call, endpoint)
        has_time = call.deadline_s - self.timers.now_s >= MIN_TIME_LEFT_S
        if has_time and is_first_failure and self._may_connect_again(call, record):
            # One lost packet has the same effect; two failures show an unreachable endpoint.
            self.sender.forward(call, record)
        else:
            self._send_elsewhere(call)

    def on_no_response(self, endpoint, relay, sent_s):
        """Handle a request that got no response until its deadline."""
        record = self.replica.endpoints.get(endpoint)
        if relay:
            self.paths.relays.note_no_response(relay, sent_s)
        elif record is not None:
            self.paths.note_no_response(record, sent_s)

    def on_not_relayed(self, call, event, endpoint, relay):
        """Handle a request that a relay did not deliver.

        Only a relay that would reach the endpoint's group and was refused by the endpoint, or
        found it silent, shows that the endpoint itself is lost.
        """
        call.tried_relays.append(relay)
        relays = self.paths.relays
        if event.reason == REASON_RELAY_LATE:
            relays.note_late(relay)
        elif event.reason == REASON_RELAY:
            relays.note_failure(relay, "not-taken")
        elif event.reason == REASON_PATH_LOST:
            relays.note_path_lost(relay, call.service)
        elif event.reason not in (REASON_CONNECT_TIMEOUT, REASON_LINK_BUSY):
            call.relays_without_endpoint += 1
            relays.note_miss(relay)
            if call.relays_without_endpoint >= MIN_RELAYS_OF_LOST_ENDPOINT:
                self.paths.note_unrelayed(endpoint)
        self._note_not_delivered(call, endpoint)
        self._send_elsewhere(call)

    def _may_connect_again(self, call, record):
        """Return whether a call may be sent again to the only endpoint that can run it."""
        return (
            record is not None
            and self.sender.is_keyed(call)
            and self._may_send_again(call, record)
            and not self.paths.pick_relay(call, record)
        )

    def _is_still_holder(self, call, record):
        return self.replica.owner_of(call.service, call.key) == record.name

    def _may_send_again(self, call, record):
        """Return whether a call may be sent again to the same endpoint."""
        return (
            not call.is_body_consumed
            and self.notices.accepts_held_keys(record, self.timers.now_s)
            and self.sender.zone_evacuations.accepts_held(record, self.timers.now_s)
            and not self.notices.pause_left_s(record, self.timers.now_s)
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
