"""Random schedules of faults over a fake system."""

from random import Random

import msgspec

from greengagerock.testing.systems import leader_of

MAX_DOWN_HOSTS = 2


class FaultSchedule:
    """Causes faults, repairs and requests in random order.

    Args:
        system: The ``FakeSystem``.
        watch: Its ``InvariantWatch``.
        seed: Seed of the schedule.
    """

    def __init__(self, system, watch, seed):
        self.system = system
        self.watch = watch
        self.random = Random(seed)
        self.changes = 0
        self.log = []

    def run(self, steps, pause_s=(0.02, 0.6)):
        """Take ``steps`` random steps with some time after each."""
        actions = [
            self.crash_host,
            self.start_host,
            self.pause_host,
            self.resume_host,
            self.cut_zone,
            self.cut_one_way,
            self.heal,
            self.freeze_endpoint,
            self.thaw_endpoint,
            self.kill_endpoint,
            self.restart_endpoint,
            self.drain_or_resume,
            self.send_requests,
            self.send_requests,
            self.wait_long,
        ]
        for _ in range(steps):
            action = self.random.choice(actions)
            self.log.append((round(self.system.now_s, 3), action.__name__))
            action()
            self.system.run_for(self.random.uniform(*pause_s))
            self.check_changes()

    def repair_everything(self):
        """End all faults."""
        self.system.heal()
        for name, host in self.system.hosts.items():
            if host.paused_events is not None:
                self.system.resume_host(name)
            if host.node is None:
                self.system.start_host(name)
        for endpoint in self.system.endpoints.values():
            if endpoint.frozen:
                self.system.thaw(endpoint.name)
            if not endpoint.up:
                self._restart(endpoint)
        self._resume_drained()

    def _resume_drained(self):
        """End operators' drains: with every endpoint drained no unit can settle."""
        self.system.run_for(5.0)
        host = next(iter(self.system.hosts))
        for name in self.system.endpoints:
            self.system.ask_and_wait(host, f"resume endpoint {name}", f"resume-{name}")

    def check_changes(self):
        """Check that the leader, if there is one, knows every acknowledged change."""
        host = leader_of(self.system)
        if host is not None:
            self.watch.check_changes(host.node.controller.state)

    def _pick(self, items):
        items = list(items)
        return self.random.choice(items) if items else None

    def crash_host(self):
        """Kill a host, if not too many are down."""
        down = [h for h in self.system.hosts.values() if h.node is None or h.paused_events]
        name = self._pick(n for n, h in self.system.hosts.items() if h.node is not None)
        if len(down) < MAX_DOWN_HOSTS and name:
            self.system.crash_host(name)

    def start_host(self):
        """Restart a host that is down."""
        name = self._pick(n for n, h in self.system.hosts.items() if h.node is None)
        if name:
            self.system.start_host(name)

    def pause_host(self):
        """Pause a host."""
        running = [n for n, h in self.system.hosts.items() if h.node and h.paused_events is None]
        if len(running) > len(self.system.hosts) - MAX_DOWN_HOSTS:
            self.system.pause_host(self._pick(running))

    def resume_host(self):
        """Resume a paused host."""
        name = self._pick(
            n for n, h in self.system.hosts.items() if h.node and h.paused_events is not None
        )
        if name:
            self.system.resume_host(name)

    def cut_zone(self):
        """Cut a zone off."""
        zones = {h.config.host.zone for h in self.system.hosts.values()}
        self.system.cut_zone(self._pick(sorted(zones)))

    def cut_one_way(self):
        """Cut the direction from one host to another."""
        names = list(self.system.hosts)
        self.system.cut([self._pick(names)], [self._pick(names)])

    def heal(self):
        """End all cuts."""
        self.system.heal()

    def freeze_endpoint(self):
        """Freeze an endpoint."""
        endpoint = self._pick(e for e in self.system.endpoints.values() if e.up)
        if endpoint:
            endpoint.frozen = True

    def thaw_endpoint(self):
        """Thaw a frozen endpoint."""
        endpoint = self._pick(e for e in self.system.endpoints.values() if e.frozen)
        if endpoint:
            self.system.thaw(endpoint.name)

    def kill_endpoint(self):
        """Kill an endpoint, if enough others live."""
        alive = [e for e in self.system.endpoints.values() if e.up]
        if len(alive) > 2:
            self._pick(alive).up = False

    def restart_endpoint(self):
        """Restart a dead endpoint under another incarnation."""
        endpoint = self._pick(e for e in self.system.endpoints.values() if not e.up)
        if endpoint:
            self._restart(endpoint)

    def _restart(self, endpoint):
        self.changes += 1
        announcement = msgspec.structs.replace(
            endpoint.announcement, incarnation=f"{endpoint.name}-r{self.changes}"
        )
        self.system.add_endpoint(announcement, endpoint.service_s)

    def drain_or_resume(self):
        """Make a change through a random host."""
        self.changes += 1
        request_id = f"change-{self.changes}"
        endpoint = self._pick(self.system.endpoints)
        verb = self._pick(["drain", "resume"])
        host = self._pick(n for n, h in self.system.hosts.items() if h.node)
        if host:
            token = self.system.ask(host, f"{verb} endpoint {endpoint}", request_id, wait_s=0.5)
            self.system.run_for(0.6)
            self.watch.note_accepted(request_id, self.system.operator_answers.get(token))

    def send_requests(self):
        """Send some requests through random hosts."""
        for _ in range(5):
            host = self._pick(n for n, h in self.system.hosts.items() if h.node)
            if host:
                key = self.random.randrange(64)
                self.system.request(host, "till", f"/cards/{key}", method="POST")

    def wait_long(self):
        """Let leases run out."""
        self.system.run_for(self.random.uniform(1.0, 4.0))
