"""All instances of one zone are emptied and taken away: one of the two that hold keys."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.deployment import ZONES, CaseCannotRunError, Deployment, first_change, run_case
from common_2.instance import KEY_COUNT, Instance

FOLDER = Path(__file__).parent
# Instances of one service differ in speed: time that each of them takes to run a request.
WORK_S = (0.03, 0.1)
# The keys move to the faster instance while there is traffic, until it has this share.
FASTER_SHARE = 0.6
CALLER_COUNT = 4
MIN_TRAFFIC_S = 12.0
MAX_TRAFFIC_S = 30.0
# The instances of a zone are gone this long after the notice: variant ``reclaim`` of ``scale_in``.
NOTICE_S = 2.5
# Time from the end of the instance until requests are judged. The longest hold is 10 s.
SETTLING_S = 12.0
REQUEST_COUNT = 60
START_LIMIT_S = 25.0


def wait_for_all_keys(instances):
    """Wait until the instances together hold all keys."""
    end_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end_s:
        held = sum(last - first + 1 for i in instances for first, last, _ in i.rows)
        if held == KEY_COUNT:
            return
        time.sleep(0.2)
    raise CaseCannotRunError("the instances did not get all keys")


def send_traffic(deployment, faster):
    """Send requests for keys until the faster instance has got its larger share of them."""
    began_s = time.monotonic()
    ended = threading.Event()

    def call():
        number = 0
        while not ended.wait(0.01):
            number += 1
            key = random.randrange(KEY_COUNT)
            deployment.ask(f"t{threading.get_ident() % 10_000}-{number}", "/balance/2", key)

    callers = [threading.Thread(target=call) for _ in range(CALLER_COUNT)]
    for caller in callers:
        caller.start()
    share, lasted_s = 0.0, 0.0
    while lasted_s < MIN_TRAFFIC_S or (share < FASTER_SHARE and lasted_s < MAX_TRAFFIC_S):
        time.sleep(0.2)
        lasted_s = time.monotonic() - began_s
        share = len(faster.held_keys()) / KEY_COUNT
    ended.set()
    for caller in callers:
        caller.join()
    return share


def ask_all(deployment):
    """Send requests of two kinds by turns; return how many of each were served."""
    served = {"balance": 0, "prices": 0}
    for number in range(REQUEST_COUNT):
        key = number * KEY_COUNT // REQUEST_COUNT
        replies = {
            "balance": deployment.ask(f"b{number}", "/balance/1", key),
            "prices": deployment.ask(f"p{number}", "/prices/1"),
        }
        for kind, reply in replies.items():
            served[kind] += reply is not None and reply.status == 200
    return served


def play(record, has_trouble):
    """Play the case; return whether the rule held."""
    deployment = Deployment(record)
    instances = []
    try:
        deployment.start_all()
        if deployment.patch(first_change(), START_LIMIT_S) != 200:
            raise CaseCannotRunError("the first change was not acknowledged")
        for number, (work_s, zone) in enumerate(zip(WORK_S, ZONES[:2], strict=True)):
            address = f"{deployment.network}.{number + 101}:{deployment.instance_port}"
            name, after_s = f"i-till-{number}", 0.4 * number
            controls = deployment.controls
            instances.append(
                Instance(record, name, "till", address, controls, True, after_s, work_s, zone)
            )
        address = f"{deployment.network}.111:{deployment.instance_port}"
        docs = Instance(
            record, "i-docs-0", "docs", address, deployment.controls, False, zone=ZONES[1]
        )
        wait_for_all_keys(instances)
        share = send_traffic(deployment, instances[0])
        record.say(f"the faster instance holds {share:.2f} of the keys")
        wait_for_all_keys(instances)
        before = ask_all(deployment)
        record.say(f"served of {REQUEST_COUNT} each, before: {before}")
        if min(before.values()) < 0.9 * REQUEST_COUNT:
            raise CaseCannotRunError("the deployment does not serve")
        if has_trouble:
            instances[0].drain_and_leave(NOTICE_S)
        time.sleep(SETTLING_S)
        after = ask_all(deployment)
        last = instances[-1]
        record.say(f"served of {REQUEST_COUNT} each, after: {after}")
        record.say(
            f"{last.name}: {last.acks} reports acknowledged, {last.too_long} responses above "
            f"4 KiB, the last one of {last.ack_sizes[-1]} bytes"
        )
        docs.end()
        share_of_all = sum(after.values()) / (2 * REQUEST_COUNT)
        return min(after.values()) / REQUEST_COUNT >= share_of_all / 4
    finally:
        for instance in instances:
            instance.end()
        deployment.end()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, "Starved", play))
