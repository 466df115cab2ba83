"""The controller, which decides for the whole system while its voter leads."""

import msgspec

from greengagerock.control.bans import BanManager
from greengagerock.control.commands import (
    EndpointChanged,
    EndpointRemoved,
    HostReported,
    LeaseManagerAppointed,
)
from greengagerock.control.operator_messages import OperatorRelay
from greengagerock.control.operator_requests import OperatorRequestHandler
from greengagerock.control.ownership import OwnershipPlanner
from greengagerock.control.state_machine import encode_command
from greengagerock.control.voter_changes import VoterChangeRunner
from greengagerock.control.zone_monitors import ZoneMonitor
from greengagerock.membership.messages import (
    Hello,
    HelloReply,
    LeaseManagerDismissed,
    LeaseManagerGrant,
    LeaseManagerHeartbeat,
    LeaseManagerLeaving,
    ZoneHost,
    digest_hosts,
)
from greengagerock.model import STATE_LOST
from greengagerock.model.timing import LEADER_TICK_INTERVAL_S
from greengagerock.routing.crash_suspects import CrashReport

# Time after which a lost endpoint is removed from the replicated state.
LOST_ENDPOINT_RETENTION_S = 600.0


class Controller:
    """Decides for the whole system while its voter leads.

    State that is not replicated (zone leases, versions in effect at endpoints) is
    rebuilt after each election from conservative assumptions.

    Args:
        voter: The local voter.
        machine: The replicated state machine.
        timers: The timer service.
        outbox: Receives effects.
        timeline: The host's timeline.
        host: Name of this host.

    Attributes:
        zone_monitors: A ``ZoneMonitor`` by zone.
        applied_versions: Newest route version in effect at an endpoint, by endpoint name
            and incarnation.
        lost_since_s: When this leader first found an endpoint to be lost, by name.
        proposal_indexes: Log index of the newest proposal of ``propose_once``, by key.
        planner: The ``OwnershipPlanner``.
        voter_change_runner: The ``VoterChangeRunner``.
        bans: The ``BanManager``.
        operator_requests: The ``OperatorRequestHandler``.
    """

    def __init__(self, voter, machine, timers, outbox, timeline, host):
        self.voter = voter
        self.machine = machine
        self.timers = timers
        self.outbox = outbox
        self.timeline = timeline
        self.host = host
        self.zone_monitors = {}
        self.applied_versions = {}
        self.lost_since_s = {}
        self.proposal_indexes = {}
        self.planner = OwnershipPlanner(self)
        self.voter_change_runner = VoterChangeRunner(self)
        self.bans = BanManager(self)
        self.operator_requests = OperatorRequestHandler(self)
        self._tick_timer = None
        voter.on_leadership_change = self._on_leadership
        machine.on_applied = self._on_applied

    @property
    def state(self):
        """The replicated state."""
        return self.machine.state

    @property
    def is_leading(self):
        """Whether this controller may act as the leader now."""
        return self.voter.is_ready_to_serve() and self.voter.has_lease()

    def propose(self, command):
        """Append a command to the replicated log.

        Returns:
            Its log index.

        Raises:
            GreengageError: ``no-leader`` if this voter does not lead.
        """
        return self.voter.propose(encode_command(command))

    def propose_once(self, key, command):
        """Propose a command unless an earlier one with the same key is not yet applied."""
        if self.proposal_indexes.get(key, 0) > self.voter.applied_index:
            return
        self.proposal_indexes[key] = self.propose(command)

    def zone_monitor(self, zone):
        """Return the ``ZoneMonitor`` of a zone."""
        if zone not in self.zone_monitors:
            self.zone_monitors[zone] = ZoneMonitor(zone, self.timers.now_s)
        return self.zone_monitors[zone]

    def all_zone_monitors(self):
        """Return the ``ZoneMonitor`` objects of all zones with hosts."""
        return tuple(self.zone_monitor(zone) for zone in self.state.zones())

    def handle(self, message, address):
        """Process a message for the leader.

        Args:
            message: A message from a router, a lease manager, or a host that relays
                operators' requests.
            address: Link address of the sender.
        """
        match message:
            case Hello():
                self._on_hello(message, address)
            case LeaseManagerHeartbeat():
                self._on_manager_heartbeat(message, address)
            case CrashReport():
                self.bans.on_report(message)
            case LeaseManagerLeaving():
                self._on_manager_leaving(message)
            case OperatorRelay():
                self.operator_requests.on_relay(message, address)

    # --- Leadership ----------------------------------------------------------------

    def _on_leadership(self):
        if self._tick_timer:
            self._tick_timer.cancel()
        self.zone_monitors = {}
        self.applied_versions = {}
        self.lost_since_s = {}
        self.proposal_indexes = {}
        self.planner.reset()
        self.bans.reset()
        self.operator_requests.fail_pending()
        if self.voter.is_leader:
            self.timeline.record("leader-elected", detail=f"term={self.voter.term}")
            # Existing zones may hold leases granted by the previous leader.
            self.all_zone_monitors()
            self._notify_lease_managers()
            self._tick()

    def _notify_lease_managers(self):
        """Notify every lease manager of the new leader, so that it need not search for it."""
        for manager in self.state.lease_managers.values():
            host = self.state.hosts.get(manager.host)
            if host is not None:
                self.outbox.send(host.address, self._hello_reply(host))

    def _tick(self):
        if not self.voter.is_leader:
            return
        self._tick_timer = self.timers.subscribe(LEADER_TICK_INTERVAL_S, self._tick)
        if not self.is_leading:
            return
        for monitor in self.all_zone_monitors():
            self._check_lease_manager(monitor)
        self._declare_lost_endpoints()
        self._remove_lost_endpoints()
        self.voter_change_runner.advance()
        self.bans.end_expired_bans()
        self.planner.plan()
        self.operator_requests.check_pending()

    def _on_applied(self, command, index):
        self.planner.on_applied(command)
        if not self.voter.is_leader:
            return
        self.operator_requests.on_applied(command, index)
        if isinstance(command, LeaseManagerAppointed):
            host = self.state.hosts.get(command.host)
            if host is not None:
                self.outbox.send(host.address, self._hello_reply(host))

    # --- Hosts and lease managers --------------------------------------------------

    def _on_hello(self, hello, address):
        host = hello.host
        if not self.is_leading:
            leader = self.voter.leader_member()
            self.outbox.send(
                address, HelloReply(leader.address if leader else "", host.incarnation)
            )
            return
        if self.state.hosts.get(host.name) != host:
            self.propose_once(("host", host), HostReported(host))
            return
        monitor = self.zone_monitor(host.zone)
        if (bool(host.identity), host.name) not in monitor.candidates:
            monitor.last_join_s = self.timers.now_s
        monitor.candidates[(bool(host.identity), host.name)] = self.timers.now_s
        manager = self.state.lease_managers.get(host.zone)
        if manager and manager.host == host.name and manager.incarnation != host.incarnation:
            # A restarted lease manager has lost its record of the leases it granted.
            self._appoint_manager(host.zone, host.name)
            return
        self.outbox.send(address, self._hello_reply(host))

    def _hello_reply(self, host):
        own_address = self._own_address()
        manager = self.state.lease_managers.get(host.zone)
        record = self.state.hosts.get(manager.host) if manager else None
        if record is None:
            return HelloReply(own_address, host.incarnation)
        return HelloReply(
            own_address,
            host.incarnation,
            manager.host,
            record.address,
            manager.epoch,
            self._zone_hosts(host.zone),
            manager.electorate,
            manager.earlier_electorates,
            tuple(member.address for member in self.voter.membership.voters),
            self.timers.now_s - self.zone_monitor(host.zone).lease_renewed_s,
        )

    def _own_address(self):
        member = self.voter.membership.find(self.voter.identity)
        return member.address if member else ""

    def _zone_hosts(self, zone):
        return tuple(ZoneHost(h.name, h.address) for h in self.state.hosts_of_zone(zone))

    def _check_lease_manager(self, monitor):
        manager = self.state.lease_managers.get(monitor.name)
        if not manager and not monitor.has_settled(self.timers.now_s):
            return
        if manager and not monitor.is_manager_silent(self.timers.now_s):
            return
        candidate = monitor.best_candidate(self.timers.now_s)
        if candidate is not None:
            self._appoint_manager(monitor.name, candidate)

    def _appoint_manager(self, zone, host):
        manager = self.state.lease_managers.get(zone)
        epoch = manager.epoch + 1 if manager else 1
        self.zone_monitor(zone).heartbeat_s = self.timers.now_s
        incarnation = self.state.hosts[host].incarnation
        self.propose_once(("keeper", zone, epoch), LeaseManagerAppointed(zone, host, incarnation))
        self.timeline.record("keeper-appointed", detail=f"zone={zone} host={host} epoch={epoch}")
        self.outbox.log("keeper-appointed", zone=zone, keeper=host, epoch=epoch)

    def _on_manager_leaving(self, message):
        manager = self.state.lease_managers.get(message.zone)
        if not self.is_leading or manager is None:
            return
        if (manager.host, manager.epoch) != (message.host, message.epoch):
            return
        other_hosts = [
            h.name for h in self.state.hosts_of_zone(message.zone) if h.name != manager.host
        ]
        if other_hosts:
            self._appoint_manager(message.zone, other_hosts[0])

    def _on_manager_heartbeat(self, heartbeat, address):
        if not self.is_leading:
            return
        manager = self.state.lease_managers.get(heartbeat.zone)
        if manager is None or (manager.host, manager.epoch) != (heartbeat.host, heartbeat.epoch):
            self.outbox.send(address, LeaseManagerDismissed(manager.epoch if manager else 0))
            return
        monitor = self.zone_monitor(heartbeat.zone)
        if not monitor.record_heartbeat(heartbeat, self.timers.now_s):
            return
        for report in heartbeat.reports:
            self._on_report(report)
        monitor.lease_renewed_s = self.timers.now_s
        delta = self.machine.delta_since(heartbeat.version)
        hosts = self._zone_hosts(heartbeat.zone)
        if digest_hosts(hosts) == heartbeat.hosts_digest:
            hosts = ()
        grant = LeaseManagerGrant(heartbeat.epoch, heartbeat.sent_s, hosts, delta)
        self.outbox.send(address, grant)

    # --- Endpoints -----------------------------------------------------------------

    def _on_report(self, report):
        reported = report.endpoint
        recorded = self.state.routes.endpoints.get(reported.name)
        if recorded is not None and recorded.incarnation == reported.incarnation:
            self._record_applied_version(reported, report.applied_version)
        if recorded is None or recorded.since == reported.since:
            is_recorded = recorded is not None and recorded == reported
            if not is_recorded and reported.service in self.state.routes.services:
                command = EndpointChanged(reported, self.timeline.wall_clock_us())
                self.propose_once(("endpoint", reported), command)

    def _record_applied_version(self, endpoint, version):
        key = (endpoint.name, endpoint.incarnation)
        self.applied_versions[key] = max(version, self.applied_versions.get(key, 0))

    def _declare_lost_endpoints(self):
        """Declare endpoints lost if the lease of their zone has expired."""
        now_s = self.timers.now_s
        routes = self.state.routes
        for endpoint in routes.endpoints.values():
            service = routes.services.get(endpoint.service)
            if endpoint.state == STATE_LOST or service is None:
                continue
            if self.zone_monitor(endpoint.zone).has_local_lease_ended(now_s, service):
                lost = msgspec.structs.replace(endpoint, state=STATE_LOST)
                command = EndpointChanged(lost, self.timeline.wall_clock_us())
                self.propose_once(("endpoint", lost), command)

    def _remove_lost_endpoints(self):
        now_s = self.timers.now_s
        lost = {e.name for e in self.state.routes.endpoints.values() if e.state == STATE_LOST}
        self.lost_since_s = {n: self.lost_since_s.get(n, now_s) for n in lost}
        for name, since_s in self.lost_since_s.items():
            if now_s - since_s > LOST_ENDPOINT_RETENTION_S:
                self.propose_once(("forget", name), EndpointRemoved(name))
