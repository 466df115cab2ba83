"""A voter whose disk was full for a moment takes part again once it has room."""

import time

import pytest

from greengagerock.core import StorageError
from greengagerock.core.interface import Persist, Persisted
from greengagerock.daemon.record_writer import DISK_RETRY_INTERVAL_S, RetryingRecordWriter
from greengagerock.replication import EntriesStored, Entry
from greengagerock.storage import DataFolder

TIMEOUT_S = 5.0


def wait_until(condition):
    """Wait until a condition holds.

    Raises:
        AssertionError: If it does not hold within ``TIMEOUT_S``.
    """
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


class FullDisk:
    """Lets the writes of a ``DataFolder`` fail while ``is_full``."""

    def __init__(self, monkeypatch):
        self.is_full = False
        for name in ("_append", "_rewrite"):
            monkeypatch.setattr(DataFolder, name, self._guard(getattr(DataFolder, name)))

    def _guard(self, method):
        def call(folder, *arguments):
            if self.is_full:
                raise OSError(28, "No space left on device")
            return method(folder, *arguments)

        return call


def store(writer, number):
    """Let a writer store one entry."""
    entry = Entry(number, 1, b"x")
    writer.submit(Persist(number, (EntriesStored((entry,)),)))


@pytest.fixture
def disk(monkeypatch):
    """Return a ``FullDisk``."""
    return FullDisk(monkeypatch)


def test_records_are_confirmed_once_the_disk_has_room_again(disk, tmp_path):
    events, lines = [], []
    folder = DataFolder(tmp_path, "h")
    writer = RetryingRecordWriter(folder, events.append, lambda event, **_: lines.append(event))
    store(writer, 1)
    wait_until(lambda: events == [Persisted(1)])
    disk.is_full = True
    store(writer, 2)
    wait_until(lambda: lines == ["disk-refused"])
    store(writer, 3)
    time.sleep(2 * DISK_RETRY_INTERVAL_S)
    assert events == [Persisted(1)]
    disk.is_full = False
    wait_until(lambda: events[-1] == Persisted(3))
    writer.close()
    entries = DataFolder(tmp_path, "h").durable_state.log.entries
    assert [entry.index for entry in entries] == [1, 2, 3]


def test_stop_does_not_wait_for_a_full_disk(disk, tmp_path):
    """The process of a stopping voter stayed for as long as its disk was full."""
    events = []
    writer = RetryingRecordWriter(DataFolder(tmp_path, "h"), events.append, lambda *_, **__: None)
    disk.is_full = True
    store(writer, 1)
    writer.close()
    assert events == []


def test_write_to_a_full_disk_raises_a_typed_error(disk, tmp_path):
    disk.is_full = True
    with pytest.raises(StorageError):
        DataFolder(tmp_path, "h").write([EntriesStored((Entry(1, 1, b"x"),))])
