"""Fuzzes for a while: ``python -m greengagerock.testing.fuzz --seed 1 --seconds 60``."""

import sys
import time

from cyclopts import App

from greengagerock.testing.fuzz.front import FrontTarget
from greengagerock.testing.fuzz.mutator import Mutator
from greengagerock.testing.fuzz.targets import READERS

FRONT_ADDRESS = "127.36.0.1:8700"

app = App(name="greengagerock.testing.fuzz", help="Fuzz what outsiders can send.")


@app.default
def fuzz(*, seed: int = 1, seconds: float = 60.0) -> int:
    """Fuzz all targets in turn.

    Args:
        seed: Seed of the mutations.
        seconds: How long each target is fuzzed.

    Returns:
        0, or 1 if a target failed.
    """
    front = FrontTarget(FRONT_ADDRESS)
    failed = False
    try:
        for name, target in (READERS | {"front": front}).items():
            failed |= run_target(name, target, seed, seconds)
    finally:
        front.stop()
    return int(failed)


def run_target(name, target, seed, seconds):
    """Fuzz one target and print a line; returns whether it failed."""
    mutator = Mutator(seed, list(target.samples), list(target.tokens))
    end_s = time.monotonic() + seconds
    tried = refused = 0
    while time.monotonic() < end_s:
        data = mutator.next()
        try:
            refused += target.check(data)
        except Exception as error:
            print(f"{name}: {type(error).__name__}: {error} on {data!r}", flush=True)
            return True
        tried += 1
    print(f"{name}: {tried} inputs, {refused} refused", flush=True)
    return False


if __name__ == "__main__":
    sys.exit(app())
