"""A thread that ends with an unexpected exception ends its process, with a line and a status."""

import subprocess
import sys

import pytest

SCRIPT = """
import threading, time
from greengagerock.daemon.log_writer import LineWriter
from greengagerock.daemon.record_writer import RecordWriter
from greengagerock.daemon.site import SettingsWatcher, make_thread_hook
from greengagerock.core.interface import Persist
from pathlib import Path

class Broken:
    def write(self, records):
        raise RuntimeError("unexpected")

line_writer = LineWriter()
log = lambda event, **fields: line_writer.write(f"event={event} {fields}\\n")
threading.excepthook = make_thread_hook(log, line_writer)
name = NAME
if name == "record-writer":
    RecordWriter(Broken(), print).submit(Persist(1, ()))
elif name == "settings":
    def load():
        raise RuntimeError("unexpected")
    SettingsWatcher(Path("/nonexistent"), load, print, log).request_reload()
elif name == "log-pump":
    line_writer.stream = None
    line_writer.write("a line")
else:
    threading.Thread(target=lambda: 1 / 0, name=name).start()
time.sleep(20)
"""


@pytest.mark.parametrize("name", ["record-writer", "settings", "http", "log-pump"])
def test_process_ends_with_its_thread(name):
    """A voter without its writer went on and confirmed nothing, a router without its port."""
    script = SCRIPT.replace("NAME", repr(name))
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=15
    )
    assert result.returncode == 1
    if name != "log-pump":
        assert "event=fatal" in result.stdout
        assert f"'thread': '{name}'" in result.stdout
