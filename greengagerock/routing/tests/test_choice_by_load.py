"""Tests of the choice of an endpoint by the load that endpoints state."""

from collections import Counter

import pytest

from greengagerock.core.interface import LoadNotice
from greengagerock.routing.observations import MIN_OWN_RESPONSES
from greengagerock.testing.picker_builders import build_picker


def picks(picker, records, now_s, count=60):
    """Return how often each endpoint is picked while nothing else is learnt."""
    chosen = (picker.pick(records, (), 0, 0.2, now_s).name for _ in range(count))
    return Counter(chosen)


def test_full_endpoint_is_avoided_until_its_value_expires():
    """This router has no request there, so without the value both would look alike."""
    picker, records, observations = build_picker("aa")
    observations.loads.note("e0", 0, LoadNotice(3, 9, 3, 100), 5.0)
    assert picks(picker, records, 5.5) == {"e1": 60}
    # Of equal costs the first one counts.
    assert picks(picker, records, 7.5) == {"e0": 60}


def test_slow_endpoint_is_avoided():
    picker, records, observations = build_picker("aa")
    observations.loads.note("e0", 0, LoadNotice(1, 0, 3, 300), 5.0)
    observations.loads.note("e1", 0, LoadNotice(1, 0, 3, 100), 5.0)
    assert picks(picker, records, 5.1) == {"e1": 60}


def test_unknown_load_does_not_mean_idle():
    """An endpoint that usually answers late must not be preferred because it states no load."""
    picker, records, observations = build_picker("aa")
    observation = observations.observation_of("e0")
    observation.own_mean_s, observation.own_response_weight = 0.2, MIN_OWN_RESPONSES
    observations.loads.note("e1", 0, LoadNotice(3, 1, 3, 100), 5.0)
    assert picks(picker, records, 5.1) == {"e1": 60}


def test_own_requests_since_the_value_count():
    """One value must not draw all requests of this router until the next value."""
    picker, records, observations = build_picker("aa")
    for name in ("e0", "e1"):
        observations.loads.note(name, 0, LoadNotice(0, 0, 3, 100), 5.0)
    names = Counter()
    for _ in range(10):
        name = picker.pick(records, (), 0, 0.2, 5.1).name
        observations.note_sent(name, 5.1)
        names[name] += 1
    assert names == {"e0": 5, "e1": 5}


@pytest.mark.parametrize("age_s", [0.5, 1.2, 1.9])
def test_idle_value_counts_less_the_older_it_is(age_s):
    """Routers must not all send to an endpoint that was idle more than a second ago."""
    picker, records, observations = build_picker("aa")
    observations.loads.work_s_by_service["docs"] = 0.02
    observations.loads.note("e0", 0, LoadNotice(0, 0, 3, 100), 5.0)
    cost_s = picker._cost_s(records[0], 0.0, 5.0 + age_s)
    weight = min(1.0, 2.0 - age_s)
    assert cost_s == pytest.approx(weight * 0.02 + (1 - weight) * 0.06)
