"""Tests of the choice of an endpoint for a request that any endpoint can run."""

from collections import Counter

from greengagerock.routing.observations import MIN_OWN_RESPONSES
from greengagerock.testing.picker_builders import build_picker


def load(picker, records, observations, objective_s, count=6):
    """Send ``count`` requests that stay in flight, and return how many went to each zone."""
    zones = Counter()
    for _ in range(count):
        record = picker.pick(records, (), 0, objective_s, 0.0)
        observations.observation_of(record.name).note_sent(0.0)
        zones[record.zone] += 1
    return zones


def test_local_zone_is_preferred():
    picker, records, observations = build_picker("ab")
    assert load(picker, records, observations, 0.2, 1) == {"a": 1}


def test_tighter_objective_crosses_zones_sooner():
    """Each request in flight costs 20 ms at an endpoint with three slots and a mean of 60 ms."""
    assert load(*build_picker("ab"), 0.08)["b"] >= 2
    assert load(*build_picker("ab"), 0.8) == {"a": 6}


def test_zone_whose_endpoints_become_late_gets_help_from_the_others():
    """All callers are in zone a; its endpoint has room for three requests at once."""
    picker, records, observations = build_picker("ab")
    zones = load(picker, records, observations, 0.4, 9)
    assert zones["b"] >= 3
    assert zones["a"] > zones["b"]


def test_without_preference_all_zones_are_alike():
    picker, records, observations = build_picker("ab")
    picker.zone_preference = 0.0
    zones = load(picker, records, observations, 0.4, 12)
    assert zones["a"] == zones["b"] == 6


def test_faster_endpoint_gets_more_requests():
    picker, records, observations = build_picker("aa")
    observation = observations.observation_of("e0")
    observation.own_mean_s, observation.own_response_weight = 0.2, MIN_OWN_RESPONSES
    names = Counter()
    for _ in range(8):
        record = picker.pick(records, (), 0, 0.1, 0.0)
        observations.observation_of(record.name).note_sent(0.0)
        names[record.name] += 1
    assert names["e1"] > names["e0"]


def test_tried_and_unreachable_endpoints_are_excluded():
    picker, records, observations = build_picker("aab")
    observations.observation_of("e0").is_unreachable = True
    observations.observation_of("e0").last_probe_s = 10.0
    assert picker.pick(records, ("e1",), 0, 0.1, 10.1).name == "e2"
    picker.paths.timers.advance(10.1)
    assert picker.pick(records[:1], (), 0, 0.1, 10.1) is None
    picker.paths.timers.advance(10.5)
    assert picker.pick(records[:1], (), 0, 0.1, 10.5).name == "e0"
