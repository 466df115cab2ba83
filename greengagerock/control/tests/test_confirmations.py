"""When changes are acknowledged."""

from greengagerock.control.confirmations import (
    IN_TOUCH_S,
    WAIT_PER_ITEM_S,
    WAIT_S,
    Confirmations,
)


def build_waiting(items=1):
    told = []
    desk = Confirmations()
    desk.note_change(7, items, 10.0)
    desk.acknowledge(lambda: told.append("ok"))
    return desk, told


def test_slow_router_delays_but_does_not_prevent():
    desk, told = build_waiting()
    for now_s in (10.1, 10.5):
        desk.advance([(7, now_s), (6, now_s)], now_s)
    assert told == []
    desk.advance([(7, 10.7), (6, 10.7)], 10.0 + WAIT_S + WAIT_PER_ITEM_S)
    assert told == ["ok"]


def test_many_items_may_take_longer():
    desk, told = build_waiting(items=1000)
    now_s = 10.0 + WAIT_S + 999 * WAIT_PER_ITEM_S
    desk.advance([(6, now_s)], now_s)
    assert told == []


def test_router_out_of_touch_is_not_waited_for():
    desk, told = build_waiting()
    desk.advance([(7, 10.1), (6, 10.0 - IN_TOUCH_S)], 10.1)
    assert told == ["ok"]


def test_change_that_is_sent_again_waits_for_the_first_one():
    desk, told = build_waiting(items=1000)
    desk.acknowledge(lambda: told.append("again"))
    desk.advance([(6, 11.0)], 11.0)
    assert told == []
    desk.advance([(7, 11.5)], 11.5)
    assert told == ["ok", "again"]


def test_without_routers_it_is_acknowledged_at_once():
    desk, told = build_waiting()
    desk.advance([], 10.0)
    assert told == ["ok"]
