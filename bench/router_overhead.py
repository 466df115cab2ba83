"""Router against the plain forwarder: rate, latency, processor time and memory.

Run with ``python -m bench.router_overhead``.
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import yaml

from bench.load import cpu_seconds, resident_mb, run_load
from bench.report import write_report
from greengagerock.testing.launch import ExampleSystem

FORWARDER_ADDRESS = "127.9.0.1:8079"
CALLERS = "127.9.0.1:8080"
PATHS = [f"/till/cards/card-{n}" for n in range(200)]
SECONDS = 4.0
ROUNDS = 3
STAND_INS = 3


def write_system(folder):
    """Write a system of one host on addresses of its own."""
    host = {
        "host": "bench",
        "availability_zone": "local",
        "listen": {"ip": "127.9.0.1"},
        "log": {"level": "warning"},
    }
    stand_ins = [
        {
            "name": f"till-{n}",
            "service": "till",
            "availability_zone": "local",
            "ip": "127.9.0.2",
            "port": 9100 + n,
            "entry_addresses": ["127.9.0.1:8082"],
            "concurrency": 16,
        }
        for n in range(STAND_INS)
    ]
    plan = {
        "hosts": ["host.yaml"],
        "operator_address": "127.9.0.1:8081",
        "changes": ["create service till keyed by path segment 2 slots 64"],
        "stand_ins": stand_ins,
    }
    (Path(folder) / "host.yaml").write_text(yaml.safe_dump(host))
    (Path(folder) / "system.yaml").write_text(yaml.safe_dump(plan))


def measure(address, process_id):
    """Return full rate and its processor time for one address."""
    before_s = cpu_seconds(process_id)
    full = run_load(address, PATHS, SECONDS)
    used_s = cpu_seconds(process_id) - before_s
    return full, used_s / max(1.0, full.rate * SECONDS) * 1000


def main():
    """Measure in alternating rounds and print the ratios."""
    with tempfile.TemporaryDirectory() as folder:
        write_system(folder)
        system = ExampleSystem(folder, folder, separate_stand_ins=True)
        addresses = [f"127.9.0.2:{9100 + n}" for n in range(STAND_INS)]
        ip, port = FORWARDER_ADDRESS.split(":")
        command = [sys.executable, "-m", "bench.forwarder", ip, port, *addresses]
        forwarder = subprocess.Popen(command)
        try:
            system.start()
            system.wait_until_owned()
            time.sleep(2.0)
            report(system, forwarder)
        finally:
            forwarder.terminate()
            forwarder.wait()
            system.stop()


def report(system, forwarder):
    """Run the rounds and write the report."""
    router_id = next(iter(system.daemons.values())).pid
    rows = []
    for number in range(1, ROUNDS + 1):
        plain, plain_cpu = measure(FORWARDER_ADDRESS, forwarder.pid)
        routed, routed_cpu = measure(CALLERS, router_id)
        half = min(plain.rate, routed.rate) / 2
        plain_half = run_load(FORWARDER_ADDRESS, PATHS, SECONDS, rate=half)
        routed_half = run_load(CALLERS, PATHS, SECONDS, rate=half)
        rows.append(
            {
                "round": number,
                "forwarder_rate": round(plain.rate),
                "router_rate": round(routed.rate),
                "rate_ratio": round(routed.rate / plain.rate, 3),
                "half_rate": round(half),
                "forwarder_median_ms": plain_half.median_ms,
                "router_median_ms": routed_half.median_ms,
                "median_added_ms": round(routed_half.median_ms - plain_half.median_ms, 3),
                "forwarder_p99_ms": plain_half.p99_ms,
                "router_p99_ms": routed_half.p99_ms,
                "forwarder_cpu_ms": round(plain_cpu, 3),
                "router_cpu_ms": round(routed_cpu, 3),
                "forwarder_rss_mb": round(resident_mb(forwarder.pid), 1),
                "router_rss_mb": round(resident_mb(router_id), 1),
                "failures": plain.failures
                + routed.failures
                + plain_half.failures
                + routed_half.failures,
            }
        )
    write_report("router_overhead", rows)


if __name__ == "__main__":
    main()
