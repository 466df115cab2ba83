"""A caller's socket is registered before it is unregistered, although two threads do this."""

import threading

from greengagerock.web.upstream import Attempt

DESCRIPTOR = 77


def test_attempt_does_not_end_while_its_watch_begins():
    """Otherwise the socket would be unregistered before it is registered, which is an error."""
    attempt = Attempt(DESCRIPTOR)
    ended = threading.Event()
    results = []

    def end():
        results.append(attempt.end())
        ended.set()

    def register(descriptor):
        threading.Thread(target=end).start()
        assert not ended.wait(0.05)
        return descriptor == DESCRIPTOR

    attempt.begin_watch(register)
    assert ended.wait(5.0)
    assert results == [DESCRIPTOR]


def test_attempt_that_has_ended_is_not_watched():
    attempt = Attempt(DESCRIPTOR)
    assert attempt.end() is None
    registered = []
    attempt.begin_watch(registered.append)
    assert registered == []


def test_failed_registration_needs_no_unregistration():
    attempt = Attempt(DESCRIPTOR)
    attempt.begin_watch(lambda descriptor: False)
    assert attempt.end() is None
