"""Runs all measurements, one after the other: ``python -m bench.all``."""

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
    """Run the measurements; each writes its files in ``bench/results``."""
    failed_names = [
        name for name in MODULES if subprocess.call([sys.executable, "-m", f"bench.{name}"]) != 0
    ]
    if failed_names:
        print("failed: " + ", ".join(failed_names), file=sys.stderr)
    return 1 if failed_names else 0


if __name__ == "__main__":
    sys.exit(main())
