"""A late status report reaches a new leader before the reports of the present holders."""

import itertools
import os
import threading
import time
from pathlib import Path

from common.case import run_case
from common.keyed import KEY_COUNT, KeyedInstance
from common.proxy import DelayingProxy
from common.site import (
    CONTROL_PORT,
    FRONT_PORT,
    HEARTBEAT_S,
    CannotRunError,
    has_disruption,
    http_call,
    make_patch,
    wait_until,
)

PATCH = make_patch(
    [("r-charge", "/charge/", "unsafe", "1000ms", "till")],
    [("till", True)],
)
SERVICE = "till"
INSTANCE_PORT = 9000
PROXY_PORT = 9100
JOINING_COUNT = 7
# Keys that each joining instance holds at least before the leader is killed.
MIN_KEYS = 4096
# Time for which the killed process is down, at most ``for_s`` of ``node_kill`` in the site file.
DOWN_S = 3.2
# Bounds of the rule OWNER: ``thaw``, and how long two instances may hold the same keys.
THAW_S = 0.3
BOTH_HOLD_S = 0.5
OBSERVED_S = 14.0
REQUEST_INTERVAL_S = 0.02


class HoldWatch:
    """Watches which instances hold which keys, from their sides.

    Attributes:
        fences: Highest fence with which an instance has held each key.
        holders: Name of that instance.
        problems: How the rule was broken.
        excused_until_s: Until when grants don't count.
    """

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.fences = [0] * KEY_COUNT
        self.holders = [""] * KEY_COUNT
        self.instances = []
        self.problems = []
        self.excused_until_s = 0.0
        self.shared_since_s = {}
        self.longest_s = {}

    def note(self, instance, before, after):
        """Record a change of the keys that an instance holds."""
        now_s = time.monotonic()
        with self.lock:
            gained = [key for key in range(KEY_COUNT) if after[key] and after[key] != before[key]]
            stale = [
                key
                for key in gained
                if self.holders[key] not in ("", instance.name) and after[key] <= self.fences[key]
            ]
            for key in gained:
                if after[key] > self.fences[key]:
                    self.fences[key], self.holders[key] = after[key], instance.name
            lost_count = sum(1 for key in range(KEY_COUNT) if before[key] and not after[key])
            self.record.add(
                f"{instance.name} takes {len(gained)} keys, gives up {lost_count}"
                + (f"; {len(stale)} with a fence not above another holder's" if stale else "")
            )
            if stale and now_s >= self.excused_until_s:
                key = stale[0]
                self.problems.append(
                    f"OWNER: {instance.name} takes {len(stale)} keys with a fence that is not"
                    f" above those of other instances, such as key {key} with fence {after[key]},"
                    f" which {self.holders[key]} had with {self.fences[key]}"
                )

    def sample(self):
        """Note for how long pairs of instances have held the same keys."""
        now_s = time.monotonic()
        holding = [i for i in self.instances if now_s < i.until_s]
        for one, other in itertools.combinations(holding, 2):
            pair = (one.name, other.name)
            fences = zip(one.fences, other.fences, strict=True)
            shared = sum(1 for mine, theirs in fences if mine and theirs)
            if not shared:
                self.shared_since_s.pop(pair, None)
                continue
            since_s = self.shared_since_s.setdefault(pair, now_s)
            self.longest_s[pair] = max(self.longest_s.get(pair, 0.0), now_s - since_s)

    def shared_problems(self):
        """Return a line for each pair that held the same keys for too long."""
        return [
            f"OWNER: {one} and {other} hold the same keys for {span_s:.2f} s"
            for (one, other), span_s in self.longest_s.items()
            if span_s > BOTH_HOLD_S
        ]


def check(site, record):
    """Return how the rule was broken."""
    watch = HoldWatch(record)
    site.start_controllers(3)
    site.start_routers(1)
    site.patch_until_accepted(PATCH)
    first = start_instance(site, record, watch, 0)
    wait_until(
        lambda: site.is_ready("edge-1") and count_keys(first) == KEY_COUNT, 25, "first keys"
    )
    if has_disruption():
        proxy = send_late_report(site, record, first)
    for number in range(1, JOINING_COUNT + 1):
        start_instance(site, record, watch, number)
    wait_until(lambda: all(count_keys(i) >= MIN_KEYS for i in watch.instances), 25, "keys moved")
    record.add("all instances hold keys")
    ends = threading.Event()
    threading.Thread(target=send_requests, args=(site, record, ends), daemon=True).start()
    started_s = time.monotonic()
    killed = ""
    if has_disruption():
        killed = kill_leader(site, record, watch, proxy)
    while time.monotonic() - started_s < OBSERVED_S:
        watch.sample()
        if killed and time.monotonic() - started_s >= DOWN_S:
            site.start(killed)
            killed = ""
        time.sleep(0.02)
    ends.set()
    for instance in watch.instances:
        instance.stop()
    note_runs(watch, record)
    return watch.problems + watch.shared_problems()


def start_instance(site, record, watch, number):
    """Start an instance, whose first report comes at a moment of its own."""
    address = f"{site.network}.2.{number + 1}:{INSTANCE_PORT}"
    instance = KeyedInstance(
        f"i-{number}", SERVICE, address, site.controllers, record, number, watch.note
    )
    instance.phase_s = number * HEARTBEAT_S / (JOINING_COUNT + 1)
    watch.instances.append(instance)
    instance.start()
    return instance


def count_keys(instance):
    """Return how many keys an instance holds."""
    return sum(1 for fence in instance.fences if fence)


def send_late_report(site, record, instance):
    """Let an instance send a report that stays on its way; it calls the next node after 1 s."""
    follower = next(name for name in ("core-1", "core-2", "core-3") if name != site.leader())
    target = f"{site.ip_of(follower)}:{CONTROL_PORT}"
    proxy = DelayingProxy(f"{site.network}.3.1:{PROXY_PORT}", target, record)
    body = instance.report_body()
    record.add(f"{instance.name} sends report {body['status']['sequence']}: {body['holds']}")
    threading.Thread(
        target=instance.send_report, args=(f"{site.network}.3.1:{PROXY_PORT}", body), daemon=True
    ).start()
    return proxy


def kill_leader(site, record, watch, proxy):
    """Kill the leader and deliver the late report once another one leads; return its machine."""
    killed = site.leader()
    if f"{site.ip_of(killed)}:{CONTROL_PORT}" == proxy.target:
        raise CannotRunError("the leader changed before the disruption")
    site.kill(killed)
    wait_until(lambda: site.leader() != killed, 8, "another leader")
    record.add(f"{site.leader()} leads")
    proxy.released.set()
    wait_until(proxy.delivered.is_set, 3, "late report delivered")
    watch.excused_until_s = time.monotonic() + THAW_S
    return killed


def send_requests(site, record, ends):
    """Send requests that may run once, one after the other, for keys of the whole range."""
    address = f"{site.ip_of('edge-1')}:{FRONT_PORT}"
    counts = {}
    for number in itertools.count():
        if ends.is_set():
            break
        status = http_call_with_key(address, number)
        counts[status] = counts.get(status, 0) + 1
        time.sleep(REQUEST_INTERVAL_S)
    record.add(f"client: answers by status {counts}")


def http_call_with_key(address, number):
    """Send one request and return the status of its answer, 0 without one."""
    key = number * 4099 % KEY_COUNT
    headers = {
        "Host": "shop.example",
        "X-Request-Id": f"q{number:06d}",
        "X-Deadline-Ms": "1000",
        "X-Shard-Key": str(key),
    }
    return http_call(address, "POST", f"/charge/{number}", b"sum=1", 2.0, headers)[0]


def note_runs(watch, record):
    """Record how many requests each instance ran."""
    for instance in watch.instances:
        record.add(f"{instance.name} ran {len(instance.runs)} requests")


if __name__ == "__main__":
    os._exit(run_case(Path(__file__).parent, check))
