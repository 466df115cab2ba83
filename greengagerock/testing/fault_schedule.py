"""Random schedules of faults, repairs and requests for a fake system."""

from random import Random

import msgspec

from greengagerock.testing.system_builders import find_leader

MAX_DOWN_HOSTS = 2


class FaultSchedule:
    """Injects faults, repairs and requests in random order.

    Args:
        system: The ``FakeSystem``.
        checker: Its ``InvariantChecker``.
        seed: Seed of the schedule.

    Attributes:
        change_count: Number of changes and endpoint restarts so far.
        action_log: Virtual time and name of each action so far.
    """

    def __init__(self, system, checker, seed):
        self.system = system
        self.checker = checker
        self.random = Random(seed)
        self.change_count = 0
        self.action_log = []

    def run(self, steps, pause_s=(0.02, 0.6)):
        """Run ``steps`` random actions, with a random pause within ``pause_s`` after each."""
        actions = [
            self.crash_host,
            self.start_host,
            self.pause_host,
            self.resume_host,
            self.isolate_zone,
            self.cut_one_way,
            self.heal,
            self.freeze_endpoint,
            self.unfreeze_endpoint,
            self.kill_endpoint,
            self.restart_endpoint,
            self.drain_or_resume,
            self.send_requests,
            self.send_requests,
            self.wait_for_expiry,
        ]
        for _ in range(steps):
            action = self.random.choice(actions)
            self.action_log.append((round(self.system.now_s, 3), action.__name__))
            action()
            self.system.run_for(self.random.uniform(*pause_s))
            self.check_accepted_changes()

    def end_all_faults(self):
        """End all faults and all drains by operators."""
        self.system.heal()
        for name, host in self.system.hosts.items():
            if host.paused_events is not None:
                self.system.resume_host(name)
            if host.node is None:
                self.system.start_host(name)
        for endpoint in self.system.endpoints.values():
            if endpoint.frozen:
                self.system.unfreeze(endpoint.name)
            if not endpoint.is_up:
                self._restart(endpoint)
        self._resume_drained()

    def _resume_drained(self):
        """End drains by operators, because units have no owner if all endpoints are drained."""
        self.system.run_for(5.0)
        host = next(iter(self.system.hosts))
        for name in self.system.endpoints:
            self.system.send_statement_and_wait(host, f"resume endpoint {name}", f"resume-{name}")

    def check_accepted_changes(self):
        """Check that the leader, if there is one, has every acknowledged change."""
        host = find_leader(self.system)
        if host is not None:
            self.checker.check_accepted_changes(host.node.controller.state)

    def _choose(self, items):
        items = list(items)
        return self.random.choice(items) if items else None

    def crash_host(self):
        """Crash a host if fewer than ``MAX_DOWN_HOSTS`` are unavailable."""
        unavailable = [h for h in self.system.hosts.values() if h.node is None or h.paused_events]
        name = self._choose(n for n, h in self.system.hosts.items() if h.node is not None)
        if len(unavailable) < MAX_DOWN_HOSTS and name:
            self.system.crash_host(name)

    def start_host(self):
        """Start a crashed host."""
        name = self._choose(n for n, h in self.system.hosts.items() if h.node is None)
        if name:
            self.system.start_host(name)

    def pause_host(self):
        """Pause a host unless ``MAX_DOWN_HOSTS`` are already unavailable."""
        running = [n for n, h in self.system.hosts.items() if h.node and h.paused_events is None]
        if len(running) > len(self.system.hosts) - MAX_DOWN_HOSTS:
            self.system.pause_host(self._choose(running))

    def resume_host(self):
        """Resume a paused host."""
        name = self._choose(
            n for n, h in self.system.hosts.items() if h.node and h.paused_events is not None
        )
        if name:
            self.system.resume_host(name)

    def isolate_zone(self):
        """Separate a zone from all others."""
        zones = {h.config.host.zone for h in self.system.hosts.values()}
        self.system.isolate_zone(self._choose(sorted(zones)))

    def cut_one_way(self):
        """Drop messages from one host to another, in this direction only."""
        names = list(self.system.hosts)
        self.system.drop_messages([self._choose(names)], [self._choose(names)])

    def heal(self):
        """End all network partitions."""
        self.system.heal()

    def freeze_endpoint(self):
        """Freeze an endpoint."""
        endpoint = self._choose(e for e in self.system.endpoints.values() if e.is_up)
        if endpoint:
            endpoint.frozen = True

    def unfreeze_endpoint(self):
        """Unfreeze a frozen endpoint."""
        endpoint = self._choose(e for e in self.system.endpoints.values() if e.frozen)
        if endpoint:
            self.system.unfreeze(endpoint.name)

    def kill_endpoint(self):
        """Stop an endpoint if more than two are running."""
        running = [e for e in self.system.endpoints.values() if e.is_up]
        if len(running) > 2:
            self._choose(running).is_up = False

    def restart_endpoint(self):
        """Restart a stopped endpoint with another incarnation."""
        endpoint = self._choose(e for e in self.system.endpoints.values() if not e.is_up)
        if endpoint:
            self._restart(endpoint)

    def _restart(self, endpoint):
        self.change_count += 1
        announcement = msgspec.structs.replace(
            endpoint.announcement, incarnation=f"{endpoint.name}-r{self.change_count}"
        )
        self.system.add_endpoint(announcement, endpoint.processing_time_s)

    def drain_or_resume(self):
        """Drain or resume a random endpoint through a random host."""
        self.change_count += 1
        request_id = f"change-{self.change_count}"
        endpoint = self._choose(self.system.endpoints)
        verb = self._choose(["drain", "resume"])
        host = self._choose(n for n, h in self.system.hosts.items() if h.node)
        if host:
            token = self.system.send_statement(
                host, f"{verb} endpoint {endpoint}", request_id, wait_s=0.5
            )
            self.system.run_for(0.6)
            self.checker.record_accepted_change(
                request_id, self.system.operator_responses.get(token)
            )

    def send_requests(self):
        """Send five requests with random keys through random hosts."""
        for _ in range(5):
            host = self._choose(n for n, h in self.system.hosts.items() if h.node)
            if host:
                key = self.random.randrange(64)
                self.system.request(host, "till", f"/cards/{key}", method="POST")

    def wait_for_expiry(self):
        """Advance time so that leases can expire."""
        self.system.run_for(self.random.uniform(1.0, 4.0))
