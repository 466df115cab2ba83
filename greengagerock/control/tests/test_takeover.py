"""What a new leader learns from reports that are late, doubled, or of an endpoint at work."""

import pytest

from greengagerock.testing.takeover_model import HOLD_S, TakeoverModel

# After this time all keys have holders, and none moves any more.
SETTLED_S = 12.0


@pytest.fixture
def model():
    """Return a settled model of four endpoints."""
    built = TakeoverModel()
    built.run_for(SETTLED_S)
    assert built.unheld_count() == 0
    return built


@pytest.mark.parametrize("cause", ["evacuation", "drain"])
def test_keys_at_work_stay_after_a_change_of_leader_until_the_hold_ends(model, cause):
    """Keys were granted to others while the endpoint was at work on them (review/3)."""
    source = model.endpoints[0]
    model.work(source, 40, 4.0)
    if cause == "evacuation":
        model.evacuate(source.zone, True)
    else:
        source.draining = True
    model.change_leader()
    model.run_for(SETTLED_S)
    assert model.problems == []
    assert not source.holds


def test_holder_keeps_its_keys_over_changes_of_leader(model):
    held = {endpoint.name: model.held_by(endpoint) for endpoint in model.endpoints}
    for _ in range(5):
        model.change_leader()
        model.run_for(HOLD_S / 3)
        assert {e.name: model.held_by(e) for e in model.endpoints} == held
    assert model.problems == []
