"""The record of a case: what was sent, answered and run."""

import threading
import time


class Record:
    """Lines with the time since the start, written to ``record.txt``.

    Args:
        path: Path of the file.
    """

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.file = open(path, "w", buffering=1)  # noqa: SIM115
        self.lock = threading.Lock()

    def note(self, event, **fields):
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began_s:8.3f} {event} {text}\n")

    def close(self):
        """Close the file."""
        self.file.close()
