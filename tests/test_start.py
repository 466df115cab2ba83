"""What a process does before it serves."""

import subprocess
import sys

import pytest

PROBE = """
import signal, sys
sys.modules["cyclopts"] = None
try:
    import {module}
except ImportError:
    print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
"""


@pytest.mark.parametrize("module", ["greengagerock.platform.run", "greengagerock.daemon.main"])
def test_reload_during_the_start_does_not_end_the_process(module):
    """Loading the modules takes a third of a second, and settings change at any time."""
    probe = [sys.executable, "-c", PROBE.format(module=module)]
    assert subprocess.run(probe, capture_output=True, text=True).stdout == "True\n"
