"""Tests of the grants of an endpoint."""

from greengagerock.agent.grant_table import GrantTable
from greengagerock.model import AnnouncementReply, GrantedUnit


def reply(version, *units, lease_s=1.5):
    return AnnouncementReply(lease_s, version, tuple(GrantedUnit(u, f) for u, f in units))


def build_grants():
    grant_table = GrantTable()
    grant_table.apply_reply(reply(10, ("1", 5), ("2", 6)), 0.0, 0.0)
    return grant_table


def test_lower_fence_is_refused():
    grant_table = build_grants()
    assert not grant_table.start_request("1", 4, 0.1)
    assert grant_table.start_request("1", 5, 0.1)


def test_newer_fence_than_received_is_accepted_and_older_then_refused():
    grant_table = build_grants()
    assert grant_table.start_request("1", 11, 0.1)
    assert not grant_table.start_request("1", 5, 0.1)


def test_unit_granted_elsewhere_is_refused_by_its_old_fence():
    grant_table = build_grants()
    grant_table.apply_reply(reply(20, ("2", 6)), 0.1, 0.2)
    assert not grant_table.start_request("1", 5, 0.3)
    assert grant_table.applied_version == 20


def test_revocation_is_applied_only_after_running_requests_have_ended():
    grant_table = build_grants()
    assert grant_table.start_request("1", 5, 0.1)
    grant_table.apply_reply(reply(20, ("2", 6)), 0.1, 0.2)
    assert grant_table.applied_version == 10
    assert not grant_table.still_owns("1", 5, 0.2)
    grant_table.end_request("1")
    assert grant_table.applied_version == 20


def test_endpoint_that_resumes_after_its_lease_has_no_grants():
    grant_table = build_grants()
    assert not grant_table.start_request("1", 5, 1.5)
    assert grant_table.applied_version == 0
    assert not grant_table.start_request("1", 30, 1.6)


def test_reply_that_took_longer_than_its_lease_is_ignored():
    grant_table = GrantTable()
    grant_table.apply_reply(reply(10, ("1", 5)), 0.0, 1.6)
    assert not grant_table.start_request("1", 5, 1.6)


def test_lease_counts_from_the_sending_of_the_announcement():
    grant_table = GrantTable()
    grant_table.apply_reply(reply(10, ("1", 5)), 0.0, 1.0)
    assert grant_table.lease_expires_s == 1.5


def test_late_reply_of_an_older_version_changes_nothing():
    grant_table = build_grants()
    grant_table.apply_reply(reply(20, ("2", 6)), 0.1, 0.2)
    grant_table.apply_reply(reply(10, ("1", 5)), 0.0, 0.3)
    assert not grant_table.start_request("1", 5, 0.4)
