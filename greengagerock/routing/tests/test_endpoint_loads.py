"""Tests of what a router knows of the load of endpoints."""

from hypothesis import given
from hypothesis import strategies as st

from greengagerock.core.interface import EndpointNoticed, LoadNotice, LogEvent
from greengagerock.routing.endpoint_loads import MAX_AGE_S, MAX_COLLECTED, EndpointLoads
from greengagerock.routing.load_exchange import LoadExchange
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.view import (
    EndpointLoadReports,
    EndpointRecord,
    LoadReport,
    ViewReplica,
    pack_loads,
)

RECORD = EndpointRecord("e1", "10.0.0.1:80", "docs", "a", 2, started_ms=1000)
COUNTS = st.integers(0, 1_000_000)
NOTICES = st.builds(LoadNotice, COUNTS, COUNTS, COUNTS, st.integers(1, 100_000))


def test_values_of_another_instance_are_not_used():
    """A new instance must not be avoided because its predecessor was full, nor the reverse."""
    loads = EndpointLoads()
    loads.note("e1", 900, LoadNotice(2, 12, 2, 100), 5.0)
    assert loads.expected_wait_s(RECORD, 0.1, 5.1) is None
    loads.note("e1", 1000, LoadNotice(0, 0, 2, 100), 5.2)
    loads.note("e1", 900, LoadNotice(2, 12, 2, 100), 5.3)
    loads.apply(EndpointLoadReports(1, {"e1": LoadReport(900, 2, 12, 100, 0)}), 5.4)
    assert loads.expected_wait_s(RECORD, 0.1, 5.5) == 0.0


def test_values_of_the_leader_never_replace_newer_ones():
    """An idle value that took the way through the leader must not hide a queue."""
    loads = EndpointLoads()
    loads.note("e1", 1000, LoadNotice(2, 3, 2, 100), 5.0)
    loads.apply(EndpointLoadReports(2, {"e1": LoadReport(1000, 0, 0, 100, 200)}), 5.1)
    assert loads.expected_wait_s(RECORD, 0.1, 5.1) == 0.2
    loads.apply(EndpointLoadReports(3, {"e1": LoadReport(1000, 0, 0, 100, 50)}), 5.2)
    assert loads.expected_wait_s(RECORD, 0.1, 5.2) == 0.0
    # A message of an earlier leader, or one that arrives twice, is late by an unknown time.
    loads.apply(EndpointLoadReports(2, {"e1": LoadReport(1000, 2, 9, 100, 0)}), 5.3)
    assert loads.expected_wait_s(RECORD, 0.1, 5.3) == 0.0


def test_own_requests_count_until_a_newer_value_includes_them():
    loads = EndpointLoads()
    loads.note("e1", 1000, LoadNotice(2, 0, 2, 100), 5.0)
    for _ in range(3):
        loads.note_sent("e1", 5.1)
    assert loads.known_load(RECORD, 0.1, 5.2).requests == 5
    loads.note("e1", 1000, LoadNotice(2, 1, 2, 100), 5.3)
    assert loads.known_load(RECORD, 0.1, 5.4).requests == 3


def test_poll_has_only_new_values_of_responses_to_this_router():
    """Values of the leader would otherwise circulate and seem newer than they are."""
    loads = EndpointLoads()
    for number in range(MAX_COLLECTED + 8):
        loads.note(f"e{number}", 1000, LoadNotice(2, number, 2, 100), 5.0)
    loads.apply(EndpointLoadReports(1, {"other": LoadReport(1000, 2, 9, 100, 0)}), 5.0)
    exchange = LoadExchange(ViewReplica(), loads)
    assert len(exchange.pack(5.1)) <= 8 + 8 * MAX_COLLECTED
    assert exchange.pack(5.2) is None
    loads.note("e1", 1000, LoadNotice(2, 0, 2, 100), 5.3)
    assert loads.collect(5.3 + MAX_AGE_S) == {}


@given(NOTICES, st.floats(0.0, 10.0), st.floats(0.001, 60.0))
def test_wait_is_bounded_and_falls_with_age(load, age_s, mean_s):
    """A wrong or huge value must stop counting after two seconds, whatever it says."""
    loads = EndpointLoads()
    loads.note("e1", 1000, load, 100.0)
    wait_s = loads.expected_wait_s(RECORD, mean_s, 100.0 + age_s)
    if age_s >= MAX_AGE_S:
        assert wait_s is None
    else:
        assert 0 <= wait_s <= loads.expected_wait_s(RECORD, mean_s, 100.0) < float("inf")
    reports = EndpointLoadReports(0, loads.collect(100.0))
    assert len(pack_loads(reports)) == 16


def test_unreadable_load_is_logged_once_for_each_instance():
    """Each response of a faulty endpoint may have it, and must not fill the log."""
    harness = DispatcherHarness()
    for _ in range(3):
        token = harness.call("prices", key=None)
        harness.dispatcher.on_notice(EndpointNoticed(token, malformed_load="-1,0,2"))
    lines = [e for e in harness.outbox.drain() if isinstance(e, LogEvent)]
    assert 1 <= sum(line.event == "bad-load" for line in lines) <= 2


def test_work_time_is_learnt_from_requests_that_did_not_wait():
    """Means that include waits would count the queue twice."""
    loads = EndpointLoads()
    for response_s, running, waiting in ((0.2, 1, 0), (3.0, 2, 9), (1.0, 2, 0)):
        loads.note("e1", 1000, LoadNotice(running, waiting, 2, 200), 5.0)
        loads.note_response("e1", "docs", response_s)
    assert loads.work_s_by_service == {"docs": 0.1}


def test_full_link_of_the_router_is_not_taken_for_work():
    """Waits at endpoints would be overestimated, and calls refused that could be in time."""
    loads = EndpointLoads()
    for number in range(200):
        loads.note("e1", 1000, LoadNotice(1, 0, 2, 100), 5.0)
        loads.note_response("e1", "docs", 0.1 if number % 4 == 0 else 0.5)
    assert loads.work_s_by_service["docs"] < 0.3
