"""Tests of the endpoints' response times that the leader sends to routers."""

from greengagerock.control.response_times import (
    MAX_LISTED_ENDPOINTS,
    PUBLISH_INTERVAL_S,
    ResponseTimes,
)
from greengagerock.routing.observations import INITIAL_MEAN_S, EndpointObservations
from greengagerock.view import EndpointRecord, EndpointsDelta, ViewReplica, decode_delta
from greengagerock.view.messages import EndpointResponseTimes


def test_message_stays_small_on_a_large_site():
    times = ResponseTimes(term=3)
    for number in range(2000):
        times.note("till", f"i-{number:010x}", 5, 0.05 + 0.001 * number, 0.0)
    times.publish(PUBLISH_INTERVAL_S)
    times_message = decode_delta(times.packed, EndpointResponseTimes)
    assert len(times_message.endpoints) == MAX_LISTED_ENDPOINTS
    assert len(times.packed) < 1024


def test_old_responses_lose_their_weight():
    times = ResponseTimes(term=1)
    times.note("till", "a", 20, 1.0, 0.0)
    times.note("till", "b", 20, 0.1, 0.0)
    times.note("till", "a", 20, 0.1, 6.0)
    times.note("till", "b", 20, 0.1, 6.0)
    assert times.summary().endpoints == {}


def test_router_without_own_responses_uses_the_means_of_other_routers():
    """An endpoint that usually takes a third of a second must not count as silent."""
    replica = ViewReplica()
    records = (
        EndpointRecord("a", "a:1", "till", "z", 3),
        EndpointRecord("b", "b:1", "till", "z", 3),
    )
    replica.apply_endpoints(EndpointsDelta(1, 0, 1, True, records))
    observations = EndpointObservations(replica.shared_mean_s)
    assert observations.observation_of("a").mean_response_s == INITIAL_MEAN_S
    replica.response_times = EndpointResponseTimes(1, {"till": 330}, {"b": 900})
    assert (
        observations.observation_of("a").mean_response_s,
        observations.observation_of("b").mean_response_s,
    ) == (0.33, 0.9)
    observation = observations.observation_of("a")
    observation.note_sent(0.0)
    assert not observation.is_doubtful(1.2)
    for _ in range(40):
        observation.note_response(0.1, None, 1.3)
    assert abs(observation.mean_response_s - 0.1) < 0.01
