"""A charge with an Idempotency-Key runs at most once, whichever entry hosts receive it."""

import pytest

from greengagerock.routing.key_claims import CLAIM_LIFETIME_S, choose_recorders
from greengagerock.testing.system_builders import (
    build_fake_system,
    leader_state,
    run_until_settled,
)

KEY = "charge-1"
HEADERS = {"idempotency-key": KEY}
HOSTS = {"hosts_per_zone": 2, "voters": 3}


def charge(system, host, request_id, limit_s=2.0):
    """Send the charge through a host and return the outcome."""
    return system.request_and_wait(
        host,
        "till",
        "/cards/card-1",
        limit_s,
        method="POST",
        headers=HEADERS,
        request_id=request_id,
    )


def runs(system):
    """Return the request ids that were run."""
    return sorted(run[1] for e in system.endpoints.values() for run in e.runs)


def recorders(system):
    """Return the names of the hosts that record the claim of the key."""
    hosts = leader_state(system).routes.hosts.values()
    return [host.name for host in choose_recorders(hosts, "till", KEY)]


def other_hosts(system):
    """Return the names of the hosts that do not record it."""
    return [name for name in system.hosts if name not in recorders(system)]


def test_resend_through_another_host_is_not_run():
    system = build_fake_system(**HOSTS)
    assert charge(system, "host-1-1", "first") == "ok"
    for host in system.hosts:
        assert charge(system, host, f"again-{host}") == "duplicate-request"
    assert runs(system) == ["first"]


def test_entry_host_lost_between_run_and_response():
    system = build_fake_system(**HOSTS)
    first, second = other_hosts(system)[:2]
    for endpoint in system.endpoints.values():
        endpoint.processing_time_s = 0.5
    system.request(first, "till", "/cards/card-1", "POST", headers=HEADERS, request_id="first")
    system.run_for(0.2)
    system.crash_host(first)
    assert charge(system, second, "again") == "duplicate-request"
    system.run_for(2.0)
    assert runs(system) == ["first"]


def test_two_entry_hosts_at_the_same_moment():
    for seed in range(10):
        system = build_fake_system(seed=seed, **HOSTS)
        tokens = [
            system.request(host, "till", "/cards/card-1", "POST", headers=HEADERS, request_id=host)
            for host in system.hosts
        ]
        system.run_for(2.0)
        outcomes = [system.outcome(token) for token in tokens]
        assert outcomes.count("ok") == len(runs(system)) <= 1
        assert set(outcomes) <= {"ok", "duplicate-request"}


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_claim_survives_the_loss_of_a_recorder(lost):
    system = build_fake_system(**HOSTS)
    sender = other_hosts(system)[0]
    assert charge(system, sender, "first") == "ok"
    system.crash_host(recorders(system)[lost])
    assert charge(system, sender, "again") == "duplicate-request"
    assert runs(system) == ["first"]


def test_restarted_recorders_recover_claims_from_the_others():
    system = build_fake_system(**HOSTS)
    sender = other_hosts(system)[0]
    assert charge(system, sender, "first") == "ok"
    for name in recorders(system):
        system.crash_host(name)
        system.run_for(0.5)
        system.start_host(name)
        run_until_settled(system)
        system.run_for(2.0)
        assert charge(system, sender, f"after-{name}") == "duplicate-request"
    assert runs(system) == ["first"]


def test_lost_claims_lead_to_duplicate_unsure_and_no_run():
    system = build_fake_system(**HOSTS)
    sender = other_hosts(system)[0]
    assert charge(system, sender, "first") == "ok"
    names = recorders(system)
    for name in names:
        system.crash_host(name)
    for name in names:
        system.start_host(name)
    run_until_settled(system)
    outcomes = {charge(system, sender, f"again-{n}") for n in range(3)}
    assert outcomes <= {"duplicate-unsure", "duplicate-request"}
    assert runs(system) == ["first"]


def test_claim_of_a_request_that_was_not_run_is_released():
    system = build_fake_system(**HOSTS)
    for endpoint in system.endpoints.values():
        endpoint.is_up = False
    assert charge(system, "host-1-1", "first") in ("connect-failed", "no-owner")
    for endpoint in list(system.endpoints.values()):
        system.add_endpoint(endpoint.announcement)
    # The same incarnation announces itself again and receives its grants again.
    system.run_for(3.0)
    run_until_settled(system)
    assert charge(system, "host-2-1", "second") == "ok"
    assert runs(system) == ["second"]


def test_transfer_between_charge_and_resend():
    system = build_fake_system(**HOSTS)
    assert charge(system, "host-1-1", "first") == "ok"
    owner = next(e.name for e in system.endpoints.values() if e.runs)
    assert system.send_statement_and_wait("host-2-1", f"drain endpoint {owner}", "drain").accepted
    run_until_settled(system)
    assert charge(system, "host-2-2", "again") == "duplicate-request"
    assert runs(system) == ["first"]


def test_claims_expire():
    system = build_fake_system(**HOSTS)
    assert charge(system, "host-1-1", "first") == "ok"
    system.run_for(CLAIM_LIFETIME_S + 1)
    assert charge(system, "host-2-1", "much-later") == "ok"
