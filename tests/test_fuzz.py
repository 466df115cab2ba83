"""A short seeded run of the fuzzer; ``python -m greengagerock.testing.fuzz`` runs for longer."""

import pytest

from greengagerock.testing.fuzz import READERS, FrontTarget, Mutator

SEED = 20
INPUTS = 1500
FRONT_INPUTS = 300


@pytest.mark.parametrize("name", READERS)
def test_reader_refuses_damage_with_a_code(name):
    target = READERS[name]
    mutator = Mutator(SEED, list(target.samples), list(target.tokens))
    refused = sum(target.check(mutator.next()) for _ in range(INPUTS))
    # Scanning a log cuts a torn end off instead of refusing it.
    assert refused > 0 or name == "log"


def test_server_survives_damaged_requests():
    front = FrontTarget("127.35.0.1:8710")
    try:
        mutator = Mutator(SEED, list(front.samples), list(front.tokens))
        refused = sum(front.check(mutator.next()) for _ in range(FRONT_INPUTS))
        assert refused > FRONT_INPUTS // 10
        assert front.is_alive()
    finally:
        front.stop()
