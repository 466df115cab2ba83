"""Tests of the event loop's watch over callers' connections."""

import os
import socket
from types import SimpleNamespace

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
