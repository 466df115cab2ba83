"""Items as text."""

import pytest

from greengagerock.core import StatementError
from greengagerock.items import ItemStore
from greengagerock.language.items import format_items, parse_items
from greengagerock.testing.item_builders import build_first_patch, build_route


def test_items_are_read_back_as_they_were_written():
    store = ItemStore()
    store.decide(build_first_patch())
    split = build_route("split", parts=(("docs", 90), ("till", 10)), is_split=True)
    store.items.routes["split"] = split
    again = parse_items(format_items(store.items))
    assert {route.name: route for route in again.routes} == store.items.routes
    assert {service.name: service for service in again.services} == store.items.services
    assert again.limits == store.items.limits


@pytest.mark.parametrize(
    "text",
    [
        "",
        "set route",
        "set route a version x",
        "set service till version 1 health /h connections 5 set",
        "drop service till",
    ],
)
def test_faulty_statement(text):
    with pytest.raises(StatementError) as raised:
        parse_items(text)
    assert raised.value.code == "syntax-error"
