"""Deltas as bytes, which are made once for all routers that lack the same."""

import zlib

import msgspec

from greengagerock.core import GreengageError

# Shorter ones fit into a few packets as they are.
COMPRESS_FROM_BYTES = 2048
# Names and addresses repeat so much that the fastest level is enough.
COMPRESSION_LEVEL = 1
# The largest message that a link takes, so that a damaged one cannot fill the memory.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack(delta):
    """Return a delta as bytes.

    Examples:
        >>> from greengagerock.view.messages import LiveDelta
        >>> delta = LiveDelta(3, 0, 7, True)
        >>> unpack(pack(delta), LiveDelta) == delta
        True
    """
    data = msgspec.msgpack.encode(delta)
    if len(data) < COMPRESS_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(data, kind):
    """Return the delta of type ``kind`` that bytes hold.

    Raises:
        GreengageError: ``bad-message`` if they hold none.
    """
    mark, body = data[:1], data[1:]
    try:
        if mark == _COMPRESSED:
            stream = zlib.decompressobj()
            body = stream.decompress(body, MAX_UNPACKED_BYTES)
            if not stream.eof:
                raise GreengageError("bad-message", "a compressed delta is cut off or too long")
        elif mark != _PLAIN:
            raise GreengageError("bad-message", f"a delta begins with {mark!r}")
        return msgspec.msgpack.decode(body, type=kind)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise GreengageError("bad-message", str(error)) from error


class PackedDeltas:
    """The packed deltas of one history up to its newest change.

    Args:
        history: An object with ``current_revision`` and ``delta_since``.
    """

    __slots__ = ("history", "packed", "revision")

    def __init__(self, history):
        self.history = history
        self.packed = {}
        self.revision = None

    def since(self, *known):
        """Return the packed delta for what a router knows, or ``None`` if it lacks nothing."""
        revision = self.history.current_revision
        if revision != self.revision:
            self.revision, self.packed = revision, {}
        if known not in self.packed:
            delta = self.history.delta_since(*known)
            self.packed[known] = None if delta is None else pack(delta)
        return self.packed[known]
