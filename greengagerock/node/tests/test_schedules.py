"""Seeded random fault schedules, with all invariants checked after each step."""

import pytest

from greengagerock.testing.fault_schedule import FaultSchedule
from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.system_builders import (
    build_fake_system,
    leader_state,
    run_until_settled,
)

STEPS = 100
RULES = "set cut_hold_s 4, timeout_s 2"


@pytest.mark.parametrize("checks_orders", [True, False])
@pytest.mark.parametrize("seed", range(6))
def test_schedule(seed, checks_orders):
    system = build_fake_system(
        voters=3 + 2 * (seed % 2), seed=seed, checks_orders=checks_orders, rules=RULES
    )
    run_schedule(system, seed)


@pytest.mark.parametrize("seed", range(4))
def test_schedule_with_lost_and_duplicated_messages(seed):
    system = build_fake_system(
        seed=seed, message_loss_rate=0.05, message_duplication_rate=0.05, rules=RULES
    )
    run_schedule(system, seed)


def test_schedule_in_which_a_router_with_a_lease_changed_its_lease_manager():
    system = build_fake_system(seed=7104, checks_orders=False, rules=RULES)
    run_schedule(system, 7104, steps=150)


def run_schedule(system, seed, steps=STEPS):
    """Run a schedule, repair all faults, and check that the system settles."""
    checker = InvariantChecker(system)
    schedule = FaultSchedule(system, checker, seed)
    schedule.run(steps)
    schedule.end_all_faults()
    run_until_settled(system, 60.0)
    checker.check_accepted_changes(leader_state(system))
    assert checker.check_count > 1000
