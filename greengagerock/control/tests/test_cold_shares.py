"""Tests of what the leader derives from the reports of cold endpoints."""

from greengagerock.assignment import InstanceDirectory
from greengagerock.control.cold_shares import EXPECTATION_S, ColdShares
from greengagerock.control.limit_shares import LimitShares
from greengagerock.testing.item_builders import build_report
from greengagerock.view import LimitReport, LimitShare, decode_delta

SHARES = tuple[LimitShare, ...]


def test_each_report_moves_the_end_of_the_cold_phase_up_or_down():
    """An endpoint that is cold again kept the end of the earlier phase."""
    directory = InstanceDirectory()
    instance = directory.process_report(build_report("e1", 1, cold_s=3.0), 10.0).instance
    assert instance.cold_until_s == 13.0
    directory.process_report(build_report("e1", 2, cold_s=0.0), 11.0)
    assert instance.cold_until_s == 11.0
    directory.process_report(build_report("e1", 3, cold_s=2.5), 12.0)
    assert instance.cold_until_s == 14.5
    directory.process_report(build_report("e1", 2, cold_s=9.0), 12.5)
    assert instance.cold_until_s == 14.5


def test_routers_are_sent_only_changes_that_they_lack():
    shares = ColdShares()
    for number in range(30):
        assert shares.note_cold(f"e{number}", 1000, 3.5, 13.0, 10.0)
    assert len(shares.shares_for("r", 68, 0, True, 10.0)) == 30
    known = shares.number
    assert not shares.note_cold("e1", 1000, 3.5, 13.1, 10.5)
    assert shares.note_cold("e2", 1000, 3.5, 14.0, 10.5)
    assert shares.note_warm("e3", 1000, 10.5)
    changed = shares.shares_for("r", 68, known, True, 10.5)
    assert {share.endpoint: share.left_s for share in changed} == {"e2": 3.5, "e3": 0.0}


def test_numbers_of_a_later_term_are_higher_so_that_its_shares_replace_earlier_ones():
    earlier, later = LimitShares(0.0, 3), LimitShares(50.0, 4)
    for second in range(100):
        earlier.note_cold("e1", 1000, 3.5, 10.0 * second, float(second))
    later.note_cold("e1", 1000, 3.5, 3.0, 51.0)
    assert len(later.cold.shares_for("r", 68, earlier.cold.number, False, 51.0)) == 1


def test_expected_demand_counts_until_routers_have_reported_theirs():
    """The first reports come from some routers only and would let all of them send too much."""
    shares = ColdShares()
    shares.note_cold("e1", 1000, 3.5, 20.0, 10.0, expected_per_s=6.0)
    shares.on_reports("r1", {"e1": LimitReport(1000, 1, None, None)}, 10.5)
    assert shares.states["e1"].demand_per_s(11.2) == 6.0
    assert shares.states["e1"].demand_per_s(10.0 + EXPECTATION_S + 0.1) < 6.0


def test_demand_is_sent_again_only_when_it_has_changed_much():
    shares = ColdShares()
    shares.note_cold("e1", 1000, 3.5, 30.0, 10.0, expected_per_s=6.0)
    assert shares.publish_demands(10.1)
    number = shares.number
    assert not shares.publish_demands(11.0)
    assert shares.number == number
    for _ in range(20):
        shares.on_reports("r1", {"e1": LimitReport(1000, 1, None, None)}, 11.1)
    assert shares.publish_demands(11.2)
    assert shares.number == number + 1


def test_lull_in_the_reports_does_not_make_routers_send_more():
    """The mean over few reports was a sixth of the demand, just before the demand tripled."""
    shares = ColdShares()
    shares.note_cold("e1", 1000, 3.5, 30.0, 10.0, expected_per_s=6.0)
    shares.publish_demands(10.1)
    assert shares.states["e1"].demand_per_s(11.8) > 3.0
    assert shares.states["e1"].demand_per_s(25.0) < 0.5


def test_new_leader_sends_no_demand_before_all_routers_have_found_it():
    shares = LimitShares(10.0, 1)
    shares.note_cold("e1", 1000, 3.5, 9.0, 10.1, expected_per_s=1.0)
    (share,) = decode_delta(shares.cold_shares_for("r1", 68, 0, 10.5), SHARES)
    assert share.demand_per_s is None
    (share,) = decode_delta(shares.cold_shares_for("r1", 68, 0, 11.6), SHARES)
    assert share.demand_per_s is not None


def test_changes_are_packed_once_for_all_routers_and_anew_after_a_change():
    shares = ColdShares()
    shares.note_cold("e1", 1000, 3.5, 13.0, 10.0)
    first = shares.packed_for("r1", 730, 0, True, 10.0)
    assert shares.packed_for("r2", 730, 0, True, 10.05) is first
    assert shares.packed_for("r2", 730, shares.number, True, 10.05) is None
    shares.note_warm("e1", 1000, 10.06)
    (share,) = decode_delta(shares.packed_for("r1", 730, 0, True, 10.06), SHARES)
    assert share.left_s == 0.0
