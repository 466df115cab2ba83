"""Runs stand-in endpoints of a plan in one process, until it is told to stop."""

import signal
import sys
import threading

from greengagerock.testing.plan import load_plan
from greengagerock.testing.stand_in import StandIn


def build_stand_in(plan, exits_on_crash):
    """Return the stand-in that a plan describes."""
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
        arguments: The plan's folder, then names.
    """
    plan = load_plan(arguments[0])
    names = set(arguments[1:])
    chosen = [item for item in plan.stand_ins if not names or item.name in names]
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stand_ins = [build_stand_in(item, len(chosen) == 1) for item in chosen]
    for stand_in in stand_ins:
        stand_in.start()
    stopped.wait()
    for stand_in in stand_ins:
        stand_in.stop()


if __name__ == "__main__":
    main(sys.argv[1:])
