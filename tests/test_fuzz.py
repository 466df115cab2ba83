"""Short seeded run of the fuzzer; ``python -m greengagerock.testing.fuzz`` runs for longer."""

import pytest

from greengagerock.testing.fuzz import DECODERS, HttpServerTarget, Mutator

SEED = 20
INPUTS = 1500
SERVER_INPUTS = 300


@pytest.mark.parametrize("name", DECODERS)
def test_decoder_refuses_mutated_input_with_a_code(name):
    target = DECODERS[name]
    mutator = Mutator(SEED, list(target.samples), list(target.tokens))
    refused_count = sum(target.check(mutator.next()) for _ in range(INPUTS))
    # A scan of the log drops a damaged tail instead of refusing it.
    assert refused_count > 0 or name == "log"


def test_server_survives_mutated_requests():
    target = HttpServerTarget("127.35.0.1:8710")
    try:
        mutator = Mutator(SEED, list(target.samples), list(target.tokens))
        refused_count = sum(target.check(mutator.next()) for _ in range(SERVER_INPUTS))
        assert refused_count > SERVER_INPUTS // 10
        assert target.is_alive()
    finally:
        target.stop()
