"""Case 11: a refusal that comes again late, on a connection of a router that relays."""

import os
import random
import sys
import threading
import time
from pathlib import Path

from review.common_3.instance import Instance
from review.common_3.record import Record
from review.common_3.system import System, call

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
CUT_S = 10.0
EXTRA_SHARE = 0.03
LOAD_S = 8.5
CALM_S = 3.2
# Time in which the resets reach the router, before the next requests.
SETTLE_S = 0.5
# Requests one by one after the cut, from which the router learns of it before the load goes on.
SINGLE_REQUESTS = 8
ROUNDS = 6
# Requests that come together to the router that is cut off, and requests per second to another
# one whose load fills the instances.
BURST = 8
BURST_INTERVAL_S = 0.2
RATE_PER_S = 75
WORK_S = 0.04
REFUSALS = (408, 421, 429, 503)


def main():
    """Return the exit status of the case."""
    record = Record(HERE / "record.txt")
    system = System(record, controllers=3, routers=3)
    instances = []
    answers = {}
    try:
        system.start()
        pids = {name: process.pid for name, process in system.processes.items()}
        columns = ["name", "host", "path-prefix", "type", "timeout", "target-latency"]
        columns += ["priority", "max-attempts", "version", "service"]
        row = ["r-charge", HOST, "/charge/", "unsafe", "1000ms", "400ms", 1, 2, 3, "till"]
        service_columns = ["name", "health-path", "max-conns", "protocol", "tls", "sharded"]
        service_columns += ["warm", "grants", "version"]
        service = ["till", "/health", 120, "h1", False, True, "5s", "heartbeat", 3]
        limits = {"max-header-bytes": 16384, "max-body-bytes": 67108864}
        limits |= {"header-timeout": "3000ms", "idle-timeout": "15000ms", "version": 3}
        patch = {
            "upsert": {
                "routes": {"columns": columns, "rows": [row]},
                "services": {"columns": service_columns, "rows": [service]},
                "limits": limits,
            },
            "remove": {"routes": []},
        }
        if system.patch(patch) != 200:
            return 2
        for number in (1, 2):
            address = f"{system.network}.{100 + number}:{system.front_port}"
            instance = Instance(
                record,
                f"i-{number}",
                "till",
                "irbid",
                address,
                system.control_addresses,
                work_s=WORK_S,
            )
            instance.pids = [pids[name] for name in system.edge]
            instances.append(instance)
            instance.start()
        system.wait_until_ready()
        fronts = [f"{system.edge[name]}:{system.front_port}" for name in ("edge-1", "edge-3")]
        counter = iter(range(1_000_000))
        if not wait_for_service(fronts[0], counter, answers, record):
            return 2
        for number in range(ROUNDS):
            send_all(fronts, counter, answers, record, time.monotonic() + CALM_S)
            if HAS_TROUBLE:
                record.note("cut", round=number, machine="edge-1", for_s=CUT_S)
                instances[0].begin_extras(EXTRA_SHARE)
                for instance in instances:
                    instance.cut(pids["edge-1"])
                time.sleep(SETTLE_S)
            for _ in range(SINGLE_REQUESTS):
                send(fronts[0], counter, answers, record)
                time.sleep(0.05)
            send_all(fronts, counter, answers, record, time.monotonic() + LOAD_S)
            if HAS_TROUBLE:
                instances[0].begin_extras(0.0)
                for instance in instances:
                    instance.heal()
                record.note("healed", round=number, machine="edge-1")
            time.sleep(1.5)
            if judge(record, answers, instances):
                return 1
        return 0
    except Exception as error:
        record.note("could-not-run", detail=repr(error))
        return 2
    finally:
        for instance in instances:
            instance.stop()
        system.stop()
        record.close()


def wait_for_service(front, counter, answers, record):
    """Return whether the router serves requests for any key in time."""
    deadline_s = time.monotonic() + 30.0
    served = 0
    while served < 40:
        if time.monotonic() > deadline_s:
            return False
        served = served + 1 if send(front, counter, answers, record) == 200 else 0
    return True


def send_all(fronts, counter, answers, record, end_s):
    """Send bursts to one router and single requests to another until a time."""
    burst_front, steady_front = fronts
    threads = []
    next_single_s = next_burst_s = time.monotonic()
    while (next_s := min(next_single_s, next_burst_s)) < end_s:
        time.sleep(max(0.0, next_s - time.monotonic()))
        due = []
        if next_s == next_single_s:
            due.append(steady_front)
            next_single_s += random.expovariate(RATE_PER_S)
        if next_s == next_burst_s:
            due += [burst_front] * BURST
            next_burst_s += BURST_INTERVAL_S
        for front in due:
            thread = threading.Thread(target=send, args=(front, counter, answers, record))
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()


def send(front, counter, answers, record):
    """Send one request with an id of its own; return the status, or ``None``."""
    number = next(counter)
    request_id = f"c{number:06d}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "1000",
        "X-Shard-Key": str(number * 7919 % 65536),
    }
    try:
        status, _ = call(front, "POST", "/charge/1", b"x" * 200, headers, timeout_s=1.5)
    except OSError:
        status = None
    answers[request_id] = status
    record.note("answered", id=request_id, status=status)
    return status


def judge(record, answers, instances):
    """Record how often the rules were broken; return 1 if a request ran twice, else 0."""
    runs = {}
    for instance in instances:
        for request_id, count in instance.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    twice = sorted(i for i, count in runs.items() if count > 1)
    refused = sorted(i for i, status in answers.items() if status in REFUSALS and runs.get(i))
    unasked = sorted(i for i in runs if i not in answers)
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    record.note("statuses", **{str(status): count for status, count in statuses.items()})
    record.note("refusals", count=sum(instance.refusals for instance in instances))
    record.note("extras", count=sum(instance.extra_total for instance in instances))
    record.note("TWICE", count=len(twice), ids=",".join(twice))
    record.note("REFUSED", count=len(refused), ids=",".join(refused))
    record.note("UNASKED", count=len(unasked), ids=",".join(unasked))
    return 1 if twice else 0


if __name__ == "__main__":
    sys.exit(main())
