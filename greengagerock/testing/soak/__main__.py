"""Runs soak tests: ``python -m greengagerock.testing.soak --seed 1 --seconds 20 --rounds 3``."""

import shutil
import sys
import tempfile
from pathlib import Path

from cyclopts import App

from greengagerock.testing.soak.checks import find_violations
from greengagerock.testing.soak.site import SoakSite

app = App(
    name="greengagerock.testing.soak", help="Run soak tests: real processes under injected faults."
)


@app.default
def soak(
    *, seed: int = 1, seconds: float = 20.0, rounds: int = 1, keep: Path = Path("var/soak")
) -> int:
    """Run seeded soak tests one after the other.

    Args:
        seed: Seed of the first soak; each further soak uses the next seed.
        seconds: Duration of the callers' traffic in each soak.
        rounds: Number of soaks.
        keep: Folder to which settings, data and logs of soaks with violations are copied.

    Returns:
        The number of soaks with violations.
    """
    failed_count = 0
    for number in range(seed, seed + rounds):
        violations = run_soak(number, seconds, keep)
        failed_count += bool(violations)
    print(f"{rounds} soaks, {failed_count} with violations", flush=True)
    return failed_count


def run_soak(seed, seconds, keep_folder):
    """Run one soak, print its result and return its violations."""
    with tempfile.TemporaryDirectory(prefix="greengagerock-soak-") as folder:
        # The network depends on the seed, so that soaks with different seeds can run in parallel.
        site = SoakSite(folder, f"127.{100 + seed % 100}")
        try:
            site.start()
            history = site.soak(seed, seconds)
        finally:
            site.stop()
        violations = find_violations(history)
        if violations:
            shutil.copytree(folder, keep_folder / f"seed-{seed}", dirs_exist_ok=True)
    print(
        f"seed {seed}: {len(history.attempts)} requests, {history.served()} served,"
        f" {len(history.acknowledged)} changes, {len(violations)} violations",
        flush=True,
    )
    for violation in violations[:10]:
        print(f"  {violation}", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(app())
