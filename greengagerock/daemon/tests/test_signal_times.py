"""How precisely an idle event loop knows when a signal arrived."""

import socket
from types import SimpleNamespace

import pytest

from greengagerock.daemon.bridge import Bridge
from greengagerock.daemon.loop import EventLoop
from greengagerock.node.stop_schedule import ARRIVAL_S
from greengagerock.testing.log_recorder import LogRecorder
from greengagerock.testing.scripted_node import ScriptedNode


@pytest.mark.parametrize("due_s", [None, float("inf")])
def test_idle_loop_loses_little_of_the_grace_period_to_the_age_of_a_signal(due_s):
    """It ended calls up to 0.25 s early, whose responses were on their way."""
    ours, peer = socket.socketpair()
    with ours, peer:
        links = SimpleNamespace(receive_fd=ours.fileno(), receive=list)
        node = ScriptedNode()
        node.next_due_s = lambda: due_s
        loop = EventLoop(node, links, Bridge(), None, None, LogRecorder())
        timeouts_s = []
        loop._poll.close()
        loop._poll = SimpleNamespace(poll=lambda timeout_s: timeouts_s.append(timeout_s) or [])
        loop._wait()
    assert 0.0 < timeouts_s[0] < ARRIVAL_S / 2
