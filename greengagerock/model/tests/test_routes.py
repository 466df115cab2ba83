"""Tests that merged deltas have the same effect as the same deltas applied one by one."""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.model import OwnedUnit, Owner, RouteDelta, Routes, Unit, merge_deltas
from greengagerock.testing.model_builders import build_endpoint, build_service

steps = st.one_of(
    st.tuples(st.just("own"), st.integers(0, 3), st.sampled_from("abc")),
    st.tuples(st.just("pin"), st.integers(0, 3), st.sampled_from("abc")),
    st.tuples(st.just("unpin"), st.integers(0, 3)),
    st.tuples(st.just("put"), st.sampled_from("abc")),
    st.tuples(st.just("drop"), st.sampled_from("abc")),
    st.tuples(st.just("recreate"), st.booleans()),
)


def to_delta(step, base):
    version = base + 1
    match step:
        case ("own", slot, name):
            owned = OwnedUnit(Unit("till", slot), Owner(name, version))
            return RouteDelta(base, version, owners=(owned,))
        case ("pin", slot, name):
            owned = OwnedUnit(Unit("till", slot, "k"), Owner(name, version))
            return RouteDelta(base, version, owners=(owned,))
        case ("unpin", slot):
            return RouteDelta(base, version, unpinned=(Unit("till", slot, "k"),))
        case ("put", name):
            endpoint = build_endpoint(name, since=version)
            return RouteDelta(base, version, endpoints=(endpoint,))
        case ("drop", name):
            return RouteDelta(base, version, dropped_endpoints=(name,))
        case ("recreate", keyed):
            service = build_service(slots=4 if keyed else 0)
            return RouteDelta(base, version, services=(service,), dropped_services=("till",))


def contents(routes):
    return (
        routes.version,
        dict(routes.services),
        dict(routes.endpoints),
        {name: list(owners) for name, owners in routes.owners.items()},
        dict(routes.pins),
    )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(steps, min_size=1, max_size=20), st.integers(0, 20))
def test_merged_deltas_have_the_same_effect(chosen_steps, split):
    initial = RouteDelta(0, 1, services=(build_service(slots=4),))
    one_by_one, merged = Routes(), Routes()
    deltas = [to_delta(step, base) for base, step in enumerate(chosen_steps, 1)]
    for routes in (one_by_one, merged):
        routes.apply(initial)
    for delta in deltas:
        assert one_by_one.apply(delta)
    for part in (deltas[:split], deltas[split:]):
        if part:
            assert merged.apply(merge_deltas(part))
    assert contents(merged) == contents(one_by_one)
    rebuilt = Routes()
    rebuilt.apply(merged.full_delta())
    assert contents(rebuilt) == contents(merged)


def test_delta_that_does_not_follow_is_ignored():
    routes = Routes()
    routes.apply(RouteDelta(0, 5, services=(build_service(slots=4),)))
    assert not routes.apply(RouteDelta(6, 7))
    assert not routes.apply(RouteDelta(3, 4))
    assert routes.version == 5
