"""Tests of the event loop after exceptions that nobody expected."""

import socket
from types import SimpleNamespace

import pytest

from greengagerock.core.interface import LogEvent, Persist, Respond, SendMessage, StopProcess
from greengagerock.daemon.bridge import Bridge
from greengagerock.daemon.loop import EventLoop
from greengagerock.membership import LeaseManagerStarted
from greengagerock.testing.log_recorder import LogRecorder
from greengagerock.testing.scripted_node import FailingLinks, FailingWriter, ScriptedNode
from greengagerock.transport import Links

ADDRESS = "127.7.1.1:9301"
PEER = "127.7.1.2:9301"


@pytest.fixture
def make_loop():
    """Return a function that makes a loop for a node and its recorded log lines."""
    opened = []

    def make(node, links=None, writer=None):
        log = LogRecorder()
        ours, peer = socket.socketpair()
        opened.extend((ours, peer))
        links = links or SimpleNamespace(receive_fd=ours.fileno(), receive=list)
        return EventLoop(node, links, Bridge(), writer, None, log), log

    yield make
    for sock in opened:
        sock.close()


def run_events(loop, count):
    """Run a loop over a number of events, at whose end the node stops it."""
    for number in range(count):
        loop.post(number)
    loop.run()


def test_message_that_cannot_be_encoded_does_not_end_the_loop(make_loop):
    """A report with an integer of over 64 bits ended the loop of a follower."""
    links = Links("a", ADDRESS)
    try:
        unencodable = SendMessage(PEER, LeaseManagerStarted(1 << 64))
        node = ScriptedNode([unencodable, LogEvent("next-effect", {})], [StopProcess()])
        loop, log = make_loop(node, links)
        run_events(loop, 2)
    finally:
        links.close()
    assert [name for name, _ in log.lines] == ["message-not-sent", "next-effect"]
    assert links.stats.unencodable == 1
    assert loop.stop_code == ""


def test_exception_of_an_effect_leaves_the_other_effects(make_loop):
    node = ScriptedNode(
        [SendMessage(PEER, None), LogEvent("next-effect", {})],
        [Respond(7, "value")],
        [StopProcess()],
    )
    loop, log = make_loop(node)
    run_events(loop, 3)
    assert [name for name, _ in log.lines] == ["internal-error", "next-effect"]
    assert loop.internal_error_count == 1
    assert loop.stop_code == ""


def test_exception_of_an_event_leaves_the_next_events(make_loop):
    node = ScriptedNode(RuntimeError("unexpected"), [LogEvent("next-event", {})], [StopProcess()])
    loop, log = make_loop(node)
    run_events(loop, 3)
    assert [name for name, _ in log.lines] == ["internal-error", "next-event"]


def test_record_that_cannot_be_queued_ends_the_loop(make_loop):
    """Later writes confirm all earlier ones, so none may be left out."""
    node = ScriptedNode([Persist(1, ())], [LogEvent("next-event", {})])
    loop, log = make_loop(node, writer=FailingWriter())
    run_events(loop, 2)
    assert [name for name, _ in log.lines] == ["fatal"]
    assert loop.stop_code == "internal-error"


def test_exception_of_the_links_ends_the_loop(make_loop):
    """Without its messages a process would go on without a part in the system."""
    ours, peer = socket.socketpair()
    peer.send(b"x")
    loop, log = make_loop(ScriptedNode(), FailingLinks(ours.fileno()))
    loop.run()
    ours.close()
    peer.close()
    assert [name for name, _ in log.lines] == ["fatal"]
    assert loop.stop_code == "internal-error"
