"""Recovery of a restarted recorder's claims from the other hosts."""

from greengagerock.routing.key_claims import CLAIM_LIFETIME_S, ClaimsRequest

# Time between two requests to hosts that have not replied yet.
REQUEST_INTERVAL_S = 0.5


class ClaimRecovery:
    """Requests from the other hosts the claims of keys that this host is a recorder of.

    Each claim was recorded by a majority of its recorders, so at least one other host has it.
    Once every other host has replied, all claims are recovered, and this recorder need not
    wait until all earlier claims have expired.

    Args:
        host: Name of this host.
        history: This host's routes, which list the system's hosts.
        claim_store: The ``ClaimStore``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        replied_hosts: Names of the hosts that have replied.
        deadline_s: When all earlier claims have expired, so that no more requests are sent.
        is_done: Whether all claims are recovered, or none had to be; it stays unset if the
            deadline passes first.
    """

    def __init__(self, host, history, claim_store, timers, outbox):
        self.host = host
        self.history = history
        self.claim_store = claim_store
        self.timers = timers
        self.outbox = outbox
        self.replied_hosts = set()
        self.deadline_s = timers.now_s + CLAIM_LIFETIME_S
        self.is_done = False
        self._is_started = False

    def on_routes(self):
        """Start the recovery once the routes list this host."""
        own = self.history.routes.hosts.get(self.host)
        if own is None or self._is_started:
            return
        self._is_started = True
        if not own.restarts:
            # A host that starts for the first time has no claims to recover.
            self._finish()
        else:
            self._request_claims()

    def on_claims_reply(self, reply):
        """Process another host's claims."""
        if self.is_done:
            return
        self.claim_store.add_claims(reply.claims, self.timers.now_s)
        self.replied_hosts.add(reply.sender)
        others = self._other_addresses()
        if others and self.replied_hosts >= set(others):
            self._finish()

    def _other_addresses(self):
        return {
            name: host.address
            for name, host in self.history.routes.hosts.items()
            if name != self.host
        }

    def _request_claims(self):
        if self.is_done or self.timers.now_s >= self.deadline_s:
            return
        for name, address in self._other_addresses().items():
            if name not in self.replied_hosts:
                self.outbox.send(address, ClaimsRequest(self.host))
        self.timers.subscribe(REQUEST_INTERVAL_S, self._request_claims)

    def _finish(self):
        self.is_done = True
        self.claim_store.mark_complete(self.timers.now_s)
