"""Writes a voter's records to disk on a separate thread."""

import queue
import threading

from greengagerock.core import StorageError
from greengagerock.core.interface import Persisted, PersistFailed


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
