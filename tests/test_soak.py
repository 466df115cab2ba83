"""Tests of the soak's checks and proxies, and short seeded soaks of real processes."""

import socket
from pathlib import Path

import pytest
import yaml

from greengagerock.testing.soak import History, SoakSite, find_violations
from greengagerock.testing.soak.history import AcknowledgedChange, Attempt, ReadBack, Run
from greengagerock.testing.soak.hold_spans import HoldSpans
from greengagerock.testing.soak.proxy import FROM_TARGET, FaultProxy, ProxyLoop

SEEDS = yaml.safe_load((Path(__file__).parent / "soak_seeds.yaml").read_text())
CI_SECONDS = 6.0
SOCKET_TIMEOUT_S = 10.0


def build_attempt(**changes):
    defaults = {
        "request_id": "r1",
        "kind": "charge",
        "target": "POST /charge/r1",
        "body": b"abc",
        "sent_s": 1.0,
        "ended_s": 1.1,
        "status": 200,
        "content": b"till-1 ran POST /charge/r1\nabc",
        "whole": True,
        "answered_id": "r1",
    }
    return Attempt(**(defaults | changes))


def build_run(**changes):
    defaults = {
        "request_id": "r1",
        "endpoint": "till-1",
        "target": "POST /charge/r1",
        "body": b"abc",
        "at_s": 1.05,
    }
    return Run(**(defaults | changes))


def violations_of(*records):
    history = History()
    for record in records:
        history.add(record)
    return find_violations(history)


def test_sound_history_has_no_violation():
    read = ReadBack(3.0, {"extra-1": 7})
    assert (
        violations_of(build_attempt(), build_run(), AcknowledgedChange("extra-1", 7, 2.0), read)
        == []
    )


@pytest.mark.parametrize(
    ("records", "expected_text"),
    [
        ((build_attempt(), build_run(), build_run(endpoint="till-2")), "may run once"),
        ((build_attempt(status=503, outcome="not-run"), build_run()), "not-run and has run"),
        ((build_attempt(content=b"till-1 ran GET /x\n"), build_run()), "another request"),
        ((build_attempt(content=b"till-1 ran POST /charge/r1\nab"), build_run()), "a part"),
        ((build_attempt(),), "got status 200 but ran at no endpoint"),
        ((build_attempt(answered_id="r2"), build_run()), "carries the id r2"),
        ((build_attempt(), build_run(body=b"abx")), "changed"),
        ((build_attempt(), build_run(at_s=9.0, drained_s=6.0)), "after its leave"),
        ((AcknowledgedChange("extra-1", 7, 2.0), ReadBack(3.0, {"extra-1": 6})), "read back"),
        ((AcknowledgedChange("extra-1", 7, 2.0), ReadBack(3.0, {})), "read back"),
    ],
)
def test_each_violation_is_found(records, expected_text):
    (violation,) = violations_of(*records)
    assert expected_text in violation


def test_overlapping_holds_of_two_instances_are_found():
    spans = HoldSpans(clock=iter([0.0, 1.0, 2.0, 3.0]).__next__)
    spans.record_holds("e1", "till", {7: 5.0})
    spans.record_holds("e2", "till", {7: 6.0})
    spans.end("e1")
    spans.end("e2")
    (violation,) = spans.overlaps()
    assert "unit 7 of till" in violation


def test_proxy_silences_one_direction_and_resets_connections():
    loop = ProxyLoop()
    server = socket.create_server(("127.39.0.1", 8500))
    proxy = FaultProxy(loop, "p", "127.39.0.2:8500", "127.39.0.1:8500")
    try:
        caller = socket.create_connection(("127.39.0.2", 8500), SOCKET_TIMEOUT_S)
        target, _ = server.accept()
        target.settimeout(SOCKET_TIMEOUT_S)
        proxy.silent_directions = frozenset({FROM_TARGET})
        caller.sendall(b"question")
        assert target.recv(100) == b"question"
        target.sendall(b"answer")
        caller.settimeout(0.2)
        with pytest.raises(TimeoutError):
            caller.recv(100)
        proxy.heal()
        caller.settimeout(SOCKET_TIMEOUT_S)
        assert caller.recv(100) == b"answer"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            caller.recv(100)
    finally:
        server.close()
        loop.stop()


@pytest.mark.parametrize("seed", SEEDS)
def test_short_soak_has_no_violation(seed, tmp_path):
    site = SoakSite(tmp_path, "127.38")
    try:
        site.start()
        history = site.soak(seed, CI_SECONDS)
    finally:
        site.stop()
    assert find_violations(history) == []
    assert history.served() > 0
