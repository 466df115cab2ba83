"""Runs every measurement, one after the other: ``python -m bench.all``."""

import subprocess
import sys

MODULES = (
    "event_cost",
    "router_overhead",
    "unavailable_time",
    "cut_hold",
    "control_cost",
    "charges",
    "placement",
    "site_cost",
)


def main():
    """Run the measurements; each writes ``bench/results/NAME.json``."""
    failed = [
        name for name in MODULES if subprocess.call([sys.executable, "-m", f"bench.{name}"]) != 0
    ]
    if failed:
        print("failed: " + ", ".join(failed), file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
