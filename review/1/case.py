"""A status report of another writer reaches the controllers one after the other."""

import json
import os
import time
from pathlib import Path

from common.case import run_case
from common.instance import Instance
from common.site import (
    CONTROL_PORT,
    HEARTBEAT_S,
    CannotRunError,
    has_disruption,
    http_call,
    make_patch,
    wait_until,
)

PATCH = make_patch(
    [
        ("r-charge", "/charge/", "unsafe", "1000ms", "till"),
        ("r-look", "/look/", "safe", "800ms", "till"),
    ],
    [("till", False)],
)
# One more than the largest integer of 64 bits. JSON has integers of any length.
SEQUENCE = 1 << 64
# Time after which the operator reads back: ``recover``, the longest time that the pages allow.
RECOVER_S = 15.0
# Time for which the operator repeats its request to read back; at least ``contact``.
READ_BACK_S = 6.0
# Time in which a valid change has to be acknowledged.
ACK_S = 4.0


def check(site, record):
    """Return how the rule was broken."""
    site.start_controllers(3)
    site.start_routers(1)
    site.patch_until_accepted(PATCH)
    record.add("operator: configuration acknowledged")
    instance = Instance("i-1", "till", f"{site.network}.2.1:9000", site.controllers, record)
    instance.start()
    wait_until(lambda: site.is_ready("edge-1") and instance.acknowledged > 1, 15, "site ready")
    if read_back(site, record, READ_BACK_S) is None:
        raise CannotRunError("the configuration cannot be read before the disruption")
    if has_disruption():
        send_foreign_reports(site, record, instance)
    acknowledged = instance.acknowledged
    deadline_s = time.monotonic() + RECOVER_S
    while time.monotonic() < deadline_s:
        site.restart_ended()
        time.sleep(0.2)
    record.add(
        f"i-1: {instance.acknowledged - acknowledged} reports acknowledged in {RECOVER_S} s"
    )
    for name, process in site.processes.items():
        record.add(f"{name}: pid={process.pid} exit={process.poll()}")
    problems = judge(site, record)
    instance.stop()
    for name in site.processes:
        for line in site.log_of(name).splitlines():
            if "Error" in line:
                record.add(f"{name} logged: {line}")
    return problems


def send_foreign_reports(site, record, instance):
    """Send a report with an integer that is too long to one node after the other."""
    for number, name in enumerate(("core-1", "core-2", "core-3")):
        body = instance.report_body() | {"address": f"{site.network}.2.9:9000"}
        body["status"]["sequence"] = SEQUENCE + number
        data = json.dumps(body).encode()
        address = f"{site.ip_of(name)}:{CONTROL_PORT}"
        path = "/greengagerock/instances/i-other/heartbeat"
        status, answer = http_call(address, "POST", path, data)
        record.add(f"other writer -> {name}: {data.decode()} -> {status} {answer[:100]!r}")
        time.sleep(HEARTBEAT_S)


def judge(site, record):
    """Read the configuration back and send a change; return how the rule was broken."""
    problems = []
    items = read_back(site, record, READ_BACK_S)
    if items is None:
        problems.append("CONFIG: the acknowledged configuration is read back, and nothing comes")
    else:
        names = {row[items["routes"]["columns"].index("name")] for row in items["routes"]["rows"]}
        if names != {"r-charge", "r-look"}:
            problems.append(f"CONFIG: read back without an acknowledged item: {sorted(names)}")
    change = make_patch([("r-new", "/new/", "safe", "800ms", "till")], [], 9, False)
    deadline_s = time.monotonic() + ACK_S
    status = 0
    while not status and time.monotonic() < deadline_s:
        status, _ = site.control(
            "POST", "/greengagerock/config/patch", json.dumps(change).encode()
        )
    record.add(f"operator: change within {ACK_S} s -> {status}")
    return problems


def read_back(site, record, limit_s):
    """Return the items that stand, or ``None`` if nothing comes in time."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        status, data = site.control("GET", "/greengagerock/config/get")
        if status == 200:
            record.add(f"operator: read back {len(data)} bytes")
            return json.loads(data)
        time.sleep(0.1)
    record.add(f"operator: no configuration in {limit_s} s")
    return None


if __name__ == "__main__":
    os._exit(run_case(Path(__file__).parent, check))
