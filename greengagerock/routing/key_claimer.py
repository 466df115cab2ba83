"""Claims of idempotency keys, on the side of the router."""

from greengagerock.routing.key_claims import (
    KeyClaim,
    KeyRelease,
    choose_recorders,
)

# Time after which a claim is sent again to recorders that have not replied.
CLAIM_RESEND_S = 0.15
# Time after which a claim without a majority fails.
CLAIM_TIMEOUT_S = 0.6

CLAIMED = "claimed"
DUPLICATE = "duplicate"
UNSURE = "unsure"


class PendingClaim:
    """A claim that waits for replies of its recorders.

    Attributes:
        message: The ``KeyClaim``.
        recorders: Link addresses of the recorders by host name.
        results: Results received, by host name.
        deadline_s: When the claim fails if it is still undecided.
        on_result: Called with the result.
    """

    __slots__ = ("deadline_s", "message", "on_result", "recorders", "results")

    def __init__(self, message, recorders, deadline_s, on_result):
        self.message = message
        self.recorders = recorders
        self.results = {}
        self.deadline_s = deadline_s
        self.on_result = on_result

    def result(self):
        """Return ``claimed``, ``duplicate``, ``unsure``, or ``None`` while it is undecided.

        A claim succeeds if a majority of recorders replies ``first``. Two claims of the same key
        cannot both get a majority, in whatever order the recorders receive them.
        """
        needed = len(self.recorders) // 2 + 1
        results = list(self.results.values())
        if results.count("first") >= needed:
            return CLAIMED
        still_possible = len(self.recorders) - len(results) + results.count("first")
        if still_possible >= needed:
            return None
        return DUPLICATE if "seen" in results else UNSURE


class KeyClaimer:
    """Claims idempotency keys at their recorders.

    Args:
        history: This host's routes, which list the system's hosts.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        pending: ``PendingClaim`` objects by token.
    """

    def __init__(self, history, timers, outbox):
        self.history = history
        self.timers = timers
        self.outbox = outbox
        self.pending = {}

    def begin(self, token, service, key, request_id, on_result):
        """Claim a key; ``on_result`` is called with the result, at once or later."""
        hosts = choose_recorders(self.history.routes.hosts.values(), service, key)
        recorders = {host.name: host.address for host in hosts}
        message = KeyClaim(token, service, key, request_id)
        claim = PendingClaim(message, recorders, self.timers.now_s + CLAIM_TIMEOUT_S, on_result)
        self.pending[token] = claim
        self._send(claim)

    def on_result(self, reply):
        """Process a recorder's reply."""
        claim = self.pending.get(reply.token)
        if claim is None or reply.recorder not in claim.recorders:
            return
        claim.results[reply.recorder] = reply.result
        result = claim.result()
        if result is not None:
            self._finish(claim, result)

    def release(self, service, key, request_id):
        """Notify the recorders that a claimed request was certainly not run."""
        for host in choose_recorders(self.history.routes.hosts.values(), service, key):
            self.outbox.send(host.address, KeyRelease(service, key, request_id))

    def _send(self, claim):
        if claim.message.token not in self.pending:
            return
        if self.timers.now_s >= claim.deadline_s or not claim.recorders:
            is_seen = "seen" in claim.results.values()
            self._finish(claim, DUPLICATE if is_seen else UNSURE)
            return
        for name, address in claim.recorders.items():
            if name not in claim.results:
                self.outbox.send(address, claim.message)
        self.timers.subscribe(CLAIM_RESEND_S, lambda: self._send(claim))

    def _finish(self, claim, result):
        del self.pending[claim.message.token]
        claim.on_result(result)
