"""The operators' desk: queries and changes at the leader."""

from greengagerock.control.commands import OperatorChange, ReplaceVoter
from greengagerock.control.machine import fingerprint_change
from greengagerock.control.operators import (
    OperatorAnswer,
    OperatorRelayAnswer,
    refuse,
)
from greengagerock.control.queries import QueryContext, Table, answer_query
from greengagerock.core import GreengageError, StatementError
from greengagerock.language import parse_statement
from greengagerock.model import Routes
from greengagerock.model.timing import OPERATOR_RELAY_TIMEOUT_S

MAX_WAITING = 256


class WaitingChange:
    """A change whose author waits for the answer.

    Attributes:
        address: Link address to answer to.
        token: The asking host's token.
        request_id: The change's request id.
        fingerprint: Digest of its content.
        deadline_s: When to answer at the latest.
        version: Its version once applied, or 0.
    """

    __slots__ = ("address", "deadline_s", "fingerprint", "request_id", "token", "version")

    def __init__(self, address, token, request_id, fingerprint, deadline_s):
        self.address = address
        self.token = token
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.deadline_s = deadline_s
        self.version = 0


class OperatorDesk:
    """Answers operators' requests while its controller leads.

    Args:
        controller: The controller that it belongs to.
    """

    def __init__(self, controller):
        self.controller = controller
        self.waiting = []

    def on_relay(self, relay, address):
        """Take in a request; ``address`` is where its answer goes."""
        try:
            if not self.controller.leads:
                raise GreengageError("no-leader", "this voter does not lead")
            statement = parse_statement(relay.request.text)
            if isinstance(statement, tuple):
                self._on_change(relay, statement, address)
            else:
                self._reply(address, relay.token, self._answer_query(statement))
        except StatementError as error:
            self._reply(address, relay.token, refuse(error.code, error.detail, error.column))
        except GreengageError as error:
            self._reply(address, relay.token, refuse(error.code, error.detail))

    def abandon(self):
        """Tell every waiting author that this voter no longer leads."""
        for item in self.waiting:
            answer = refuse("no-leader", "the leader changed; send the same request id again")
            self._reply(item.address, item.token, answer)
        self.waiting = []

    def on_applied(self, command, index):
        """Continue with changes that were waiting for their commit."""
        if isinstance(command, OperatorChange):
            self.check_waiting()

    def check_waiting(self):
        """Answer all changes that are in force everywhere or have waited long enough."""
        still_waiting = []
        for item in self.waiting:
            answer = self._answer_change(item)
            if answer is None:
                still_waiting.append(item)
            else:
                self._reply(item.address, item.token, answer)
        self.waiting = still_waiting

    def _reply(self, address, token, answer):
        self.controller.outbox.send(address, OperatorRelayAnswer(token, answer))

    # --- Queries -------------------------------------------------------------------

    def _answer_query(self, query):
        controller = self.controller
        context = QueryContext(
            controller.state,
            controller.watches,
            controller.voter.membership,
            controller.host,
            controller.timeline.wall_clock_us(),
        )
        return OperatorAnswer(
            table=answer_query(query, context), version=controller.state.config_version
        )

    # --- Changes -------------------------------------------------------------------

    def _on_change(self, relay, actions, address):
        request = relay.request
        if not request.request_id and not request.dry_run:
            raise GreengageError("invalid-value", "a change needs a request id")
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
        """Refuse a voter change that the present voters contradict."""
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
            raise GreengageError("already-exists", f"{action.new!r} is a voter")

    def _queue_change(self, change, relay, address):
        if len(self.waiting) >= MAX_WAITING:
            raise GreengageError("queue-full", "too many changes are waiting")
        fingerprint = fingerprint_change(change)
        known = self.controller.state.results.get(change.request_id)
        if known is not None and known.fingerprint != fingerprint:
            raise GreengageError(
                "request-id-reused", f"request id {change.request_id!r} was another change"
            )
        wait_s = min(relay.request.wait_s, OPERATOR_RELAY_TIMEOUT_S)
        deadline_s = self.controller.timers.now_s + wait_s
        item = WaitingChange(address, relay.token, change.request_id, fingerprint, deadline_s)
        resent = any((w.address, w.token) == (address, relay.token) for w in self.waiting)
        if resent:
            return
        self.waiting.append(item)
        if known is None:
            # A second proposal of the same id is harmless: the state machine
            # applies only the first.
            self.controller.propose(change)
        else:
            self.check_waiting()

    def _answer_change(self, item):
        result = self.controller.state.results.get(item.request_id)
        expired = self.controller.timers.now_s >= item.deadline_s
        if result is None:
            if not expired:
                return None
            detail = "not yet stored on a quorum; send the same request id again"
            return refuse("no-leader", detail)
        if result.fingerprint != item.fingerprint:
            return refuse("request-id-reused", "the request id was used for another change")
        if result.code:
            return refuse(result.code, result.detail)
        waiting = self._zones_behind(result.version)
        if waiting and not expired:
            return None
        return OperatorAnswer(
            version=result.version, accepted=True, in_force=not waiting, waiting=waiting
        )

    def _zones_behind(self, version):
        return tuple(
            watch.name for watch in self.controller.all_watches() if watch.acknowledged < version
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
        return OperatorAnswer(table=table, version=controller.state.config_version)
