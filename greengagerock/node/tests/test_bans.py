"""Requests that crash every endpoint that runs them are banned; other requests are not."""

import msgspec

from greengagerock.routing.crash_suspects import BAN_S, CRASHES_UNTIL_BAN
from greengagerock.testing.model_builders import build_announcement
from greengagerock.testing.system_builders import (
    build_fake_system,
    leader_state,
    run_until_settled,
)

POISON = "/packs/poison"
INNOCENT = "/packs/price-list"


def build_system(seed=1):
    """Return a system whose documents service has endpoints that ``POISON`` can crash."""
    system = build_fake_system(seed=seed)
    assert system.send_statement_and_wait(
        "host-1-1", "create service documents without key", "d"
    ).accepted
    for zone in (1, 2, 3):
        for number in (1, 2):
            name = f"doc-{zone}-{number}"
            endpoint = system.add_endpoint(
                build_announcement(name, "documents", zone=f"zone-{zone}")
            )
            endpoint.processing_time_s = 0.05
    system.run_for(3.0)
    system.crash_paths.add(POISON)
    return system


def crashed(system):
    """Return the names of the endpoints that are down."""
    return [e.name for e in system.endpoints.values() if not e.is_up]


def restart_crashed(system, number):
    """Restart crashed endpoints with a new incarnation."""
    for name in crashed(system):
        old = system.endpoints[name]
        announcement = msgspec.structs.replace(old.announcement, incarnation=f"{name}-r{number}")
        system.add_endpoint(announcement).processing_time_s = old.processing_time_s
    system.run_for(3.0)


def test_crashing_request_is_banned_after_a_bounded_number_of_crashes():
    system = build_system()
    outcomes = []
    crash_count = 0
    for number, host in enumerate(list(system.hosts) * 2):
        innocent_token = system.request(host, "documents", INNOCENT)
        outcomes.append(system.request_and_wait(host, "documents", POISON))
        system.run_for(1.0)
        assert system.outcome(innocent_token) is not None
        crash_count += len(crashed(system))
        restart_crashed(system, number)
    assert outcomes[-1] == "request-banned"
    assert crash_count <= CRASHES_UNTIL_BAN + 1
    assert list(leader_state(system).routes.bans.values())[0].request.endswith(POISON)
    assert len(leader_state(system).routes.bans) == 1
    for host in system.hosts:
        assert system.request_and_wait(host, "documents", INNOCENT) == "ok"


def test_ban_is_shown_and_can_be_lifted():
    system = build_system()
    for number, host in enumerate(system.hosts):
        system.request_and_wait(host, "documents", POISON)
        system.run_for(1.0)
        restart_crashed(system, number)
    table = system.send_statement_and_wait("host-2-1", "show bans").table
    (row,) = table.to_records()
    assert row["request"] == f"GET /documents{POISON}"
    assert system.send_statement_and_wait(
        "host-2-1", f"lift ban {row['fingerprint']}", "lift"
    ).accepted
    assert not leader_state(system).routes.bans
    system.crash_paths.clear()
    assert system.request_and_wait("host-1-1", "documents", POISON) == "ok"


def test_ban_expires():
    system = build_system(seed=2)
    for number, host in enumerate(system.hosts):
        system.request_and_wait(host, "documents", POISON)
        system.run_for(1.0)
        restart_crashed(system, number)
    assert leader_state(system).routes.bans
    system.run_for(BAN_S + 10)
    run_until_settled(system)
    assert not leader_state(system).routes.bans


def test_request_that_succeeds_on_other_endpoints_is_never_banned():
    system = build_system(seed=3)
    for number, host in enumerate(list(system.hosts) * 2):
        assert system.request_and_wait(host, "documents", INNOCENT) == "ok"
        token = system.request(host, "documents", INNOCENT)
        system.run_for(0.02)
        endpoint_name = system.hosts[host].node.router.registry.get(token).endpoint
        system.endpoints[endpoint_name].is_up = False
        system.run_for(1.0)
        restart_crashed(system, number)
    assert not leader_state(system).routes.bans
