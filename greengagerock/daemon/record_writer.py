"""Writes a voter's records to disk on a separate thread."""

import queue
import threading
import time

from greengagerock.core import StorageError
from greengagerock.core.interface import Persisted, PersistFailed

# Interval between attempts to write to a disk that has failed.
DISK_RETRY_INTERVAL_S = 0.25


class RecordWriter:
    """Appends and syncs records, then notifies the loop.

    Effects that are queued at the same time are written and synced together. After a failure
    nothing more is written, because the contents of the file are uncertain.

    Args:
        folder: The voter's ``DataFolder``.
        post: Callable that passes an event to the loop.
    """

    def __init__(self, folder, post):
        self.folder = folder
        self.post = post
        self._queue = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="record-writer", daemon=True)
        self._thread.start()

    def submit(self, effect):
        """Queue a ``Persist`` effect."""
        self._queue.put(effect)

    def close(self):
        """Write the queued effects, then close the folder."""
        self._queue.put(None)
        self._thread.join()
        self.folder.close()

    def _run(self):
        while True:
            batch = self._next_batch()
            effects = [effect for effect in batch if effect is not None]
            if effects and not self._write(effects):
                return
            if len(effects) < len(batch):
                return

    def _next_batch(self):
        batch = [self._queue.get()]
        while not self._queue.empty():
            batch.append(self._queue.get())
        return batch

    def _write(self, effects):
        records = [record for effect in effects for record in effect.records]
        try:
            self.folder.write(records)
        except StorageError as error:
            self.post(PersistFailed(error.detail))
            return False
        self.post(Persisted(effects[-1].sequence))
        return True


class RetryingRecordWriter(RecordWriter):
    """Retries while writes to the disk fail; records are acknowledged only after a success.

    After a failed write or sync the contents of the file are uncertain, so the whole file is
    rewritten.

    Args:
        folder: The ``DataFolder``.
        post: Callable that passes an event to the loop.
        log: Callable that writes one log line.
    """

    def __init__(self, folder, post, log):
        self.log = log
        self.is_closing = threading.Event()
        super().__init__(folder, post)

    def close(self):
        """Write the queued effects unless the disk refuses them, then close the folder."""
        self.is_closing.set()
        super().close()

    def _write(self, effects):
        records = [record for effect in effects for record in effect.records]
        try:
            self.folder.write(records)
        except StorageError as error:
            self.log("disk-refused", code=error.code, detail=error.detail)
            if not self._rewrite_until_successful():
                return False
        self.post(Persisted(effects[-1].sequence))
        return True

    def _rewrite_until_successful(self):
        """Rewrite the file until that succeeds; return whether it did before ``close``."""
        started_s = time.monotonic()
        while not self.is_closing.wait(DISK_RETRY_INTERVAL_S):
            try:
                self.folder.rewrite()
            except StorageError:
                # The first failure was logged as ``disk-refused``; retries are not logged.
                continue
            self.log("disk-regained", after_s=round(time.monotonic() - started_s, 2))
            return True
        return False
