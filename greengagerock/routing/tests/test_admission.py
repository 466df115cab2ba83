"""Tests of the decision whether a call is sent, waits or is refused, and of the queue."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from greengagerock.core.interface import CallArrived
from greengagerock.routing.admission import (
    LEAST_SHARE,
    CallView,
    EndpointView,
    LeastShares,
    Refuse,
    Send,
    Wait,
    admit,
)
from greengagerock.routing.calls import Call
from greengagerock.routing.waiting_calls import WaitingCalls, order_of
from greengagerock.testing.item_builders import build_route

COUNTS = st.integers(0, 1_000_000)
ENDPOINTS = st.builds(
    EndpointView, COUNTS, st.integers(1, 1000), st.floats(0.001, 600.0), st.floats(0.0, 1.0)
)
TIMES = st.floats(100.005, 160.0)
CALLS = st.builds(
    CallView,
    st.just(100.0),
    TIMES,
    TIMES,
    st.integers(0, 5),
    st.booleans(),
    st.floats(0.0, 64.0),
    st.floats(0.0, 1.0),
)
# How willingly a call is admitted.
GRADES = {Refuse: 0, Wait: 1, Send: 2}


@given(ENDPOINTS, CALLS)
def test_decision_is_bounded_by_the_time_of_the_caller(endpoint, call):
    """No caller may wait beyond its time, nor be asked to stay away for most of it."""
    left_s = call.deadline_s - call.now_s
    match admit(endpoint, call):
        case Wait(until_s):
            assert call.now_s < until_s <= min(call.useful_until_s, call.deadline_s)
        case Refuse(retry_after_s):
            assert 0 < retry_after_s <= left_s / 3


@given(ENDPOINTS, CALLS)
def test_decision_is_monotone_in_priority_and_load(endpoint, call):
    """A more urgent call, or one for a less loaded endpoint, never gets a worse decision."""
    verdict = admit(endpoint, call)
    less_urgent = admit(endpoint, replace(call, rank=call.rank + 1))
    more_loaded = admit(replace(endpoint, requests=endpoint.requests + 1), call)
    for worse in (less_urgent, more_loaded):
        assert GRADES[type(worse)] <= GRADES[type(verdict)]
        if isinstance(verdict, Refuse):
            assert worse.retry_after_s >= verdict.retry_after_s


@given(ENDPOINTS, CALLS)
def test_free_slot_and_unweighted_load_admit_every_call(endpoint, call):
    """A value that has expired, or that shows a free slot, must refuse nobody."""
    assert admit(replace(endpoint, weight=0.0), call) == Send()
    assert admit(replace(endpoint, requests=endpoint.slots - 1), call) == Send()


@given(st.lists(st.booleans(), max_size=200))
def test_less_urgent_calls_always_keep_their_least_share(has_room):
    """Otherwise a long burst of the urgent kind would starve the route.

    At least every fourth call is sent, and no more than that while no slot is free.
    """
    shares, sent, forced = LeastShares(), 0, 0
    call = CallView(100.0, 101.0, 110.0, 1, False, 0.0, 0.0)
    for number, is_free in enumerate(has_room, 1):
        shares.note_call("docs", 1)
        endpoint = EndpointView(0 if is_free else 4, 2, 0.1, 1.0)
        is_due = shares.is_due("docs", 1)
        if isinstance(admit(endpoint, replace(call, is_due=is_due)), Send):
            shares.note_sent("docs", 1)
            sent += 1
            forced += not is_free
        assert sent >= int(number * LEAST_SHARE)
    assert forced <= len(has_room) * LEAST_SHARE


def build_call(token, priority, deadline_s, body_bytes):
    """Return a call of a route with a priority."""
    route = build_route(f"r{priority}", priority=priority)
    event = CallArrived(token, f"r{token}", "GET", "", "", "", 1.0, body_bytes=body_bytes)
    return Call(event, route, "docs", 100.0, deadline_s)


QUEUED = st.tuples(st.sampled_from([0, 1, 2, None]), TIMES, st.integers(0, 65_536))


@given(st.lists(QUEUED, max_size=120), st.data())
def test_queue_is_bounded_and_ordered(queued, data):
    """A burst must not take all threads and memory of a router, nor push out urgent calls."""
    waiting, kept = WaitingCalls(), {}
    for token, (priority, deadline_s, body_bytes) in enumerate(queued):
        call = build_call(token, priority, deadline_s, body_bytes)
        kept[token] = call
        for excess in waiting.put(call, deadline_s):
            assert all(order_of(other) <= order_of(excess) for other in waiting.in_order())
            del kept[excess.token]
        if kept and data.draw(st.booleans()):
            token = data.draw(st.sampled_from(sorted(kept)))
            assert waiting.remove(token) and not waiting.remove(token)
            del kept[token]
        assert waiting.entries.keys() == kept.keys()
        assert len(waiting) <= 64
        assert waiting.body_bytes == sum(c.body_bytes for c in kept.values()) <= 1_000_000
    ranks = [c.route.priority for c in waiting.in_order()]
    assert ranks == sorted(ranks, key=lambda p: 9 if p is None else p)
