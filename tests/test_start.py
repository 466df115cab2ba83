"""Signals that a process receives while it starts."""

import subprocess
import sys

import pytest

PROBE_SCRIPT = """
import signal, sys
sys.modules["cyclopts"] = None
try:
    import {module}
except ImportError:
    print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
"""


@pytest.mark.parametrize("module", ["greengagerock.platform.run", "greengagerock.daemon.main"])
def test_reload_signal_during_the_start_does_not_end_the_process(module):
    """SIGHUP may announce changed settings while modules load, for a third of a second."""
    command = [sys.executable, "-c", PROBE_SCRIPT.format(module=module)]
    assert subprocess.run(command, capture_output=True, text=True).stdout == "True\n"
