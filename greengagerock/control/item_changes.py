"""Changes of configuration items at the leader, from their arrival to their acknowledgement."""

from greengagerock.control.confirmations import ABANDONED
from greengagerock.control.relay_messages import RelayReply
from greengagerock.core import GreengageError
from greengagerock.items import PatchResult
from greengagerock.items.store import digest_patch, encode_patch, format_digest

# Largest number of routers that a log line names.
MAX_LOGGED_ROUTERS = 8


class ProposedChange:
    """A change in the log that is not committed yet.

    Attributes:
        digest: Digest of its patch.
        names: Names of its items.
        proposed_s: When it was appended to the log, in monotonic seconds.
        requests: Pairs of a token and a reply callback, for each time that it was sent.
    """

    __slots__ = ("digest", "names", "proposed_s", "requests")

    def __init__(self, digest, names, proposed_s):
        self.digest = digest
        self.names = names
        self.proposed_s = proposed_s
        self.requests = []


class ItemChanges:
    """Changes that the leader has received and not yet acknowledged.

    A change that is sent again is not stored again: it shares the entry of the log and the
    deadline of the first one. Operators send large changes again before routers have them.

    Args:
        voter: The local voter.
        store: The ``ItemStore``.
        router_updater: The ``RouterUpdater``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        by_index: ``ProposedChange`` objects by log index.
        indexes: Log indexes of the same by digest.
    """

    __slots__ = (
        "by_index",
        "indexes",
        "outbox",
        "router_updater",
        "store",
        "timers",
        "voter",
    )

    def __init__(self, voter, store, router_updater, timers, outbox):
        self.voter = voter
        self.store = store
        self.router_updater = router_updater
        self.timers = timers
        self.outbox = outbox
        self.by_index = {}
        self.indexes = {}

    def process(self, token, patch, reply):
        """Process a patch without evacuation orders.

        Args:
            token: Token of the request.
            patch: The ``Patch``.
            reply: Called with a ``RelayReply``, immediately or later.
        """
        digest = digest_patch(patch)
        if digest in self.store.accepted:
            revision = self.router_updater.revision_of(patch.item_names())
            self.outbox.log("change-resent", change=format_digest(digest), revision=revision)
            self._await_routers(digest, revision, [(token, reply)])
            return
        index = self.indexes.get(digest)
        if index is None:
            index = self._propose(digest, patch)
        if index is None:
            reply(RelayReply(token))
        else:
            self.by_index[index].requests.append((token, reply))

    def _propose(self, digest, patch):
        """Append a patch to the log and return its index, or ``None`` if that is impossible."""
        try:
            index = self.voter.propose(encode_patch(patch))
        except GreengageError as error:
            self.outbox.log(
                "not-proposed",
                change=format_digest(digest),
                code=error.code,
                detail=error.detail,
            )
            return None
        self.outbox.log("change-proposed", change=format_digest(digest), index=index)
        self.by_index[index] = ProposedChange(digest, patch.item_names(), self.timers.now_s)
        self.indexes[digest] = index
        return index

    def on_committed(self, index, result):
        """Process the ``PatchResult`` of the committed entry at ``index``.

        Returns:
            Whether this leader proposed the entry for a request.
        """
        proposed = self.by_index.pop(index, None)
        if proposed is None:
            return False
        del self.indexes[proposed.digest]
        self.outbox.log(
            "change-committed",
            change=format_digest(proposed.digest),
            index=index,
            code=result.code,
            after_ms=self._age_ms(proposed.proposed_s),
            stored_by=",".join(self.voter.hosts_storing(index)),
        )
        if result.code:
            for token, reply in proposed.requests:
                reply(RelayReply(token, result=result))
        else:
            revision = self.router_updater.revision_of(proposed.names)
            self._await_routers(proposed.digest, revision, proposed.requests, result)
        return True

    def abandon(self):
        """Reply without a value to all requests whose entries are not committed."""
        by_index, self.by_index = self.by_index, {}
        self.indexes = {}
        for proposed in by_index.values():
            self.outbox.log("change-abandoned", change=format_digest(proposed.digest))
            for token, reply in proposed.requests:
                reply(RelayReply(token))

    def _await_routers(self, digest, revision, requests, result=None):
        """Reply to requests once routers have the items of a change."""
        result = result or PatchResult()
        began_s = self.timers.now_s

        def end_wait(outcome):
            behind = self.router_updater.routers_behind(revision)
            self.outbox.log(
                "change-abandoned" if outcome == ABANDONED else "change-acknowledged",
                change=format_digest(digest),
                revision=revision,
                reason=outcome,
                after_ms=self._age_ms(began_s),
                routers=len(self.router_updater.subscribers),
                behind=",".join(behind[:MAX_LOGGED_ROUTERS]),
                behind_count=len(behind),
            )
            for token, reply in requests:
                reply(RelayReply(token, result=None if outcome == ABANDONED else result))

        self.router_updater.call_when_confirmed(revision, end_wait)

    def _age_ms(self, since_s):
        return round(1000 * (self.timers.now_s - since_s))
