"""What the leading controller decides: grants, patches, and what routers are told."""

from greengagerock.control.router_desk import RouterDesk
from greengagerock.control.site_requests import ItemsRelay, PatchRelay, RelayAnswer, ReportRelay
from greengagerock.core import GreengageError
from greengagerock.holdings import Directory, EndpointLeaving, Ledger, ReportAnswer
from greengagerock.holdings.ledger import lender_hold_s
from greengagerock.items.store import Leaver, encode_leaver, encode_patch
from greengagerock.routing.suspects import BAN_S, CrashBook

# An endpoint that leaves gets its last requests so long after the answer to it.
LAST_REQUESTS_S = 1.0
# Fences of one term lie below those of the next; a term can grant so often.
FENCES_PER_TERM = 1 << 16


class Leadership:
    """The leader's state, which lasts for one term.

    It acts only while this voter leads, has its lease, and has applied everything of
    earlier terms.

    Args:
        config: The ``SiteConfig``.
        voter: The local voter.
        store: The ``ItemStore``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        routers: The ``RouterDesk``.
    """

    def __init__(self, config, voter, store, timers, outbox):
        self.config = config
        self.voter = voter
        self.store = store
        self.timers = timers
        self.outbox = outbox
        self.routers = RouterDesk(config.address, voter, store, timers, outbox, self.is_active)
        self.crash_book = CrashBook()
        self.pending = {}
        store.on_verdict = self._on_verdict
        store.on_leaver = self._on_leaver
        self._reset()

    def _reset(self):
        self.directory = Directory()
        self.ledgers = {}
        self.routers.reset()
        self.settled_s = None
        self.fence_count = 0
        self.withdrawn = set()
        self.missing = {}

    def begin(self):
        """Start a term as the leader."""
        self._reset()

    def end(self):
        """Stop leading; whoever waits is told that nobody could answer."""
        pending, self.pending = self.pending, {}
        for reply, waiting in pending.values():
            reply(RelayAnswer(waiting.token))
        self._reset()

    def is_active(self):
        """Return whether this host may decide at this moment."""
        return self.voter.ready_to_serve() and self.voter.has_lease()

    # --- Requests ------------------------------------------------------------------

    def serve(self, request, reply):
        """Answer a relayed request.

        Args:
            request: A ``ReportRelay``, ``PatchRelay`` or ``ItemsRelay``.
            reply: Called with a ``RelayAnswer``, at once or later.
        """
        if not self.is_active():
            reply(RelayAnswer(request.token))
            return
        match request:
            case ReportRelay(token, EndpointLeaving() as leaving):
                self._on_leaving(token, leaving, reply)
            case ReportRelay(token, report):
                answer = self._on_report(report)
                if report.draining and answer.code == "":
                    leaver = Leaver(report.endpoint, report.born_ms)
                    self._acknowledge_leave(token, leaver, answer, reply)
                else:
                    reply(RelayAnswer(token, report=answer))
            case PatchRelay(token, patch):
                self._on_patch(token, patch, reply)
            case ItemsRelay(token):
                reply(RelayAnswer(token, items=self.store.items))

    def _on_patch(self, token, patch, reply):
        self._propose(encode_patch(patch), reply, RelayAnswer(token))

    def _propose(self, payload, reply, waiting):
        """Append to the log; ``waiting`` is the answer as far as it is known."""
        try:
            index = self.voter.propose(payload)
        except GreengageError as error:
            self.outbox.log("not-proposed", code=error.code, detail=error.detail)
            reply(RelayAnswer(waiting.token))
            return
        self.pending[index] = (reply, waiting)

    def _acknowledge_leave(self, token, leaver, answer, reply):
        """Answer once a majority knows of the leave, which binds every later leader."""
        if self.store.leavers.get(leaver.endpoint) == leaver.born_ms:
            reply(RelayAnswer(token, report=answer))
        else:
            self._propose(encode_leaver(leaver), reply, RelayAnswer(token, report=answer))

    def _on_leaver(self, index, leaver):
        waiting = self.pending.pop(index, None)
        if waiting is not None:
            reply, answer = waiting
            reply(answer)

    def _on_verdict(self, index, verdict):
        if verdict.changed:
            self.routers.note_items(index, verdict.changed)
        self.outbox.log(
            "patch-applied",
            index=index,
            code=verdict.code,
            detail=verdict.detail,
            changed=",".join(verdict.changed[:8]),
            changed_count=len(verdict.changed),
        )
        waiting = self.pending.pop(index, None)
        if waiting is not None:
            reply, answer = waiting
            answer = RelayAnswer(answer.token, verdict=verdict)
            if verdict.code:
                reply(answer)
            else:
                self.routers.acknowledge(lambda: reply(answer))

    def _on_report(self, report):
        service = self.store.items.services.get(report.service)
        if service is None:
            code = "unknown-service" if self.store.items.services else "not-ready"
            self.outbox.log(
                "report-refused", code=code, endpoint=report.endpoint, service=report.service
            )
            return ReportAnswer(code)
        now_s = self.timers.now_s
        admission = self.directory.admit(report, now_s)
        life = admission.life
        for ended in admission.ended:
            self._end(ended, "a later life has its name or address")
        if life is None:
            self.outbox.log(
                "report-refused",
                code="stale-report",
                endpoint=report.endpoint,
                born_ms=report.born_ms,
            )
            return ReportAnswer("stale-report")
        if not life.is_leaving and self.store.leavers.get(life.name) == report.born_ms:
            # An earlier leader has acknowledged that it leaves.
            life.leaving_s = now_s
        if admission.is_new or admission.is_changed:
            self.routers.note_endpoint(life)
            self.outbox.log(
                "endpoint-joined" if admission.is_new else "endpoint-changed",
                endpoint=life.name,
                service=report.service,
                address=report.address,
                zone=report.zone,
                draining=life.is_leaving,
                sequence=report.sequence,
            )
        if admission.is_late or service.keyed is None:
            return ReportAnswer()
        ledger = self._ledger(report.service)
        lives = self.directory.of_service(report.service)
        grants = ledger.renew(life, lives, now_s, self.config.hold_s)
        return ReportAnswer("", grants, self.config.hold_s)

    def _on_leaving(self, token, leaving, reply):
        known = self.directory.lives.get(leaving.endpoint)
        life = self.directory.leave(leaving, self.timers.now_s)
        if life is not None:
            self.routers.note_endpoint(life)
            self.outbox.log("endpoint-leaving", endpoint=life.name, born_ms=leaving.born_ms)
        born_ms = leaving.born_ms or (known.report.born_ms if known else 0)
        leaver = Leaver(leaving.endpoint, born_ms)
        self._acknowledge_leave(token, leaver, ReportAnswer(), reply)

    def on_crash(self, report):
        """Take in a router's report that a request broke off an endpoint."""
        now_s = self.timers.now_s
        if self.is_active() and self.crash_book.take(report, now_s):
            if report.fingerprint not in self.routers.bans:
                self.outbox.log(
                    "request-banned", fingerprint=report.fingerprint, request_id=report.request
                )
            self.routers.bans[report.fingerprint] = now_s + BAN_S
            self.routers.push_soon()

    # --- Routers -------------------------------------------------------------------

    def on_poll(self, poll, address):
        """Take in what a router has seen, and answer it."""
        for name, (count, mean_s) in poll.answers.items():
            life = self.directory.lives.get(name)
            if life is None:
                continue
            service = life.report.service
            self.routers.times.note(service, name, count, mean_s, self.timers.now_s)
            if service in self.ledgers:
                self.ledgers[service].speeds.note(name, count, mean_s)
        for service, requests in poll.demand.items():
            if service in self.ledgers:
                self.ledgers[service].hot.loads.note(requests, self.timers.now_s)
        self.routers.on_poll(poll, address)

    # --- Time ----------------------------------------------------------------------

    def tick(self):
        """Do what is due: expiry of holds, plans, endpoints that are gone."""
        now_s = self.timers.now_s
        self.routers.advance()
        if self.settled_s is None:
            self._take_over(now_s)
        if self.routers.live.settled_revision is None and now_s >= self.settled_s:
            self.routers.live.settle()
            self.outbox.log("leader-settled", endpoints=len(self.directory.lives))
            self.routers.push_soon()
        for life in self.directory.forgotten(now_s):
            self._end(life, "silent")
        for life in self.directory.lives.values():
            if life.is_leaving and now_s - life.leaving_s > LAST_REQUESTS_S:
                self._withdraw(life)
        for service, ledger in self.ledgers.items():
            lives = self.directory.of_service(service)
            ledger.advance(lives, now_s)
            ledger.plan(lives, now_s)
            self._relieve(service, ledger, lives, now_s)
            self._note_missing(service, len(ledger.pool.free) + len(ledger.unknown))
        for fingerprint in [f for f, until_s in self.routers.bans.items() if until_s < now_s]:
            del self.routers.bans[fingerprint]
            self.crash_book.forget(fingerprint)

    def _relieve(self, service, ledger, lives, now_s):
        plans = ledger.relieve(lives, now_s)
        for donor, pieces in plans.items():
            self.outbox.log(
                "hot-keys-spread",
                service=service,
                endpoint=donor.name,
                units=sum(len(piece.units) for piece in pieces),
                takers=",".join(sorted({piece.taker.name for piece in pieces})),
            )

    def _note_missing(self, service, missing):
        """Say when units of a service come to be without a holder, and when all have one."""
        before = self.missing.get(service, 0)
        self.missing[service] = missing
        if bool(before) != bool(missing):
            event = "keys-without-holder" if missing else "keys-all-held"
            self.outbox.log(event, service=service, units=missing or before)

    def _take_over(self, now_s):
        """Find out how long others may still hold keys by an earlier leader's grant."""
        first = self.voter.log.entry_at(2)
        is_first_leader = first is not None and first.term == self.voter.term
        wait_s = 0.0 if is_first_leader else lender_hold_s(self.config.hold_s)
        self.settled_s = now_s + wait_s
        for name in self.store.leavers:
            if name not in self.directory.lives:
                self.routers.live.remove_endpoint(name)
        self.outbox.log("leader-begins", term=self.voter.term, waits_s=round(wait_s, 3))

    def _ledger(self, service):
        ledger = self.ledgers.get(service)
        if ledger is None:
            if self.settled_s is None:
                self._take_over(self.timers.now_s)
            ledger = self.ledgers[service] = Ledger(
                service,
                self._next_fence,
                lambda unit, endpoint: self.routers.note_owner(service, unit, endpoint),
                self.settled_s,
                self.config.report_interval_s,
            )
        return ledger

    def _next_fence(self, highest):
        self.fence_count += 1
        return max(highest + 1, self.voter.term * FENCES_PER_TERM + self.fence_count)

    def _withdraw(self, life):
        if life.name in self.withdrawn:
            return
        self.withdrawn.add(life.name)
        ledger = self.ledgers.get(life.report.service)
        if ledger is not None:
            ledger.withdraw(life)

    def _end(self, life, reason):
        ledger = self.ledgers.get(life.report.service)
        if ledger is not None:
            ledger.end(life)
        self.withdrawn.discard(life.name)
        if self.directory.lives.get(life.name) is None:
            self.routers.live.remove_endpoint(life.name)
        self.routers.push_soon()
        self.outbox.log("endpoint-ended", endpoint=life.name, detail=reason)
