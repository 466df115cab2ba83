"""Units that an endpoint refuses, beside responses that are lost."""

import pytest

from greengagerock.platform.wire_reports import encode_report_response
from greengagerock.testing.changing_endpoints import DRAIN_S, HOLD_S, ChangingEndpoints

START_S = 8.0
# A hold that runs out, with the drift of a clock, some reports, and grants that were not taken.
RECOVERY_S = 1.02 * HOLD_S + 8.0


@pytest.mark.parametrize("term", [1, 1 << 30])
def test_refused_units_do_not_return_to_the_same_endpoint_beside_lost_responses(term):
    """Both endpoints are avoided then, so that the one that refuses gets the units again."""
    run = ChangingEndpoints(encode_report_response, 16, term)
    run.join(3)
    run.run_for(START_S)
    other, leaver, refuser = run.endpoints
    run.leave(leaver)
    other.lost_responses = 6
    run.refuse(refuser, 6016, 6063)
    run.run_for(DRAIN_S)
    assert run.time_until_all_held_s(RECOVERY_S) < RECOVERY_S
