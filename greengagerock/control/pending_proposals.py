"""Replies to requests that wait until their entries of the log are committed."""

from greengagerock.control.relay_messages import RelayReply
from greengagerock.core import GreengageError


class PendingProposals:
    """Appends entries to the log and keeps the replies to send on their commit.

    Args:
        voter: The local voter.
        outbox: Receives effects.

    Attributes:
        by_index: Reply callback and prepared ``RelayReply`` by log index of the entry.
    """

    __slots__ = ("by_index", "outbox", "voter")

    def __init__(self, voter, outbox):
        self.voter = voter
        self.outbox = outbox
        self.by_index = {}

    def propose(self, payload, reply, prepared):
        """Append to the log and keep ``prepared``, the ``RelayReply`` to send on commit."""
        try:
            index = self.voter.propose(payload)
        except GreengageError as error:
            self.outbox.log("not-proposed", code=error.code, detail=error.detail)
            reply(RelayReply(prepared.token))
            return
        self.by_index[index] = (reply, prepared)

    def pop(self, index):
        """Remove and return the reply and the prepared message, or ``None``, of an entry."""
        return self.by_index.pop(index, None)

    def abandon(self):
        """Reply without a value to all requests that wait."""
        by_index, self.by_index = self.by_index, {}
        for reply, prepared in by_index.values():
            reply(RelayReply(prepared.token))
