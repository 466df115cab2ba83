"""Runs stand-in endpoints of a plan in one process until SIGTERM or SIGINT."""

import signal
import sys
import threading

from greengagerock.testing.stand_in import StandIn
from greengagerock.testing.system_plan import load_plan


def build_stand_in(plan, exits_on_crash):
    """Return the ``StandIn`` that a ``StandInPlan`` describes."""
    return StandIn(
        plan.name,
        plan.service,
        plan.availability_zone,
        plan.ip,
        plan.port,
        plan.entry_addresses,
        plan.concurrency,
        plan.checks_orders,
        exits_on_crash,
    )


def main(arguments):
    """Run the named stand-ins of a plan, or all of them.

    Args:
        arguments: Folder of the plan, then names of stand-ins.
    """
    plan = load_plan(arguments[0])
    names = set(arguments[1:])
    selected = [item for item in plan.stand_ins if not names or item.name in names]
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    stand_ins = [build_stand_in(item, len(selected) == 1) for item in selected]
    for stand_in in stand_ins:
        stand_in.start()
    stop_requested.wait()
    for stand_in in stand_ins:
        stand_in.stop()


if __name__ == "__main__":
    main(sys.argv[1:])
