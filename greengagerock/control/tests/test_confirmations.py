"""Tests of when changes are acknowledged."""

from greengagerock.control.confirmations import (
    ABANDONED,
    CONFIRMED,
    MAX_BACKLOG_WAIT_S,
    MAX_WAIT_PER_ITEM_S,
    MAX_WAIT_S,
    REACHABLE_WINDOW_S,
    TIMED_OUT,
    Confirmations,
)

# Operators expect an acknowledgement within this time.
ACKNOWLEDGED_WITHIN_S = 4.0


def build_confirmations(items=1):
    acknowledged = []
    confirmations = Confirmations(0.0)
    confirmations.note_change(7, items, 10.0)
    confirmations.call_when_confirmed(7, lambda outcome: acknowledged.append("ok"))
    return confirmations, acknowledged


def test_slow_router_delays_but_does_not_prevent_the_acknowledgement():
    confirmations, acknowledged = build_confirmations()
    for now_s in (10.1, 10.5):
        confirmations.advance([(7, now_s), (6, now_s)], now_s)
    assert acknowledged == []
    confirmations.advance([(7, 10.7), (6, 10.7)], 10.0 + MAX_WAIT_S + MAX_WAIT_PER_ITEM_S)
    assert acknowledged == ["ok"]


def test_many_items_extend_the_wait():
    confirmations, acknowledged = build_confirmations(items=1000)
    now_s = 10.0 + MAX_WAIT_S + 999 * MAX_WAIT_PER_ITEM_S
    confirmations.advance([(6, now_s)], now_s)
    assert acknowledged == []


def test_unreachable_router_is_not_awaited():
    confirmations, acknowledged = build_confirmations()
    confirmations.advance([(7, 10.1), (6, 10.0 - REACHABLE_WINDOW_S)], 10.1)
    assert acknowledged == ["ok"]


def test_resent_change_waits_for_the_first_one():
    confirmations, acknowledged = build_confirmations(items=1000)
    confirmations.call_when_confirmed(7, lambda outcome: acknowledged.append("again"))
    confirmations.advance([(6, 11.0)], 11.0)
    assert acknowledged == []
    confirmations.advance([(7, 11.5)], 11.5)
    assert acknowledged == ["ok", "again"]


def test_change_without_routers_is_acknowledged_immediately():
    confirmations, acknowledged = build_confirmations()
    confirmations.advance([], 10.0)
    assert acknowledged == ["ok"]


def test_new_leader_delays_acknowledgements_no_longer_than_operators_wait():
    """Operators try another controller after a second, and relayed requests time out before."""
    for sent_s in (0.0, 0.3, 0.59, 1.0, 1.19):
        confirmations, acknowledged = Confirmations(0.0), []
        confirmations.note_change(7, 1, sent_s)
        confirmations.call_when_confirmed(7, lambda outcome, a=acknowledged: a.append("ok"))
        confirmations.advance([(7, sent_s)], sent_s + MAX_WAIT_S + 2 * MAX_WAIT_PER_ITEM_S)
        assert acknowledged == ["ok"]
    confirmations, acknowledged = Confirmations(0.0), []
    confirmations.call_when_confirmed(7, lambda outcome: acknowledged.append("resent"))
    confirmations.advance([], MAX_WAIT_S - 0.01)
    assert acknowledged == []
    confirmations.advance([], MAX_WAIT_S)
    assert acknowledged == ["resent"]


def play_series(interval_s, duration_s, first_items=1):
    """Send changes beside a router that polls and stays behind; return the wait of each."""
    confirmations, waits_s, clock = Confirmations(-10.0), [], [0.0]
    count = round(duration_s / interval_s)
    for step in range(round(duration_s * 100) + 1500):
        now_s = step / 100
        number, is_due = divmod(step, round(interval_s * 100))
        if not is_due and number < count:
            confirmations.note_change(7 + number, first_items if number == 0 else 1, now_s)
            confirmations.call_when_confirmed(
                7 + number, lambda outcome, sent_s=now_s: waits_s.append(clock[0] - sent_s)
            )
        clock[0] = now_s
        confirmations.advance([(6, now_s)], now_s)
    assert len(waits_s) == count
    return waits_s


def test_later_changes_do_not_extend_the_wait():
    """The first of a series of 8 s was acknowledged after 8.5 s."""
    assert max(play_series(0.33, 8.0)) <= MAX_WAIT_S + 0.02


def test_small_change_does_not_wait_for_the_items_of_a_large_one():
    """A change 0.1 s after one of 1,400 items was acknowledged after 4.7 s."""
    waits_s = play_series(0.1, 2.0, first_items=1400)
    assert sorted(waits_s)[-2] <= MAX_WAIT_S + MAX_BACKLOG_WAIT_S + 0.02 < ACKNOWLEDGED_WITHIN_S
    assert max(waits_s) <= MAX_WAIT_S + 1400 * MAX_WAIT_PER_ITEM_S + 0.02


def test_resent_change_does_not_wait_for_later_ones():
    confirmations, outcomes = Confirmations(0.0), []
    confirmations.note_change(7, 1, 10.0)
    confirmations.note_change(8, 1000, 12.0)
    confirmations.call_when_confirmed(7, outcomes.append)
    confirmations.advance([(7, 12.1)], 12.1)
    assert outcomes == [CONFIRMED]


def test_change_that_is_resent_after_its_deadline_is_acknowledged_at_once():
    confirmations, outcomes = Confirmations(0.0), []
    confirmations.note_change(7, 1, 10.0)
    confirmations.call_when_confirmed(7, outcomes.append)
    confirmations.advance([(6, 11.0)], 11.0)
    confirmations.call_when_confirmed(7, outcomes.append)
    confirmations.advance([(6, 11.1)], 11.1)
    assert outcomes == [TIMED_OUT, TIMED_OUT]


def test_end_of_the_term_ends_all_waits():
    confirmations, outcomes = Confirmations(0.0), []
    confirmations.note_change(7, 1, 10.0)
    confirmations.call_when_confirmed(7, outcomes.append)
    confirmations.abandon()
    confirmations.advance([(7, 10.1)], 10.1)
    assert outcomes == [ABANDONED]
