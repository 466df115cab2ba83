"""No response is too long to be taken, and no grant waits for ever for an endpoint to take it."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from greengagerock.assignment import GrantRow, ReportResponse
from greengagerock.assignment.response_size import ENVELOPE_BYTES, MAX_TAKEN_BYTES, rows_bytes
from greengagerock.platform.wire_reports import encode_report_response
from greengagerock.testing.changing_endpoints import DRAIN_S, HOLD_S, ChangingEndpoints
from greengagerock.web.control_application import NativeControlDialect

ENCODERS = [encode_report_response, NativeControlDialect().encode_report_response]
# Terms whose fences have 5 and 14 digits.
TERMS = (1, 1 << 30)
# Time from the last change until all keys have a holder: a hold that runs out, with the drift of
# a clock, some reports, and grants that were not taken.
RECOVERY_S = 1.02 * HOLD_S + 8.0
_START_S = 8.0
MODEL_EXAMPLES = 12


def start(endpoint_count, token_length, encode=encode_report_response, term=1):
    """Return endpoints that hold all keys."""
    run = ChangingEndpoints(encode, token_length, term)
    run.join(endpoint_count)
    run.run_for(_START_S)
    assert run.count_unheld() == 0
    return run


@pytest.mark.parametrize("term", TERMS)
@pytest.mark.parametrize("token_length", [0, 16, 64])
@pytest.mark.parametrize("encode", ENCODERS)
def test_last_endpoint_gets_the_keys_of_all_that_leave(encode, token_length, term):
    """Each response was longer than 4 KiB, so that no key was served any more."""
    run = start(3, token_length, encode, term)
    for endpoint in run.endpoints[1:]:
        run.leave(endpoint)
    run.run_for(DRAIN_S + 6.0)
    assert run.untaken_count == 0
    assert run.count_unheld() == 0


@pytest.mark.parametrize("token_length", [16, 32])
def test_tokens_are_not_dropped_to_save_room(token_length):
    """Keys that arrive without their token are slow; those that do not fit come a report later."""
    run = start(2, token_length)
    run.leave(run.endpoints[1])
    run.run_for(DRAIN_S + 6.0)
    assert run.count_unheld() == 0
    assert run.assignments.room.dropped_token_count == 0


def test_keys_that_would_wait_for_several_reports_come_without_tokens():
    run = start(3, 64, term=TERMS[-1])
    for endpoint in run.endpoints[1:]:
        run.leave(endpoint)
    run.run_for(DRAIN_S - 0.5)
    assert run.count_unheld() == 0
    assert run.assignments.room.dropped_token_count > 0


@pytest.mark.parametrize("leaving_count", [4, 12, 24])
def test_many_of_25_endpoints_leave_at_once(leaving_count):
    run = start(25, 64)
    for endpoint in run.endpoints[:leaving_count]:
        run.leave(endpoint)
    run.run_for(DRAIN_S + 6.0)
    assert run.untaken_count == 0
    assert run.count_unheld() == 0


def test_endpoint_that_does_not_get_its_responses_loses_the_grants():
    run = start(2, 16)
    run.join()
    # More than it takes until the grant is ended, released and given to another endpoint.
    run.endpoints[-1].lost_responses = 100
    run.run_for(RECOVERY_S)
    assert run.count_unheld() == 0


def test_units_that_an_endpoint_refuses_go_to_another_one():
    """The same row was sent again with each response."""
    run = start(3, 16)
    for endpoint in run.endpoints[:2]:
        run.refuse(endpoint, 0, 200)
    run.leave(run.endpoints[2])
    run.run_for(1.0)
    run.join()
    run.run_for(RECOVERY_S)
    assert run.count_unheld() == 0


@given(
    st.binary(max_size=40).map(lambda data: data.decode("latin-1")),
    st.integers(0, 2**63 - 1),
    st.floats(0.001, 1e6),
    st.integers(0, 200),
)
@settings(deadline=None)
def test_a_body_is_not_longer_than_it_is_reckoned(token, fence, hold_s, row_count):
    rows = tuple(GrantRow(65_528, 65_535, fence, token) for _ in range(row_count))
    for encode in ENCODERS:
        size = len(encode(ReportResponse("", rows, hold_s)))
        assert size <= rows_bytes(rows) + ENVELOPE_BYTES


_changes = st.lists(
    st.tuples(
        st.sampled_from(["join", "leave", "crash", "refuse", "lose"]),
        st.integers(0, 63),
        st.sampled_from([0.1, 0.5, 1.3, 4.0]),
    ),
    min_size=1,
    max_size=12,
)


@given(st.integers(1, 12), st.sampled_from([0, 16, 64]), st.sampled_from(TERMS), _changes)
@settings(
    deadline=None,
    max_examples=MODEL_EXAMPLES,
    derandomize=True,
    # Examples take seconds, too long to shrink them.
    phases=(Phase.explicit, Phase.generate),
)
def test_all_keys_have_a_holder_again_after_any_changes(count, token_length, term, changes):
    run = start(count, token_length, term=term)
    for change, number, pause_s in changes:
        endpoint = run.endpoints[number % len(run.endpoints)]
        # One endpoint without refusals remains, which can take all keys.
        is_last = endpoint is run.endpoints[0]
        if change == "join":
            run.join(1 + number % 3)
        elif change == "lose":
            endpoint.lost_responses = number % 8
        elif change == "refuse" and not is_last:
            run.refuse(endpoint, 128 * number, 128 * number + number)
        elif change == "leave" and not is_last:
            run.leave(endpoint)
        elif change == "crash" and not is_last:
            run.crash(endpoint)
        run.run_for(pause_s)
    run.run_for(DRAIN_S)
    assert run.time_until_all_held_s(RECOVERY_S) < RECOVERY_S
    assert run.untaken_count == 0 and run.largest_body <= MAX_TAKEN_BYTES
