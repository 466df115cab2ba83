"""Builders of endpoint loads for tests of which units move."""

from hypothesis import strategies as st

from greengagerock.assignment.rebalancing import EndpointLoad

# Number of units between the first units of two endpoints.
UNITS_APART = 100


def never_aligned(source, target):
    """Return that no two endpoints report one after the other."""
    return False


@st.composite
def endpoint_loads(draw):
    """Draw loads of up to eight endpoints; the first has hot units and ten others."""
    endpoints = []
    for number in range(draw(st.integers(2, 8))):
        weight = draw(st.floats(0.4, 2.0))
        rate = weight * draw(st.floats(0.0, 40.0))
        endpoints.append(EndpointLoad(f"e{number}", rate, weight, draw(st.integers(20, 130)), []))
    rates = draw(st.lists(st.floats(4.0, 200.0), min_size=1, max_size=6))
    endpoints[0].hot_units = list(enumerate(rates))
    endpoints[0].rate += sum(rates)
    return endpoints


def build_other_units(rate):
    """Return ten units in two runs, each with a rate."""
    return [(unit, rate) for unit in (*range(20, 26), *range(40, 44))]
