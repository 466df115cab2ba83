"""Threads of a router that may take its signals, on real processes."""

import signal
from pathlib import Path

import pytest

from greengagerock.testing.launch_site import SiteProcesses

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.18")
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


def read_blocked_signals(pid):
    """Return the set of blocked signals of each thread of a process, by thread id."""
    masks = {}
    for path in Path(f"/proc/{pid}/task").iterdir():
        lines = (path / "status").read_text().splitlines()
        mask = next(int(line.split()[1], 16) for line in lines if line.startswith("SigBlk:"))
        masks[int(path.name)] = {s for s in SIGNALS if mask >> (s - 1) & 1}
    return masks


@pytest.mark.parametrize("name", ["edge-1", "core-1"])
def test_only_the_thread_of_the_event_loop_takes_signals(site, name):
    # A process that stood still may have its signal taken by any thread that does not block it.
    # The event loop may then run before that thread does, without the signal, and takes the time
    # of that run for one at which it had not arrived.
    site.wait_until(site.serves_all_keys)
    pid = site.processes[name].pid
    masks = read_blocked_signals(pid)
    assert masks.pop(pid) == set()
    assert len(masks) > 5
    assert all(blocked == set(SIGNALS) for blocked in masks.values())
