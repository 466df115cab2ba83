"""Router compared with the forwarder: rate, latency, processor time and memory.

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
ROUTER_ADDRESS = "127.9.0.1:8080"
PATHS = [f"/till/cards/card-{n}" for n in range(200)]
LOAD_S = 4.0
ROUNDS = 3
ENDPOINT_COUNT = 3


def write_system(folder):
    """Write the settings of a system with one host, on addresses that no other system uses."""
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
        for n in range(ENDPOINT_COUNT)
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
    """Return the result at full load and the processor milliseconds per request.

    Args:
        address: ``IP:PORT`` of the process.
        process_id: Id of the process.
    """
    cpu_at_start_s = cpu_seconds(process_id)
    result = run_load(address, PATHS, LOAD_S)
    cpu_s = cpu_seconds(process_id) - cpu_at_start_s
    return result, cpu_s / max(1.0, result.rate * LOAD_S) * 1000


def main():
    """Start both systems, measure them alternately and write the report."""
    with tempfile.TemporaryDirectory() as folder:
        write_system(folder)
        system = ExampleSystem(folder, folder, separate_stand_ins=True)
        addresses = [f"127.9.0.2:{9100 + n}" for n in range(ENDPOINT_COUNT)]
        ip, port = FORWARDER_ADDRESS.split(":")
        command = [sys.executable, "-m", "bench.forwarder", ip, port, *addresses]
        forwarder = subprocess.Popen(command)
        try:
            system.start()
            system.wait_until_healthy()
            time.sleep(2.0)
            measure_rounds(system, forwarder)
        finally:
            forwarder.terminate()
            forwarder.wait()
            system.stop()


def measure_rounds(system, forwarder):
    """Measure in rounds and write the report."""
    router_process_id = next(iter(system.daemons.values())).pid
    rows = []
    for number in range(1, ROUNDS + 1):
        forwarder_full, forwarder_cpu_ms = measure(FORWARDER_ADDRESS, forwarder.pid)
        router_full, router_cpu_ms = measure(ROUTER_ADDRESS, router_process_id)
        half_rate = min(forwarder_full.rate, router_full.rate) / 2
        forwarder_half = run_load(FORWARDER_ADDRESS, PATHS, LOAD_S, rate=half_rate)
        router_half = run_load(ROUTER_ADDRESS, PATHS, LOAD_S, rate=half_rate)
        rows.append(
            {
                "round": number,
                "forwarder_rate": round(forwarder_full.rate),
                "router_rate": round(router_full.rate),
                "rate_ratio": round(router_full.rate / forwarder_full.rate, 3),
                "half_rate": round(half_rate),
                "forwarder_median_ms": forwarder_half.median_ms,
                "router_median_ms": router_half.median_ms,
                "median_added_ms": round(router_half.median_ms - forwarder_half.median_ms, 3),
                "forwarder_p99_ms": forwarder_half.p99_ms,
                "router_p99_ms": router_half.p99_ms,
                "forwarder_cpu_ms": round(forwarder_cpu_ms, 3),
                "router_cpu_ms": round(router_cpu_ms, 3),
                "forwarder_rss_mb": round(resident_mb(forwarder.pid), 1),
                "router_rss_mb": round(resident_mb(router_process_id), 1),
                "failures": forwarder_full.failures
                + router_full.failures
                + forwarder_half.failures
                + router_half.failures,
            }
        )
    write_report("router_overhead", rows)


if __name__ == "__main__":
    main()
