"""Stops that are requested while the event loop waits or is held up."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest

from greengagerock.core.interface import StopProcess, StopRequested
from greengagerock.daemon.bridge import Bridge
from greengagerock.daemon.loop import EventLoop
from greengagerock.daemon.site import SiteDaemon
from greengagerock.testing.log_recorder import LogRecorder
from greengagerock.testing.scripted_node import ScriptedNode


class RecordingNode(ScriptedNode):
    """A node that records its events and stops with the last one of its script."""

    def __init__(self, count):
        super().__init__(*([[]] * (count - 1)), [StopProcess()])
        self.events = []

    def handle(self, event, now_s):
        """Record an event."""
        self.events.append(event)
        return super().handle(event, now_s)


@pytest.fixture
def make_loop():
    """Return a function that makes a loop for a node."""
    opened = []

    def make(node):
        opened.extend(socket.socketpair())
        links = SimpleNamespace(receive_fd=opened[-1].fileno(), receive=list)
        return EventLoop(node, links, Bridge(), None, None, LogRecorder())

    yield make
    for sock in opened:
        sock.close()


def request_stop(loop):
    """Request a stop as the signal handler does."""
    SiteDaemon.stop(SimpleNamespace(loop=loop))


def test_stop_is_handled_before_requests_that_wait(make_loop):
    """A router that stood still for 3.7 s took requests of 3.1 s to 3.5 s after its SIGTERM."""
    node = RecordingNode(3)
    loop = make_loop(node)
    loop.post("call-1")
    loop.post("call-2")
    request_stop(loop)
    loop.run()
    assert isinstance(node.events[0], StopRequested)
    assert node.events[1:] == ["call-1", "call-2"]


def test_stop_of_a_waiting_loop_is_known_to_a_quarter_of_a_second(make_loop):
    node = RecordingNode(1)
    loop = make_loop(node)
    thread = threading.Thread(target=loop.run)
    thread.start()
    time.sleep(1.1)
    requested_s = time.monotonic()
    request_stop(loop)
    thread.join(10.0)
    (stop,) = node.events
    assert stop.since_s <= requested_s
    assert requested_s - stop.since_s < 0.6
