"""Tests of an endpoint's grants."""

from greengagerock.agent import GrantBook
from greengagerock.model import AnnouncementReply, GrantedUnit


def reply(version, *units, lease_s=1.5):
    return AnnouncementReply(lease_s, version, tuple(GrantedUnit(u, f) for u, f in units))


def build_book():
    book = GrantBook()
    book.take(reply(10, ("1", 5), ("2", 6)), 0.0, 0.0)
    return book


def test_lower_fence_is_refused():
    book = build_book()
    assert not book.admit("1", 4, 0.1)
    assert book.admit("1", 5, 0.1)


def test_newer_fence_than_known_is_accepted_and_older_then_refused():
    book = build_book()
    assert book.admit("1", 11, 0.1)
    assert not book.admit("1", 5, 0.1)


def test_unit_granted_elsewhere_is_refused_by_its_old_fence():
    book = build_book()
    book.take(reply(20, ("2", 6)), 0.1, 0.2)
    assert not book.admit("1", 5, 0.3)
    assert book.applied_version == 20


def test_revocation_is_in_force_only_after_running_requests_have_ended():
    book = build_book()
    assert book.admit("1", 5, 0.1)
    book.take(reply(20, ("2", 6)), 0.1, 0.2)
    assert book.applied_version == 10
    assert not book.still_owns("1", 5, 0.2)
    book.finish("1")
    assert book.applied_version == 20


def test_thawed_endpoint_forgets_its_grants():
    book = build_book()
    assert not book.admit("1", 5, 1.5)
    assert book.applied_version == 0
    assert not book.admit("1", 30, 1.6)


def test_answer_that_took_longer_than_its_lease_is_ignored():
    book = GrantBook()
    book.take(reply(10, ("1", 5)), 0.0, 1.6)
    assert not book.admit("1", 5, 1.6)


def test_lease_counts_from_the_sending_of_the_announcement():
    book = GrantBook()
    book.take(reply(10, ("1", 5)), 0.0, 1.0)
    assert book.lease_until_s == 1.5


def test_late_answer_of_an_older_version_changes_nothing():
    book = build_book()
    book.take(reply(20, ("2", 6)), 0.1, 0.2)
    book.take(reply(10, ("1", 5)), 0.0, 0.3)
    assert not book.admit("1", 5, 0.4)
