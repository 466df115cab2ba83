"""Processing of operators' queries and changes at the leader."""

from greengagerock.control.commands import OperatorChange, ReplaceVoter
from greengagerock.control.operator_messages import (
    OperatorRelayReply,
    OperatorResponse,
    error_response,
)
from greengagerock.control.queries import QueryContext, Table, execute_query
from greengagerock.control.state_machine import fingerprint_change
from greengagerock.core import GreengageError, StatementError
from greengagerock.language.parser import parse_statement
from greengagerock.model import Routes
from greengagerock.model.timing import OPERATOR_RELAY_TIMEOUT_S

MAX_PENDING_CHANGES = 256


class PendingChange:
    """A change whose response has not been sent yet.

    Attributes:
        address: Link address of the host that relayed the change.
        token: That host's token for the request.
        request_id: Request id of the change.
        fingerprint: Digest of its content.
        deadline_s: Latest time for the response, in monotonic seconds.
        version: Always 0; not used.
    """

    __slots__ = ("address", "deadline_s", "fingerprint", "request_id", "token", "version")

    def __init__(self, address, token, request_id, fingerprint, deadline_s):
        self.address = address
        self.token = token
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.deadline_s = deadline_s
        self.version = 0


class OperatorRequestHandler:
    """Processes operators' requests while its controller leads.

    Args:
        controller: The ``Controller`` that it belongs to.

    Attributes:
        pending_changes: A ``PendingChange`` for each response that is still due.
    """

    def __init__(self, controller):
        self.controller = controller
        self.pending_changes = []

    def on_relay(self, relay, address):
        """Process a request; ``address`` is the link address for the reply."""
        try:
            if not self.controller.is_leading:
                raise GreengageError("no-leader", "this voter does not lead")
            statement = parse_statement(relay.request.text)
            if isinstance(statement, tuple):
                self._on_change(relay, statement, address)
            else:
                self._reply(address, relay.token, self._query_response(statement))
        except StatementError as error:
            self._reply(
                address, relay.token, error_response(error.code, error.detail, error.column)
            )
        except GreengageError as error:
            self._reply(address, relay.token, error_response(error.code, error.detail))

    def fail_pending(self):
        """Reply to all pending changes with an error, since the leadership has changed."""
        for pending in self.pending_changes:
            response = error_response(
                "no-leader", "the leader changed; retry with the same request id"
            )
            self._reply(pending.address, pending.token, response)
        self.pending_changes = []

    def on_applied(self, command, index):
        """Check the pending changes after an operator change was applied."""
        if isinstance(command, OperatorChange):
            self.check_pending()

    def check_pending(self):
        """Reply to all changes that are in effect everywhere or whose deadline has passed."""
        still_pending = []
        for pending in self.pending_changes:
            response = self._change_response(pending)
            if response is None:
                still_pending.append(pending)
            else:
                self._reply(pending.address, pending.token, response)
        self.pending_changes = still_pending

    def _reply(self, address, token, response):
        self.controller.outbox.send(address, OperatorRelayReply(token, response))

    # --- Queries -------------------------------------------------------------------

    def _query_response(self, query):
        controller = self.controller
        context = QueryContext(
            controller.state,
            controller.zone_monitors,
            controller.voter.membership,
            controller.host,
            controller.timeline.wall_clock_us(),
        )
        return OperatorResponse(
            table=execute_query(query, context), version=controller.state.config_version
        )

    # --- Changes -------------------------------------------------------------------

    def _on_change(self, relay, actions, address):
        request = relay.request
        if not request.request_id and not request.dry_run:
            raise GreengageError("invalid-value", "a change requires a request id")
        change = OperatorChange(
            request.request_id,
            request.author,
            request.text,
            request.base_version,
            actions,
            self.controller.timeline.wall_clock_us(),
        )
        if request.dry_run:
            self._reply(address, relay.token, self._dry_run(change))
            return
        if request.request_id not in self.controller.state.results:
            for action in actions:
                self._check_voters(action)
        self._queue_change(change, relay, address)

    def _check_voters(self, action):
        """Refuse a voter change that contradicts the current voters."""
        if not isinstance(action, ReplaceVoter):
            return
        voters = self.controller.voter.membership.voters
        hosts = {member.host for member in voters}
        if action.old and action.old not in hosts:
            raise GreengageError("unknown-name", f"no voter runs on {action.old!r}")
        if not action.new and len(voters) == 1:
            raise GreengageError("invalid-value", "the last voter cannot be removed")
        host = self.controller.state.hosts.get(action.new)
        if host and any(member.identity == host.identity for member in voters):
            raise GreengageError("already-exists", f"{action.new!r} is already a voter")

    def _queue_change(self, change, relay, address):
        if len(self.pending_changes) >= MAX_PENDING_CHANGES:
            raise GreengageError("queue-full", "too many changes are pending")
        fingerprint = fingerprint_change(change)
        earlier = self.controller.state.results.get(change.request_id)
        if earlier is not None and earlier.fingerprint != fingerprint:
            raise GreengageError(
                "request-id-reused", f"request id {change.request_id!r} was another change"
            )
        wait_s = min(relay.request.wait_s, OPERATOR_RELAY_TIMEOUT_S)
        deadline_s = self.controller.timers.now_s + wait_s
        pending = PendingChange(address, relay.token, change.request_id, fingerprint, deadline_s)
        is_resent = any(
            (p.address, p.token) == (address, relay.token) for p in self.pending_changes
        )
        if is_resent:
            return
        self.pending_changes.append(pending)
        if earlier is None:
            # A second proposal with the same request id is harmless, since the state
            # machine applies only the first.
            self.controller.propose(change)
        else:
            self.check_pending()

    def _change_response(self, pending):
        result = self.controller.state.results.get(pending.request_id)
        is_expired = self.controller.timers.now_s >= pending.deadline_s
        if result is None:
            if not is_expired:
                return None
            detail = "not yet stored on a quorum; retry with the same request id"
            return error_response("no-leader", detail)
        if result.fingerprint != pending.fingerprint:
            return error_response(
                "request-id-reused", "the request id was already used for another change"
            )
        if result.code:
            return error_response(result.code, result.detail)
        zones_behind = self._zones_behind(result.version)
        if zones_behind and not is_expired:
            return None
        return OperatorResponse(
            version=result.version, accepted=True, in_force=not zones_behind, waiting=zones_behind
        )

    def _zones_behind(self, version):
        return tuple(
            monitor.name
            for monitor in self.controller.all_zone_monitors()
            if monitor.acknowledged < version
        )

    def _dry_run(self, change):
        controller = self.controller
        routes = controller.state.routes
        draft = controller.machine.draft_change(change, routes.version + 1)
        changed = Routes()
        changed.apply(routes.full_delta())
        changed.apply(draft.delta())
        rows = []
        for service in changed.services.values():
            if service.keyed:
                moves = controller.planner.planned_moves(service, changed, 0)
                rows += [
                    (m.unit.service, m.unit.label, m.source, m.target, m.cause) for m in moves
                ]
        table = Table(("service", "unit", "from", "to", "cause"), tuple(rows))
        return OperatorResponse(table=table, version=controller.state.config_version)
