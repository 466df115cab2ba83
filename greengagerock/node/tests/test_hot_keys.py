"""Load that makes neighbouring keys hot, and the share of requests served under it."""

from greengagerock.assignment.hot_units import RETURN_AFTER_S, HotUnitPlanner
from greengagerock.testing.fake_site import build_fake_site

HOT_KEYS = range(32_000, 32_060)
PROCESSING_TIME_S = 0.1


def send_load(site, seconds, rate, hot_share):
    """Send requests, a share of them for the hot keys, and return their tokens."""
    tokens = []
    random = site.random

    def send():
        key = random.choice(HOT_KEYS) if random.random() < hot_share else random.randrange(65_536)
        tokens.append(site.call(f"edge-{random.randrange(1, 3)}", key=key))

    for number in range(int(seconds * rate)):
        site.at(number / rate, send)
    site.run_for(seconds + 1.5)
    return tokens


def build_busy_site(seed):
    site = build_fake_site(seed=seed, reporting_endpoints=16)
    for endpoint in site.reporting_endpoints.values():
        endpoint.processing_time_s = PROCESSING_TIME_S
        endpoint.queue_limit = 12
    send_load(site, 6.0, 150.0, 0.0)
    return site


def served_share(site, tokens):
    return sum(site.outcome(token) == "ok" for token in tokens) / len(tokens)


def test_callers_of_hot_keys_are_served_once_the_keys_are_spread(monkeypatch):
    """Requests for hot keys are refused if two holders have to serve all of them.

    The hot keys lie in two stripes, which receive 84 requests per second; their two holders
    can serve 60.
    """
    site = build_busy_site(1)
    send_load(site, 3.0, 210.0, 0.4)
    share_with_spreading = served_share(site, send_load(site, 5.0, 210.0, 0.4))
    assert site.double_holds == []

    monkeypatch.setattr(HotUnitPlanner, "plan", lambda *arguments: {})
    plain_site = build_busy_site(1)
    send_load(plain_site, 3.0, 210.0, 0.4)
    share_without_spreading = served_share(plain_site, send_load(plain_site, 5.0, 210.0, 0.4))
    # The load of the hot range exceeds the capacity of two holders, but not of all sixteen.
    assert 1 - share_with_spreading < 0.5 * (1 - share_without_spreading)
    assert share_without_spreading < 0.9


def test_few_keys_move_and_return_when_they_are_no_longer_hot():
    site = build_busy_site(2)
    holders_before = {
        key: site.find_endpoint_holding("till", key).name for key in range(0, 65_536, 8)
    }
    send_load(site, 5.0, 210.0, 0.4)
    holders_during = {key: site.find_endpoint_holding("till", key) for key in holders_before}
    moved_keys = [
        k
        for k in holders_before
        if holders_during[k] is not None and holders_during[k].name != holders_before[k]
    ]
    assert any(key in HOT_KEYS for key in moved_keys)
    assert len(moved_keys) < 0.03 * len(holders_before)
    site.run_for(RETURN_AFTER_S + 8.0)
    returned_keys = [k for k in HOT_KEYS if k in holders_before]
    assert all(
        site.find_endpoint_holding("till", key).name == holders_before[key]
        for key in returned_keys
    )
    assert site.double_holds == []
