"""Tests of the grants of an endpoint."""

from greengagerock.agent import GrantBook
from greengagerock.model import AnnouncementReply, GrantedUnit


def reply(version, *units, lease_s=1.5):
    return AnnouncementReply(lease_s, version, tuple(GrantedUnit(u, f) for u, f in units))


def build_grants():
    grants = GrantBook()
    grants.take(reply(10, ("1", 5), ("2", 6)), 0.0, 0.0)
    return grants


def test_lower_fence_is_refused():
    grants = build_grants()
    assert not grants.admit("1", 4, 0.1)
    assert grants.admit("1", 5, 0.1)


def test_newer_fence_than_received_is_accepted_and_older_then_refused():
    grants = build_grants()
    assert grants.admit("1", 11, 0.1)
    assert not grants.admit("1", 5, 0.1)


def test_unit_granted_elsewhere_is_refused_by_its_old_fence():
    grants = build_grants()
    grants.take(reply(20, ("2", 6)), 0.1, 0.2)
    assert not grants.admit("1", 5, 0.3)
    assert grants.applied_version == 20


def test_revocation_is_applied_only_after_running_requests_have_ended():
    grants = build_grants()
    assert grants.admit("1", 5, 0.1)
    grants.take(reply(20, ("2", 6)), 0.1, 0.2)
    assert grants.applied_version == 10
    assert not grants.still_owns("1", 5, 0.2)
    grants.finish("1")
    assert grants.applied_version == 20


def test_endpoint_that_resumes_after_its_lease_has_no_grants():
    grants = build_grants()
    assert not grants.admit("1", 5, 1.5)
    assert grants.applied_version == 0
    assert not grants.admit("1", 30, 1.6)


def test_reply_that_took_longer_than_its_lease_is_ignored():
    grants = GrantBook()
    grants.take(reply(10, ("1", 5)), 0.0, 1.6)
    assert not grants.admit("1", 5, 1.6)


def test_lease_counts_from_the_sending_of_the_announcement():
    grants = GrantBook()
    grants.take(reply(10, ("1", 5)), 0.0, 1.0)
    assert grants.lease_until_s == 1.5


def test_late_reply_of_an_older_version_changes_nothing():
    grants = build_grants()
    grants.take(reply(20, ("2", 6)), 0.1, 0.2)
    grants.take(reply(10, ("1", 5)), 0.0, 0.3)
    assert not grants.admit("1", 5, 0.4)
