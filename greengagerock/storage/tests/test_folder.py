"""Tests of the data folder."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.core import StorageError
from greengagerock.replication import EntriesStored, Entry, HardState, Snapshot, SnapshotStored
from greengagerock.storage import DataFolder, encode_frame, scan_frames
from greengagerock.storage.folder import FORMAT_HEADER, LOG_NAME


def entries(first, count, term=1):
    return EntriesStored(tuple(Entry(first + n, term, b"p%d" % n) for n in range(count)))


def write(path, *batches):
    folder = DataFolder(path, "h1")
    for batch in batches:
        folder.write(batch)
    folder.close()


def test_records_are_read_back(tmp_path):
    write(tmp_path, [HardState(3, "x#1")], [entries(1, 2)], [entries(2, 2, term=2)])
    durable_state = DataFolder(tmp_path, "h1").durable_state
    assert durable_state.hard_state == HardState(3, "x#1")
    assert [(e.index, e.term) for e in durable_state.log.entries] == [(1, 1), (2, 2), (3, 2)]


def test_snapshot_rewrites_the_file(tmp_path):
    write(tmp_path, [entries(1, 100)])
    size_before = (tmp_path / LOG_NAME).stat().st_size
    write(tmp_path, [SnapshotStored(Snapshot(99, 1, data=b"s"))])
    assert (tmp_path / LOG_NAME).stat().st_size < size_before
    durable_state = DataFolder(tmp_path, "h1").durable_state
    assert durable_state.log.snapshot.data == b"s"
    assert [e.index for e in durable_state.log.entries] == [100]


def test_every_incomplete_last_record_is_truncated(tmp_path):
    write(tmp_path, [entries(1, 1)], [entries(2, 1)])
    intact = (tmp_path / LOG_NAME).read_bytes()
    first_end = scan_frames(intact[:-1], len(FORMAT_HEADER)).valid_bytes
    for length in range(first_end, len(intact)):
        (tmp_path / LOG_NAME).write_bytes(intact[:length])
        folder = DataFolder(tmp_path, "h1")
        assert [e.index for e in folder.durable_state.log.entries] == [1]
        folder.write([entries(2, 1)])
        folder.close()
        assert (tmp_path / LOG_NAME).read_bytes() == intact


def test_every_damaged_byte_in_the_middle_is_refused(tmp_path):
    write(tmp_path, [entries(1, 1)], [entries(2, 1)])
    intact = (tmp_path / LOG_NAME).read_bytes()
    first_end = scan_frames(intact[:-1], len(FORMAT_HEADER)).valid_bytes
    for position in range(len(FORMAT_HEADER), first_end):
        damaged = bytearray(intact)
        damaged[position] ^= 0x40
        (tmp_path / LOG_NAME).write_bytes(bytes(damaged))
        with pytest.raises(StorageError) as caught:
            DataFolder(tmp_path, "h1")
        assert caught.value.code == "log-corrupt"


def test_unknown_format_is_refused(tmp_path):
    write(tmp_path)
    (tmp_path / LOG_NAME).write_bytes(b"greengagerock-log 2\n")
    with pytest.raises(StorageError) as caught:
        DataFolder(tmp_path, "h1")
    assert caught.value.code == "log-format"


def test_folder_of_another_host_is_refused(tmp_path):
    write(tmp_path)
    with pytest.raises(StorageError) as caught:
        DataFolder(tmp_path, "h2")
    assert caught.value.code == "data-folder-mismatch"


def test_new_folder_gets_another_identity(tmp_path):
    first = DataFolder(tmp_path / "a", "h1").durable_state.identity
    second = DataFolder(tmp_path / "b", "h1").durable_state.identity
    assert first != second
    assert DataFolder(tmp_path / "a", "h1").durable_state.identity == first


def test_full_disk_is_a_typed_error(tmp_path, monkeypatch):
    folder = DataFolder(tmp_path, "h1")
    monkeypatch.setattr("os.fsync", raise_no_space)
    with pytest.raises(StorageError) as caught:
        folder.write([entries(1, 1)])
    assert caught.value.code == "disk-failed"


def raise_no_space(descriptor):
    raise OSError(28, "No space left on device")


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=50), max_size=10), st.integers(0, 600))
def test_prefix_of_a_file_never_yields_a_wrong_payload(payloads, length):
    data = b"".join(encode_frame(payload) for payload in payloads)[:length]
    scan = scan_frames(data)
    assert list(scan.payloads) == payloads[: len(scan.payloads)]
