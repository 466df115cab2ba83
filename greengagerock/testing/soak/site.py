"""Site of real processes behind fault proxies, with callers, an operator and faults."""

import resource
import signal
import threading
import time

from greengagerock.testing.launch_site import (
    CALLER_PORT,
    CONTROL_PORT,
    ENDPOINT_PORT,
    LINK_PORT,
    ZONES,
    SiteProcesses,
)
from greengagerock.testing.reporting_endpoint import ReportingEndpoint
from greengagerock.testing.soak.faults import (
    Crash,
    Drain,
    Freeze,
    FullDisk,
    Kill,
    Misbehave,
    NameLimits,
    Refuse,
    Reload,
    Reset,
    Silence,
    Slow,
    Stop,
    plan_faults,
)
from greengagerock.testing.soak.history import History, Run
from greengagerock.testing.soak.hold_spans import HoldSpans
from greengagerock.testing.soak.proxy import FaultProxy, ProxyLoop
from greengagerock.testing.soak.traffic import Operator, run_caller

CALLER_COUNT = 8
# Time limit for a planned stop; longer than its grace period.
STOP_LIMIT_S = 12.0
# Time for which a draining endpoint still serves after a controller has acknowledged the drain.
SERVING_AFTER_LEAVE_S = 3.0
SLOW_RESPONSE_S = 0.4
UNLIMITED = resource.RLIM_INFINITY


class SoakSite(SiteProcesses):
    """A site whose callers, endpoints, control ports and links are reached through proxies.

    Args:
        folder: Folder for settings, data and logs.
        network: First two bytes of its loopback addresses.

    Attributes:
        history: The ``History``.
        proxies: ``FaultProxy`` objects by name.
        spans: ``HoldSpans`` of all endpoint instances.
        daemon_options: (IP, role, zone) of each daemon, to restart it.
        faulted: Names of processes and endpoints with an injected fault in progress.
        callers_stop: Event that ends the callers and the operator.
    """

    def __init__(self, folder, network="127.40"):
        super().__init__(folder, network)
        self.history = History()
        self.spans = HoldSpans()
        self.loop = ProxyLoop()
        self.proxies = {}
        self.daemon_options = {}
        self.faulted = set()
        self.callers_stop = threading.Event()
        for number, ip in enumerate(self.controllers, 1):
            self._add_proxy(f"control-{number}", f"4.{number}", f"{ip}:{CONTROL_PORT}")
            self._add_proxy(f"link-core-{number}", f"6.{number}", f"{ip}:{LINK_PORT}")
        for number, ip in enumerate(self.routers, 1):
            self._add_proxy(f"callers-{number}", f"5.{number}", f"{ip}:{CALLER_PORT}")
            self._add_proxy(f"link-edge-{number}", f"7.{number}", f"{ip}:{LINK_PORT}")

    def _add_proxy(self, name, host_part, target):
        port = target.rpartition(":")[2]
        listen = f"{self.network}.{host_part}:{port}"
        self.proxies[name] = FaultProxy(self.loop, name, listen, target)
        return listen

    # --- Daemons and endpoints behind proxies ------------------------------------------

    def settings_of(self, name, ip, role, zone, may_bootstrap):
        """Return settings of a daemon whose link address and seeds are proxies."""
        self.daemon_options[name] = (ip, role, zone)
        settings = super().settings_of(name, ip, role, zone, may_bootstrap)
        settings["link_listen"] = settings["link_address"]
        settings["link_address"] = self.proxies[f"link-{name}"].listen
        settings["seeds"] = [self.proxies[f"link-core-{n}"].listen for n in (1, 2, 3)]
        return settings

    def add_reporting_endpoint(self, name, service, number):
        """Start an endpoint instance whose requests and reports pass through proxies."""
        address = f"{self.network}.2.{number}:{ENDPOINT_PORT}"
        if name not in self.proxies:
            self._add_proxy(name, f"3.{number}", address)
        controllers = [self.proxies[f"control-{n}"].listen for n in (1, 2, 3)]
        endpoint = ReportingEndpoint(
            name,
            service,
            ZONES[number % len(ZONES)],
            address,
            controllers,
            self.proxies[name].listen,
            self,
        )
        endpoint.number = number
        self.reporting_endpoints[name] = endpoint
        endpoint.start()
        return endpoint

    def on_holds(self, endpoint, holds):
        """Record the units that an endpoint instance holds."""
        self.spans.record_holds((endpoint.name, endpoint.started_ms), endpoint.service, holds)

    def on_run(self, endpoint, request_id, target, body):
        """Record that an endpoint instance starts to execute a request."""
        now_s = time.monotonic()
        self.history.add(
            Run(request_id, endpoint.name, target, body, now_s, endpoint.drain_acknowledged_s)
        )

    # --- Course of a soak --------------------------------------------------------------

    def soak(self, seed, seconds):
        """Run callers, an operator and faults, then end all faults and wait for recovery.

        Args:
            seed: Seed of the faults and of the callers' requests.
            seconds: Duration of the callers' traffic.

        Returns:
            The ``History``.
        """
        plan = plan_faults(
            seed, seconds, list(self.processes), list(self.proxies), list(self.reporting_endpoints)
        )
        router_addresses = [self.proxies[f"callers-{n}"].listen for n in (1, 2)]
        operator = Operator([self.proxies[f"control-{n}"].listen for n in (1, 2, 3)], self.history)
        workers = [
            threading.Thread(
                target=run_caller,
                args=(seed, number, router_addresses, self.history, self.callers_stop),
            )
            for number in range(CALLER_COUNT)
        ]
        workers.append(threading.Thread(target=operator.run, args=(self.callers_stop,)))
        workers += [threading.Thread(target=self._inject, args=(planned,)) for planned in plan]
        self.start_s = time.monotonic()
        for worker in workers:
            worker.start()
        while time.monotonic() - self.start_s < seconds:
            self._restart_ended_processes()
            time.sleep(0.2)
        self.callers_stop.set()
        for worker in workers:
            worker.join()
        self._recover(operator)
        for endpoint in self.reporting_endpoints.values():
            self.spans.end((endpoint.name, endpoint.started_ms))
        self.history.double_holders = self.spans.overlaps()
        return self.history

    def stop(self):
        """Stop all processes and proxies."""
        for proxy in self.proxies.values():
            proxy.heal()
        super().stop()
        self.loop.stop()

    def _recover(self, operator):
        for proxy in self.proxies.values():
            proxy.heal()
        for endpoint in self.reporting_endpoints.values():
            endpoint.response_fault, endpoint.delay_s = "whole", 0.0
        try:
            self.wait_until(self.serves_all_keys)
            self.wait_until(operator.read_back)
        except TimeoutError:
            self.history.recovery_failure = (
                "the site did not serve all keys and items again after the faults had ended"
            )

    def _restart_ended_processes(self):
        for name, process in list(self.processes.items()):
            if process.poll() is not None and name not in self.faulted:
                self.history.unexpected_ends.append(
                    f"{name} ended unexpectedly with exit code {process.returncode}"
                )
                self._restart(name)

    def _restart(self, name):
        ip, role, zone = self.daemon_options[name]
        self.start_daemon(name, ip, role, zone)

    # --- Faults ------------------------------------------------------------------------

    def _inject(self, planned):
        time.sleep(max(0.0, self.start_s + planned.at_s - time.monotonic()))
        fault = planned.fault
        target = getattr(fault, "process", None) or getattr(fault, "endpoint", None)
        if target is None:
            self._inject_into_proxy(fault)
        elif target not in self.faulted:
            # A fault is skipped while another one of the same process or endpoint is in progress.
            # Faults of different processes and endpoints may overlap.
            self.faulted.add(target)
            try:
                self._inject_into_target(fault)
            finally:
                self.faulted.discard(target)

    def _inject_into_proxy(self, fault):
        proxy = self.proxies[fault.proxy]
        match fault:
            case Silence(_, directions, for_s):
                proxy.silent_directions = frozenset(directions)
                time.sleep(for_s)
                proxy.silent_directions = frozenset()
            case Slow(_, delay_s, for_s):
                proxy.delay_s = delay_s
                time.sleep(for_s)
                proxy.delay_s = 0.0
            case Refuse(_, for_s):
                proxy.refuses_connections = True
                proxy.reset()
                time.sleep(for_s)
                proxy.refuses_connections = False
            case Reset():
                proxy.reset()

    def _inject_into_target(self, fault):
        match fault:
            case Kill(name, for_s):
                self.processes[name].kill()
                self.processes[name].wait()
                time.sleep(for_s)
                self._restart(name)
            case Freeze(name, for_s):
                self._signal(name, signal.SIGSTOP)
                time.sleep(for_s)
                self._signal(name, signal.SIGCONT)
            case Stop(name, for_s):
                self._signal(name, signal.SIGTERM)
                self.processes[name].wait(STOP_LIMIT_S)
                time.sleep(for_s)
                self._restart(name)
            case Reload(name):
                # SIGHUP ends a process that has not yet run the first line of the program, which
                # ignores the signal.
                if handles_reload(self.processes[name].pid):
                    self._signal(name, signal.SIGHUP)
            case FullDisk(name, for_s):
                process = self.processes[name]
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, UNLIMITED))
                time.sleep(for_s)
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (UNLIMITED, UNLIMITED))
            case Misbehave(name, response_fault, for_s):
                self._misbehave(self.reporting_endpoints[name], response_fault, for_s)
            case NameLimits(name, limits, for_s):
                endpoint = self.reporting_endpoints[name]
                for limit in limits:
                    endpoint.limit = limit
                    time.sleep(for_s)
                endpoint.limit = ""
            case Crash(name, for_s):
                self._stop_endpoint(name)
                time.sleep(for_s)
                self._start_endpoint(name)
            case Drain(name, for_s):
                self._drain(name)
                time.sleep(for_s)
                self._start_endpoint(name)

    def _signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def _misbehave(self, endpoint, response_fault, for_s):
        if response_fault == "slow":
            endpoint.delay_s = SLOW_RESPONSE_S
        else:
            endpoint.response_fault = response_fault
        time.sleep(for_s)
        endpoint.response_fault, endpoint.delay_s = "whole", 0.0

    def _stop_endpoint(self, name):
        endpoint = self.reporting_endpoints[name]
        endpoint.stop()
        self.spans.end((endpoint.name, endpoint.started_ms))

    def _start_endpoint(self, name):
        previous = self.reporting_endpoints[name]
        self.add_reporting_endpoint(name, previous.service, previous.number)

    def _drain(self, name):
        endpoint = self.reporting_endpoints[name]
        endpoint.draining = True
        deadline_s = time.monotonic() + STOP_LIMIT_S
        while endpoint.drain_acknowledged_s is None and time.monotonic() < deadline_s:
            time.sleep(0.05)
        time.sleep(SERVING_AFTER_LEAVE_S)
        self._stop_endpoint(name)


def handles_reload(process_id):
    """Return whether a process ignores or handles SIGHUP, the signal to reload."""
    mask_names = {"SigIgn:", "SigCgt:"}
    bit = 1 << (signal.SIGHUP - 1)
    with open(f"/proc/{process_id}/status", encoding="ascii") as file:
        fields = [line.split() for line in file]
    return any(int(field[1], 16) & bit for field in fields if field[0] in mask_names)
