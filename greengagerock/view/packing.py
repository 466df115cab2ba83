"""Encoding of deltas, done once for all routers that need the same changes."""

import zlib

import msgspec

from greengagerock.core import GreengageError
from greengagerock.core.decoding import MALFORMED_INPUT

# Shorter deltas fit into a few packets without compression.
COMPRESS_FROM_BYTES = 2048
# Names and addresses are repetitive, so the fastest level compresses well enough.
COMPRESSION_LEVEL = 1
# Equals the largest message that a link accepts; bounds the memory that a damaged delta uses.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def encode_delta(delta):
    """Return an encoded delta, compressed if it is long.

    Examples:
        >>> from greengagerock.view.messages import EndpointsDelta
        >>> delta = EndpointsDelta(3, 0, 7, True)
        >>> decode_delta(encode_delta(delta), EndpointsDelta) == delta
        True
    """
    data = msgspec.msgpack.encode(delta)
    if len(data) < COMPRESS_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decode_delta(data, kind):
    """Decode a delta of type ``kind``.

    Raises:
        GreengageError: ``bad-message`` if ``data`` cannot be decoded.
    """
    format_byte, body = data[:1], data[1:]
    try:
        if format_byte == _COMPRESSED:
            stream = zlib.decompressobj()
            body = stream.decompress(body, MAX_UNPACKED_BYTES)
            if not stream.eof:
                raise GreengageError("bad-message", "compressed delta is truncated or too long")
        elif format_byte != _PLAIN:
            raise GreengageError("bad-message", f"delta has unknown format byte {format_byte!r}")
        return msgspec.msgpack.decode(body, type=kind)
    except (zlib.error, *MALFORMED_INPUT) as error:
        raise GreengageError("bad-message", str(error)) from error


class PackedDeltaCache:
    """Cache of the packed deltas that lead to the newest change of one history.

    Args:
        history: An object with ``current_revision`` and ``delta_since``.

    Attributes:
        packed: Packed deltas by the arguments of ``since``.
        revision: Revision that the packed deltas lead to.
    """

    __slots__ = ("history", "packed", "revision")

    def __init__(self, history):
        self.history = history
        self.packed = {}
        self.revision = None

    def since(self, *position):
        """Return the packed delta for a router, or ``None`` if it has all changes.

        Args:
            position: What the router has, as the arguments of ``history.delta_since``.
        """
        revision = self.history.current_revision
        if revision != self.revision:
            self.revision, self.packed = revision, {}
        if position not in self.packed:
            delta = self.history.delta_since(*position)
            self.packed[position] = None if delta is None else encode_delta(delta)
        return self.packed[position]
