"""Links between the system's processes."""

from greengagerock.transport.codec import Envelope, Message, decode_envelope, encode_envelope
from greengagerock.transport.links import Links, LinkStats
from greengagerock.transport.monitor import LinkMonitor

__all__ = [
    "Envelope",
    "LinkMonitor",
    "LinkStats",
    "Links",
    "Message",
    "decode_envelope",
    "encode_envelope",
]
