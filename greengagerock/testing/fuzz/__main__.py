"""Runs the fuzzer: ``python -m greengagerock.testing.fuzz --seed 1 --seconds 60``."""

import sys
import time

from cyclopts import App

from greengagerock.testing.fuzz.decoder_targets import DECODERS
from greengagerock.testing.fuzz.http_server import HttpServerTarget
from greengagerock.testing.fuzz.mutator import Mutator

SERVER_ADDRESS = "127.36.0.1:8700"

app = App(
    name="greengagerock.testing.fuzz",
    help="Fuzz decoders of input from outside and the HTTP server for callers.",
)


@app.default
def fuzz(*, seed: int = 1, seconds: float = 60.0) -> int:
    """Fuzz all targets, one after the other.

    Args:
        seed: Seed of the mutations.
        seconds: Duration for each target.

    Returns:
        0, or 1 if a target failed.
    """
    server_target = HttpServerTarget(SERVER_ADDRESS)
    has_failed = False
    try:
        for name, target in (DECODERS | {"front": server_target}).items():
            has_failed |= run_target(name, target, seed, seconds)
    finally:
        server_target.stop()
    return int(has_failed)


def run_target(name, target, seed, seconds):
    """Fuzz one target and print its result; returns whether it failed."""
    mutator = Mutator(seed, list(target.samples), list(target.tokens))
    end_s = time.monotonic() + seconds
    tried_count = refused_count = 0
    while time.monotonic() < end_s:
        data = mutator.next()
        try:
            refused_count += target.check(data)
        except Exception as error:
            print(f"{name}: {type(error).__name__}: {error} on {data!r}", flush=True)
            return True
        tried_count += 1
    print(f"{name}: {tried_count} inputs, {refused_count} refused", flush=True)
    return False


if __name__ == "__main__":
    sys.exit(app())
