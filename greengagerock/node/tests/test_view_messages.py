"""What the leader packs and sends does not grow with the number of routers or one change."""

from greengagerock.testing.fake_operator import FakeOperator
from greengagerock.testing.fake_reporting_endpoint import FakeReportingEndpoint
from greengagerock.testing.fake_site import build_fake_site, find_leader_name
from greengagerock.view import ViewDelta

ROUTERS = 24
LARGE_CHANGE = 1400


def count_calls(target, name):
    """Return a list that gets an entry for each call of a method that returns a value."""
    method, calls = getattr(target, name), []

    def call(*arguments):
        result = method(*arguments)
        if result is not None:
            calls.append(arguments)
        return result

    setattr(target, name, call)
    return calls


def test_moving_keys_are_packed_for_all_routers_together():
    """The leader packed the changes anew for most polls, since each router had other revisions."""
    site = build_fake_site(routers=ROUTERS, reporting_endpoints=8)
    for number in range(1, ROUTERS + 1):
        # Routers that start at different times poll at different times.
        site.crash_host(f"edge-{number}")
        site.run_for(0.5 + 0.5 / ROUTERS)
        site.start_host(f"edge-{number}")
    site.run_for(3.0)
    updater = site.hosts[find_leader_name(site)].node.site_leader.router_updater
    for number in range(9, 21):
        site.add_reporting_endpoint(FakeReportingEndpoint(f"till-{number}", number))
    began = updater.endpoints_history.revision
    packed = count_calls(updater.endpoints_history, "delta_since")
    pushes = []
    push = updater._push
    updater._push = lambda: (pushes.append(site.now_s), push())
    site.run_for(6.0)
    assert updater.endpoints_history.revision - began > 100
    assert len(pushes) > 20
    assert len(packed) < 2 * len(pushes)


def test_large_change_is_sent_to_each_router_once():
    """Each push and poll sent all items again until the router had confirmed them."""
    site = build_fake_site(routers=4)
    leader = find_leader_name(site)
    router = site.address_of("edge-1")
    sizes, send = [], site._send

    def record_and_drop(host, address, message):
        is_large = isinstance(message, ViewDelta) and len(message.items or b"") > 2_000
        if address == router and is_large:
            sizes.append(len(message.items))
            return
        send(host, address, message)

    site._send = record_and_drop
    operator = FakeOperator(site)
    site.patch(leader, operator.change_routes(LARGE_CHANGE, "large").patch)
    transfer_s = 0.1
    for _ in range(3):
        operator.change_routes()
        site.run_for(transfer_s)
    assert len(sizes) == 1
    site.run_for(3.0)
    assert len(sizes) > 1


def test_router_that_misses_a_message_gets_its_changes_while_others_follow():
    """Later messages must not let the lost one count as still on its way."""
    site = build_fake_site(routers=2, reporting_endpoints=8)
    updater = site.hosts[find_leader_name(site)].node.site_leader.router_updater
    router = site.hosts["edge-1"].node
    for number in range(9, 21):
        site.add_reporting_endpoint(FakeReportingEndpoint(f"till-{number}", number))
    site.run_for(0.5)
    for _ in range(20):
        site.drop_messages(["core-1", "core-2", "core-3"], ["edge-1"])
        site.run_for(0.05)
        site.heal()
        missed = updater.endpoints_history.revision
        assert (
            site.run_until(lambda m=missed: router.replica.endpoints_revision >= m, 1.5)
            is not None
        )
