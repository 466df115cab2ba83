"""Point-to-point links between the system's processes."""

import secrets

import pynng

from greengagerock.core import GreengageError
from greengagerock.transport.codec import Envelope, decode_envelope, encode_envelope
from greengagerock.transport.monitor import LINK_SILENCE_LIMIT_S, LinkMonitor

SEND_BUFFER_MESSAGES = 128
RECEIVE_BUFFER_MESSAGES = 1024
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
MAX_RECEIVE_BATCH = 64


class LinkStats:
    """Counters of the links, exported as metrics.

    Attributes:
        sent_messages: Messages passed to a link.
        sent_bytes: Size of the sent messages in bytes.
        received_messages: Messages received.
        received_bytes: Size of the received messages in bytes.
        dropped: Messages dropped because the link was full or not connected.
        redialled: Links that were dialled again because sent messages were not acknowledged.
        undecodable: Received messages that could not be decoded.
        unencodable: Messages that could not be encoded, and were not sent.
        sent_bytes_by_kind: Size of the sent messages in bytes, by tag of the message.
    """

    COUNTERS = (
        "dropped",
        "received_bytes",
        "received_messages",
        "redialled",
        "sent_bytes",
        "sent_messages",
        "undecodable",
        "unencodable",
    )
    __slots__ = (*COUNTERS, "sent_bytes_by_kind")

    def __init__(self):
        for name in self.COUNTERS:
            setattr(self, name, 0)
        self.sent_bytes_by_kind = {}

    def count_sent(self, message, size):
        """Count a message passed to a link."""
        self.sent_messages += 1
        self.sent_bytes += size
        kind = message.__struct_config__.tag
        self.sent_bytes_by_kind[kind] = self.sent_bytes_by_kind.get(kind, 0) + size


class Links:
    """All links of one process, used from the loop thread only.

    Each process listens on one socket and dials one socket for each peer that it sends to.
    No call blocks: a message that a link cannot accept is dropped. All protocols between the
    processes tolerate lost messages.

    Args:
        host: Name of this host.
        address: Link address of this host.
        silence_limit_s: Time without an acknowledgement of a sent message after which the
            link is dialled again, in seconds.
        listen: Address to listen on if peers reach ``address`` through a relay, else empty.

    Attributes:
        sockets_by_address: Sending sockets by link address of the peer.

    Raises:
        GreengageError: ``link-failed`` if the process cannot listen on the address.
    """

    def __init__(self, host, address, silence_limit_s=LINK_SILENCE_LIMIT_S, listen=""):
        self.host = host
        self.address = address
        self.stats = LinkStats()
        self.monitor = LinkMonitor(secrets.randbits(32) | 1, silence_limit_s)
        self.sockets_by_address = {}
        try:
            self.listener = pynng.Pull0(
                listen=f"tcp://{listen or address}", recv_buffer_size=RECEIVE_BUFFER_MESSAGES
            )
            self.listener.recv_max_size = MAX_MESSAGE_BYTES
        except pynng.NNGException as error:
            raise GreengageError("link-failed", f"{listen or address}: {error}") from error

    @property
    def receive_fd(self):
        """File descriptor that is readable while received messages are queued."""
        return self.listener.recv_fd

    def send(self, address, message, sent_at, now_s):
        """Send a message; it may be lost.

        Args:
            address: Link address of the peer.
            message: The message.
            sent_at: Hybrid logical timestamp of the message.
            now_s: Monotonic time in seconds.

        Raises:
            GreengageError: ``bad-message`` if the message cannot be encoded; nothing is sent.
        """
        if self.monitor.is_suspect(address, now_s):
            self._redial(address)
        sequence = self.monitor.record_sent(address, now_s)
        try:
            data = encode_envelope(Envelope(self.host, self.address, sent_at, message, sequence))
        except GreengageError:
            self.stats.unencodable += 1
            raise
        try:
            # Dialling also fails if the process has no free file descriptor.
            socket = self.sockets_by_address.get(address) or self._dial(address)
            socket.send(data, block=False)
        except pynng.NNGException:
            self.stats.dropped += 1
        else:
            self.stats.count_sent(message, len(data))

    def receive(self):
        """Return the queued messages, at most ``MAX_RECEIVE_BATCH``.

        Returns:
            A list of ``Envelope`` objects, and of ``GreengageError`` objects for messages
            that could not be decoded.
        """
        received = []
        for _ in range(MAX_RECEIVE_BATCH):
            try:
                data = self.listener.recv(block=False)
            except pynng.NNGException:
                break
            received.append(self._decode(data))
        return received

    def close(self):
        """Close all sockets."""
        self.listener.close()
        for socket in self.sockets_by_address.values():
            socket.close()

    def _decode(self, data):
        self.stats.received_messages += 1
        self.stats.received_bytes += len(data)
        try:
            envelope = decode_envelope(data)
        except GreengageError as error:
            self.stats.undecodable += 1
            return error
        self.monitor.record_received(envelope.address, envelope.sequence)
        return envelope

    def _dial(self, address):
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
        )
        try:
            socket.reconnect_time_min = RECONNECT_MIN_MS
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(f"tcp://{address}", block=False)
        except pynng.NNGException:
            socket.close()
            raise
        self.sockets_by_address[address] = socket
        return socket

    def _redial(self, address):
        socket = self.sockets_by_address.pop(address, None)
        if socket is not None:
            socket.close()
            self.stats.redialled += 1
        self.monitor.record_dialled(address)
