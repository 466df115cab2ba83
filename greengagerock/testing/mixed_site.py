"""Site of real processes of two builds."""

import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import urllib3

from greengagerock.testing.launch_site import CONTROL_PORT, SiteProcesses
from greengagerock.testing.ready_callers import ReadyRouters
from greengagerock.testing.soak.history import History, Run
from greengagerock.testing.soak.hold_spans import HoldSpans

OLD = "old"
NEW = "new"
# Root folder of this checkout.
NEW_CHECKOUT = Path(__file__).resolve().parents[2]
# A planned stop takes up to 6 s (``stop_grace_s``); a busy machine may take several times longer.
STOP_LIMIT_S = 40.0
# Bound ``evacuate`` of a router's settings, by default.
EVACUATION_BOUND_S = 5.0
_ELECTED = re.compile(r"event=leader-elected .*?\bterm=(\d+)")
_BUILD_OF = "import greengagerock, pathlib; print(pathlib.Path(greengagerock.__file__).parents[1])"


class MixedSite(SiteProcesses):
    """A site of which each process runs one of two builds.

    Args:
        folder: Folder of settings, logs and data.
        old_checkout: Folder with the checkout of the old build.
        network: First two bytes of its loopback addresses.

    Attributes:
        checkouts: Folder of the checkout by build.
        builds: Build that each process runs, by host name.
        roles: IP address, role and availability zone of each process, by host name.
        history: The ``History``.
        spans: ``HoldSpans`` of all endpoint instances.
        evacuation_bound_s: Time after which an evacuated zone gets no request.
    """

    def __init__(self, folder, old_checkout, network="127.61"):
        super().__init__(folder, network)
        self.routers = [f"{network}.1.{number}" for number in (1, 2, 3, 4)]
        self.checkouts = {OLD: Path(old_checkout), NEW: NEW_CHECKOUT}
        self.builds = {}
        self.roles = {}
        self.history = History()
        self.spans = HoldSpans()
        self.evacuation_bound_s = EVACUATION_BOUND_S
        self.readiness = ReadyRouters(self.routers)

    @property
    def control_addresses(self):
        """``IP:PORT`` of the control interfaces."""
        return [f"{ip}:{CONTROL_PORT}" for ip in self.controllers]

    @property
    def controller_names(self):
        """Host names of the controllers."""
        return [name for name, (_, role, _) in self.roles.items() if role == "controller"]

    @property
    def router_names(self):
        """Host names of the routers."""
        return [name for name, (_, role, _) in self.roles.items() if role == "router"]

    def check_checkouts(self):
        """Check that processes of each build import the package of their checkout.

        Raises:
            RuntimeError: If they do not.
        """
        for build, checkout in self.checkouts.items():
            command = [sys.executable, "-c", _BUILD_OF]
            found = subprocess.run(
                command, capture_output=True, text=True, check=True, **self._options_of(build)
            ).stdout.strip()
            if Path(found) != checkout:
                raise RuntimeError(f"the {build} build is imported from {found}, not {checkout}")

    def _options_of(self, build):
        checkout = str(self.checkouts[build])
        return {"cwd": checkout, "env": os.environ | {"PYTHONPATH": checkout}}

    def process_options(self, name):
        """Return the working directory and environment of the build that a daemon runs."""
        return self._options_of(self.builds.setdefault(name, OLD))

    def settings_of(self, name, ip, role, zone, may_bootstrap):
        """Return the settings of a daemon, and record its role to replace it later."""
        self.roles[name] = (ip, role, zone)
        return super().settings_of(name, ip, role, zone, may_bootstrap)

    def add_reporting_endpoint(self, name, service, number):
        """Start an endpoint that states its load and whose runs and holds are recorded."""
        endpoint = super().add_reporting_endpoint(name, service, number)
        endpoint.observer = self
        endpoint.load = "1,0,3,100"
        return endpoint

    def on_holds(self, endpoint, holds):
        """Record the units that an endpoint instance holds."""
        self.spans.record_holds((endpoint.name, endpoint.started_ms), endpoint.service, holds)

    def on_run(self, endpoint, request_id, target, body):
        """Record that an endpoint starts to execute a request."""
        self.history.add(Run(request_id, endpoint.name, target, body, time.monotonic()))

    def end_spans(self):
        """End the records of holds and add those of units with two holders to the history."""
        for endpoint in self.reporting_endpoints.values():
            self.spans.end((endpoint.name, endpoint.started_ms))
        self.history.double_holders = self.spans.overlaps()

    def count_runs(self, zone):
        """Return the number of requests that endpoints of a zone have executed."""
        names = {e.name for e in self.reporting_endpoints.values() if e.zone == zone}
        return sum(run.endpoint in names for run in list(self.history.runs))

    def elections(self):
        """Return (term, host name) of each elected leader, in order, from the logs."""
        return sorted(
            (int(term), name)
            for name in self.controller_names
            for term in _ELECTED.findall((self.folder / f"{name}.log").read_text(errors="replace"))
        )

    def leader(self):
        """Return the host name of the controller that was elected last."""
        return self.elections()[-1][1]

    def replace(self, name, build):
        """Stop a process with SIGTERM and start a build at its address and data folder.

        Returns:
            The exit code of the stopped process.

        Raises:
            TimeoutError: If the new process is not ready in time.
        """
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        exit_code = process.wait(STOP_LIMIT_S)
        self.builds[name] = build
        ip, role, zone = self.roles[name]
        self.start_daemon(name, ip, role, zone)
        if role == "router":
            self.wait_until(lambda: self.readiness.is_ready(ip))
        else:
            self.wait_until(lambda: self._returns_items(ip))
        return exit_code

    def _returns_items(self, ip):
        try:
            return self.http.request("GET", f"http://{ip}:{CONTROL_PORT}/items").status == 200
        except urllib3.exceptions.HTTPError:
            # The process is not yet listening.
            return False

    def order_evacuation(self, controller, zone, verb):
        """Send an evacuation order to a controller.

        Returns:
            The error code of the response, empty if the order was accepted.
        """
        ip = self.roles[controller][0]
        url = f"http://{ip}:{CONTROL_PORT}/evacuations/{zone}/{verb}"
        response = self.http.request("POST", url)
        return "" if response.status == 200 else json.loads(response.data)["code"]

    def time_until(self, condition):
        """Return the seconds until a condition holds.

        Raises:
            TimeoutError: If that takes longer than the start time-out.
        """
        begun_s = time.monotonic()
        self.wait_until(condition)
        return time.monotonic() - begun_s
