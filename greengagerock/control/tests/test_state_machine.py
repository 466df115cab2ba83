"""Tests of the replicated state machine."""

from greengagerock.control.commands import (
    Assignment,
    EndpointChanged,
    GrantUnits,
    LeaseManagerAppointed,
    OperatorChange,
    RevokeUnits,
)
from greengagerock.control.state_machine import ControlStateMachine
from greengagerock.language.parser import parse_statement
from greengagerock.model import STATE_LOST, Owner, Unit, slot_of_key
from greengagerock.testing.model_builders import build_endpoint

CREATE = "create service till keyed by path segment 2 slots 4"


class Applier:
    """Applies commands to a ``ControlStateMachine`` at increasing log indexes."""

    def __init__(self):
        self.machine = ControlStateMachine()
        self.index = 0

    @property
    def routes(self):
        return self.machine.state.routes

    def apply(self, command):
        self.index += 1
        self.machine.apply_command(command, self.index)
        return self.index

    def change(self, text, request_id, base=None):
        self.apply(OperatorChange(request_id, "a", text, base, parse_statement(text), 0))
        return self.machine.state.results[request_id]

    def report(self, endpoint):
        recorded = self.routes.endpoints.get(endpoint.name)
        since = recorded.since if recorded else 0
        report = type(endpoint)(**{**fields_of(endpoint), "since": since})
        return self.apply(EndpointChanged(report, 0))

    def grant(self, unit, endpoint):
        return self.apply(GrantUnits((Assignment(unit, endpoint),), "test", 0))

    def revoke(self, unit, target):
        return self.apply(RevokeUnits((Assignment(unit, target),), "test", 0))


def fields_of(struct):
    return {name: getattr(struct, name) for name in struct.__struct_fields__}


def build_applier():
    applier = Applier()
    applier.change(CREATE, "create")
    applier.report(build_endpoint("a"))
    applier.report(build_endpoint("b"))
    for slot in range(4):
        applier.grant(Unit("till", slot), "a")
    return applier


def test_fence_increases_with_each_owner():
    applier = build_applier()
    unit = Unit("till", 0)
    first = applier.routes.owner_of(unit)
    applier.revoke(unit, "b")
    assert applier.routes.owner_of(unit).endpoint == ""
    applier.grant(unit, "b")
    second = applier.routes.owner_of(unit)
    assert second.endpoint == "b"
    assert second.fence > first.fence


def test_grant_is_ignored_if_the_lost_owner_joined_again_in_between():
    applier = build_applier()
    unit = Unit("till", 0)
    applier.report(build_endpoint("a", state=STATE_LOST))
    # The leader granted because of the loss, but the owner's return precedes the grant in the log.
    applier.report(build_endpoint("a"))
    applier.grant(unit, "b")
    assert applier.routes.owner_of(unit).endpoint == "a"


def test_grant_from_a_lost_owner_takes_effect():
    applier = build_applier()
    applier.report(build_endpoint("a", state=STATE_LOST))
    applier.grant(Unit("till", 0), "b")
    assert applier.routes.owner_of(Unit("till", 0)).endpoint == "b"


def test_lost_endpoint_without_fence_checks_keeps_its_units_until_revoked():
    applier = build_applier()
    applier.report(build_endpoint("c", checks_orders=False))
    applier.revoke(Unit("till", 0), "c")
    applier.grant(Unit("till", 0), "c")
    applier.report(build_endpoint("c", checks_orders=False, state=STATE_LOST))
    applier.grant(Unit("till", 0), "b")
    assert applier.routes.owner_of(Unit("till", 0)).endpoint == "c"


def test_report_based_on_an_older_record_is_ignored():
    applier = build_applier()
    stale = applier.routes.endpoints["a"]
    applier.report(build_endpoint("a", state=STATE_LOST))
    applier.apply(EndpointChanged(stale, 0))
    assert applier.routes.endpoints["a"].state == STATE_LOST


def test_batch_with_an_invalid_action_changes_nothing():
    applier = build_applier()
    dump_before = applier.machine.dump()
    result = applier.change("alter service till set timeout_s 5; drop service nothing", "bad")
    assert result.code == "unknown-name"
    assert applier.routes.services["till"].timeout_s == 10.0
    assert applier.machine.state.config_version != applier.index
    applier.machine.state.results.pop("bad")
    assert applier.machine.dump() == dump_before


def test_only_one_of_two_changes_with_the_same_base_version_is_accepted():
    applier = build_applier()
    base = applier.machine.state.config_version
    first = applier.change("drain endpoint a", "one", base)
    second = applier.change("drain endpoint b", "two", base)
    assert (first.code, second.code) == ("", "version-conflict")


def test_repeated_request_id_is_applied_once_and_survives_a_snapshot():
    applier = build_applier()
    first = applier.change("drain endpoint a", "one")
    copy = Applier()
    copy.machine.load(applier.machine.dump())
    copy.index = applier.index
    copy.change("drain endpoint a", "one")
    assert copy.machine.state.results["one"] == first
    assert len(copy.machine.state.changes) == len(applier.machine.state.changes)


def test_snapshot_restores_the_same_state():
    applier = build_applier()
    applier.change("pin key card-9 in till", "pin")
    applier.revoke(Unit("till", 1), "b")
    copy = ControlStateMachine()
    copy.load(applier.machine.dump())
    assert copy.dump() == applier.machine.dump()


def test_pin_increases_the_fence_of_its_slot_and_unpin_requires_the_same_owner():
    applier = build_applier()
    slot = Unit("till", slot_of_key("card-9", 4))
    owner_before = applier.routes.owner_of(slot)
    applier.change("pin key card-9 in till", "pin")
    pin = Unit("till", slot.slot, "card-9")
    assert applier.routes.owner_of(slot).fence > owner_before.fence
    applier.revoke(pin, "b")
    applier.grant(pin, "b")
    applier.change("unpin key card-9 in till", "unpin")
    assert applier.routes.owner_of(pin).endpoint == "b"
    assert pin in applier.machine.state.unpinning
    applier.revoke(pin, "a")
    applier.grant(pin, "a")
    assert pin not in applier.routes.pins
    assert not applier.machine.state.unpinning


def test_deltas_give_followers_the_same_routes():
    applier = build_applier()
    follower = ControlStateMachine().history
    follower.publish(applier.machine.delta_since(0))
    version = follower.version
    applier.change("pin key card-9 in till", "pin")
    applier.change("unpin key card-9 in till", "unpin")
    applier.change("drop service till; create service till without key", "again")
    follower.publish(applier.machine.delta_since(version))
    assert follower.routes.full_delta() == applier.routes.full_delta()


def test_appointment_increases_the_epoch_and_stores_the_previous_electorate():
    machine = ControlStateMachine()
    machine.apply_command(LeaseManagerAppointed("z", "h1", "i1"), 1)
    machine.apply_command(LeaseManagerAppointed("z", "h2", "i2"), 2)
    assert machine.state.lease_managers["z"].epoch == 2
    assert machine.state.lease_managers["z"].earlier_electorates == ((),)


def test_owner_of_a_revoked_unit_differs_from_that_of_a_never_owned_unit():
    assert Owner("", 5) != Owner("", 0)
