"""How a restarted recorder recovers its memory from the others."""

from greengagerock.routing.once import REMEMBER_S, MemoryRequest

ASK_INTERVAL_S = 0.5


class MemoryRecall:
    """Asks the other hosts for the claims that this host should know.

    Each claim was recorded by a majority of its recorders, so at least one other
    host knows it. Once every other host has answered, nothing is missing, and this
    recorder need not wait until all earlier claims have expired.

    Args:
        host: Name of this host.
        history: This host's routes, which name the system's hosts.
        memory: The ``OnceMemory``.
        timers: The timer service.
        outbox: Receives effects.
    """

    def __init__(self, host, history, memory, timers, outbox):
        self.host = host
        self.history = history
        self.memory = memory
        self.timers = timers
        self.outbox = outbox
        self.answered = set()
        self.give_up_s = timers.now_s + REMEMBER_S
        self.done = False
        self._begun = False

    def on_routes(self):
        """Begin once the routes name this host."""
        own = self.history.routes.hosts.get(self.host)
        if own is None or self._begun:
            return
        self._begun = True
        if not own.restarts:
            # A host that was never here before has nothing to recall.
            self._finish()
        else:
            self._ask()

    def on_share(self, share):
        """Take in another host's claims."""
        if self.done:
            return
        self.memory.take_share(share.claims, self.timers.now_s)
        self.answered.add(share.sender)
        others = self._others()
        if others and self.answered >= set(others):
            self._finish()

    def _others(self):
        return {
            name: host.address
            for name, host in self.history.routes.hosts.items()
            if name != self.host
        }

    def _ask(self):
        if self.done or self.timers.now_s >= self.give_up_s:
            return
        for name, address in self._others().items():
            if name not in self.answered:
                self.outbox.send(address, MemoryRequest(self.host))
        self.timers.subscribe(ASK_INTERVAL_S, self._ask)

    def _finish(self):
        self.done = True
        self.memory.trust_from(self.timers.now_s)
