"""Tests of the planner of hot units with reports in virtual time."""

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from greengagerock.assignment.hot_units import MAX_UNITS_PER_REPORT, RETURN_AFTER_S
from greengagerock.assignment.response_size import MAX_ROWS_BYTES
from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.control.hot_key_log import log_hot_units
from greengagerock.testing.assignment_run import AssignmentRun, shortest_stay_s

BASE_RATES = {block: 0.03 for block in range(0, 8192, 2)}
SETTLE_S = 6.0
HOT_PERIODS = st.lists(
    st.tuples(
        st.integers(0, 8000), st.integers(1, 25), st.floats(5.0, 120.0), st.floats(0.3, 4.0)
    ),
    min_size=1,
    max_size=4,
)


def build_run(endpoint_count=24):
    run = AssignmentRun(endpoint_count, dict(BASE_RATES))
    run.run_for(SETTLE_S)
    run.assignments.weights.mean_response_s = 0.1
    run.grants.clear()
    run.releases.clear()
    return run


@settings(max_examples=10, deadline=None, phases=[Phase.generate])
@given(HOT_PERIODS)
def test_units_stay_two_seconds_and_moves_of_a_report_are_bounded(periods):
    run = build_run()
    for first, count, rate, seconds in periods:
        run.rates = BASE_RATES | {block: rate for block in range(first, first + count)}
        run.run_for(seconds)
    assert shortest_stay_s(run.grants) >= 2.0
    assert max(run.releases) <= MAX_UNITS_PER_REPORT
    assert run.largest_response <= MAX_ROWS_BYTES


class LogRecorder:
    """Keeps the names of logged events."""

    def __init__(self):
        self.events = []

    def log(self, event, **fields):
        self.events.append((event, fields.get("key")))


def test_units_of_a_hot_keys_holder_leave_in_time_and_return_once():
    run = build_run()
    holder = run.assignments.owners[4000]
    before = set(run.assignments.held[holder])
    run.rates = BASE_RATES | {4000: 100.0}
    run.run_for(3.0)
    assert run.assignments.held[holder] == {4000}
    log = LogRecorder()
    log_hot_units("till", run.assignments.hot_units, log, run.now_s)
    assert ("hot-key-isolated", 4000 * KEYS_PER_UNIT) in log.events
    run.rates = dict(BASE_RATES)
    run.run_for(RETURN_AFTER_S + 15.0)
    assert run.assignments.held[holder] == before
    log_hot_units("till", run.assignments.hot_units, log, run.now_s)
    assert log.events[-1] == ("hot-key-cooled", 4000 * KEYS_PER_UNIT)
    moved = [unit for _, unit, _ in run.grants]
    assert sorted(moved) == sorted([*(before - {4000}), *(before - {4000})])


def test_hot_key_that_comes_and_goes_moves_the_other_units_only_once():
    """Units that return between two bursts of a key would leave again with the next one."""
    run = build_run()
    for _ in range(5):
        run.rates = BASE_RATES | {4000: 100.0}
        run.run_for(4.0)
        run.rates = dict(BASE_RATES)
        run.run_for(8.0)
    assert len(run.grants) == len({unit for _, unit, _ in run.grants})
