"""The data folder of a voter, with its identity and its log."""

import os
import secrets
from pathlib import Path

import msgspec

from greengagerock.core import StorageError
from greengagerock.replication import DurableState, Record, SnapshotStored
from greengagerock.storage.frames import encode_frame, scan_frames

LOG_NAME = "log"
IDENTITY_NAME = "identity"
FORMAT_HEADER = b"greengagerock-log 1\n"
IDENTITY_BYTES = 8

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def read_identity(path, host):
    """Return the folder's voter identity; create the folder and the identity if missing.

    Args:
        path: The data folder.
        host: Name of this host.

    Raises:
        StorageError: ``data-folder-mismatch`` if the folder belongs to another
            host, ``disk-failed`` if it cannot be used.
    """
    folder = Path(path)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        file = folder / IDENTITY_NAME
        if file.exists():
            identity = file.read_text().strip()
        else:
            identity = f"{host}#{secrets.token_hex(IDENTITY_BYTES)}"
            replace_file(file, identity.encode())
    except OSError as error:
        raise StorageError("disk-failed", str(error)) from error
    if identity.split("#")[0] != host:
        raise StorageError("data-folder-mismatch", f"the folder belongs to {identity}")
    return identity


def replace_file(path, data):
    """Replace a file atomically: after a crash it has either the old or the new contents."""
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(path):
    """Sync a folder, so that created and renamed files in it survive a crash."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DataFolder:
    """The log file of a voter.

    Args:
        path: The data folder.
        host: Name of this host.

    Attributes:
        durable_state: The ``DurableState`` of the records read from the file and passed to
            ``write`` so far, including those whose write failed.

    Raises:
        StorageError: If the folder cannot be read or belongs to another host, or if its
            log has an unknown format or is damaged before its end.
    """

    def __init__(self, path, host):
        self.path = Path(path)
        self.log_path = self.path / LOG_NAME
        self.durable_state = DurableState(read_identity(path, host))
        try:
            self._read()
            self.file = open(self.log_path, "ab", buffering=0)  # noqa: SIM115
        except OSError as error:
            raise StorageError("disk-failed", str(error)) from error

    def write(self, records):
        """Append records and sync them.

        A snapshot rewrites the file because it replaces all earlier records.

        Raises:
            StorageError: ``disk-failed``; the records may or may not be on disk.
        """
        try:
            for record in records:
                self.durable_state.apply(record)
            if any(isinstance(record, SnapshotStored) for record in records):
                self._rewrite()
            elif records:
                self._append(records)
        except OSError as error:
            raise StorageError("disk-failed", str(error)) from error

    def rewrite(self):
        """Rewrite the file from ``durable_state``.

        This is needed after a failed write, which leaves the file in an unknown state.

        Raises:
            StorageError: ``disk-failed``; the old or the new file is in place.
        """
        try:
            self._rewrite()
        except OSError as error:
            raise StorageError("disk-failed", str(error)) from error

    def close(self):
        """Close the log file."""
        self.file.close()

    def _append(self, records):
        data = b"".join(encode_frame(_encoder.encode(record)) for record in records)
        written = 0
        while written < len(data):
            written += self.file.write(data[written:])
        os.fsync(self.file.fileno())

    def _rewrite(self):
        frames = [
            encode_frame(_encoder.encode(record))
            for record in self.durable_state.compacted_records()
        ]
        replace_file(self.log_path, FORMAT_HEADER + b"".join(frames))
        self.file.close()
        self.file = open(self.log_path, "ab", buffering=0)  # noqa: SIM115

    def _read(self):
        if not self.log_path.exists():
            replace_file(self.log_path, FORMAT_HEADER)
            return
        data = self.log_path.read_bytes()
        if not data.startswith(FORMAT_HEADER):
            raise StorageError("log-format", "the log file starts with an unknown header")
        scan = scan_frames(data, len(FORMAT_HEADER))
        for payload in scan.payloads:
            self.durable_state.apply(_decoder.decode(payload))
        if scan.valid_bytes < len(data):
            self._truncate(scan.valid_bytes)

    def _truncate(self, length):
        with open(self.log_path, "r+b") as file:
            file.truncate(length)
            os.fsync(file.fileno())
