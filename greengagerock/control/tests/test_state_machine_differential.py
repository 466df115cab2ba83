"""Differential test of the state machine against a simple reference model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.control.commands import (
    Assignment,
    EndpointChanged,
    GrantUnits,
    OperatorChange,
    RevokeUnits,
)
from greengagerock.control.state_machine import ControlStateMachine
from greengagerock.language.parser import parse_statement
from greengagerock.model import STATE_LOST, STATE_READY, Unit
from greengagerock.testing.model_builders import build_endpoint

SLOTS = 3
NAMES = ("a", "b", "c")
CREATE = f"create service till keyed by path segment 2 slots {SLOTS}"

grants = st.tuples(st.just("grant"), st.integers(0, SLOTS - 1), st.sampled_from(NAMES))
revokes = st.tuples(st.just("revoke"), st.integers(0, SLOTS - 1), st.sampled_from(NAMES))
reports = st.tuples(st.just("report"), st.sampled_from(NAMES), st.booleans())
changes = st.tuples(st.just("drain"), st.sampled_from(NAMES), st.integers(0, 3))


class ReferenceModel:
    """Reference model that applies the ownership rules to a dictionary of owners."""

    def __init__(self):
        self.owner = dict.fromkeys(range(SLOTS), "")
        self.revoked = set()
        self.state = {}
        self.drained = set()
        self.request_numbers = set()

    def step(self, step):
        match step:
            case ("grant", slot, name):
                is_free = slot in self.revoked or self.state.get(self.owner[slot]) in (
                    None,
                    "lost",
                )
                if name in self.state and is_free:
                    self.owner[slot] = name
                    self.revoked.discard(slot)
            case ("revoke", slot, _):
                if self.owner[slot] and slot not in self.revoked:
                    self.owner[slot] = ""
                    self.revoked.add(slot)
            case ("report", name, lost):
                self.state[name] = "lost" if lost else "ready"
            case ("drain", name, number):
                if number not in self.request_numbers:
                    self.request_numbers.add(number)
                    if name in self.state:
                        self.drained.add(name)


def apply_step(machine, step, index):
    match step:
        case ("grant", slot, name):
            command = GrantUnits((Assignment(Unit("till", slot), name),), "test", 0)
        case ("revoke", slot, name):
            command = RevokeUnits((Assignment(Unit("till", slot), name),), "test", 0)
        case ("report", name, lost):
            recorded = machine.state.routes.endpoints.get(name)
            state = STATE_LOST if lost else STATE_READY
            since = recorded.since if recorded else 0
            command = EndpointChanged(build_endpoint(name, state=state, since=since), 0)
        case ("drain", name, number):
            text = f"drain endpoint {name}"
            command = OperatorChange(f"r{number}", "t", text, None, parse_statement(text), 0)
    machine.apply_command(command, index)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.one_of(grants, revokes, reports, changes), max_size=40))
def test_state_machine_agrees_with_the_reference_model(steps):
    machine = ControlStateMachine()
    machine.apply_command(OperatorChange("c", "t", CREATE, None, parse_statement(CREATE), 0), 1)
    reference = ReferenceModel()
    fences = dict.fromkeys(range(SLOTS), 0)
    for index, step in enumerate(steps, 2):
        apply_step(machine, step, index)
        reference.step(step)
        owners = machine.state.routes.owners["till"]
        assert {slot: owner.endpoint for slot, owner in enumerate(owners)} == reference.owner
        drained = {
            e.name for e in machine.state.routes.endpoints.values() if e.drained_by_operator
        }
        assert drained == reference.drained
        for slot, owner in enumerate(owners):
            assert owner.fence >= fences[slot]
            fences[slot] = owner.fence
