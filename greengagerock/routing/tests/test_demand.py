"""Tests of the counts of requests by block of keys."""

from hypothesis import given
from hypothesis import strategies as st

from greengagerock.routing.demand import KeyDemand


def test_requests_of_a_long_route_count_by_their_work():
    """An endpoint that runs the long requests of a few keys is full at a low request rate."""
    demand = KeyDemand()
    for _ in range(10):
        demand.note_response("till", "short", 0.1)
        demand.note_response("till", "long", 0.7)
    for _ in range(8):
        demand.count("till", 0, "short")
        demand.count("till", 800, "long")
    assert demand.collect() == {"till": {0: 2, 100: 14}}


@given(st.lists(st.integers(0, 2000), max_size=60), st.floats(0.05, 3.0))
def test_whole_numbers_of_reports_add_up_to_the_work(keys, long_s):
    demand = KeyDemand(max_blocks=16)
    for _ in range(10):
        demand.note_response("till", "short", 0.1)
        demand.note_response("till", "long", long_s)
    reported, total = 0, 0.0
    for key in keys:
        demand.count("till", key, "long")
        total += demand.route_work.weight("till", "long")
        reported += sum(demand.collect().get("till", {}).values())
    assert total - 1.0 < reported <= total + 1e-6
