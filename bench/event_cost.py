"""Time that the decision core takes to handle one event.

Run with ``python -m bench.event_cost``. The baseline consists of a dictionary look-up and
a round robin.
"""

import itertools
import time

from bench.report import write_report
from greengagerock.core.interface import RequestArrived, RequestEnded, TimeAdvanced
from greengagerock.testing.system_builders import build_fake_system

EVENTS = 20_000
ROUNDS = 5


def time_requests(node, now_s):
    """Return the mean seconds of one request: its arrival and its end."""
    start_s = time.perf_counter()
    for token in range(1, EVENTS + 1):
        node.handle(
            RequestArrived(token, "r", "till", "GET", f"/cards/{token % 500}", "", {}), now_s
        )
        node.handle(RequestEnded(token, True), now_s)
    return (time.perf_counter() - start_s) / EVENTS


def time_baseline():
    """Return the mean seconds of one request in the baseline."""
    services = {"till": itertools.cycle(["a", "b", "c"])}
    in_flight = {}
    start_s = time.perf_counter()
    for token in range(1, EVENTS + 1):
        event = RequestArrived(token, "r", "till", "GET", f"/cards/{token % 500}", "", {})
        in_flight[token] = next(services[event.service])
        del in_flight[token]
    return (time.perf_counter() - start_s) / EVENTS


def time_idle_events(node, now_s):
    """Return the mean seconds of a ``TimeAdvanced`` event on which nothing is due."""
    start_s = time.perf_counter()
    for _ in range(EVENTS):
        node.handle(TimeAdvanced(), now_s)
    return (time.perf_counter() - start_s) / EVENTS


def main():
    """Measure and write the report."""
    system = build_fake_system(slots=256)
    node = next(h.node for h in system.hosts.values() if not h.node.voter)
    rows = []
    for number in range(1, ROUNDS + 1):
        request_us = time_requests(node, system.now_s) * 1e6
        baseline_us = time_baseline() * 1e6
        rows.append(
            {
                "round": number,
                "request_us": round(request_us, 1),
                "naive_us": round(baseline_us, 1),
                "ratio": round(request_us / baseline_us, 1),
                "idle_event_us": round(time_idle_events(node, system.now_s) * 1e6, 2),
            }
        )
    write_report("event_cost", rows)


if __name__ == "__main__":
    main()
