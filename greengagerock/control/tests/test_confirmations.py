"""Tests of when changes are acknowledged."""

from greengagerock.control.confirmations import (
    MAX_WAIT_PER_ITEM_S,
    MAX_WAIT_S,
    REACHABLE_WINDOW_S,
    Confirmations,
)


def build_confirmations(items=1):
    acknowledged = []
    confirmations = Confirmations(0.0)
    confirmations.note_change(7, items, 10.0)
    confirmations.call_when_confirmed(lambda: acknowledged.append("ok"))
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
    confirmations.call_when_confirmed(lambda: acknowledged.append("again"))
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
        confirmations.call_when_confirmed(lambda a=acknowledged: a.append("ok"))
        confirmations.advance([(7, sent_s)], sent_s + MAX_WAIT_S + 2 * MAX_WAIT_PER_ITEM_S)
        assert acknowledged == ["ok"]
    confirmations, acknowledged = Confirmations(0.0), []
    confirmations.call_when_confirmed(lambda: acknowledged.append("resent"))
    confirmations.advance([], MAX_WAIT_S - 0.01)
    assert acknowledged == []
    confirmations.advance([], MAX_WAIT_S)
    assert acknowledged == ["resent"]
