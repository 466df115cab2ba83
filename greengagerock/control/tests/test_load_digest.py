"""Tests of the loads that the leader collects and sends to routers."""

import pytest

from greengagerock.control.load_digest import MAX_AGE_S, LoadDigest
from greengagerock.core import GreengageError
from greengagerock.view import EndpointRecord, LoadReport


def digest_of(count, slots=2):
    """Return a digest that knows ``count`` endpoints."""
    digest = LoadDigest(term=2)
    for number in range(count):
        address = f"10.0.0.{number}:80"
        digest.note_endpoint(EndpointRecord(f"e{number}", address, "docs", "a", slots, False, 7))
    return digest


def test_messages_stay_within_the_budget_of_routers_and_leader():
    """Loads must not take the links that callers' traffic needs."""
    sizes = {}
    for routers in (1, 68, 188, 730):
        digest = digest_of(2000)
        digest.on_reports({f"e{n}": LoadReport(7, 2, n, 100, 0) for n in range(2000)}, 1.0)
        sizes[routers] = len(digest.packed_for(routers, 1.0))
    assert digest.listed(68, 1.2).loads.keys() == {f"e{n}" for n in range(1936, 2000)}
    # Two polls a second, with up to 264 bytes each in the other direction.
    assert all(2 * (size + 264) < 2000 for size in sizes.values())
    assert all(2 * size * routers <= 128_000 for routers, size in sizes.items())


def test_nothing_is_sent_while_no_endpoint_is_busy():
    digest = digest_of(3)
    digest.on_reports({"e1": LoadReport(7, 1, 0, 100, 0)}, 1.0)
    assert digest.packed_for(68, 1.0) is None
    digest.on_reports({"e2": LoadReport(7, 2, 0, 100, 0)}, 2.0)
    digest.on_reports({"e2": LoadReport(7, 0, 0, 100, 0)}, 2.5)
    # Routers would avoid it until the value expires if they got no value of the idle endpoint.
    assert digest.listed(68, 2.6).loads["e2"].running == 0
    assert digest.packed_for(68, 2.5 + MAX_AGE_S) is None


def test_older_and_unknown_values_are_dropped():
    digest = digest_of(2)
    digest.on_reports({"e1": LoadReport(7, 2, 5, 100, 100)}, 1.0)
    digest.on_reports({"e1": LoadReport(7, 2, 9, 100, 500)}, 1.1)
    assert digest.listed(68, 1.2).loads["e1"].waiting == 5
    digest.note_endpoint(EndpointRecord("e1", "10.0.0.1:80", "docs", "a", 2, False, 8))
    digest.on_packed(bytes(8) + b"\x01" * 8, 1.3)
    digest.forget("e1")
    assert digest.listed(68, 1.3).loads == {}


@pytest.mark.parametrize("data", [b"", bytes(7), bytes(9), bytes(8 + 8 * 65), bytes(16)])
def test_malformed_loads_are_refused_with_a_code(data):
    """Bytes from another host must not raise anything else in the leader."""
    with pytest.raises(GreengageError) as raised:
        digest_of(1).on_packed(data, 1.0)
    assert raised.value.code == "bad-message"
