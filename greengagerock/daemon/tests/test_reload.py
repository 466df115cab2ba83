"""A settings file that is read again while it is being written, or is invalid, ends no process."""

import threading
import time
from pathlib import Path

import pytest

from greengagerock.daemon.site import SettingsWatcher
from greengagerock.settings.checker import load_site_settings
from greengagerock.testing.log_recorder import LogRecorder

TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.02
VALID = """\
host: h1
availability_zone: z1
link_address: 127.33.0.1:8083
callers: 127.33.0.1:8081
role: router
seeds: [127.33.0.2:8083]
"""


def wait_until(condition):
    """Wait until a condition holds, at most ``TIMEOUT_S``."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(CHECK_INTERVAL_S)


@pytest.mark.parametrize(
    "content",
    [
        "",
        "host: h1\navailability_zone: z1\n",
        "host: h1\navailability_zone: z1\nrole: rou",
        "host: 2001-99-99\n",
        "host: !!int z\n",
        "host: !!timestamp z\n",
        "host: &a [*a]\n",
        "[" * 5000,
    ],
    ids=["empty", "no-role", "half-a-role", "date", "number", "timestamp", "cycle", "nested"],
)
def test_file_that_is_not_valid_at_a_reload_is_reported(tmp_path, monkeypatch, content):
    """The thread that read the file ended with an exception, and its process with it."""
    errors, applied, log = [], [], LogRecorder()
    monkeypatch.setattr(threading, "excepthook", errors.append)
    path = Path(tmp_path, "settings.yaml")
    path.write_text(VALID)
    watcher = SettingsWatcher(path, lambda: load_site_settings(path), applied.append, log)
    path.write_text(content)
    watcher.request_reload()
    wait_until(lambda: log.lines or errors)
    assert not errors
    assert log.lines[0][0] == "reload-failed"
    assert log.lines[0][1]["code"] == "bad-settings"
    path.write_text(VALID)
    watcher.request_reload()
    wait_until(lambda: applied)
    assert applied[0].seeds == ("127.33.0.2:8083",)
