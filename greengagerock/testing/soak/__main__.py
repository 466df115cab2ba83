"""Runs soaks: ``python -m greengagerock.testing.soak --seed 1 --seconds 20 --rounds 3``."""

import shutil
import sys
import tempfile
from pathlib import Path

from cyclopts import App

from greengagerock.testing.soak.checks import find_violations
from greengagerock.testing.soak.site import SoakSite

app = App(name="greengagerock.testing.soak", help="Soak real processes with faults.")


@app.default
def soak(
    *, seed: int = 1, seconds: float = 20.0, rounds: int = 1, keep: Path = Path("var/soak")
) -> int:
    """Play seeded soaks one after the other.

    Args:
        seed: Seed of the first one; each next one has the next seed.
        seconds: How long callers send requests in each.
        rounds: How many to play.
        keep: Folder for the logs of those that broke a promise.

    Returns:
        The number of soaks that broke a promise.
    """
    failed = 0
    for number in range(seed, seed + rounds):
        violations = play(number, seconds, keep)
        failed += bool(violations)
    print(f"{rounds} soaks, {failed} broke a promise", flush=True)
    return failed


def play(seed, seconds, keep):
    """Play one soak, print its result and return its violations."""
    with tempfile.TemporaryDirectory(prefix="greengagerock-soak-") as folder:
        # Networks of their own, so that soaks with different seeds can run side by side.
        site = SoakSite(folder, f"127.{100 + seed % 100}")
        try:
            site.start()
            history = site.soak(seed, seconds)
        finally:
            site.stop()
        violations = find_violations(history)
        if violations:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
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
