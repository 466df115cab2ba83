"""The leader's decisions on evacuation orders: what is refused, and what is acknowledged when."""

from greengagerock.control.protocol_versions import ProtocolVersions
from greengagerock.control.relay_messages import RelayReply
from greengagerock.core.protocol import PROTOCOL_VERSION
from greengagerock.items import PatchResult
from greengagerock.items.store import encode_patch


class Evacuations:
    """Evacuations of availability zones, as the leader's log orders them.

    It answers bursts of resent orders: each is a short log entry, and one without an effect is
    not sent to routers.

    Args:
        voter: The local voter.
        store: The ``ItemStore``, whose items hold the evacuations.
        router_updater: The ``RouterUpdater``.
        proposals: The ``PendingProposals``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        versions: The ``ProtocolVersions``.
        moving_since_s: Since when keys of evacuated endpoints are known to this leader, by
            service.
    """

    __slots__ = (
        "moving_since_s",
        "outbox",
        "proposals",
        "router_updater",
        "store",
        "timers",
        "versions",
        "voter",
    )

    def __init__(self, voter, store, router_updater, proposals, timers, outbox):
        self.voter = voter
        self.store = store
        self.router_updater = router_updater
        self.proposals = proposals
        self.timers = timers
        self.outbox = outbox
        self.versions = ProtocolVersions(voter.identity, PROTOCOL_VERSION)
        self.reset()

    def reset(self):
        """Discard all state that belongs to one term."""
        self.moving_since_s = {}
        self.versions.begin_term(self.timers.now_s)

    def common_protocol(self):
        """Return the lowest version of messages of all voters and of all routers that poll."""
        voters = [member.identity for member in self.voter.membership.voters]
        return self.versions.lowest(voters, self.router_updater.protocols(), self.timers.now_s)

    def is_evacuated(self, instance):
        """Return whether an ``EndpointInstance`` is in an evacuated zone."""
        return instance.report.zone in self.store.items.evacuations

    def process(self, relay, reply):
        """Propose orders, or refuse them if not all hosts support them.

        Early in a term, that is known only after a moment. The orders wait for it, since their
        sender would lose more time by trying again.

        Args:
            relay: The ``EvacuationRelay``.
            reply: Called with a ``RelayReply``, immediately or later.
        """
        if not self.router_updater.is_active():
            reply(RelayReply(relay.token))
            return
        wait_s = self.versions.hearing_left_s(self.timers.now_s)
        if wait_s > 0.0:
            self.timers.subscribe(wait_s, lambda: self.process(relay, reply))
            return
        zones = ",".join(order.zone for order in relay.patch.evacuations)
        version = self.common_protocol()
        if version < PROTOCOL_VERSION:
            detail = f"a host supports version {version} of messages, {PROTOCOL_VERSION} is needed"
            self.outbox.log("evacuation-refused", zones=zones, code="not-ready", detail=detail)
            reply(RelayReply(relay.token, result=PatchResult("not-ready", detail)))
            return
        arrived_s = self.timers.now_s

        def acknowledge(message):
            code = message.result.code if message.result else "no-leader"
            self.outbox.log(
                "evacuation-refused" if code else "evacuation-acknowledged",
                zones=zones,
                code=code,
                active=",".join(sorted(self.store.items.evacuations)),
                after_ms=round(1000 * (self.timers.now_s - arrived_s)),
            )
            reply(message)

        self.proposals.propose(encode_patch(relay.patch), acknowledge, RelayReply(relay.token))

    def note_progress(self, service, assignments, instances):
        """Log when a service's keys begin to leave evacuated zones, and when all have left.

        Args:
            service: Name of the service.
            assignments: Its ``KeyAssignments``.
            instances: All its instances.
        """
        if not self.store.items.evacuations:
            self.moving_since_s.clear()
            return
        evacuated = [instance for instance in instances if self.is_evacuated(instance)]
        unit_count = sum(
            len(assignments.held.get(i, ())) + len(assignments.releasing.get(i, ()))
            for i in evacuated
        )
        now_s = self.timers.now_s
        if unit_count and service not in self.moving_since_s:
            self.moving_since_s[service] = now_s
            self.outbox.log(
                "evacuation-keys-moving",
                service=service,
                units=unit_count,
                sources=len(evacuated),
                targets=len(instances) - len(evacuated),
            )
        elif not unit_count and service in self.moving_since_s:
            after_s = now_s - self.moving_since_s.pop(service)
            self.outbox.log(
                "evacuation-keys-left", service=service, after_ms=round(1000 * after_s)
            )
