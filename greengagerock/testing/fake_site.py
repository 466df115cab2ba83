"""Simulated site in virtual time: discovered hosts, and endpoints that report to controllers."""

import itertools

import msgspec

from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.core.interface import (
    AttemptFailed,
    CallArrived,
    CallerDisconnected,
    CancelAttempt,
    CloseIdleConnections,
    EndpointNoticed,
    EndpointReportArrived,
    Forward,
    ItemsRequested,
    KeepConnections,
    PatchArrived,
    RelayArrived,
    RequestEnded,
    Respond,
    RespondWithError,
    StopProcess,
)
from greengagerock.node.controller_node import ControllerNode
from greengagerock.node.router_node import RouterNode
from greengagerock.node.site_config import SiteConfig
from greengagerock.testing.fake_hosts import FakeDisk, FakeHost
from greengagerock.testing.fake_links import FakeLinks
from greengagerock.testing.fake_paths import (
    CONNECT_TIMEOUT_S,
    HANGS,
    ONE_WAY,
    REFUSES_NEW,
    FakePaths,
)
from greengagerock.testing.fake_reporting_endpoint import FakeReportingEndpoint
from greengagerock.testing.fake_system import MESSAGE_DELAY_RANGE_S, FakeSystem
from greengagerock.testing.item_builders import build_first_patch
from greengagerock.testing.model_builders import build_host

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0
RELEASE_REPORT_S = 0.1
CALL_DELAY_S = 0.001
# How a router reads the error code of one that was to forward its request.
RELAY_REASONS = {
    "connect-failed": "connect",
    "connection-late": "connect-timeout",
    "link-busy": "link-busy",
    "path-lost": "path-lost",
    "answer-lost": "lost",
    "deadline-exceeded": "timeout",
}


class SiteHostConfig:
    """Configuration of a host in the form that ``FakeSystem`` reads.

    Attributes:
        host: The host's record.
        site: The ``SiteConfig`` of its node.
    """

    def __init__(self, host, site):
        self.host = host
        self.site = site


class FakeSite(FakeSystem):
    """Controllers, routers and endpoints in virtual time.

    Args:
        seed: Seed of delays and nodes.
        hold_s: Time that an endpoint holds keys after a report.
        admits_by_load: Whether routers hold back and refuse calls by the load of endpoints.
        link_bytes_per_s: Speed of the links of routers, or ``None`` if they are fast.
        **options: Options of ``FakeSystem``.

    Attributes:
        reporting_endpoints: ``FakeReportingEndpoint`` objects by name.
        replies: Values of ``Respond`` effects by token.
        double_holds: Tuples of time, two endpoint names and up to three units that both held.
        paths: The ``FakePaths`` between routers and endpoints.
        links: The ``FakeLinks`` of routers.
        by_relay_address: Hosts by the address at which they take requests of other routers.
        calls_of_relays: Tokens of requests that routers forward for others.
        relayed: Host, number of its run and token there, by the token of the relayed request.
        relayed_count: Number of requests that were sent through relays.
    """

    def __init__(self, seed=1, hold_s=6.0, admits_by_load=False, link_bytes_per_s=None, **options):
        super().__init__(seed, **options)
        self.hold_s = hold_s
        self.admits_by_load = admits_by_load
        self.reporting_endpoints = {}
        self.replies = {}
        self.double_holds = []
        self.calls = {}
        self.paths = FakePaths()
        self.links = FakeLinks(link_bytes_per_s)
        self.by_relay_address = {}
        self.calls_of_relays = set()
        self.relayed = {}
        self.relayed_count = 0
        self._octets = itertools.count(1)
        self._open_reports = {}

    def add_site_host(self, name, zone, seeds, may_bootstrap=True, role="controller"):
        """Add a controller or a router and start it."""
        record = msgspec.structs.replace(build_host(name, zone), address=self.address_of(name))
        site = SiteConfig(
            name,
            zone,
            record.address,
            tuple(seeds),
            may_bootstrap,
            hold_s=self.hold_s,
            link_bytes_per_s=self.links.bytes_per_s if role == "router" else None,
            relay_address=f"{name}:7001" if role == "router" else "",
            admits_by_load=self.admits_by_load,
        )
        disk = FakeDisk(f"{name}#1") if role == "controller" else None
        host = FakeHost(SiteHostConfig(record, site), disk)
        self.hosts[name] = host
        self.by_address[record.address] = host
        self.by_relay_address[f"{name}:7001"] = host
        self.start_host(name)
        return host

    def address_of(self, name):
        """Return the link address of a host, whether it exists or not."""
        return f"{name}:7000"

    def start_host(self, name, may_bootstrap=None):
        """Start a host's process, optionally with another ``may_bootstrap``."""
        host = self.hosts[name]
        host.run_number += 1
        host.paused_events = None
        seed = self.random.randrange(1 << 60)
        changes = {"seed": seed}
        if may_bootstrap is not None:
            changes["may_bootstrap"] = may_bootstrap
        host.config.site = msgspec.structs.replace(host.config.site, **changes)
        if host.disk is not None:
            host.node = ControllerNode(
                host.config.site, host.disk.read(), self.now_s, lambda: int(self.now_s * 1e6)
            )
        else:
            host.node = RouterNode(host.config.site, self.now_s, lambda: int(self.now_s * 1e6))
        self.on_start(host.node)
        self._carry_out(host, host.node.start())

    # --- Operators -----------------------------------------------------------------

    def patch(self, host_name, patch):
        """Send a patch of items to a controller; returns its token."""
        token = next(self._tokens)
        self.feed(host_name, PatchArrived(token, patch))
        return token

    def patch_until_replied(self, patch, limit_s=10.0):
        """Send a patch to the controllers in turn until one replies, and return its result.

        Raises:
            AssertionError: If none replies within ``limit_s``.
        """
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            for name in [n for n, h in self.hosts.items() if h.disk is not None]:
                token = self.patch(name, patch)
                self.run_until(lambda t=token: t in self.replies, 1.0)
                if self.replies.get(token) is not None:
                    return self.replies[token]
        raise AssertionError("no controller replied to the patch")

    def read_items(self, host_name):
        """Return the items that a controller reports, or ``None`` without a reply in 1.5 s."""
        token = next(self._tokens)
        self.feed(host_name, ItemsRequested(token))
        self.run_until(lambda: token in self.replies, 1.5)
        return self.replies.get(token)

    # --- Endpoints that report -----------------------------------------------------

    def add_reporting_endpoint(self, endpoint):
        """Add an endpoint, which starts to report within ``REPORT_INTERVAL_S``."""
        self.reporting_endpoints[endpoint.name] = endpoint
        self.at(self.random.uniform(0, REPORT_INTERVAL_S), lambda: self._report(endpoint))
        return endpoint

    def _report(self, endpoint):
        if not endpoint.is_up or self.reporting_endpoints.get(endpoint.name) is not endpoint:
            return
        endpoint.expire(self.now_s)
        names = [
            name
            for name, host in self.hosts.items()
            if host.disk is not None
            and (endpoint.reachable_controllers is None or name in endpoint.reachable_controllers)
        ]
        report = endpoint.report(self.now_s)
        sent_s = self.now_s
        if not names:
            self.at(REPORT_INTERVAL_S, lambda: self._report(endpoint))
            return
        token = next(self._tokens)
        self._open_reports[token] = (endpoint, sent_s)
        host = self.hosts[self.random.choice(names)]
        self.at(
            self.random.uniform(*MESSAGE_DELAY_RANGE_S),
            lambda: self._feed(host, EndpointReportArrived(token, report)),
        )
        self.at(REPORT_TIMEOUT_S, lambda: self._on_report_response(token, None))

    def _on_report_response(self, token, response):
        endpoint, sent_s = self._open_reports.pop(token, (None, 0.0))
        if endpoint is None or not endpoint.is_up:
            return
        if response is None:
            self.at(0.05, lambda: self._report(endpoint))
            return
        endpoint.freed = {}
        hold_count_before = len(endpoint.holds)
        endpoint.apply_response(response, sent_s, self.now_s)
        self.record_shared_units(endpoint)
        has_released = hold_count_before > len(endpoint.holds) and endpoint.freed
        delay_s = RELEASE_REPORT_S if has_released else REPORT_INTERVAL_S
        self.at(delay_s, lambda: self._report(endpoint))

    def record_shared_units(self, endpoint):
        """Record in ``double_holds`` the units that another running endpoint holds as well."""
        for other in self.reporting_endpoints.values():
            if other is endpoint or not other.is_up or other.service != endpoint.service:
                continue
            other.expire(self.now_s)
            shared = endpoint.holds.keys() & other.holds.keys()
            if shared:
                self.double_holds.append(
                    (self.now_s, endpoint.name, other.name, sorted(shared)[:3])
                )

    def find_endpoint_holding(self, service, key):
        """Return the running endpoint that holds a key, or ``None``."""
        for endpoint in self.reporting_endpoints.values():
            if (
                endpoint.is_up
                and endpoint.service == service
                and endpoint.holds_key(key, self.now_s)
            ):
                return endpoint
        return None

    # --- Callers -------------------------------------------------------------------

    def call(self, host_name, route="balance", key=None, method="GET", budget_s=1.0):
        """Send a caller's request to a router; returns its token."""
        token = next(self._tokens)
        path = f"/{route}/{token}"
        event = CallArrived(token, f"r{token}", method, "shop.example", path, path, budget_s, key)
        self.calls[token] = event
        self.requested_at_s[token] = self.now_s
        self.feed(host_name, event)
        return token

    def call_and_wait(self, host_name, route="balance", key=None, **options):
        """Send a request and wait for its end.

        Returns:
            ``ok``, an error code, or ``None`` if it did not end within 2 s.
        """
        token = self.call(host_name, route, key, **options)
        self.run_until(lambda: token in self.request_results, 2.0)
        return self.outcome(token)

    def _carry_out(self, host, effects):
        other_effects = []
        for effect in effects:
            match effect:
                case Respond(token, value):
                    self._on_reply(token, value)
                case Forward():
                    self._forward_call(host, effect)
                case RespondWithError(token) if token in self.calls_of_relays:
                    self._on_relay_error(host, effect)
                case RespondWithError(token):
                    self._record_response(token, effect)
                case CancelAttempt(token):
                    self._cancel_attempt(host, token)
                case CloseIdleConnections(address):
                    self._close_idle_connections(host, address)
                case KeepConnections(address, count):
                    self._keep_connections(host, address, count)
                case StopProcess(wait_s=wait_s) if self._has_calls(host):
                    self._end_after(host, host.run_number, wait_s)
                case _:
                    other_effects.append(effect)
        super()._carry_out(host, other_effects)

    @staticmethod
    def _has_calls(host):
        return isinstance(host.node, RouterNode) and bool(host.node.dispatcher.calls)

    def _end_after(self, host, run_number, wait_s):
        """End a process that waits for the responses to its calls."""

        def end():
            if host.run_number == run_number:
                host.node = None

        self.at(wait_s, end)

    def _on_reply(self, token, value):
        if token in self._open_reports:
            delay_s = self.random.uniform(*MESSAGE_DELAY_RANGE_S)
            self.at(delay_s, lambda: self._on_report_response(token, value))
        else:
            self.replies[token] = value

    def _forward_call(self, host, effect):
        if effect.relay:
            self._send_to_relay(host, effect)
            return
        endpoint = self.reporting_endpoints.get(effect.endpoint)
        path = (host.config.host.name, effect.endpoint)
        fault = self.paths.fault_of(path)
        is_reused = self.paths.take_connection(path)
        connect_timeout_s = self._connect_timeout_s(effect)
        if endpoint is None or not endpoint.is_up:
            self._fail_attempt(host, effect.token, "connect", False, CALL_DELAY_S)
        elif fault is not None and not is_reused:
            is_silent = fault in (HANGS, ONE_WAY)
            reason = "connect-timeout" if is_silent else "connect"
            delay_s = connect_timeout_s if is_silent else CALL_DELAY_S
            self._fail_attempt(host, effect.token, reason, False, delay_s)
        elif not is_reused and (endpoint.max_connect_delay_s or self.links.bytes_per_s):
            delay_s = self.random.uniform(0, endpoint.max_connect_delay_s)
            delay_s += self.links.open_s(path[:1], self.now_s)
            if delay_s > connect_timeout_s:
                self._fail_attempt(host, effect.token, "connect-timeout", False, connect_timeout_s)
            else:
                self.at(
                    delay_s, lambda: self._send_to_endpoint(host, endpoint, effect, path, fault)
                )
        else:
            self._send_to_endpoint(host, endpoint, effect, path, fault)

    def _connect_timeout_s(self, effect):
        chosen_s = max(CONNECT_TIMEOUT_S, effect.connect_timeout_s or 0.0)
        return min(chosen_s, effect.timeout_s)

    def _fail_attempt(self, host, token, reason, has_sent_bytes, delay_s):
        failure = AttemptFailed(token, reason, has_sent_bytes, False)
        run_number = host.run_number
        self.at(delay_s, lambda: self._end_request(host, run_number, token, failure))

    def _send_to_endpoint(self, host, endpoint, effect, path, fault):
        """Send a request on an open connection."""
        token = effect.token
        call = self.calls[token]

        def lose():
            if self.paths.end(path, token, False):
                self._fail_attempt(host, token, "lost", True, 0.0)

        def arrive():
            if not endpoint.is_up:
                self.paths.end(path, token, False)
                self._fail_attempt(host, token, "connect", False, 0.0)
            elif call.key is not None and not endpoint.holds_key(call.key, self.now_s):
                if self.paths.end(path, token, True):
                    self._fail_attempt(host, token, "not-owner", False, 0.0)
            else:
                endpoint.arrivals.append((self.now_s, path[0]))
                self._execute_call(host, path, endpoint, call, effect)

        self.paths.begin(path, token, lose)
        if fault == HANGS:
            self._time_out_later(host, path, token, effect.timeout_s)
        else:
            self.at(CALL_DELAY_S, arrive)

    def _time_out_later(self, host, path, token, delay_s):
        """Fail an attempt whose response does not come."""

        def time_out():
            if self.paths.end(path, token, False):
                self._fail_attempt(host, token, "timeout", True, 0.0)

        self.at(delay_s, time_out)

    def _send_to_relay(self, host, effect):
        """Send a request to another router, which forwards it to the endpoint."""
        self.relayed_count += 1
        relay = self.by_relay_address[effect.relay]
        path = (host.config.host.name, relay.config.host.name)
        connect_timeout_s = self._connect_timeout_s(effect)
        if relay.node is None or self.is_link_cut(*path):
            if relay.node is None:
                self._fail_attempt(host, effect.token, "relay", False, CALL_DELAY_S)
            else:
                self._fail_attempt(host, effect.token, "relay-late", False, connect_timeout_s)
            return
        connect_s = 0.0
        if not self.paths.take_connection(path):
            connect_s = self._relay_connect_s(path)
        if connect_s > connect_timeout_s:
            self._fail_attempt(host, effect.token, "relay-late", False, connect_timeout_s)
            return
        call = self.calls[effect.token]
        token = next(self._tokens)
        self.calls[token] = call
        self.calls_of_relays.add(token)
        self.relayed[token] = (host, host.run_number, effect.token)
        arrival = RelayArrived(
            token,
            call.request_id,
            effect.endpoint,
            effect.timeout_s,
            effect.is_limited,
            effect.is_long,
        )
        self.at(connect_s + CALL_DELAY_S, lambda: self._feed(relay, arrival))
        self.at(effect.timeout_s, lambda: self._fail_relayed(token, "timeout", True))

    def _fail_relayed(self, token, reason, has_sent_bytes):
        """Fail the attempt at the router that sent a request to a relay, if it still waits."""
        host, run_number, origin_token = self.relayed.pop(token, (None, 0, 0))
        if host is not None:
            failure = AttemptFailed(origin_token, reason, has_sent_bytes, False)
            self._end_request(host, run_number, origin_token, failure)

    def _on_relay_error(self, relay, error):
        if error.token in self.relayed:
            origin, _, _ = self.relayed[error.token]
            self.paths.add_connection((origin.config.host.name, relay.config.host.name))
        reason = RELAY_REASONS.get(error.code, "relay")
        self._fail_relayed(error.token, reason, error.outcome != "not-run")

    def _end_request(self, host, run_number, token, event):
        """End a request; what a relay gets from an endpoint goes on to the other router."""
        if token not in self.calls_of_relays:
            super()._end_request(host, run_number, token, event)
            return
        if isinstance(event, AttemptFailed) and event.reason not in ("refused", "not-owner"):
            self._feed_if_same_run(host, run_number, event)
            return
        response_time_s = getattr(event, "response_time_s", CALL_DELAY_S)
        relayed = self.relayed.pop(token, None)
        self._feed_if_same_run(host, run_number, RequestEnded(token, True, response_time_s))
        if relayed is not None:
            origin, origin_run, origin_token = relayed
            self.paths.add_connection((origin.config.host.name, host.config.host.name))
            event = msgspec.structs.replace(event, token=origin_token)
            self.at(
                CALL_DELAY_S, lambda: self._end_request(origin, origin_run, origin_token, event)
            )

    def _cancel_relayed(self, host, origin_token):
        """Close the connection to a relay, which then cancels the request at the endpoint."""
        for token, (origin, _, other_token) in list(self.relayed.items()):
            if origin is host and other_token == origin_token:
                self._fail_relayed(token, "relay", True)
                for relay in self.by_relay_address.values():
                    if relay.node is not None:
                        self._feed(relay, CallerDisconnected(token))

    def _cancel_attempt(self, host, token):
        self._cancel_relayed(host, token)
        for path, requests in self.paths.in_flight.items():
            if path[0] == host.config.host.name and token in requests:
                requests[token]()
                return

    def _close_idle_connections(self, host, address):
        for name, endpoint in self.reporting_endpoints.items():
            if endpoint.address == address:
                self.paths.close_idle(host.config.host.name, name)
        if address in self.by_relay_address:
            relay = self.by_relay_address[address].config.host.name
            self.paths.close_idle(host.config.host.name, relay)

    def _keep_connections(self, host, address, count):
        """Open connections to a relay; each takes as long as one that a request opens."""
        path = (host.config.host.name, self.by_relay_address[address].config.host.name)
        for _ in range(count - self.paths.idle_connections.get(path, 0)):
            self.at(self._relay_connect_s(path), lambda: self.paths.add_connection(path))

    def _relay_connect_s(self, path):
        shortest_s, longest_s = self.paths.relay_connect_range_s
        # Sites without late connections draw as many random numbers as they did before.
        delay_s = self.random.uniform(shortest_s, longest_s) if longest_s else 0.0
        return delay_s + self.links.open_s(path, self.now_s)

    def _respond_with_notices(self, host, run_number, endpoint, token, was_limited):
        """Pass on what the head of a response says about the endpoint's limit and load."""
        if token in self.relayed:
            origin = self.relayed[token]
            self._respond_with_notices(origin[0], origin[1], endpoint, origin[2], was_limited)
        if host.run_number != run_number:
            return
        if endpoint.limit_per_s is not None:
            endpoint.notified_routers.setdefault(host.config.host.name, self.now_s)
            self._feed(host, EndpointNoticed(token, limit_per_s=endpoint.limit_per_s))
        elif was_limited:
            self._feed(host, EndpointNoticed(token, ends_limit=True))
        load = endpoint.load_notice(self.now_s)
        if load is not None:
            self._feed(host, EndpointNoticed(token, load=load))

    def _execute_call(self, host, path, endpoint, call, effect):
        token, run_number = effect.token, host.run_number
        duration_s = endpoint.enqueue_request(self.now_s)
        if duration_s is None:
            if self.paths.end(path, token, True):
                load = endpoint.load_notice(self.now_s)
                if load is not None:
                    self._feed(host, EndpointNoticed(token, load=load))
                reason = "reset" if endpoint.resets_when_full else "refused"
                self._fail_attempt(host, token, reason, True, 0.0)
            return
        unit = None if call.key is None else call.key // KEYS_PER_UNIT
        endpoint.runs.append((call.request_id, unit, self.now_s))

        def complete():
            if self.paths.fault_of(path) not in (None, REFUSES_NEW):
                self._time_out_later(host, path, token, max(0.0, effect.timeout_s - duration_s))
                return
            if endpoint.mean_body_bytes:
                size = int(self.random.expovariate(1 / endpoint.mean_body_bytes))
                hosts = [path[0]]
                if token in self.relayed:
                    hosts.append(self.relayed[token][0].config.host.name)
                pass_s = self.links.pass_s(hosts, size, self.now_s)
                self.at(pass_s, lambda: end(pass_s, size))
            else:
                end(0.0, 0)

        def end(pass_s, size):
            if not self.paths.end(path, token, True):
                return
            self._respond_with_notices(host, run_number, endpoint, token, effect.is_limited)
            ended = RequestEnded(token, True, duration_s + pass_s, size)
            self._end_request(host, run_number, token, ended)

        self.at(duration_s, complete)


def build_fake_site(
    seed=1,
    controllers=3,
    routers=2,
    reporting_endpoints=6,
    unkeyed_endpoints=2,
    hold_s=6.0,
    first_patch=None,
    **options,
):
    """Return a settled site with a keyed service, an unkeyed one, and routes to both."""
    site = FakeSite(seed, hold_s=hold_s, **options)
    names = [f"core-{number}" for number in range(1, controllers + 1)]
    seeds = [site.address_of(name) for name in names[:3]]
    for number, name in enumerate(names, 1):
        site.add_site_host(name, f"zone-{number}", seeds)
    for number in range(1, routers + 1):
        zone = f"zone-{(number - 1) % controllers + 1}"
        site.add_site_host(f"edge-{number}", zone, seeds, role="router")
    site.run_for(2.0)
    result = site.patch_until_replied(first_patch or build_first_patch())
    assert result.code == "", result
    for number in range(1, reporting_endpoints + 1):
        site.add_reporting_endpoint(FakeReportingEndpoint(f"till-{number}", number))
    first_address = max(100, reporting_endpoints)
    for number in range(1, unkeyed_endpoints + 1):
        site.add_reporting_endpoint(
            FakeReportingEndpoint(f"docs-{number}", first_address + number, "docs")
        )
    site.run_for(5.0)
    return site


def find_leader_name(site):
    """Return the name of the running controller that leads, or ``None``."""
    for name, host in site.hosts.items():
        is_running = host.node is not None and host.paused_events is None
        if is_running and host.disk is not None and host.node.site_leader.is_active():
            return name
    return None
