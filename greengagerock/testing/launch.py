"""Starts and stops the processes of an example system."""

import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import msgspec
import urllib3

from greengagerock.control.operator_messages import OperatorRequest, OperatorResponse
from greengagerock.testing.system_plan import load_plan

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 45.0
POLL_INTERVAL_S = 0.1


class ExampleSystem:
    """The processes of an example system.

    Args:
        folder: Folder of its plan.
        working_folder: Working directory of the processes; data folders are relative to it.
        separate_stand_ins: Whether each stand-in endpoint has a process of its own.

    Attributes:
        plan: The ``SystemPlan``.
        daemons: Daemon processes by settings file.
        stand_ins: Processes of stand-in endpoints by endpoint name; ``all`` if they share one.
        stop_requested: Event that ends ``start`` and ``wait_until_healthy`` early.
    """

    def __init__(self, folder, working_folder=".", separate_stand_ins=False):
        self.folder = Path(folder).resolve()
        self.working_folder = Path(working_folder)
        self.plan = load_plan(folder)
        self.separate_stand_ins = separate_stand_ins
        self.daemons = {}
        self.stand_ins = {}
        self.http = urllib3.PoolManager(retries=False)
        self.stop_requested = threading.Event()

    def start(self):
        """Start all processes and send the plan's changes."""
        for name in self.plan.hosts:
            self.start_daemon(name)
        if self.separate_stand_ins:
            for item in self.plan.stand_ins:
                self.start_stand_in(item.name)
        elif self.plan.stand_ins:
            self.stand_ins["all"] = self._spawn("greengagerock.testing.run_stand_ins", self.folder)
        for number, statement in enumerate(self.plan.changes):
            self._change_until_accepted(statement, f"launch-{number}")

    def start_daemon(self, settings_name):
        """Start the daemon of one settings file."""
        path = self.folder / settings_name
        self.daemons[settings_name] = self._spawn("greengagerock.daemon.main", path)

    def start_stand_in(self, name):
        """Start one stand-in endpoint in a process of its own."""
        module = "greengagerock.testing.run_stand_ins"
        self.stand_ins[name] = self._spawn(module, self.folder, name)

    def wait_until_healthy(self):
        """Wait until every service is healthy or a stop is requested.

        Raises:
            TimeoutError: If that takes longer than ``START_TIMEOUT_S``.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s and not self.stop_requested.is_set():
            response = self.send_statement("show health")
            rows = response.table.to_records() if response and response.table else []
            if rows and all(row["healthy"] for row in rows):
                return
            time.sleep(POLL_INTERVAL_S)
        if self.stop_requested.is_set():
            return
        raise TimeoutError("not every service became healthy within the start time-out")

    def send_statement(self, text, request_id="", address=None):
        """Send a statement; returns its ``OperatorResponse``, or ``None`` if none is received."""
        request = OperatorRequest(text, request_id, "launcher")
        url = f"http://{address or self.plan.operator_address}/operate"
        try:
            response = self.http.request("POST", url, body=msgspec.json.encode(request))
            return msgspec.json.decode(response.data, type=OperatorResponse)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None

    def stop(self):
        """Terminate all processes; kill those that run after ``STOP_TIMEOUT_S``."""
        processes = [*self.daemons.values(), *self.stand_ins.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in processes:
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def ended_process(self):
        """Return the name of a process that has ended, or ``None``."""
        for name, process in {**self.daemons, **self.stand_ins}.items():
            if process.poll() is not None:
                return name
        return None

    def _spawn(self, module, *arguments):
        command = [sys.executable, "-m", module, *map(str, arguments)]
        return subprocess.Popen(command, cwd=self.working_folder, start_new_session=True)

    def _change_until_accepted(self, statement, request_id):
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s and not self.stop_requested.is_set():
            response = self.send_statement(statement, request_id)
            if response and (response.accepted or response.code == "already-exists"):
                return
            time.sleep(POLL_INTERVAL_S)
        if self.stop_requested.is_set():
            return
        raise TimeoutError(f"statement not accepted within the start time-out: {statement}")


def main(arguments):
    """Run the example system of a folder until SIGTERM or SIGINT.

    Args:
        arguments: The plan's folder; with any second argument, each stand-in endpoint runs in a
            process of its own.

    Returns:
        The exit code: 1 if a process ended unexpectedly, else 0.
    """
    system = ExampleSystem(arguments[0], separate_stand_ins=len(arguments) > 1)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: system.stop_requested.set())
    try:
        system.start()
        system.wait_until_healthy()
        print(f"ready: operators on {system.plan.operator_address}; Ctrl-C stops", flush=True)
        while not system.stop_requested.wait(1.0):
            ended_name = system.ended_process()
            if ended_name:
                print(f"process {ended_name} has ended unexpectedly", file=sys.stderr)
                return 1
    finally:
        system.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
