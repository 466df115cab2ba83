"""Tests of the timer service."""

from greengagerock.core import TimerService


def test_handlers_run_in_order_of_their_due_times():
    timers = TimerService()
    ran = []
    timers.subscribe(2.0, lambda: ran.append("second"))
    timers.subscribe(1.0, lambda: ran.append("first"))
    timers.advance(3.0)
    assert ran == ["first", "second"]


def test_cancelled_handler_does_not_run_and_is_not_due():
    timers = TimerService()
    timer = timers.subscribe(1.0, lambda: 1 / 0)
    timer.cancel()
    assert timers.next_due_s() is None
    timers.advance(2.0)


def test_time_never_moves_backwards():
    timers = TimerService(5.0)
    timers.advance(3.0)
    assert timers.now_s == 5.0
