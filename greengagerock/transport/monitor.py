"""Detection of links that fail in one direction without an error."""

from collections import deque

import msgspec

LINK_SILENCE_LIMIT_S = 2.0
# Messages sent within this interval share one entry, which bounds the memory used per peer.
SAMPLE_INTERVAL_S = 0.05


class MessageSequence(msgspec.Struct, frozen=True, array_like=True):
    """Sequence number of a message, and acknowledgement of messages from the peer.

    Attributes:
        instance: Random number that the sending process generated at its start.
        number: Sequence number of this message among those that the sending process has
            sent to this peer.
        peer_instance: Instance of the peer from which the sender received its last message.
        peer_number: Highest sequence number received from that instance.
    """

    instance: int
    number: int
    peer_instance: int = 0
    peer_number: int = 0


class PeerLink:
    """State of the link to one peer.

    Attributes:
        last_sent: Sequence number of the newest message sent.
        unacknowledged: Pairs of sequence number and send time of messages that the peer has not
            acknowledged, oldest first, at most one pair per ``SAMPLE_INTERVAL_S``.
        received_instance: Instance of the peer that sent the last received message, or 0.
        last_received: Highest sequence number received from that instance.
    """

    __slots__ = ("last_received", "received_instance", "last_sent", "unacknowledged")

    def __init__(self):
        self.last_sent = 0
        self.unacknowledged = deque()
        self.received_instance = 0
        self.last_received = 0


class LinkMonitor:
    """Detects links over which messages are sent but do not reach the peer.

    A connection can fail in one direction without an error although a new connection would
    work. Messages from the peer may still arrive, because they use the peer's own connection.
    Each message therefore acknowledges the newest message received from the peer. A link
    is suspect if a message sent over it was not acknowledged within the silence limit.

    Args:
        instance: Random number that this process generated at its start, not 0.
        silence_limit_s: Time without an acknowledgement after which a link is suspect, in
            seconds.

    Examples:
        >>> monitor = LinkMonitor(instance=1)
        >>> sequence = monitor.record_sent("10.0.0.1:1", 0.0)
        >>> monitor.is_suspect("10.0.0.1:1", 2.5)
        True
        >>> monitor.record_received("10.0.0.1:1", MessageSequence(7, 1, sequence.instance, 0))
        >>> monitor.is_suspect("10.0.0.1:1", 2.6)
        True
        >>> reply = MessageSequence(7, 2, sequence.instance, sequence.number)
        >>> monitor.record_received("10.0.0.1:1", reply)
        >>> monitor.is_suspect("10.0.0.1:1", 2.7)
        False
    """

    __slots__ = ("instance", "peers", "silence_limit_s")

    def __init__(self, instance, silence_limit_s=LINK_SILENCE_LIMIT_S):
        self.instance = instance
        self.silence_limit_s = silence_limit_s
        self.peers = {}

    def record_sent(self, address, now_s):
        """Record that a message is sent, and return the ``MessageSequence`` to include in it."""
        peer = self._peer(address)
        peer.last_sent += 1
        unacknowledged = peer.unacknowledged
        if not unacknowledged or now_s - unacknowledged[-1][1] >= SAMPLE_INTERVAL_S:
            unacknowledged.append((peer.last_sent, now_s))
        return MessageSequence(
            self.instance, peer.last_sent, peer.received_instance, peer.last_received
        )

    def record_received(self, address, sequence):
        """Record that a message with this ``MessageSequence`` was received from the peer."""
        peer = self._peer(address)
        if sequence.instance != peer.received_instance:
            peer.received_instance, peer.last_received = sequence.instance, 0
        peer.last_received = max(peer.last_received, sequence.number)
        if sequence.peer_instance == self.instance:
            while peer.unacknowledged and peer.unacknowledged[0][0] <= sequence.peer_number:
                peer.unacknowledged.popleft()

    def is_suspect(self, address, now_s):
        """Return whether the link should be dialled again."""
        peer = self.peers.get(address)
        if peer is None or not peer.unacknowledged:
            return False
        return now_s - peer.unacknowledged[0][1] > self.silence_limit_s

    def record_dialled(self, address):
        """Record that the link was dialled again, which restarts the silence limit."""
        self._peer(address).unacknowledged.clear()

    def _peer(self, address):
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = PeerLink()
        return peer
