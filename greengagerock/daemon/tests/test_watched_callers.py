"""Tests of the event loop's watch over callers' connections."""

import os
import socket
from types import SimpleNamespace

from greengagerock.core.interface import StopProcess, TimeAdvanced
from greengagerock.daemon.loop import EventLoop


def test_caller_that_waits_for_two_reasons_stays_watched():
    """A failed second registration left its descriptor registered after the request had ended.

    The caller counted as not watched meanwhile.
    """
    caller, peer = socket.socketpair()
    links = SimpleNamespace(receive_fd=peer.fileno())
    loop = EventLoop(None, links, None, None, None, lambda event, **fields: None)
    try:
        assert loop._register(caller.fileno(), 7)
        assert loop._register(caller.fileno(), 7)
        loop.unwatch_caller(caller.fileno())
        assert loop._register(caller.fileno(), 8)
    finally:
        loop._poll.close()
        os.close(loop._wake_fd)
        caller.close()
        peer.close()


def test_worker_thread_can_unwatch_a_caller_after_the_end_of_the_loop():
    """A response that arrived while the process ended became a 500."""
    caller, peer = socket.socketpair()
    links = SimpleNamespace(receive_fd=peer.fileno())
    node = SimpleNamespace(start=lambda: [], handle=lambda event, now_s: [StopProcess()])
    loop = EventLoop(node, links, None, None, None, lambda event, **fields: None)
    assert loop._register(caller.fileno(), 7)
    node.next_due_s = lambda: None
    loop.post(TimeAdvanced())
    loop.run()
    loop.unwatch_caller(caller.fileno())
    caller.close()
    peer.close()
