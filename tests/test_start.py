"""Signals that a process receives while it starts."""

import subprocess
import sys

import pytest

PROBE_SCRIPT = """
import signal, sys
sys.modules["{library}"] = None
try:
    import {module}
except ImportError:
    print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
"""


# The first library that each program imports; the import is made to fail.
PROGRAMS = [("greengagerock.platform.run", "msgspec"), ("greengagerock.daemon.main", "cyclopts")]


@pytest.mark.parametrize(("module", "library"), PROGRAMS)
def test_reload_signal_during_the_start_does_not_end_the_process(module, library):
    """SIGHUP may announce changed settings while modules load, for a third of a second."""
    command = [sys.executable, "-c", PROBE_SCRIPT.format(module=module, library=library)]
    assert subprocess.run(command, capture_output=True, text=True).stdout == "True\n"


def test_router_starts_without_what_only_controllers_and_operators_need():
    """A site has hundreds of routers, and each start delays its callers."""
    probe = "import sys, greengagerock.platform.run as run; print(*sorted(sys.modules))"
    output = subprocess.run([sys.executable, "-c", probe], capture_output=True, text=True).stdout
    loaded = set(output.split())
    assert "greengagerock.node.router_node" in loaded
    for unneeded in (
        "lark",
        "cyclopts",
        "yaml",
        "greengagerock.node.node",
        "greengagerock.node.controller_node",
        "greengagerock.web.operator_handlers",
    ):
        assert unneeded not in loaded, unneeded
