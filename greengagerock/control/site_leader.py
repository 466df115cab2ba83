"""Decisions of the leading controller: key grants, patches, and updates sent to routers."""

from greengagerock.assignment import (
    EndpointLeaving,
    InstanceDirectory,
    KeyAssignments,
    ReportResponse,
)
from greengagerock.assignment.key_assignments import lessor_hold_s
from greengagerock.assignment.report_checks import check_report
from greengagerock.control.acknowledged_leaves import AcknowledgedLeaves
from greengagerock.control.cold_endpoints import ColdEndpoints
from greengagerock.control.confirmations import ABANDONED
from greengagerock.control.evacuations import Evacuations
from greengagerock.control.fence_counter import FenceCounter
from greengagerock.control.holder_gaps import HolderGaps
from greengagerock.control.hot_key_log import log_hot_units
from greengagerock.control.item_changes import ItemChanges
from greengagerock.control.limited_weights import apply_cold_limit, apply_limits
from greengagerock.control.pending_proposals import PendingProposals
from greengagerock.control.relay_messages import (
    EvacuationRelay,
    ItemsRelay,
    PatchRelay,
    RelayReply,
    ReportRelay,
)
from greengagerock.control.router_updater import RouterUpdater
from greengagerock.core import GreengageError
from greengagerock.items.store import LeaveRecord, encode_leave, format_digest
from greengagerock.routing.crash_suspects import BAN_S, CrashCounter

# A leaving endpoint keeps its keys for this long, since routers may still send it requests
# after its leave was acknowledged.
LEAVE_GRACE_S = 1.0


class SiteLeader:
    """The leader's decisions and its state.

    It acts only while this voter leads, holds the leader lease, and has applied all
    entries of earlier terms. Its state lasts for one term, except for the counted crashes
    and the bans.

    Args:
        config: The ``SiteConfig``.
        voter: The local voter.
        store: The ``ItemStore``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        router_updater: The ``RouterUpdater``, which sends changes to routers.
        cold_endpoints: The ``ColdEndpoints``.
        crash_counter: The ``CrashCounter`` that counts crashes by request.
        proposals: The ``PendingProposals``.
        changes: The ``ItemChanges``.
        evacuations: The ``Evacuations``.
        directory: The ``InstanceDirectory`` of endpoint instances that have reported.
        assignments_by_service: The ``KeyAssignments`` of each service with keys, by service name.
        earlier_grants_end_s: When all key grants of earlier leaders have certainly expired;
            ``None`` before the first tick or key assignment of the term.
        fences: The ``FenceCounter`` of this term.
        withdrawn_endpoints: Names of leaving endpoints that routers no longer get as holders
            of units.
        acknowledged_leaves: The ``AcknowledgedLeaves`` of endpoints that have not reported.
        holder_gaps: The ``HolderGaps``.
    """

    def __init__(self, config, voter, store, timers, outbox):
        self.config = config
        self.voter = voter
        self.store = store
        self.timers = timers
        self.outbox = outbox
        self.router_updater = RouterUpdater(
            config.address, voter, store, timers, outbox, self.is_active
        )
        self.acknowledged_leaves = AcknowledgedLeaves(
            store, voter, self.router_updater, timers, outbox
        )
        self.cold_endpoints = ColdEndpoints(
            store, lambda: self.directory, self.router_updater, timers, outbox
        )
        self.crash_counter = CrashCounter()
        self.proposals = PendingProposals(voter, outbox)
        self.changes = ItemChanges(voter, store, self.router_updater, timers, outbox)
        self.evacuations = Evacuations(
            voter, store, self.router_updater, self.proposals, timers, outbox
        )
        store.on_patch_result = self._on_patch_result
        store.on_leave = self._on_leave_committed
        self._reset()

    def _reset(self):
        self.directory = InstanceDirectory()
        self.assignments_by_service = {}
        self.router_updater.reset()
        self.earlier_grants_end_s = None
        self.fences = FenceCounter(self.voter.term)
        self.withdrawn_endpoints = set()
        self.acknowledged_leaves.reset()
        self.holder_gaps = HolderGaps(self.outbox)
        self.evacuations.reset()

    def start_term(self):
        """Start a term as the leader."""
        self._reset()

    def end_term(self):
        """Stop leading; pending requests get a reply without a value."""
        self.proposals.abandon()
        self.changes.abandon()
        self._reset()

    def is_active(self):
        """Return whether this host may act as the leader now."""
        return self.voter.is_ready_to_serve() and self.voter.has_lease()

    def common_protocol(self):
        """Return the lowest version of messages of all voters and of all routers that poll."""
        return self.evacuations.common_protocol()

    # --- Requests ------------------------------------------------------------------

    def process_request(self, request, reply):
        """Process a relayed request.

        Args:
            request: A ``ReportRelay``, ``PatchRelay``, ``EvacuationRelay`` or ``ItemsRelay``.
            reply: Called with a ``RelayReply``, immediately or later.
        """
        if not self.is_active():
            reply(RelayReply(request.token))
            return
        match request:
            case ReportRelay(token, message) if not self._is_possible(message):
                reply(RelayReply(token, report=ReportResponse("bad-report")))
            case ReportRelay(token, EndpointLeaving() as leaving):
                self._on_leaving(token, leaving, reply)
            case ReportRelay(token, report):
                response = self._on_report(report)
                if report.draining and response.code == "":
                    leave = LeaveRecord(report.endpoint, report.started_ms)
                    self._reply_to_leave(token, leave, response, reply)
                else:
                    reply(RelayReply(token, report=response))
            case PatchRelay(token, patch):
                self.changes.process(token, patch, reply)
            case EvacuationRelay():
                self.evacuations.process(request, reply)
            case ItemsRelay(token):
                reply(RelayReply(token, items=self.store.items))

    def _is_possible(self, message):
        """Check a report again, which a controller of another build may have passed on."""
        try:
            check_report(message)
            for held_range in getattr(message, "holds", ()):
                if not self.fences.was_issued(held_range.fence):
                    raise GreengageError("bad-report", f"fence {held_range.fence} is impossible")
        except GreengageError as error:
            self.outbox.log(
                "report-refused", code=error.code, endpoint=message.endpoint, detail=error.detail
            )
            return False
        return True

    def _reply_to_leave(self, token, leave, response, reply):
        """Reply once a quorum has stored the leave, so that every later leader has it."""
        if self.store.leaving_endpoints.get(leave.endpoint) == leave.started_ms:
            reply(RelayReply(token, report=response))
        else:
            prepared = RelayReply(token, report=response)
            self.proposals.propose(encode_leave(leave), reply, prepared)

    def _on_leave_committed(self, index, leave):
        pending = self.proposals.pop(index)
        if pending is not None:
            self.outbox.log(
                "leave-acknowledged",
                endpoint=leave.endpoint,
                born_ms=leave.started_ms,
                index=index,
                registered=leave.endpoint in self.directory.instances,
                routers=len(self.router_updater.subscribers),
            )
            reply, prepared = pending
            reply(prepared)

    def _on_patch_result(self, index, result):
        if result.changed:
            self.router_updater.note_items(index, result.changed)
        self.outbox.log(
            "patch-applied",
            change=format_digest(self.store.applied_digest),
            index=index,
            code=result.code,
            detail=result.detail,
            changed=",".join(result.changed[:8]),
            changed_count=len(result.changed),
        )
        if self.changes.on_committed(index, result):
            return
        pending = self.proposals.pop(index)
        if pending is not None:
            reply, message = pending
            self._reply_to_orders(reply, message.token, result)

    def _reply_to_orders(self, reply, token, result):
        """Reply to evacuation orders, once routers have them if they were accepted."""
        message = RelayReply(token, result=result)
        if result.code:
            reply(message)
            return
        self.router_updater.call_when_confirmed(
            self.router_updater.items_history.current_revision,
            lambda outcome: reply(RelayReply(token) if outcome == ABANDONED else message),
        )

    def _on_report(self, report):
        service = self.store.items.services.get(report.service)
        if service is None:
            code = "unknown-service" if self.store.items.services else "not-ready"
            self.outbox.log(
                "report-refused", code=code, endpoint=report.endpoint, service=report.service
            )
            return ReportResponse(code)
        now_s = self.timers.now_s
        admission = self.directory.process_report(report, now_s)
        instance = admission.instance
        for ended in admission.ended_instances:
            self._end_instance(ended, "a later instance has its name or address")
        if instance is None:
            self.outbox.log(
                "report-refused",
                code="stale-report",
                endpoint=report.endpoint,
                born_ms=report.started_ms,
            )
            return ReportResponse("stale-report")
        if not admission.is_late:
            self._withdraw_crashes(report)
        if not instance.is_leaving and self.acknowledged_leaves.has_left(report):
            instance.leaving_since_s = now_s
        if admission.is_new or admission.is_changed:
            self.router_updater.note_endpoint(instance)
            self.outbox.log(
                "endpoint-joined" if admission.is_new else "endpoint-changed",
                endpoint=instance.name,
                service=report.service,
                address=report.address,
                zone=report.zone,
                draining=instance.is_leaving,
                sequence=report.sequence,
            )
        if not admission.is_late:
            self.cold_endpoints.on_report(instance, admission.is_new or admission.is_changed)
        if admission.is_late or service.keyed is None:
            return ReportResponse()
        assignments = self._assignments_of(report.service)
        instances = self.directory.of_service(report.service)
        # A cold endpoint's first report must not get it all the keys that are free.
        limit_shares = self.router_updater.limit_shares
        apply_cold_limit(assignments, instance, instances, limit_shares, now_s)
        ended_count = assignments.untaken.ended_count
        grants = assignments.process_report(instance, instances, now_s, self.config.hold_s)
        if assignments.untaken.ended_count > ended_count:
            units = assignments.untaken.ended_count - ended_count
            self.outbox.log("grants-not-taken", endpoint=instance.name, units=units)
        return ReportResponse("", grants, self.config.hold_s)

    def _on_leaving(self, token, leaving, reply):
        registered = self.directory.instances.get(leaving.endpoint)
        instance = self.directory.mark_leaving(leaving, self.timers.now_s)
        if instance is not None:
            self.router_updater.note_endpoint(instance)
            self.outbox.log("endpoint-leaving", endpoint=instance.name, born_ms=leaving.started_ms)
        started_ms = leaving.started_ms or (registered.report.started_ms if registered else 0)
        if registered is None:
            started_ms = self.acknowledged_leaves.withdraw(leaving.endpoint, started_ms)
        leave = LeaveRecord(leaving.endpoint, started_ms)
        self._reply_to_leave(token, leave, ReportResponse(), reply)

    def on_leaving_observed(self, observed):
        """Process a router's ``LeavingObserved``: routers send nothing new to the endpoint.

        The endpoint has not been promised anything yet, so nothing is stored in the log, unless
        its leave was acknowledged without a start time.
        """
        if not self.is_active():
            return
        self.acknowledged_leaves.on_start_reported(observed.endpoint, observed.started_ms)
        leaving = EndpointLeaving(observed.endpoint, observed.started_ms)
        instance = self.directory.mark_leaving(leaving, self.timers.now_s)
        if instance is not None:
            self.router_updater.note_endpoint(instance)
            self.outbox.log(
                "endpoint-leaving",
                endpoint=instance.name,
                born_ms=leaving.started_ms,
                source="router",
            )

    def on_crash_report(self, report):
        """Process a router's ``CrashReport``; ban the request after enough crashes."""
        now_s = self.timers.now_s
        if self.is_active() and self.crash_counter.add_report(report, now_s):
            if report.fingerprint not in self.router_updater.bans:
                self.outbox.log(
                    "request-banned", fingerprint=report.fingerprint, request_id=report.request
                )
            self.router_updater.bans[report.fingerprint] = now_s + BAN_S
            self.router_updater.schedule_push()

    def _withdraw_crashes(self, report):
        """Do not count resets of connections by an endpoint that has reported since as crashes."""
        for fingerprint in self.crash_counter.note_alive(
            report.endpoint, str(report.started_ms), self.timers.now_s
        ):
            if self.router_updater.bans.pop(fingerprint, None) is not None:
                self.outbox.log(
                    "ban-ended", fingerprint=fingerprint, detail=f"{report.endpoint} reports"
                )
                self.router_updater.schedule_push()

    # --- Routers -------------------------------------------------------------------

    def on_poll(self, poll, address):
        """Process a router's ``ViewPoll`` with its statistics, and reply."""
        for name, (count, mean_s) in poll.response_times.items():
            instance = self.directory.instances.get(name)
            if instance is None:
                continue
            service = instance.report.service
            self.router_updater.response_times.note(
                service, name, count, mean_s, self.timers.now_s
            )
            if service in self.assignments_by_service:
                self.assignments_by_service[service].weights.add_responses(name, count, mean_s)
        for service, requests in poll.demand.items():
            if service in self.assignments_by_service:
                self.assignments_by_service[service].hot_units.block_loads.add_requests(
                    requests, self.timers.now_s
                )
        self.router_updater.on_poll(poll, address)

    # --- Time ----------------------------------------------------------------------

    def tick(self):
        """Perform periodic work: expire key leases, plan moves, remove silent endpoints."""
        now_s = self.timers.now_s
        self.router_updater.advance()
        if self.earlier_grants_end_s is None:
            self._begin_takeover(now_s)
        if (
            self.router_updater.endpoints_history.settled_revision is None
            and now_s >= self.earlier_grants_end_s
        ):
            self.router_updater.endpoints_history.mark_settled()
            self.outbox.log("leader-settled", endpoints=len(self.directory.instances))
            self.router_updater.schedule_push()
        self.cold_endpoints.advance()
        for instance in self.directory.remove_silent(now_s):
            self._end_instance(instance, "silent")
        for instance in self.directory.instances.values():
            if instance.is_leaving and now_s - instance.leaving_since_s > LEAVE_GRACE_S:
                self._withdraw_units(instance)
        for service, assignments in self.assignments_by_service.items():
            instances = self.directory.of_service(service)
            apply_limits(assignments, instances, self.router_updater.limit_shares, now_s)
            assignments.advance(instances, now_s)
            assignments.plan_balance_moves(instances, now_s)
            assignments.plan_rebalancing(instances, now_s)
            log_hot_units(service, assignments.hot_units, self.outbox, now_s)
            self.evacuations.note_progress(service, assignments, instances)
            self.holder_gaps.note(
                service, len(assignments.free_units.free) + len(assignments.unreported_units)
            )
        for fingerprint in [
            f for f, until_s in self.router_updater.bans.items() if until_s < now_s
        ]:
            del self.router_updater.bans[fingerprint]
            self.crash_counter.forget(fingerprint)

    def _begin_takeover(self, now_s):
        """Compute until when endpoints may still hold keys granted by an earlier leader.

        Routers are also sent the removal of endpoints whose leave was acknowledged earlier and
        which have not reported in this term.
        """
        # Entry 1 is the bootstrap membership; entry 2 is the first one that a leader appended.
        first_entry = self.voter.log.entry_at(2)
        is_first_leader = first_entry is not None and first_entry.term == self.voter.term
        wait_s = 0.0 if is_first_leader else lessor_hold_s(self.config.hold_s)
        self.earlier_grants_end_s = now_s + wait_s
        self.acknowledged_leaves.take_over(self.directory.instances)
        self.outbox.log("leader-begins", term=self.voter.term, waits_s=round(wait_s, 3))

    def _assignments_of(self, service):
        assignments = self.assignments_by_service.get(service)
        if assignments is None:
            if self.earlier_grants_end_s is None:
                self._begin_takeover(self.timers.now_s)
            assignments = self.assignments_by_service[service] = KeyAssignments(
                service,
                self.fences.issue,
                lambda unit, endpoint: self.router_updater.note_owner(service, unit, endpoint),
                self.earlier_grants_end_s,
                self.config.report_interval_s,
                self.evacuations.is_evacuated,
            )
        return assignments

    def _withdraw_units(self, instance):
        if instance.name in self.withdrawn_endpoints:
            return
        self.withdrawn_endpoints.add(instance.name)
        assignments = self.assignments_by_service.get(instance.report.service)
        if assignments is not None:
            assignments.clear_owners(instance)

    def _end_instance(self, instance, reason):
        assignments = self.assignments_by_service.get(instance.report.service)
        if assignments is not None:
            assignments.end(instance, self.timers.now_s)
        self.withdrawn_endpoints.discard(instance.name)
        if self.directory.instances.get(instance.name) is None:
            self.router_updater.remove_endpoint(instance.name)
        self.router_updater.schedule_push()
        self.outbox.log("endpoint-ended", endpoint=instance.name, detail=reason)
