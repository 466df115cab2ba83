"""Durable files in the data folder of a voter."""

from greengagerock.storage.folder import DataFolder, read_identity
from greengagerock.storage.frames import FrameScan, encode_frame, scan_frames

__all__ = ["DataFolder", "FrameScan", "encode_frame", "read_identity", "scan_frames"]
