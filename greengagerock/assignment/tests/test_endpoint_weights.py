"""Tests of weights by response time."""

from greengagerock.assignment.endpoint_weights import ADJUST_INTERVAL_S, EndpointWeights


def test_responses_are_kept_until_there_are_enough():
    """On a site of two hundred endpoints, each gets only a few requests per second."""
    weights = EndpointWeights()
    for number in range(1, 5):
        for name, mean_s in (("slow", 0.6), ("usual", 0.3), ("fast", 0.2)):
            weights.add_responses(name, 7, mean_s)
        weights.adjust(number * ADJUST_INTERVAL_S)
    assert weights.weight("slow") < weights.weight("usual") < weights.weight("fast")
