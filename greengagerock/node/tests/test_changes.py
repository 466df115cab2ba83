"""Operators' changes: concurrent changes, resends, catch-up and changes of voters."""

from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.system_builders import (
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)


def test_change_is_in_effect_everywhere_within_five_seconds():
    system = build_fake_system()
    start_s = system.now_s
    response = system.send_statement_and_wait(
        "host-3-2", "alter service till set timeout_s 3", "c1"
    )
    assert (response.accepted, response.in_force, response.waiting) == (True, True, ())
    assert system.now_s - start_s < 5.0
    for host in system.hosts.values():
        assert host.node.history.routes.services["till"].timeout_s == 3.0


def test_change_names_the_zone_that_it_waits_for():
    system = build_fake_system(hosts_per_zone=3, voters=5, rules="set cut_hold_s 60")
    leader = find_leader(system).config.host
    zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != leader.zone)
    system.isolate_zone(zone)
    response = system.send_statement_and_wait(
        leader.name, "alter service till set timeout_s 3", "c1"
    )
    assert (response.accepted, response.in_force, response.waiting) == (True, False, (zone,))
    system.heal()
    run_until_settled(system)
    resent = system.send_statement_and_wait(
        leader.name, "alter service till set timeout_s 3", "c1"
    )
    assert (resent.in_force, resent.version) == (True, response.version)


def test_concurrent_changes_with_equal_base_versions():
    system = build_fake_system()
    base = leader_state(system).config_version
    tokens = [
        system.send_statement(
            f"host-{zone}-1", f"alter service till set timeout_s {zone}", f"r{zone}", base
        )
        for zone in (1, 2, 3)
    ]
    system.run_for(2.0)
    codes = sorted(system.operator_responses[token].code for token in tokens)
    assert codes == ["", "version-conflict", "version-conflict"]
    assert len([c for c in leader_state(system).changes if c.text.startswith("alter")]) == 1


def test_resent_change_gets_its_first_response_after_leader_loss_and_restart():
    system = build_fake_system()
    text = "drain endpoint till-1-1; resume endpoint till-1-1"
    first = system.send_statement_and_wait("host-1-2", text, "resend-me")
    for name in [n for n, h in system.hosts.items() if h.node.voter]:
        system.crash_host(name)
    for name in [n for n, h in system.hosts.items() if h.node is None]:
        system.start_host(name)
    run_until_settled(system)
    resent = system.send_statement_and_wait("host-3-2", text, "resend-me")
    assert (resent.version, resent.accepted) == (first.version, True)
    other = system.send_statement_and_wait("host-3-2", "drain endpoint till-1-1", "resend-me")
    assert other.code == "request-id-reused"
    assert len([c for c in leader_state(system).changes if c.text == text]) == 1


def test_restart_after_hundreds_of_changes_catches_up_by_log_and_by_snapshot():
    system = build_fake_system()
    checker = InvariantChecker(system)
    leader = find_leader(system).config.host.name
    lagging_voter = next(n for n, h in system.hosts.items() if h.node.voter and n != leader)
    router_only_host = next(n for n, h in system.hosts.items() if not h.node.voter)
    for count in (300, 1200):
        system.crash_host(lagging_voter)
        system.crash_host(router_only_host)
        tokens = {}
        for number in range(count):
            request_id = f"{count}-{number}"
            text = f"alter service till set timeout_s {1 + number % 9}"
            tokens[request_id] = system.send_statement(leader, text, request_id, wait_s=0.01)
            system.run_for(0.02)
        system.run_for(1.0)
        for request_id, token in tokens.items():
            checker.record_accepted_change(request_id, system.operator_responses[token])
        system.start_host(lagging_voter)
        system.start_host(router_only_host)
        run_until_settled(system)
        voter = system.hosts[lagging_voter].node.voter
        assert voter.commit_index == system.hosts[leader].node.voter.commit_index
        checker.check_accepted_changes(system.hosts[lagging_voter].node.controller.state)
    assert len(checker.accepted_versions) == 1500
    assert system.hosts[lagging_voter].node.voter.log.snapshot.index > 0


def voter_hosts(system):
    """Return the hosts of the current voters."""
    membership = find_leader(system).node.voter.membership
    return sorted(member.host for member in membership.voters)


def test_host_with_a_lost_disk_never_votes_under_its_old_identity_and_is_replaced():
    system = build_fake_system(voters=3)
    InvariantChecker(system)
    leader = find_leader(system).config.host.name
    wiped_host = next(n for n, h in system.hosts.items() if h.node.voter and n != leader)
    system.crash_host(wiped_host)
    system.lose_disk(wiped_host, f"{wiped_host}#2")
    system.start_host(wiped_host)
    system.run_for(10.0)
    wiped_voter = system.hosts[wiped_host].node.voter
    assert wiped_voter.log.last_index == 0
    assert not wiped_voter.membership.voters
    response = system.send_statement_and_wait(
        leader, f"replace voter {wiped_host} with {wiped_host}", "replace"
    )
    assert response.accepted
    done = system.run_until(lambda: identities(system) >= {f"{wiped_host}#2"}, 10.0)
    assert done is not None
    system.run_until(lambda: leader_state(system).voter_change is None, 10.0)
    assert identities(system) == {f"{n}#1" for n in voter_hosts(system) if n != wiped_host} | {
        f"{wiped_host}#2"
    }


def identities(system):
    """Return the identities of the current voters."""
    return {member.identity for member in find_leader(system).node.voter.membership.voters}


def test_second_host_fails_right_after_the_first_was_replaced():
    system = build_fake_system(voters=3, hosts_per_zone=2)
    checker = InvariantChecker(system)
    leader = find_leader(system).config.host.name
    others = [n for n, h in system.hosts.items() if h.node.voter and n != leader]
    system.crash_host(others[0])
    spare = next(n for n, h in system.hosts.items() if h.disk is None)
    give_disk(system, spare)
    run_until_settled(system)
    response = system.send_statement_and_wait(
        leader, f"replace voter {others[0]} with {spare}", "replace"
    )
    checker.record_accepted_change("replace", response)
    expected_hosts = sorted([leader, others[1], spare])
    assert system.run_until(lambda: voter_hosts(system) == expected_hosts, 15.0) is not None
    system.crash_host(others[1])
    late = system.send_statement_and_wait(leader, "alter service till set timeout_s 4", "after")
    assert late.accepted
    checker.record_accepted_change("after", late)
    checker.check_accepted_changes(leader_state(system))


def give_disk(system, name):
    """Restart a host with a disk, so that it can become a voter."""
    system.crash_host(name)
    system.lose_disk(name, f"{name}#1")
    system.start_host(name)


def test_full_disk_of_the_leader_loses_nothing():
    system = build_fake_system(voters=3)
    checker = InvariantChecker(system)
    leader = find_leader(system)
    leader.disk.has_write_errors = True
    host = next(n for n in system.hosts if n != leader.config.host.name)
    response = system.send_statement_and_wait(host, "alter service till set timeout_s 4", "full")
    checker.record_accepted_change("full", response)
    assert response.accepted
    assert find_leader(system) is not leader
    checker.check_accepted_changes(leader_state(system))


def test_cancelled_replacement_leaves_the_voters_as_they_were():
    system = build_fake_system(voters=3)
    hosts_before = voter_hosts(system)
    leader = find_leader(system).config.host.name
    spare = next(n for n, h in system.hosts.items() if h.disk is None)
    give_disk(system, spare)
    run_until_settled(system)
    system.drop_messages([leader], [spare])
    assert system.send_statement_and_wait(leader, f"add voter {spare}", "add").accepted
    system.run_for(2.0)
    assert voter_hosts(system) == hosts_before
    assert system.send_statement_and_wait(leader, "cancel voter change", "cancel").accepted
    system.heal()
    system.run_for(3.0)
    assert voter_hosts(system) == hosts_before
