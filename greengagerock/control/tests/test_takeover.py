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


def join_with_late_report(model):
    """Let a report of the only holder of all keys be late, and other endpoints join."""
    first = model.endpoints[0]
    first.mode = "late"
    for _ in range(3):
        model.join()
    model.run_for(SETTLED_S)
    assert all(model.held_by(endpoint) for endpoint in model.endpoints)
    return first


def test_late_report_gives_no_keys_back_that_have_moved_on():
    """The endpoint got all keys of its late report again, which others held (review/2)."""
    model = TakeoverModel(endpoint_count=1)
    model.run_for(SETTLED_S)
    first = join_with_late_report(model)
    model.change_leader()
    model.deliver_late(0)
    model.run_for(SETTLED_S)
    assert model.problems == []
    assert model.unheld_count() == 0
    assert first.holds


@pytest.mark.parametrize("is_proof_late", [False, True])
def test_late_report_that_drains_frees_no_keys_that_others_hold(is_proof_late):
    """Its keys became free as soon as a newer report no longer listed them."""
    model = TakeoverModel(endpoint_count=1)
    model.run_for(SETTLED_S)
    first = model.endpoints[0]
    first.draining = True
    first.mode = "late"
    first.next_report_s = model.now_s
    model.run_for(0.2)
    first.draining = False
    for _ in range(3):
        model.join()
    model.run_for(SETTLED_S)
    first.draining = True
    model.change_leader()
    model.deliver_late(0)
    first.mode = "unanswered" if is_proof_late else "prompt"
    model.run_for(SETTLED_S)
    assert model.problems == []


@pytest.mark.parametrize("keeps_name", [False, True])
def test_late_report_of_an_earlier_run_frees_no_keys_that_others_hold(keeps_name):
    """The first report of the later run proved the end of the earlier one and freed its keys."""
    model = TakeoverModel(endpoint_count=1)
    model.run_for(SETTLED_S)
    first = join_with_late_report(model)
    model.restart(first, keeps_name)
    model.run_for(SETTLED_S)
    model.change_leader()
    model.deliver_late(0)
    model.run_for(SETTLED_S)
    assert model.problems == []
    assert model.unheld_count() == 0


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


@pytest.mark.parametrize("cause", ["evacuation", "drain"])
def test_keys_leave_soon_after_a_change_of_leader(model, cause):
    """A new leader does not wait for the end of all holds once a report is proven to be new."""
    source = model.endpoints[0]
    if cause == "evacuation":
        model.evacuate(source.zone, True)
    else:
        source.draining = True
    model.change_leader()
    model.run_for(HOLD_S / 2)
    assert model.problems == []
    assert not source.holds
    assert model.unheld_count() == 0


def test_holder_keeps_its_keys_over_changes_of_leader(model):
    held = {endpoint.name: model.held_by(endpoint) for endpoint in model.endpoints}
    for _ in range(5):
        model.change_leader()
        model.run_for(HOLD_S / 3)
        assert {e.name: model.held_by(e) for e in model.endpoints} == held
    assert model.problems == []


def test_fence_of_a_probe_is_not_used_again(model):
    """The endpoint may have accepted the fence and ended before it reported it."""
    source = model.endpoints[0]
    # More fences in a term than its range has.
    model.leader.assignments_by_service["till"].highest_fence = 1 << 20
    model.drain(source)
    model.run_for(SETTLED_S)
    model.change_leader()
    model.run_for(1.1)
    for endpoint in model.endpoints[1:3]:
        model.crash(endpoint)
    model.run_for(4 * HOLD_S)
    assert model.problems == []
    assert model.unheld_count() == 0
