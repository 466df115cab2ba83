"""Checksummed frames, the unit of the log file."""

import struct

import google_crc32c
import msgspec

from greengagerock.core import StorageError

FRAME_HEADER = struct.Struct("<III")
MAX_FRAME_BYTES = 256 * 1024 * 1024


class FrameScan(msgspec.Struct, frozen=True):
    """The result of reading a file of frames.

    Attributes:
        payloads: The payloads in order.
        valid_bytes: Length of the valid part; what follows is a torn tail.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int


def encode_frame(payload):
    """Return a frame: length, checksum of the length, checksum of the payload, payload.

    The length has a checksum of its own so that a damaged length in the
    middle of a file is not mistaken for a torn tail.
    """
    length = struct.pack("<I", len(payload))
    header = FRAME_HEADER.pack(
        len(payload), google_crc32c.value(length), google_crc32c.value(payload)
    )
    return header + payload


def decode_frame_at(data, offset):
    """Return the payload of the frame at ``offset``, or ``None`` if it is not whole."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    length, length_sum, payload_sum = FRAME_HEADER.unpack_from(data, offset)
    if length > MAX_FRAME_BYTES or google_crc32c.value(struct.pack("<I", length)) != length_sum:
        return None
    start = offset + FRAME_HEADER.size
    payload = bytes(data[start : start + length])
    if len(payload) < length or google_crc32c.value(payload) != payload_sum:
        return None
    return payload


def scan_frames(data, offset=0):
    """Read all frames of a file.

    Args:
        data: Contents of the file.
        offset: Where the first frame starts, in bytes.

    Returns:
        A ``FrameScan``. A damaged end counts as a torn tail.

    Raises:
        StorageError: ``log-corrupt`` if a valid frame follows a damaged one.
    """
    payloads = []
    while offset < len(data):
        payload = decode_frame_at(data, offset)
        if payload is None:
            _refuse_if_frames_follow(data, offset)
            break
        payloads.append(payload)
        offset += FRAME_HEADER.size + len(payload)
    return FrameScan(tuple(payloads), offset)


def _refuse_if_frames_follow(data, damaged_at):
    for offset in range(damaged_at + 1, len(data) - FRAME_HEADER.size + 1):
        payload = decode_frame_at(data, offset)
        if payload:
            raise StorageError(
                "log-corrupt", f"frame at byte {damaged_at} is damaged, byte {offset} is not"
            )
