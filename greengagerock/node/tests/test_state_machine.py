"""Hypothesis state machine over the decision core: faults in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from greengagerock.testing.fault_schedule import FaultSchedule
from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.system_builders import (
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

ACTIONS = (
    "crash_host",
    "start_host",
    "pause_host",
    "resume_host",
    "isolate_zone",
    "cut_one_way",
    "heal",
    "freeze_endpoint",
    "unfreeze_endpoint",
    "kill_endpoint",
    "restart_endpoint",
    "drain_or_resume",
    "send_requests",
)


class SystemMachine(RuleBasedStateMachine):
    """A system of three zones with random faults."""

    @initialize(
        seed=st.integers(0, 1000),
        checks_orders=st.booleans(),
        loss=st.sampled_from([0.0, 0.05]),
        duplication=st.sampled_from([0.0, 0.05]),
    )
    def build(self, seed, checks_orders, loss, duplication):
        self.system = build_fake_system(
            seed=seed,
            checks_orders=checks_orders,
            message_loss_rate=loss,
            message_duplication_rate=duplication,
            rules="set cut_hold_s 4, timeout_s 2",
        )
        self.checker = InvariantChecker(self.system)
        self.schedule = FaultSchedule(self.system, self.checker, seed)

    @rule(action=st.sampled_from(ACTIONS), pause_s=st.sampled_from([0.02, 0.2, 0.7, 2.0]))
    def act(self, action, pause_s):
        getattr(self.schedule, action)()
        self.system.run_for(pause_s)

    @rule()
    @precondition(lambda self: self.system.cut_links)
    def heal_and_settle(self):
        self.schedule.end_all_faults()
        run_until_settled(self.system, 60.0)

    @invariant()
    def accepted_changes_are_kept(self):
        # ``InvariantChecker`` checks owners and versions after each step of the system.
        if hasattr(self, "system") and find_leader(self.system) is not None:
            self.checker.check_accepted_changes(leader_state(self.system))


TestSystem = SystemMachine.TestCase
TestSystem.settings = settings(
    max_examples=25, stateful_step_count=40, derandomize=True, deadline=None
)
