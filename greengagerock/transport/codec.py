"""Encoding of messages between the system's processes."""

import msgspec

from greengagerock.control.operator_messages import OperatorRelay, OperatorRelayReply
from greengagerock.control.relay_messages import (
    EvacuationRelay,
    ItemsRelay,
    PatchRelay,
    RelayReply,
    ReportRelay,
)
from greengagerock.core import GreengageError, Timestamp
from greengagerock.core.decoding import MALFORMED_INPUT
from greengagerock.discovery import ControllerHello, ControllerHelloReply
from greengagerock.membership import (
    AnnouncementRelay,
    AnnouncementRelayReply,
    Hello,
    HelloReply,
    LeaseManagerDismissed,
    LeaseManagerGrant,
    LeaseManagerHeartbeat,
    LeaseManagerLeaving,
    LeaseManagerStarted,
    RouterGrant,
    RouterHeartbeat,
)
from greengagerock.replication import (
    AppendReply,
    AppendRequest,
    BootstrapHello,
    InitialMembership,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from greengagerock.routing.crash_suspects import CrashReport
from greengagerock.routing.key_claims import (
    ClaimsReply,
    ClaimsRequest,
    KeyClaim,
    KeyClaimResult,
    KeyRelease,
)
from greengagerock.transport.monitor import MessageSequence
from greengagerock.view import LeavingObserved, NotLeading, ViewDelta, ViewPoll

Message = (
    Hello
    | HelloReply
    | LeaseManagerHeartbeat
    | LeaseManagerGrant
    | LeaseManagerDismissed
    | LeaseManagerStarted
    | LeaseManagerLeaving
    | RouterHeartbeat
    | RouterGrant
    | AnnouncementRelay
    | AnnouncementRelayReply
    | OperatorRelay
    | OperatorRelayReply
    | KeyClaim
    | KeyClaimResult
    | KeyRelease
    | CrashReport
    | ClaimsRequest
    | ClaimsReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | TimeoutNow
    | BootstrapHello
    | InitialMembership
    | ControllerHello
    | ControllerHelloReply
    | ReportRelay
    | PatchRelay
    | EvacuationRelay
    | ItemsRelay
    | RelayReply
    | ViewPoll
    | ViewDelta
    | NotLeading
    | LeavingObserved
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        host: Name of the sending host.
        address: Link address of the sender.
        sent_at: Hybrid logical timestamp at which the message was sent.
        message: The message.
        sequence: Sequence number of this message, and acknowledgement of the last one
            received from the peer.
    """

    host: str
    address: str
    sent_at: Timestamp
    message: Message
    sequence: MessageSequence


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope):
    """Return an envelope encoded as MessagePack.

    Raises:
        GreengageError: ``bad-message`` if a value has no encoding.
    """
    try:
        return _encoder.encode(envelope)
    except (OverflowError, RecursionError, TypeError, ValueError) as error:
        raise GreengageError("bad-message", str(error)) from error


def decode_envelope(data):
    """Decode an envelope.

    Raises:
        GreengageError: ``bad-message`` if ``data`` cannot be decoded.
    """
    try:
        return _decoder.decode(data)
    except MALFORMED_INPUT as error:
        raise GreengageError("bad-message", str(error)) from error
