"""The zone keeper: leases for the routers and endpoints of one availability zone."""

import msgspec

from greengagerock.membership.messages import (
    EndpointReport,
    KeeperBeat,
    KeeperHere,
    KeeperLeaving,
    RouterGrant,
    ZoneHost,
    digest_hosts,
)
from greengagerock.membership.sessions import NEVER_S, Session, endpoint_lease_s, is_settled
from greengagerock.model import (
    STATE_LOST,
    AnnouncementReply,
    Endpoint,
    GrantedUnit,
    lender_duration,
)
from greengagerock.model.timing import (
    ENDPOINT_LEASE_S,
    FOREIGN_LEASE_S,
    KEEPER_BEAT_INTERVAL_S,
    ROUTER_LEASE_S,
)

RETRY_LEASE_S = 0.0
LEADER_PATIENCE_S = 2 * KEEPER_BEAT_INTERVAL_S + 0.05


class RouterLease:
    """What the keeper knows about one router of its zone.

    Attributes:
        expires_s: Keeper's time at which the lease has surely run out.
        acknowledged: Version in force at the router.
        follows: Whether the router has sent a beat to this keeper.
    """

    __slots__ = ("acknowledged", "expires_s", "follows")

    def __init__(self, expires_s):
        self.expires_s = expires_s
        self.acknowledged = 0
        self.follows = False


class Keeper:
    """Keeps one availability zone under one appointment.

    A new keeper does not know what its predecessor lent, so it counts every
    router and endpoint of the zone as holding a lease until the latest moment
    at which the predecessor's leases can end.

    Args:
        host: Name of this host.
        zone: The availability zone.
        appointment: The leader's ``HelloReply`` that appoints this host.
        routes: This host's routes.
        leader: Callable that returns the leader's link address, or the empty string.
        delta_since: Callable that returns the delta from a version to the routes.
        timers: The timer service.
        outbox: Receives effects.
        timeline: The host's time line.

    References:
        C. Gray, D. Cheriton: Leases: An Efficient Fault-Tolerant Mechanism for
        Distributed File Cache Consistency, SOSP 1989.
    """

    def __init__(
        self, host, zone, appointment, routes, leader, delta_since, timers, outbox, timeline
    ):
        self.host = host
        self.zone = zone
        self.epoch = appointment.epoch
        self.electorate = appointment.electorate
        self.rivals = appointment.rivals
        self.routes = routes
        self.routers = {h.name: h.address for h in appointment.zone_hosts}
        self.leader = leader
        self.delta_since = delta_since
        self.timers = timers
        self.outbox = outbox
        self.timeline = timeline
        self.appointed_s = timers.now_s
        # The leader's age is at most that old now: the reply took some time to come.
        self.predecessor_contact_s = timers.now_s - appointment.granted_age_s
        self.contact_s = NEVER_S
        self.active = True
        self.leaving = False
        self.leases = {}
        self.sessions = {}
        self._reported = {}
        self._adopt_routers()
        self._beat()

    def stop(self):
        """End this appointment."""
        self.active = False

    def leave(self):
        """Ask the leader for a successor, and go on until there is one."""
        self.leaving = True
        self._ask_for_successor()

    def _ask_for_successor(self):
        leader = self.leader()
        if leader:
            self.outbox.send(leader, KeeperLeaving(self.zone, self.host, self.epoch))

    # --- Lending -------------------------------------------------------------------

    def may_lend(self):
        """Return whether this keeper may extend leases.

        It needs recent contact with the leader, or else the following of so many
        routers of its zone that no other keeper can have been installed there.
        """
        now_s = self.timers.now_s
        if self.contact_s == NEVER_S:
            return False
        if now_s - self.contact_s < FOREIGN_LEASE_S:
            return True
        live = [
            name
            for name, lease in self.leases.items()
            if lease.follows and lease.expires_s > now_s
        ]
        return has_majority(self.electorate, live)

    def lacks_leader(self):
        """Return whether the leader has not answered several beats."""
        since_s = max(self.contact_s, self.appointed_s)
        return self.timers.now_s - since_s > LEADER_PATIENCE_S

    def longest_hold_s(self):
        """Return the longest ``cut_hold_s`` of all services, in seconds."""
        holds = [s.cut_hold_s for s in self.routes.services.values() if s.keyed]
        return max(holds, default=0.0)

    def on_router_beat(self, beat, address):
        """Renew a router's lease.

        Args:
            beat: The router's report.
            address: Link address to answer to.
        """
        now_s = self.timers.now_s
        lease = self.leases.setdefault(beat.host, RouterLease(now_s))
        if not lease.follows:
            # What its former keeper lent it last may still be running.
            lease.expires_s = max(lease.expires_s, now_s + lender_duration(ROUTER_LEASE_S))
        lease.follows = True
        lease.acknowledged = max(lease.acknowledged, beat.acknowledged)
        if not self.may_lend():
            return
        lease.expires_s = max(lease.expires_s, now_s + lender_duration(ROUTER_LEASE_S))
        grant = RouterGrant(
            self.epoch,
            beat.sent_s,
            ROUTER_LEASE_S,
            now_s - self.contact_s,
            self.leader(),
            self.delta_since(beat.version),
        )
        self.outbox.send(address, grant)

    def acknowledged(self):
        """Return the version that all routers with a lease have in force."""
        now_s = self.timers.now_s
        versions = [
            lease.acknowledged
            for lease in self.leases.values()
            if self._lease_end_s(lease) > now_s
        ]
        return min([self.routes.version, *versions])

    def _lease_end_s(self, lease):
        if lease.follows:
            return lease.expires_s
        return max(lease.expires_s, self._predecessor_end_s())

    def _predecessor_end_s(self):
        """Return when the last lease lent by a predecessor has surely ended."""
        others = [name for rival in self.rivals for name in rival if not self._follows(name)]
        can_lend_alone = any(has_majority(rival, others) for rival in self.rivals)
        hold_s = self.longest_hold_s() if can_lend_alone else FOREIGN_LEASE_S
        hold_s = max(hold_s, FOREIGN_LEASE_S)
        lease_s = max(ROUTER_LEASE_S, ENDPOINT_LEASE_S)
        return self.predecessor_contact_s + lender_duration(hold_s + lease_s)

    def _follows(self, host):
        return host in self.leases and self.leases[host].follows

    def _adopt_routers(self):
        for host in self.routers:
            self.leases[host] = RouterLease(NEVER_S)
        if self.epoch == 1:
            # The first keeper has no predecessor that could have lent anything.
            for lease in self.leases.values():
                lease.follows = True

    def _adopt_endpoints(self):
        """Assume a session for each endpoint of the zone, once the routes are current."""
        for endpoint in self.routes.endpoints.values():
            if endpoint.zone == self.zone and endpoint.state != STATE_LOST:
                self.sessions[endpoint.name] = Session(endpoint.incarnation, self.timers.now_s)

    # --- Endpoints -----------------------------------------------------------------

    def on_announcement(self, announcement):
        """Answer an endpoint's announcement.

        Returns:
            An ``AnnouncementReply``; with a lease of 0 s the endpoint must not use
            any grant yet and should announce itself again.
        """
        now_s = self.timers.now_s
        refused = AnnouncementReply(RETRY_LEASE_S, self.routes.version)
        if self.contact_s == NEVER_S:
            # Until the first answer of the leader, the routes may be outdated.
            return refused
        session = self._session_for(announcement)
        if session is None:
            return refused
        session.announcement = announcement
        record = self.routes.endpoints.get(announcement.name)
        service = self.routes.services.get(announcement.service)
        usable = (
            service is not None
            and record is not None
            and record.state != STATE_LOST
            and record.incarnation == announcement.incarnation
            and not session.lost
            and self.may_lend()
        )
        lease_s = endpoint_lease_s(service, now_s, self.contact_s) if usable else 0.0
        if lease_s <= 0:
            return refused
        session.renew(now_s, lease_s)
        self._report_soon(session)
        return AnnouncementReply(lease_s, self.routes.version, self._grants_for(announcement))

    def _report_soon(self, session):
        """Report at once what a transfer may be waiting for."""
        if session.applied_version > max(session.reported_version, session.beaten_version):
            session.beaten_version = session.applied_version
            self._send_beat()

    def _session_for(self, announcement):
        """Return the session of an announcement, or ``None`` if it has to wait."""
        now_s = self.timers.now_s
        session = self.sessions.get(announcement.name)
        if session is None:
            session = Session(announcement.incarnation, now_s)
            self.sessions[announcement.name] = session
            return session
        session.heard_s = now_s
        if session.incarnation == announcement.incarnation:
            return session
        if self._session_end_s(session) > now_s:
            # The earlier incarnation may still be running with a valid lease.
            return None
        session.incarnation = announcement.incarnation
        session.lost = False
        session.reported_version = 0
        return session

    def _session_end_s(self, session):
        # An endpoint that has announced itself here may still reach a predecessor too.
        if self.epoch == 1:
            return session.expires_s
        return max(session.expires_s, self._predecessor_end_s())

    def _grants_for(self, announcement):
        """Return all units of the endpoint, or ``None`` if it already has them."""
        record = self.routes.endpoints[announcement.name]
        changed_at = max(record.since, self.routes.changed_at(announcement.name))
        if announcement.applied_version >= changed_at:
            return None
        owned = self.routes.units_of_endpoint(announcement.name)
        return tuple(GrantedUnit(item.unit.label, item.owner.fence) for item in owned)

    # --- Reports to the leader -----------------------------------------------------

    def on_grant(self, grant):
        """Take in the leader's answer to a beat; its delta was already applied."""
        if grant.epoch != self.epoch:
            return
        if self.contact_s == NEVER_S:
            self._adopt_endpoints()
        self.contact_s = max(self.contact_s, grant.echo_s)
        if grant.zone_hosts:
            self.routers = {host.name: host.address for host in grant.zone_hosts}
        for host in grant.zone_hosts:
            self.leases.setdefault(host.name, RouterLease(NEVER_S))
        for sent_s in [s for s in self._reported if s <= grant.echo_s]:
            for name, version in self._reported.pop(sent_s):
                if name in self.sessions:
                    session = self.sessions[name]
                    session.reported_version = max(session.reported_version, version)

    def _beat(self):
        if not self.active:
            return
        self._expire_sessions()
        self._send_beat()
        if self.leaving:
            self._ask_for_successor()
        if self.timers.now_s - self.appointed_s < FOREIGN_LEASE_S:
            for host, address in self.routers.items():
                if host != self.host:
                    self.outbox.send(address, KeeperHere(self.epoch))
        self.timers.subscribe(KEEPER_BEAT_INTERVAL_S, self._beat)

    def _send_beat(self):
        leader = self.leader()
        if leader:
            self.outbox.send(leader, self._make_beat())

    def _make_beat(self):
        now_s = self.timers.now_s
        reports = self._reports()
        self._reported[now_s] = [(r.endpoint.name, r.applied_version) for r in reports]
        while len(self._reported) > 64:
            self._reported.pop(next(iter(self._reported)))
        return KeeperBeat(
            self.zone,
            self.host,
            self.epoch,
            now_s,
            self.routes.version,
            self.acknowledged(),
            tuple(reports),
            digest_hosts(ZoneHost(name, self.routers[name]) for name in self.routers),
        )

    def _expire_sessions(self):
        now_s = self.timers.now_s
        for name, session in list(self.sessions.items()):
            record = self.routes.endpoints.get(name)
            if session.lost and (record is None or record.state == STATE_LOST):
                # The leader has taken note, so the endpoint may join again.
                session.lost = False
            if self._session_end_s(session) > now_s or not session.is_silent(now_s):
                continue
            if record is None or record.state == STATE_LOST:
                del self.sessions[name]
            elif not session.lost:
                session.lost = True
                self.timeline.record("endpoint-lost", endpoint=name)
                self.outbox.log("endpoint-lost", endpoint=name, zone=self.zone)

    def _reports(self):
        reports = []
        for name, session in self.sessions.items():
            report = self._report(name, session)
            if report is not None:
                reports.append(report)
        return reports

    def _report(self, name, session):
        record = self.routes.endpoints.get(name)
        if session.lost:
            if record is None or record.state == STATE_LOST:
                return None
            return EndpointReport(msgspec.structs.replace(record, state=STATE_LOST), 0)
        announcement = session.announcement
        if announcement is None or announcement.incarnation != session.incarnation:
            return None
        settled = is_settled(record, announcement)
        if settled and session.applied_version <= session.reported_version:
            return None
        if not settled and session.is_silent(self.timers.now_s):
            return None
        return EndpointReport(
            record if settled else to_endpoint(announcement, record), session.applied_version
        )


def has_majority(electorate, hosts):
    """Return whether ``hosts`` include a majority of ``electorate``.

    Examples:
        >>> has_majority(("a", "b", "c"), ["a", "c"]), has_majority(("a", "b"), ["a"])
        (True, False)
    """
    present = set(electorate) & set(hosts)
    return len(present) >= len(electorate) // 2 + 1


def to_endpoint(announcement, record):
    """Return the record that an announcement asks for.

    Args:
        announcement: What the endpoint says.
        record: The record that is agreed on so far, or ``None``.
    """
    return Endpoint(
        name=announcement.name,
        service=announcement.service,
        zone=announcement.zone,
        address=announcement.address,
        incarnation=announcement.incarnation,
        concurrency=announcement.concurrency,
        checks_orders=announcement.checks_orders,
        state=announcement.state,
        since=record.since if record else 0,
    )
