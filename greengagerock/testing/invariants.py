"""Safety invariants of a ``FakeSystem``, checked after each step."""


class InvariantError(AssertionError):
    """A safety invariant is violated."""


class InvariantChecker:
    """Checks the safety invariants of a fake system after each step.

    At most one endpoint may run requests of a unit, no host with a valid lease may return to
    older routes, and no acknowledged change may be lost.

    Args:
        system: The ``FakeSystem``; its ``after_step`` is replaced.
        service: Service whose owners are checked.

    Attributes:
        accepted_versions: Version by request id of each acknowledged change.
        applied_versions: Highest route version by host that it used under a valid lease.
        check_count: Number of checks so far.
    """

    def __init__(self, system, service="till"):
        self.system = system
        self.service = service
        self.accepted_versions = {}
        self.applied_versions = {}
        self.check_count = 0
        system.after_step = self.check

    def check(self):
        """Check unique ownership and the order of route versions.

        Raises:
            InvariantError: If an invariant is violated.
        """
        self.check_count += 1
        self._check_single_owner()
        self._check_versions()

    def record_accepted_change(self, request_id, response):
        """Record a change for ``check_accepted_changes`` if the system has acknowledged it."""
        if response is not None and response.accepted:
            self.accepted_versions[request_id] = response.version

    def check_accepted_changes(self, state):
        """Check that a leader's state contains every acknowledged change.

        Raises:
            InvariantError: If a change is missing or has another version.
        """
        for request_id, version in self.accepted_versions.items():
            result = state.results.get(request_id)
            if result is None or result.version != version:
                raise InvariantError(f"acknowledged change {request_id} is lost: {result}")

    def _check_single_owner(self):
        owners = {}
        for endpoint in self.system.endpoints.values():
            if endpoint.is_up and endpoint.announcement.checks_orders:
                for unit in self._held_units(endpoint):
                    self._record_owner(owners, unit, endpoint.name)
        for host in self.system.hosts.values():
            if host.node is not None and host.paused_events is None:
                self._check_router(owners, host.node)

    def _held_units(self, endpoint):
        grant_table = endpoint.grant_table
        if not grant_table.received_version or self.system.now_s >= grant_table.lease_expires_s:
            return ()
        return set(grant_table.fence_by_unit) | set(grant_table.running_requests_by_unit)

    def _check_router(self, owners, node):
        """Record owners for endpoints that do not check orders.

        Such an endpoint owns the units for which the router may send it requests, and the
        units of requests that it runs.
        """
        routes = node.history.routes
        service = routes.services.get(self.service)
        if service is None:
            return
        for slot, owner in enumerate(routes.owners.get(self.service, ())):
            endpoint = routes.endpoints.get(owner.endpoint)
            if endpoint is None or endpoint.checks_orders or endpoint.state == "lost":
                continue
            is_local_zone = endpoint.zone == node.config.host.zone
            if node.lease_manager_client.lease.allows(service, is_local_zone, self.system.now_s):
                self._record_owner(owners, str(slot), owner.endpoint)
        for request in node.router.registry.by_token.values():
            endpoint = self.system.endpoints.get(request.endpoint)
            if request.unit is None or endpoint is None or not endpoint.is_up or endpoint.frozen:
                continue
            if request.is_orphaned:
                # A lost endpoint that does not check orders may still run this request. This is
                # the residual risk that docs/DESIGN.md describes.
                continue
            if not endpoint.announcement.checks_orders:
                self._record_owner(owners, request.unit.label, endpoint.name)

    def _record_owner(self, owners, unit, name):
        first_owner = owners.setdefault(unit, name)
        if first_owner != name:
            raise InvariantError(
                f"unit {unit} has two owners, {first_owner} and {name}, "
                f"at {self.system.now_s:.3f} s"
            )

    def _check_versions(self):
        for name, host in self.system.hosts.items():
            if host.node is None or host.paused_events is not None:
                continue
            lease = host.node.lease_manager_client.lease
            if lease.expires_s <= self.system.now_s:
                continue
            version = host.node.history.version
            if version < self.applied_versions.get(name, 0):
                raise InvariantError(
                    f"{name} uses route version {version} after {self.applied_versions[name]}"
                )
            self.applied_versions[name] = version
