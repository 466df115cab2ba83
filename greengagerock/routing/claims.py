"""Claims of idempotency keys by a router."""

from greengagerock.routing.once import (
    KeyClaim,
    KeyRelease,
    choose_recorders,
)

CLAIM_RESEND_S = 0.15
CLAIM_LIMIT_S = 0.6

CLAIMED = "claimed"
DUPLICATE = "duplicate"
UNSURE = "unsure"


class Claim:
    """A claim that waits for its recorders.

    Attributes:
        message: The ``KeyClaim``.
        recorders: Link addresses of the recorders by host name.
        verdicts: Verdicts received, by host name.
        deadline_s: When to give up.
        on_result: Called with the result.
    """

    __slots__ = ("deadline_s", "message", "on_result", "recorders", "verdicts")

    def __init__(self, message, recorders, deadline_s, on_result):
        self.message = message
        self.recorders = recorders
        self.verdicts = {}
        self.deadline_s = deadline_s
        self.on_result = on_result

    def result(self):
        """Return ``claimed``, ``duplicate``, ``unsure``, or ``None`` while it is open.

        A majority of recorders must say ``first``. Two claims of the same key
        cannot both have one, whatever order the recorders saw them in.
        """
        needed = len(self.recorders) // 2 + 1
        counts = list(self.verdicts.values())
        if counts.count("first") >= needed:
            return CLAIMED
        still_possible = len(self.recorders) - len(counts) + counts.count("first")
        if still_possible >= needed:
            return None
        return DUPLICATE if "seen" in counts else UNSURE


class ClaimDesk:
    """Claims keys at their recorders.

    Args:
        history: This host's routes, which name the system's hosts.
        timers: The timer service.
        outbox: Receives effects.
    """

    def __init__(self, history, timers, outbox):
        self.history = history
        self.timers = timers
        self.outbox = outbox
        self.open = {}

    def begin(self, token, service, key, request_id, on_result):
        """Claim a key; ``on_result`` is called with the result, perhaps at once."""
        hosts = choose_recorders(self.history.routes.hosts.values(), service, key)
        recorders = {host.name: host.address for host in hosts}
        message = KeyClaim(token, service, key, request_id)
        claim = Claim(message, recorders, self.timers.now_s + CLAIM_LIMIT_S, on_result)
        self.open[token] = claim
        self._send(claim)

    def on_verdict(self, verdict):
        """Take in a recorder's answer."""
        claim = self.open.get(verdict.token)
        if claim is None or verdict.recorder not in claim.recorders:
            return
        claim.verdicts[verdict.recorder] = verdict.verdict
        result = claim.result()
        if result is not None:
            self._finish(claim, result)

    def release(self, service, key, request_id):
        """Tell the recorders that a claimed request was certainly not run."""
        for host in choose_recorders(self.history.routes.hosts.values(), service, key):
            self.outbox.send(host.address, KeyRelease(service, key, request_id))

    def _send(self, claim):
        if claim.message.token not in self.open:
            return
        if self.timers.now_s >= claim.deadline_s or not claim.recorders:
            seen = "seen" in claim.verdicts.values()
            self._finish(claim, DUPLICATE if seen else UNSURE)
            return
        for name, address in claim.recorders.items():
            if name not in claim.verdicts:
                self.outbox.send(address, claim.message)
        self.timers.subscribe(CLAIM_RESEND_S, lambda: self._send(claim))

    def _finish(self, claim, result):
        del self.open[claim.message.token]
        claim.on_result(result)
