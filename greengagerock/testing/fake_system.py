"""Simulated I/O layer for the decision core, in virtual time.

``FakeSystem`` passes events to nodes and carries out their effects: it delivers messages
with a delay, writes records to a simulated disk and sends requests to simulated endpoints.
It makes no decisions of its own. Tests and measurements inject faults into it.
"""

import heapq
import itertools
from random import Random

import msgspec

from greengagerock.agent.announcer import CHANGE_ANNOUNCEMENT_DELAY_S
from greengagerock.agent.orders import ORDER_HEADER, Order
from greengagerock.control.operator_messages import OperatorRequest
from greengagerock.core.interface import (
    AnnouncementArrived,
    AttemptFailed,
    CancelAttempt,
    Forward,
    MessageReceived,
    OperatorRequestArrived,
    Persist,
    Persisted,
    PersistFailed,
    RequestArrived,
    RequestEnded,
    RespondToAnnouncement,
    RespondToOperator,
    RespondWithError,
    SendMessage,
    StopProcess,
    TimeAdvanced,
)
from greengagerock.model.timing import ANNOUNCE_INTERVAL_S
from greengagerock.node.node import Node
from greengagerock.testing.fake_hosts import FakeDisk, FakeEndpoint, FakeHost

MESSAGE_DELAY_RANGE_S = (0.0005, 0.002)
SYNC_DELAY_RANGE_S = (0.0005, 0.003)
REQUEST_DELAY_S = 0.001
ANNOUNCE_RETRY_S = 0.1


class FakeSystem:
    """Hosts, endpoints and a network in virtual time.

    Args:
        seed: Seed of the delays and of the nodes.
        message_loss_rate: Share of messages that are lost.
        message_duplication_rate: Share of messages that arrive twice, the second copy up to
            3 s later.

    Attributes:
        on_start: Called with each node that is started.
        entry_hosts: Host name by endpoint name, for endpoints that always announce themselves to
            the same host. Others choose a random running host of their zone.
        crash_paths: Paths of requests that crash the endpoint when it starts to run them.
        cuts_requests: Whether ``isolate_zone`` also blocks requests between the zone and others.
            If not, only messages between hosts are dropped. This is the harder case: routers
            with outdated routes still reach endpoints of all zones.
        request_results: Result of each ended request by token: ``ok`` or a ``RespondWithError``.
        operator_responses: ``OperatorResponse`` by token of the statement.
        requested_at_s: Time of sending by request token.
        responded_at_s: Time of the response or error by request token.
        after_step: Called after each event in virtual time.
    """

    def __init__(self, seed=1, message_loss_rate=0.0, message_duplication_rate=0.0):
        self.random = Random(seed)
        self.message_loss_rate = message_loss_rate
        self.message_duplication_rate = message_duplication_rate
        self.now_s = 100.0
        self.hosts = {}
        self.by_address = {}
        self.endpoints = {}
        self.cut_links = set()
        self.isolated_zones = set()
        self.cuts_requests = False
        self.crash_paths = set()
        self.entry_hosts = {}
        self.request_results = {}
        self.operator_responses = {}
        self.requested_at_s = {}
        self.responded_at_s = {}
        self.on_start = lambda node: None
        self.sent_message_count = 0
        self.after_step = lambda: None
        self._queue = []
        self._sequence = itertools.count()
        self._tokens = itertools.count(1)
        self._open_announcements = {}

    # --- Hosts and endpoints -------------------------------------------------------

    def add_host(self, config, voter=False):
        """Add a host, with a disk if it is a voter, and start it."""
        disk = FakeDisk(f"{config.host.name}#1") if voter else None
        host = FakeHost(config, disk)
        self.hosts[config.host.name] = host
        self.by_address[config.host.address] = host
        self.start_host(config.host.name)
        return host

    def start_host(self, name):
        """Start a host's process with a new incarnation."""
        host = self.hosts[name]
        host.run_number += 1
        record = msgspec.structs.replace(
            host.config.host,
            incarnation=f"{name}-{host.run_number}",
            identity=host.disk.identity if host.disk else "",
        )
        seed = self.random.randrange(1 << 60)
        host.config = msgspec.structs.replace(host.config, host=record, seed=seed)
        durable_state = host.disk.read() if host.disk else None
        host.paused_events = None
        host.node = Node(host.config, durable_state, self.now_s, lambda: int(self.now_s * 1e6))
        self.on_start(host.node)
        self._carry_out(host, host.node.start())

    def crash_host(self, name):
        """Kill a host's process; records that are not synced are lost."""
        host = self.hosts[name]
        host.run_number += 1
        host.crash_times_s.append(self.now_s)
        host.node = None

    def lose_disk(self, name, identity):
        """Replace a voter's disk by an empty one with another identity."""
        self.hosts[name].disk = FakeDisk(identity)

    def pause_host(self, name):
        """Pause a host's process: it keeps its state, and arriving events are queued."""
        self.hosts[name].paused_events = []

    def resume_host(self, name):
        """Resume a paused process: it handles the queued events, then its due timers."""
        host = self.hosts[name]
        events, host.paused_events = host.paused_events, None
        for event in events:
            self._feed(host, event)
        self._feed(host, TimeAdvanced())

    def add_endpoint(self, announcement, processing_time_s=0.0):
        """Add an endpoint, which announces itself within ``ANNOUNCE_INTERVAL_S``."""
        endpoint = FakeEndpoint(announcement, processing_time_s)
        self.endpoints[endpoint.name] = endpoint
        self.at(self.random.uniform(0, ANNOUNCE_INTERVAL_S), lambda: self._announce(endpoint))
        return endpoint

    def unfreeze(self, name):
        """Unfreeze an endpoint: it continues with the state that it had when it froze."""
        endpoint = self.endpoints[name]
        endpoint.frozen = False
        deferred_actions, endpoint.deferred_actions = endpoint.deferred_actions, []
        for action in deferred_actions:
            action()

    # --- Network partitions --------------------------------------------------------

    def drop_messages(self, from_hosts, to_hosts):
        """Drop messages from ``from_hosts`` to ``to_hosts``, in this direction only."""
        self.cut_links.update(itertools.product(from_hosts, to_hosts))

    def isolate_zone(self, zone):
        """Drop messages between hosts of an availability zone and all other hosts."""
        inside = [n for n, h in self.hosts.items() if h.config.host.zone == zone]
        outside = [n for n in self.hosts if n not in inside]
        self.drop_messages(inside, outside)
        self.drop_messages(outside, inside)
        self.isolated_zones.add(zone)

    def heal(self):
        """End all network partitions."""
        self.cut_links.clear()
        self.isolated_zones.clear()

    def zone_of(self, host_name):
        """Return a host's availability zone."""
        return self.hosts[host_name].config.host.zone

    def is_link_cut(self, sender, receiver):
        """Return whether messages from ``sender`` to ``receiver`` are dropped."""
        return (sender, receiver) in self.cut_links

    # --- Time ----------------------------------------------------------------------

    def at(self, delay_s, action):
        """Schedule a call of ``action`` after ``delay_s`` of virtual time."""
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def run_for(self, seconds):
        """Advance virtual time by ``seconds``."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition, limit_s):
        """Advance virtual time until a condition holds.

        Returns:
            The seconds that passed, or ``None`` if the limit was reached first.
        """
        start_s = self.now_s
        end_s = start_s + limit_s
        while not condition():
            if not self._queue or self._queue[0][0] > end_s:
                self.now_s = end_s
                return None
            due_s, _, action = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, due_s)
            action()
            self.after_step()
        return self.now_s - start_s

    # --- Requests ------------------------------------------------------------------

    def request(self, host_name, service, path, method="GET", headers=None, request_id=None):
        """Send a caller's request to a host; returns its token."""
        token = next(self._tokens)
        request_id = request_id or f"r{token}"
        event = RequestArrived(token, request_id, service, method, path, "", headers or {})
        self.requested_at_s[token] = self.now_s
        self._feed(self.hosts[host_name], event)
        return token

    def feed(self, host_name, event):
        """Pass an event to a host's node."""
        self._feed(self.hosts[host_name], event)

    def send_statement(self, host_name, text, request_id="", base_version=None, wait_s=4.0):
        """Send an operator's statement to a host; returns its token."""
        token = next(self._tokens)
        request = OperatorRequest(text, request_id, "test", base_version, False, wait_s)
        self._feed(self.hosts[host_name], OperatorRequestArrived(token, request))
        return token

    def send_statement_and_wait(self, host_name, text, request_id="", base_version=None):
        """Send a statement and return its response, or ``None`` without one in 8 s."""
        token = self.send_statement(host_name, text, request_id, base_version)
        self.run_until(lambda: token in self.operator_responses, 8.0)
        return self.operator_responses.get(token)

    def outcome(self, token):
        """Return ``ok``, an error code, or ``None`` while the request has not ended."""
        response = self.request_results.get(token)
        return response.code if isinstance(response, RespondWithError) else response

    def request_and_wait(self, host_name, service, path, limit_s=2.0, **options):
        """Send a request, wait up to ``limit_s`` for its end and return the outcome."""
        token = self.request(host_name, service, path, **options)
        self.run_until(lambda: token in self.request_results, limit_s)
        return self.outcome(token)

    # --- Effects -------------------------------------------------------------------

    def _feed(self, host, event):
        if host.node is None:
            return
        if host.paused_events is not None:
            host.paused_events.append(event)
            return
        self._carry_out(host, host.node.handle(event, self.now_s))

    def _carry_out(self, host, effects):
        for effect in effects:
            match effect:
                case SendMessage(address, message):
                    self._send(host, address, message)
                case Persist(sequence, records):
                    self._persist(host, sequence, records)
                case Forward():
                    self._forward_request(host, effect)
                case RespondWithError(token):
                    self._record_response(token, effect)
                case CancelAttempt(token):
                    failure = AttemptFailed(token, "lost", True, False)
                    self.at(
                        0.0,
                        lambda t=token, f=failure: self._end_request(host, host.run_number, t, f),
                    )
                case RespondToAnnouncement(token, reply):
                    self._on_announcement_reply(token, reply)
                case RespondToOperator(token, reply):
                    self.operator_responses[token] = reply
                case StopProcess():
                    host.node = None
        self._schedule_due_time(host)

    def _schedule_due_time(self, host):
        if host.node is None:
            return
        due_s = host.node.next_due_s()
        if due_s is not None:
            run_number = host.run_number
            self.at(max(0.0, due_s - self.now_s), lambda: self._on_due(host, run_number))

    def _on_due(self, host, run_number):
        if host.run_number != run_number or host.node is None or host.paused_events is not None:
            return
        due_s = host.node.next_due_s()
        if due_s is not None and due_s <= self.now_s:
            self._feed(host, TimeAdvanced())

    def _send(self, host, address, message):
        self.sent_message_count += 1
        target = self.by_address.get(address)
        if target is None or self.random.random() < self.message_loss_rate:
            return
        sender = host.config.host
        event = MessageReceived(sender.name, sender.address, message)
        copies = 2 if self.random.random() < self.message_duplication_rate else 1
        for copy in range(copies):
            delay_s = self.random.uniform(*MESSAGE_DELAY_RANGE_S) + copy * self.random.uniform(
                0, 3
            )
            self.at(delay_s, lambda: self._deliver(sender.name, target, event))

    def _deliver(self, sender_name, target, event):
        if not self.is_link_cut(sender_name, target.config.host.name):
            self._feed(target, event)

    def _persist(self, host, sequence, records):
        run_number = host.run_number
        disk = host.disk

        def sync():
            if host.run_number != run_number:
                return
            if disk.has_write_errors:
                self._feed(host, PersistFailed("no space left"))
                return
            disk.synced.extend(records)
            self._feed(host, Persisted(sequence))

        # A disk syncs writes in order. A constant delay preserves this order.
        self.at(SYNC_DELAY_RANGE_S[0], sync)

    # --- Endpoints -----------------------------------------------------------------

    def _announce(self, endpoint):
        if not endpoint.is_up:
            return
        host = self._choose_entry_host(endpoint)
        if endpoint.frozen or host is None:
            self.at(ANNOUNCE_RETRY_S, lambda: self._announce(endpoint))
            return
        endpoint.grant_table.expire(self.now_s)
        announcement = msgspec.structs.replace(
            endpoint.announcement, applied_version=endpoint.grant_table.applied_version
        )
        token = next(self._tokens)
        self._open_announcements[token] = (endpoint, self.now_s)
        self.at(1.2, lambda: self._on_announcement_reply(token, None))
        self._feed(host, AnnouncementArrived(token, announcement))

    def _choose_entry_host(self, endpoint):
        if endpoint.name in self.entry_hosts:
            return self.hosts[self.entry_hosts[endpoint.name]]
        running_hosts = [
            host
            for host in self.hosts.values()
            if host.node is not None
            and host.paused_events is None
            and host.config.host.zone == endpoint.announcement.zone
        ]
        return self.random.choice(running_hosts) if running_hosts else None

    def _on_announcement_reply(self, token, reply):
        endpoint, sent_s = self._open_announcements.pop(token, (None, 0.0))
        if endpoint is None:
            return
        if reply is not None:
            self._run_when_unfrozen(
                endpoint, lambda: endpoint.grant_table.apply_reply(reply, sent_s, self.now_s)
            )
        if reply is None or reply.lease_s <= 0:
            delay_s = ANNOUNCE_RETRY_S
        elif reply.grants is not None and endpoint.grant_table.applied_version == reply.version:
            delay_s = CHANGE_ANNOUNCEMENT_DELAY_S
        else:
            delay_s = ANNOUNCE_INTERVAL_S
        self.at(delay_s, lambda: self._announce(endpoint))

    def _run_when_unfrozen(self, endpoint, action):
        if endpoint.frozen:
            endpoint.deferred_actions.append(action)
        else:
            action()

    def _forward_request(self, host, effect):
        run_number = host.run_number
        endpoint = next(
            (e for e in self.endpoints.values() if e.name == effect.endpoint and e.is_up), None
        )
        delay_s = min(REQUEST_DELAY_S, effect.timeout_s)
        if endpoint is None or self._is_request_blocked(host, endpoint):
            failure = AttemptFailed(effect.token, "connect", False, False)
            self.at(delay_s, lambda: self._feed_if_same_run(host, run_number, failure))
            return
        timeout = AttemptFailed(effect.token, "timeout", True, False)
        self.at(
            effect.timeout_s, lambda: self._end_request(host, run_number, effect.token, timeout)
        )
        self.at(
            delay_s,
            lambda: self._run_when_unfrozen(
                endpoint, lambda: self._begin_request(host, run_number, effect, endpoint)
            ),
        )

    def _is_request_blocked(self, host, endpoint):
        zones = {host.config.host.zone, endpoint.announcement.zone}
        return self.cuts_requests and len(zones) > 1 and bool(zones & self.isolated_zones)

    def _begin_request(self, host, run_number, effect, endpoint):
        if not endpoint.is_up:
            failure = AttemptFailed(effect.token, "lost", True, False)
            self._end_request(host, run_number, effect.token, failure)
            return
        order = Order.from_header(effect.headers.get(ORDER_HEADER))
        is_checked = endpoint.announcement.checks_orders and order is not None
        unit = order.unit if order else None
        if is_checked and not self._admits_order(endpoint, order):
            failure = AttemptFailed(effect.token, "refused", False, False)
            self._end_request(host, run_number, effect.token, failure)
            return
        request = host.node.router.registry.get(effect.token) if host.node else None
        if request is not None and request.event.path in self.crash_paths:
            endpoint.is_up = False
            failure = AttemptFailed(effect.token, "lost", True, False)
            self._end_request(host, run_number, effect.token, failure)
            return
        start_s = self.now_s
        request_id = effect.headers["Greengage-Request-Id"]

        def complete():
            is_valid = not is_checked or endpoint.grant_table.still_owns(
                unit, order.fence, self.now_s
            )
            if is_checked:
                endpoint.grant_table.end_request(unit)
            if not is_valid or not endpoint.is_up:
                failure = AttemptFailed(effect.token, "lost", True, False)
                self._end_request(host, run_number, effect.token, failure)
                return
            endpoint.runs.append((unit, request_id, start_s, self.now_s))
            if endpoint.drops_answers:
                failure = AttemptFailed(effect.token, "lost", True, False)
                self._end_request(host, run_number, effect.token, failure)
                return
            self._end_request(host, run_number, effect.token, RequestEnded(effect.token, True))

        self.at(endpoint.processing_time_s, lambda: self._run_when_unfrozen(endpoint, complete))

    def _admits_order(self, endpoint, order):
        is_same_incarnation = order.incarnation == endpoint.announcement.incarnation
        return is_same_incarnation and endpoint.grant_table.start_request(
            order.unit, order.fence, self.now_s
        )

    def _end_request(self, host, run_number, token, event):
        if token in self.request_results:
            return
        if isinstance(event, RequestEnded):
            self._record_response(token, "ok")
        self._feed_if_same_run(host, run_number, event)

    def _record_response(self, token, response):
        self.request_results[token] = response
        self.responded_at_s[token] = self.now_s

    def _feed_if_same_run(self, host, run_number, event):
        if host.run_number == run_number:
            self._feed(host, event)
