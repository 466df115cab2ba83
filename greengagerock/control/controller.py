"""The controller: what the leading voter decides."""

import msgspec

from greengagerock.control.bans import BanKeeper
from greengagerock.control.commands import (
    EndpointForgotten,
    EndpointReported,
    HostReported,
    KeeperAppointed,
)
from greengagerock.control.desk import OperatorDesk
from greengagerock.control.machine import encode_command
from greengagerock.control.operators import OperatorRelay
from greengagerock.control.owners import OwnershipPlanner
from greengagerock.control.voters import VoterChanger
from greengagerock.control.zones import ZoneWatch
from greengagerock.membership.messages import (
    Hello,
    HelloReply,
    KeeperBeat,
    KeeperDismissed,
    KeeperGrant,
    KeeperLeaving,
    ZoneHost,
    digest_hosts,
)
from greengagerock.model import STATE_LOST
from greengagerock.model.timing import LEADER_TICK_INTERVAL_S
from greengagerock.routing.suspects import CrashReport

FORGET_LOST_AFTER_S = 600.0


class Controller:
    """Decides for the whole system while its voter leads.

    What it knows beyond the replicated state (zone leases, versions in force
    at endpoints) is rebuilt after each election from conservative assumptions.

    Args:
        voter: The local voter.
        machine: The replicated state machine.
        timers: The timer service.
        outbox: Receives effects.
        timeline: The host's time line.
        host: Name of this host.
    """

    def __init__(self, voter, machine, timers, outbox, timeline, host):
        self.voter = voter
        self.machine = machine
        self.timers = timers
        self.outbox = outbox
        self.timeline = timeline
        self.host = host
        self.watches = {}
        self.applied_versions = {}
        self.lost_since_s = {}
        self.proposed = {}
        self.planner = OwnershipPlanner(self)
        self.voter_changer = VoterChanger(self)
        self.bans = BanKeeper(self)
        self.desk = OperatorDesk(self)
        self._tick_timer = None
        voter.on_leadership = self._on_leadership
        machine.on_applied = self._on_applied

    @property
    def state(self):
        """The replicated state."""
        return self.machine.state

    @property
    def leads(self):
        """Whether this controller may decide at this moment."""
        return self.voter.ready_to_serve() and self.voter.has_lease()

    def propose(self, command):
        """Append a command to the replicated log.

        Returns:
            Its index.

        Raises:
            GreengageError: ``no-leader`` if this voter does not lead.
        """
        return self.voter.propose(encode_command(command))

    def propose_once(self, key, command):
        """Propose a command unless one with the same key is still under way."""
        if self.proposed.get(key, 0) > self.voter.applied_index:
            return
        self.proposed[key] = self.propose(command)

    def watch(self, zone):
        """Return the ``ZoneWatch`` of a zone."""
        if zone not in self.watches:
            self.watches[zone] = ZoneWatch(zone, self.timers.now_s)
        return self.watches[zone]

    def all_watches(self):
        """Return the ``ZoneWatch`` objects of all zones with hosts."""
        return tuple(self.watch(zone) for zone in self.state.zones())

    def handle(self, message, address):
        """Take in a message for the leader.

        Args:
            message: A message of a router, a keeper, or an operator's host.
            address: Link address of the sender.
        """
        match message:
            case Hello():
                self._on_hello(message, address)
            case KeeperBeat():
                self._on_keeper_beat(message, address)
            case CrashReport():
                self.bans.on_report(message)
            case KeeperLeaving():
                self._on_keeper_leaving(message)
            case OperatorRelay():
                self.desk.on_relay(message, address)

    # --- Leadership ----------------------------------------------------------------

    def _on_leadership(self):
        if self._tick_timer:
            self._tick_timer.cancel()
        self.watches = {}
        self.applied_versions = {}
        self.lost_since_s = {}
        self.proposed = {}
        self.planner.reset()
        self.bans.reset()
        self.desk.abandon()
        if self.voter.is_leader:
            self.timeline.record("leader-elected", detail=f"term={self.voter.term}")
            # Zones that exist now may hold leases lent by the previous leader.
            self.all_watches()
            self._greet_keepers()
            self._tick()

    def _greet_keepers(self):
        """Tell every keeper who leads now, before it has to look for the leader."""
        for keeper in self.state.keepers.values():
            host = self.state.hosts.get(keeper.host)
            if host is not None:
                self.outbox.send(host.address, self._hello_reply(host))

    def _tick(self):
        if not self.voter.is_leader:
            return
        self._tick_timer = self.timers.subscribe(LEADER_TICK_INTERVAL_S, self._tick)
        if not self.leads:
            return
        for watch in self.all_watches():
            self._check_keeper(watch)
        self._declare_lost_zones()
        self._forget_lost_endpoints()
        self.voter_changer.advance()
        self.bans.end_old_bans()
        self.planner.plan()
        self.desk.check_waiting()

    def _on_applied(self, command, index):
        self.planner.on_applied(command)
        if not self.voter.is_leader:
            return
        self.desk.on_applied(command, index)
        if isinstance(command, KeeperAppointed):
            host = self.state.hosts.get(command.host)
            if host is not None:
                self.outbox.send(host.address, self._hello_reply(host))

    # --- Hosts and keepers ---------------------------------------------------------

    def _on_hello(self, hello, address):
        host = hello.host
        if not self.leads:
            leader = self.voter.leader_member()
            self.outbox.send(
                address, HelloReply(leader.address if leader else "", host.incarnation)
            )
            return
        if self.state.hosts.get(host.name) != host:
            self.propose_once(("host", host), HostReported(host))
            return
        watch = self.watch(host.zone)
        if (bool(host.identity), host.name) not in watch.candidates:
            watch.changed_s = self.timers.now_s
        watch.candidates[(bool(host.identity), host.name)] = self.timers.now_s
        keeper = self.state.keepers.get(host.zone)
        if keeper and keeper.host == host.name and keeper.incarnation != host.incarnation:
            # A restarted keeper has forgotten what it lent.
            self._appoint(host.zone, host.name)
            return
        self.outbox.send(address, self._hello_reply(host))

    def _hello_reply(self, host):
        own = self._own_address()
        keeper = self.state.keepers.get(host.zone)
        record = self.state.hosts.get(keeper.host) if keeper else None
        if record is None:
            return HelloReply(own, host.incarnation)
        return HelloReply(
            own,
            host.incarnation,
            keeper.host,
            record.address,
            keeper.epoch,
            self._zone_hosts(host.zone),
            keeper.electorate,
            keeper.rivals,
            tuple(member.address for member in self.voter.membership.voters),
            self.timers.now_s - self.watch(host.zone).granted_s,
        )

    def _own_address(self):
        member = self.voter.membership.find(self.voter.identity)
        return member.address if member else ""

    def _zone_hosts(self, zone):
        return tuple(ZoneHost(h.name, h.address) for h in self.state.hosts_of_zone(zone))

    def _check_keeper(self, watch):
        keeper = self.state.keepers.get(watch.name)
        if not keeper and not watch.has_settled(self.timers.now_s):
            return
        if keeper and not watch.keeper_is_silent(self.timers.now_s):
            return
        candidate = watch.best_candidate(self.timers.now_s)
        if candidate is not None:
            self._appoint(watch.name, candidate)

    def _appoint(self, zone, host):
        keeper = self.state.keepers.get(zone)
        epoch = keeper.epoch + 1 if keeper else 1
        self.watch(zone).beat_s = self.timers.now_s
        incarnation = self.state.hosts[host].incarnation
        self.propose_once(("keeper", zone, epoch), KeeperAppointed(zone, host, incarnation))
        self.timeline.record("keeper-appointed", detail=f"zone={zone} host={host} epoch={epoch}")
        self.outbox.log("keeper-appointed", zone=zone, keeper=host, epoch=epoch)

    def _on_keeper_leaving(self, message):
        keeper = self.state.keepers.get(message.zone)
        if not self.leads or keeper is None:
            return
        if (keeper.host, keeper.epoch) != (message.host, message.epoch):
            return
        others = [h.name for h in self.state.hosts_of_zone(message.zone) if h.name != keeper.host]
        if others:
            self._appoint(message.zone, others[0])

    def _on_keeper_beat(self, beat, address):
        if not self.leads:
            return
        keeper = self.state.keepers.get(beat.zone)
        if keeper is None or (keeper.host, keeper.epoch) != (beat.host, beat.epoch):
            self.outbox.send(address, KeeperDismissed(keeper.epoch if keeper else 0))
            return
        watch = self.watch(beat.zone)
        if not watch.take_beat(beat, self.timers.now_s):
            return
        for report in beat.reports:
            self._on_report(report)
        watch.granted_s = self.timers.now_s
        delta = self.machine.delta_since(beat.version)
        hosts = self._zone_hosts(beat.zone)
        if digest_hosts(hosts) == beat.hosts_digest:
            hosts = ()
        grant = KeeperGrant(beat.epoch, beat.sent_s, hosts, delta)
        self.outbox.send(address, grant)

    # --- Endpoints -----------------------------------------------------------------

    def _on_report(self, report):
        reported = report.endpoint
        known = self.state.routes.endpoints.get(reported.name)
        if known is not None and known.incarnation == reported.incarnation:
            self._note_applied(reported, report.applied_version)
        if known is None or known.since == reported.since:
            settled = known is not None and known == reported
            if not settled and reported.service in self.state.routes.services:
                command = EndpointReported(reported, self.timeline.wall_clock_us())
                self.propose_once(("endpoint", reported), command)

    def _note_applied(self, endpoint, version):
        key = (endpoint.name, endpoint.incarnation)
        self.applied_versions[key] = max(version, self.applied_versions.get(key, 0))

    def _declare_lost_zones(self):
        """Declare lost the endpoints of zones whose delegation has run out."""
        now_s = self.timers.now_s
        routes = self.state.routes
        for endpoint in routes.endpoints.values():
            service = routes.services.get(endpoint.service)
            if endpoint.state == STATE_LOST or service is None:
                continue
            if self.watch(endpoint.zone).home_lease_ended(now_s, service):
                lost = msgspec.structs.replace(endpoint, state=STATE_LOST)
                command = EndpointReported(lost, self.timeline.wall_clock_us())
                self.propose_once(("endpoint", lost), command)

    def _forget_lost_endpoints(self):
        now_s = self.timers.now_s
        lost = {e.name for e in self.state.routes.endpoints.values() if e.state == STATE_LOST}
        self.lost_since_s = {n: self.lost_since_s.get(n, now_s) for n in lost}
        for name, since_s in self.lost_since_s.items():
            if now_s - since_s > FORGET_LOST_AFTER_S:
                self.propose_once(("forget", name), EndpointForgotten(name))
