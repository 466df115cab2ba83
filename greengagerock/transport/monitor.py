"""Detection of links that have gone silent in one direction."""

from collections import deque

import msgspec

LINK_SILENCE_LIMIT_S = 2.0
# Messages sent within this time share one entry, which bounds what is kept.
SAMPLE_INTERVAL_S = 0.05


class Receipt(msgspec.Struct, frozen=True, array_like=True):
    """Which message a sender sends, and which one it has received last from its peer.

    Attributes:
        life: Number drawn when the sending process started.
        number: Number of this message to this peer in that life.
        peer_life: Life of the peer that it heard last.
        peer_number: Highest number received from that life.
    """

    life: int
    number: int
    peer_life: int = 0
    peer_number: int = 0


class PeerLink:
    """What is known about the link to one peer.

    Attributes:
        sent: Number of the newest message sent.
        unconfirmed: Pairs of number and time of sent messages that the peer has not
            confirmed, oldest first.
        heard_life: Life of the peer that was heard last.
        heard: Highest number received from it.
    """

    __slots__ = ("heard", "heard_life", "sent", "unconfirmed")

    def __init__(self):
        self.sent = 0
        self.unconfirmed = deque()
        self.heard_life = 0
        self.heard = 0


class LinkMonitor:
    """Finds links whose peer takes messages that never arrive.

    A connection can go dead in one direction without an error while a new one would
    work, and messages of the peer may go on arriving over its own connection. So each
    message confirms the newest one that was received from the peer. A link is suspect
    if something was sent over it and not confirmed for a while.

    Args:
        life: Number drawn when this process started, not 0.
        silence_limit_s: That while in seconds.

    Examples:
        >>> monitor = LinkMonitor(life=1)
        >>> receipt = monitor.note_sent("10.0.0.1:1", 0.0)
        >>> monitor.is_suspect("10.0.0.1:1", 2.5)
        True
        >>> monitor.note_received("10.0.0.1:1", Receipt(7, 1, receipt.life, 0))
        >>> monitor.is_suspect("10.0.0.1:1", 2.6)
        True
        >>> monitor.note_received("10.0.0.1:1", Receipt(7, 2, receipt.life, receipt.number))
        >>> monitor.is_suspect("10.0.0.1:1", 2.7)
        False
    """

    __slots__ = ("life", "peers", "silence_limit_s")

    def __init__(self, life, silence_limit_s=LINK_SILENCE_LIMIT_S):
        self.life = life
        self.silence_limit_s = silence_limit_s
        self.peers = {}

    def note_sent(self, address, now_s):
        """Record that a message is sent, and return the ``Receipt`` to send with it."""
        peer = self._peer(address)
        peer.sent += 1
        waiting = peer.unconfirmed
        if not waiting or now_s - waiting[-1][1] >= SAMPLE_INTERVAL_S:
            waiting.append((peer.sent, now_s))
        return Receipt(self.life, peer.sent, peer.heard_life, peer.heard)

    def note_received(self, address, receipt):
        """Record that a message with this ``Receipt`` came from the peer."""
        peer = self._peer(address)
        if receipt.life != peer.heard_life:
            peer.heard_life, peer.heard = receipt.life, 0
        peer.heard = max(peer.heard, receipt.number)
        if receipt.peer_life == self.life:
            while peer.unconfirmed and peer.unconfirmed[0][0] <= receipt.peer_number:
                peer.unconfirmed.popleft()

    def is_suspect(self, address, now_s):
        """Return whether the link should be dialled anew."""
        peer = self.peers.get(address)
        if peer is None or not peer.unconfirmed:
            return False
        return now_s - peer.unconfirmed[0][1] > self.silence_limit_s

    def note_dialled(self, address):
        """Record that the link was dialled anew: its peer gets time to confirm."""
        self._peer(address).unconfirmed.clear()

    def _peer(self, address):
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = PeerLink()
        return peer
