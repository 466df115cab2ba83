"""Starts a site on loopback addresses, whose hosts discover each other through seeds.

``python -m greengagerock.testing.launch_site`` runs three controllers and two routers in
separate processes, and eight endpoints on threads, until SIGTERM or SIGINT.
"""

import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import urllib3
import yaml

from greengagerock.testing.reporting_endpoint import ReportingEndpoint

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
CALLER_PORT = 8480
READY_PORT = 8481
CONTROL_PORT = 8482
LINK_PORT = 8483
RELAY_PORT = 8484
ENDPOINT_PORT = 8490
ZONES = ("zone-1", "zone-2", "zone-3")

INITIAL_STATEMENTS = """
set service till version 1 health /health connections 100 keyed warm 2s;
set service docs version 1 health /health connections 100;
set limits version 1 headers 16384 body 1048576 header_timeout 3s idle_timeout 15s;
set route balance version 1 host shop.example prefix /balance/ to till
    kind safe timeout 2s attempts 2 objective 300ms priority 2;
set route charge version 1 host shop.example prefix /charge/ to till
    kind unsafe timeout 2s attempts 2 objective 400ms priority 1;
set route prices version 1 host shop.example prefix /prices/ to docs
    kind safe timeout 2s attempts 2 objective 150ms priority 1
"""


class SiteProcesses:
    """The processes of a site.

    Args:
        folder: Folder of settings, logs and data.
        network: First two bytes of its loopback addresses.

    Attributes:
        processes: Latest daemon process by host name.
        reporting_endpoints: ``ReportingEndpoint`` objects by name.
        controllers: IP addresses of the controllers.
        routers: IP addresses of the routers.
    """

    def __init__(self, folder, network="127.5"):
        self.folder = Path(folder)
        self.network = network
        self.processes = {}
        self.reporting_endpoints = {}
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.controllers = [f"{network}.0.{number}" for number in (1, 2, 3)]
        self.routers = [f"{network}.1.{number}" for number in (1, 2)]

    def start(self, till_count=6, docs_count=2):
        """Start all hosts and endpoints and wait until the routers serve all keys."""
        for number, ip in enumerate(self.controllers, 1):
            self.start_daemon(f"core-{number}", ip, "controller", ZONES[number - 1], True)
        for number, ip in enumerate(self.routers, 1):
            self.start_daemon(
                f"edge-{number}", ip, "router", ZONES[(number - 1) % len(ZONES)], True
            )
        self.wait_until(lambda: self.apply_items(INITIAL_STATEMENTS))
        for number in range(1, till_count + 1):
            self.add_reporting_endpoint(f"till-{number}", "till", number)
        for number in range(1, docs_count + 1):
            self.add_reporting_endpoint(f"docs-{number}", "docs", 100 + number)
        self.wait_until(self.serves_all_keys)

    def add_reporting_endpoint(self, name, service, number):
        """Start an endpoint on threads of this process."""
        address = f"{self.network}.2.{number}:{ENDPOINT_PORT}"
        zone = ZONES[number % len(ZONES)]
        controllers = [f"{ip}:{CONTROL_PORT}" for ip in self.controllers]
        endpoint = ReportingEndpoint(name, service, zone, address, controllers)
        self.reporting_endpoints[name] = endpoint
        endpoint.start()
        return endpoint

    def settings_of(self, name, ip, role, zone, may_bootstrap):
        """Return the settings of one daemon as a dictionary for YAML."""
        settings = {
            "host": name,
            "availability_zone": zone,
            "role": role,
            "link_address": f"{ip}:{LINK_PORT}",
            "seeds": [f"{seed}:{LINK_PORT}" for seed in self.controllers],
            "may_found": may_bootstrap,
            "report_interval_s": 0.3,
            "hold_s": 2.0,
        }
        if role == "router":
            settings["callers"] = f"{ip}:{CALLER_PORT}"
            settings["readiness"] = f"{ip}:{READY_PORT}"
            settings["relay"] = f"{ip}:{RELAY_PORT}"
        else:
            settings["control"] = f"{ip}:{CONTROL_PORT}"
            settings["data_folder"] = str(self.folder / name)
        return settings

    def start_daemon(self, name, ip, role, zone, may_bootstrap=False):
        """Write the settings of one daemon and start it; its output goes to a log file."""
        settings = self.settings_of(name, ip, role, zone, may_bootstrap)
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        log_file = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        command = [sys.executable, "-m", "greengagerock.daemon.main", str(path)]
        self.processes[name] = subprocess.Popen(
            command, stdout=log_file, stderr=log_file, **self.process_options(name)
        )
        log_file.close()

    def process_options(self, name):
        """Return further arguments of ``subprocess.Popen`` for a daemon."""
        return {}

    def apply_items(self, text):
        """Send statements to the controllers in turn; returns whether one accepted them."""
        for ip in self.controllers:
            url = f"http://{ip}:{CONTROL_PORT}/items"
            try:
                if self.http.request("POST", url, body=text.encode()).status == 200:
                    return True
            except urllib3.exceptions.HTTPError:
                # This controller does not listen yet or was stopped; try the next one.
                continue
        return False

    def call(self, path, key=None, router=0, method="GET", body=None, headers=None):
        """Send a caller's request to a router; returns the response."""
        request_headers = {"Host": "shop.example", **(headers or {})}
        if key is not None:
            request_headers["Greengage-Key"] = str(key)
        url = f"http://{self.routers[router]}:{CALLER_PORT}{path}"
        return self.http.request(method, url, headers=request_headers, body=body)

    def wait_until(self, condition):
        """Wait until a condition holds.

        Raises:
            TimeoutError: If that takes longer than ``START_TIMEOUT_S``.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if condition():
                return
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError("condition not met within the start time-out")

    def serves_all_keys(self):
        """Return whether every router serves a sample of keys from the whole range."""
        try:
            return all(
                self.call("/balance/x", key, router).status == 200
                for key in range(0, 65_536, 4096)
                for router in range(len(self.routers))
            )
        except urllib3.exceptions.HTTPError:
            return False

    def stop(self):
        """Stop the endpoints and terminate all processes; kill those that do not end in time."""
        for endpoint in self.reporting_endpoints.values():
            endpoint.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def main():
    """Run a site until SIGTERM or SIGINT."""
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    with tempfile.TemporaryDirectory(prefix="greengagerock-site-") as folder:
        site = SiteProcesses(folder)
        try:
            site.start()
            print(f"ready: callers on {site.routers[0]}:{CALLER_PORT}; try", flush=True)
            print(
                f"  curl -H 'Host: shop.example' -H 'Greengage-Key: 7' "
                f"http://{site.routers[0]}:{CALLER_PORT}/balance/card-1",
                flush=True,
            )
            stop_requested.wait()
        finally:
            site.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
