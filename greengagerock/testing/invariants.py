"""Checks of what must always hold, over a ``FakeSystem``."""


class InvariantError(AssertionError):
    """Something happened that must never happen."""


class InvariantWatch:
    """Checks a fake system after each step.

    Args:
        system: The ``FakeSystem``; its ``after_step`` is taken over.
        service: The service whose owners are watched.
    """

    def __init__(self, system, service="till"):
        self.system = system
        self.service = service
        self.accepted = {}
        self.shown = {}
        self.checks = 0
        system.after_step = self.check

    def check(self):
        """Check all invariants.

        Raises:
            InvariantError: If one does not hold.
        """
        self.checks += 1
        self._check_one_owner()
        self._check_versions()

    def note_accepted(self, request_id, answer):
        """Remember an acknowledged change, which must never be lost."""
        if answer is not None and answer.accepted:
            self.accepted[request_id] = answer.version

    def check_changes(self, state):
        """Check that a leader's state holds every acknowledged change."""
        for request_id, version in self.accepted.items():
            result = state.results.get(request_id)
            if result is None or result.version != version:
                raise InvariantError(f"acknowledged change {request_id} is lost: {result}")

    def _check_one_owner(self):
        owners = {}
        for endpoint in self.system.endpoints.values():
            if endpoint.up and endpoint.announcement.checks_orders:
                for unit in self._claimed_units(endpoint):
                    self._claim(owners, unit, endpoint.name)
        for host in self.system.hosts.values():
            if host.node is not None and host.paused_events is None:
                self._check_router(owners, host.node)

    def _claimed_units(self, endpoint):
        book = endpoint.book
        if not book.known_version or self.system.now_s >= book.lease_until_s:
            return ()
        return set(book.granted) | set(book.running)

    def _check_router(self, owners, node):
        """Count what a router may send to endpoints that do not check orders."""
        routes = node.history.routes
        service = routes.services.get(self.service)
        if service is None:
            return
        for slot, owner in enumerate(routes.owners.get(self.service, ())):
            endpoint = routes.endpoints.get(owner.endpoint)
            if endpoint is None or endpoint.checks_orders or endpoint.state == "lost":
                continue
            is_home = endpoint.zone == node.config.host.zone
            if node.follower.lease.allows(service, is_home, self.system.now_s):
                self._claim(owners, str(slot), owner.endpoint)
        for request in node.router.registry.by_token.values():
            endpoint = self.system.endpoints.get(request.endpoint)
            if request.unit is None or endpoint is None or not endpoint.up or endpoint.frozen:
                continue
            if request.orphaned:
                # What a lost endpoint that checks nothing still does is the residual
                # risk that docs/DESIGN.md names.
                continue
            if not endpoint.announcement.checks_orders:
                self._claim(owners, request.unit.label, endpoint.name)

    def _claim(self, owners, unit, name):
        other = owners.setdefault(unit, name)
        if other != name:
            raise InvariantError(
                f"unit {unit} has two owners, {other} and {name}, at {self.system.now_s:.3f} s"
            )

    def _check_versions(self):
        for name, host in self.system.hosts.items():
            if host.node is None or host.paused_events is not None:
                continue
            lease = host.node.follower.lease
            if lease.expires_s <= self.system.now_s:
                continue
            version = host.node.history.version
            if version < self.shown.get(name, 0):
                raise InvariantError(f"{name} acts on {version} after {self.shown[name]}")
            self.shown[name] = version
