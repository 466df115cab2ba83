"""Tests of the text form of configuration items."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagerock.core import StatementError
from greengagerock.items import EndpointWarmUp, EvacuationOrder, Items, ItemStore, Patch
from greengagerock.language.items import format_items, parse_items
from greengagerock.testing.item_builders import build_first_patch, build_route, build_service


def test_formatted_items_parse_to_the_same_items():
    store = ItemStore()
    store.apply_patch(build_first_patch())
    split = build_route("split", weighted_services=(("docs", 90), ("till", 10)), is_split=True)
    store.items.routes["split"] = split
    for number, warm_up in enumerate(
        [
            EndpointWarmUp(3.0, 3.5, "3s"),
            EndpointWarmUp(None, 4),
            EndpointWarmUp(0.5, 4.0, "500ms"),
        ]
    ):
        name = f"cold-{number}"
        store.items.services[name] = build_service(name, warm_up=warm_up)
    parsed = parse_items(format_items(store.items))
    assert {route.name: route for route in parsed.routes} == store.items.routes
    assert {service.name: service for service in parsed.services} == store.items.services
    assert parsed.limits == store.items.limits


# Durations as they are stored: whole nanoseconds up to about 32 years.
_durations_s = st.floats(1e-9, 1e9).map(lambda seconds: round(seconds, 9))


@given(_durations_s, _durations_s, st.floats(1e-12, 1e12))
def test_no_digit_of_a_duration_or_weight_is_lost(timeout_s, objective_s, weight):
    route = build_route(
        weighted_services=(("docs", weight), ("till", 0.1)),
        is_split=True,
        timeout_s=timeout_s,
        objective_s=objective_s,
    )
    assert parse_items(format_items(Items({"balance": route}))).routes == (route,)


@pytest.mark.parametrize("text", ["1.2345678901s", "0.0000001ms"])
def test_a_duration_that_would_be_rounded_is_refused(text):
    with pytest.raises(StatementError, match="whole number of nanoseconds"):
        parse_items(f"set limits version 1 headers 9 body 9 header_timeout {text} idle_timeout 3s")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "set route",
        "set route a version x",
        "set service till version 1 health /h connections 5 set",
        "drop service till",
        "set service till version 1 health /h connections 5 warm_up",
    ],
)
def test_invalid_statement_is_a_syntax_error(text):
    with pytest.raises(StatementError) as caught:
        parse_items(text)
    assert caught.value.code == "syntax-error"


def test_evacuations_are_statements_and_are_listed():
    text = 'evacuate zone "zone 1"; end evacuation of zone b'
    orders = (EvacuationOrder("zone 1", True), EvacuationOrder("b", False))
    assert parse_items(text).evacuations == orders
    assert parse_items(format_items(Items(evacuations={"b": 4}))) == Patch(
        evacuations=(EvacuationOrder("b", True),)
    )
