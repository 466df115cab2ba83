"""Checksummed frames, which make up the log file."""

import struct

import google_crc32c
import msgspec

from greengagerock.core import StorageError

FRAME_HEADER = struct.Struct("<III")
MAX_FRAME_BYTES = 256 * 1024 * 1024


class FrameScan(msgspec.Struct, frozen=True):
    """The result of scanning a file of frames.

    Attributes:
        payloads: The payloads in order.
        valid_bytes: Length of the valid part in bytes; the rest is an incomplete write.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int


def encode_frame(payload):
    """Return a frame: length, checksum of the length, checksum of the payload, payload.

    The length has its own checksum so that a damaged length in the middle of a file is not
    taken for an incomplete write at its end.
    """
    length = struct.pack("<I", len(payload))
    header = FRAME_HEADER.pack(
        len(payload), google_crc32c.value(length), google_crc32c.value(payload)
    )
    return header + payload


def decode_frame_at(data, offset):
    """Return the payload of the frame at ``offset``, or ``None`` if it is not valid."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    length, length_checksum, payload_checksum = FRAME_HEADER.unpack_from(data, offset)
    if (
        length > MAX_FRAME_BYTES
        or google_crc32c.value(struct.pack("<I", length)) != length_checksum
    ):
        return None
    start = offset + FRAME_HEADER.size
    payload = bytes(data[start : start + length])
    if len(payload) < length or google_crc32c.value(payload) != payload_checksum:
        return None
    return payload


def scan_frames(data, offset=0):
    """Return all frames of a file.

    Args:
        data: Contents of the file.
        offset: Offset of the first frame in bytes.

    Returns:
        A ``FrameScan``. A damaged end counts as an incomplete write.

    Raises:
        StorageError: ``log-corrupt`` if a valid frame follows a damaged one.
    """
    payloads = []
    while offset < len(data):
        payload = decode_frame_at(data, offset)
        if payload is None:
            _raise_if_valid_frame_follows(data, offset)
            break
        payloads.append(payload)
        offset += FRAME_HEADER.size + len(payload)
    return FrameScan(tuple(payloads), offset)


def _raise_if_valid_frame_follows(data, damaged_offset):
    for offset in range(damaged_offset + 1, len(data) - FRAME_HEADER.size + 1):
        payload = decode_frame_at(data, offset)
        if payload:
            raise StorageError(
                "log-corrupt",
                f"frame at byte {damaged_offset} is damaged, but a valid one is at byte {offset}",
            )
