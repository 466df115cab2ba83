"""Cost of control traffic by size of the system, in one process and virtual time.

Run with ``python -m bench.control_cost``. For growing numbers of hosts, endpoints
and slots, measures the encoded bytes that each role sends and receives in an
idle system, the messages that it sends, and the processor time of its events;
then the bytes of a change, the time from a change to its acknowledgement, the
catch-up of a voter that missed changes, and the size of the replicated state.
"""

import time
import tracemalloc
from collections import defaultdict

from bench.report import write_report
from greengagerock.control.state_machine import encode_command
from greengagerock.core import Timestamp
from greengagerock.testing.system_builders import (
    are_routers_current,
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)
from greengagerock.transport import Envelope, encode_envelope
from greengagerock.transport.monitor import MessageSequence

IDLE_S = 10.0
CHANGES = 40


class TrafficMeter:
    """Counts bytes, messages and processor time of the hosts of a fake system.

    Args:
        system: The ``FakeSystem``, whose sending and event handling are wrapped.

    Attributes:
        sent_bytes: Encoded bytes sent, by host.
        received_bytes: Encoded bytes received, by host.
        messages: Messages sent, by host.
        cpu_s: Processor time of events in seconds, by host.
    """

    def __init__(self, system):
        self.system = system
        self.reset()
        self._send = system._send
        self._feed = system._feed
        system._send = self.send
        system._feed = self.feed

    def reset(self):
        """Reset all counters."""
        self.sent_bytes = defaultdict(int)
        self.received_bytes = defaultdict(int)
        self.messages = defaultdict(int)
        self.cpu_s = defaultdict(float)

    def send(self, host, address, message):
        """Count a message and send it."""
        sender = host.config.host
        timestamp = Timestamp(int(self.system.now_s * 1e6))
        size_bytes = len(
            encode_envelope(
                Envelope(
                    sender.name, sender.address, timestamp, message, MessageSequence(1, 1, 1, 1)
                )
            )
        )
        self.sent_bytes[sender.name] += size_bytes
        self.messages[sender.name] += 1
        self.received_bytes[self.system.by_address[address].config.host.name] += size_bytes
        self._send(host, address, message)

    def feed(self, host, event):
        """Handle an event and add its processor time."""
        start_s = time.process_time()
        self._feed(host, event)
        self.cpu_s[host.config.host.name] += time.process_time() - start_s


def hosts_by_role(system):
    """Return the name of one host by role."""
    leader = find_leader(system).config.host.name
    lease_manager = next(
        n for n, h in system.hosts.items() if h.node.lease_manager and n != leader
    )
    router = next(
        n for n, h in system.hosts.items() if not h.node.lease_manager and not h.node.voter
    )
    voter = next(n for n, h in system.hosts.items() if h.node.voter and n != leader)
    return {"leader": leader, "keeper": lease_manager, "router": router, "voter": voter}


def idle_row(zones, hosts_per_zone, endpoints_per_zone, slots):
    """Return the cost per second of each role in an idle system."""
    system = build_fake_system(
        zones=zones,
        hosts_per_zone=hosts_per_zone,
        voters=3,
        endpoints_per_zone=endpoints_per_zone,
        slots=slots,
        rules="set moves_per_hour 0",
    )
    system.run_for(2.0)
    meter = TrafficMeter(system)
    system.run_for(IDLE_S)
    row = {
        "zones": zones,
        "hosts": zones * hosts_per_zone,
        "endpoints": zones * endpoints_per_zone,
        "slots": slots,
    }
    for role, name in hosts_by_role(system).items():
        row[f"{role}_out_B_s"] = round(meter.sent_bytes[name] / IDLE_S)
        row[f"{role}_in_B_s"] = round(meter.received_bytes[name] / IDLE_S)
        row[f"{role}_msgs_s"] = round(meter.messages[name] / IDLE_S, 1)
        row[f"{role}_cpu_ms_s"] = round(meter.cpu_s[name] / IDLE_S * 1000, 2)
    return row


def change_row(hosts_per_zone):
    """Return the latency of an operator's change and the bytes that each role sends for it."""
    system = build_fake_system(hosts_per_zone=hosts_per_zone, voters=3, slots=256)
    system.run_for(2.0)
    meter = TrafficMeter(system)
    system.run_for(IDLE_S)
    names = hosts_by_role(system)
    idle_bytes_per_s = {role: meter.sent_bytes[n] / IDLE_S for role, n in names.items()}
    meter.reset()
    start_s = system.now_s
    latencies = []
    for number in range(CHANGES):
        change_start_s = system.now_s
        text = f"alter service till set timeout_s {1 + number % 7}"
        response = system.send_statement_and_wait(names["router"], text, f"c{number}")
        assert response.in_force
        latencies.append(system.now_s - change_start_s)
    elapsed_s = system.now_s - start_s
    row = {"hosts": 3 * hosts_per_zone, "changes": CHANGES}
    row["in_force_median_s"] = round(sorted(latencies)[CHANGES // 2], 3)
    row["in_force_max_s"] = round(max(latencies), 3)
    for role, name in names.items():
        extra_bytes = meter.sent_bytes[name] - idle_bytes_per_s[role] * elapsed_s
        row[f"{role}_B_per_change"] = round(extra_bytes / CHANGES)
    return row


def catch_up_row(changes):
    """Return bytes and time until a restarted voter and all routers are up to date."""
    system = build_fake_system(hosts_per_zone=3, voters=3, slots=1024)
    names = hosts_by_role(system)
    system.crash_host(names["voter"])
    for number in range(changes):
        system.send_statement(
            names["leader"], f"alter service till set timeout_s {1 + number % 9}", f"c{number}"
        )
        system.run_for(0.02)
    meter = TrafficMeter(system)
    start_s = system.now_s
    system.start_host(names["voter"])
    leader_voter = find_leader(system).node.voter
    restarted_voter = system.hosts[names["voter"]].node.voter
    system.run_until(lambda: restarted_voter.commit_index >= leader_voter.commit_index, 30.0)
    voter_caught_up_s = system.now_s - start_s
    voter_received_bytes = meter.received_bytes[names["voter"]]
    system.run_until(lambda: are_routers_current(system), 30.0)
    return {
        "changes_missed": changes,
        "voter_caught_up_s": round(voter_caught_up_s, 3),
        "voter_received_B": voter_received_bytes,
        "router_current_s": round(system.now_s - start_s, 3),
        "by_snapshot": restarted_voter.log.snapshot.index > 0,
    }


def state_row(slots, endpoints_per_zone):
    """Return the sizes of the replicated state and the routes, and the time to dump the state."""
    system = build_fake_system(
        slots=slots, endpoints_per_zone=endpoints_per_zone, rules="set moves_per_hour 0"
    )
    run_until_settled(system)
    state = leader_state(system)
    machine = find_leader(system).node.controller.machine
    start_s = time.process_time()
    snapshot = machine.dump()
    dump_s = time.process_time() - start_s
    tracemalloc.start()
    machine.state.from_image(state.to_image())
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "slots": slots,
        "endpoints": 3 * endpoints_per_zone,
        "snapshot_B": len(snapshot),
        "full_routes_B": len(encode_command(state.routes.full_delta())),
        "dump_ms": round(dump_s * 1000, 2),
        "state_memory_MB": round(peak_bytes / 1e6, 2),
    }


def main():
    """Measure all sizes and write the reports."""
    shapes = [(3, 3, 2, 64), (3, 6, 2, 64), (3, 12, 2, 64), (3, 24, 2, 64), (3, 48, 2, 64)]
    shapes += [(3, 6, 8, 64), (3, 6, 32, 64), (3, 6, 2, 1024), (3, 6, 2, 16384), (8, 6, 2, 64)]
    write_report("control_idle", [idle_row(*shape) for shape in shapes])
    write_report("control_change", [change_row(count) for count in (3, 8, 24)])
    write_report("control_catch_up", [catch_up_row(count) for count in (100, 400, 1600)])
    sizes = [(256, 4), (1024, 4), (16384, 4), (65536, 4), (1024, 64), (1024, 333)]
    write_report("control_state", [state_row(*size) for size in sizes])


if __name__ == "__main__":
    main()
