"""The lease manager: leases for the routers and endpoints of one availability zone."""

import msgspec

from greengagerock.membership.messages import (
    EndpointReport,
    LeaseManagerHeartbeat,
    LeaseManagerLeaving,
    LeaseManagerStarted,
    RouterGrant,
    ZoneHost,
    digest_hosts,
)
from greengagerock.membership.sessions import NEVER_S, Session, endpoint_lease_s, matches_record
from greengagerock.model import (
    STATE_LOST,
    AnnouncementReply,
    Endpoint,
    GrantedUnit,
    lessor_duration,
)
from greengagerock.model.timing import (
    ENDPOINT_LEASE_S,
    LEASE_MANAGER_HEARTBEAT_INTERVAL_S,
    REMOTE_ZONE_LEASE_S,
    ROUTER_LEASE_S,
)

REFUSED_LEASE_S = 0.0
LEADER_SILENCE_S = 2 * LEASE_MANAGER_HEARTBEAT_INTERVAL_S + 0.05


class RouterLease:
    """State of one router of the zone at the lease manager.

    Attributes:
        expires_s: Time, on the lease manager's clock, at which the lease has certainly
            expired.
        acknowledged: Routes version in effect at the router.
        is_following: Whether the router has sent a heartbeat to this lease manager, or the
            lease manager is the zone's first.
    """

    __slots__ = ("acknowledged", "expires_s", "is_following")

    def __init__(self, expires_s):
        self.expires_s = expires_s
        self.acknowledged = 0
        self.is_following = False


class LeaseManager:
    """Lease manager of one availability zone, for the duration of one appointment.

    A new lease manager has no record of the leases that its predecessor granted, so
    it treats every router and endpoint of the zone as a lessee until the latest time
    at which the predecessor's leases can end.

    Args:
        host: Name of this host.
        zone: The availability zone.
        appointment: The leader's ``HelloReply`` that appoints this host.
        routes: This host's routes.
        leader: Callable that returns the leader's link address, or the empty string.
        delta_since: Callable that returns the delta from a version to the current routes.
        timers: The timer service.
        outbox: Receives effects.
        timeline: The host's timeline of events.

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
        self.earlier_electorates = appointment.earlier_electorates
        self.routes = routes
        self.routers = {h.name: h.address for h in appointment.zone_hosts}
        self.leader = leader
        self.delta_since = delta_since
        self.timers = timers
        self.outbox = outbox
        self.timeline = timeline
        self.appointed_s = timers.now_s
        # Upper bound of the time at which a predecessor had contact with the leader: the age
        # has grown since the leader computed it, by the transit time of the reply.
        self.predecessor_contact_s = timers.now_s - appointment.zone_lease_age_s
        self.contact_s = NEVER_S
        self.is_active = True
        self.is_leaving = False
        self.leases = {}
        self.sessions = {}
        self._unconfirmed_reports = {}
        self._assume_router_leases()
        self._on_heartbeat_due()

    def stop(self):
        """End this appointment."""
        self.is_active = False

    def leave(self):
        """Request a successor from the leader, and continue until one is appointed."""
        self.is_leaving = True
        self._request_successor()

    def _request_successor(self):
        leader = self.leader()
        if leader:
            self.outbox.send(leader, LeaseManagerLeaving(self.zone, self.host, self.epoch))

    # --- Granting leases -----------------------------------------------------------

    def may_grant(self):
        """Return whether this lease manager may extend leases.

        This requires recent contact with the leader or live leases of routers that form
        a majority of the electorate, so that no other lease manager can have a majority.
        """
        now_s = self.timers.now_s
        if self.contact_s == NEVER_S:
            return False
        if now_s - self.contact_s < REMOTE_ZONE_LEASE_S:
            return True
        live_routers = [
            name
            for name, lease in self.leases.items()
            if lease.is_following and lease.expires_s > now_s
        ]
        return has_majority(self.electorate, live_routers)

    def lacks_leader(self):
        """Return whether the leader has not replied to several heartbeats."""
        since_s = max(self.contact_s, self.appointed_s)
        return self.timers.now_s - since_s > LEADER_SILENCE_S

    def longest_cut_hold_s(self):
        """Return the longest ``cut_hold_s`` of all keyed services, in seconds."""
        cut_holds_s = [s.cut_hold_s for s in self.routes.services.values() if s.keyed]
        return max(cut_holds_s, default=0.0)

    def on_router_heartbeat(self, heartbeat, address):
        """Renew a router's lease.

        Args:
            heartbeat: The router's heartbeat.
            address: Link address to reply to.
        """
        now_s = self.timers.now_s
        lease = self.leases.setdefault(heartbeat.host, RouterLease(now_s))
        if not lease.is_following:
            # The last lease from the former lease manager may not have expired yet.
            lease.expires_s = max(lease.expires_s, now_s + lessor_duration(ROUTER_LEASE_S))
        lease.is_following = True
        lease.acknowledged = max(lease.acknowledged, heartbeat.acknowledged)
        if not self.may_grant():
            return
        lease.expires_s = max(lease.expires_s, now_s + lessor_duration(ROUTER_LEASE_S))
        grant = RouterGrant(
            self.epoch,
            heartbeat.sent_s,
            ROUTER_LEASE_S,
            now_s - self.contact_s,
            self.leader(),
            self.delta_since(heartbeat.version),
        )
        self.outbox.send(address, grant)

    def acknowledged(self):
        """Return the routes version in effect at all routers that have a lease."""
        now_s = self.timers.now_s
        versions = [
            lease.acknowledged
            for lease in self.leases.values()
            if self._lease_end_s(lease) > now_s
        ]
        return min([self.routes.version, *versions])

    def _lease_end_s(self, lease):
        if lease.is_following:
            return lease.expires_s
        return max(lease.expires_s, self._predecessor_leases_end_s())

    def _predecessor_leases_end_s(self):
        """Return the time at which all leases granted by predecessors have certainly expired."""
        not_following = [
            name
            for electorate in self.earlier_electorates
            for name in electorate
            if not self._is_following(name)
        ]
        can_grant_alone = any(
            has_majority(electorate, not_following) for electorate in self.earlier_electorates
        )
        hold_s = self.longest_cut_hold_s() if can_grant_alone else REMOTE_ZONE_LEASE_S
        hold_s = max(hold_s, REMOTE_ZONE_LEASE_S)
        lease_s = max(ROUTER_LEASE_S, ENDPOINT_LEASE_S)
        return self.predecessor_contact_s + lessor_duration(hold_s + lease_s)

    def _is_following(self, host):
        return host in self.leases and self.leases[host].is_following

    def _assume_router_leases(self):
        for host in self.routers:
            self.leases[host] = RouterLease(NEVER_S)
        if self.epoch == 1:
            # The first lease manager has no predecessor that could have granted leases.
            for lease in self.leases.values():
                lease.is_following = True

    def _assume_sessions(self):
        """Create a session for each endpoint of the zone; the routes must be current."""
        for endpoint in self.routes.endpoints.values():
            if endpoint.zone == self.zone and endpoint.state != STATE_LOST:
                self.sessions[endpoint.name] = Session(endpoint.incarnation, self.timers.now_s)

    # --- Endpoints -----------------------------------------------------------------

    def on_announcement(self, announcement):
        """Process an endpoint's announcement and return the reply.

        Returns:
            An ``AnnouncementReply``; with a lease of 0 s the endpoint must not use any
            grant yet and should announce itself again.
        """
        now_s = self.timers.now_s
        refusal = AnnouncementReply(REFUSED_LEASE_S, self.routes.version)
        if self.contact_s == NEVER_S:
            # Until the leader's first reply the routes may be outdated.
            return refusal
        session = self._session_for(announcement)
        if session is None:
            return refusal
        session.announcement = announcement
        record = self.routes.endpoints.get(announcement.name)
        service = self.routes.services.get(announcement.service)
        is_usable = (
            service is not None
            and record is not None
            and record.state != STATE_LOST
            and record.incarnation == announcement.incarnation
            and not session.is_lost
            and self.may_grant()
        )
        lease_s = endpoint_lease_s(service, now_s, self.contact_s) if is_usable else 0.0
        if lease_s <= 0:
            return refusal
        session.renew(now_s, lease_s)
        self._send_applied_version(session)
        return AnnouncementReply(lease_s, self.routes.version, self._grants_for(announcement))

    def _send_applied_version(self, session):
        """Send a newly applied version to the leader at once: a transfer may wait for it."""
        if session.applied_version > max(session.confirmed_version, session.early_sent_version):
            session.early_sent_version = session.applied_version
            self._send_heartbeat()

    def _session_for(self, announcement):
        """Return an announcement's session, or ``None`` if another incarnation holds it."""
        now_s = self.timers.now_s
        session = self.sessions.get(announcement.name)
        if session is None:
            session = Session(announcement.incarnation, now_s)
            self.sessions[announcement.name] = session
            return session
        session.announced_s = now_s
        if session.incarnation == announcement.incarnation:
            return session
        if self._session_end_s(session) > now_s:
            # The earlier incarnation may still run with a valid lease.
            return None
        session.incarnation = announcement.incarnation
        session.is_lost = False
        session.confirmed_version = 0
        return session

    def _session_end_s(self, session):
        # An endpoint with a session here may still reach a predecessor and renew there.
        if self.epoch == 1:
            return session.expires_s
        return max(session.expires_s, self._predecessor_leases_end_s())

    def _grants_for(self, announcement):
        """Return all units of the endpoint, or ``None`` if it already has them."""
        record = self.routes.endpoints[announcement.name]
        changed_version = max(record.since, self.routes.last_change_version(announcement.name))
        if announcement.applied_version >= changed_version:
            return None
        owned = self.routes.units_of_endpoint(announcement.name)
        return tuple(GrantedUnit(item.unit.label, item.owner.fence) for item in owned)

    # --- Reports to the leader -----------------------------------------------------

    def on_grant(self, grant):
        """Handle the leader's reply to a heartbeat, whose delta is already applied."""
        if grant.epoch != self.epoch:
            return
        if self.contact_s == NEVER_S:
            self._assume_sessions()
        self.contact_s = max(self.contact_s, grant.heartbeat_sent_s)
        if grant.zone_hosts:
            self.routers = {host.name: host.address for host in grant.zone_hosts}
        for host in grant.zone_hosts:
            self.leases.setdefault(host.name, RouterLease(NEVER_S))
        for sent_s in [s for s in self._unconfirmed_reports if s <= grant.heartbeat_sent_s]:
            for name, version in self._unconfirmed_reports.pop(sent_s):
                if name in self.sessions:
                    session = self.sessions[name]
                    session.confirmed_version = max(session.confirmed_version, version)

    def _on_heartbeat_due(self):
        if not self.is_active:
            return
        self._expire_sessions()
        self._send_heartbeat()
        if self.is_leaving:
            self._request_successor()
        if self.timers.now_s - self.appointed_s < REMOTE_ZONE_LEASE_S:
            for host, address in self.routers.items():
                if host != self.host:
                    self.outbox.send(address, LeaseManagerStarted(self.epoch))
        self.timers.subscribe(LEASE_MANAGER_HEARTBEAT_INTERVAL_S, self._on_heartbeat_due)

    def _send_heartbeat(self):
        leader = self.leader()
        if leader:
            self.outbox.send(leader, self._make_heartbeat())

    def _make_heartbeat(self):
        now_s = self.timers.now_s
        reports = self._pending_reports()
        self._unconfirmed_reports[now_s] = [(r.endpoint.name, r.applied_version) for r in reports]
        while len(self._unconfirmed_reports) > 64:
            self._unconfirmed_reports.pop(next(iter(self._unconfirmed_reports)))
        return LeaseManagerHeartbeat(
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
            if session.is_lost and (record is None or record.state == STATE_LOST):
                # The leader has recorded the loss, so the endpoint may join again.
                session.is_lost = False
            if self._session_end_s(session) > now_s or not session.is_silent(now_s):
                continue
            if record is None or record.state == STATE_LOST:
                del self.sessions[name]
            elif not session.is_lost:
                session.is_lost = True
                self.timeline.record("endpoint-lost", endpoint=name)
                self.outbox.log("endpoint-lost", endpoint=name, zone=self.zone)

    def _pending_reports(self):
        reports = []
        for name, session in self.sessions.items():
            report = self._pending_report(name, session)
            if report is not None:
                reports.append(report)
        return reports

    def _pending_report(self, name, session):
        record = self.routes.endpoints.get(name)
        if session.is_lost:
            if record is None or record.state == STATE_LOST:
                return None
            return EndpointReport(msgspec.structs.replace(record, state=STATE_LOST), 0)
        announcement = session.announcement
        if announcement is None or announcement.incarnation != session.incarnation:
            return None
        is_recorded = matches_record(record, announcement)
        if is_recorded and session.applied_version <= session.confirmed_version:
            return None
        if not is_recorded and session.is_silent(self.timers.now_s):
            return None
        return EndpointReport(
            record if is_recorded else record_of_announcement(announcement, record),
            session.applied_version,
        )


def has_majority(electorate, hosts):
    """Return whether ``hosts`` include a majority of ``electorate``.

    Examples:
        >>> has_majority(("a", "b", "c"), ["a", "c"]), has_majority(("a", "b"), ["a"])
        (True, False)
    """
    present = set(electorate) & set(hosts)
    return len(present) >= len(electorate) // 2 + 1


def record_of_announcement(announcement, record):
    """Return the endpoint record for an announcement.

    Args:
        announcement: The endpoint's announcement.
        record: The replicated record so far, or ``None``.
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
